package chaos

import (
	"time"

	"sassafrasvalve/core/admit"
	"sassafrasvalve/core/dedup"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/spec"
)

// request is a caller's request and the answer to it.
type request struct {
	id, service, class, tenant, key string
	fingerprint                     string
	idempotent, deferrable          bool
	entry                           *entry
	arrived, deadline               time.Time
	runTime                         time.Duration
	cancelled                       bool // the caller closed its connection
	onCancel                        func()
	refusedOnArrival                bool

	answers  int
	verdict  retry.Verdict
	status   int
	body     string // ID of the request whose response was forwarded, or ""
	stored   bool   // the answer is that of an earlier request with the key
	answered time.Time
	job      string
}

// exchange mirrors entry.exchange.
type exchange struct {
	e        *entry
	q        *request
	pool     string
	key      dedup.Key
	claimed  bool
	tried    []string
	mayRun   bool
	attempts int
	answered bool
}

// receive handles a caller's request. It mirrors entry.Server.handle and entry.Server.admit.
func (e *entry) receive(q *request) {
	q.entry = e
	f := &exchange{e: e, q: q}
	svc, ok := spec.Service{}, false
	var class spec.Class
	for _, s := range e.st.Config.Fleet.Services {
		if s.Name == q.service {
			svc, ok = s, true
		}
	}
	for _, c := range e.st.Config.Fleet.Classes {
		if c.Name == q.class {
			class = c
		}
	}
	q.idempotent, q.deferrable, f.pool = class.Idempotent, class.Deferrable, svc.Pool
	if q.deferrable {
		q.job = jobID(q)
	}
	e.inProgress++
	if e.stopping || !ok || e.pools[svc.Pool] == nil || !e.group.fresh() {
		q.refusedOnArrival = true
		f.refuse(503, retry.NotRun)
		return
	}
	if q.key == "" {
		f.start()
		return
	}
	f.key = dedup.NewKey(q.tenant, q.service, q.key)
	c := dedup.Claim{Key: f.key, Fingerprint: dedup.NewFingerprint("POST", q.fingerprint, "", 0, nil), Request: q.id}
	e.claim(c, func(d dedup.Decision) {
		if !d.Run {
			q.stored = d.Stored
			f.refuse(d.Status, d.Verdict)
			return
		}
		f.claimed = true
		f.start()
	})
}

func (f *exchange) start() {
	if f.q.deferrable {
		f.submit()
		return
	}
	f.acquire()
}

// acquire mirrors exchange.acquire.
func (f *exchange) acquire() {
	q := f.q
	if q.cancelled {
		f.refuse(499, retry.NotRun)
		return
	}
	ended := false
	once := func(do func()) {
		if !ended {
			ended = true
			q.onCancel = nil
			do()
		}
	}
	cancel := f.e.pools[f.pool].acquire(admit.Request{Class: q.class, Tenant: q.tenant, Deadline: q.deadline}, f.tried, func(g *grant) {
		once(func() {
			if g == nil {
				f.refuse(503, retry.NotRun)
				return
			}
			f.attempt(g)
		})
	})
	stop := func() {
		once(func() {
			cancel()
			f.refuse(503, retry.NotRun)
		})
	}
	f.e.after(q.deadline.Sub(f.e.w.now), stop)
	q.onCancel = stop
}

// attempt mirrors exchange.attempt and proxy.Forwarder.Send: it checks the lease just before the bytes are sent.
func (f *exchange) attempt(g *grant) {
	q := f.q
	f.attempts++
	f.tried = append(f.tried, g.vm)
	f.e.dispatch(g, q.id, scopedKey(q), q.idempotent, false, q.runTime, q.deadline, func(cancel func()) { q.onCancel = cancel }, func(r response) {
		q.onCancel = nil
		failed := r.verdict != retry.Ran || r.status >= 500
		g.done(r.verdict, failed && !q.cancelled && f.e.group.fresh())
		if r.verdict == retry.Ran {
			f.end(retry.Ran, r.status)
			f.e.budget(f.pool).Success()
			f.answer(retry.Ran, r.status, r.request)
			return
		}
		f.mayRun = f.mayRun || r.verdict != retry.NotRun
		if q.cancelled {
			f.refuse(499, r.verdict)
			return
		}
		why := retry.Policy{}.Decide(f.e.w.now, retry.Attempt{
			Verdict: r.verdict, Idempotent: q.idempotent, Keyed: q.key != "", Replayable: true, Count: f.attempts, Deadline: q.deadline,
		}, f.e.budget(f.pool))
		if why == retry.Retry {
			f.e.w.counts.add("retries", 1)
			f.acquire()
			return
		}
		f.refuse(503, r.verdict)
	})
}

// transmit sends the bytes of one attempt. Cancelling an attempt closes its connection, and the worker then stops the
// execution. Only the first result is used.
func (e *entry) transmit(g *grant, x *execution, d time.Duration, deadline time.Time, cancelBy func(func()), done func(response)) {
	w := e.w
	ended := false
	end := func(r response) {
		if !ended {
			ended = true
			delete(e.attempts, x)
			done(r)
		}
	}
	if !e.group.fresh() {
		e.after(0, func() { end(response{x.request, retry.NotRun, 0}) })
		return
	}
	w.oracle.checkSent(x)
	closed := false
	w.after(w.networkDelay(), func() {
		if closed {
			return // the connection was closed before the worker read the request
		}
		w.workers[g.vm].receive(x, d, func(r response) { e.after(w.networkDelay(), func() { end(r) }) })
	})
	cancel := func() {
		if ended {
			return
		}
		closed = true
		if x.stop != nil {
			w.after(w.networkDelay(), func() { x.stop(false) })
		}
		end(response{x.request, retry.MayHaveRun, 0})
	}
	e.attempts[x] = cancel
	cancelBy(cancel)
	if !deadline.IsZero() {
		e.after(deadline.Sub(w.now), cancel)
	}
}

func (e *entry) dispatch(g *grant, id, key string, idempotent, job bool, d time.Duration, deadline time.Time,
	cancelBy func(func()), done func(response),
) {
	x := &execution{
		vm: g.vm, pool: g.pool.name, key: key, request: id, idempotent: idempotent, job: job,
		sender: e, member: e.group.self.ID, sentAt: e.w.now,
	}
	e.transmit(g, x, d, deadline, cancelBy, done)
}

func (e *entry) budget(pool string) *retry.Budget {
	if e.budgets[pool] == nil {
		e.budgets[pool] = retry.NewBudget(e.w.now)
	}
	return e.budgets[pool]
}

// end mirrors exchange.end.
func (f *exchange) end(v retry.Verdict, status int) {
	if f.claimed {
		f.claimed = false
		f.e.claims.Finish(f.e.w.now, f.key, f.q.id, dedup.Outcome{Verdict: v, Status: status})
		f.e.sendClaims()
	}
}

// refuse mirrors exchange.refuse.
func (f *exchange) refuse(status int, v retry.Verdict) {
	if f.mayRun && v == retry.NotRun {
		v, status = retry.MayHaveRun, 502
	}
	f.end(v, status)
	f.answer(v, status, "")
}

func (f *exchange) answer(v retry.Verdict, status int, body string) {
	if f.answered {
		f.e.w.fail("R3: request %s was answered twice by its entry", f.q.id)
	}
	f.answered = true
	f.e.inProgress--
	f.e.w.oracle.checkAnswer(f.q, v, status, body)
}

// scopedKey returns the idempotency key with its tenant and service, or "" for a request without a key.
func scopedKey(q *request) string {
	if q.key == "" {
		return ""
	}
	return keyScope(q)
}
