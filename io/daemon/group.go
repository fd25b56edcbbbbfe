package daemon

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/hash"
	"sassafrasvalve/core/member"
)

// errNoLease is returned while the entry may not start work.
var errNoLease = eris.New("the view lease has lapsed: this entry cannot tell which VMs it may use")

// groupConfig configures a group.
type groupConfig struct {
	Member       fleet.Member // without ID and Epoch, which are chosen at each join
	Clock        clock.Clock
	Store        *Store
	ListOK       func() bool  // reports whether the last read of the VM list succeeded
	RoutedOffset func() int64 // returns the offset of the view that routing uses
}

// group holds the membership of this entry: its ID, its view lease and its promises.
// It is safe for concurrent use.
type group struct {
	cfg groupConfig

	mu           sync.Mutex
	self         fleet.Member
	lease        member.Lease
	guestLease   member.GuestLease // granted by peers while this process is not a member
	protocol     *member.Group
	readAt       time.Time // start of the newest fresh read, one that reached the end of the log, by this entry or a peer
	directReadAt time.Time // start of the newest fresh read of the log by this entry
	peers        map[string]peerReport
	noAckOffset  int64 // newest offset at which no acknowledgement was due and no drain waited, -1 without one
	joinOffset   int64 // offset of the own Join, 0 before it is folded
	stopping     bool  // a planned stop has begun
	leaving      bool  // no work may be started any more
}

// peerReport is the last Digest of a peer and when it was received.
type peerReport struct {
	Digest
	ReceivedAt time.Time
}

func newGroup(cfg groupConfig) *group {
	g := &group{cfg: cfg, peers: map[string]peerReport{}}
	g.resetIdentity(cfg.Clock.Now())
	return g
}

// resetIdentity chooses a new epoch and member ID, and clears the leases and promises.
// The caller holds mu or is the constructor.
func (g *group) resetIdentity(now time.Time) {
	m := g.cfg.Member
	m.Epoch = max(now.UnixMilli(), g.self.Epoch+1)
	m.ID = fleet.MemberID(m.VM, m.Epoch)
	m.Version = fleet.RecordVersion
	g.self = m
	g.lease, g.guestLease, g.noAckOffset, g.joinOffset = member.Lease{}, member.GuestLease{}, -1, 0
	g.protocol = member.NewGroup(member.GroupConfig{Self: m.ID, Region: m.Region, StartedAt: now})
}

// Self returns the current member ID of this process.
func (g *group) Self() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self.ID
}

// Check returns errNoLease unless work may be started now.
func (g *group) Check() error {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	// Until routing uses a state that includes the Join, it may send work to VMs that changed pool while
	// this process was not a member. Under a guest lease none can: the sponsor writes no Ack while it runs. So a guest
	// serves on while its Join is folded.
	oldest := g.joinOffset
	if g.guestLease.Valid(now) {
		oldest = 0
	}
	if g.leaving || !g.leaseValid(now) || g.cfg.RoutedOffset() < oldest {
		return errNoLease
	}
	return nil
}

// HasLease reports whether a view lease is valid now. A lease alone does not allow work: see Check.
func (g *group) HasLease() bool {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaseValid(now)
}

// MayStart reports whether Check allows work to be started now.
func (g *group) MayStart() bool { return g.Check() == nil }

func (g *group) leaseValid(now time.Time) bool { return g.lease.Valid(now) || g.guestLease.Valid(now) }

// joined reports whether this process is a live member in its folded state, and sets joinOffset if so.
// While the log is down, its Join cannot be folded and only a guest lease allows work.
func (g *group) joined(st *fleet.State) bool {
	m := st.Members[g.self.ID]
	if m == nil || m.Phase != fleet.MemberLive {
		return false
	}
	g.joinOffset = m.Joined
	return true
}

