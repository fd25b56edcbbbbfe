package shard

import (
	"slices"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// PollWaitMs is how long a VM may delay the reply to a poll until a run ends. A shorter wait costs more calls; a
// longer one delays the detection of a silent VM.
const PollWaitMs = 700

// Waits of polls of VMs in particular states.
const (
	// idlePollWaitMs is the wait of a poll of a VM without runs in a large pool. The platform's longest wait is 2,000 ms.
	idlePollWaitMs = 1800
	// startupPollWaitMs is the wait of a poll of a VM on which a persistent item is not at work yet. Until it is seen at work,
	// the budget of its step lets no other item be moved.
	startupPollWaitMs = 100
	// maxAckAgeMs is how long after the wait of the last poll the next one may be sent and still acknowledge ends. A poll without
	// a reply fails after 450 ms.
	maxAckAgeMs = 500
	// largePoolVMs is the number of VMs above which one owner cannot poll all of them as often as in a small pool:
	// with 0.4 core it handles about 1,000 poll replies a second.
	largePoolVMs = 400
)

// NextPoll returns the next poll request for a VM, and false for a VM that is no longer listed.
func (e *Engine) NextPoll(id string, now int64) (pools.PollRequest, bool) {
	v := e.vms[id]
	if v == nil || !v.listed {
		return pools.PollRequest{}, false
	}
	// A VM that has restarted since numbers its ends anew, so a poll acknowledges no more than the last reply has listed.
	c := pools.PollRequest{VM: id, Fence: v.fence, AckedSeq: min(v.ackedSeq, v.listedSeq)}
	if !v.polled || v.silent {
		// Its clock is unknown or may have changed. It may also be in another lifetime under the same ID, whose ends
		// have their own sequence numbers and must not be acknowledged.
		c.AckedSeq = 0
		return c, true
	}
	if now-v.answeredSentAt > v.pollWaitMs+maxAckAgeMs {
		c.AckedSeq = 0 // this process stood still, and the VM may have restarted meanwhile
	}
	if now-e.storeContactAt < maxStoreSilenceMs {
		c.LeaseEndMs = v.estimateClock(now) + e.bounds.leaseMs
		v.leaseEndMs = max(v.leaseEndMs, c.LeaseEndMs)
	}
	if v.ackedSeq >= v.ackableSeq(now) {
		switch {
		case len(v.runs) == 0 && len(e.vms) > largePoolVMs:
			c.WaitMs = idlePollWaitMs
		case v.persistentRuns > 0 && v.startsPersistentItem(now):
			c.WaitMs = startupPollWaitMs
		default:
			c.WaitMs = PollWaitMs
		}
		v.pollWaitMs = c.WaitMs
	}
	return c, true
}

// HandlePollFailure marks a VM as silent after a poll without a reply.
func (e *Engine) HandlePollFailure(id string, now int64) {
	if v := e.vms[id]; v != nil && !v.silent {
		v.silent, v.silentSince = true, now
		e.raiseFence(v, now)
		e.addEvent(Event{VM: id, Name: "vm silent", N: len(v.runs)})
	}
}

// HandlePollReply applies the reply of a VM to a poll that was sent at sentAt. It returns whether the next call of
// Engine.Advance may decide differently.
func (e *Engine) HandlePollReply(id string, reply pools.PollReply, sentAt, now int64) bool {
	v := e.vms[id]
	if v == nil {
		return false
	}
	if !v.fencedBy(sentAt) {
		return false // a later poll tells what is left of the calls before it
	}
	switch reply.Kind {
	case pools.Done:
	case pools.Fenced:
		e.fenced = true
		return true
	case pools.OtherLifetime:
		e.endLifetime(v, lifetimeEnd{cause: v.causeOfReplacement(now)}, now)
		return true
	default:
		e.HandlePollFailure(id, now)
		return false
	}
	if reply.StartedAtMs != 0 && v.startedAtMs != 0 && reply.StartedAtMs != v.startedAtMs {
		if reply.StartedAtMs < v.startedAtMs {
			return false // reply from an ended lifetime
		}
		if v.polled && !v.silent {
			e.suspectRestart(v, now)
			return true
		}
		e.endLifetime(v, lifetimeEnd{cause: v.causeOfRestart(now), next: &reply}, now)
	}
	changed := !v.polled || v.silent || len(reply.Ended) > 0
	runsBefore := len(v.runs)
	if v.startedAtMs == 0 {
		v.startedAtMs = reply.StartedAtMs
	}
	if v.silent {
		e.addEvent(Event{VM: id, Name: "vm answers again", N: len(v.runs)})
	}
	if !v.polled {
		v.firstPolledAt = now
		v.limitLease(reply.ClockMs, e.bounds.maxLeaseMs)
	}
	if v.moreEnds = reply.MoreEnds; !v.moreEnds {
		v.allEndsListed = true
		e.initialPolls.remove(id)
	}
	if v.restartSuspected {
		v.earlierLeaseUntil = 0 // it has not restarted, or limitLease has set the end of its lease
	}
	v.polled, v.silent, v.silentSince, v.restartSuspected, v.lastPollAt = true, false, 0, false, now
	v.answeredSentAt = max(v.answeredSentAt, sentAt)
	if reply.ClockMs >= v.clockMs {
		v.clockMs, v.clockReadAt = reply.ClockMs, now
	}
	v.listedSeq = 0
	for _, end := range reply.Ended {
		v.listedSeq = max(v.listedSeq, end.Seq)
		if end.Seq > v.seenSeq {
			v.seenSeq = end.Seq
			e.handleRunEnd(v, end, now)
		}
	}
	e.reconcileRuns(v, &reply, sentAt, now)
	e.ackIfClean(v, now)
	return changed || len(v.runs) != runsBefore || len(e.orders) > 0
}

// PollOvertaken reports whether a VM has replied to a later poll than the one that was sent at sentAt, whose failure therefore
// tells nothing about the VM.
func (e *Engine) PollOvertaken(id string, sentAt int64) bool {
	v := e.vms[id]
	return v != nil && v.answeredSentAt > sentAt
}

// NeedsImmediatePoll reports whether a poll would resolve the state of an item at once: of one whose start had no
// reply, of one whose stop the VM confirmed although its start was never confirmed, or of those on a VM that has restarted.
func (e *Engine) NeedsImmediatePoll(id string) bool {
	v := e.vms[id]
	if v == nil {
		return false
	}
	if v.restartSuspected {
		return true
	}
	for _, it := range v.runs {
		if it.phase == sent && it.unansweredAt > 0 {
			return true
		}
		if it.phase == stopping && it.stopAckedAt > 0 && it.startedAt < it.stopSentAt && !it.seenRunning {
			return true
		}
	}
	return false
}

// HasUnrecordedEnds reports whether a VM has listed ends that are not recorded yet.
func (e *Engine) HasUnrecordedEnds(id string, now int64) bool {
	v := e.vms[id]
	return v != nil && v.ackedSeq < v.ackableSeq(now)
}

// reconcileRuns compares the runs that a VM listed with the items assigned to it. Unknown runs are adopted or stopped;
// items whose run is missing for certain are released. While the VM has further ends to list, none is: the run may be among them.
func (e *Engine) reconcileRuns(v *vm, reply *pools.PollReply, sentAt, now int64) {
	e.pollNum++
	v.unknownRuns, v.orphanRuns = 0, 0
	for i := range reply.Running {
		r := &reply.Running[i]
		it := v.runs[r.Item]
		if it == nil || it.run < r.Run {
			it = e.adoptRun(v, r, now)
		}
		if it == nil || it.run != r.Run {
			v.unknownRuns++
			e.stopUnknownRun(v, r, now)
			continue
		}
		it.seenInPoll, it.seenRunning = e.pollNum, true
		e.updateRun(it, r, now)
	}
	if reply.MoreEnds {
		return
	}
	for _, it := range v.runs {
		if it.seenInPoll == e.pollNum {
			continue
		}
		absent := it.phase != planned && it.startFence < v.fence || it.absentIfUnlisted(sentAt)
		if !absent && it.phase == sent && it.unansweredAt > 0 && it.unansweredAt <= sentAt {
			e.resolveUnseenStart(it, now)
		}
		if absent {
			e.addEvent(Event{JobID: it.job.ID, VM: v.ID, Name: "run missing", Reason: phaseNames[it.phase], N: it.run})
			if it.startUnconfirmed() || it.phase == adopted {
				e.markLastCallOpen(it, now)
			}
			e.release(it, now)
		}
	}
}

// resolveUnseenStart handles a start that had no reply and that a later poll does not list. It is sent again to the same VM a few
// times, unless the VM is to take no work any more. After that the run is stopped. A persistent item waits until the VM would refuse
// the start instead: a stop could end a run that has started meanwhile, and exceed the budget of its step.
func (e *Engine) resolveUnseenStart(it *item, now int64) {
	switch {
	case it.repeatWaits:
	case it.runSpent: // the VM has refused a repeat, and does not list the end of the run
		e.addEvent(Event{JobID: it.job.ID, VM: it.vm.ID, Name: "start refused", Reason: replyNames[pools.StaleRun], N: it.run})
		e.release(it, now)
		e.abandonGang(it, now)
	case !it.vm.Draining && !it.vm.vacate && !it.done && !it.job.state.Final() && it.repeats < maxRepeats && e.mayStart(it.job, it):
		e.repeatStart(it, now)
	case !it.stepDef.Persistent:
		e.stop(it, "start unanswered", now)
		e.abandonGang(it, now)
	case it.vm.clockMs > it.startDeadlineMs:
		e.addEvent(Event{JobID: it.job.ID, VM: it.vm.ID, Name: "start refused", Reason: "unanswered and not seen", N: it.run})
		it.runSpent = true
		e.release(it, now)
		e.abandonGang(it, now)
	}
}

// adoptRun assigns a run that an earlier owner started without recording it to its item. It returns nil if the run is
// not wanted.
func (e *Engine) adoptRun(v *vm, r *pools.RunStatus, now int64) *item {
	it := e.itemNamed(r.Item)
	if it == nil || it.done || it.phase != idle && it.phase != adopted || it.job.state.Final() {
		return nil
	}
	j := it.job
	if it.run > r.Run || it.run == r.Run && (it.phase != idle || it.open.vm != v.ID) {
		return nil // a run that was given up, unless its open start has just been executed
	}
	if it.vm != nil {
		it.vm.detach(it) // the recorded run ended before this one started
	}
	it.run, it.phase, it.phaseSince, it.sentAt, it.startUnknown = r.Run, adopted, now, now, true
	j.readyStale, j.begun = true, true
	v.attach(it)
	e.markStarted(j, v, now)
	e.markDirty(j)
	e.addEvent(Event{JobID: j.ID, VM: v.ID, Name: "run taken over", N: r.Run})
	return it
}

// markStarted marks a queued job as running, because one of its items has started for certain. A start that was only
// sent may never be executed, and its job still counts as queued.
func (e *Engine) markStarted(j *job, v *vm, now int64) {
	if j.state != jobs.Queued {
		return
	}
	j.state = jobs.Running
	e.markDirty(j)
	e.addEvent(Event{JobID: j.ID, VM: v.ID, Name: "job starts", Reason: "ms since it was handed in", N: int(now - j.arrivedAt)})
}

// phaseNames holds the names of the phases in logs.
var phaseNames = map[phase]string{
	idle: "idle", planned: "planned", sent: "sent", running: "running", adopted: "adopted", stopping: "stopping",
}

// absentIfUnlisted reports whether an item that a poll did not list is certainly not on its VM, if the poll has the fence number
// of its start. sentAt is the time at which the poll was sent; a poll that was sent before the reply to the order may have
// overtaken the order. With a higher fence number the VM refuses the order from the poll on.
func (it *item) absentIfUnlisted(sentAt int64) bool {
	switch it.phase {
	case running:
		return it.startedAt < sentAt
	case stopping:
		return it.stopAckedAt > 0 && it.stopAckedAt < sentAt
	default:
		return false
	}
}

// updateRun applies the status of one listed run to its item.
func (e *Engine) updateRun(it *item, r *pools.RunStatus, now int64) {
	e.markStarted(it.job, it.vm, now)
	switch it.phase {
	case sent, adopted:
		e.closeIfExecuted(it, now)
		it.phase, it.startedAt, it.phaseSince, it.progressChangedAt = running, now, now, now
	default:
	}
	if it.job.state.Final() || it.done {
		e.stop(it, "no longer wanted", now)
	}
	if r.ProgressPercent != it.progressPercent {
		it.progressPercent, it.progressChangedAt = r.ProgressPercent, now
	}
	it.tailLatencyMs = r.Load
	e.setCheckpoint(it, it.vm, r.Ref)
}

// setCheckpoint sets the newest checkpoint of an item as a VM listed it, unless there is none or it is too large to be recorded.
func (e *Engine) setCheckpoint(it *item, v *vm, ref string) {
	switch {
	case ref == "":
	case len(ref) <= jobs.MaxRefBytes:
		it.checkpoint = ref
	case !it.checkpointTooLarge:
		it.checkpointTooLarge = true // logged once
		e.addEvent(Event{JobID: it.job.ID, VM: v.ID, Name: "checkpoint ignored", Reason: "bytes, above the limit", N: len(ref)})
	}
}

// stopUnknownRun orders the stop of a run that belongs to no item.
func (e *Engine) stopUnknownRun(v *vm, r *pools.RunStatus, now int64) {
	id, _, _ := jobs.ParseItem(r.Item)
	e.addEvent(Event{JobID: id, VM: v.ID, Name: "stop unknown run", N: r.Run})
	if it := e.itemNamed(r.Item); it != nil && it.open.vm == v.ID {
		it.notBefore, it.job.readyStale = max(it.notBefore, now+unknownRunPauseMs), true
		it.open.until = max(it.open.until, now+unknownRunPauseMs) // it does not start elsewhere either while the run is listed
	}
	e.countUnknownRun(v, r, now)
	e.orders = append(e.orders, pools.Order{
		Kind: pools.Stop, VM: v.ID, JobID: id, Item: r.Item, Run: r.Run, Fence: v.fence,
	})
}

// itemNamed returns the item with a full name, or nil if there is none.
func (e *Engine) itemNamed(name string) *item {
	id, key, ok := jobs.ParseItem(name)
	if j := e.jobs[id]; ok && j != nil {
		return j.items[key]
	}
	return nil
}

// handleRunEnd applies the end of a run to its item.
func (e *Engine) handleRunEnd(v *vm, end pools.RunEnd, now int64) {
	it := e.itemNamed(end.Item)
	if it == nil {
		return
	}
	j := it.job
	current := it.vm == v && it.run == end.Run
	it.runSpent = it.runSpent || it.run == end.Run
	if it.run < end.Run && (it.phase == idle || it.phase == adopted) {
		// An earlier owner started the run without recording it.
		if it.vm != nil {
			e.release(it, now)
		}
		it.run, current = end.Run, true
	}
	e.markStarted(j, v, now)
	it.forgetLostVM(end.Run)
	if !it.done {
		e.setCheckpoint(it, v, end.Ref)
	}
	if current && it.vm != nil {
		e.closeIfExecuted(it, now)
		e.release(it, now)
	}
	if end.Kind == pools.EndDone && it.open.vm == v.ID {
		v.heldAcks = append(v.heldAcks, heldAck{seq: end.Seq, until: it.open.until})
	}
	if j.state.Final() || it.done {
		return
	}
	switch end.Kind {
	case pools.EndDone:
		it.clearSuspicion()
		v.recordOutcome(false)
		if !it.stepDef.Persistent {
			e.markDone(j, it, now)
		}
	case pools.EndFailed:
		it.clearSuspicion()
		if current {
			it.failedVMs = append(it.failedVMs, v.ID)
			e.checkSuspect(v, v.recordOutcome(true), now)
		}
		e.recordFailure(j, it, v, end.Run, now)
		if current && it.stepDef.Gang && !j.state.Final() {
			e.stopGang(j, it, now)
		}
	case pools.EndStopped:
		if it.checkpoint != "" {
			e.markDirty(j)
		}
		if current && it.stepDef.Gang {
			e.stopGang(j, it, now)
		}
	}
}

// markDone marks an item, or its whole gang, as done.
func (e *Engine) markDone(j *job, it *item, now int64) {
	for _, m := range j.endingTogether(it) {
		if m.done {
			continue
		}
		m.done, j.readyStale = true, true
		j.remaining[[2]int{m.K, m.Step}]--
		if m.vm != nil && m.phase != planned {
			e.stop(m, "gang done", now)
		}
	}
	e.markDirty(j)
	j.trimOccurrences()
	e.completeIfDone(j, now)
}

// completeIfDone ends a job of which all items are done.
func (e *Engine) completeIfDone(j *job, now int64) {
	if !j.complete() {
		return
	}
	j.state = jobs.Complete
	e.markDirty(j)
	e.addEvent(Event{JobID: j.ID, Name: "job complete", Reason: "ms since it was handed in", N: int(now - j.arrivedAt)})
	e.stopJob(j, now)
}

// recordFailure counts a failed run, and fails the job once the attempts of its queue are used up. Each run is counted
// once: its end may be listed again to a new owner, and the ends from several VMs arrive in any order.
func (e *Engine) recordFailure(j *job, it *item, v *vm, run int, now int64) {
	if it.stepDef.Persistent || slices.Contains(it.failedRuns, run) {
		return
	}
	it.failedRuns = append(it.failedRuns, run)
	e.markDirty(j)
	e.failIfExhausted(j, it, v.ID, now)
}

// failIfExhausted fails a job if the attempts of its queue are used up for an item, whose last run failed on VM vmID. It
// returns true if it does. The attempts are those of its submission while no configuration was read or the queue is removed.
func (e *Engine) failIfExhausted(j *job, it *item, vmID string, now int64) bool {
	maxAttempts := j.MaxAttempts
	if q := e.catalog.Queue(j.Queue); q != nil {
		maxAttempts = q.MaxAttempts
	}
	if maxAttempts <= 0 {
		return false
	}
	failures := 0
	for _, m := range j.endingTogether(it) {
		failures += len(m.failedRuns)
	}
	if failures < maxAttempts {
		return false
	}
	e.failJob(j, vmID, "all attempts of "+it.name+" failed", failures, now)
	return true
}

// failExhausted fails a job if the attempts of its queue are used up for one of its ready items. These attempts failed while
// this owner or an earlier one had read no configuration. It returns true if it fails the job.
func (e *Engine) failExhausted(j *job, ready []*item, now int64) bool {
	for _, it := range ready {
		if len(it.failedRuns) > 0 && e.failIfExhausted(j, it, "", now) {
			return true
		}
	}
	return false
}

// failJob fails a job for a reason that n runs of one item or gang gave, the last of them on VM vmID, which may be empty.
func (e *Engine) failJob(j *job, vmID, reason string, n int, now int64) {
	j.state = jobs.Failed
	e.markDirty(j)
	e.addEvent(Event{JobID: j.ID, VM: vmID, Name: "job failed", Reason: reason, N: n})
	e.stopJob(j, now)
}

// markDirty schedules the progress of a job for recording.
func (e *Engine) markDirty(j *job) { e.dirty[j.ID] = j }
