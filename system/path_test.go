package system

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that fails, or runs other than once on a worker of its pool, on the whole path from caller
// to worker through separate processes.
func TestRequestRunsOnceOnAWorkerOfItsPool(t *testing.T) {
	w := smallWorld(t, 3)
	for _, e := range w.entries {
		a, err := e.send(request{Method: "POST", Path: "/echo/hold?lane=3", Body: "lane 3, Friday"})
		assert.NilError(t, err)
		assert.Equal(t, a.Status, http.StatusOK, a.Body)
		assert.Equal(t, a.Verdict, "ran")
		assert.Equal(t, a.Body, "lane 3, Friday")
		id := a.Header.Get("Sassafrasvalve-Request-Id")
		assert.Equal(t, w.runs(id), 1)
		assert.Equal(t, w.runsOn("beta", id), 0)
	}
}

// runs returns the number of runs of a request ID or key on all workers.
func (w *world) runs(id string) int {
	n := 0
	for _, vm := range w.vms {
		n += w.runsOnVM(vm.ID, id)
	}
	return n
}

// runsOn returns the number of runs of a request ID or key on the workers of a pool.
func (w *world) runsOn(pool, id string) int {
	n := 0
	for _, vm := range w.vms {
		if len(vm.ID) > len(pool) && vm.ID[:len(pool)] == pool {
			n += w.runsOnVM(vm.ID, id)
		}
	}
	return n
}

func (w *world) runsOnVM(vm, id string) int {
	c := w.counts(vm)
	return c.IDs[id] + c.Keys[id]
}