// HandleFold updates the membership and its lease after records were folded. read is the start of a fresh
// read of the log, zero if there was none. If the membership has ended, HandleFold chooses a new identity and
// returns the old ID, else "".
func (g *group) HandleFold(read time.Time) string {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if read.After(g.readAt) {
		g.readAt = read
	}
	if read.After(g.directReadAt) {
		g.directReadAt = read
	}
	ended := ""
	g.cfg.Store.View(func(st *fleet.State) {
		g.protocol.HandleState(st, now)
		if e, ok := st.Ended[g.self.VM]; ok && e.Epoch >= g.self.Epoch {
			ended = g.self.ID
			return
		}
		m := st.Members[g.self.ID]
		if m != nil && m.Phase == fleet.MemberEvicted {
			ended = g.self.ID
			return
		}
		if g.joined(st) && !read.IsZero() {
			g.lease.Renew(read)
		}
		g.renewByPromises(st, now)
	})
	if ended == "" || g.leaving {
		return ""
	}
	g.resetIdentity(now)
	return ended
}

func (g *group) renewByPromises(st *fleet.State, now time.Time) {
	if since, ok := g.protocol.Renewal(st, now); ok {
		g.lease.Renew(since)
	}
}

// Digest returns the state of this entry for its peers. The caller adds what it knows of the VMs.
func (g *group) Digest() Digest {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	d := Digest{Member: g.self.ID, ReadAge: -1, Program: fleet.RecordVersion, Serving: g.leaseValid(now), Stopping: g.stopping, Able: g.readsPlatform(now)}
	if !g.readAt.IsZero() {
		d.ReadAge = now.Sub(g.readAt).Milliseconds() + 1 // rounded up, since the age must never be understated
	}
	g.cfg.Store.View(func(st *fleet.State) { d.Offset, d.Version = st.Offset, st.Config.Version })
	return d
}

// HandlePing records a peer's ping and returns the promise for that peer, nil if none is given.
func (g *group) HandlePing(d Digest) *member.Promise {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordPeer(d, now)
	var out *member.Promise
	g.cfg.Store.View(func(st *fleet.State) {
		if p, ok := g.protocol.Promise(d.Member, st, now); ok {
			out = &p
		}
	})
	return out
}

// recordPeer stores a peer's digest and deletes those that are older than a minute.
func (g *group) recordPeer(d Digest, now time.Time) {
	g.peers[d.Member] = peerReport{Digest: d, ReceivedAt: now}
	for id, p := range g.peers {
		if now.Sub(p.ReceivedAt) > time.Minute {
			delete(g.peers, id)
		}
	}
}

// HandlePong applies the answer to a ping that was sent at sent. The caller must first fold the records
// that the peer has and this entry lacks.
func (g *group) HandlePong(sent time.Time, pong Pong) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordPeer(pong.Digest, now)
	g.protocol.RecordContact(pong.Member, now)
	g.cfg.Store.View(func(st *fleet.State) {
		if pong.Promise != nil {
			g.protocol.HandlePromise(*pong.Promise, st, sent)
		}
		if pong.ReadAge >= 0 && st.Offset >= pong.Offset {
			g.applyRelayedRead(st, member.RelayedReadTime(sent, time.Duration(pong.ReadAge)*time.Millisecond))
		}
		if g.joined(st) {
			g.renewByPromises(st, now)
		}
	})
}

// applyRelayedRead renews the lease by a fresh read of a peer that began at read.
func (g *group) applyRelayedRead(st *fleet.State, read time.Time) {
	if read.After(g.readAt) {
		g.readAt = read
	}
	if g.joined(st) {
		g.lease.Renew(read)
	}
}

// Sponsor returns the term of the lease that it grants to guest, whose routing uses the view at viewOffset. It returns 0
// if this entry has no lease itself, or if VMs may have changed pool since that view.
func (g *group) Sponsor(guest string, viewOffset int64) (term time.Duration) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.Store.View(func(st *fleet.State) { term, _ = g.protocol.Sponsor(guest, viewOffset, st, &g.lease, now) })
	return term
}

