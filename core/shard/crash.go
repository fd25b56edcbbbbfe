package shard

import (
	"cmp"
	"fmt"
	"slices"

	"sassafrasvalve/core/jobs"
)

// Rules for items that crash the VMs that start them.
const (
	// minCrashes is the number of VMs that must have crashed under an item before its job may be failed.
	minCrashes = 2
	// maxLostVMs is the number of VMs lost under an item at which its job is failed without further proof. Once three VMs have
	// crashed under an item, the platform allows two more starts.
	maxLostVMs = 5
	// maxCauseAgeMs is the age up to which a run may be the cause of a crash. A run that gets older clears its item.
	maxCauseAgeMs = 5000
	// startBatchMs is the time before the last start on a crashed VM within which the items that started are tested first.
	startBatchMs = 100
	// testLeadMs is how long before a test all other runs on the VM must have started, so that a crash speaks against the
	// tested item only.
	testLeadMs = 30
	// maxTestMs and testMarginMs bound how long a VM that tests a suspect takes no other work: until the run is twice as old as
	// the item's oldest run that crashed, and testMarginMs more.
	maxTestMs    = 1000
	testMarginMs = 100
	// shortTestWaitMs is how long a persistent item, or one with a single crash, waits for a test before it starts beside other
	// suspects. longTestWaitMs is that of all others, whose next crash is likely.
	shortTestWaitMs = 1500
	longTestWaitMs  = 10_000
	// testRetryMs is the time between two searches for a VM to test an item.
	testRetryMs = 40
	// testVMDivisor bounds the VMs that test suspects: one in testVMDivisor of the usable ones, or one VM. Persistent items have
	// a bound of their own, since they start first and their tests last longer.
	testVMDivisor = 4
	// crashMemoryMs is how long a crash counts as a sign that VMs crash for other reasons.
	crashMemoryMs = 5000
	// minCrashAgeMs is the resolution of the time between a start and a crash.
	minCrashAgeMs = 10
	// unseenCrashes is added to the crashes for other reasons, as VMs may crash that never did before.
	unseenCrashes = 0.5
	// proofChance is the chance that all VMs lost under an item crashed for other reasons, at which these crashes are proof.
	proofChance = 1e-6
)

// vmCrash is a crash of a VM.
type vmCrash struct {
	at     int64
	tested *job    // job whose suspects the VM tested, nil if it tested none
	items  []*item // items that may have caused the crash
}

// involves reports whether an item of a job may have caused the crash.
func (c *vmCrash) involves(j *job) bool {
	return slices.ContainsFunc(c.items, func(it *item) bool { return it.job == j })
}

// suspected reports whether a VM was lost under an item, so that the item may have caused it.
func (it *item) suspected() bool { return len(it.crashedRuns)+len(it.lostRuns) > 0 }

// needsTest reports whether the next start of an item is to show whether it crashes its VM. A test tells nothing about an item
// whose VM crashed later than a test lasts.
func (it *item) needsTest() bool {
	return it.crashAgeMs <= maxTestMs && (it.testNext || len(it.crashedRuns) >= minCrashes)
}

// needsRecord reports whether the next start of an item must be recorded before it is sent, so that each of its few further
// starts counts also after a takeover.
func (it *item) needsRecord() bool { return len(it.crashedRuns)+len(it.lostRuns) >= minCrashes }

// testMs returns how old a run of the item must get to pass a test.
func (it *item) testMs() int64 {
	if it.crashAgeMs == 0 {
		return maxTestMs // the crashes were recorded by an earlier owner
	}
	return min(2*it.crashAgeMs+testMarginMs, maxTestMs)
}

// mayCrash reports whether the present run of an item is a suspect that is not older than the runs that crashed.
func (it *item) mayCrash(now int64) bool {
	return it.suspected() && (it.phase == planned || now-it.sentAt <= it.testMs())
}

