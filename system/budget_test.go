package system

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
	"sassafrasvalve/io/admin"
)

// budgetSizes are the pool sizes of the budget test. The budget allows two alpha VMs to be unavailable.
var budgetSizes = map[string]int{"alpha": 6, "beta": 2, "spare": 1}

const budgetFloor = 4 // minimum number of active alpha VMs

// Guards against operators, a reboot wave and failed workers that together make more VMs of a service unavailable
// than its budget allows.
func TestBudgetHoldsThroughWaveFailuresAndOperators(t *testing.T) {
	f := smallFleet(budgetSizes)
	f.Services[0].Budget = spec.Budget{MinAvailable: budgetFloor}
	w := newWorld(t, worldConfig{Entries: 3, Pools: budgetSizes, Fleet: f})
	// The entries detect a dead worker only by requests that fail.
	startLoad(t, 6, 20*time.Millisecond, func(caller, _ int) (*entryProc, request) {
		return w.entries[caller%2], request{Class: "reads"}
	})
	watch := w.watchReboots("alpha")
	c := w.client()
	d, err := c.PlanWave(t.Context(), admin.WavePlanRequest{
		ID: uuid.NewString(), Wave: "kernel", Pools: []string{"alpha"}, Batch: 2, MaxBatch: 2, MaxFailed: 6, Writer: "operator",
	})
	assert.NilError(t, err)
	assert.Equal(t, d.Outcome, admin.Accepted, d.Reason)
	w.workers["alpha-6"].kill()
	operated := []string{"alpha-1", "alpha-2", "alpha-3", "alpha-4", "alpha-5"}
	w.churn(operated, "the killed worker is marked failed", fleet.KindFail, 1)
	_, err = c.ChangeWave(t.Context(), "kernel", fleet.WaveStart, admin.WaveRequest{ID: uuid.NewString(), Writer: "operator"})
	assert.NilError(t, err)
	w.entries[2].kill()
	w.churn(operated, "VMs are rebooted", fleet.KindReboot, 3)
	w.churn(operated, "operators drain", fleet.KindDrain, 8)
	down := watch()
	assert.Assert(t, down <= budgetSizes["alpha"]-budgetFloor, "%d workers were rebooting at once", down)
	w.checkBudget("alpha", budgetFloor)
}

// churn drains and activates VMs in turn until the log has n accepted records of a kind.
func (w *world) churn(vms []string, what string, kind fleet.Kind, n int) {
	w.t.Helper()
	w.eventually(what, 30*time.Second, func() error {
		w.drainAtOnce(vms)
		w.activate(vms)
		found := 0
		w.replay(func(_ *fleet.State, res fleet.Result) {
			if res.Accepted && res.Kind == kind {
				found++
			}
		})
		if found < n {
			return fmt.Errorf("%d of %d", found, n)
		}
		return nil
	})
}

// drainAtOnce drains the VMs concurrently, as one operator per VM through different entries.
func (w *world) drainAtOnce(vms []string) {
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Add(1)
		go func() {
			defer wg.Done()
			req := newVMRequest()
			req.Reboot = i%2 == 0
			_, _ = w.client(w.entries[i%2]).Drain(w.t.Context(), vm, req)
		}()
	}
	wg.Wait()
}

// activate activates the VMs that operators have drained, except those that wait for a reboot.
func (w *world) activate(vms []string) {
	st := w.state()
	for _, vm := range vms {
		if v := st.VMs[vm]; v.Phase != fleet.Drained || v.Purpose != fleet.PurposeHold {
			continue
		}
		_, _ = w.client().Activate(w.t.Context(), vm, newVMRequest())
	}
}

// watchReboots polls the workers of a pool until the returned function is called. That function returns the maximum
// number of workers that were down at the same time, without those that the test killed.
func (w *world) watchReboots(pool string) func() int {
	quit, done := make(chan struct{}), make(chan struct{})
	var most, seen atomic.Int64
	go func() {
		defer close(done)
		for {
			select {
			case <-quit:
				return
			case <-time.After(20 * time.Millisecond):
			}
			down := 0
			for _, vm := range w.vms {
				if vm.ID[:len(pool)] == pool && w.rebooting(vm.ID, vm.Addr) {
					down++
				}
			}
			seen.Add(int64(down))
			most.Store(max(most.Load(), int64(down)))
		}
	}()
	return func() int {
		close(quit)
		<-done
		assert.Check(w.t, seen.Load() > 0, "no worker was ever seen down, so the reboots prove nothing")
		return int(most.Load())
	}
}

// rebooting reports whether a worker does not answer although its process is alive.
func (w *world) rebooting(vm, addr string) bool {
	select {
	case <-w.workers[vm].done:
		return false
	default:
	}
	resp, err := http.Get("http://" + addr + "/ran")
	if err != nil {
		select {
		case <-w.workers[vm].done:
			return false
		case <-time.After(5 * time.Millisecond):
			return true
		}
	}
	_ = resp.Body.Close()
	return false
}

// checkBudget counts the active VMs after each record of the log. A record that makes an active VM unavailable must
// leave at least floor active VMs, unless it reports a failure.
func (w *world) checkBudget(pool string, floor int) {
	w.t.Helper()
	before, drains, refused, failures := -1, 0, 0, 0
	w.replay(func(st *fleet.State, res fleet.Result) {
		active := 0
		for _, vm := range st.VMs {
			if vm.Pool == pool && vm.Phase == fleet.Active {
				active++
			}
		}
		switch {
		case res.Kind == fleet.KindDrain && res.Accepted:
			drains++
		case res.Kind == fleet.KindDrain:
			refused++
		case res.Kind == fleet.KindFail && res.Accepted:
			failures++
		}
		voluntary := res.Kind != fleet.KindFail
		assert.Check(w.t, !voluntary || active >= before || active >= floor,
			"offset %d: %s leaves %d of %d active VMs", res.Offset, res.Kind, active, before)
		before = active
	})
	w.t.Logf("%d drains accepted, %d rejected by the fold, %d failures", drains, refused, failures)
	assert.Check(w.t, drains >= 8 && refused > 0 && failures > 0, "too little happened to prove anything")
}
