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

// statusClientClosedRequest is counted for callers that disconnected before the answer. It is never sent.
const statusClientClosedRequest = 499

// exchange runs one request: it claims the key, acquires slots, sends attempts and answers the caller.
type exchange struct {
	s  *Server
	w  *output
	r  *http.Request
	q  *request
	in *input

	key        dedup.Key
	claimed    bool
	poisonKey  string
	triedVMs   []string // VMs that attempts were sent to
	mayHaveRun bool     // an attempt may have run, so a later refusal must not say not-run
	queueWait  time.Duration
	attempts   int
}

// serve claims the idempotency key, if any, and runs the request.
func (x *exchange) serve() {
	if ref := x.claim(); ref != nil {
		x.refuse(ref)
		return
	}
	defer x.endIfAborted()
	x.poisonKey = poisonKey(x.r, x.q, x.in)
	if ref := x.run(); ref != nil {
		x.refuse(ref)
	}
}

// claim requests the right to run a request with an idempotency key. It does nothing without a key.
func (x *exchange) claim() *refusal {
	q := x.q
	if q.key == "" {
		return nil
	}
	if x.s.cfg.Claims == nil {
		return newRefusal(http.StatusBadRequest, "key", "this entry keeps no idempotency keys")
	}
	x.key = dedup.NewKey(q.tenant, q.service.Name, q.key)
	ctx, cancel := context.WithDeadline(x.r.Context(), q.deadline)
	defer cancel()
	d := x.s.cfg.Claims.Claim(ctx, dedup.Claim{
		Key: x.key, Fingerprint: fingerprint(x.r, x.in), Executor: x.s.cfg.Self(), Request: q.id, Issued: dedup.KeyTime(q.key),
	})
	if !d.Run {
		return &refusal{status: d.Status, verdict: d.Verdict, reason: "key", detail: d.Reason, retryAt: d.RetryAt, stored: d.Stored}
	}
	x.claimed = true
	return nil
}

// end finishes the claim, if any, and records the request in logs and metrics. It is called once, after the last attempt.
func (x *exchange) end(v retry.Verdict, status int, reason string) {
	if x.claimed {
		x.claimed = false
		x.s.cfg.Claims.Finish(x.key, x.q.id, dedup.Outcome{Verdict: v, Status: status})
	}
	x.s.observe(x.q.id, stats.Observation{
		Service: x.q.service.Name, Class: x.q.class.Name, Tenant: x.q.tenant, Verdict: v, Status: status,
		Reason: reason, Attempts: x.attempts, Wait: x.queueWait, Total: x.s.now().Sub(x.q.arrived),
	})
}

// endIfAborted ends a claim that is still open because a panic cut the request off. The request may have run.
func (x *exchange) endIfAborted() {
	if x.claimed {
		x.end(retry.MayHaveRun, 0, "fault")
	}
}

// refuse ends the request with a refusal. The verdict is may-have-run if an earlier attempt may have run. If the caller
// has disconnected, it aborts the handler instead of answering.
func (x *exchange) refuse(ref *refusal) {
	if x.mayHaveRun && ref.verdict == retry.NotRun {
		ref.verdict, ref.status = retry.MayHaveRun, http.StatusBadGateway
	}
	if callerDisconnected(x.r) {
		ref.status = statusClientClosedRequest
		x.end(ref.verdict, ref.status, ref.reason)
		panic(http.ErrAbortHandler)
	}
	x.end(ref.verdict, ref.status, ref.reason)
	x.s.refuse(x.w, x.q.id, ref)
}

// run sends attempts until the request is answered or given up. It returns nil if a response was passed on to the caller.
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
		x.mayHaveRun = x.mayHaveRun || res.Verdict != retry.NotRun
		if x.reportPoison(g.VM, res) {
			return x.giveUp(res, "poison", "this request failed on several workers that served others")
		}
		if err := x.s.checkGate(); err != nil {
			return x.giveUp(res, "lease", "this entry may not start work: "+err.Error())
		}
		if callerDisconnected(x.r) || x.in.bodyErr() != nil {
			return x.giveUp(res, "caller", "the caller's request broke off")
		}
		reason := retry.Retry
		x.s.withBudget(x.q.service.Pool, func(b *retry.Budget) {
			reason = retry.Policy{}.Decide(x.s.now(), retry.Attempt{
				Verdict: res.Verdict, Idempotent: x.q.class.Idempotent, Keyed: x.q.key != "", Replayable: x.in.replayable(),
				Count: x.attempts, Deadline: x.q.deadline,
			}, b)
		})
		if reason != retry.Retry {
			return x.giveUp(res, "upstream", res.Err.Error()+"; "+string(reason))
		}
	}
}

