package bench

import (
	"slices"
	"time"

	"sassafrasvalve/core/admit"
	"sassafrasvalve/core/slots"
)

// sharing is the part of slots.Holder that a queue uses to start and finish requests.
type sharing interface {
	Free(now time.Time, vm string) int
	Slots(now time.Time) int
	InUse(vm string) int
	Start(now time.Time, vm string) bool
	Finish(now time.Time, vm string)
	SetQueueLengths(now time.Time, wait []int)
}

// poolQueue is the queue of one pool at one entry with its slots.
type poolQueue struct {
	n         *node
	p         *pool
	queue     *admit.Queue
	sharing   sharing
	holder    *slots.Holder // nil under KindCentral
	owner     *slots.Owner
	chooser   *chooser
	expiredAt time.Duration // time of the last check for expired requests
}

// placedRequest is a request with the worker that was chosen for it.
type placedRequest struct {
	r      *request
	chosen string
}

// expireInterval is the minimum time between two checks of a queue for expired requests, as in io/sched.
const expireInterval = 50 * time.Millisecond

func (q *poolQueue) enqueue(r *request) {
	now := q.n.w.clock()
	c := q.n.w.fleet.Classes[r.class]
	req := admit.Request{Class: c.Name, Tenant: q.n.w.fleet.Tenants[r.tenant].Name, Value: &placedRequest{r: r}}
	if r.deadline > 0 {
		req.Deadline = epoch.Add(r.deadline)
	}
	q.updateQueue(now)
	if _, refusal := q.queue.Enqueue(now, req); refusal != nil {
		q.n.w.stats.ended(q.n.w.now, r, outcomeRefused)
		return
	}
	q.step()
}

// updateQueue sets the slots of the entry and the load of the pool in the queue.
func (q *poolQueue) updateQueue(now time.Time) {
	q.queue.SetSlots(q.sharing.Slots(now))
	if q.holder == nil {
		return
	}
	total, run, wait := q.holder.PoolLoad(now)
	q.queue.SetPoolLoad(admit.PoolLoad{Slots: total, Run: run, Wait: wait, SlotsPending: q.holder.Mode(now) != slots.ModeFallback})
}

// step starts the requests for which slots are free and refuses those that have expired.
func (q *poolQueue) step() {
	now := q.n.w.clock()
	q.updateQueue(now)
	for q.queue.Len() > 0 {
		cands := q.candidates(now)
		if len(cands) == 0 {
			break
		}
		t := q.queue.Next(now, func(t *admit.Ticket) bool { return q.choose(now, t.Value.(*placedRequest), cands) })
		if t == nil {
			break
		}
		q.start(now, t)
	}
	if q.n.w.now-q.expiredAt >= expireInterval {
		q.expiredAt = q.n.w.now
		for _, x := range q.queue.ExpireQueued(now) {
			q.n.w.stats.ended(q.n.w.now, x.Ticket.Value.(*placedRequest).r, outcomeRefused)
		}
	}
	q.sharing.SetQueueLengths(now, q.queue.QueueLengths())
	q.p.accountIdle()
	q.n.schedulePass()
}

func (q *poolQueue) candidates(now time.Time) []string {
	var out []string
	for _, vm := range q.p.routable {
		if q.sharing.Free(now, vm) > 0 {
			out = append(out, vm)
		}
	}
	return out
}

func (q *poolQueue) choose(now time.Time, x *placedRequest, cands []string) bool {
	if len(x.r.tried) > 0 && len(x.r.tried) < len(q.p.routable) {
		cands = slices.DeleteFunc(slices.Clone(cands), func(vm string) bool { return slices.Contains(x.r.tried, vm) })
	}
	vm, ok := q.chooser.pick(now, cands, q.sharing.InUse)
	x.chosen = vm
	return ok
}

func (q *poolQueue) start(now time.Time, t *admit.Ticket) {
	x := t.Value.(*placedRequest)
	vm := x.chosen
	q.sharing.Start(now, vm)
	q.n.w.stats.started(q.n.w.now, x.r)
	q.p.run(q.p.byName[vm], x.r, func(ok bool) {
		q.n.whenAwake(func() { q.finish(t, vm, ok) })
		q.p.accountIdle()
	})
}

func (q *poolQueue) finish(t *admit.Ticket, vm string, ok bool) {
	now := q.n.w.clock()
	r := t.Value.(*placedRequest).r
	if q.n.dead {
		q.n.w.stats.ended(q.n.w.now, r, outcomeLost)
		return
	}
	q.sharing.Finish(now, vm)
	q.queue.Finish(now, t, ok)
	q.chooser.report(now, vm, ok)
	switch {
	case ok:
		q.n.w.stats.ended(q.n.w.now, r, outcomeDone)
	case len(r.tried)+1 >= maxAttempts && !q.n.w.fleet.Classes[r.class].Deferrable:
		q.n.w.stats.ended(q.n.w.now, r, outcomeFailed)
	default:
		r.tried = append(r.tried, vm)
		q.enqueue(r)
	}
	q.step()
}

// allSlots implements sharing for KindCentral, with which one entry has all slots.
type allSlots struct {
	p   *pool
	use map[string]int
}

// Free returns the slots of vm that are not in use.
func (a *allSlots) Free(_ time.Time, vm string) int { return max(0, a.p.w.fleet.Slots-a.use[vm]) }

// Slots returns all slots of the pool.
func (a *allSlots) Slots(time.Time) int { return len(a.p.routable) * a.p.w.fleet.Slots }

// InUse returns the number of requests in progress on vm.
func (a *allSlots) InUse(vm string) int { return a.use[vm] }

// Start takes a slot.
func (a *allSlots) Start(_ time.Time, vm string) bool { a.use[vm]++; return true }

// Finish frees a slot.
func (a *allSlots) Finish(_ time.Time, vm string) { a.use[vm]-- }

// SetQueueLengths does nothing, because all slots belong to the only entry.
func (a *allSlots) SetQueueLengths(time.Time, []int) {}
