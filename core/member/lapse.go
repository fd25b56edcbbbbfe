package member

import "time"

// CloseDelay is how long an entry may be without a valid lease before it closes its attempts in progress. Their VMs
// may change pool FenceDelay after the Evict, which is at least one second after the lease has expired.
const CloseDelay = 500 * time.Millisecond

// LapseTimer measures how long an entry has been without a valid lease. The zero value is ready for use.
type LapseTimer struct {
	since time.Time // when the lease was first seen as invalid; zero while it is valid
}

// MustClose records whether the lease is valid now, and reports whether attempts in progress must be closed. The delay
// starts at the first call without a valid lease, so that a short freeze of the process closes no attempts if the
// lease is renewed afterwards.
func (l *LapseTimer) MustClose(now time.Time, valid bool) bool {
	if valid {
		l.since = time.Time{}
		return false
	}
	if l.since.IsZero() {
		l.since = now
	}
	return now.Sub(l.since) >= CloseDelay
}
