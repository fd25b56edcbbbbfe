package chaos

import (
	"cmp"
	"slices"
	"time"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/hash"
	"sassafrasvalve/core/member"
)

// digest is the report of an entry about itself to its peers. It mirrors daemon.Digest.
type digest struct {
	member   string
	offset   int64
	readAge  time.Duration // of the newest log read; -1 without one
	listAge  time.Duration // of the newest VM list; -1 without one
	ejected  []string
	dead     []string
	leaving  []string
	stopping bool
	at       time.Time
}

// pong mirrors daemon.Pong.
type pong struct {
	digest
	promise *member.Promise
}

// group mirrors io/daemon.group, whose state is protected by a lock that is not accessible outside its package.
type group struct {
	e        *entry
	self     fleet.Member
	lease    member.Lease
	guest    member.GuestLease
	core     *member.Group
	readAt   time.Time
	peers    map[string]digest
	stopping bool
	leaving  bool
}

// renew mirrors group.resetIdentity.
func (g *group) renew(now time.Time) {
	m := fleet.Member{
		VM: g.e.place.vm, Addr: g.e.place.vm, DC: g.e.place.dc, Region: g.e.place.region, Version: fleet.RecordVersion,
		Epoch: max(now.UnixMilli(), g.self.Epoch+1),
	}
	m.ID = fleet.MemberID(m.VM, m.Epoch)
	g.self = m
	g.lease, g.guest = member.Lease{}, member.GuestLease{}
	g.core = member.NewGroup(member.GroupConfig{Self: m.ID, Region: m.Region, StartedAt: now})
}

// fresh mirrors group.Check.
func (g *group) fresh() bool { return !g.leaving && g.valid(g.e.w.now) }

func (g *group) valid(now time.Time) bool { return g.lease.Valid(now) || g.guest.Valid(now) }

// joined mirrors group.joined.
func (g *group) joined() bool {
	m := g.e.st.Members[g.self.ID]
	return m != nil && m.Phase == fleet.MemberLive
}

// folded mirrors group.HandleFold.
func (g *group) folded(read time.Time) {
	now, st := g.e.w.now, g.e.st
	if read.After(g.readAt) {
		g.readAt = read
	}
	g.core.HandleState(st, now)
	ended := false
	m := st.Members[g.self.ID]
	if e, ok := st.Ended[g.self.VM]; ok && e.Epoch >= g.self.Epoch || m != nil && m.Phase == fleet.MemberEvicted {
		ended = true
	}
	if ended {
		if !g.leaving {
			g.e.w.counts.add("memberships renewed", 1)
			g.renew(now)
		}
		return
	}
	if m != nil && !read.IsZero() {
		g.lease.Renew(read)
	}
	g.renewByPromises(now)
}

// renewByPromises mirrors group.renewByPromises.
func (g *group) renewByPromises(now time.Time) {
	if since, ok := g.core.Renewal(g.e.st, now); ok {
		g.lease.Renew(since)
	}
}

// digest mirrors group.Digest and Daemon.digest.
func (g *group) digest() digest {
	now := g.e.w.now
	d := digest{
		member: g.self.ID, offset: g.e.st.Offset, readAge: -1, listAge: -1, leaving: slices.Clone(g.e.ownLeaving),
		stopping: g.stopping, at: now,
	}
	if g.e.list.Read {
		d.listAge = now.Sub(g.e.listReadAt)
	}
	if !g.readAt.IsZero() {
		d.readAge = now.Sub(g.readAt) + time.Millisecond
	}
	d.ejected, d.dead = g.e.health.report(now)
	return d
}

// pinged mirrors group.HandlePing.
func (g *group) pinged(d digest) *member.Promise {
	g.note(d)
	if p, ok := g.core.Promise(d.member, g.e.st, g.e.w.now); ok {
		return &p
	}
	return nil
}

// note mirrors group.recordPeer.
func (g *group) note(d digest) {
	d.at = g.e.w.now
	g.peers[d.member] = d
	for id, p := range g.peers {
		if g.e.w.now.Sub(p.at) > time.Minute {
			delete(g.peers, id)
		}
	}
}