// testWaitMs returns how long an item waits for a VM to test it.
func (it *item) testWaitMs() int64 {
	if it.stepDef.Persistent || len(it.crashedRuns) < minCrashes {
		return shortTestWaitMs
	}
	return longTestWaitMs
}

// clearSuspicion records that an item does not crash its VMs.
func (it *item) clearSuspicion() {
	it.crashedRuns, it.lostRuns, it.testNext, it.testCrashed, it.unansweredCrash = nil, nil, false, false, false
	it.crashChance, it.crashAgeMs = 0, 0
}

// forgetLostVM records that the VM of a run was not lost under it.
func (it *item) forgetLostVM(run int) {
	isRun := func(r int) bool { return r == run }
	it.crashedRuns = slices.DeleteFunc(it.crashedRuns, isRun)
	it.lostRuns = slices.DeleteFunc(it.lostRuns, isRun)
	if !it.suspected() {
		it.clearSuspicion()
	}
}

// isPoison reports whether an item crashes its VMs, so that it must not start any more. Without proof a persistent item goes on,
// as it runs long enough to lose VMs for other reasons.
func (it *item) isPoison() bool {
	needed := minCrashes
	if it.unansweredCrash {
		needed++ // one start may not have been executed
	}
	if len(it.crashedRuns) < needed {
		return false
	}
	lostVMs := len(it.crashedRuns) + len(it.lostRuns)
	return lostVMs >= maxLostVMs && !it.stepDef.Persistent || it.testCrashed && it.crashChance <= proofChance
}

// recordCrash records that the VM of an item crashed, which has the given chance without the item. tested tells whether the
// VM tested the item and nothing else explains the crash.
func (it *item) recordCrash(chance float64, tested bool, now int64) {
	if it.crashChance > 0 {
		chance *= it.crashChance
	}
	it.crashChance = chance
	it.crashedRuns = it.appendLostRun(it.crashedRuns)
	it.testCrashed = it.testCrashed || tested
	it.unansweredCrash = it.unansweredCrash || it.phase == sent
	it.crashAgeMs = max(it.crashAgeMs, it.ageAtContact(now), minCrashAgeMs)
	if it.startUnknown {
		it.crashAgeMs = maxTestMs
	}
	it.testBy = now + it.testWaitMs()
}

// appendLostRun adds the present run of the item to a list of runs whose VMs were lost. An earlier owner may have added it, but not if
// the run was sent again since.
func (it *item) appendLostRun(runs []int) []int {
	if slices.Contains(runs, it.run) && !it.runReused {
		return runs
	}
	return append(runs, it.run)
}

// recordLostVM records which items may have ended the lifetime of a VM. It returns those that are proven to be poison.
func (e *Engine) recordLostVM(v *vm, cause endCause, now int64) (poison []*item) {
	switch cause {
	case endDrain, endUpkeep, endMove:
		return nil
	default:
	}
	causes := v.possibleCauses(now)
	tested := cause == endCrash && v.isTestOnly(causes)
	crash := vmCrash{at: now, tested: v.testedJob, items: causes}
	for _, it := range causes {
		e.markDirty(it.job)
		if cause != endCrash {
			it.lostRuns = it.appendLostRun(it.lostRuns)
			continue
		}
		it.recordCrash(e.chanceOfCrash(it, now), tested && it.underTest, now)
		it.testNext = it.sentAt >= causes[0].sentAt-startBatchMs
	}
	for _, it := range causes {
		if it.isPoison() {
			poison = append(poison, it)
		}
	}
	if cause == endCrash { // also of a VM that ran nothing, as a sign that VMs crash for other reasons
		e.crashes = append(e.recentCrashes(now), crash)
	}
	return poison
}

