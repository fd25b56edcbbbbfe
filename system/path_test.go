package system

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a break anywhere on the way of a request through separate processes.
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

// runs counts how often a request or key ran on any worker.
func (w *world) runs(id string) int {
	n := 0
	for _, vm := range w.vms {
		n += w.runsOnVM(vm.ID, id)
	}
	return n
}

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
