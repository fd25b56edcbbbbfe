package shard

import (
	"sort"

	"sassafrasvalve/core/jobs"
)

// candidate is a job with items that may start now.
type candidate struct {
	job   *job
	ready []*item
	tier  int
	// slackMs is the time left until the latest start at which the job is still complete within its objective, or for
	// tierLate within lateFactor times its objective. It is negative for tierNoValue and 0 for tierPersistent.
	slackMs int64
}

// Tiers of candidates, in the order in which they are placed. The value of a job to its caller is full if the job is
// complete within its objective, reduced up to lateFactor times the objective, and nothing after that.
const (
	tierPersistent = iota // the job has value as long as it runs
	tierBegun             // has begun and can be complete within its objective
	tierOnTime            // can be complete within its objective, with some slack left
	tierLate              // can be complete within lateFactor times its objective
	tierNoValue           // cannot be complete while it has any value
)

// startReserveMs is the slack that a job must have left when it begins. The order of its start, the end of its last item, the
// record of that end and the caller's next query each take some time that no estimate includes.
const startReserveMs = 250

// startReserveDivisor bounds that slack by a fraction of the objective.
const startReserveDivisor = 6

// lateFactor is how many times its objective a job may take and still have a reduced value.
const lateFactor = 3

// placeItems selects items to start and a VM for each. The items become planned, and their jobs are marked for
// recording.
func (e *Engine) placeItems(now int64) []start {
	e.beginRound(now)
	if e.catalog == nil || now-e.storeContactAt > maxStoreSilenceMs {
		return nil
	}
	list := e.candidates(now)
	if len(list) == 0 {
		return nil
	}
	p := newPlacement(e.usableVMs(now))
	e.addClosedVMs(p, now)
	list = e.orderByShare(list, p, now)
	var starts []start
	for _, c := range list {
		if len(starts) >= e.startWindow.available() {
			break
		}
		starts = append(starts, e.placeJob(c, p, now)...)
	}
	return starts
}

// placement holds the usable VMs while items are placed on them.
type placement struct {
	usable  []*vm // sorted by ID
	index   *freeIndex
	maxFree freeCapacity
	closed  []closedVM
	// maxClosed is the largest free CPU and memory of a closed VM before any item is placed.
	maxClosed freeCapacity
	tests     map[bool]int // usable VMs that test suspects, by whether their job is persistent; nil until they are counted
}

// newPlacement returns a placement on VMs, which are sorted by ID.
func newPlacement(usable []*vm) *placement {
	p := &placement{usable: usable, index: newFreeIndex(usable)}
	p.maxFree.measure(usable)
	return p
}

// attach assigns an item to a VM.
func (p *placement) attach(v *vm, it *item) {
	v.attach(it)
	p.index.update(v)
	p.maxFree.update(v, it, p.usable)
}

// unplan reverts the planned starts of a group that does not fit as a whole.
func (p *placement) unplan(starts []start) {
	for _, s := range starts {
		s.it.vm.detach(s.it)
		p.index.update(s.vm)
		s.it.phase = idle
	}
	if len(starts) > 0 {
		p.maxFree.measure(p.usable)
	}
}

// usableVMs returns the VMs that may get new work, sorted by ID. A run that belongs to no item uses capacity that is not
// counted, so a VM that accepts starts beyond its capacity gets none beside it.
func (e *Engine) usableVMs(now int64) []*vm {
	guarded := e.capacityEnforced()
	usable := make([]*vm, 0, len(e.vms))
	for _, v := range e.vmsByID() {
		if v.usable(now) && (guarded || v.unknownRuns == 0) {
			usable = append(usable, v)
		}
	}
	return usable
}

// capacityEnforced reports whether the pool's VMs refuse starts beyond their capacity.
func (e *Engine) capacityEnforced() bool {
	if e.catalog == nil {
		return false
	}
	pool := e.catalog.Pool(e.cfg.Service)
	return pool != nil && pool.EnforcesCapacity
}

// candidates returns the jobs with items that may start now, in the order in which they are placed.
func (e *Engine) candidates(now int64) []candidate {
	var list []candidate
	for _, j := range e.jobs {
		if j.state.Final() || j.inherited && e.initialPolls.pending {
			continue
		}
		ready := j.readyItems(now)
		if len(ready) > 0 && !e.failExhausted(j, ready, now) {
			list = append(list, e.rank(j, ready, now))
		}
	}
	sort.Slice(list, func(a, b int) bool {
		x, y := &list[a], &list[b]
		if x.tier != y.tier {
			return x.tier < y.tier
		}
		if x.slackMs != y.slackMs {
			return x.slackMs < y.slackMs
		}
		return x.job.ID < y.job.ID
	})
	return list
}

