package retry

import "time"

// DefaultMaxAttempts bounds the attempts of a request, the first included. Five workers that
// each refuse or break are a fault of the pool, which more attempts only make worse.
const DefaultMaxAttempts = 5

// Policy decides whether a request is sent again after an attempt.
type Policy struct {
	MaxAttempts int // the first included; 0 means DefaultMaxAttempts
}

// Attempt describes a request after a failed attempt.
type Attempt struct {
	Verdict    Verdict // of the last attempt
	Idempotent bool    // the request may run more than once
	Replayable bool    // its body can be sent again from the start
	Attempts   int     // attempts so far
	Deadline   time.Time
}

// Reason says why a request is not sent again. The zero value means that it is.
type Reason string

// The reasons against another attempt.
const (
	Retry           Reason = ""
	ReasonRan       Reason = "the request ran"
	ReasonMayRun    Reason = "the request may have run and its class is not idempotent"
	ReasonBody      Reason = "the request body was already read and is too large to keep"
	ReasonAttempts  Reason = "too many attempts"
	ReasonDeadline  Reason = "the deadline has passed"
	ReasonExhausted Reason = "the retry budget is used up"
)

// Decide returns Retry if the request may be sent to another worker. Only then it takes a token from b.
func (p Policy) Decide(now time.Time, t Attempt, b *Budget) Reason {
	most := p.MaxAttempts
	if most == 0 {
		most = DefaultMaxAttempts
	}
	switch {
	case t.Verdict == Ran:
		return ReasonRan
	case t.Verdict != NotRun && !t.Idempotent:
		return ReasonMayRun
	case !t.Replayable:
		return ReasonBody
	case t.Attempts >= most:
		return ReasonAttempts
	case !now.Before(t.Deadline):
		return ReasonDeadline
	case !b.Take(now):
		return ReasonExhausted
	}
	return Retry
}
