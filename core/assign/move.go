package assign

import (
	"cmp"
	"sort"

	"sassafrasvalve/core/pools"
)

// shortage is a pool that wants more machines than it has.
type shortage struct {
	pool    *PoolDemand
	target  int // machines that it wants and may have
	missing int
	urgent  int64
}

// planMoves moves offered and spare machines to the pools that have too few, and moves offered machines that no pool
// wants to the spare pool.
func (c *Controller) planMoves(now int64) {
	c.repeatMoves(now)
	var unwanted []*machine
	for _, m := range c.movableMachines(now) {
		s := c.poolForMachine(c.shortages, m)
		if s == nil {
			unwanted = append(unwanted, m)
			continue
		}
		if !c.quota.take() {
			return
		}
		s.missing--
		c.move(m, s.pool.Pool, now)
	}
	c.moveToSpare(unwanted, now)
}

// moveToSpare moves offered machines that no pool wants to the spare pool, which switches them off. It uses the orders
// that are left after all others.
func (c *Controller) moveToSpare(unwanted []*machine, now int64) {
	spare := c.sparePool()
	if spare == "" {
		return
	}
	for _, m := range unwanted {
		if m.offeredSince == 0 || now-m.offeredSince <= c.cfg.spareAfterMs() || c.rejectedMoves[[2]string{m.ID, spare}] {
			continue
		}
		if !c.quota.take() {
			return
		}
		c.move(m, spare, now)
	}
}

// repeatMoves queues moves without a reply again, until the list shows that they were executed or the machine is in use
// again.
func (c *Controller) repeatMoves(now int64) {
	for _, m := range c.machines {
		o := m.order
		if o == nil || o.Kind != pools.Move || m.pending || now >= m.uncertainUntil || now < m.retryAt {
			continue
		}
		if m.Pool == o.Spec {
			continue // executed; a repeat would change nothing
		}
		if m.listed && m.State == pools.MachineUp && c.interruptsNoWork(m) && c.quota.take() {
			c.queueOrder(m, *o, now)
		}
	}
}

func (c *Controller) move(m *machine, pool string, now int64) {
	c.queueOrder(m, pools.Order{Kind: pools.Move, VM: m.VM, Item: m.ID, Spec: pool, Fence: c.cfg.Epoch}, now)
}

// countMachines returns the number of machines that each pool has or will soon have, without those that it offers.
func (c *Controller) countMachines() map[string]int {
	have := map[string]int{}
	for _, m := range c.machines {
		switch {
		case !m.listed || m.State == pools.MachineDown && m.targetPool == "" && m.upkeepWave == 0:
		case m.targetPool != "":
			have[m.targetPool]++
		case m.pending && m.order.Kind == pools.Move:
			have[m.order.Spec]++
		case m.State == pools.MachineBusy:
			have[m.Pool]++ // on its way into the pool, or in its upkeep
		case m.offeredSince == 0:
			have[m.Pool]++
		}
	}
	return have
}

// findShortages returns the pools that have fewer machines than they want and may have.
func (c *Controller) findShortages(have map[string]int) []*shortage {
	var list []*shortage
	for i := range c.view.Pools {
		p := &c.view.Pools[i]
		target := p.Report.Want
		if c.shares != nil {
			target = min(target, c.shares[p.Pool])
		}
		if missing := target - have[p.Pool]; missing > 0 && !p.Spare {
			list = append(list, &shortage{p, target, missing, p.Report.Urgent})
		}
	}
	return list
}

// poolForMachine returns the pool that gets a machine: one below its minimum goes first, then those that miss machines for work
// within the shares of their accounts, then the one that misses most machines, then the most urgent one. It returns nil if no pool
// wants the machine.
func (c *Controller) poolForMachine(list []*shortage, m *machine) *shortage {
	var best *shortage
	for _, s := range list {
		if s.missing <= 0 || s.pool.Pool == m.Pool || c.rejectedMoves[[2]string{m.ID, s.pool.Pool}] {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(rankShortage(s), rankShortage(best)), cmp.Compare(missingFirst(s), missingFirst(best)),
			cmp.Compare(s.urgent, best.urgent)) > 0 {
			best = s
		}
	}
	return best
}

// rankShortage returns 2 for a pool below its minimum, 1 for one that misses machines for work within the shares of its accounts, and
// 0 for others.
func rankShortage(s *shortage) int {
	switch {
	case belowMinimum(s):
		return 2
	case missingWithinShare(s) > 0:
		return 1
	}
	return 0
}

// missingFirst returns the number of machines that a pool misses for work within the shares or, if it has these, for all its work.
func missingFirst(s *shortage) int {
	if n := missingWithinShare(s); n > 0 {
		return n
	}
	return s.missing
}

// missingWithinShare returns the number of machines that a pool misses for work within the shares of its accounts.
func missingWithinShare(s *shortage) int {
	return min(s.target, s.pool.Report.WantWithinShare()) - (s.target - s.missing)
}

// belowMinimum reports whether a pool has fewer machines than its persistent work needs.
func belowMinimum(s *shortage) bool { return s.target-s.missing < s.pool.Report.Min }

// movableMachines returns the machines that may be moved to another pool: offered ones first, then those of the spare
// pool, and those that are due for upkeep after the others. A machine stays while an earlier move may still be executed, which would take it back out of the pool that it is
// moved to now.
func (c *Controller) movableMachines(now int64) []*machine {
	var list []*machine
	for _, m := range c.machines {
		if c.canOrder(m, now) && now >= m.openMoveUntil && (m.offeredSince > 0 || c.isSparePool(m.Pool)) {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a].offeredSince > 0, list[b].offeredSince > 0
		if x != y {
			return x
		}
		if list[a].due != list[b].due {
			return list[b].due // an idle machine that is due has its upkeep at no cost, if it stays
		}
		return list[a].ID < list[b].ID
	})
	return list
}

// sparePool returns the name of the spare pool, empty if there is none.
func (c *Controller) sparePool() string {
	for i := range c.view.Pools {
		if c.view.Pools[i].Spare {
			return c.view.Pools[i].Pool
		}
	}
	return ""
}