// rank returns a job as a candidate, with its tier and the time left until its next items must start.
func (e *Engine) rank(j *job, ready []*item, now int64) candidate {
	c := candidate{job: j, ready: ready}
	if j.Persistent() {
		c.tier = tierPersistent
		return c
	}
	var remainingMs int64
	for _, it := range ready {
		remainingMs = max(remainingMs, j.tailMs[it.Step])
	}
	objective := e.objectiveMs(j)
	dueAt := j.arrivedAt
	if j.Times > 0 {
		dueAt = j.DueMs(ready[0].K) - j.wallOffsetMs
	}
	c.slackMs = dueAt + objective - remainingMs - now
	switch {
	case j.begun && c.slackMs >= 0:
		c.tier = tierBegun
		return c
	case c.slackMs >= min(startReserveMs, objective/startReserveDivisor):
		c.tier = tierOnTime
		return c
	}
	c.slackMs = dueAt + lateFactor*objective - remainingMs - now
	c.tier = tierLate
	if c.slackMs < 0 {
		c.tier = tierNoValue
	}
	return c
}

// objectiveMs returns the objective of a job: the time in milliseconds after its arrival or due time within which it
// should be complete.
func (e *Engine) objectiveMs(j *job) int64 {
	q := e.catalog.Queue(j.Queue)
	if q == nil {
		return j.chainMs
	}
	return int64(q.Stretch*float64(j.chainMs)) + q.SLOMs
}

// placeJob plans the ready items of one job. A gang is planned as a whole or not at all. Once an item finds no VM, the
// others of its step find none either, unless it waits for a VM to test it or for the one with its open start. Once the account
// may not start an item, it may start no other of the step, unless the item had an open start.
func (e *Engine) placeJob(c candidate, p *placement, now int64) []start {
	var starts []start
	for i := 0; i < len(c.ready); {
		step := sameStep(c.ready[i:])
		i += len(step)
		if !step[0].stepDef.Gang {
			for k := range step {
				if !e.admits(c.job, step[k:k+1]) {
					if step[k].open.vm != "" {
						continue
					}
					c.job.use.atLimit += len(step) - k - 1
					break
				}
				planned := e.placeGroup(c.job, step[k:k+1], p, now)
				if len(planned) == 0 && !step[k].needsTest() && step[k].open.vm == "" {
					break
				}
				starts = append(starts, planned...)
			}
			continue
		}
		if len(step) == step[0].stepDef.Count && e.admits(c.job, step) { // otherwise another member still runs or is being stopped
			starts = append(starts, e.placeGroup(c.job, step, p, now)...)
		}
	}
	return starts
}

// sameStep returns the items at the start of list that belong to the step of the first.
func sameStep(list []*item) []*item {
	n := 1
	for n < len(list) && list[n].K == list[0].K && list[n].Step == list[0].Step {
		n++
	}
	return list[:n]
}

// placeGroup plans all items of a group, or none if one of them has no VM.
func (e *Engine) placeGroup(j *job, group []*item, p *placement, now int64) []start {
	tokens, needed := e.policyTokens(j, group[0], now)
	if needed && len(tokens) == 0 {
		return nil
	}
	run, ok := nextRun(group)
	if !ok {
		return nil
	}
	var starts []start
	for _, it := range group {
		var v *vm
		if p.maxFree.mayFit(it.stepDef) {
			v = e.chooseVM(j, it, p, tokens, now)
		}
		if v == nil {
			v = p.chooseClosedVM(j, it, tokens)
		}
		if v == nil {
			p.unplan(starts)
			return nil
		}
		it.token = tokens[v.ID]
		p.attach(v, it)
		it.phase, it.phaseSince = planned, now
		starts = append(starts, start{it, run, v})
	}
	for _, s := range starts {
		s.it.runReused = s.it.run == run
		s.it.run, s.it.throttlePercent, s.it.stopAckedAt, s.it.throttleSentAt, s.it.seenRunning = run, 100, 0, 0, false
		s.it.repeats, s.it.runSpent = 0, false
	}
	j.begun, j.readyStale = true, true
	e.markDirty(j)
	return starts
}

// vmsWithToken returns the VMs for which there is a token, or all if tokens is nil because none is needed.
func vmsWithToken(usable []*vm, tokens map[string]string) []*vm {
	if tokens == nil {
		return usable
	}
	list := make([]*vm, 0, len(tokens))
	for _, v := range usable {
		if _, ok := tokens[v.ID]; ok {
			list = append(list, v)
		}
	}
	return list
}

// freeCapacity is the largest free CPU and memory of any one VM. It avoids a search for items that fit on no VM.
type freeCapacity struct {
	cpu, memMB int64
}

// mayFit reports whether some VM may have capacity for an item of a step.
func (f *freeCapacity) mayFit(s *jobs.Step) bool {
	return (s.Fill || s.CPU <= f.cpu) && s.MemMB <= f.memMB
}

// measure computes the maximum over all usable VMs.
func (f *freeCapacity) measure(usable []*vm) {
	f.cpu, f.memMB = 0, 0
	for _, v := range usable {
		f.cpu, f.memMB = max(f.cpu, v.CPU-v.usedCPU), max(f.memMB, v.MemMB-v.usedMemMB)
	}
}