// possibleCauses returns the items whose runs may have ended the lifetime of the VM, the last started first.
func (v *vm) possibleCauses(now int64) []*item {
	var list []*item
	for _, it := range v.runs {
		switch {
		case it.phase == planned, it.job.state.Final(), it.done: // not started, or no longer wanted
		case it.inNextLifetime:
		case it.phase == sent && v.silentSince > 0 && it.sentAt > v.silentSince: // the VM was lost before
		case it.ageAtContact(now) > maxCauseAgeMs:
		default:
			list = append(list, it)
		}
	}
	slices.SortFunc(list, func(a, b *item) int {
		return cmp.Or(cmp.Compare(b.sentAt, a.sentAt), cmp.Compare(a.name, b.name))
	})
	return list
}

// isTestOnly reports whether nothing but the suspects that the VM tests can explain its crash: all other runs had started
// long before them. causes holds the items that may have caused it.
func (v *vm) isTestOnly(causes []*item) bool {
	testSince, lastOther := int64(0), int64(-testLeadMs)
	for _, it := range causes {
		switch {
		case !it.underTest:
			lastOther = max(lastOther, it.sentAt)
		case testSince == 0 || it.sentAt < testSince:
			testSince = it.sentAt
		}
	}
	return v.testedJob != nil && testSince > 0 && lastOther <= testSince-testLeadMs
}

// recentCrashes returns the crashes of the last crashMemoryMs.
func (e *Engine) recentCrashes(now int64) []vmCrash {
	return slices.DeleteFunc(e.crashes, func(c vmCrash) bool { return now-c.at > crashMemoryMs })
}

// chanceOfCrash returns the chance that the VM of an item crashed within the time since its start for another reason, by the
// recent crashes of other VMs.
func (e *Engine) chanceOfCrash(it *item, now int64) float64 {
	if it.startUnknown {
		return 1
	}
	crashes := unseenCrashes
	e.crashes = e.recentCrashes(now)
	for i := range e.crashes {
		if c := &e.crashes[i]; c.tested == nil && !c.involves(it.job) {
			crashes++
		}
	}
	age := max(it.ageAtContact(now), minCrashAgeMs)
	return min(crashes*float64(age)/float64(len(e.vms)*crashMemoryMs), 1)
}

// giveUp records that an item is poison. Its job fails, but for a persistent item: its job goes on without the item, as a stop
// of the others would make them unavailable to their users.
func (e *Engine) giveUp(it *item, v *vm, now int64) {
	j := it.job
	if j.state.Final() || it.givenUp {
		return
	}
	e.explainCrashes(j, now)
	lostVMs := len(it.crashedRuns) + len(it.lostRuns)
	reason := fmt.Sprintf("%s crashes its vms: runs %v, lost for an unknown cause %v", it.name, it.crashedRuns, it.lostRuns)
	if !it.stepDef.Persistent {
		e.failJob(j, v.ID, reason, lostVMs, now)
		return
	}
	it.givenUp, j.readyStale = true, true
	e.markDirty(j)
	e.addEvent(Event{JobID: j.ID, VM: v.ID, Name: "item given up", Reason: reason, N: lostVMs})
}

// explainCrashes removes the crashes that an item of a job has caused from those that happen for other reasons. Items that
// were on one of these VMs beside it need no test for that.
func (e *Engine) explainCrashes(j *job, now int64) {
	e.crashes = slices.DeleteFunc(e.recentCrashes(now), func(c vmCrash) bool {
		if !c.involves(j) {
			return false
		}
		for _, it := range c.items {
			if len(it.crashedRuns) < minCrashes {
				it.testNext = false
			}
		}
		return true
	})
}

// updateSuspect ends the test of an item whose run has passed it, and clears the item once its run is old enough.
func (e *Engine) updateSuspect(it *item, now int64) {
	if it.phase != running || !it.suspected() && !it.underTest {
		return
	}
	age := now - it.sentAt
	if it.underTest && age > it.testMs() {
		it.vm.endTest(it)
		it.testNext = false
	}
	if it.suspected() && age > maxCauseAgeMs {
		it.clearSuspicion()
		e.markDirty(it.job)
	}
}

