// Package sched schedules callers' requests onto the workers of a pool.
package sched

import (
	"fmt"
	"net/http"
	"time"

	"sassafrasvalve/core/retry"
)

// Request describes a caller's request to the scheduler.
type Request struct {
	ID       string
	Service  string
	Pool     string
	Class    string
	Tenant   string
	Deadline time.Time
	Exclude  []string // VMs that earlier attempts of the request were sent to
}

// Outcome is the result of an attempt, as reported to Grant.Done.
type Outcome struct {
	Verdict retry.Verdict
	Status  int       // HTTP status, 0 without a complete response
	Failed  bool      // counts as a failure of the worker
	Ended   time.Time // zero means the time of the call to Done
}

// Refusal is the error for a request that got no slot. It was not sent to any upstream.
type Refusal struct {
	Status  int // http.StatusServiceUnavailable or http.StatusTooManyRequests
	Reason  string
	RetryAt time.Time // earliest time at which the caller should retry
}

// Error returns the reason with the HTTP status.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused with %d %s: %s", r.Status, http.StatusText(r.Status), r.Reason)
}
