// Package route chooses a worker for each attempt, ejects failing workers and detects poison requests.
package route

import "time"

// Candidate is a worker on which this entry has a free slot.
type Candidate struct {
	VM    string
	DC    string
	InUse int // requests of this entry in progress on the worker
}

// Outcome is the result of an attempt on a worker.
type Outcome struct {
	Failed  bool
	Elapsed time.Duration
}
