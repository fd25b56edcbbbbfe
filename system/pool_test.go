package system

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/member"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/fake/cloud"
	"sassafrasvalve/fake/worker"
	"sassafrasvalve/io/admin"
)

// Guards against an entry that was frozen or cut off and that sends requests of the old pool to a VM that has been
// moved to another pool in the meantime.
func TestVMServesOnePoolWhileEntriesFreezeAndAreCutOff(t *testing.T) {
	sizes := map[string]int{"alpha": 3, "beta": 2, "spare": 1}
	f := smallFleet(sizes)
	f.Services[1].Budget.MinAvailable = 1
	w := newWorld(t, worldConfig{Entries: 5, Pools: sizes, Fleet: f})
	// Each caller uses one entry, and its timeout is long enough for the answer of an entry that has been frozen.
	l := startLoad(t, 30, 30*time.Millisecond, func(caller, n int) (*entryProc, request) {
		return w.entries[caller%5], request{Service: []string{"holds", "scores"}[n%2], Timeout: 20 * time.Second}
	})
	w.eventually("the VM serves its first pool", 5*time.Second, func() error { return w.checkLastService("alpha-1", "holds") })
	frozen, cut := w.entries[4], w.entries[3]

	w.moveVM("alpha-1", "beta")
	frozen.signal(syscall.SIGSTOP) // between the drain and the acknowledgement of this entry, or soon after
	w.waitMoved("alpha-1", "beta", "scores")
	frozen.signal(syscall.SIGCONT)
	w.waitServes(frozen, 10*time.Second)

	frozen.signal(syscall.SIGSTOP) // before the drain
	w.moveVM("alpha-1", "alpha")
	w.waitMoved("alpha-1", "alpha", "holds")
	frozen.signal(syscall.SIGCONT)
	w.waitServes(frozen, 10*time.Second)

	cut.cutPeers("*")
	w.fault(cloud.Fault{Clients: []string{cut.vm}, Outage: cloud.OutageRefuse})
	w.moveVM("alpha-1", "beta")
	w.waitMoved("alpha-1", "beta", "scores")
	w.fault(cloud.Fault{Clear: true})
	cut.cutPeers()
	w.waitServes(cut, 10*time.Second)

	before := l.answered(http.StatusOK)
	w.eventually("the load goes on", 5*time.Second, func() error {
		if n := l.answered(http.StatusOK) - before; n < 200 {
			return fmt.Errorf("%d answers", n)
		}
		return nil
	})
	l.stop()
	w.checkTurns()
}

// Guards against a request that keeps running on a worker after its entry was cut off and fenced, when the VM may
// already serve another pool. The caller must learn at once that the request may have run.
func TestCutOffEntryClosesItsRequests(t *testing.T) {
	w := smallWorld(t, 3)
	e := w.entries[0]
	began := time.Now()
	type result struct {
		answer
		err error
	}
	done := make(chan result, 1)
	go func() {
		a, err := e.send(request{Method: "POST", Body: "50 rand", Header: http.Header{worker.HeaderLatency: {"30s"}}, Timeout: 40 * time.Second})
		done <- result{a, err}
	}()
	inUse := func() int {
		n := 0
		for _, vm := range w.vms {
			n += w.counts(vm.ID).InUse
		}
		return n
	}
	w.eventually("the request runs", 5*time.Second, func() error {
		if n := inUse(); n != 1 {
			return fmt.Errorf("%d in progress", n)
		}
		return nil
	})
	e.cutPeers("*")
	w.fault(cloud.Fault{Clients: []string{e.vm}, Outage: cloud.OutageRefuse})
	cut := time.Now()
	r := <-done
	assert.NilError(t, r.err)
	assert.Equal(t, r.Status, http.StatusBadGateway)
	assert.Equal(t, r.Verdict, retry.MayHaveRun.String())
	t.Logf("answered %v after the cut, %v after its start", time.Since(cut).Round(time.Millisecond), time.Since(began).Round(time.Millisecond))
	assert.Assert(t, time.Since(cut) < member.LeaseTerm+member.FenceDelay, "the fence may have come first")
	w.eventually("the worker has stopped", time.Second, func() error {
		if n := inUse(); n != 0 {
			return fmt.Errorf("%d in progress", n)
		}
		return nil
	})
}

// moveVM orders the move of a VM to a pool.
func (w *world) moveVM(vm, pool string) {
	w.t.Helper()
	req := newVMRequest()
	req.To = pool
	d, err := w.client().Move(w.t.Context(), vm, req)
	assert.NilError(w.t, err)
	assert.Equal(w.t, d.Outcome, admin.Accepted, d.Reason)
}

// waitMoved waits until a VM is active in a pool and runs a request of its service.
func (w *world) waitMoved(vm, pool, service string) {
	w.t.Helper()
	w.eventually(vm+" is active in "+pool, 20*time.Second, func() error {
		if v := w.state().VMs[vm]; v.Pool != pool || v.Phase != fleet.Active {
			return fmt.Errorf("pool %s, phase %s", v.Pool, v.Phase)
		}
		return w.checkLastService(vm, service)
	})
}

// checkLastService returns an error if the last request that a VM started is not of the service.
func (w *world) checkLastService(vm, service string) error {
	turns := w.counts(vm).Turns
	if len(turns) == 0 || turns[len(turns)-1].Service != service {
		return fmt.Errorf("%s has no start of %s yet: %v", vm, service, turns)
	}
	return nil
}

// checkTurns compares the sequence of services on each worker with the sequence of pools of its VM in the log.
// A start for an old pool after the first start for the next pool adds a turn that the log does not have.
func (w *world) checkTurns() {
	w.t.Helper()
	service := map[string]string{"alpha": "holds", "beta": "scores"}
	want := map[string][]string{}
	w.replay(func(st *fleet.State, _ fleet.Result) {
		for id, vm := range st.VMs {
			s := service[vm.Pool]
			if had := want[id]; s != "" && (len(had) == 0 || had[len(had)-1] != s) {
				want[id] = append(had, s)
			}
		}
	})
	for _, vm := range w.vms {
		var got []string
		turns := w.counts(vm.ID).Turns
		for _, turn := range turns {
			got = append(got, turn.Service)
		}
		w.t.Logf("%s: %v", vm.ID, turns)
		assert.Check(w.t, slices.Equal(got, want[vm.ID]), "%s: pools in the log %v, services that ran %v", vm.ID, want[vm.ID], turns)
	}
}
