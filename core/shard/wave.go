package shard

import "slices"

// Upkeep and moves of machines, in milliseconds where not said otherwise.
const (
	// finishMs is how long runs on a VM that is to be vacated may go on before they are moved.
	finishMs = 2500
	// returnMs is how long a VM whose offer was withdrawn gets nothing that lasts: the machine controller may
	// have ordered its move already.
	returnMs = 4000
	// defaultStopMs is the longest time that a VM may take to stop a run, of the platform's deployments.
	defaultStopMs = 900
	// stopSlackMs is left for a VM that ends a run a little late.
	stopSlackMs = 100
)

// SetVMsToVacate takes over which VMs the machine controller asks to be emptied.
func (e *Engine) SetVMsToVacate(vms []string) {
	if slices.Equal(vms, e.vacated) {
		return
	}
	e.vacated = vms
	asked := make(map[string]bool, len(vms))
	for _, id := range vms {
		asked[id] = true
	}
	for id, v := range e.vms {
		v.vacate = asked[id]
	}
}

// tickVacate empties the VMs that the machine controller asked for.
func (e *Engine) tickVacate(now int64) {
	for _, v := range e.vms {
		switch {
		case !v.vacate:
			v.vacateAt = 0
			continue
		case v.vacateAt == 0:
			v.vacateAt = now
			e.note(Event{VM: v.ID, Name: "vacate vm", Reason: "upkeep", N: len(v.runs)})
		}
		for _, it := range v.runs {
			switch {
			case it.phase != running:
			case it.step.Persistent:
				if e.mayInterrupt(it, now) {
					e.stop(it, "upkeep", now)
				}
			case now-v.vacateAt > finishMs:
				e.stop(it, "upkeep", now)
			}
		}
	}
}

// mayInterrupt reports whether an item that lasts may be ended now, by the budget of its step.
func (e *Engine) mayInterrupt(it *item, now int64) bool {
	if it.step.Budget <= 0 {
		return true
	}
	away := 0
	for _, o := range it.job.order {
		if o != it && o.K == it.K && o.Step == it.Step && !e.atWork(o, now) {
			away++
		}
	}
	return away < it.step.Budget
}

// atWork reports whether an item that lasts is surely at work and stays so: on a VM that has just said so, and on which no stop of
// an earlier owner is still under way, which shows only once it is carried out.
func (e *Engine) atWork(it *item, now int64) bool {
	if it.phase != running || it.percent < 100 || it.paced != 100 || it.vm.failing || now-it.vm.lastLook >= 2*PollWaitMs {
		return false
	}
	stop := e.cfg.StopEffectMs
	if stop <= 0 {
		stop = defaultStopMs
	}
	return now-it.vm.metAt > stop+stopSlackMs
}
