package sched

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasvalve/core/admit"
	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/route"
	"sassafrasvalve/core/slots"
)

// Chooser picks a worker among those with a free slot. Pick may be called for
// a request that is not started afterwards. route.Table implements Chooser.
type Chooser interface {
	Pick(now time.Time, cands []route.Candidate) (vm string, ok bool)
	Report(now time.Time, vm string, o route.Outcome)
}

// Observer is notified of started and refused requests. Its methods must return
// quickly and must not call the pool.
type Observer interface {
	Started(pool, tenant, class string, wait time.Duration)
	Refused(pool, tenant, class string, status int)
}

// Config holds the settings of a Pool.
type Config struct {
	Name     string
	Clock    clock.Clock  // nil means the system clock
	Policy   slots.Policy // zero fields mean defaults
	Chooser  Chooser      // nil means the worker with the fewest requests in progress
	Observer Observer     // may be nil
	// HasLease reports whether the entry holds its view lease. Without the lease
	// the pool admits no request and answers reports as stale. Nil means that the
	// lease is always held. HasLease must not call the pool.
	HasLease func() bool
}

// Pool schedules the requests of one pool at one entry. It is safe for
// concurrent use. A Set runs its exchange with the owner.
type Pool struct {
	cfg  Config
	wake func() // notifies the set that a report may be due

	mu      sync.Mutex
	view    View
	workers map[string]Worker
	queue   *admit.Queue
	holder  *slots.Holder
	owner   *slots.Owner

	expireCheckedAt time.Time // when the queue was last checked for expired requests
}

// minExpireInterval is the shortest time between two checks of the queue for
// expired requests. The cost of a check grows with the length of the queue.
const minExpireInterval = 50 * time.Millisecond

// waiter is the caller's side of a queued request.
type waiter struct {
	req    Request
	chosen string             // VM picked by the latest call of choose
	result chan acquireResult // capacity 1; receives exactly one result unless the request is cancelled
}

type acquireResult struct {
	grant *Grant
	err   error
}

// New returns a pool that refuses all requests until SetView is called.
func New(cfg Config) *Pool {
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.Chooser == nil {
		cfg.Chooser = leastInUse{}
	}
	if cfg.HasLease == nil {
		cfg.HasLease = func() bool { return true }
	}
	now := cfg.Clock.Now()
	return &Pool{
		cfg: cfg, wake: func() {}, workers: map[string]Worker{},
		queue:  admit.New(now, admit.Config{}),
		holder: slots.NewHolder(now, cfg.Name, cfg.Policy),
		owner:  slots.NewOwner(cfg.Name, cfg.Policy),
	}
}

// Name returns the name of the pool.
func (p *Pool) Name() string { return p.cfg.Name }

// SetView applies a new view. A worker that is not in it gets no new work from now on.
func (p *Pool) SetView(v View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	p.view = v
	p.workers = make(map[string]Worker, len(v.Workers))
	for _, w := range v.Workers {
		p.workers[w.VM] = w
	}
	p.queue.Configure(now, v.admitConfig())
	p.holder.SetView(now, v.slotsView())
	p.owner.SetView(now, v.slotsView())
	p.processQueue(now)
	p.wake()
}

// Acquire waits for a slot of a worker. It returns a *Refusal if the request
// cannot start in time, or the context's error. The caller must call Grant.Done.
func (p *Pool) Acquire(ctx context.Context, r Request) (*Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	t, w, refusal := p.enqueue(r)
	if refusal != nil {
		return nil, refusal
	}
	select {
	case g := <-w.result:
		return g.grant, g.err
	case <-ctx.Done():
		p.cancel(t, w)
		return nil, ctx.Err()
	}
}

