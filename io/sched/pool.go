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
// a request that does not start in the end. route.Table is one.
type Chooser interface {
	Pick(now time.Time, cands []route.Candidate) (vm string, ok bool)
	Report(now time.Time, vm string, o route.Outcome)
}

// Observer is told how requests fare. Its methods must return quickly and must
// not call the pool.
type Observer interface {
	Started(pool, tenant, class string, wait time.Duration)
	Refused(pool, tenant, class string, status int)
}

// Config is the settings of a Pool.
type Config struct {
	Name     string
	Clock    clock.Clock  // nil means the system's
	Policy   slots.Policy // zero fields mean defaults
	Chooser  Chooser      // nil means the worker least in use
	Observer Observer     // may be nil
	// HasLease reports whether the entry holds its view lease. Without the lease
	// nothing is admitted and the owner does not answer. Nil means always. It
	// must not call the pool.
	HasLease func() bool
}

// Pool schedules the requests of one pool at one entry. It is safe for
// concurrent use. A Set runs its exchange with the owner.
type Pool struct {
	cfg  Config
	wake func() // tells the set that a report may be due

	mu      sync.Mutex
	view    View
	workers map[string]Worker
	queue   *admit.Queue
	holder  *slots.Holder
	owner   *slots.Owner

	examined time.Time // newest examination of the queue
}

// examineGap is the shortest time between two examinations, whose cost grows with the queue.
const examineGap = 50 * time.Millisecond

// waiter is the caller's side of a queued request.
type waiter struct {
	req    Request
	chosen string       // worker found by the newest check
	result chan granted // capacity 1; gets exactly one result unless the request is cancelled
}

type granted struct {
	grant *Grant
	err   error
}

// New returns a pool that refuses everything until it has a view.
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

// SetView takes over the folded state. A worker that is not in it gets no new work from now on.
func (p *Pool) SetView(v View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	p.view = v
	p.workers = make(map[string]Worker, len(v.Workers))
	for _, w := range v.Workers {
		p.workers[w.VM] = w
	}
	p.queue.Configure(now, v.admit())
	p.holder.SetView(now, v.slots())
	p.owner.SetView(now, v.slots())
	p.step(now)
	p.wake()
}

