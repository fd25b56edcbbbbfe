package shard

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"sassafrasvalve/core/jobs"
)

// Parameters of a pool's demand, in milliseconds where not said otherwise.
const (
	// rateWindowMs is the window whose arrivals tell how certain a rise of the requested CPU is.
	rateWindowMs = 1000
	// defaultJoinMs is the time that a VM takes to join the pool until it was measured.
	defaultJoinMs = 1800
	// joinDelayMs is the time from a rise of the demand until the machine is ordered, and from the end of its move until
	// the VM gets work.
	joinDelayMs = 500
	// maxForecastMs bounds how far a rise of the demand is extrapolated.
	maxForecastMs = 8000
	// steadyForecastPercent bounds the forecast for a steady load, as a percentage of the CPU that the present jobs
	// request.
	steadyForecastPercent = 115
	// slopeWindowMs is the window over which the rise of the requested CPU is measured.
	slopeWindowMs = 700
	// trendHalfWeightJobs is the number of jobs in a window at which a measured trend counts half.
	trendHalfWeightJobs = 6
	// backlogDrainMs is the time in which waiting work should be done.
	backlogDrainMs = 1500
	// overdueDrainMs is the time in which work of jobs without value should be done.
	overdueDrainMs = 3000
	// targetUsePercent is the percentage of the VMs' CPU that placement can use.
	targetUsePercent = 85
	// offerDelayMs is how long a lower demand must last before VMs are offered.
	offerDelayMs = 1200
	// reportIntervalMs is the shortest interval between two demand reports that differ only in their numbers of VMs.
	reportIntervalMs = 250
	// memMarginPercent is the memory of whole VMs that persistent items need together, as a percentage of the sum of
	// their requests.
	memMarginPercent = 115
	// vacateHeadroomVMs is the number of VMs by which the floor rises while a persistent item waits for a VM, or a VM
	// with runs is to be vacated, so that items can start or restart elsewhere.
	vacateHeadroomVMs = 1
	// maxCapacityWaitMs is how long a persistent item may wait for a VM before the pool wants one more VM for each VM
	// that is to be vacated.
	maxCapacityWaitMs = 1000
	// extraVMWaitMs is the time for each further VM that the pool wants while a persistent item goes on waiting. Some of
	// the pool's machines may have no VM that the owner can use.
	extraVMWaitMs = 1500
	// maxExtraVMs bounds these VMs.
	maxExtraVMs = 4
	// unconfirmedMs is the time without a confirmation by the store after which submitted jobs are assumed not to be
	// recorded. The claim is renewed every 500 ms.
	unconfirmedMs = 1000
	// freshConfirmationMs is the age of a confirmation up to which submitted jobs are recorded for certain: the
	// interval between renewals, plus an append.
	freshConfirmationMs = 600
	// demandHoldMs is how long the earlier demand is held once jobs are recorded again: refused callers retry after a
	// second, and a rate is measured over another second.
	demandHoldMs = 2000
	// maxItemWorkMs bounds the time that an item counts for. An estimate of years would make any sum of work meaningless.
	maxItemWorkMs = 3_600_000
	// minVMs is the smallest number of VMs of a pool.
	minVMs = 2
)

// sample is a value that was measured at a local time.
type sample struct {
	at, value int64
}

// demandTracker holds the measurements behind a pool's demand, and the demand report.
type demandTracker struct {
	rate               arrivalRate
	recentWanted       []sample // newest values of wanted VMs
	recentRequestedCPU []sample // newest values of the CPU that the present jobs request, in thousandths of a core
	report             jobs.DemandReport
	reportedAt         int64
	wantedVMs          int
	lastConfirmed      int   // wantedVMs at the last fresh confirmation
	heldVMs            int   // lower bound of wantedVMs after a time without confirmation, 0 for none
	heldUntil          int64 // end of that bound
	joinMs             int64 // time that a VM takes to join the pool, 0 if unknown
	limitVMs           int   // VMs that the pool should keep at most, 0 for no limit
	// noRoomOpen holds the jobs of which nothing runs, as their next items fit on no open VM, while VMs are closed; noRoom those whose
	// next items fit on no VM that is not offered.
	noRoomOpen, noRoom map[*job]roomWait
	roomVMs            int // VMs that the pool needs for the items of noRoom, 0 if its own suffice
}