// endTest opens the VM for other work, unless it still tests another item.
func (v *vm) endTest(it *item) {
	it.underTest = false
	for _, o := range v.runs {
		if o.underTest {
			return
		}
	}
	v.testedJob = nil
}

// chooseVMForSuspect returns the VM for an item under which VMs were lost, or nil if it has to wait. An item that is to be
// tested gets a VM without suspects of other jobs, so that the next crash tells which job caused it.
func (e *Engine) chooseVMForSuspect(j *job, it *item, p *placement, tokens map[string]string, now int64) *vm {
	list := it.allowedVMs(vmsWithToken(p.usable, tokens))
	if it.needsTest() {
		if v := e.searchTestVM(j, it, p, list, now); v != nil {
			if v.testedJob == nil {
				p.tests[j.Persistent()]++
			}
			it.underTest = true
			e.addEvent(Event{JobID: j.ID, VM: v.ID, Name: "test suspect", Reason: it.name, N: len(it.crashedRuns) + len(it.lostRuns)})
			return v
		}
		if now < it.testBy {
			it.notBefore, j.readyStale = now+testRetryMs, true
			return nil
		}
	}
	return e.searchVM(j, it, list, now)
}

// searchTestVM returns the VM of a list on which the test of an item disturbs least, or nil if none may test it now.
func (e *Engine) searchTestVM(j *job, it *item, p *placement, list []*vm, now int64) *vm {
	mayAdd := p.countTests(j.Persistent()) < max(len(p.usable)/testVMDivisor, 1)
	var best *vm
	var bestCost int64
	for _, v := range list {
		if v.testedJob == nil && !mayAdd || !e.mayPlace(j, it, v, now) || v.hasSuspectOfOther(j, now) {
			continue
		}
		cost := e.placementCost(j, it, v, now) + costBesideTest*int64(len(v.runs)) + costPersistentBesideTest*int64(v.persistentRuns)
		if v.startedSince(now - testLeadMs) {
			cost += costBesideRecentStart
		}
		if best == nil || cost < bestCost {
			best, bestCost = v, cost
		}
	}
	return best
}

// countTests returns the number of usable VMs that test suspects of persistent jobs, or of others.
func (p *placement) countTests(persistent bool) int {
	if p.tests == nil {
		p.tests = map[bool]int{}
		for _, v := range p.usable {
			if v.testedJob != nil {
				p.tests[v.testedJob.Persistent()]++
			}
		}
	}
	return p.tests[persistent]
}

// startedSince reports whether a run on the VM has started at or after a local time.
func (v *vm) startedSince(at int64) bool {
	for _, it := range v.runs {
		if it.sentAt >= at {
			return true
		}
	}
	return false
}

// hasSuspectOfOther reports whether the VM runs a suspect of another job that may crash it.
func (v *vm) hasSuspectOfOther(j *job, now int64) bool {
	for _, o := range v.runs {
		if o.job != j && o.mayCrash(now) {
			return true
		}
	}
	return false
}

// crashRecord returns the recorded form of the suspicions against an item.
func (it *item) crashRecord() jobs.ItemCrashes {
	return jobs.ItemCrashes{
		K: it.K, Step: it.Step, Index: it.Index, GivenUp: it.givenUp,
		Crashed: slices.Clone(it.crashedRuns), Lost: slices.Clone(it.lostRuns),
	}
}

// restoreCrashes restores the suspicions that an earlier owner recorded.
func (j *job) restoreCrashes(list []jobs.ItemCrashes) {
	for _, c := range list {
		if it := j.items[jobs.Item{K: c.K, Step: c.Step, Index: c.Index}]; it != nil && !it.done {
			it.crashedRuns, it.lostRuns, it.givenUp = slices.Clone(c.Crashed), slices.Clone(c.Lost), c.GivenUp
			it.unansweredCrash = len(c.Crashed) > 0 // the records do not tell
		}
	}
}