// HandleGrant renews the guest lease by a grant of term for a request that was sent at sent.
// A process that has joined needs no guest lease.
func (g *group) HandleGrant(sent time.Time, term time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guestLease.Renew(sent, term)
}

// DueJoin returns a Join record and true if this process is not a member yet and is not leaving.
func (g *group) DueJoin() (fleet.Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	due := false
	g.cfg.Store.View(func(st *fleet.State) { due = st.Members[g.self.ID] == nil })
	if !due || g.leaving {
		return fleet.Record{}, false
	}
	r := fleet.Record{Kind: fleet.KindJoin, Writer: g.self.ID, Join: &fleet.Join{Member: g.self}}
	return r, true
}

// DueSuspects returns the Suspect records that are due. The caller must report the offset of each
// with RecordSuspect.
func (g *group) DueSuspects() []fleet.Record {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []fleet.Record
	g.cfg.Store.View(func(st *fleet.State) {
		out = g.protocol.DueSuspects(st, now)
	})
	return out
}

// RecordSuspect records that the Suspect of target is in the log at offset.
func (g *group) RecordSuspect(target string, offset int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.protocol.RecordSuspect(target, offset)
}

// DueRemovals returns the Evict and Fence records that are due.
func (g *group) DueRemovals() []fleet.Record {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []fleet.Record
	g.cfg.Store.View(func(st *fleet.State) { out = g.protocol.DueEvicts(st) })
	return slices.Concat(out, g.protocol.DueFences(now))
}

// DueAck returns the acknowledgement that is due, if any. pushed is the offset of the view that routing uses:
// a later drain must not be acknowledged yet. inProgress returns the number of requests of this entry on a VM.
func (g *group) DueAck(pushed int64, inProgress func(vm string) int) (fleet.Record, bool) {
	a, due := g.pendingAck(pushed)
	// mu must not be held here: the schedulers call MayStart, which takes it, while they hold their own locks.
	a.VMs = slices.DeleteFunc(a.VMs, func(v fleet.VMGen) bool { return inProgress(v.VM) > 0 })
	if !due && len(a.VMs) == 0 {
		return fleet.Record{}, false
	}
	return fleet.Record{Kind: fleet.KindAck, Writer: a.Member, Ack: &a}, true
}

// pendingAck returns an acknowledgement of all drains that the view of routing includes, and whether one is
// due even without a drain. Once neither is the case, it skips the search until the state changes: no acknowledgement
// becomes due before that.
func (g *group) pendingAck(pushed int64) (fleet.Ack, bool) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	a := fleet.Ack{Member: g.self.ID}
	due := false
	if !g.protocol.MayAck(now) {
		return a, false
	}
	g.cfg.Store.View(func(st *fleet.State) {
		self := st.Members[g.self.ID]
		if self == nil || st.Offset == g.noAckOffset || pushed < self.Joined {
			return
		}
		a.Through = min(pushed, st.Offset)
		due = st.AckDue(g.self.ID)
		waiting := st.DrainsToAck(g.self.ID)
		if !due && len(waiting) == 0 {
			g.noAckOffset = st.Offset
		}
		a.VMs = slices.DeleteFunc(waiting, func(v fleet.VMGen) bool { return v.Gen > a.Through })
		if due || len(a.VMs) > 0 {
			g.protocol.RecordAck(a.Through)
		}
	})
	return a, due
}

// Acting reports whether this entry runs the controller. That is the first by rendezvous rank among the live
// members of its region that were heard within member.SilenceTimeout, are not stopping and support this program's
// record version. Members that reach the platform only through others come last, since they would act on an old
// VM list. An entry that holds only a guest lease does not act.
func (g *group) Acting() bool {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	id, _ := g.actingMember(now)
	return g.lease.Valid(now) && id == g.self.ID
}

