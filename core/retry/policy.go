package retry

import "time"

// DefaultMaxAttempts is the maximum number of attempts of a request, including the first. If five workers refuse
// or fail it, the fault is in the pool, and more attempts would make it worse.
const DefaultMaxAttempts = 5

// Policy decides whether a request is retried after a failed attempt.
type Policy struct {
	MaxAttempts int // including the first; 0 means DefaultMaxAttempts
}

// Attempt describes a failed attempt and its request.
type Attempt struct {
	Verdict    Verdict // verdict of the last attempt
	Idempotent bool    // running the request more than once is safe
	Keyed      bool    // it has an idempotency key, so it runs at most once whatever its class
	Replayable bool    // its body can be sent again from the start
	Count      int     // attempts so far
	Deadline   time.Time
}

// Reason is the reason why a request is not retried. The zero value, Retry, means that it is retried.
type Reason string

// Reasons against another attempt, and Retry.
const (
	Retry                   Reason = ""
	ReasonRan               Reason = "the request ran"
	ReasonMayHaveRun        Reason = "the request may have run and its class is not idempotent"
	ReasonKeyed             Reason = "the request may have run and has an idempotency key"
	ReasonBodyNotReplayable Reason = "the request body was already read and is too large to keep"
	ReasonMaxAttempts       Reason = "too many attempts"
	ReasonDeadline          Reason = "the deadline has passed"
	ReasonBudgetExhausted   Reason = "the retry budget is used up"
)

// Decide returns Retry if the request may be sent to another worker. Only in this case it takes a token from b.
func (p Policy) Decide(now time.Time, a Attempt, b *Budget) Reason {
	maxAttempts := p.MaxAttempts
	if maxAttempts == 0 {
		maxAttempts = DefaultMaxAttempts
	}
	switch {
	case a.Verdict == Ran:
		return ReasonRan
	case a.Verdict != NotRun && !a.Idempotent:
		return ReasonMayHaveRun
	case a.Verdict != NotRun && a.Keyed:
		return ReasonKeyed
	case !a.Replayable:
		return ReasonBodyNotReplayable
	case a.Count >= maxAttempts:
		return ReasonMaxAttempts
	case !now.Before(a.Deadline):
		return ReasonDeadline
	case !b.Take(now):
		return ReasonBudgetExhausted
	}
	return Retry
}
