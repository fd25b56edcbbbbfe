// Package admit decides which queued request of a pool starts next at an
// entry, and which ones are refused because they cannot start in time.
package admit

import (
	"container/list"
	"fmt"
	"time"
)

// State is the state of a request.
type State int

// States of a request. Done, Refused and Cancelled are final.
const (
	Waiting State = iota
	Running
	Done
	Refused
	Cancelled
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"waiting", "running", "done", "refused", "cancelled"}[s]
}

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s >= Done }

// Request holds the properties of a request that the queue uses.
type Request struct {
	Class    string
	Tenant   string
	Deadline time.Time // zero if there is none
	Value    any       // the caller's own data
}

// Ticket is a request in the queue or in progress. Only the Queue changes it.
type Ticket struct {
	Request
	Arrived time.Time
	Started time.Time
	state   State
	class   *class
	flow    *flow
	elem    *list.Element
}

// State returns the state of the request.
func (t *Ticket) State() State { return t.state }

// latestStart returns the latest useful start: the earlier of the deadline and the end of MaxWait. It is zero if there is
// no limit.
func (t *Ticket) latestStart() time.Time {
	if t.class.Deferrable {
		return time.Time{} // deferrable requests run late rather than being refused
	}
	var at time.Time
	if t.class.MaxWait > 0 {
		at = t.Arrived.Add(t.class.MaxWait)
	}
	if !t.Deadline.IsZero() && (at.IsZero() || t.Deadline.Before(at)) {
		at = t.Deadline
	}
	return at
}

// Cause is the cause of a refusal.
type Cause int

// Causes of a refusal.
const (
	CauseTooLate  Cause = iota // the request cannot start before its deadline or within MaxWait
	CauseQuota                 // the tenant exceeds its rate
	CauseUnknown               // the class is not configured
	CauseCapacity              // the pool has no slots
)

// Refusal is the reason why a request was refused, and the time at which the caller may retry.
type Refusal struct {
	Cause   Cause
	Reason  string
	RetryAt time.Time
}

// Error returns the text of the reason.
func (r *Refusal) Error() string { return r.Reason }

// tooLateRefusal returns the refusal of a request with the predicted start time start.
func tooLateRefusal(now, start time.Time, t *Ticket) *Refusal {
	if !now.Before(t.latestStart()) {
		return &Refusal{
			Cause:   CauseTooLate,
			Reason:  fmt.Sprintf("class %q: no slot became free in %v", t.Class, now.Sub(t.Arrived).Round(time.Millisecond)),
			RetryAt: retryAt(now, start.Sub(now)),
		}
	}
	return &Refusal{
		Cause: CauseTooLate,
		Reason: fmt.Sprintf("class %q: predicted start in %v is after the latest useful start in %v",
			t.Class, start.Sub(now).Round(time.Millisecond), t.latestStart().Sub(now).Round(time.Millisecond)),
		RetryAt: retryAt(now, start.Sub(t.latestStart())),
	}
}

// Bounds of the time until a refused caller may retry.
const (
	minRetry = time.Second // resolution of the Retry-After header
	maxRetry = 30 * time.Second
)

// retryAt returns the time after wait, which is limited to the range from minRetry to maxRetry.
func retryAt(now time.Time, wait time.Duration) time.Time {
	return now.Add(min(max(wait, minRetry), maxRetry))
}
