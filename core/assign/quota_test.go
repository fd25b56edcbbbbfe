package assign

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// largeFleet returns a view of a large fleet in which pool "lacks" wants machines while pool "gives" offers all of its
// own.
func largeFleet(offered, off int) View {
	v := View{ListedAtMs: 10_000, Pools: []PoolDemand{
		{Pool: "gives"}, {Pool: "lacks", Report: jobs.DemandReport{Want: 60}}, {Pool: "off", Spare: true},
	}}
	for i := range offered + off {
		m := pools.Machine{ID: fmt.Sprintf("m%04d", i), VM: fmt.Sprintf("vm%04d", i), Pool: "gives", State: pools.MachineUp}
		if i >= offered {
			m.Pool = "off"
		} else {
			v.Pools[0].Report.Offers = append(v.Pools[0].Report.Offers, m.VM)
		}
		v.Machines = append(v.Machines, m)
	}
	return v
}

// TestOrdersKeepToThePlatformsRate guards against orders that the platform refuses because of its rate limit, and against
// machines that are moved to the spare pool while the orders are needed for a pool that has too few. 3,296 of 4,764
// orders were refused.
func TestOrdersKeepToThePlatformsRate(t *testing.T) {
	const perS = 64
	v := largeFleet(300, 0)
	c := New(Config{Epoch: 1, OrdersPerS: perS})
	sent := map[string]int{}
	total, firstSpareMove := 0, 0
	startedAt := int64(10_000)
	for now := startedAt; now < startedAt+4000; now += testTickMs {
		v.ListedAtMs = now
		inSpan := float64(now-startedAt+quotaBurstMs+testTickMs) / 1000
		for _, o := range c.Plan(v, now) {
			total++
			sent[o.Spec]++
			if o.Spec == "off" && firstSpareMove == 0 {
				firstSpareMove = total
			}
			c.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, now)
			m := &v.Machines[indexOf(t, o.Item)]
			m.Pool, m.VM = o.Spec, m.VM+"-"+o.Spec
		}
		assert.Assert(t, float64(total) <= perS*inSpan, "%d orders in %.2f s", total, inSpan)
	}
	assert.Equal(t, sent["lacks"], 60)
	assert.Assert(t, firstSpareMove > 60, "a machine was moved to the spare pool as order %d while a pool had too few", firstSpareMove)
	assert.Assert(t, total > 2*perS, "only %d orders in 4 s", total)
}

// indexOf returns the index of a machine in the list of largeFleet.
func indexOf(t *testing.T, id string) int {
	var i int
	_, err := fmt.Sscanf(id, "m%d", &i)
	assert.NilError(t, err)
	return i
}

// TestRateLimitedOrderPausesAllOrders guards against a machine controller that continues to send orders while the
// platform refuses all of them.
func TestRateLimitedOrderPausesAllOrders(t *testing.T) {
	c := New(Config{Epoch: 1, OrdersPerS: 64})
	v := largeFleet(0, 100)
	orders := c.Plan(v, 10_000)
	assert.Assert(t, len(orders) > 0)
	for _, o := range orders {
		c.HandleOrderReply(o, pools.Reply{Kind: pools.RateLimited}, 10_000)
	}
	assert.Equal(t, len(c.Plan(v, 10_001)), 0)
	assert.Assert(t, len(c.Plan(v, 10_300)) > 0)
}

// TestVMOfAnOrderedUpkeepStaysVacated guards against an owner that starts persistent work on a VM which it has vacated
// while the upkeep of its machine waits or is in progress. The upkeep then ends that work and exceeds its budget.
func TestVMOfAnOrderedUpkeepStaysVacated(t *testing.T) {
	c := New(Config{Epoch: 1, OrdersPerS: 1})
	v := View{
		ListedAtMs: 10_000, Pools: []PoolDemand{{Pool: "a"}},
		Waves: []pools.Wave{{Number: 1, MaxDown: 8}},
	}
	for i := range 8 {
		m := pools.Machine{ID: fmt.Sprint("m", i), VM: fmt.Sprint("vm", i), Pool: "a", State: pools.MachineUp}
		v.Machines = append(v.Machines, m)
		v.Waves[0].Machines = append(v.Waves[0].Machines, m.ID)
		v.Pools[0].Report.Clear = append(v.Pools[0].Report.Clear, m.VM)
	}
	c.vmsToVacate = append([]string(nil), v.Pools[0].Report.Clear...)
	orders := c.Plan(v, 10_000)
	assert.Equal(t, len(orders), 1, "the platform takes one order a second")
	assert.DeepEqual(t, c.vmsToVacate, v.Pools[0].Report.Clear)
	c.HandleOrderReply(orders[0], pools.Reply{Kind: pools.NoReply}, 10_000)
	c.Plan(v, 10_060)
	assert.DeepEqual(t, c.vmsToVacate, v.Pools[0].Report.Clear)
}

// TestPoolsWithPersistentWorkAreVacatedFromTheStart guards against a wave that is late for its last machines. Machines
// with the lowest cost make up the number that may be down at once, and the VMs of one pool that can only be vacated one
// after the other come last. 3 to 20 of 561 machines were late.
func TestPoolsWithPersistentWorkAreVacatedFromTheStart(t *testing.T) {
	v := largeFleet(0, 60)
	v.Pools[1].Report.Want = 40 // a pool has too few machines, so the wave takes down no more than it needs to end in time
	v.Waves = []pools.Wave{{Number: 1, MaxDown: 30, DueMs: 40_000}}
	for i := range 60 {
		v.Waves[0].Machines = append(v.Waves[0].Machines, v.Machines[i].ID)
		if i >= 40 {
			v.Machines[i].Pool = "gives"
		}
	}
	c := New(Config{Epoch: 1})
	c.Plan(v, 10_000)
	assert.Equal(t, len(c.vmsToVacate), minVacatingVMs)
	first := c.vmsToVacate[0]
	v.Pools[0].Report.Clear = []string{first}
	v.ListedAtMs = 10_060
	upkeeps := 0
	for _, o := range c.Plan(v, 10_060) {
		if o.Kind == pools.Upkeep && o.VM == first {
			upkeeps++
		}
	}
	assert.Equal(t, upkeeps, 1, "a VM that was vacated has its upkeep at once")
}
