package assign

import (
	"slices"

	"sassafrasvalve/core/pools"
)

// upkeepOrders holds the places of one wave while its orders are planned.
type upkeepOrders struct {
	c          *Controller
	wave       *pools.Wave
	now        int64
	maxDown    int            // machines that may be down at once
	downLimit  int            // the same at the pace that the wave needs
	ordersLeft int            // orders that the wave may take of the rate limit
	down       int            // machines that are down, or are ordered to be
	vacating   int            // VMs to vacate that are still in use
	waiting    int            // vacated VMs whose order is not sent yet
	pace       map[string]int // VMs in use of each pool that are vacated at a time, for the pool to end in time
	steady     map[string]int // the same if none of them will be offered by its pool
	begun      map[string]int // those that are being vacated
	out        map[string]int // VMs of each pool that are being vacated or were in use before the upkeep of their machine
	late       map[string]bool
	vacate     []string
}

// newUpkeepOrders returns the places of a wave before any order.
func (c *Controller) newUpkeepOrders(w *pools.Wave, due []*machine, down int, now int64) *upkeepOrders {
	remaining := len(due) + down
	o := &upkeepOrders{
		c: c, wave: w, now: now, maxDown: max(w.MaxDown, 1), downLimit: c.maxDownNow(w, remaining, now),
		ordersLeft: c.maxWaveOrders(w, remaining, now), down: down, pace: map[string]int{}, steady: map[string]int{}, begun: map[string]int{}, out: map[string]int{},
		late: map[string]bool{},
	}
	for _, m := range c.machines {
		if m.upkeepWave > 0 && m.wasInUse {
			o.out[m.Pool]++
		}
	}
	lasting := map[string]int{}
	for _, m := range due {
		if m.offeredSince == 0 && !c.isSparePool(m.Pool) {
			lasting[m.Pool]++
		}
	}
	for pool, n := range lasting {
		o.pace[pool], o.late[pool] = c.vacatePace(w, pool, n, now)
		o.steady[pool] = c.vacateRate(w, n, now)
	}
	return o
}

// vacatePace returns how many VMs of a pool are vacated at a time for a wave that has n machines of it with VMs in use. It reports
// whether the time that is left is so short that the pool can't be spared machines in use.
func (c *Controller) vacatePace(w *pools.Wave, pool string, n int, now int64) (pace int, late bool) {
	if w.DueMs == 0 {
		return minVacatingVMs, false
	}
	p := c.poolDemand(pool)
	if p == nil {
		return minVacatingVMs, false
	}
	leftMs := w.DueMs - now - waveReserveMs
	cycleMs := vacateMs + c.cfg.UpkeepMs
	late = leftMs < lateCycles*cycleMs
	if !late {
		n = min(n, p.Report.Min) // the others will be offered between two peaks of the demand
	}
	return c.vacateRate(w, n, now), late
}

// vacateRate returns how many of n VMs in use have to be vacated at a time for a wave to end in time.
func (c *Controller) vacateRate(w *pools.Wave, n int, now int64) int {
	cycleMs := vacateMs + c.cfg.UpkeepMs
	leftMs := max(w.DueMs-now-waveReserveMs, cycleMs)
	return max(minVacatingVMs, int((int64(n)*cycleMs*waveMarginPercent/100+leftMs-1)/leftMs))
}

// goOn continues the vacating of a VM, and orders its upkeep once it is vacated.
func (o *upkeepOrders) goOn(m *machine) {
	o.vacate = append(o.vacate, m.VM)
	o.out[m.Pool]++
	o.begun[m.Pool]++
	switch {
	case !o.c.interruptsNoWork(m):
		o.vacating++
	case o.order(m):
		m.wasInUse = true
	default:
		o.waiting++
	}
}

// begin adds the VM of a machine to those to vacate, if that leaves its pool enough machines. reserved is false for a VM beyond
// the pace of its pool.
func (o *upkeepOrders) begin(m *machine, reserved bool) {
	limit := o.maxDown - o.down
	if reserved {
		limit = max(limit, (o.maxDown+1)/2) // the machines that are down now are back by the time the VM is vacated
	}
	if o.waiting+o.vacating >= limit {
		return
	}
	few := o.out[m.Pool] > 0 && (o.out[m.Pool]+1)*maxOutDivisor > o.c.machineCount(m.Pool)
	if few && (!reserved || !o.late[m.Pool]) {
		return
	}
	o.out[m.Pool]++
	o.begun[m.Pool]++
	o.vacating++
	o.vacate = append(o.vacate, m.VM)
}

// has reports whether the VM of a machine is to be vacated.
func (o *upkeepOrders) has(m *machine) bool { return slices.Contains(o.vacate, m.VM) }

// takeIdle orders the upkeep of a machine that interrupts no work, if a place is left. VMs that are still in use take no place, so
// that none is empty while they are vacated.
func (o *upkeepOrders) takeIdle(m *machine) {
	taken := o.down + o.waiting
	if taken >= o.maxDown || taken >= o.downLimit && !o.c.isVacated(m) {
		return
	}
	o.vacate = o.c.appendVacated(o.vacate, m)
	if o.order(m) {
		m.wasInUse = false
	}
}

// order queues the upkeep of a machine if that is possible now.
func (o *upkeepOrders) order(m *machine) bool {
	c := o.c
	if o.down >= o.maxDown || o.now < c.cfg.StartAtMs || !c.canOrder(m, o.now) || o.ordersLeft == 0 || !c.quota.take() {
		return false
	}
	o.ordersLeft--
	o.down++
	c.queueOrder(m, pools.Order{Kind: pools.Upkeep, VM: m.VM, Item: m.ID, Run: o.wave.Number, Fence: c.cfg.Epoch}, o.now)
	return true
}
