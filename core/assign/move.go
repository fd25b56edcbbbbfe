package assign

import (
	"sort"

	"sassafrasvalve/core/pools"
)

// shortage is a pool that wants more machines than it has.
type shortage struct {
	pool   *PoolDemand
	lacks  int
	urgent int64
}

// planMoves gives machines that are offered or switched off to the pools that lack some, and switches
// off those that no pool wants.
func (k *Controller) planMoves(now int64) {
	k.repeat(now)
	var unwanted []*machine
	for _, m := range k.movable(now) {
		s := k.neediest(k.short, m)
		if s == nil {
			unwanted = append(unwanted, m)
			continue
		}
		if !k.quota.take() {
			return
		}
		s.lacks--
		k.move(m, s.pool.Service, now)
	}
	k.park(unwanted, now)
}

// park switches off machines that no pool wants, with the orders that nothing else needs.
func (k *Controller) park(unwanted []*machine, now int64) {
	spare := k.spare()
	if spare == "" {
		return
	}
	for _, m := range unwanted {
		if m.offeredAt == 0 || now-m.offeredAt <= parkAfterMs || k.refused[[2]string{m.ID, spare}] {
			continue
		}
		if !k.quota.take() {
			return
		}
		k.move(m, spare, now)
	}
}

// repeat gives moves again whose answer was lost, until the list shows them carried out or the machine is in use again.
func (k *Controller) repeat(now int64) {
	for _, m := range k.machines {
		o := m.order
		if o == nil || o.Kind != pools.Move || m.pending || now >= m.unsure || now < m.retryAt {
			continue
		}
		if m.Pool == o.Spec {
			continue // carried out; a late repeat changes nothing
		}
		if m.listed && m.State == pools.MachineUp && k.idle(m) && k.quota.take() {
			k.send(m, *o, now)
		}
	}
}

func (k *Controller) move(m *machine, pool string, now int64) {
	k.send(m, pools.Order{Kind: pools.Move, VM: m.VM, Item: m.ID, Spec: pool, Fence: k.cfg.Epoch}, now)
}

// shortages returns the pools that lack machines.
func (k *Controller) shortages() []*shortage {
	have := map[string]int{}
	for _, m := range k.machines {
		switch {
		case !m.listed || m.State != pools.MachineUp && m.target == "" && m.wave == 0:
		case m.target != "":
			have[m.target]++
		case m.pending && m.order.Kind == pools.Move:
			have[m.order.Spec]++
		case m.offeredAt == 0:
			have[m.Pool]++
		}
	}
	var list []*shortage
	for i := range k.view.Pools {
		p := &k.view.Pools[i]
		if lacks := p.Report.Want - have[p.Service]; lacks > 0 && !p.Spare {
			list = append(list, &shortage{p, lacks, p.Report.Urgent})
		}
	}
	return list
}

// neediest returns the pool that gets a machine: first one under its minimum, then the most urgent, then
// the one that lacks most.
func (k *Controller) neediest(list []*shortage, m *machine) *shortage {
	var best *shortage
	for _, s := range list {
		if s.lacks <= 0 || s.pool.Service == m.Pool || k.refused[[2]string{m.ID, s.pool.Service}] {
			continue
		}
		if best == nil || under(s) && !under(best) || under(s) == under(best) &&
			(s.lacks > best.lacks || s.lacks == best.lacks && s.urgent > best.urgent) {
			best = s
		}
	}
	return best
}

// under reports whether a pool has fewer machines than its lasting work needs.
func under(s *shortage) bool { return s.pool.Report.Want-s.lacks < s.pool.Report.Min }

// movable returns the machines that may be given away: offered ones first, then those that are switched off.
func (k *Controller) movable(now int64) []*machine {
	var list []*machine
	for _, m := range k.machines {
		if k.ready(m, now) && (m.offeredAt > 0 || k.isSpare(m.Pool)) {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a].offeredAt > 0, list[b].offeredAt > 0
		if x != y {
			return x
		}
		return list[a].ID < list[b].ID
	})
	return list
}

// spare returns the pool whose machines are switched off, empty if there is none.
func (k *Controller) spare() string {
	for i := range k.view.Pools {
		if k.view.Pools[i].Spare {
			return k.view.Pools[i].Service
		}
	}
	return ""
}
