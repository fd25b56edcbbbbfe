// Package admit decides which queued request of a pool starts next at an
// entry, and which ones are refused because they cannot start in time.
package admit

import (
	"container/list"
	"fmt"
	"time"
)

// State is the place of a request in its life.
type State int

// The states. Done, Refused and Cancelled are final.
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

// Final reports whether the state never changes again.
func (s State) Final() bool { return s >= Done }

// Request is what the queue needs to know of a request.
type Request struct {
	Class    string
	Tenant   string
	Deadline time.Time // zero means none
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

// State returns the place of the request in its life.
func (t *Ticket) State() State { return t.state }

// latest returns the latest useful start, or zero if there is no bound.
func (t *Ticket) latest() time.Time {
	if t.class.Deferrable {
		return time.Time{} // deferrable work runs late rather than never
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

// Cause says why a request was refused.
type Cause int

// The causes of a refusal.
const (
	CauseTooLate  Cause = iota // it cannot start before its deadline or MaxWait
	CauseQuota                 // the tenant is over its rate
	CauseUnknown               // no such class
	CauseCapacity              // the pool has no slots at all
)

// Refusal says why a request was refused and when its caller may come back.
type Refusal struct {
	Cause   Cause
	Reason  string
	RetryAt time.Time
}

// Error returns the reason.
func (r *Refusal) Error() string { return r.Reason }

func tooLate(now, start time.Time, t *Ticket) *Refusal {
	if !now.Before(t.latest()) {
		return &Refusal{
			Cause:   CauseTooLate,
			Reason:  fmt.Sprintf("class %q: no slot became free in %v", t.Class, now.Sub(t.Arrived).Round(time.Millisecond)),
			RetryAt: retryAt(now, start.Sub(now)),
		}
	}
	return &Refusal{
		Cause: CauseTooLate,
		Reason: fmt.Sprintf("class %q: predicted start in %v is after the latest useful start in %v",
			t.Class, start.Sub(now).Round(time.Millisecond), t.latest().Sub(now).Round(time.Millisecond)),
		RetryAt: retryAt(now, start.Sub(t.latest())),
	}
}

// Bounds of the wait that a refused caller is told.
const (
	minRetry = time.Second // resolution of Retry-After
	maxRetry = 30 * time.Second
)

func retryAt(now time.Time, wait time.Duration) time.Time {
	return now.Add(min(max(wait, minRetry), maxRetry))
}