// OtherMemberActs reports whether another member runs the controller and reads the VM list itself.
func (g *group) OtherMemberActs() bool {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	id, readsPlatform := g.actingMember(now)
	return readsPlatform && id != g.self.ID
}

// readsPlatform reports whether this entry reads the log and the VM list itself, not through a peer.
func (g *group) readsPlatform(now time.Time) bool {
	return now.Sub(g.directReadAt) < member.LeaseTerm && g.cfg.ListOK()
}

// actingMember returns the member that should run the controller, and whether it reads the platform itself.
func (g *group) actingMember(now time.Time) (string, bool) {
	var live []string
	g.cfg.Store.View(func(st *fleet.State) {
		if g.joined(st) && !st.ReadOnly() {
			live = st.LiveMembers(g.self.Region)
		}
	})
	live = slices.DeleteFunc(live, func(id string) bool {
		return id != g.self.ID && (now.Sub(g.peers[id].ReceivedAt) > member.SilenceTimeout || g.peers[id].Stopping || g.peers[id].Program < fleet.RecordVersion)
	})
	able := slices.DeleteFunc(slices.Clone(live), func(id string) bool {
		return id == g.self.ID && !g.readsPlatform(now) || id != g.self.ID && !g.peers[id].Able
	})
	if len(able) > 0 {
		return hash.Owner("controller", able), true
	}
	return hash.Owner("controller", live), false
}

// Peers returns the last report of each peer, with the time of its receipt.
func (g *group) Peers() []peerReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]peerReport, 0, len(g.peers))
	for _, p := range g.peers {
		out = append(out, p)
	}
	return out
}

// MarkStopping makes the digest report that a planned stop has begun.
func (g *group) MarkStopping() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
}

// Leave forbids all new work of this entry. It returns the Leave record, and whether it must be appended
// because this process is a member.
func (g *group) Leave() (fleet.Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	isMember := false
	g.cfg.Store.View(func(st *fleet.State) { isMember = st.Members[g.self.ID] != nil })
	return fleet.Record{Kind: fleet.KindLeave, Writer: g.self.ID, Leave: &fleet.Leave{Member: g.self.ID}}, isMember
}

// FoldedByAll reports whether every other live member of this region that was heard within
// member.SilenceTimeout has folded the log up to offset.
func (g *group) FoldedByAll(offset int64) bool {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	all := true
	g.cfg.Store.View(func(st *fleet.State) {
		for _, id := range st.LiveMembers(g.self.Region) {
			p, known := g.peers[id]
			if id != g.self.ID && known && now.Sub(p.ReceivedAt) <= member.SilenceTimeout && p.Offset < offset {
				all = false
			}
		}
	})
	return all
}

// Joined reports whether this process is a live member in its folded state.
func (g *group) Joined() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	ok := false
	g.cfg.Store.View(func(st *fleet.State) { ok = g.joined(st) })
	return ok
}

// ReadsLog reports whether a fresh read of the log, by this entry or a peer, began within the last lease term.
func (g *group) ReadsLog() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.readAt.IsZero() && g.cfg.Clock.Now().Sub(g.readAt) < member.LeaseTerm
}

// PeerReadsList reports whether a live member of this region has read the VM list within member.SilenceTimeout.
func (g *group) PeerReadsList() bool {
	now := g.cfg.Clock.Now()
	return slices.ContainsFunc(g.Peers(), func(p peerReport) bool {
		age := now.Sub(p.ReceivedAt) + time.Duration(p.ListAge)*time.Millisecond
		return p.ListAge >= 0 && age <= member.SilenceTimeout && g.IsLivePeer(p.Member)
	})
}

// IsLivePeer reports whether id is a live member of this entry's region.
func (g *group) IsLivePeer(id string) bool {
	ok := false
	g.cfg.Store.View(func(st *fleet.State) {
		m := st.Members[id]
		ok = m != nil && m.Phase == fleet.MemberLive && m.Region == g.cfg.Member.Region
	})
	return ok
}
