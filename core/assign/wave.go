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
	// vacateMs is the time in which a VM with persistent items is vacated: each of its items has to be at work elsewhere before the
	// budget of its step lets the next one be moved.
	vacateMs = 3000
	// lateCycles is the number of times to vacate a VM and take its machine down that are left when a wave no longer leaves a pool
	// the machines in use that it would keep otherwise.
	lateCycles = 2
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
	for _, m := range c.machines {
		m.due = false
	}
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
		_, ordered := c.view.Upkeeps[key]
		if ordered && m != nil && m.order == nil && m.upkeepWave == 0 {
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
			vacate = c.appendTakenDown(vacate, m)
		case m.State == pools.MachineBusy && m.targetPool == "" && (ordered || !m.moving()):
			down++ // possibly in its upkeep
		default:
			m.due = true
			due = append(due, m)
		}
	}
	c.updateProgress(w, due, down, now)
	return append(vacate, c.orderUpkeeps(w, due, down, now)...)
}

// moving reports whether a machine that is listed as busy is being moved by this controller. It does not count as down for a
// wave: with 24 machines down at once, those that changed their pools with the demand left few places, and 331 machines were late on 12 days.
func (m *machine) moving() bool { return m.movedAt > 0 && m.Pool == m.order.Spec }

// appendVacated adds the VM of a machine that is about to be taken down to the VMs to vacate, which get no new work.
// Otherwise the pool's owner could start a persistent item there while the order waits or is in progress.
func (c *Controller) appendVacated(vacate []string, m *machine) []string {
	if m.State != pools.MachineUp || m.VM == "" || c.isSparePool(m.Pool) {
		return vacate
	}
	return append(vacate, m.VM)
}

// appendTakenDown does the same for a machine whose upkeep is ordered. The list may show before the owner notices it that the VM has
// ended: items that it starts there until then are found to be lost seconds later, and count against the budgets of their steps.
func (c *Controller) appendTakenDown(vacate []string, m *machine) []string {
	if m.upkeepWave > 0 && m.order != nil && m.order.VM != "" && m.State != pools.MachineUp && !c.isSparePool(m.Pool) {
		return append(vacate, m.order.VM)
	}
	return c.appendVacated(vacate, m)
}

// orderUpkeeps queues upkeep orders while the wave allows more, and returns the VMs to vacate. VMs that are being vacated go on
// before all others: their items would come back, perhaps just as the machine is taken down, and would count against the budget of
// their step until they are found to be lost. VMs in use come next, at the pace that their pool needs, as they take longest.
// Machines that interrupt no work take the other places.
func (c *Controller) orderUpkeeps(w *pools.Wave, due []*machine, down int, now int64) []string {
	o := c.newUpkeepOrders(w, due, down, now)
	var idle, inUse []*machine
	for _, m := range due {
		switch {
		case m.State != pools.MachineUp || m.targetPool != "":
		case c.isVacating(m) && !c.isSparePool(m.Pool):
			o.goOn(m)
		case c.interruptsNoWork(m):
			idle = append(idle, m)
		default:
			inUse = append(inUse, m)
		}
	}
	sort.Slice(inUse, func(a, b int) bool { return inUseBefore(inUse[a], inUse[b]) })
	for _, m := range inUse {
		if o.begun[m.Pool] < o.pace[m.Pool] {
			o.begin(m, true)
		}
	}
	sort.Slice(idle, func(a, b int) bool { return c.idleBefore(idle[a], idle[b]) })
	for _, m := range idle {
		o.takeIdle(m)
	}
	for _, m := range inUse {
		// While no pool lacks machines, VMs are vacated at the pace that all of the pool need, and not faster: they are missing in the peak of
		// the demand that may follow.
		beyond := w.DueMs == 0 || o.late[m.Pool] || o.begun[m.Pool] < o.steady[m.Pool]
		if beyond && o.down+o.vacating < o.downLimit && !o.has(m) {
			o.begin(m, false)
		}
	}
	return o.vacate
}

// inUseBefore sorts machines whose VMs are in use: those that were down and have just come back first, as little runs there yet.
func inUseBefore(a, b *machine) bool {
	if a.recoveredAt != b.recoveredAt {
		return a.recoveredAt > b.recoveredAt
	}
	return a.ID < b.ID
}

// idleBefore sorts machines that interrupt no work: those that are switched off first.
func (c *Controller) idleBefore(a, b *machine) bool {
	if x, y := c.isSparePool(a.Pool), c.isSparePool(b.Pool); x != y {
		return x
	}
	return a.ID < b.ID
}

// isVacating reports whether the VM of a machine is being vacated, as of the last call of Plan.
func (c *Controller) isVacating(m *machine) bool {
	_, found := slices.BinarySearch(c.vmsToVacate, m.VM)
	return found
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
