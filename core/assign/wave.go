package assign

import (
	"slices"
	"sort"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Parameters of the speed of a wave.
const (
	// waveMarginPercent is the speed of a wave as a percentage of the speed needed to end in time.
	waveMarginPercent = 140
	// waveReserveMs is the time reserved at the end of a wave for machines whose VMs cannot be vacated at once.
	waveReserveMs = 4000
)

// minVacatingVMs is the number of VMs of each pool that are vacated at any time while machines of the pool are due, also
// when maxDownNow allows no more machines to be down. VMs with persistent items can only be vacated one after the
// other, because of the budgets of their steps.
const minVacatingVMs = 2

// maxOutDivisor bounds the machines of a pool that are in their upkeep or whose VMs are being vacated: while there is
// one, a further VM is vacated only if they stay at most one in maxOutDivisor. An order without a reply does not count.
const maxOutDivisor = 4

// planWaves queues the upkeep orders that are possible now, and returns the VMs that must be vacated for further ones.
func (c *Controller) planWaves(now int64) []string {
	var vacate []string
	for i := range c.view.Waves {
		vacate = append(vacate, c.planWave(&c.view.Waves[i], now)...)
	}
	sort.Strings(vacate)
	return vacate
}

// planWave queues the possible upkeep orders of one wave, and returns the VMs to vacate for it.
func (c *Controller) planWave(w *pools.Wave, now int64) []string {
	var due []*machine
	var vacate []string
	down := 0
	for _, id := range w.Machines {
		key := jobs.Upkeep{Wave: w.Number, Machine: id}
		if c.view.Upkeeps[key] || c.finishedUpkeeps[key] {
			continue
		}
		m := c.machines[id]
		if _, ordered := c.view.Upkeeps[key]; ordered && m != nil && m.order == nil && m.upkeepWave == 0 {
			// An earlier machine controller ordered it, and the order may still be in progress or was refused. Sent
			// again under this controller's fence number, the order is executed now or was executed already. The VM
			// may have been used again since.
			m.order = &pools.Order{Kind: pools.Upkeep, VM: m.VM, Item: id, Run: w.Number, Fence: c.cfg.Epoch}
			m.uncertainUntil = now + pools.LateCallMs
		}
		switch {
		case m == nil || !m.listed:
			c.finishIfRemoved(key, m, now)
		case m.upkeepWave == w.Number || m.order != nil && m.order.Kind == pools.Upkeep && (m.pending || now < m.uncertainUntil):
			down++
			if !m.pending && m.upkeepWave == 0 && now >= m.retryAt && now >= c.cfg.StartAtMs && c.interruptsNoWork(m) && c.quota.take() {
				c.queueOrder(m, *m.order, now) // the reply was lost, so the order is sent again
			}
			vacate = c.appendVacated(vacate, m)
		case m.State == pools.MachineBusy && m.targetPool == "":
			down++ // possibly in its upkeep
		default:
			due = append(due, m)
		}
	}
	sort.Slice(due, func(a, b int) bool { return c.upkeepBefore(due[a], due[b]) })
	return append(vacate, c.orderUpkeeps(w, due, down, now)...)
}

// appendVacated adds the VM of a machine that is about to be taken down to the VMs to vacate, which get no new work.
// Otherwise the pool's owner could start a persistent item there while the order waits or is in progress.
func (c *Controller) appendVacated(vacate []string, m *machine) []string {
	if m.State != pools.MachineUp || m.VM == "" || c.isSparePool(m.Pool) {
		return vacate
	}
	return append(vacate, m.VM)
}

// upkeepBefore sorts machines for upkeep: those with the lowest cost first.
func (c *Controller) upkeepBefore(a, b *machine) bool {
	costA, costB := c.upkeepCost(a), c.upkeepCost(b)
	if costA != costB {
		return costA < costB
	}
	return a.ID < b.ID
}

// upkeepCost ranks a machine by the work that its upkeep interrupts, from 0 for none.
func (c *Controller) upkeepCost(m *machine) int {
	switch {
	case c.isSparePool(m.Pool):
		return 0
	case m.offeredSince > 0 || c.isVacated(m):
		return 1
	default:
		if c.isVacating(m) {
			return 2
		}
		return 3
	}
}

// isVacating reports whether the VM of a machine is being vacated, as of the last call of Plan.
func (c *Controller) isVacating(m *machine) bool {
	_, found := slices.BinarySearch(c.vmsToVacate, m.VM)
	return found
}

// orderUpkeeps queues upkeep orders while the wave allows more, and returns the VMs to vacate next.
func (c *Controller) orderUpkeeps(w *pools.Wave, due []*machine, down int, now int64) []string {
	downLimit := c.maxDownNow(w, len(due)+down, now)
	ordersLeft := c.maxWaveOrders(w, len(due)+down, now)
	var vacate, vacated []string // VMs to vacate next, and those of machines that may go down now
	out, vacating := map[string]int{}, map[string]int{}
	for _, m := range c.machines {
		if m.upkeepWave > 0 {
			out[m.Pool]++
		}
	}
	maxDown := max(w.MaxDown, 1)
	for _, m := range due {
		downOrVacating := down + len(vacate)
		if downOrVacating >= maxDown {
			break
		}
		switch {
		case m.State != pools.MachineUp || m.targetPool != "":
		case c.interruptsNoWork(m):
			if downOrVacating >= downLimit && !c.isVacated(m) {
				continue
			}
			vacated = c.appendVacated(vacated, m)
			if now < c.cfg.StartAtMs || !c.canOrder(m, now) || ordersLeft == 0 || !c.quota.take() {
				continue
			}
			ordersLeft--
			down++
			out[m.Pool]++
			c.queueOrder(m, pools.Order{Kind: pools.Upkeep, VM: m.VM, Item: m.ID, Run: w.Number, Fence: c.cfg.Epoch}, now)
		case downOrVacating >= downLimit && vacating[m.Pool] >= minVacatingVMs && !c.isVacating(m):
			// A VM that is being vacated goes on: its items would come back, and have to be moved again later.
		case out[m.Pool] == 0 || (out[m.Pool]+1)*maxOutDivisor <= c.machineCount(m.Pool):
			out[m.Pool]++
			vacating[m.Pool]++
			vacate = append(vacate, m.VM)
		}
	}
	return append(vacate, vacated...)
}

// maxWaveOrders returns how many upkeeps of a wave may be ordered now: all that remain while no pool has too few
// machines, otherwise the waves' share of the rate limit, or more if the wave needs it to end in time.
func (c *Controller) maxWaveOrders(w *pools.Wave, remaining int, now int64) int {
	if len(c.shortages) == 0 {
		return remaining
	}
	share := float64(minWaveSharePercent) / 100
	if w.DueMs != 0 && c.quota.perS > 0 {
		seconds := float64(max(w.DueMs-now-waveReserveMs, c.cfg.upkeepCycleMs())) / 1000
		share = max(share, float64(remaining)*waveMarginPercent/100/seconds/c.quota.perS)
	}
	return c.quota.share(share)
}

// maxDownNow returns how many machines of a wave may be down now. While pools have too few machines, it is limited to
// what the wave needs to end in time.
func (c *Controller) maxDownNow(w *pools.Wave, remaining int, now int64) int {
	limit := max(w.MaxDown, 1)
	if w.DueMs == 0 || len(c.shortages) == 0 {
		return limit
	}
	remainingMs := max(w.DueMs-now-waveReserveMs, c.cfg.upkeepCycleMs())
	needed := (int64(remaining)*c.cfg.upkeepCycleMs()*waveMarginPercent/100 + remainingMs - 1) / remainingMs
	return min(limit, max(int(needed), 1))
}

// finishIfRemoved records the upkeep of a machine that was removed for good as done, so that its wave can complete.
func (c *Controller) finishIfRemoved(key jobs.Upkeep, m *machine, now int64) {
	if m == nil {
		m = &machine{missingSince: now}
		m.ID = key.Machine
		c.machines[key.Machine] = m
	}
	if now-m.missingSince > removedAfterMs {
		c.addEvent(key.Machine, "upkeep not needed", "the machine was removed", key.Wave)
		c.finishUpkeep(key)
	}
}