// ponged mirrors group.HandlePong and group.applyRelayedRead.
func (g *group) ponged(sent time.Time, p pong) {
	now, st := g.e.w.now, g.e.st
	g.note(p.digest)
	g.core.RecordContact(p.member, now)
	if p.promise != nil {
		g.core.HandlePromise(*p.promise, st, sent)
	}
	if p.readAge >= 0 && st.Offset >= p.offset {
		read := member.RelayedReadTime(sent, p.readAge)
		if read.After(g.readAt) {
			g.readAt = read
		}
		if g.joined() {
			g.lease.Renew(read)
		}
	}
	if g.joined() {
		g.renewByPromises(now)
	}
}

// ack mirrors group.DueAck.
func (g *group) ack(pushed int64, inProgress func(vm string) int) (fleet.Record, bool) {
	st := g.e.st
	if !g.core.MayAck(g.e.w.now) || st.Members[g.self.ID] == nil {
		return fleet.Record{}, false
	}
	a := fleet.Ack{Member: g.self.ID, Through: min(pushed, st.Offset)}
	a.VMs = slices.DeleteFunc(st.DrainsToAck(g.self.ID), func(v fleet.VMGen) bool {
		return v.Gen > a.Through || inProgress(v.VM) > 0
	})
	if !st.AckDue(g.self.ID) && len(a.VMs) == 0 {
		return fleet.Record{}, false
	}
	g.core.RecordAck(a.Through)
	return fleet.Record{Kind: fleet.KindAck, Writer: a.Member, Ack: &a}, true
}

// acting mirrors group.Acting.
func (g *group) acting() bool {
	now := g.e.w.now
	if !g.joined() || g.e.st.ReadOnly() {
		return false
	}
	live := slices.DeleteFunc(g.e.st.LiveMembers(g.self.Region), func(id string) bool {
		return id != g.self.ID && (now.Sub(g.peers[id].at) > member.SilenceTimeout || g.peers[id].stopping)
	})
	return g.lease.Valid(now) && hash.Owner("controller", live) == g.self.ID
}

// readsLog mirrors group.ReadsLog.
func (g *group) readsLog() bool {
	return !g.readAt.IsZero() && g.e.w.now.Sub(g.readAt) < member.LeaseTerm
}

// peerReadsList mirrors group.PeerReadsList.
func (g *group) peerReadsList() bool {
	return slices.ContainsFunc(g.sortedPeers(), func(p digest) bool {
		m := g.e.st.Members[p.member]
		return p.listAge >= 0 && g.e.w.now.Sub(p.at)+p.listAge <= member.SilenceTimeout &&
			m != nil && m.Phase == fleet.MemberLive && m.Region == g.self.Region
	})
}

// sortedPeers returns the newest digests of the peers, sorted by member.
func (g *group) sortedPeers() []digest {
	out := make([]digest, 0, len(g.peers))
	for _, p := range g.peers {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b digest) int { return cmp.Compare(a.member, b.member) })
	return out
}

// health mirrors daemon.vmHealth.
type health struct {
	ejected, refused, up map[string]time.Time
}

func newHealth() *health {
	return &health{map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}}
}

// Copies of daemon.sickAfter and daemon.deadAfter.
const (
	sickAfter = 30 * time.Second
	deadAfter = 10 * time.Second
)

func (h *health) eject(now time.Time, vms []string) {
	since := map[string]time.Time{}
	for _, vm := range vms {
		since[vm] = now
		if t, ok := h.ejected[vm]; ok {
			since[vm] = t
		}
	}
	h.ejected = since
}

func (h *health) probe(now time.Time, vm string, ok bool) {
	if ok {
		h.up[vm] = now
		delete(h.refused, vm)
	} else if _, known := h.refused[vm]; !known {
		h.refused[vm] = now
	}
}

func (h *health) keep(vms map[string]bool) {
	for _, m := range []map[string]time.Time{h.refused, h.up} {
		for vm := range m {
			if !vms[vm] {
				delete(m, vm)
			}
		}
	}
}

func (h *health) report(now time.Time) (sick, dead []string) {
	since := func(m map[string]time.Time, limit time.Time) []string {
		var out []string
		for vm, t := range m {
			if !t.After(limit) {
				out = append(out, vm)
			}
		}
		slices.Sort(out)
		return out
	}
	return since(h.ejected, now.Add(-sickAfter)), since(h.refused, now.Add(-deadAfter))
}
