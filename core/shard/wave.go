package shard

import (
	"sort"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Upkeep of machines, in milliseconds where not said otherwise.
const (
	// finishMs is how long runs on a machine that is due may go on before they are moved.
	finishMs = 2500
	// upkeepRetryMs is the pause before an upkeep that was not carried out is ordered again.
	upkeepRetryMs = 700
	// cordonShare is the part of a pool that may be out for upkeep at once: one in cordonShare.
	cordonShare = 4
	// machinesAge is the age of the list of machines above which nothing is decided by it.
	machinesAge = 3000
	// goneMs is how long a machine must be missing in the list until it is taken as gone for good.
	goneMs = 3000
)

// due is a machine of this pool that a wave asks for.
type due struct {
	wave    *pools.Wave
	machine string
	vm      string // that runs on it
	since   int64  // of the cordon
	ordered int64  // last order, 0 before the first
	begun   int64  // the platform took the machine down, 0 before
}

// Upkeeps is the state of waves as the log and the platform tell it.
type Upkeeps struct {
	Waves    []pools.Wave
	Machines []pools.Machine
	At       int64                // local ms at which the machines were read, 0 if never
	Over     map[jobs.Upkeep]bool // recorded as done, in any shard
}

// SetUpkeeps takes the state of waves over.
func (e *Engine) SetUpkeeps(u Upkeeps) { e.upkeeps = u }

// WavesOpen reports whether a machine of a wave may still need its upkeep.
func (e *Engine) WavesOpen() bool {
	for i := range e.upkeeps.Waves {
		if !e.upkeeps.Complete(&e.upkeeps.Waves[i]) {
			return true
		}
	}
	return false
}

// Complete reports whether all machines of a wave are recorded as done.
func (u *Upkeeps) Complete(w *pools.Wave) bool {
	for _, m := range w.Machines {
		if !u.Over[jobs.Upkeep{Wave: w.N, Machine: m}] {
			return false
		}
	}
	return true
}

// lanes deals the machines of a wave into as many lanes as may be down at once. Each lane is worked
// through in order, so owners of different pools never take down more, without a word to each other.
func lanes(w *pools.Wave) [][]string {
	n := max(w.MaxDown, 1)
	sorted := append([]string(nil), w.Machines...)
	sort.Strings(sorted)
	list := make([][]string, n)
	for i, m := range sorted {
		list[i%n] = append(list[i%n], m)
	}
	return list
}

// tickWaves chooses the machines of this pool that are next, empties them and has them taken down.
func (e *Engine) tickWaves(now int64) {
	if now-e.upkeeps.At > machinesAge || e.upkeeps.At == 0 {
		return
	}
	at := make(map[string]*pools.Machine, len(e.upkeeps.Machines))
	for i := range e.upkeeps.Machines {
		at[e.upkeeps.Machines[i].ID] = &e.upkeeps.Machines[i]
	}
	for i := range e.upkeeps.Waves {
		w := &e.upkeeps.Waves[i]
		for _, lane := range lanes(w) {
			e.tickLane(w, lane, at, now)
		}
	}
	e.markPending(at)
}

// tickLane works on the first machine of a lane that is not done, if it is one of this pool.
func (e *Engine) tickLane(w *pools.Wave, lane []string, at map[string]*pools.Machine, now int64) {
	for _, id := range lane {
		key := jobs.Upkeep{Wave: w.N, Machine: id}
		if e.upkeeps.Over[key] || e.overNow[key] {
			delete(e.dues, id)
			continue
		}
		m := at[id]
		if m == nil {
			e.tickMissing(key, now)
			return
		}
		delete(e.missing, id)
		if m.Pool == e.cfg.Service {
			e.tickDue(w, m, key, now)
		}
		return
	}
}

// tickMissing records a machine that is gone for good, so that its lane goes on. The shard of the
// lowest partition does so, as a machine that is gone belongs to no pool.
func (e *Engine) tickMissing(key jobs.Upkeep, now int64) {
	if !e.cfg.First {
		return
	}
	if e.missing[key.Machine] == 0 {
		e.missing[key.Machine] = now
	} else if now-e.missing[key.Machine] > goneMs {
		e.note(Note{VM: key.Machine, What: "upkeep not needed", Reason: "the machine is gone", N: key.Wave})
		e.overNow[key] = true
		e.upkept = append(e.upkept, key)
	}
}

func (e *Engine) tickDue(w *pools.Wave, m *pools.Machine, key jobs.Upkeep, now int64) {
	d := e.dues[m.ID]
	if d == nil {
		if e.cordons() > 0 && (e.cordons()+1)*cordonShare > max(len(e.vms), cordonShare) {
			return
		}
		d = &due{wave: w, machine: m.ID, since: now}
		e.dues[m.ID] = d
		e.note(Note{VM: m.VM, What: "upkeep begins", Reason: m.ID, N: w.N})
	}
	if d.begun > 0 {
		// A list read after the answer shows the machine down until its next VM has joined.
		if m.State == pools.MachineUp && e.upkeeps.At > d.begun {
			e.note(Note{VM: m.VM, What: "upkeep done", Reason: m.ID, N: w.N})
			e.overNow[key] = true
			e.upkept = append(e.upkept, key)
			delete(e.dues, m.ID)
		}
		return
	}
	if m.State != pools.MachineUp {
		return
	}
	d.vm = m.VM
	if v := e.vms[m.VM]; v != nil {
		v.cordoned = true
		if !e.empty(v, d, now) {
			return
		}
	}
	if now-d.ordered < upkeepRetryMs {
		return
	}
	d.ordered = now
	e.orders = append(e.orders, pools.Order{
		Kind: pools.Upkeep, VM: m.VM, Item: m.ID, Run: w.N, Fence: e.cfg.Epoch,
	})
}

func (e *Engine) cordons() int { return len(e.dues) }

// empty moves what runs on a VM elsewhere. It returns true once nothing of worth would be lost.
func (e *Engine) empty(v *vm, d *due, now int64) bool {
	clear := true
	for _, it := range v.runs {
		clear = false
		switch {
		case it.phase != running:
		case it.step.Persistent:
			if e.mayInterrupt(it, now) {
				e.stop(it, "upkeep", now)
			}
		case now-d.since > finishMs:
			e.stop(it, "upkeep", now)
		}
	}
	return clear
}

// mayInterrupt reports whether an item that lasts may be ended now, by the budget of its step.
func (e *Engine) mayInterrupt(it *item, now int64) bool {
	if it.step.Budget <= 0 {
		return true
	}
	away := 0
	for _, o := range it.job.order {
		if o != it && o.K == it.K && o.Step == it.Step && !o.atWork(now) {
			away++
		}
	}
	return away < it.step.Budget
}

// atWork reports whether an item that lasts is surely at work: on a VM that has just said so.
func (it *item) atWork(now int64) bool {
	return it.phase == running && it.percent >= 100 && it.paced == 100 &&
		!it.vm.failing && now-it.vm.lastLook < 2*LookWaitMs
}

// markPending notes which VMs a wave will take down later, so that what lasts goes elsewhere.
func (e *Engine) markPending(at map[string]*pools.Machine) {
	pending := map[string]bool{}
	for i := range e.upkeeps.Waves {
		w := &e.upkeeps.Waves[i]
		for _, id := range w.Machines {
			key := jobs.Upkeep{Wave: w.N, Machine: id}
			if m := at[id]; m != nil && !e.upkeeps.Over[key] && !e.overNow[key] {
				pending[m.VM] = true
			}
		}
	}
	for id, v := range e.vms {
		v.pending = pending[id]
	}
}

// upkeepReplied takes over what became of an order to take a machine down.
func (e *Engine) upkeepReplied(o pools.Order, r pools.Reply, now int64) {
	d := e.dues[o.Item]
	if d == nil {
		return
	}
	switch r.Kind {
	case pools.Done:
		d.begun = now
		e.note(Note{VM: o.VM, What: "machine taken down", Reason: o.Item, N: o.Run})
		if v := e.vms[o.VM]; v != nil {
			e.endLife(v, 0, now)
			v.failing = true
		}
	case pools.Fenced:
		e.lost = true
	default:
		e.note(Note{VM: o.VM, What: "upkeep refused", Reason: replyNames[r.Kind], N: o.Run})
	}
}