// addCPUSample adds a sample of the requested CPU, in thousandths of a core. It returns the rise within slopeWindowMs,
// in thousandths of a core per second, or 0 if the CPU falls or the samples cover less than a third of the window.
func (t *demandTracker) addCPUSample(requestedCPU, now int64) int64 {
	kept := t.recentRequestedCPU[:0]
	for _, u := range t.recentRequestedCPU {
		if u.at > now-slopeWindowMs {
			kept = append(kept, u)
		}
	}
	kept = append(kept, sample{now, requestedCPU})
	t.recentRequestedCPU = kept
	first := t.recentRequestedCPU[0]
	if now-first.at < slopeWindowMs/3 {
		return 0
	}
	return max((requestedCPU-first.value)*1000/(now-first.at), 0)
}

// SetJoinMs sets the time in milliseconds from an order for a machine until its VM has joined the pool, 0 if unknown.
func (e *Engine) SetJoinMs(ms int64) { e.demand.joinMs = ms }

// SetVMLimit sets the number of VMs that the pool should keep at most while other pools lack machines, 0 for no limit.
func (e *Engine) SetVMLimit(vms int) { e.demand.limitVMs = vms }

// forecastMs returns how far a rise of the demand is extrapolated: VMs that are requested now get work after that time.
func (e *Engine) forecastMs() int64 {
	return min(cmp.Or(e.demand.joinMs, defaultJoinMs)+joinDelayMs, maxForecastMs)
}

// updateDemand computes the number of wanted VMs, and updates the offers and the demand report.
func (e *Engine) updateDemand(now int64) {
	e.sampleShares(now)
	vmCPU, vmMemMB := e.vmSize()
	if vmCPU == 0 || vmMemMB == 0 {
		return
	}
	d := e.measureDemand(vmCPU, now)
	floor := max(minVMs, d.spreadVMs, int((d.persistentCPU+vmCPU-1)/vmCPU),
		int((d.persistentMemMB*memMarginPercent/100+vmMemMB-1)/vmMemMB))
	waitMs := e.longestPersistentWait(now)
	if e.needsHeadroom(waitMs) {
		floor += vacateHeadroomVMs
	}
	// VMs to vacate take no new work. One whose items may not be interrupted stays in use while another item of the same
	// step waits for capacity, so that without further VMs neither would change.
	if waitMs > maxCapacityWaitMs {
		floor += e.countVMsToVacate() + int(min((waitMs-maxCapacityWaitMs)/extraVMWaitMs, maxExtraVMs))
	}
	wanted := max(floor, int((d.batchCPU*100/targetUsePercent+d.persistentCPU+vmCPU-1)/vmCPU), e.demand.roomVMs)
	e.demand.wantedVMs = max(e.addWantedSample(wanted, now), e.updateHeldDemand(now))
	e.updateShareDemand(d, floor, vmCPU, now)
	e.updateOffers(floor, now)
	e.prepareReport(floor, now)
}

// RestoreDemand holds the demand of an earlier owner's report for a while. The present jobs are no measure of the
// demand, because callers were refused while the shard had no owner.
func (e *Engine) RestoreDemand(p jobs.DemandReport, now int64) { e.holdDemand(p.Want, now) }

// holdDemand keeps the demand from falling below a number of VMs for demandHoldMs.
func (e *Engine) holdDemand(wanted int, now int64) {
	e.demand.heldVMs, e.demand.heldUntil = max(e.demand.heldVMs, wanted), now+demandHoldMs
}

