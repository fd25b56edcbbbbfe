package shard

import (
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Batch holds the records to append, and the starts that are sent once the batch is stored.
type Batch struct {
	Records   []jobs.Record
	starts    []start
	jobStates []recordedJob
	acks      map[string]int64 // by VM: last sequence number of the ends that the records cover
}

// start is a planned start of one run.
type start struct {
	it  *item
	run int
	vm  *vm
}

// recordedJob is a job whose progress is in a batch, with the state that the batch records.
type recordedJob struct {
	job   *job
	state jobs.State
}

// maxBatchBytes keeps a batch below the size limit of one append call.
const maxBatchBytes = 1 << 20

// Advance does the periodic work and starts items. wall is the Unix time in milliseconds.
//
// If the store has confirmed the ownership recently, starts are sent at once and recorded with the next batch. No other
// owner can have begun work then, and one that takes over after a crash polls every VM before it starts items that an
// earlier owner may have started. Otherwise starts wait until they are recorded, and so do those of items of which a next
// owner must know how often they were started.
func (e *Engine) Advance(now, wall int64) {
	e.tick(now, wall)
	e.updateInitialPolls(now)
	for _, s := range e.placeItems(now) {
		if now-e.confirmedAt < earlyStartConfirmationMs && !s.it.needsRecord() {
			e.orders = append(e.orders, e.startOrder(s, now))
		} else {
			e.unrecordedStarts = append(e.unrecordedStarts, s)
		}
	}
}

// startOrder marks a planned start as sent, and returns its order.
func (e *Engine) startOrder(s start, now int64) pools.Order {
	it := s.it
	it.phase, it.phaseSince, it.sentAt, it.startUnknown, it.unansweredAt = sent, now, now, false, 0
	e.startWindow.unanswered++
	deadline := s.vm.estimateClock(now) + startTimeoutMs
	s.vm.leaseEndMs, it.startDeadlineMs, it.startFence = max(s.vm.leaseEndMs, deadline), deadline, s.vm.fence
	return pools.Order{
		Kind: pools.Start, VM: s.vm.ID, JobID: it.job.ID, Item: it.name, Run: it.run, Spec: it.job.Spec,
		Ref: it.checkpoint, DeadlineMs: deadline, Fence: it.startFence, Token: it.token,
	}
}

// NextBatch returns the records that are due, nil if there are none, and marks the batch as in progress.
// HandleBatchStored must be called before the next call. Jobs beyond maxBatchBytes are left to later batches, with the
// starts that wait until these jobs are recorded. After an error everything is left to the next call.
func (e *Engine) NextBatch() (*Batch, error) {
	if len(e.dirty) == 0 && len(e.expiredKeys) == 0 && len(e.staleJobs) == 0 {
		return nil, nil
	}
	b := &Batch{acks: map[string]int64{}}
	if err := e.addProgress(b); err != nil {
		for _, r := range b.jobStates {
			e.markDirty(r.job)
		}
		for _, j := range e.dirty {
			j.forgetParts()
		}
		return nil, err
	}
	for _, key := range e.expiredKeys {
		b.Records = append(b.Records, jobs.Record{Key: key})
	}
	for _, id := range e.staleJobs {
		b.Records = append(b.Records, jobs.Record{Key: jobs.JobKey(id)}, jobs.Record{Key: jobs.CancelKey(id)})
	}
	e.expiredKeys, e.staleJobs = nil, nil
	if len(e.dirty) == 0 {
		for id, v := range e.vms {
			if v.seenSeq > v.ackedSeq {
				b.acks[id] = v.seenSeq
			}
		}
	}
	e.takeRecordedStarts(b)
	e.recording = true
	return b, nil
}

// HasUnrecordedJobs reports whether the progress of a job has changed since the last batch that holds it.
func (e *Engine) HasUnrecordedJobs() bool { return len(e.dirty) > 0 }

// takeRecordedStarts moves the starts that wait to be recorded into a batch, except those of jobs that the batch does not
// hold.
func (e *Engine) takeRecordedStarts(b *Batch) {
	waiting := e.unrecordedStarts[:0]
	for _, s := range e.unrecordedStarts {
		if e.dirty[s.it.job.ID] == s.it.job {
			waiting = append(waiting, s)
		} else {
			b.starts = append(b.starts, s)
		}
	}
	e.unrecordedStarts = waiting
}

// HandleBatchStored marks a batch as stored and returns the orders of its starts.
func (e *Engine) HandleBatchStored(b *Batch, now int64) []pools.Order {
	e.recording = false
	e.storeContactAt = max(e.storeContactAt, now)
	for id, seq := range b.acks {
		// A lower seenSeq means that a new lifetime has begun, whose ends have sequence numbers of their own.
		if v := e.vms[id]; v != nil && seq <= v.seenSeq {
			v.ackedSeq = max(v.ackedSeq, min(seq, v.ackableSeq(now)))
		}
	}
	var orders []pools.Order
	for _, s := range b.starts {
		it := s.it
		repeat := it.phase == sent && it.repeatWaits
		if it.phase != planned && !repeat || it.run != s.run || it.vm != s.vm {
			continue // released or stopped meanwhile
		}
		it.repeatWaits = false
		if repeat && !s.vm.usable(now) {
			continue // the next poll leads to another repeat
		}
		if it.job.state.Final() || it.done || !s.vm.takesStarts(now) || !e.mayStart(it.job, it) {
			e.release(it, now)
			e.abandonGang(it, now)
			continue
		}
		orders = append(orders, e.startOrder(s, now))
	}
	for _, r := range b.jobStates {
		r.job.storedState = r.state
		e.deleteIfFinished(r.job, now)
	}
	return orders
}

// StillDue reports whether an order that waited in the queue of its VM is still to be sent. The item of a start may have been
// released meanwhile and run elsewhere, and a VM that starts again under its ID would execute the start: its clock begins
// anew, so that the deadline of the order lies far ahead.
func (e *Engine) StillDue(o pools.Order, now int64) bool {
	v := e.vms[o.VM]
	if v == nil || o.Fence != v.fence {
		return false // the VM refuses a lower fence number, unless it has started again
	}
	it := v.runs[o.Item]
	current := it != nil && it.run == o.Run
	switch o.Kind {
	case pools.Start:
		return current && it.phase == sent && !v.silent && v.estimateClock(now) <= o.DeadlineMs
	case pools.Stop:
		return !current || it.phase == stopping // a run that belongs to no item is stopped, too
	default:
		return current && it.phase == running
	}
}

// HandleOrderReply applies the reply to an order.
func (e *Engine) HandleOrderReply(o pools.Order, r pools.Reply, now int64) {
	v := e.vms[o.VM]
	if v == nil {
		return
	}
	switch {
	case r.Kind != pools.Fenced && r.Kind != pools.OtherLifetime:
	case o.Fence < v.fence:
		r.Kind = pools.NotExecuted // refused for a later call of this owner, or of an address that the VM has left
	case r.Kind == pools.Fenced:
		e.fenced = true
		return
	default:
		e.endLifetime(v, lifetimeEnd{cause: v.causeOfReplacement(now)}, now)
		return
	}
	if r.ClockMs > 0 && r.ClockMs < v.clockMs-maxClockLagMs && !v.silent {
		e.suspectRestart(v, now) // its clock has begun anew
	}
	it := v.runs[o.Item]
	if it == nil || it.run != o.Run {
		return
	}
	switch o.Kind {
	case pools.Upkeep, pools.Move:
	case pools.Start:
		e.handleStartReply(it, v, r, now)
	case pools.Stop:
		if r.Kind == pools.Done {
			it.stopAckedAt = now
		}
	case pools.Throttle:
		if r.Kind != pools.Done {
			it.throttleSentAt = 0 // sent again at the next interval
		}
	}
}

// handleStartReply applies the reply to a start order to its item.
func (e *Engine) handleStartReply(it *item, v *vm, r pools.Reply, now int64) {
	if it.phase != sent {
		if r.Kind == pools.NoReply && it.open.vm == v.ID {
			it.open.until = max(it.open.until, now+pools.LateCallMs) // another copy was executed
		}
		return
	}
	e.startWindow.recordReply(it.phaseSince, now)
	it.job.readyStale = true
	switch r.Kind {
	case pools.Done:
		it.phase, it.phaseSince, it.startedAt, it.progressChangedAt = running, now, now, now
		it.progressPercent = 0
		e.markStarted(it.job, v, now)
		if it.job.state.Final() || it.done {
			e.stop(it, "no longer wanted", now)
		}
		return
	case pools.NoReply:
		e.markOpen(it, now, now)
		it.unansweredAt = now // the next poll shows whether it runs
		return
	case pools.StaleRun:
		if it.open.vm == v.ID {
			e.handleEndedRepeat(it, now)
			return
		}
	case pools.NoCapacity:
		v.noCapacityUntil = now + capacityRetryMs
	case pools.Unhealthy:
		v.suspectUntil = now + unhealthyPauseMs
	case pools.InvalidToken:
		e.expireTokens(it)
	case pools.Rejected:
		it.notBefore = now + rejectedRetryMs
	default:
	}
	e.addEvent(Event{JobID: it.job.ID, VM: v.ID, Name: "start refused", Reason: replyNames[r.Kind], N: it.run})
	if it.open.vm != "" {
		it.notBefore = max(it.notBefore, now+refusedRepeatMs)
	}
	e.release(it, now)
	e.abandonGang(it, now)
}

// replyNames holds the descriptions in logs of replies to starts that were not executed.
var replyNames = map[pools.ReplyKind]string{
	pools.NotExecuted: "not sent", pools.StaleRun: "run has ended", pools.LeaseExpired: "lease expired",
	pools.NoCapacity: "no capacity", pools.InvalidToken: "invalid token", pools.Unhealthy: "unhealthy", pools.Rejected: "malformed",
}
