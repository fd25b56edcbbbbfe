package assign

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// oneMachine is a fleet of one machine, which runs work for pool "a".
func oneMachine() View {
	return View{
		ListedAtMs: 10_000,
		Machines:   []pools.Machine{{ID: "m", VM: "vm", Pool: "a", State: pools.MachineUp}},
		Pools:      []PoolDemand{{Service: "a"}, {Service: "b"}},
		Waves:      []pools.Wave{{N: 1, Machines: []string{"m"}, MaxDown: 1}},
	}
}

// TestInheritedUpkeepWaitsUntilTheVMIsEmpty guards against a machine controller that gives an upkeep of an earlier machine
// controller again although the VM has been put to use since (AVAIL on semillero-plata-grown, trouble-1: in replay 3031c71b a new
// machine controller took machines down, 6 s after the earlier orders were refused, on which up to 10 items ran).
func TestInheritedUpkeepWaitsUntilTheVMIsEmpty(t *testing.T) {
	v := oneMachine()
	v.Upkeeps = map[jobs.Upkeep]bool{{Wave: 1, Machine: "m"}: false}
	k := New(Config{Epoch: 2})
	for now := int64(10_000); now < 14_000; now += testTurnMs {
		v.ListedAtMs = now
		assert.Equal(t, len(k.Plan(v, now)), 0, "the machine is taken down while its VM is in use")
	}
	assert.DeepEqual(t, k.vacate, []string{"vm"})
	v.Pools[0].Report.Clear = []string{"vm"}
	assert.Equal(t, len(k.Plan(v, 14_000)), 1, "the machine of an emptied VM is taken down")
}

// TestMoveIsNotRepeatedForAVMInUse guards against a repeated move that ends work which the owner of the pool has put on
// the VM after it withdrew its offer.
func TestMoveIsNotRepeatedForAVMInUse(t *testing.T) {
	v := oneMachine()
	v.Waves = nil
	v.Pools[0].Report.Offers = []string{"vm"}
	v.Pools[1].Report.Want = 1
	k := New(Config{Epoch: 1})
	orders := k.Plan(v, 10_000)
	assert.Equal(t, len(orders), 1)
	k.HandleOrderReply(orders[0], pools.Reply{Kind: pools.NoReply}, 10_000)
	assert.Equal(t, len(k.Plan(v, 10_000+retryMs)), 1, "an offered machine is moved again")
	k.HandleOrderReply(orders[0], pools.Reply{Kind: pools.NoReply}, 10_000+retryMs)
	v.Pools[0].Report.Offers = nil
	v.ListedAtMs += 2 * retryMs
	assert.Equal(t, len(k.Plan(v, 10_000+2*retryMs)), 0)
}
