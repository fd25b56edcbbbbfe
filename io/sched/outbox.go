package sched

import (
	"context"
	"slices"
	"sync"
	"time"

	"sassafrasvalve/core/slots"
)

// outbox carries an owner's updates to one member. Updates that pile up are
// replaced by newer ones for the same pool, since limits are absolute.
type outbox struct {
	set    *Set
	member string
	filled chan struct{}

	mu      sync.Mutex
	updates []slots.Reply
}

func (b *outbox) add(r slots.Reply) {
	b.mu.Lock()
	b.updates = slices.DeleteFunc(b.updates, func(o slots.Reply) bool { return o.Pool == r.Pool })
	b.updates = append(b.updates, r)
	b.mu.Unlock()
	select {
	case b.filled <- struct{}{}:
	default:
	}
}

func (b *outbox) take() []slots.Reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.updates
	b.updates = nil
	return out
}

func (b *outbox) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.filled:
			b.send(ctx)
		case <-time.After(idleLink):
			if b.retire() {
				return
			}
		}
	}
}

// send pushes what has piled up. A lost update is made good by the next reply.
func (b *outbox) send(ctx context.Context) {
	pusher, ok := b.set.cfg.Exchanger.(Pusher)
	updates := b.take()
	if !ok || len(updates) == 0 {
		return
	}
	b.set.count(repliesSize(updates))
	ctx, cancel := context.WithTimeout(ctx, slots.ExchangeTimeout)
	defer cancel()
	_ = pusher.Push(ctx, b.member, updates)
}

// retire takes the outbox out of the set unless it was filled meanwhile.
func (b *outbox) retire() bool {
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	if len(b.filled) > 0 {
		return false
	}
	delete(b.set.out, b.member)
	return true
}
