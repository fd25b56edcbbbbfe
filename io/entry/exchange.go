package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/dedup"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/io/proxy"
	"sassafrasvalve/io/sched"
	"sassafrasvalve/io/stats"
)

// statusCallerGone is counted for callers that left before an answer; it is never sent.
const statusCallerGone = 499

// exchange is a request on its way through slots and attempts to its answer.
type exchange struct {
	s  *Server
	w  *output
	r  *http.Request
	q  *request
	in *input

	key      dedup.Key
	claimed  bool
	poison   string
	tried    []string // VMs
	mayRun   bool     // an attempt may have run, so that no later refusal is a not-run
	wait     time.Duration
	attempts int
}

// serve claims the key, if any, and runs the request.
func (x *exchange) serve() {
	if ref := x.claim(); ref != nil {
		x.refuse(ref)
		return
	}
	defer x.cutOff()
	x.poison = poisonKey(x.r, x.q, x.in)
	if ref := x.run(); ref != nil {
		x.refuse(ref)
	}
}

// claim asks for the right to run a request with an idempotency key.
func (x *exchange) claim() *refusal {
	q := x.q
	if q.key == "" {
		return nil
	}
	if x.s.cfg.Claims == nil {
		return bad(http.StatusBadRequest, "key", "this entry keeps no idempotency keys")
	}
	x.key = dedup.NewKey(q.tenant, q.service.Name, q.key)
	ctx, cancel := context.WithDeadline(x.r.Context(), q.deadline)
	defer cancel()
	d := x.s.cfg.Claims.Claim(ctx, dedup.Claim{
		Key: x.key, Fingerprint: fingerprint(x.r, x.in), Executor: x.s.cfg.Self(), Request: q.id, Issued: dedup.KeyTime(q.key),
	})
	if !d.Run {
		return &refusal{status: d.Status, verdict: d.Verdict, reason: "key", text: d.Reason, retryAt: d.RetryAt, stored: d.Stored}
	}
	x.claimed = true
	return nil
}

// end records the end of the request. It is called once, after the last attempt.
func (x *exchange) end(v retry.Verdict, status int, reason string) {
	if x.claimed {
		x.claimed = false
		x.s.cfg.Claims.Finish(x.key, x.q.id, dedup.Outcome{Verdict: v, Status: status})
	}
	x.s.observe(x.q.id, stats.Observation{
		Service: x.q.service.Name, Class: x.q.class.Name, Tenant: x.q.tenant, Verdict: v, Status: status,
		Reason: reason, Attempts: x.attempts, Wait: x.wait, Total: x.s.now().Sub(x.q.arrived),
	})
}

// cutOff ends a claim whose request was cut off by a fault of this program, which may have run.
func (x *exchange) cutOff() {
	if x.claimed {
		x.end(retry.MayHaveRun, 0, "fault")
	}
}

// refuse gives the request up. What earlier attempts may have done decides the verdict.
func (x *exchange) refuse(ref *refusal) {
	if x.mayRun && ref.verdict == retry.NotRun {
		ref.verdict, ref.status = retry.MayHaveRun, http.StatusBadGateway
	}
	if callerGone(x.r) {
		ref.status = statusCallerGone
		x.end(ref.verdict, ref.status, ref.reason)
		panic(http.ErrAbortHandler)
	}
	x.end(ref.verdict, ref.status, ref.reason)
	x.s.refuse(x.w, x.q.id, ref)
}

// run sends the request until it is answered or given up. It returns nil if the response was passed on.
func (x *exchange) run() *refusal {
	for {
		g, ref := x.acquire()
		if ref != nil {
			return ref
		}
		res := x.attempt(g)
		if res == nil {
			return nil
		}
		x.mayRun = x.mayRun || res.Verdict != retry.NotRun
		if x.isPoison(g.VM, res) {
			return x.giveUp(res, "poison", "this request failed on several workers that served others")
		}
		if err := x.s.check(); err != nil {
			return x.giveUp(res, "lease", "this entry may not start work: "+err.Error())
		}
		if callerGone(x.r) || x.in.fault() != nil {
			return x.giveUp(res, "caller", "the caller's request broke off")
		}
		reason := retry.Retry
		x.s.budget(x.q.service.Pool, func(b *retry.Budget) {
			reason = retry.Policy{}.Decide(x.s.now(), retry.Attempt{
				Verdict: res.Verdict, Idempotent: x.q.class.Idempotent, Replayable: x.in.replayable(),
				Attempts: x.attempts, Deadline: x.q.deadline,
			}, b)
		})
		if reason != retry.Retry {
			return x.giveUp(res, "upstream", res.Err.Error()+"; "+string(reason))
		}
	}
}

