package shard

import (
	"slices"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// PollWaitMs is how long a VM may hold a poll back until something ends. A shorter wait costs
// calls, a longer one delays the detection of silence.
const PollWaitMs = 700

// Polls of VMs without runs in a large pool.
const (
	// idleLookWaitMs is below the platform's longest wait of 2,000 ms.
	idleLookWaitMs = 1800
	// largePool is the number of VMs above which one owner cannot ask all of them as often as in a small pool: with
	// 0.4 core it answers for about 1,000 polls a second.
	largePool = 400
)

// NextPoll returns the poll to send to a VM. It returns false for a VM that is no longer listed.
func (e *Engine) NextPoll(id string, now int64) (pools.PollRequest, bool) {
	v := e.vms[id]
	if v == nil || !v.listed {
		return pools.PollRequest{}, false
	}
	c := pools.PollRequest{VM: id, Fence: e.cfg.Epoch, AckedSeq: v.acked}
	if !v.met || v.failing {
		// Its clock is not known or may have changed, and it may have begun another lifetime under the same ID, whose
		// ends have numbers of their own and must not be forgotten.
		c.AckedSeq = 0
		return c, true
	}
	if now-e.contact < contactMs {
		c.LeaseEndMs = v.clockNow(now) + leaseMs
		v.lease = max(v.lease, c.LeaseEndMs)
	}
	if v.acked >= v.seen {
		c.WaitMs = PollWaitMs
		if len(v.runs) == 0 && len(e.vms) > largePool {
			c.WaitMs = idleLookWaitMs
		}
		v.wait = c.WaitMs
	}
	return c, true
}

// HandlePollFailure notes that a poll brought no answer.
func (e *Engine) HandlePollFailure(id string, now int64) {
	if v := e.vms[id]; v != nil && !v.failing {
		v.failing = true
		e.note(Event{VM: id, Name: "vm silent", N: len(v.runs)})
	}
}

// HandlePollReply takes over what a VM said. begun is when the poll was sent.
// It returns whether the next plan may differ from the last one.
func (e *Engine) HandlePollReply(id string, look pools.PollReply, begun, now int64) bool {
	v := e.vms[id]
	if v == nil {
		return false
	}
	switch look.Kind {
	case pools.Done:
	case pools.Fenced:
		e.lost = true
		return true
	case pools.OtherLifetime:
		e.endLife(v, 0, now)
		v.failing = true
		return true
	default:
		e.HandlePollFailure(id, now)
		return false
	}
	if look.StartedAtMs != 0 && v.born != 0 && look.StartedAtMs != v.born {
		if look.StartedAtMs < v.born {
			return false // of a lifetime that is over
		}
		e.endLife(v, look.StartedAtMs, now)
	}
	news := !v.met || v.failing || len(look.Ended) > 0
	before := len(v.runs)
	if v.born == 0 {
		v.born = look.StartedAtMs
	}
	if v.failing {
		e.note(Event{VM: id, Name: "vm answers again", N: len(v.runs)})
	}
	if !v.met {
		v.metAt = now
	}
	v.met, v.failing, v.lastLook = true, false, now
	if look.ClockMs >= v.clock {
		v.clock, v.clockAt = look.ClockMs, now
	}
	for _, end := range look.Ended {
		if end.Seq > v.seen {
			v.seen = end.Seq
			e.ended(v, end, now)
		}
	}
	e.compare(v, look.Running, begun, now)
	e.ackIfClean(v)
	return news || len(v.runs) != before || len(e.orders) > 0
}

// NeedsImmediatePoll reports whether a poll would settle an item at once: one whose start brought no answer, or one whose stop
// the VM has confirmed although it never confirmed its start.
func (e *Engine) NeedsImmediatePoll(id string) bool {
	v := e.vms[id]
	if v == nil {
		return false
	}
	for _, it := range v.runs {
		if it.phase == sent && it.unsureAt > 0 && !it.step.Persistent {
			return true
		}
		if it.phase == stopping && it.stopAcked > 0 && it.startedAt < it.stopSent && !it.shown {
			return true
		}
	}
	return false
}

// HasUnrecordedEnds reports whether a VM has listed ends that are not recorded yet.
func (e *Engine) HasUnrecordedEnds(id string) bool {
	v := e.vms[id]
	return v != nil && v.acked < v.seen
}

// compare sets what runs on a VM against what should.
func (e *Engine) compare(v *vm, rows []pools.RunStatus, begun, now int64) {
	e.mark++
	v.foreign = 0
	for i := range rows {
		r := &rows[i]
		it := v.runs[r.Item]
		if it == nil || it.run < r.Run {
			it = e.inherit(v, r, now)
		}
		if it == nil || it.run != r.Run {
			v.foreign++
			e.stopForeign(v, r)
			continue
		}
		it.seenIn, it.shown = e.mark, true
		e.observe(it, r, now)
	}
	for _, it := range v.runs {
		if it.seenIn == e.mark {
			continue
		}
		if it.phase == sent && it.unsureAt > 0 && it.unsureAt <= begun {
			e.startUnseen(it, now)
		}
		if it.overWithout(begun) {
			e.note(Event{JobID: it.job.ID, VM: v.ID, Name: "run missing", Reason: phaseNames[it.phase], N: it.run})
			e.free(it, now)
		}
	}
}

// startUnseen deals with a start that was not answered and that a later poll does not show. What lasts waits until the VM
// would refuse the start: to stop it could end a run that has begun meanwhile, beside the budget of its step. Any other item is
// barred, so that it can go elsewhere soon.
func (e *Engine) startUnseen(it *item, now int64) {
	switch {
	case !it.step.Persistent:
		e.stop(it, "start unanswered", now)
	case it.vm.clock > it.startBy:
		e.note(Event{JobID: it.job.ID, VM: it.vm.ID, Name: "start refused", Reason: "unanswered and not seen", N: it.run})
		e.free(it, now)
	}
}

// inherit takes over a run that an earlier owner started and did not record. It returns nil for a run that
// is not wanted.
func (e *Engine) inherit(v *vm, r *pools.RunStatus, now int64) *item {
	id, key, ok := jobs.ParseItem(r.Item)
	j := e.jobs[id]
	if !ok || j == nil || j.state.Final() {
		return nil
	}
	it := j.items[key]
	if it == nil || it.done || it.run >= r.Run || it.phase != idle && it.phase != adopted {
		return nil
	}
	if it.vm != nil {
		it.vm.detach(it) // the run that is recorded ended before this one began
	}
	it.run, it.phase, it.since, j.stale = r.Run, adopted, now, true
	v.attach(it)
	e.begun(j, v, now)
	e.touch(j)
	e.note(Event{JobID: id, VM: v.ID, Name: "run taken over", N: r.Run})
	return it
}

// begun notes that an item of a job has surely started. A start that is only under way may never be carried out, and
// its job still counts as waiting.
func (e *Engine) begun(j *job, v *vm, now int64) {
	if j.state != jobs.Queued {
		return
	}
	j.state = jobs.Running
	e.touch(j)
	e.note(Event{JobID: j.ID, VM: v.ID, Name: "job starts", Reason: "ms since it was handed in", N: int(now - j.arrivedAt)})
}

// phaseNames are the words of the phases in logs.
var phaseNames = map[phase]string{
	idle: "idle", planned: "planned", sent: "sent", running: "running", adopted: "adopted", stopping: "stopping",
}

// overWithout reports whether an item that a poll did not show is surely not on its VM.
// begun is when the poll was sent: an earlier one may have overtaken the order.
func (it *item) overWithout(begun int64) bool {
	switch it.phase {
	case running:
		return it.startedAt < begun
	case adopted:
		return true // the poll raised the fence number, which bars every earlier order
	case stopping:
		return it.stopAcked > 0 && it.stopAcked < begun
	default:
		return false
	}
}

// observe takes over what a VM says of one run.
func (e *Engine) observe(it *item, r *pools.RunStatus, now int64) {
	e.begun(it.job, it.vm, now)
	switch it.phase {
	case sent, adopted:
		it.phase, it.startedAt, it.since, it.movedAt = running, now, now, now
	default:
	}
	if it.job.state.Final() || it.done {
		e.stop(it, "no longer wanted", now)
	}
	if r.Percent != it.percent {
		it.percent, it.movedAt = r.Percent, now
	}
	it.load = r.Load
	if r.Ref != "" {
		it.ref = r.Ref
	}
}

// stopForeign ends a run that no item here accounts for.
func (e *Engine) stopForeign(v *vm, r *pools.RunStatus) {
	id, _, _ := jobs.ParseItem(r.Item)
	e.note(Event{JobID: id, VM: v.ID, Name: "stop unknown run", N: r.Run})
	e.orders = append(e.orders, pools.Order{
		Kind: pools.Stop, VM: v.ID, JobID: id, Item: r.Item, Run: r.Run, Fence: e.cfg.Epoch,
	})
}

// ended takes over the end of a run.
func (e *Engine) ended(v *vm, end pools.RunEnd, now int64) {
	id, key, ok := jobs.ParseItem(end.Item)
	if !ok {
		return
	}
	j := e.jobs[id]
	if j == nil {
		return
	}
	it := j.items[key]
	if it == nil {
		return
	}
	current := it.vm == v && it.run == end.Run
	if it.run < end.Run && (it.phase == idle || it.phase == adopted) {
		// An earlier owner started it and did not record it.
		if it.vm != nil {
			e.free(it, now)
		}
		it.run, current = end.Run, true
	}
	e.begun(j, v, now)
	if end.Ref != "" && !it.done {
		it.ref = end.Ref
	}
	if current && it.vm != nil {
		e.free(it, now)
	}
	if j.state.Final() || it.done {
		return
	}
	switch end.Kind {
	case pools.EndDone:
		v.result(false)
		if !it.step.Persistent {
			e.finish(j, it, now)
		}
	case pools.EndFailed:
		if current {
			it.avoid = append(it.avoid, v.ID)
			e.judge(v, v.result(true), now)
		}
		e.failed(j, it, v, end.Run, now)
		if current && it.step.Gang && !j.state.Final() {
			e.breakGang(j, it, now)
		}
	case pools.EndStopped:
		if it.ref != "" {
			e.touch(j)
		}
		if current && it.step.Gang {
			e.breakGang(j, it, now)
		}
	}
}

// finish marks an item, or the whole gang that it belongs to, as done.
func (e *Engine) finish(j *job, it *item, now int64) {
	for _, m := range j.members(it) {
		if m.done {
			continue
		}
		m.done, j.stale = true, true
		j.left[[2]int{m.K, m.Step}]--
		if m.vm != nil && m.phase != planned {
			e.stop(m, "gang done", now)
		}
	}
	e.touch(j)
	j.trim()
	if j.complete() {
		j.state = jobs.Complete
		e.note(Event{JobID: j.ID, Name: "job complete", Reason: "ms since it was handed in", N: int(now - j.arrivedAt)})
		e.retire(j, now)
	}
}

// members returns the items that end together with it: itself, or its gang.
func (j *job) members(it *item) []*item {
	if !it.step.Gang {
		return []*item{it}
	}
	list := make([]*item, 0, it.step.Count)
	for i := range it.step.Count {
		if m := j.items[jobs.Item{K: it.K, Step: it.Step, Index: i}]; m != nil {
			list = append(list, m)
		}
	}
	return list
}

// breakGang stops the other members of a gang of which one ended.
func (e *Engine) breakGang(j *job, it *item, now int64) {
	for _, m := range j.members(it) {
		m.ref = it.ref
		if m.vm != nil && m.phase != planned {
			e.stop(m, "gang broken", now)
		}
	}
}

// failed counts a failed run, and fails the job once there were as many as its queue allows. An end may be
// listed again to a new owner, and those of several VMs come in any order, so each run is counted once.
func (e *Engine) failed(j *job, it *item, v *vm, run int, now int64) {
	if it.step.Persistent || slices.Contains(it.failed, run) {
		return
	}
	it.failed = append(it.failed, run)
	e.touch(j)
	fails := 0
	for _, m := range j.members(it) {
		fails += len(m.failed)
	}
	q := e.catalog.Queue(j.Queue)
	if q == nil || q.Attempts <= 0 || fails < q.Attempts {
		return
	}
	j.state = jobs.Failed
	e.note(Event{JobID: j.ID, VM: v.ID, Name: "job failed", Reason: "all attempts of " + it.name + " failed", N: fails})
	e.retire(j, now)
}

// touch has the progress of a job recorded.
func (e *Engine) touch(j *job) { e.dirty[j.ID] = j }

// ackIfClean lets a VM forget ends of which nothing needs to be recorded.
func (e *Engine) ackIfClean(v *vm) {
	if len(e.dirty) == 0 && !e.recording {
		v.acked = max(v.acked, v.seen)
	}
}
