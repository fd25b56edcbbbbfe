package member

import "time"

// CloseDelay is how long an entry may be without a valid lease before it closes its attempts in progress. Their
// VMs may change pool FenceDelay after the Evict, which is at least a second after the lease lapsed.
const CloseDelay = 500 * time.Millisecond

// LapseTimer follows how long an entry has been without a valid lease. The zero value is ready for use.
type LapseTimer struct {
	since time.Time // first sight of the present lapse, zero while the lease is valid
}

// MustClose takes note of whether the lease is valid now, and reports whether attempts in progress must be closed.
// Only the time that the process sees counts, so that a short freeze closes nothing once the lease is renewed.
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
