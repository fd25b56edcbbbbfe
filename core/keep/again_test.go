package keep

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// oneMachine is a fleet of one machine, which runs work for pool "a".
func oneMachine() View {
	return View{
		ListedAt: 10_000,
		Machines: []pools.Machine{{ID: "m", VM: "vm", Pool: "a", State: pools.MachineUp}},
		Pools:    []PoolPost{{Service: "a"}, {Service: "b"}},
		Waves:    []pools.Wave{{N: 1, Machines: []string{"m"}, MaxDown: 1}},
	}
}

// TestInheritedUpkeepWaitsUntilTheVMIsEmpty guards against a keeper that gives an upkeep of an earlier keeper again
// although the VM has been put to use since (AVAIL on semillero-plata-grown, trouble-1: in replay 3031c71b a new keeper
// took machines down, 6 s after the earlier orders were refused, on which up to 10 items ran).
func TestInheritedUpkeepWaitsUntilTheVMIsEmpty(t *testing.T) {
	v := oneMachine()
	v.Over = map[jobs.Upkeep]bool{{Wave: 1, Machine: "m"}: false}
	k := New(Config{Epoch: 2})
	for now := int64(10_000); now < 14_000; now += testTurnMs {
		v.ListedAt = now
		assert.Equal(t, len(k.Plan(v, now)), 0, "the machine is taken down while its VM is in use")
	}
	assert.DeepEqual(t, k.vacate, []string{"vm"})
	v.Pools[0].Post.Clear = []string{"vm"}
	assert.Equal(t, len(k.Plan(v, 14_000)), 1, "the machine of an emptied VM is taken down")
}

// TestMoveIsNotRepeatedForAVMInUse guards against a repeated move that ends work which the owner of the pool has put on
// the VM after it withdrew its offer.
func TestMoveIsNotRepeatedForAVMInUse(t *testing.T) {
	v := oneMachine()
	v.Waves = nil
	v.Pools[0].Post.Offers = []string{"vm"}
	v.Pools[1].Post.Want = 1
	k := New(Config{Epoch: 1})
	orders := k.Plan(v, 10_000)
	assert.Equal(t, len(orders), 1)
	k.Replied(orders[0], pools.Reply{Kind: pools.NoReply}, 10_000)
	assert.Equal(t, len(k.Plan(v, 10_000+retryMs)), 1, "an offered machine is moved again")
	k.Replied(orders[0], pools.Reply{Kind: pools.NoReply}, 10_000+retryMs)
	v.Pools[0].Post.Offers = nil
	v.ListedAt += 2 * retryMs
	assert.Equal(t, len(k.Plan(v, 10_000+2*retryMs)), 0)
}