func (p *Pool) enqueue(r Request) (*admit.Ticket, *waiter, *Refusal) {
	w := &waiter{req: r, result: make(chan acquireResult, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	if !p.cfg.HasLease() || len(p.workers) == 0 {
		reason := "no worker of pool " + p.cfg.Name + " is available"
		if len(p.workers) > 0 {
			reason = "the entry's view of the fleet is not up to date"
		}
		return nil, nil, p.refuse(r, &admit.Refusal{Cause: admit.CauseCapacity, Reason: reason, RetryAt: now.Add(time.Second)})
	}
	p.refresh(now)
	t, refusal := p.queue.Enqueue(now, admit.Request{Class: r.Class, Tenant: r.Tenant, Deadline: r.Deadline, Value: w})
	if refusal != nil {
		return nil, nil, p.refuse(r, refusal)
	}
	p.dispatch(now)
	p.updateQueueLengths(now)
	return t, w, nil
}

func (p *Pool) refuse(r Request, why *admit.Refusal) *Refusal {
	status := http.StatusServiceUnavailable
	if why.Cause == admit.CauseQuota {
		status = http.StatusTooManyRequests
	}
	if o := p.cfg.Observer; o != nil {
		o.Refused(p.cfg.Name, r.Tenant, r.Class, status)
	}
	return &Refusal{Status: status, Reason: why.Reason, RetryAt: why.RetryAt}
}

// cancel removes the request from the queue, or frees the slot that it was granted in the meantime.
func (p *Pool) cancel(t *admit.Ticket, w *waiter) {
	p.mu.Lock()
	cancelled := p.queue.Cancel(t)
	if cancelled {
		p.updateQueueLengths(p.cfg.Clock.Now())
	}
	p.mu.Unlock()
	if cancelled {
		return
	}
	if g := <-w.result; g.grant != nil {
		g.grant.Done(Outcome{Verdict: retry.NotRun})
	}
}

// dispatch starts queued requests while there are free slots.
func (p *Pool) dispatch(now time.Time) {
	p.refresh(now)
	if p.queue.Len() == 0 {
		return
	}
	cands := p.candidates(now)
	for len(cands) > 0 {
		t := p.queue.Next(now, func(t *admit.Ticket) bool { return p.choose(now, t.Value.(*waiter), cands) })
		if t == nil {
			return
		}
		w := t.Value.(*waiter)
		p.holder.Start(now, w.chosen)
		cands = p.candidates(now)
		if o := p.cfg.Observer; o != nil {
			o.Started(p.cfg.Name, t.Tenant, t.Class, now.Sub(t.Arrived))
		}
		worker := p.workers[w.chosen]
		w.result <- acquireResult{grant: &Grant{VM: worker.VM, Addr: worker.Addr, DC: worker.DC, pool: p, ticket: t}}
	}
}

// refresh passes the entry's slots and the load of the pool to the queue.
func (p *Pool) refresh(now time.Time) {
	p.queue.SetSlots(p.holder.Slots(now))
	total, run, wait := p.holder.PoolLoad(now)
	p.queue.SetPoolLoad(admit.PoolLoad{Slots: total, Run: run, Wait: wait, SlotsPending: p.holder.Mode(now) != slots.ModeFallback})
}

// candidates returns the workers that have a free slot.
func (p *Pool) candidates(now time.Time) []route.Candidate {
	var out []route.Candidate
	for _, w := range p.view.Workers {
		if p.holder.Free(now, w.VM) > 0 {
			out = append(out, route.Candidate{VM: w.VM, DC: w.DC, InUse: p.holder.InUse(w.VM)})
		}
	}
	return out
}

// choose picks a worker for the request. A worker that the request was already
// sent to is picked only if it was sent to all workers of the pool.
func (p *Pool) choose(now time.Time, w *waiter, cands []route.Candidate) bool {
	if excluded := w.req.Exclude; len(excluded) > 0 && p.hasWorkerOutside(excluded) {
		cands = slices.DeleteFunc(slices.Clone(cands), func(c route.Candidate) bool { return slices.Contains(excluded, c.VM) })
	}
	if len(cands) == 0 {
		return false
	}
	vm, ok := p.cfg.Chooser.Pick(now, cands)
	w.chosen = vm
	return ok
}

func (p *Pool) hasWorkerOutside(excluded []string) bool {
	return slices.ContainsFunc(p.view.Workers, func(w Worker) bool { return !slices.Contains(excluded, w.VM) })
}

// processQueue starts the requests that have a slot and refuses those whose wait
// has expired, the latter at most every minExpireInterval.
func (p *Pool) processQueue(now time.Time) {
	p.dispatch(now)
	if now.Sub(p.expireCheckedAt) >= minExpireInterval {
		p.expireCheckedAt = now
		for _, e := range p.queue.ExpireQueued(now) {
			w := e.Ticket.Value.(*waiter)
			w.result <- acquireResult{err: p.refuse(w.req, e.Refusal)}
		}
	}
	p.updateQueueLengths(now)
}

// updateQueueLengths passes the queue lengths to the holder and wakes the set if
// the next report is now due earlier.
func (p *Pool) updateQueueLengths(now time.Time) {
	before := p.holder.Due()
	p.holder.SetQueueLengths(now, p.queue.QueueLengths())
	if p.holder.Due().Before(before) {
		p.wake()
	}
}

// Grant is a slot of a worker for one attempt.
type Grant struct {
	VM   string
	Addr string
	DC   string

	pool   *Pool
	ticket *admit.Ticket
	done   atomic.Bool
}

// Done frees the slot and reports the outcome to the Chooser. Calls after the first do nothing.
func (g *Grant) Done(o Outcome) {
	if g.done.Swap(true) {
		return
	}
	p := g.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	before := p.holder.Due()
	p.holder.Finish(now, g.VM)
	p.queue.Finish(now, g.ticket, o.Verdict != retry.NotRun)
	if o.Verdict != retry.NotRun || o.Failed {
		ended := o.Ended
		if ended.IsZero() {
			ended = now
		}
		p.cfg.Chooser.Report(now, g.VM, route.Outcome{Failed: o.Failed, Elapsed: ended.Sub(g.ticket.Started)})
	}
	p.dispatch(now)
	p.updateQueueLengths(now)
	if p.holder.Due().Before(before) {
		p.wake()
	}
}

// InProgress returns the number of requests of this entry in progress on vm, also after vm left the view.
func (p *Pool) InProgress(vm string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holder.InUse(vm)
}

// Busy reports whether a request of this entry is in progress on vm.
func (p *Pool) Busy(vm string) bool { return p.InProgress(vm) > 0 }

// Status is a snapshot of a pool for metrics.
type Status struct {
	Pool    string
	Owner   string
	Mode    slots.Mode
	Slots   int // slots that the entry may use
	Classes []admit.Load
	Counts  admit.Counts
}

// Status returns a snapshot of the pool.
func (p *Pool) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	return Status{
		Pool: p.cfg.Name, Owner: p.holder.Owner(), Mode: p.holder.Mode(now),
		Slots: p.holder.Slots(now), Classes: p.queue.Loads(), Counts: p.queue.Counts(),
	}
}

// HandleReport returns the owner's reply to the report of a holder, marked as
// stale if this entry has no view lease.
func (p *Pool) HandleReport(r slots.Report) slots.Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.cfg.HasLease() {
		return slots.Reply{Pool: p.cfg.Name, Seq: r.Seq, Stale: true}
	}
	return p.owner.HandleReport(p.cfg.Clock.Now(), r)
}

