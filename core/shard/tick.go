package shard

import (
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Intervals of the periodic checks, in milliseconds.
const (
	tickIntervalMs   = 40
	demandIntervalMs = 100
)

// Limits for suspect VMs and stalled runs.
const (
	// suspectFailures is the number of failures and stalls among the newest 8 outcomes that makes a VM suspect.
	suspectFailures = 3
	// suspectMs is how long a suspect VM gets no new work.
	suspectMs = 3000
	// maxSuspectDivisor bounds the suspect VMs: at most one in maxSuspectDivisor of the pool at once.
	maxSuspectDivisor = 3
	// stallMs and stallFactor: a run without progress for stallMs, and for stallFactor times its estimate, is stopped
	// and starts elsewhere.
	stallMs     = 1500
	stallFactor = 1
	// maxPollAgeMs is the age of the last poll reply up to which runs may be found stalled.
	maxPollAgeMs = 1200
	// maxStartupMs is how long a persistent item may take until it is at work, and how long it may make no progress
	// before that.
	maxStartupMs = 4000
)

// Throttling of fill items on VMs that also run serving items.
const (
	throttleIntervalMs   = 600 // between two throttle decisions for a VM; the reported latency covers the last 0.5 s
	throttleAbovePercent = 85  // percentage of the target latency above which fill items are throttled
	raiseBelowPercent    = 55  // percentage of the target latency below which their limit is raised
	raiseStepPercent     = 25  // percentage points of full speed
	throttleDivisor      = 3   // throttling divides the limit by it
)

// tick does the periodic work: it releases items whose leases have expired, repeats stops, stops stalled runs, updates
// the demand and throttles fill items.
func (e *Engine) tick(now, wall int64) {
	if now < e.nextTickAt {
		return
	}
	e.nextTickAt = now + tickIntervalMs
	e.startWindow.unanswered = 0 // tickVM counts the unanswered starts again
	for _, v := range e.vms {
		e.tickVM(v, now)
	}
	e.startWindow.adapt(now)
	e.updateOpen(now)
	e.updateLate(now)
	e.forgetAccounts()
	e.vacateVMs(now)
	if now >= e.nextDemandAt {
		e.nextDemandAt = now + demandIntervalMs
		e.updateDemand(now)
	}
	for _, j := range e.jobs {
		if j.Times > 0 && !j.state.Final() {
			j.trimOccurrences() // the last item of one that is over may have left its VM since
			j.openDueOccurrences(wall, e.cfg.MaxEarlyStartMs)
		}
	}
	if now >= e.nextThrottleAt {
		e.nextThrottleAt = now + throttleIntervalMs
		for _, v := range e.vms {
			e.throttleFill(v, now)
		}
	}
	kept := e.keptRecords[:0]
	for _, f := range e.keptRecords {
		if now >= f.deleteAt {
			e.expiredKeys = append(e.expiredKeys, f.key)
			continue
		}
		kept = append(kept, f)
	}
	e.keptRecords = kept
}

// tickVM does the periodic work for the items on one VM.
func (e *Engine) tickVM(v *vm, now int64) {
	if len(v.runs) == 0 {
		return
	}
	for _, it := range v.runs {
		if it.phase == sent && it.unansweredAt == 0 {
			e.startWindow.unanswered++
		}
	}
	if (v.silent || !v.listed) && v.leasesExpired(now) {
		e.releaseLapsed(v, now)
		return
	}
	if v.silent {
		return
	}
	for _, it := range v.runs {
		e.updateSuspect(it, now)
		switch {
		case it.phase == stopping && it.stopAckedAt == 0 && now-it.stopSentAt >= stopRetryMs:
			e.sendStop(it, now)
		case it.phase == running && it.stepDef.Persistent && v.Draining:
			e.stop(it, "vm draining", now)
		case it.phase == running && e.stalled(it, now):
			it.failedVMs = append(it.failedVMs, v.ID)
			e.checkSuspect(v, v.recordOutcome(true), now)
			e.stop(it, "run stalled", now)
		}
	}
}

// releaseLapsed releases the items on a VM all of whose leases have expired, but for those that it may still start.
func (e *Engine) releaseLapsed(v *vm, now int64) {
	var lapsed []*item
	for _, it := range v.runs {
		if it.phase != planned && !it.mayStartLate(now, e.bounds.openStartMs) {
			lapsed = append(lapsed, it)
		}
	}
	if len(lapsed) == 0 {
		return
	}
	e.addEvent(Event{VM: v.ID, Name: "lease over on silent vm", N: len(v.runs)})
	poison := e.recordLostVM(v, endLapsed, now)
	for _, it := range lapsed {
		e.reportLostRun(it, endLapsed, now)
		e.addLateOfEarlierOwner(it, now)
		e.release(it, now)
	}
	for _, it := range poison {
		e.giveUp(it, v, now)
	}
}

// mayStartLate reports whether a silent VM may run an item although all leases of its known lifetime have expired: the VM may have
// restarted unseen, and executed the start there.
func (it *item) mayStartLate(now, openStartMs int64) bool {
	return it.startUnconfirmed() && now-it.sentAt < openStartMs
}

// stalled reports whether a run makes no progress.
func (e *Engine) stalled(it *item, now int64) bool {
	if now-it.vm.lastPollAt > maxPollAgeMs || it.vm.moreEnds {
		return false // the last reply is too old, or the end of the run may not be listed yet
	}
	// Only the time between polls counts. Without a poll, the process, the connection or the VM may merely have been
	// late.
	unchangedMs := it.vm.lastPollAt - it.progressChangedAt
	if it.stepDef.Persistent {
		return it.progressPercent < 100 && it.throttlePercent == 100 && now-it.startedAt > e.bounds.maxStartupMs &&
			unchangedMs > e.bounds.maxStartupMs && e.mayInterrupt(it, now)
	}
	return unchangedMs > stallMs && unchangedMs > stallFactor*it.stepDef.EstimateMs && it.progressPercent < 100
}

// checkSuspect marks a VM with many failures among its newest outcomes as suspect, unless too many VMs of the pool are
// suspect already.
func (e *Engine) checkSuspect(v *vm, failures int, now int64) {
	if failures < suspectFailures || now < v.suspectUntil {
		return
	}
	suspects := 0
	for _, other := range e.vms {
		if now < other.suspectUntil {
			suspects++
		}
	}
	if (suspects+1)*maxSuspectDivisor > len(e.vms) {
		return
	}
	v.suspectUntil = now + suspectMs
	v.recentFailures = [8]bool{}
	e.addEvent(Event{VM: v.ID, Name: "vm suspect", Reason: "runs fail or stand still", N: failures})
}

// throttleFill lowers the speed limit of the fill items on a VM while a serving item there is close to its target
// latency, and raises it again afterwards.
func (e *Engine) throttleFill(v *vm, now int64) {
	if v.silent || !v.polled {
		return
	}
	var maxLatencyPercent int64 // of the target latency
	hasFill := false
	for _, it := range v.runs {
		if it.phase != running {
			continue
		}
		hasFill = hasFill || it.stepDef.Fill
		if it.stepDef.TargetMs > 0 && !it.stepDef.Fill {
			maxLatencyPercent = max(maxLatencyPercent, 100*it.tailLatencyMs/it.stepDef.TargetMs)
		}
	}
	if !hasFill {
		return
	}
	for _, it := range v.runs {
		if it.phase != running || !it.stepDef.Fill {
			continue
		}
		percent := it.throttlePercent
		switch {
		case maxLatencyPercent > throttleAbovePercent:
			percent = it.throttlePercent / throttleDivisor
		case maxLatencyPercent < raiseBelowPercent:
			percent = min(it.throttlePercent+raiseStepPercent, 100)
		}
		if percent != it.throttlePercent || it.throttleSentAt == 0 && percent < 100 {
			it.throttlePercent, it.throttleSentAt = percent, now
			e.orders = append(e.orders, pools.Order{
				Kind: pools.Throttle, VM: v.ID, JobID: it.job.ID, Item: it.name, Run: it.run, Percent: percent, Fence: v.fence,
			})
		}
	}
}

// Counts holds the numbers of objects in an engine, for metrics and logs.
type Counts struct {
	Jobs, Waiting, Items, Runs, VMs, Usable int
	Want                                    int   // wanted VMs
	FreeCPU                                 int64 // free on usable VMs, in thousandths of a core
	WaitingItems                            int   // items that may start now, also of jobs that have begun
	NoRoom                                  int   // those of them that request more than any usable VM has free
	Closed, Offered                         int   // VMs that get little or no new work, as other pools lack machines or this one needs fewer
	ClosedFreeCPU                           int64 // free on closed VMs, in thousandths of a core
	Starting, MostStarting                  int   // starts without a reply, and the limit of their number
	Held                                    int   // jobs that wait until an earlier owner's VMs are all polled or its leases expire
	Unasked                                 int   // VMs of an earlier owner that were not polled yet
	Unrecorded                              int   // starts that wait until they are recorded
}

// Counts returns the present numbers of jobs, items, runs and VMs.
func (e *Engine) Counts(now int64) Counts {
	c := Counts{
		Jobs: len(e.jobs), VMs: len(e.vms), Want: e.demand.wantedVMs,
		Starting: e.startWindow.unanswered, MostStarting: e.startWindow.size,
		Unasked: len(e.initialPolls.vms), Unrecorded: len(e.unrecordedStarts),
	}
	var usable []*vm
	for _, v := range e.vms {
		c.Runs += len(v.runs)
		switch {
		case v.offered:
			c.Offered++
		case v.usable(now):
			usable = append(usable, v)
			c.FreeCPU += v.CPU - v.usedCPU
		case v.closed && v.takesStarts(now):
			c.Closed++
			c.ClosedFreeCPU += v.CPU - v.usedCPU
		}
	}
	c.Usable = len(usable)
	c.countJobs(e, usable, now)
	return c
}

// countJobs adds the numbers of jobs and items. usable holds the usable VMs.
func (c *Counts) countJobs(e *Engine, usable []*vm, now int64) {
	var free freeCapacity
	free.measure(usable)
	for _, j := range e.jobs {
		held := j.inherited && e.initialPolls.pending
		if held && !j.state.Final() {
			c.Held++
		}
		if j.state == jobs.Queued {
			c.Waiting++
		}
		c.Items += len(j.orderedItems)
		if held || j.state.Final() {
			continue
		}
		for _, it := range j.readyItems(now) {
			c.WaitingItems++
			if !free.mayFit(it.stepDef) {
				c.NoRoom++
			}
		}
	}
}
