package system

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/fake/cloud"
	"sassafrasvalve/io/admin"
)

// leaveLimit is the time after which a leaving upstream must not get new requests.
const leaveLimit = 3 * time.Second

// Guards against requests that are sent to a VM more than 3 s after the VM list or an operator announced that it
// leaves: with all entries connected, with one entry that learns of it only from its peers, with the log down, and
// with one entry that is cut off from the platform and its peers.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	sizes := map[string]int{"alpha": 6, "beta": 2, "spare": 1}
	f := smallFleet(sizes)
	f.Services[0].Budget.MinAvailable = 1
	w := newWorld(t, worldConfig{Entries: 4, Pools: sizes, Fleet: f})
	l := startLoad(t, 16, 15*time.Millisecond, func(caller, _ int) (*entryProc, request) {
		return w.entries[caller%4], request{}
	})
	far := w.entries[3]
	list := func(vm string) func() {
		return func() { w.platformVerb(vm, "leaving") }
	}

	w.checkLeaving("the list says so", "alpha-1", list("alpha-1"))
	w.checkLeaving("an operator drains", "alpha-2", func() {
		d, err := w.client().Drain(t.Context(), "alpha-2", newVMRequest())
		assert.NilError(t, err)
		assert.Equal(t, d.Outcome, admin.Accepted, d.Reason)
	})
	w.fault(cloud.Fault{Clients: []string{far.vm}, Outage: cloud.OutageRefuse})
	w.checkLeaving("one entry has only its peers", "alpha-3", list("alpha-3"))
	w.fault(cloud.Fault{Clear: true})
	w.fault(cloud.Fault{On: []string{cloud.ScopeAppend, cloud.ScopeRead}, Outage: cloud.OutageHang})
	w.checkLeaving("the log is down", "alpha-4", list("alpha-4"))
	w.fault(cloud.Fault{Clear: true})
	for _, e := range w.entries {
		w.waitServes(e, 10*time.Second)
	}
	w.fault(cloud.Fault{Clients: []string{far.vm}, Outage: cloud.OutageRefuse})
	far.cutPeers("*")
	w.checkLeaving("one entry is cut off from all", "alpha-5", list("alpha-5"))
	l.stop()
	assert.Assert(t, l.answered(http.StatusOK) > 1000)
}

// platformVerb calls a control verb of the platform for a VM.
func (w *world) platformVerb(vm, verb string) {
	w.t.Helper()
	resp, err := http.Post("http://"+w.cloud+"/vms/"+vm+"/"+verb, "", nil)
	assert.NilError(w.t, err)
	_ = resp.Body.Close()
	assert.Equal(w.t, resp.StatusCode, http.StatusAccepted)
}

// checkLeaving waits until a VM is busy, makes it leave by calling act, and checks the time of its last start.
func (w *world) checkLeaving(what, vm string, act func()) {
	w.t.Helper()
	w.eventually(vm+" is busy", 10*time.Second, func() error {
		if idle := time.Since(w.lastStart(vm)); idle > 500*time.Millisecond {
			return fmt.Errorf("idle for %v", idle)
		}
		return nil
	})
	began := time.Now()
	act()
	announced := time.Now()
	// Watches for twice the limit, so that a start after the limit is seen.
	w.eventually("the time to watch "+vm, 3*leaveLimit, func() error {
		if left := 2*leaveLimit - time.Since(announced); left > 0 {
			return fmt.Errorf("%v left", left)
		}
		return nil
	})
	// If there was no load, the absence of starts on the leaving VM would prove nothing.
	idle := time.Since(w.lastStart("alpha-6"))
	assert.Check(w.t, idle < time.Second, "%s: the VM that stays has been idle for %v", what, idle)
	late := w.lastStart(vm).Sub(announced)
	w.t.Logf("%s: last start %v after, act took %v", what, late.Round(time.Millisecond), announced.Sub(began).Round(time.Millisecond))
	assert.Check(w.t, late <= leaveLimit, "%s: %s still got work %v later", what, vm, late)
}

// lastStart returns the time of the last start of a request on a VM, or the zero time.
func (w *world) lastStart(vm string) time.Time {
	turns := w.counts(vm).Turns
	if len(turns) == 0 {
		return time.Time{}
	}
	return turns[len(turns)-1].Last
}