// update recomputes the maximum after an item was assigned to v, if v may have had it.
func (f *freeCapacity) update(v *vm, it *item, usable []*vm) {
	free := v.CPU - v.usedCPU
	if !it.stepDef.Fill {
		free += it.stepDef.CPU
	}
	if free >= f.cpu || v.MemMB-v.usedMemMB+it.stepDef.MemMB >= f.memMB {
		f.measure(usable)
	}
}

// Costs in the choice of a VM, in thousandths of the VM's CPU.
const (
	costRemoteData        = 1500 // data on another rack outweighs any gain from packing
	costFailedVM          = 4000 // the item failed there before
	costSameStep          = 700  // items of one persistent step on one VM fail together
	costSharedRack        = 200  // likewise on one rack; Step.SameRack plays no part in the choice
	costFirstPersistent   = 600  // a VM with persistent items cannot be offered, so these use as few VMs as possible
	costFillBesideServing = 400  // for each pair of a fill item and a serving item, which it slows down
	costBesideSuspect     = 500  // for each pair of suspects: a crash would not tell which of them caused it
	costBesideTest        = 200  // for each run that a crash of a tested VM would take
	costBesideRecentStart = 3000 // a crash would not tell the tested item from those that have started just before it
	// costPersistentBesideTest is the further cost for a persistent item, which takes long to be at work again.
	costPersistentBesideTest = 1000
)

// chooseVM returns the VM with the lowest cost for an item, or nil if there is none with the capacity, the required label,
// a token if tokens is not nil, and fewer items of the step than its limit.
func (e *Engine) chooseVM(j *job, it *item, p *placement, tokens map[string]string, now int64) *vm {
	if it.suspected() {
		return e.chooseVMForSuspect(j, it, p, tokens, now)
	}
	if tokens == nil && it.open.vm == "" && !it.hasPreference() {
		for _, v := range p.index.from(it.stepDef.CPU) {
			if v.fits(it) && allowedOn(j, it, v) {
				return v
			}
		}
		return nil
	}
	return e.searchVM(j, it, it.allowedVMs(vmsWithToken(p.usable, tokens)), now)
}

// hasPreference reports whether the cost of an item on a VM depends on more than the VM's free CPU.
func (it *item) hasPreference() bool {
	s := it.stepDef
	return s.Persistent || s.Fill || s.DataRack != "" || len(it.failedVMs) > 0
}

// mayPlace reports whether an item may start on a VM. Persistent items get no VM whose offer was withdrawn less than
// withdrawnOfferMs ago.
func (e *Engine) mayPlace(j *job, it *item, v *vm, now int64) bool {
	return v.fits(it) && allowedOn(j, it, v) &&
		(!it.stepDef.Persistent || v.offerWithdrawnAt == 0 || now-v.offerWithdrawnAt >= withdrawnOfferMs)
}

// searchVM returns the VM with the lowest cost among all of a list.
func (e *Engine) searchVM(j *job, it *item, list []*vm, now int64) *vm {
	var best *vm
	var bestCost int64
	for _, v := range list {
		if !e.mayPlace(j, it, v, now) {
			continue
		}
		if cost := e.placementCost(j, it, v, now); best == nil || cost < bestCost {
			best, bestCost = v, cost
		}
	}
	return best
}

// allowedOn reports whether a VM has the label that the step requires, and fewer items of the step than its limit.
func allowedOn(j *job, it *item, v *vm) bool {
	s := it.stepDef
	if s.Label != "" && !v.HasLabel(s.Label) {
		return false
	}
	most := maxPerVM(s)
	if most <= 0 {
		return true
	}
	n := 0
	for _, o := range v.runs {
		if o.job == j && o.K == it.K && o.Step == it.Step {
			n++
		}
	}
	return n < most
}

// placementCost returns the cost of running an item on a VM, in thousandths of the VM's CPU.
func (e *Engine) placementCost(j *job, it *item, v *vm, now int64) int64 {
	s := it.stepDef
	// The fullest VM that fits is preferred, so that others become empty and can serve another pool.
	cost := v.measureFreeShare()
	if s.DataRack != "" && s.DataRack != v.rack {
		cost += costRemoteData
	}
	if it.failedOn(v.ID) {
		cost += costFailedVM
	}
	if it.suspected() {
		for _, o := range v.runs {
			if o.job != j && o.mayCrash(now) {
				cost += costBesideSuspect
			}
		}
	}
	if !s.Persistent && !s.Fill {
		return cost
	}
	hasPersistent := false
	for _, o := range v.runs {
		hasPersistent = hasPersistent || o.stepDef.Persistent
		if o.job == j && o.Step == it.Step {
			cost += costSameStep
		}
		if (s.Fill && o.stepDef.TargetMs > 0) || (o.stepDef.Fill && s.TargetMs > 0) {
			cost += costFillBesideServing
		}
	}
	if !hasPersistent {
		cost += costFirstPersistent
	}
	for _, o := range j.orderedItems {
		if o.vm != nil && o.Step == it.Step && o.vm.rack == v.rack {
			cost += costSharedRack
		}
	}
	return cost
}
