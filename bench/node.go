package bench

import (
	"slices"
	"time"

	"sassafrasvalve/core/admit"
	"sassafrasvalve/core/slots"
)

// sharing is the part of slots.Holder that starts and ends requests.
type sharing interface {
	Free(now time.Time, vm string) int
	Slots(now time.Time) int
	InUse(vm string) int
	Start(now time.Time, vm string) bool
	Finish(now time.Time, vm string)
	SetQueueLengths(now time.Time, wait []int)
}

// desk is the queue of one pool at one entry, with its slots.
type desk struct {
	n       *node
	p       *pool
	queue   *admit.Queue
	sharing sharing
	holder  *slots.Holder // nil under KindCentral
	owner   *slots.Owner
	chooser *chooser
	looked  time.Duration // newest examination
}

// placed is a request with the worker that was chosen for it.
type placed struct {
	r      *request
	chosen string
}

// examineGap is the shortest time between two examinations of a queue, as in io/sched.
const examineGap = 50 * time.Millisecond

func (d *desk) offer(r *request) {
	now := d.n.w.clock()
	c := d.n.w.fleet.Classes[r.class]
	req := admit.Request{Class: c.Name, Tenant: d.n.w.fleet.Tenants[r.tenant].Name, Value: &placed{r: r}}
	if r.deadline > 0 {
		req.Deadline = epoch.Add(r.deadline)
	}
	d.load(now)
	if _, refusal := d.queue.Enqueue(now, req); refusal != nil {
		d.n.w.stats.ended(d.n.w.now, r, outcomeRefused)
		return
	}
	d.step()
}

// load tells the queue what it has to work with.
func (d *desk) load(now time.Time) {
	d.queue.SetSlots(d.sharing.Slots(now))
	if d.holder == nil {
		return
	}
	total, run, wait := d.holder.PoolLoad(now)
	d.queue.SetPool(admit.Pool{Slots: total, Run: run, Wait: wait, Pending: d.holder.Mode(now) != slots.ModeFallback})
}

// step starts and refuses what is due.
func (d *desk) step() {
	now := d.n.w.clock()
	d.load(now)
	for d.queue.Len() > 0 {
		cands := d.candidates(now)
		if len(cands) == 0 {
			break
		}
		t := d.queue.Next(now, func(t *admit.Ticket) bool { return d.choose(now, t.Value.(*placed), cands) })
		if t == nil {
			break
		}
		d.start(now, t)
	}
	if d.n.w.now-d.looked >= examineGap {
		d.looked = d.n.w.now
		for _, x := range d.queue.ExpireQueued(now) {
			d.n.w.stats.ended(d.n.w.now, x.Ticket.Value.(*placed).r, outcomeRefused)
		}
	}
	d.sharing.SetQueueLengths(now, d.queue.QueueLengths())
	d.p.account()
	d.n.arm()
}

func (d *desk) candidates(now time.Time) []string {
	var out []string
	for _, vm := range d.p.view {
		if d.sharing.Free(now, vm) > 0 {
			out = append(out, vm)
		}
	}
	return out
}

func (d *desk) choose(now time.Time, x *placed, cands []string) bool {
	if len(x.r.tried) > 0 && len(x.r.tried) < len(d.p.view) {
		cands = slices.DeleteFunc(slices.Clone(cands), func(vm string) bool { return slices.Contains(x.r.tried, vm) })
	}
	vm, ok := d.chooser.pick(now, cands, d.sharing.InUse)
	x.chosen = vm
	return ok
}

func (d *desk) start(now time.Time, t *admit.Ticket) {
	x := t.Value.(*placed)
	vm := x.chosen
	d.sharing.Start(now, vm)
	d.n.w.stats.started(d.n.w.now, x.r)
	d.p.run(d.p.byName[vm], x.r, func(ok bool) {
		d.n.do(func() { d.end(t, vm, ok) })
		d.p.account()
	})
}

func (d *desk) end(t *admit.Ticket, vm string, ok bool) {
	now := d.n.w.clock()
	r := t.Value.(*placed).r
	if d.n.dead {
		d.n.w.stats.ended(d.n.w.now, r, outcomeLost)
		return
	}
	d.sharing.Finish(now, vm)
	d.queue.Done(now, t, ok)
	d.chooser.report(now, vm, ok)
	switch {
	case ok:
		d.n.w.stats.ended(d.n.w.now, r, outcomeDone)
	case len(r.tried)+1 >= maxAttempts && !d.n.w.fleet.Classes[r.class].Deferrable:
		d.n.w.stats.ended(d.n.w.now, r, outcomeFailed)
	default:
		r.tried = append(r.tried, vm)
		d.offer(r)
	}
	d.step()
}

// allSlots is the sharing of KindCentral: one entry has all slots.
type allSlots struct {
	p   *pool
	use map[string]int
}

// Free returns the slots of vm that are not in use.
func (a *allSlots) Free(_ time.Time, vm string) int { return max(0, a.p.w.fleet.Slots-a.use[vm]) }

// Slots returns all slots of the pool.
func (a *allSlots) Slots(time.Time) int { return len(a.p.view) * a.p.w.fleet.Slots }

// InUse returns the requests in progress on vm.
func (a *allSlots) InUse(vm string) int { return a.use[vm] }

// Start takes a slot.
func (a *allSlots) Start(_ time.Time, vm string) bool { a.use[vm]++; return true }

// Finish frees a slot.
func (a *allSlots) Finish(_ time.Time, vm string) { a.use[vm]-- }

// SetQueueLengths does nothing.
func (a *allSlots) SetQueueLengths(time.Time, []int) {}
