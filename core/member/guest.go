package member

import (
	"time"

	"sassafrasvalve/core/fleet"
)

// Sponsor grants a guest, a process that is not a member, a lease that ends no later than this entry's own, and returns
// its term. The guest counts the term from when it sent its request. MayAck is false until the lease ends on this
// entry's clock, so that no VM changes its pool while the guest may use it. viewOffset is the offset of the view that the
// guest uses. Sponsor returns false if this entry's own lease is not valid, or if VMs may have changed their pool since
// that view: before this entry's Join, or by its acknowledgements.
func (g *Group) Sponsor(guest string, viewOffset int64, st *fleet.State, own *Lease, now time.Time) (time.Duration, bool) {
	self := st.Members[g.cfg.Self]
	if !own.Valid(now) || self == nil || viewOffset < max(self.Joined, g.ackedThrough) {
		return 0, false
	}
	term := own.Remaining(now)
	if end := now.Add(term); end.After(g.guests[guest]) {
		g.guests[guest] = end
	}
	return term, true
}

// RecordAck records that an Ack through an offset is about to be appended.
func (g *Group) RecordAck(through int64) { g.ackedThrough = max(g.ackedThrough, through) }

// ReleaseGuest ends the guest's lease early. Only the guest may request it, once it has stopped serving or is a
// member itself.
func (g *Group) ReleaseGuest(guest string) { delete(g.guests, guest) }

// MayAck reports whether all leases of guests have ended, and deletes the ended ones that it finds.
func (g *Group) MayAck(now time.Time) bool {
	for guest, end := range g.guests {
		if now.Before(end) {
			return false
		}
		delete(g.guests, guest)
	}
	return true
}

// GuestLease is the view lease that a sponsor grants to a process that is not a member.
type GuestLease struct{ lease Lease }

// Renew extends the lease to term after sent, the time of the guest's request, but by LeaseTerm at most.
func (l *GuestLease) Renew(sent time.Time, term time.Duration) {
	l.lease.Renew(sent.Add(min(term, LeaseTerm) - LeaseTerm))
}

// Valid reports whether the guest may start work at now.
func (l *GuestLease) Valid(now time.Time) bool { return l.lease.Valid(now) }
