// Package member decides when an entry may start work and when it may suspect or fence others.
package member

import "time"

// Times of the membership protocol.
const (
	LeaseTerm         = 3 * time.Second        // L: validity of a view lease and of a promise
	HeartbeatInterval = 500 * time.Millisecond // interval between pings of a peer
	SilenceTimeout    = 2 * time.Second        // a peer not heard for this long is held for silent

	// FenceDelay is counted on the writer's clock from its first sight of the Evict. By then
	// every lease that began before the Evict has lapsed; the second allows for clock drift.
	FenceDelay = LeaseTerm + time.Second
)

// Lease is the view lease of an entry: it may start work while the lease is valid.
// The zero value is not valid.
type Lease struct {
	sent time.Time
	mono time.Time // deadline with the monotonic reading, stops during suspend
	wall time.Time // deadline without it, follows clock changes
}

// Renew extends the lease to LeaseTerm after sent, when the read or the ping that confirms the
// view began. An earlier sent than before has no effect.
func (l *Lease) Renew(sent time.Time) {
	if !l.sent.IsZero() && !sent.After(l.sent) {
		return
	}
	l.sent = sent
	l.mono = sent.Add(LeaseTerm)
	l.wall = l.mono.Round(0)
}

// Valid reports whether work may start at now. Both clocks must be before the deadline:
// the monotonic clock may stop while a VM is suspended, the wall clock may be set back.
func (l *Lease) Valid(now time.Time) bool { return l.validAt(now, now.Round(0)) }

func (l *Lease) validAt(mono, wall time.Time) bool {
	return mono.Before(l.mono) && wall.Before(l.wall)
}

// Remaining returns how long the lease is still valid, 0 if it is not.
func (l *Lease) Remaining(now time.Time) time.Duration {
	return max(0, min(l.mono.Sub(now), l.wall.Sub(now.Round(0))))
}

// Deadline returns when the lease ends.
func (l *Lease) Deadline() time.Time { return l.mono }

// RelayedReadTime returns the time from which a view relayed by a peer counts as read: sent is when
// this entry asked the peer, age is how old the peer's own log read was when it answered.
// The answer was given after sent, so the read began no earlier than the returned time.
// It may renew the lease only once the relayed records are folded.
func RelayedReadTime(sent time.Time, age time.Duration) time.Time { return sent.Add(-max(age, 0)) }
