package shard

import (
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Batch is what has to be recorded before any of its starts is sent.
type Batch struct {
	Records []jobs.Record
	starts  []start
	touched []recorded
	acks    map[string]int64 // by VM: ends that the records account for
}

// start is one planned start.
type start struct {
	it  *item
	run int
	vm  *vm
}

// recorded is a job whose progress is in a batch.
type recorded struct {
	job   *job
	state jobs.State
}

// maxBatchBytes keeps a batch under the size of one call to the log.
const maxBatchBytes = 1 << 20

// Step does what is due and decides what starts now. wall is the time of day in unix milliseconds.
//
// While the log has confirmed the ownership lately, starts are sent at once and recorded with the next batch:
// no other owner can have begun, and one that takes over after a crash asks every VM before it starts what an
// earlier owner may have started. Otherwise starts wait for their record.
func (e *Engine) Step(now, wall int64) {
	e.tick(now, wall)
	for _, s := range e.place(now) {
		if now-e.confirmed < freshMs {
			e.orders = append(e.orders, e.begin(s, now))
		} else {
			e.waiting = append(e.waiting, s)
		}
	}
}

// begin returns the order of a planned start.
func (e *Engine) begin(s start, now int64) pools.Order {
	it := s.it
	it.phase, it.since, it.unsureAt = sent, now, 0
	e.flow.open++
	lease := s.vm.clockNow(now) + startLeaseMs
	s.vm.lease, it.startBy = max(s.vm.lease, lease), lease
	return pools.Order{
		Kind: pools.Start, VM: s.vm.ID, JobID: it.job.ID, Item: it.name, Run: it.run, Spec: it.job.Spec,
		Ref: it.ref, LeaseEndMs: lease, Fence: e.cfg.Epoch, Token: it.ticket,
	}
}

// NextBatch returns what has to be recorded, nil if there is nothing. It must not be called again before HandleBatchStored.
func (e *Engine) NextBatch() (*Batch, error) {
	b := &Batch{acks: map[string]int64{}, starts: e.waiting}
	e.waiting = nil
	if len(e.dirty) == 0 && len(e.drops) == 0 && len(e.stale) == 0 {
		return nil, nil
	}
	size := 0
	for id, j := range e.dirty {
		if size > maxBatchBytes {
			break
		}
		j.rev++
		p := j.progress()
		value, err := p.MarshalMsg(nil)
		if err != nil {
			return nil, err
		}
		size += len(value)
		b.Records = append(b.Records, jobs.Record{Key: jobs.ProgressKey(id), Value: value})
		if j.state.Final() {
			// Only the state is kept of a job that is over.
			b.Records = append(b.Records, jobs.Record{Key: jobs.JobKey(id)}, jobs.Record{Key: jobs.CancelKey(id)})
		}
		b.touched = append(b.touched, recorded{j, j.state})
		delete(e.dirty, id)
	}
	for _, id := range e.drops {
		b.Records = append(b.Records, jobs.Record{Key: jobs.ProgressKey(id)})
	}
	for _, id := range e.stale {
		b.Records = append(b.Records, jobs.Record{Key: jobs.JobKey(id)}, jobs.Record{Key: jobs.CancelKey(id)})
	}
	e.drops, e.stale = nil, nil
	if len(e.dirty) == 0 {
		for id, v := range e.vms {
			if v.seen > v.acked {
				b.acks[id] = v.seen
			}
		}
	}
	e.recording = true
	return b, nil
}

// HandleBatchStored returns the orders of a batch that is stored.
func (e *Engine) HandleBatchStored(b *Batch, now int64) []pools.Order {
	e.recording = false
	e.contact = max(e.contact, now)
	for id, seq := range b.acks {
		if v := e.vms[id]; v != nil && seq <= v.seen {
			v.acked = max(v.acked, seq)
		}
	}
	var orders []pools.Order
	for _, s := range b.starts {
		it := s.it
		if it.phase != planned || it.run != s.run || it.vm != s.vm {
			continue // freed meanwhile
		}
		if it.job.state.Final() || it.done || !s.vm.usable(now) {
			e.free(it, now)
			continue
		}
		orders = append(orders, e.begin(s, now))
	}
	for _, r := range b.touched {
		r.job.saved = r.state
		e.forgetIfOver(r.job, now)
	}
	return orders
}

// HandleOrderReply takes over what became of an order.
func (e *Engine) HandleOrderReply(o pools.Order, r pools.Reply, now int64) {
	v := e.vms[o.VM]
	if v == nil {
		return
	}
	switch r.Kind {
	case pools.Fenced:
		e.lost = true
		return
	case pools.OtherLifetime:
		e.endLife(v, 0, now)
		v.failing = true
		return
	default:
	}
	it := v.runs[o.Item]
	if it == nil || it.run != o.Run {
		return
	}
	switch o.Kind {
	case pools.Upkeep, pools.Move:
	case pools.Start:
		e.startReplied(it, v, r, now)
	case pools.Stop:
		if r.Kind == pools.Done {
			it.stopAcked = now
		}
	case pools.Throttle:
		if r.Kind != pools.Done {
			it.paceSent = 0 // said again at the next turn
		}
	}
}

func (e *Engine) startReplied(it *item, v *vm, r pools.Reply, now int64) {
	if it.phase != sent {
		return
	}
	e.flow.answered(it.since, now)
	it.job.stale = true
	switch r.Kind {
	case pools.Done:
		it.phase, it.since, it.startedAt, it.movedAt = running, now, now, now
		it.percent = 0
		e.begun(it.job, v, now)
		if it.job.state.Final() || it.done {
			e.stop(it, "no longer wanted", now)
		}
		return
	case pools.NoReply:
		it.unsureAt = now // the next poll tells whether it runs
		return
	case pools.NoCapacity:
		v.fullUntil = now + roomRetryMs
	case pools.Unhealthy:
		v.badUntil = now + unwellMs
	case pools.InvalidToken:
		e.dropTickets(it)
	case pools.Rejected:
		it.notBefore = now + rejectedMs
	default:
	}
	e.note(Event{JobID: it.job.ID, VM: v.ID, Name: "start refused", Reason: replyNames[r.Kind], N: it.run})
	e.free(it, now)
}

// replyNames are the words of refusals in logs.
var replyNames = map[pools.ReplyKind]string{
	pools.NotExecuted: "not sent", pools.StaleRun: "run is over", pools.LeaseExpired: "came late", pools.NoCapacity: "no room",
	pools.InvalidToken: "no ticket", pools.Unhealthy: "unhealthy", pools.Rejected: "malformed",
}