// updateHeldDemand starts, extends or ends the holding of the demand from before the store stopped accepting submitted
// jobs. It returns the held number of VMs, 0 if none is held. Jobs that could not be recorded meanwhile are missing from
// the measured work, and their callers retry.
func (e *Engine) updateHeldDemand(now int64) int {
	switch age := now - e.confirmedAt; {
	case age <= freshConfirmationMs:
		e.demand.lastConfirmed = e.demand.wantedVMs
	case age > unconfirmedMs:
		// The demand may have fallen since the last confirmation, as arriving work is measured over a second.
		wanted := max(e.demand.lastConfirmed, e.demand.wantedVMs)
		if e.demand.heldVMs == 0 {
			e.addEvent(Event{Name: "demand held", Reason: "the log confirms nothing", N: wanted})
		}
		e.holdDemand(wanted, now)
	}
	if now >= e.demand.heldUntil {
		e.demand.heldVMs = 0
	}
	return e.demand.heldVMs
}

// vmSize returns the median CPU, in thousandths of a core, and the median memory, in MB, of the pool's VMs that have answered
// a poll. A mean would follow a single VM that is listed with an absurd capacity.
func (e *Engine) vmSize() (cpu, memMB int64) {
	var cpus, mems []int64
	for _, v := range e.vms {
		if v.polled && v.CPU > 0 {
			cpus, mems = append(cpus, v.CPU), append(mems, v.MemMB)
		}
	}
	if len(cpus) == 0 {
		return 0, 0
	}
	slices.Sort(cpus)
	slices.Sort(mems)
	return cpus[len(cpus)/2], mems[len(mems)/2]
}

// requiredResources holds the resources that the jobs of a pool can use.
type requiredResources struct {
	batchCPU        int64 // thousandths of a core, by jobs that end by themselves
	persistentCPU   int64 // thousandths of a core, by persistent items
	persistentMemMB int64 // MB, by persistent items
	spreadVMs       int   // VMs that a persistent step needs because of its limit of items per VM
}

// measureDemand returns the resources that the jobs of the pool can use, including a forecast for arriving jobs. vmCPU is the
// CPU of one VM.
func (e *Engine) measureDemand(vmCPU, now int64) requiredResources {
	var d requiredResources
	var b batchDemand
	limits := e.demandLimits(now)
	e.shares.resetDemand()
	for _, j := range e.jobs {
		if j.state.Final() {
			continue
		}
		limit := limits[j.use]
		if j.Persistent() {
			if limit == nil {
				d.addPersistent(j)
			} else {
				limit.addPersistent(j)
			}
			continue
		}
		work, cpu := outstandingWork(j, vmCPU, now)
		e.addShareDemand(j, work, cpu, now)
		overdue := now > j.arrivedAt+lateFactor*e.objectiveMs(j)
		if limit == nil {
			b.add(work, cpu, overdue)
		} else {
			limit.addBatch(j, work, cpu, overdue)
		}
	}
	forecast := e.demand.rate.forecast(now, e.forecastMs())
	for _, limit := range limits {
		forecast -= limit.addTo(&d, &b)
	}
	// Core-milliseconds per second are thousandths of a core. The present jobs can use no more CPU than their items
	// request. A rise that comes from a few jobs is mostly chance.
	count := e.demand.rate.countSince(now - rateWindowMs)
	rise := e.demand.addCPUSample(b.cpu, now) * e.forecastMs() / 1000 * count / (count + trendHalfWeightJobs)
	maxForecast := b.cpu*steadyForecastPercent/100 + rise
	d.batchCPU = max(min(b.work*1000/backlogDrainMs, b.cpu), min(forecast, maxForecast)) +
		min(b.overdueWork*1000/overdueDrainMs, b.overdueCPU)
	return d
}

// addPersistent adds the resources of a persistent job.
func (d *requiredResources) addPersistent(j *job) {
	for i := range j.Steps {
		s := &j.Steps[i]
		d.persistentMemMB += int64(s.Count) * s.MemMB
		if !s.Fill {
			d.persistentCPU += int64(s.Count) * s.CPU
		}
		if most := maxPerVM(s); most > 0 {
			d.spreadVMs = max(d.spreadVMs, (s.Count+most-1)/most)
		}
	}
}

