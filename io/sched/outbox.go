package sched

import (
	"context"
	"slices"
	"sync"
	"time"

	"sassafrasvalve/core/slots"
)

// outbox sends an owner's updates to one member. A queued update is replaced by
// a newer one for the same pool, since limits are absolute.
type outbox struct {
	set    *Set
	member string
	queued chan struct{}

	mu      sync.Mutex
	updates []slots.Reply
}

func (b *outbox) add(r slots.Reply) {
	b.mu.Lock()
	b.updates = slices.DeleteFunc(b.updates, func(o slots.Reply) bool { return o.Pool == r.Pool })
	b.updates = append(b.updates, r)
	b.mu.Unlock()
	select {
	case b.queued <- struct{}{}:
	default:
	}
}

func (b *outbox) take() []slots.Reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	updates := b.updates
	b.updates = nil
	return updates
}

func (b *outbox) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.queued:
			b.send(ctx)
		case <-time.After(idleTimeout):
			if b.retire() {
				return
			}
		}
	}
}

// send pushes the queued updates. Errors are ignored, since the next reply
// to the member makes up for a lost update.
func (b *outbox) send(ctx context.Context) {
	pusher, ok := b.set.cfg.Exchanger.(Pusher)
	updates := b.take()
	if !ok || len(updates) == 0 {
		return
	}
	b.set.countTraffic(repliesSize(updates))
	ctx, cancel := context.WithTimeout(ctx, slots.ExchangeTimeout)
	defer cancel()
	_ = pusher.Push(ctx, b.member, updates)
}

// retire removes the outbox from the set and returns true, unless an update was
// queued in the meantime.
func (b *outbox) retire() bool {
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	if len(b.queued) > 0 {
		return false
	}
	delete(b.set.outboxes, b.member)
	return true
}
