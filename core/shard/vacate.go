package shard

import "slices"

// Parameters of vacating VMs for the upkeep of machines, and of withdrawn offers, in milliseconds.
const (
	// vacateGraceMs is how long runs may continue on a VM that is to be vacated before they are moved.
	vacateGraceMs = 2500
	// withdrawnOfferMs is how long a VM whose offer was withdrawn gets no persistent items: the machine controller may
	// already have ordered its move.
	withdrawnOfferMs = 4000
	// defaultStopEffectMs is the longest time that a VM takes to stop a run in the platform's deployments.
	defaultStopEffectMs = 900
	// stopToleranceMs is the extra time allowed for a VM that ends a run slightly late.
	stopToleranceMs = 100
)

// SetVMsToVacate sets the VMs that the machine controller wants vacated.
func (e *Engine) SetVMsToVacate(vms []string) {
	if slices.Equal(vms, e.vmsToVacate) {
		return
	}
	e.vmsToVacate = vms
	requested := make(map[string]bool, len(vms))
	for _, id := range vms {
		requested[id] = true
	}
	for id, v := range e.vms {
		v.vacate = requested[id]
	}
}

// vacateVMs stops the runs on VMs that are to be vacated: persistent ones as the budgets of their steps allow, others
// after vacateGraceMs.
func (e *Engine) vacateVMs(now int64) {
	for _, v := range e.vms {
		switch {
		case !v.vacate:
			v.vacateSince = 0
			continue
		case v.vacateSince == 0:
			v.vacateSince = now
			e.addEvent(Event{VM: v.ID, Name: "vacate vm", Reason: "upkeep", N: len(v.runs)})
		}
		for _, it := range v.runs {
			switch {
			case it.phase != running:
			case it.stepDef.Persistent:
				if e.mayInterrupt(it, now) {
					e.stop(it, "upkeep", now)
				}
			case now-v.vacateSince > vacateGraceMs:
				e.stop(it, "upkeep", now)
			}
		}
	}
}

// mayInterrupt reports whether the budget of its step allows a persistent item to be stopped now.
func (e *Engine) mayInterrupt(it *item, now int64) bool {
	if it.stepDef.Budget <= 0 {
		return true
	}
	unavailable := 0
	for _, o := range it.job.orderedItems {
		if o != it && o.K == it.K && o.Step == it.Step && !e.atWork(o, now) {
			unavailable++
		}
	}
	return unavailable < it.stepDef.Budget
}

// atWork reports whether a persistent item is certainly at work and stays so: its VM has just reported it, and no stop
// by an earlier owner can still take effect there. Such a stop becomes visible only when it is executed.
func (e *Engine) atWork(it *item, now int64) bool {
	if it.phase != running || it.progressPercent < 100 || it.throttlePercent != 100 || it.vm.silent || now-it.vm.lastPollAt >= 2*PollWaitMs {
		return false
	}
	stopMs := e.cfg.StopEffectMs
	if stopMs <= 0 {
		stopMs = defaultStopEffectMs
	}
	return now-it.vm.firstPolledAt > stopMs+stopToleranceMs
}
