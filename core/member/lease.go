// Package member decides when an entry may start work, and when it may suspect, evict or fence other entries.
package member

import "time"

// Terms and timeouts of the membership protocol.
const (
	LeaseTerm         = 3 * time.Second        // validity of a view lease and of a promise
	HeartbeatInterval = 500 * time.Millisecond // interval between pings of a peer
	SilenceTimeout    = 2 * time.Second        // a peer without a message for this time counts as silent

	// FenceDelay is the time between an entry's first sight of an Evict and its Fence, on the entry's own clock. By
	// then every lease that began before the Evict has expired; the additional second allows for clock drift.
	FenceDelay = LeaseTerm + time.Second
)

// Lease is the view lease of an entry, which may start work while the lease is valid. The zero value is not valid.
type Lease struct {
	sent         time.Time
	monoDeadline time.Time // with the monotonic reading, whose clock stops during a suspension
	wallDeadline time.Time // without the monotonic reading; its clock may be changed
}

// Renew extends the lease to LeaseTerm after sent, the start of the read or ping that confirms the view. A call with a
// time that is not after that of the last renewal has no effect.
func (l *Lease) Renew(sent time.Time) {
	if !l.sent.IsZero() && !sent.After(l.sent) {
		return
	}
	l.sent = sent
	l.monoDeadline = sent.Add(LeaseTerm)
	l.wallDeadline = l.monoDeadline.Round(0)
}

// Valid reports whether work may start at now. Both clocks must be before the deadline:
// the monotonic clock may stop while a VM is suspended, the wall clock may be set back.
func (l *Lease) Valid(now time.Time) bool { return l.validAt(now, now.Round(0)) }

func (l *Lease) validAt(mono, wall time.Time) bool {
	return mono.Before(l.monoDeadline) && wall.Before(l.wallDeadline)
}

// Remaining returns how long the lease is still valid, or 0 if it is not valid.
func (l *Lease) Remaining(now time.Time) time.Duration {
	return max(0, min(l.monoDeadline.Sub(now), l.wallDeadline.Sub(now.Round(0))))
}

// Deadline returns when the lease ends, with a monotonic reading.
func (l *Lease) Deadline() time.Time { return l.monoDeadline }

// RelayedReadTime returns the time from which a view relayed by a peer counts as read. Sent is when this entry sent
// its request to the peer; age is the age of the peer's own log read when it answered. The peer answered after sent,
// so its read began no earlier than the returned time. The time may renew the lease only once the relayed records are
// folded.
func RelayedReadTime(sent time.Time, age time.Duration) time.Time { return sent.Add(-max(age, 0)) }
