package fleet_test

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
)

// TestCanDrainAfter guards against several planned drains that each pass the budget check alone but break the
// budget together. It also guards against a Reboot that does not store the count of boots.
func TestCanDrainAfter(t *testing.T) {
	st := fleet.NewState(fleet.StateConfig{})
	apply := func(r fleet.Record) {
		r.ID = strconv.FormatInt(st.Offset+1, 10)
		res := st.Apply(st.Offset+1, r)
		assert.Assert(t, res.Accepted, res.Reason)
	}
	apply(fleet.Record{Kind: fleet.KindConfigure, Configure: &fleet.Configure{Fleet: spec.Fleet{
		Pools:    []spec.Pool{{Name: "p", Size: 3}, {Name: "q", Size: 1}},
		Services: []spec.Service{{Name: "s", Pool: "p", Budget: spec.Budget{MinAvailable: 2, MaxUnavailablePerDC: 1}}},
	}}})
	for vm, pool := range map[string]string{"a": "p", "b": "p", "c": "p", "d": "q"} {
		apply(fleet.Record{Kind: fleet.KindObserve, Observe: &fleet.Observe{VM: vm, Addr: vm + ":80", DC: "d", Pool: pool}})
	}
	for _, c := range []struct {
		out []string
		ok  bool
	}{{nil, true}, {[]string{"a", "d", "unknown"}, true}, {[]string{"b"}, false}} {
		ok, why := st.CanDrainAfter("a", c.out)
		assert.Equal(t, ok, c.ok, "after %v: %s", c.out, why)
	}
	apply(fleet.Record{Kind: fleet.KindDrain, Drain: &fleet.Drain{VM: "a", Gen: st.VMs["a"].Gen, Purpose: fleet.PurposeReboot}})
	apply(fleet.Record{Kind: fleet.KindReboot, Reboot: &fleet.Reboot{VM: "a", Gen: st.VMs["a"].Gen, Boots: 7}})
	assert.Equal(t, st.VMs["a"].Boots, 7)
}
