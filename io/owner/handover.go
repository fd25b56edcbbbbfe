package owner

import (
	"context"
	"sync/atomic"
	"time"

	"sassafrasvalve/core/clock"
)

// Limits of handovers.
const (
	// minOwnershipMs is the minimum time between a claim and a handover, so that shards do not move continually.
	minOwnershipMs = 1000
	// handOverBackoff is the time for which a process that handed a shard over does not claim it again.
	handOverBackoff = 1500 * time.Millisecond
)

// ownership is the period from a claim until the shard is released or lost.
type ownership struct {
	sinceMs    int64         // local ms of the claim
	stop       func()        // ends the work of the shard
	ended      chan struct{} // closed once the shard is released or lost
	handedOver atomic.Bool   // HandOver was called
	released   atomic.Bool   // the release is recorded
}

// HandOver releases the shard for another process, whose RequestClaim must be called afterwards. It returns true if the
// release is recorded. It refuses if this process has owned the shard for less than minOwnershipMs or its ownership is
// not confirmed.
func (o *Owner) HandOver(ctx context.Context) bool {
	own := o.ownership.Load()
	if own == nil || clock.BootMs()-own.sinceMs < minOwnershipMs || !o.OwnershipConfirmed() ||
		!own.handedOver.CompareAndSwap(false, true) {
		return false
	}
	own.stop()
	select {
	case <-own.ended:
		return own.released.Load()
	case <-ctx.Done():
		return false
	}
}

// RequestClaim makes the loop claim the shard without delay. It is called after another process released the shard for
// this one.
func (o *Owner) RequestClaim() {
	select {
	case o.claimRequest <- struct{}{}:
	default:
	}
}

// RunsAndJobs returns the number of the shard's runs and jobs as of the last summary in the log, or 0 if the shard does not run
// here.
func (o *Owner) RunsAndJobs() int64 {
	if r := o.run.Load(); r != nil {
		return r.load.Load()
	}
	return 0
}
