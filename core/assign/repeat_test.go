package assign

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// oneMachine returns a view with one machine, which runs work for pool "a" and is due in a wave.
func oneMachine() View {
	return View{
		ListedAtMs: 10_000,
		Machines:   []pools.Machine{{ID: "m", VM: "vm", Pool: "a", State: pools.MachineUp}},
		Pools:      []PoolDemand{{Pool: "a"}, {Pool: "b"}},
		Waves:      []pools.Wave{{Number: 1, Machines: []string{"m"}, MaxDown: 1}},
	}
}

// TestEarlierUpkeepOrderWaitsUntilTheVMIsVacated guards against a machine controller that repeats an upkeep order of an
// earlier one although the VM is in use again. A new machine controller took down machines with up to 10 running items,
// 6 s after the earlier orders were refused, so that more items were unavailable than their budgets allow.
func TestEarlierUpkeepOrderWaitsUntilTheVMIsVacated(t *testing.T) {
	v := oneMachine()
	v.Upkeeps = map[jobs.Upkeep]bool{{Wave: 1, Machine: "m"}: false}
	c := New(Config{Epoch: 2})
	for now := int64(10_000); now < 14_000; now += testTickMs {
		v.ListedAtMs = now
		assert.Equal(t, len(c.Plan(v, now)), 0, "the machine is taken down while its VM is in use")
	}
	assert.DeepEqual(t, c.vmsToVacate, []string{"vm"})
	v.Pools[0].Report.Clear = []string{"vm"}
	assert.Equal(t, len(c.Plan(v, 14_000)), 1, "the machine of a vacated VM is taken down")
}

// TestMoveIsNotRepeatedForAVMInUse guards against a repeated move that ends work which the pool's owner has started on
// the VM after it withdrew the offer.
func TestMoveIsNotRepeatedForAVMInUse(t *testing.T) {
	v := oneMachine()
	v.Waves = nil
	v.Pools[0].Report.Offers = []string{"vm"}
	v.Pools[1].Report.Want = 1
	c := New(Config{Epoch: 1})
	orders := c.Plan(v, 10_000)
	assert.Equal(t, len(orders), 1)
	c.HandleOrderReply(orders[0], pools.Reply{Kind: pools.NoReply}, 10_000)
	assert.Equal(t, len(c.Plan(v, 10_000+orderRetryMs)), 1, "an offered machine is moved again")
	c.HandleOrderReply(orders[0], pools.Reply{Kind: pools.NoReply}, 10_000+orderRetryMs)
	v.Pools[0].Report.Offers = nil
	v.ListedAtMs += 2 * orderRetryMs
	assert.Equal(t, len(c.Plan(v, 10_000+2*orderRetryMs)), 0)
}