// Acquire waits for a slot of a worker. It returns a *Refusal if the request
// cannot start in time, or the context's error. The caller must call Done of
// the grant.
func (p *Pool) Acquire(ctx context.Context, r Request) (*Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	t, w, refusal := p.offer(r)
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

func (p *Pool) offer(r Request) (*admit.Ticket, *waiter, *Refusal) {
	w := &waiter{req: r, result: make(chan granted, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	if !p.cfg.HasLease() || len(p.workers) == 0 {
		reason := "no worker of pool " + p.cfg.Name + " is available"
		if len(p.workers) > 0 {
			reason = "the entry's view of the fleet is not up to date"
		}
		return nil, nil, p.refused(r, &admit.Refusal{Cause: admit.CauseCapacity, Reason: reason, RetryAt: now.Add(time.Second)})
	}
	p.refresh(now)
	t, refusal := p.queue.Enqueue(now, admit.Request{Class: r.Class, Tenant: r.Tenant, Deadline: r.Deadline, Value: w})
	if refusal != nil {
		return nil, nil, p.refused(r, refusal)
	}
	p.dispatch(now)
	p.notice(now)
	return t, w, nil
}

func (p *Pool) refused(r Request, why *admit.Refusal) *Refusal {
	status := http.StatusServiceUnavailable
	if why.Cause == admit.CauseQuota {
		status = http.StatusTooManyRequests
	}
	if o := p.cfg.Observer; o != nil {
		o.Refused(p.cfg.Name, r.Tenant, r.Class, status)
	}
	return &Refusal{Status: status, Reason: why.Reason, RetryAt: why.RetryAt}
}

// cancel takes the request out of the queue, or frees the slot that it was given meanwhile.
func (p *Pool) cancel(t *admit.Ticket, w *waiter) {
	p.mu.Lock()
	cancelled := p.queue.Cancel(t)
	if cancelled {
		p.notice(p.cfg.Clock.Now())
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
		w.result <- granted{grant: &Grant{VM: worker.VM, Addr: worker.Addr, DC: worker.DC, pool: p, ticket: t}}
	}
}

// refresh tells the queue which slots the entry has and how loaded the pool is.
func (p *Pool) refresh(now time.Time) {
	p.queue.SetSlots(p.holder.Slots(now))
	total, run, wait := p.holder.PoolLoad(now)
	p.queue.SetPool(admit.Pool{Slots: total, Run: run, Wait: wait, Pending: p.holder.Mode(now) != slots.ModeFallback})
}

// candidates returns the workers with a free slot.
func (p *Pool) candidates(now time.Time) []route.Candidate {
	var out []route.Candidate
	for _, w := range p.view.Workers {
		if p.holder.Free(now, w.VM) > 0 {
			out = append(out, route.Candidate{VM: w.VM, DC: w.DC, InUse: p.holder.InUse(w.VM)})
		}
	}
	return out
}

// choose finds a worker for the request. Workers that it was sent to before
// count only when it was sent to all.
func (p *Pool) choose(now time.Time, w *waiter, cands []route.Candidate) bool {
	if excluded := w.req.Exclude; len(excluded) > 0 && p.othersThan(excluded) {
		cands = slices.DeleteFunc(slices.Clone(cands), func(c route.Candidate) bool { return slices.Contains(excluded, c.VM) })
	}
	if len(cands) == 0 {
		return false
	}
	vm, ok := p.cfg.Chooser.Pick(now, cands)
	w.chosen = vm
	return ok
}

func (p *Pool) othersThan(excluded []string) bool {
	return slices.ContainsFunc(p.view.Workers, func(w Worker) bool { return !slices.Contains(excluded, w.VM) })
}

// step starts and refuses what is due at now.
func (p *Pool) step(now time.Time) {
	p.dispatch(now)
	if now.Sub(p.examined) >= examineGap {
		p.examined = now
		for _, e := range p.queue.ExpireQueued(now) {
			w := e.Ticket.Value.(*waiter)
			w.result <- granted{err: p.refused(w.req, e.Refusal)}
		}
	}
	p.notice(now)
}

// notice tells the holder whether something waits and the set whether a report is due earlier.
func (p *Pool) notice(now time.Time) {
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

// Done frees the slot. Only the first call counts.
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
	p.queue.Done(now, g.ticket, o.Verdict != retry.NotRun)
	if o.Verdict != retry.NotRun || o.Failed {
		ended := o.Ended
		if ended.IsZero() {
			ended = now
		}
		p.cfg.Chooser.Report(now, g.VM, route.Outcome{Failed: o.Failed, Elapsed: ended.Sub(g.ticket.Started)})
	}
	p.dispatch(now)
	p.notice(now)
	if p.holder.Due().Before(before) {
		p.wake()
	}
}

// InFlight returns the requests in progress on vm from this entry, also after vm left the view.
func (p *Pool) InFlight(vm string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holder.InUse(vm)
}

// Busy reports whether a request of this entry is in progress on vm.
func (p *Pool) Busy(vm string) bool { return p.InFlight(vm) > 0 }

// Status is a snapshot of a pool for metrics.
type Status struct {
	Pool    string
	Owner   string
	Mode    slots.Mode
	Slots   int // that the entry may use
	Classes []admit.Load
	Counts  admit.Counts
}

// Status returns a snapshot.
func (p *Pool) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	return Status{
		Pool: p.cfg.Name, Owner: p.holder.Owner(), Mode: p.holder.Mode(now),
		Slots: p.holder.Slots(now), Classes: p.queue.Loads(), Counts: p.queue.Counts(),
	}
}

// HandleReport answers the report of a holder of this pool.
func (p *Pool) HandleReport(r slots.Report) slots.Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.cfg.HasLease() {
		return slots.Reply{Pool: p.cfg.Name, Seq: r.Seq, Stale: true}
	}
	return p.owner.HandleReport(p.cfg.Clock.Now(), r)
}

// HandleReply puts the reply of owner in force.
func (p *Pool) HandleReply(owner string, r slots.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	p.holder.Apply(now, owner, r)
	p.step(now)
}

// updates returns what the owner has to tell other holders after a report.
func (p *Pool) updates() []slots.Update {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owner.Updates(p.cfg.Clock.Now())
}

func (p *Pool) setStretch(f float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder.SetIntervalFactor(f)
	p.owner.SetIntervalFactor(f)
}

// tick does what is due by time alone and returns when and to whom the next report goes.
func (p *Pool) tick(now time.Time) (due time.Time, owner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Time changes nothing for a pool in which no request waits.
	if p.queue.Len() > 0 {
		p.step(now)
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
	var d slots.Load
	for _, l := range p.queue.Loads() {
		d.Run = append(d.Run, l.Running)
		d.Wait = append(d.Wait, l.Waiting)
	}
	return p.holder.Report(now, d), true
}

// leastInUse is the default chooser.
type leastInUse struct{}

// Pick returns the candidate with the fewest requests in progress.
func (leastInUse) Pick(_ time.Time, cands []route.Candidate) (string, bool) {
	if len(cands) == 0 {
		return "", false
	}
	return slices.MinFunc(cands, func(a, b route.Candidate) int { return a.InUse - b.InUse }).VM, true
}

// Report does nothing: the default chooser has no memory.
func (leastInUse) Report(time.Time, string, route.Outcome) {}