// acquire waits for a slot until the deadline.
func (x *exchange) acquire() (Grant, *refusal) {
	q := x.q
	ctx, cancel := context.WithDeadline(x.r.Context(), q.deadline)
	defer cancel()
	g, err := x.s.cfg.Scheduler.Acquire(ctx, sched.Request{
		ID: q.id, Service: q.service.Name, Pool: q.service.Pool, Class: q.class.Name, Tenant: q.tenant,
		Deadline: q.deadline, Exclude: x.triedVMs,
	})
	if err == nil {
		if x.attempts == 0 {
			x.queueWait = x.s.now().Sub(q.arrived)
		}
		return g, nil
	}
	if ref, ok := asRefusal(err); ok {
		return g, &refusal{status: ref.Status, verdict: retry.NotRun, reason: "admission", detail: ref.Reason, retryAt: ref.RetryAt}
	}
	return g, unavailable(x.s.now(), "deadline", "no slot was free in time: "+err.Error())
}

// attempt sends the request to the granted worker. It returns nil if the response was passed on to the caller.
// If the response breaks off part way, it panics with http.ErrAbortHandler, which aborts the caller's connection.
func (x *exchange) attempt(g Grant) *proxy.Result {
	x.attempts++
	x.triedVMs = append(x.triedVMs, g.VM)
	ctx, cancel := context.WithCancelCause(x.r.Context())
	defer cancel(nil)
	timer := x.s.startHeaderTimer(x.q, x.in, cancel)
	res := x.s.cfg.Forwarder.Send(ctx, proxy.Attempt{
		Addr: g.Addr, ID: x.q.id, In: x.r, Body: x.in.attempt(), Length: x.in.length,
		Check: x.s.checkGate, OnInformational: x.w.writeInformational,
	})
	timer.stop()
	if res.Err != nil {
		x.report(g, res)
		return res
	}
	x.w.Header().Set(retry.HeaderVerdict, retry.Ran.String())
	res.CopyTo(x.w)
	x.report(g, res)
	x.reportPoison(g.VM, res)
	x.end(res.Verdict, res.Status, "")
	if res.Err != nil {
		x.s.cfg.Log.Info("response broke off", zap.String("RequestID", x.q.id), zap.String("VM", g.VM), zap.Error(res.Err))
		panic(http.ErrAbortHandler)
	}
	x.s.withBudget(x.q.service.Pool, (*retry.Budget).Success)
	return nil
}

func (x *exchange) report(g Grant, res *proxy.Result) {
	o := sched.Outcome{Verdict: res.Verdict, Failed: x.countsAsFailure(res), Ended: x.s.now()}
	if res.Verdict == retry.Ran {
		o.Status = res.Status
	}
	g.Done(o)
}

// countsAsFailure reports whether the attempt counts as a failure of the worker. An attempt that was ended by
// the caller or by the loss of the view lease does not.
func (x *exchange) countsAsFailure(res *proxy.Result) bool {
	if res.Err != nil {
		return x.r.Context().Err() == nil && x.in.bodyErr() == nil && x.s.checkGate() == nil && !errors.Is(res.Err, proxy.ErrClosed)
	}
	return res.Status >= http.StatusInternalServerError && res.Status != http.StatusNotImplemented
}

// reportPoison records the outcome of an attempt for the detection of poison requests and reports whether
// the request is poison. An attempt that did not run, or that ended at the deadline, is not counted.
func (x *exchange) reportPoison(vm string, res *proxy.Result) bool {
	if x.poisonKey == "" || (res.Verdict == retry.NotRun && res.Err != nil) || errors.Is(res.Err, errDeadlinePassed) {
		return false
	}
	return x.s.reportPoison(x.poisonKey, vm, x.countsAsFailure(res))
}

// giveUp returns the refusal that answers the request after a failed attempt.
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
