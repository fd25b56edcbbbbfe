package assign

import (
	"fmt"
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

// TestMachineIsNotMovedOnWhileAnEarlierMoveIsOpen guards against a move without a reply that is executed after a repeat of it and after a
// move to a third pool: it would take the machine away from that pool, and end the work there. Both moves have the same fence number.
func TestMachineIsNotMovedOnWhileAnEarlierMoveIsOpen(t *testing.T) {
	for _, unanswered := range []bool{false, true} {
		t.Run(fmt.Sprint("unanswered ", unanswered), func(t *testing.T) {
			v := oneMachine()
			v.Waves = nil
			v.Pools[0].Report.Offers = []string{"vm"}
			v.Pools[1].Report.Want = 1
			c := New(Config{Epoch: 1})
			now := int64(10_000)
			orders := c.Plan(v, now)
			assert.Equal(t, len(orders), 1)
			movableAt := now + listLagMs
			if unanswered {
				c.HandleOrderReply(orders[0], pools.Reply{Kind: pools.NoReply}, now)
				movableAt = now + pools.LateCallMs
				now += orderRetryMs
				orders = c.Plan(v, now)
				assert.Equal(t, len(orders), 1, "an offered machine is moved again")
			}
			c.HandleOrderReply(orders[0], pools.Reply{Kind: pools.Done}, now)
			// The machine is in pool b, which offers it, and pool a wants it back.
			v.Machines[0] = pools.Machine{ID: "m", VM: "vm2", Pool: "b", State: pools.MachineUp}
			v.Pools[0].Report, v.Pools[1].Report = jobs.DemandReport{Want: 1}, jobs.DemandReport{Offers: []string{"vm2"}}
			for orders = nil; len(orders) == 0 && now < 10_000+2*pools.LateCallMs; now += testTickMs {
				v.ListedAtMs = now
				orders = c.Plan(v, now)
			}
			assert.Equal(t, len(orders), 1)
			assert.Equal(t, orders[0].Spec, "a")
			now -= testTickMs
			assert.Assert(t, now >= movableAt && now < movableAt+listLagMs+orderRetryMs+2*testTickMs, "the machine is moved on after %d ms, not %d", now-10_000, movableAt-10_000)
		})
	}
}

// TestQueuedOrderEndsWithTheOffer guards against an order that waits to be sent while the platform is slow, and takes a machine down whose VM
// the pool's owner uses again by then.
func TestQueuedOrderEndsWithTheOffer(t *testing.T) {
	v := oneMachine()
	v.Waves = nil
	v.Pools[0].Report.Offers = []string{"vm"}
	v.Pools[1].Report.Want = 1
	c := New(Config{Epoch: 1})
	orders := c.Plan(v, 10_000)
	assert.Equal(t, len(orders), 1)
	assert.Assert(t, c.StillDue(orders[0], 10_000))
	assert.Assert(t, !c.StillDue(pools.Order{Kind: pools.Move, Item: "m", Spec: "c"}, 10_000), "another order for the machine")
	assert.Assert(t, !c.StillDue(orders[0], 10_001+maxListAgeMs), "the machine list is old")
	v.Pools[0].Report.Offers = nil
	assert.Equal(t, len(c.Plan(v, 10_000+testTickMs)), 0)
	assert.Assert(t, !c.StillDue(orders[0], 10_000+testTickMs), "the VM is in use")
	c.HandleOrderReply(orders[0], pools.Reply{Kind: pools.NotExecuted}, 10_000+testTickMs)
	v.Pools[0].Report.Offers = []string{"vm"}
	now := 10_000 + testTickMs + earlyRetryMs
	v.ListedAtMs = int64(now)
	assert.Equal(t, len(c.Plan(v, int64(now))), 1, "the machine is offered again")
}