// needsHeadroom reports whether persistent items need a VM beyond those they have. waitMs is the result of
// longestPersistentWait.
func (e *Engine) needsHeadroom(waitMs int64) bool {
	if waitMs >= 0 {
		return true
	}
	for _, v := range e.vms {
		if v.vacate && len(v.runs) > 0 {
			return true
		}
	}
	return false
}

// longestPersistentWait returns the longest time in milliseconds that a persistent item has waited for a VM, or -1 if
// none waits. An item that its account may not start waits for no VM.
func (e *Engine) longestPersistentWait(now int64) int64 {
	waitMs := int64(-1)
	for _, j := range e.jobs {
		if j.state.Final() || !j.Persistent() {
			continue
		}
		for _, it := range j.orderedItems {
			if it.phase == idle && it.stepDef.Persistent && !it.givenUp && e.mayStart(j, it) {
				waitMs = max(waitMs, now-max(it.phaseSince, j.arrivedAt), 0)
			}
		}
	}
	return waitMs
}

// countVMsToVacate returns the number of listed VMs that the machine controller wants vacated.
func (e *Engine) countVMsToVacate() int {
	n := 0
	for _, v := range e.vms {
		if v.listed && v.vacate {
			n++
		}
	}
	return n
}

// outstandingWork returns the core-milliseconds left in the items of a job whose predecessors are done, and the
// thousandths of a core that these items request together. An item counts for at most one VM, whose CPU is vmCPU, and
// maxItemWorkMs: more than that no item can use.
func outstandingWork(j *job, vmCPU, now int64) (work, cpu int64) {
	for _, it := range j.orderedItems {
		if it.done || !j.predecessorsDone(it) {
			continue
		}
		left := min(it.stepDef.EstimateMs, maxItemWorkMs)
		if it.phase == running {
			left = max(left-(now-it.startedAt), left/10)
		}
		itemCPU := min(it.stepDef.CPU, vmCPU)
		work += left * itemCPU / 1000
		cpu += itemCPU
	}
	return work, cpu
}

// addWantedSample adds a value of wanted VMs and returns the largest one within offerDelayMs, so that a short lull
// releases no VM.
func (e *Engine) addWantedSample(wanted int, now int64) int {
	return addRecent(&e.demand.recentWanted, wanted, now)
}

// addRecent adds a number of VMs to samples and returns the largest one within offerDelayMs.
func addRecent(recent *[]sample, wanted int, now int64) int {
	kept := (*recent)[:0]
	for _, p := range *recent {
		if p.at > now-offerDelayMs {
			kept = append(kept, p)
		}
	}
	kept = append(kept, sample{now, int64(wanted)})
	*recent = kept
	for _, p := range kept {
		wanted = max(wanted, int(p.value))
	}
	return wanted
}

// updateOffers offers VMs without runs while the pool has more than it wants or may keep, and withdraws offers while it
// has fewer. VMs beyond the limit that run something are closed, so that they can be offered soon.
func (e *Engine) updateOffers(floor int, now int64) {
	notOffered := 0
	var free, busy, offered []*vm
	for _, v := range e.vms {
		switch {
		case !v.listed || v.Draining || v.missingSince != 0:
		case !v.polled: // it has not answered yet in its present lifetime, and may not exist
		case v.offered:
			offered = append(offered, v)
		default:
			notOffered++
			switch {
			case len(v.runs) == 0 && v.polled:
				free = append(free, v)
			case v.persistentRuns == 0:
				busy = append(busy, v)
			}
		}
	}
	needed := max(e.demand.wantedVMs, floor)
	if e.demand.limitVMs > 0 {
		needed = max(min(e.demand.wantedVMs, e.demand.limitVMs), floor)
	}
	sort.Slice(free, func(a, b int) bool {
		if free[a].vacate != free[b].vacate {
			return free[a].vacate
		}
		return free[a].ID < free[b].ID
	})
	sort.Slice(offered, func(a, b int) bool { return offered[a].ID < offered[b].ID })
	kept := e.vmsForLabels(e.waitingLabels())
	e.keepForOpenStarts(kept)
	forRoom := e.vmsForRoom(offered, now)
	for _, v := range free {
		if notOffered > needed && !kept[v] {
			v.offered = true
			e.addEvent(Event{VM: v.ID, Name: "offer vm", N: e.demand.wantedVMs})
			notOffered--
		}
	}
	for _, v := range offered {
		j := forRoom[v]
		if notOffered < needed || kept[v] || j != nil {
			v.offered = false
			v.offerWithdrawnAt = now
			ev := Event{VM: v.ID, Name: "use offered vm again", N: e.demand.wantedVMs}
			if j != nil {
				ev.JobID, ev.Reason = j.ID, "its items fit on no other"
			}
			e.addEvent(ev)
			notOffered++
		}
	}
	surplus := 0
	if e.demand.limitVMs > 0 {
		surplus = notOffered - needed
	}
	e.closeVMs(busy, surplus, now)
}