// acquire gets a slot before the deadline.
func (x *exchange) acquire() (Grant, *refusal) {
	q := x.q
	ctx, cancel := context.WithDeadline(x.r.Context(), q.deadline)
	defer cancel()
	g, err := x.s.cfg.Scheduler.Acquire(ctx, sched.Request{
		ID: q.id, Service: q.service.Name, Pool: q.service.Pool, Class: q.class.Name, Tenant: q.tenant,
		Deadline: q.deadline, Exclude: x.tried,
	})
	if err == nil {
		if x.attempts == 0 {
			x.wait = x.s.now().Sub(q.arrived)
		}
		return g, nil
	}
	if ref, ok := asRefusal(err); ok {
		return g, &refusal{status: ref.Status, verdict: retry.NotRun, reason: "admission", text: ref.Reason, retryAt: ref.RetryAt}
	}
	return g, unavailable(x.s.now(), "deadline", "no slot was free in time: "+err.Error())
}

// attempt sends the request to the granted worker. It returns nil if the response was passed on,
// and does not return if it broke off half way: the caller's connection is then aborted.
func (x *exchange) attempt(g Grant) *proxy.Result {
	x.attempts++
	x.tried = append(x.tried, g.VM)
	ctx, cancel := context.WithCancelCause(x.r.Context())
	defer cancel(nil)
	timer := x.s.watch(x.q, x.in, cancel)
	res := x.s.cfg.Forwarder.Send(ctx, proxy.Attempt{
		Addr: g.Addr, ID: x.q.id, In: x.r, Body: x.in.attempt(), Length: x.in.length,
		Check: x.s.check, Early: x.w.early,
	})
	timer.stop()
	if res.Err != nil {
		x.report(g, res)
		return res
	}
	x.w.Header().Set(retry.HeaderVerdict, retry.Ran.String())
	res.CopyTo(x.w)
	x.report(g, res)
	x.isPoison(g.VM, res)
	x.end(res.Verdict, res.Status, "")
	if res.Err != nil {
		x.s.cfg.Log.Info("response broke off", zap.String("RequestID", x.q.id), zap.String("VM", g.VM), zap.Error(res.Err))
		panic(http.ErrAbortHandler)
	}
	x.s.budget(x.q.service.Pool, (*retry.Budget).Success)
	return nil
}

func (x *exchange) report(g Grant, res *proxy.Result) {
	o := sched.Outcome{Verdict: res.Verdict, Failed: x.failed(res), Ended: x.s.now()}
	if res.Verdict == retry.Ran {
		o.Status = res.Status
	}
	g.Done(o)
}

// failed says whether the attempt counts against the worker. What the caller or the view lease ended does not.
func (x *exchange) failed(res *proxy.Result) bool {
	if res.Err != nil {
		return x.r.Context().Err() == nil && x.in.fault() == nil && x.s.check() == nil && !errors.Is(res.Err, proxy.ErrClosed)
	}
	return res.Status >= http.StatusInternalServerError && res.Status != http.StatusNotImplemented
}

func (x *exchange) isPoison(vm string, res *proxy.Result) bool {
	if x.poison == "" || (res.Verdict == retry.NotRun && res.Err != nil) || errors.Is(res.Err, errDeadline) {
		return false
	}
	return x.s.reportPoison(x.poison, vm, x.failed(res))
}

// giveUp returns the final answer after a failed attempt.
func (x *exchange) giveUp(res *proxy.Result, reason, text string) *refusal {
	ref := unavailable(x.s.now(), reason, text)
	ref.verdict = res.Verdict
	if res.Verdict != retry.NotRun {
		ref.status = http.StatusBadGateway
		ref.retryAt = time.Time{}
		if !x.s.now().Before(x.q.deadline) {
			ref.status = http.StatusGatewayTimeout
		}
	}
	return ref
}