// HandleReply applies a reply of owner.
func (p *Pool) HandleReply(owner string, r slots.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	p.holder.Apply(now, owner, r)
	p.processQueue(now)
}

// updates returns the updates that the owner has for other holders after a report.
func (p *Pool) updates() []slots.Update {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owner.Updates(p.cfg.Clock.Now())
}

func (p *Pool) setIntervalFactor(f float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder.SetIntervalFactor(f)
	p.owner.SetIntervalFactor(f)
}

// tick processes the queue and returns when the next report is due and which owner it goes to.
func (p *Pool) tick(now time.Time) (due time.Time, owner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Without queued requests there is nothing to start or to expire.
	if p.queue.Len() > 0 {
		p.processQueue(now)
	}
	return p.holder.Due(), p.holder.Owner()
}

// report returns the report to send to owner now, unless the pool has another owner.
func (p *Pool) report(now time.Time, owner string) (slots.Report, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if owner == "" || p.holder.Owner() != owner {
		return slots.Report{}, false
	}
	var load slots.Load
	for _, l := range p.queue.Loads() {
		load.Run = append(load.Run, l.Running)
		load.Wait = append(load.Wait, l.Waiting)
	}
	return p.holder.Report(now, load), true
}

// leastInUse is the default Chooser.
type leastInUse struct{}

// Pick returns the candidate with the fewest requests in progress.
func (leastInUse) Pick(_ time.Time, cands []route.Candidate) (string, bool) {
	if len(cands) == 0 {
		return "", false
	}
	return slices.MinFunc(cands, func(a, b route.Candidate) int { return a.InUse - b.InUse }).VM, true
}

// Report does nothing, since the default Chooser keeps no state.
func (leastInUse) Report(time.Time, string, route.Outcome) {}