// waitingLabels returns the labels that items require which wait for a VM, sorted.
func (e *Engine) waitingLabels() []string {
	labels := map[string]bool{}
	for _, j := range e.jobs {
		if j.state.Final() || !j.requiresLabel() {
			continue
		}
		for _, it := range j.orderedItems {
			if it.stepDef.Label != "" && it.phase == idle && !it.done && !it.givenUp && j.predecessorsDone(it) && e.mayStart(j, it) {
				labels[it.stepDef.Label] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(labels))
}

// requiresLabel reports whether an item of the job runs only on VMs with a label.
func (j *job) requiresLabel() bool {
	return slices.ContainsFunc(j.Steps, func(s jobs.Step) bool { return s.Label != "" })
}

// vmsForLabels returns for each of some labels a VM with it that is not to be offered, one that is in use rather than an offered one.
// The demand is measured in VMs of any kind, so all VMs with a label might be offered while items wait for them.
func (e *Engine) vmsForLabels(labels []string) map[*vm]bool {
	kept := map[*vm]bool{}
	for _, label := range labels {
		var best *vm
		for _, v := range e.vmsByID() {
			if !v.polled || !v.listed || v.Draining || v.vacate || v.missingSince != 0 || !v.HasLabel(label) {
				continue
			}
			if best == nil || best.offered && !v.offered {
				best = v
			}
		}
		if best != nil {
			kept[best] = true
		}
	}
	return kept
}

// prepareReport updates the demand report if its lists or numbers of VMs have changed. A change of Urgent alone is not
// reported.
func (e *Engine) prepareReport(floor int, now int64) {
	p := jobs.DemandReport{
		Epoch: e.cfg.Epoch, Want: e.demand.wantedVMs, Min: floor, Rev: e.demand.report.Rev, Urgent: e.maxUrgency(now),
		WithinShare: e.shares.demand.vms,
	}
	for id, v := range e.vms {
		if !v.listed || v.Draining {
			continue
		}
		if v.offered {
			p.Offers = append(p.Offers, id)
		}
		if v.vacate && len(v.runs) == 0 {
			p.Clear = append(p.Clear, id)
		}
	}
	sort.Strings(p.Offers)
	sort.Strings(p.Clear)
	last := &e.demand.report
	listsChanged := !slices.Equal(p.Offers, last.Offers) || !slices.Equal(p.Clear, last.Clear)
	if !listsChanged && (!wantsChanged(&p, last) || now-e.demand.reportedAt < reportIntervalMs) {
		return
	}
	p.Rev++
	e.demand.report, e.demand.reportedAt = p, now
}

// DemandReport returns the current report for the machine controller.
func (e *Engine) DemandReport() jobs.DemandReport { return e.demand.report }

// maxUrgency returns the urgency of the most urgent queue that has jobs which end by themselves; a higher number goes
// first. Jobs that wait for an allowance don't count.
func (e *Engine) maxUrgency(now int64) int64 {
	var best int64
	for _, j := range e.jobs {
		if q := e.catalog.Queue(j.Queue); q != nil && !j.Persistent() && !e.heldByLimit(j, now) {
			best = max(best, int64(priorityLimit-q.Priority))
		}
	}
	return best
}

// priorityLimit is above every priority of a queue.
const priorityLimit = 100
