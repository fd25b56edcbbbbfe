// Package route chooses a worker for an attempt and ejects workers that fail.
package route

import "time"

// Candidate is a worker that has a free slot for this entry.
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
