package member

import "time"

// Sponsor grants a guest a lease that ends no later than this entry's own. The returned term
// counts on the guest's clock from when it sent its request. Until the lease ends here, MayAck
// is false, so that no VM changes pool under the guest.
func (g *Group) Sponsor(guest string, own *Lease, now time.Time) (time.Duration, bool) {
	if !own.Valid(now) {
		return 0, false
	}
	term := own.Remaining(now)
	if end := now.Add(term); end.After(g.guests[guest]) {
		g.guests[guest] = end
	}
	return term, true
}

// ReleaseGuest ends the guest's lease early. Only the guest may ask for it, when it has stopped
// serving or is a member itself.
func (g *Group) ReleaseGuest(guest string) { delete(g.guests, guest) }

// MayAck reports whether no guest's lease runs.
func (g *Group) MayAck(now time.Time) bool {
	for guest, end := range g.guests {
		if now.Before(end) {
			return false
		}
		delete(g.guests, guest)
	}
	return true
}

// GuestLease is the view lease of a process that serves under a sponsor.
type GuestLease struct{ lease Lease }

// Renew extends the lease to term after sent, when the guest asked its sponsor.
func (l *GuestLease) Renew(sent time.Time, term time.Duration) {
	l.lease.Renew(sent.Add(min(term, LeaseTerm) - LeaseTerm))
}

// Valid reports whether the guest may start work at now.
func (l *GuestLease) Valid(now time.Time) bool { return l.lease.Valid(now) }
