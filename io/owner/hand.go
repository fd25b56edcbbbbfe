package owner

import (
	"context"
	"sync/atomic"
	"time"

	"sassafrasvalve/core/clock"
)

// Handing over.
const (
	// termLeast is how long a process keeps a shard at least, in ms, so that shards do not wander.
	termLeast = 1000
	// leaveFor is how long a process that handed a shard over leaves it to others.
	leaveFor = 1500 * time.Millisecond
)

// term is one ownership of a shard.
type term struct {
	since  int64 // local ms
	stop   func()
	over   chan struct{} // closed at the end, once the shard is released or lost
	handed atomic.Bool
	free   atomic.Bool // the release is recorded
}

// HandOver releases the shard for another process, which is to be told by ClaimNow there. It returns false if this process does not
// own the shard for long enough, or not for certain.
func (o *Owner) HandOver(ctx context.Context) bool {
	t := o.term.Load()
	if t == nil || clock.BootMs()-t.since < termLeast || !o.OwnershipConfirmed() || !t.handed.CompareAndSwap(false, true) {
		return false
	}
	t.stop()
	select {
	case <-t.over:
		return t.free.Load()
	case <-ctx.Done():
		return false
	}
}

// ClaimNow has this process claim the shard at once, which another one has just released for it.
func (o *Owner) ClaimNow() {
	select {
	case o.invited <- struct{}{}:
	default:
	}
}

// Load returns a measure of what the owner of the shard has to follow: its runs and jobs as of the last summary, 0 without any.
func (o *Owner) Load() int64 {
	if r := o.run.Load(); r != nil {
		return r.work.Load()
	}
	return 0
}
