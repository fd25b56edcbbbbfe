package assign

import (
	"sort"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Pace of a wave.
const (
	// upkeepRoundMs is what the upkeep of one machine takes, with its way out of and into a pool.
	upkeepRoundMs = 5000
	// waveMargin is how much faster than needed a wave goes, in percent.
	waveMargin = 140
	// waveReserveMs is left at the end of a wave's time for machines that cannot be emptied at once.
	waveReserveMs = 4000
)

// emptiedAlways is the number of VMs of each pool that are being emptied while machines of it are due, whatever the pace of
// the wave: VMs with lasting items empty one after the other, by the budgets of their steps.
const emptiedAlways = 2

// outShare is the part of a pool that may be out for upkeep at once: one in outShare.
const outShare = 4

// planWaves orders the upkeeps that are possible, and returns the VMs that have to be emptied for others.
func (k *Controller) planWaves(now int64) []string {
	var vacate []string
	for i := range k.view.Waves {
		vacate = append(vacate, k.planWave(&k.view.Waves[i], now)...)
	}
	sort.Strings(vacate)
	return vacate
}

func (k *Controller) planWave(w *pools.Wave, now int64) []string {
	var due []*machine
	var vacate []string
	down := 0
	for _, id := range w.Machines {
		key := jobs.Upkeep{Wave: w.N, Machine: id}
		if k.view.Upkeeps[key] || k.over[key] {
			continue
		}
		m := k.machines[id]
		if _, ordered := k.view.Upkeeps[key]; ordered && m != nil && m.order == nil && m.wave == 0 {
			// An earlier machine controller ordered it, and the order may still be under way or was refused. Given again under
			// this machine controller's fence number, it is carried out now or was already. The VM may have been put to use since.
			m.order = &pools.Order{Kind: pools.Upkeep, VM: m.VM, Item: id, Run: w.N, Fence: k.cfg.Epoch}
			m.unsure = now + unsureMs
		}
		switch {
		case m == nil || !m.listed:
			k.missing(key, m, now)
		case m.wave == w.N || m.order != nil && m.order.Kind == pools.Upkeep && (m.pending || now < m.unsure):
			down++
			if !m.pending && m.wave == 0 && now >= m.retryAt && now >= k.cfg.StartAtMs && k.idle(m) && k.quota.take() {
				k.send(m, *m.order, now) // the answer was lost; the order is given again
			}
			vacate = k.keepEmpty(vacate, m)
		case m.State == pools.MachineBusy && m.target == "":
			down++ // perhaps for its upkeep
		default:
			due = append(due, m)
		}
	}
	sort.Slice(due, func(a, b int) bool { return k.before(due[a], due[b]) })
	return append(vacate, k.takeDown(w, due, down, now)...)
}

// keepEmpty adds the VM of a machine that is about to be taken down to those that get no new work. Its owner could
// otherwise start something that lasts there while the order waits or is under way.
func (k *Controller) keepEmpty(vacate []string, m *machine) []string {
	if m.State != pools.MachineUp || m.VM == "" || k.isSpare(m.Pool) {
		return vacate
	}
	return append(vacate, m.VM)
}

// before orders machines for upkeep: those that cost nothing first.
func (k *Controller) before(a, b *machine) bool {
	ca, cb := k.upkeepCost(a), k.upkeepCost(b)
	if ca != cb {
		return ca < cb
	}
	return a.ID < b.ID
}

// upkeepCost ranks a machine by what its upkeep interrupts.
func (k *Controller) upkeepCost(m *machine) int {
	switch {
	case k.isSpare(m.Pool):
		return 0
	case m.offeredAt > 0 || k.isClear(m):
		return 1
	default:
		for _, vm := range k.vacate {
			if vm == m.VM {
				return 2 // it is being emptied already
			}
		}
		return 3
	}
}

// takeDown orders upkeeps while the wave allows more, and returns the VMs to empty next.
func (k *Controller) takeDown(w *pools.Wave, due []*machine, down int, now int64) []string {
	limit := k.paceOf(w, len(due)+down, now)
	orders := k.waveOrders(w, len(due)+down, now)
	var vacate, empty []string
	out, emptying := map[string]int{}, map[string]int{}
	for _, m := range k.machines {
		if m.wave > 0 {
			out[m.Pool]++
		}
	}
	most := max(w.MaxDown, 1)
	for _, m := range due {
		taken := down + len(vacate)
		if taken >= most {
			break
		}
		switch {
		case m.State != pools.MachineUp || m.target != "":
		case k.idle(m):
			if taken >= limit && !k.isClear(m) {
				continue
			}
			empty = k.keepEmpty(empty, m)
			if now < k.cfg.StartAtMs || !k.ready(m, now) || orders == 0 || !k.quota.take() {
				continue
			}
			orders--
			down++
			out[m.Pool]++
			k.send(m, pools.Order{Kind: pools.Upkeep, VM: m.VM, Item: m.ID, Run: w.N, Fence: k.cfg.Epoch}, now)
		case taken >= limit && emptying[m.Pool] >= emptiedAlways:
		case out[m.Pool] == 0 || (out[m.Pool]+1)*outShare <= k.size(m.Pool):
			out[m.Pool]++
			emptying[m.Pool]++
			vacate = append(vacate, m.VM)
		}
	}
	return append(vacate, empty...)
}

// waveOrders returns how many upkeeps of a wave may be ordered in this turn: any number while no pool lacks machines,
// otherwise the waves' share of the orders, or what the wave needs to be in time.
func (k *Controller) waveOrders(w *pools.Wave, left int, now int64) int {
	if len(k.short) == 0 {
		return left
	}
	share := float64(waveShare) / 100
	if w.DueMs != 0 && k.quota.perS > 0 {
		seconds := float64(max(w.DueMs-now-waveReserveMs, upkeepRoundMs)) / 1000
		share = max(share, float64(left)*waveMargin/100/seconds/k.quota.perS)
	}
	return k.quota.part(share)
}

// paceOf returns how many machines of a wave may be down now. While pools lack machines, no more are taken
// down than the wave needs to be in time.
func (k *Controller) paceOf(w *pools.Wave, left int, now int64) int {
	limit := max(w.MaxDown, 1)
	if w.DueMs == 0 || len(k.short) == 0 {
		return limit
	}
	time := max(w.DueMs-now-waveReserveMs, upkeepRoundMs)
	need := (int64(left)*upkeepRoundMs*waveMargin/100 + time - 1) / time
	return min(limit, max(int(need), 1))
}

// missing records a machine that is gone for good, so that its wave can be complete.
func (k *Controller) missing(key jobs.Upkeep, m *machine, now int64) {
	if m == nil {
		m = &machine{missing: now}
		m.ID = key.Machine
		k.machines[key.Machine] = m
	}
	if now-m.missing > goneMs {
		k.note(key.Machine, "upkeep not needed", "the machine is gone", key.Wave)
		k.finish(key)
	}
}
