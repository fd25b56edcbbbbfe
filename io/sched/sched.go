// Package sched schedules callers' requests onto the workers of a pool.
package sched

import (
	"fmt"
	"net/http"
	"time"

	"sassafrasvalve/core/retry"
)

// Request is what a caller's request needs from the scheduler.
type Request struct {
	ID       string
	Service  string
	Pool     string
	Class    string
	Tenant   string
	Deadline time.Time
	Exclude  []string // VMs that earlier attempts of the request were sent to
}

// Outcome is what became of an attempt, as reported by Grant.Done.
type Outcome struct {
	Verdict retry.Verdict
	Status  int  // HTTP status, 0 without a whole answer
	Failed  bool // counts against the worker
	Ended   time.Time
}

// Refusal says that a request got no slot. No upstream has seen it.
type Refusal struct {
	Status  int // http.StatusServiceUnavailable or http.StatusTooManyRequests
	Reason  string
	RetryAt time.Time // when the caller may come back
}

// Error returns the reason with the HTTP status.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused with %d %s: %s", r.Status, http.StatusText(r.Status), r.Reason)
}
