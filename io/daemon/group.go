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

// groupConfig says who this entry is.
type groupConfig struct {
	Member fleet.Member // without ID and Epoch, which each join chooses anew
	Clock  clock.Clock
	Store  *Store
	ListOK func() bool  // the last read of the VM list succeeded
	Viewed func() int64 // offset of the view that routing uses
}

// group is this entry's membership: its ID, its view lease and its promises.
// It is safe for concurrent use.
type group struct {
	cfg groupConfig

	mu     sync.Mutex
	self   fleet.Member
	lease  member.Lease
	guest  member.GuestLease
	core   *member.Group
	read   time.Time // start of the newest fresh read of the log, direct or relayed
	direct time.Time // likewise, only direct
	peers  map[string]peerView
	acked  int64 // offset at which nothing waited for an acknowledgement, -1 before
	joinAt int64 // offset of the own Join, 0 before
	stops  bool  // a planned stop has begun
	leaves bool  // nothing is started any more
}

// peerView is what a peer last told about itself.
type peerView struct {
	Digest
	At time.Time
}

func newGroup(cfg groupConfig) *group {
	g := &group{cfg: cfg, peers: map[string]peerView{}}
	g.renew(cfg.Clock.Now())
	return g
}

// renew takes a new epoch, and with it a new ID and empty promises. The caller holds the lock
// or is the constructor.
func (g *group) renew(now time.Time) {
	m := g.cfg.Member
	m.Epoch = max(now.UnixMilli(), g.self.Epoch+1)
	m.ID = fleet.MemberID(m.VM, m.Epoch)
	m.Version = fleet.RecordVersion
	g.self = m
	g.lease, g.guest, g.acked, g.joinAt = member.Lease{}, member.GuestLease{}, -1, 0
	g.core = member.NewGroup(member.GroupConfig{Self: m.ID, Region: m.Region, Started: now})
}

// Self returns the present member ID of this process.
func (g *group) Self() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self.ID
}

// Check returns an error unless work may be started now.
func (g *group) Check() error {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	// Until routing follows the state that the Join is part of, it may use VMs that changed pool
	// while this process was no member.
	if g.leaves || !g.valid(now) || g.cfg.Viewed() < g.joinAt {
		return errNoLease
	}
	return nil
}

// Leased reports whether a view lease is valid now. Work may be started only if Check says so.
func (g *group) Leased() bool {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.valid(now)
}

// Fresh reports whether work may be started now.
func (g *group) Fresh() bool { return g.Check() == nil }

func (g *group) valid(now time.Time) bool { return g.lease.Valid(now) || g.guest.Valid(now) }

// joined reports whether this process is a live member in its own folded view. Without the
// log its own Join cannot be folded, and only a guest's lease lets it work.
func (g *group) joined(st *fleet.State) bool {
	m := st.Members[g.self.ID]
	if m == nil || m.Phase != fleet.MemberLive {
		return false
	}
	g.joinAt = m.Joined
	return true
}

// Folded takes note of new records and of a fresh read that began at read, zero for none.
// It returns the ID of an ended membership that must be replaced by a new one, or "".
func (g *group) Folded(read time.Time) string {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if read.After(g.read) {
		g.read = read
	}
	if read.After(g.direct) {
		g.direct = read
	}
	ended := ""
	g.cfg.Store.View(func(st *fleet.State) {
		g.core.Fold(st, now)
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
	if ended == "" || g.leaves {
		return ""
	}
	g.renew(now)
	return ended
}

func (g *group) renewByPromises(st *fleet.State, now time.Time) {
	if since, ok := g.core.Renewal(st, now); ok {
		g.lease.Renew(since)
	}
}

// Digest returns what this entry tells others. The caller fills in the worker health.
func (g *group) Digest() Digest {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	d := Digest{Member: g.self.ID, ReadAge: -1, Program: fleet.RecordVersion, Serving: g.valid(now), Stopping: g.stops, Able: g.able(now)}
	if !g.read.IsZero() {
		d.ReadAge = now.Sub(g.read).Milliseconds() + 1 // rounded up: the age must never be understated
	}
	g.cfg.Store.View(func(st *fleet.State) { d.Offset, d.Version = st.Offset, st.Config.Version })
	return d
}

// Pinged takes a peer's ping and returns the promise for it, nil if none is given.
func (g *group) Pinged(d Digest) *member.Promise {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.note(d, now)
	var out *member.Promise
	g.cfg.Store.View(func(st *fleet.State) {
		if p, ok := g.core.Promise(d.Member, st, now); ok {
			out = &p
		}
	})
	return out
}

func (g *group) note(d Digest, now time.Time) {
	g.peers[d.Member] = peerView{Digest: d, At: now}
	for id, p := range g.peers {
		if now.Sub(p.At) > time.Minute {
			delete(g.peers, id)
		}
	}
}

// Ponged takes the answer to a ping that was sent at sent. Records that the peer has and this
// entry lacks must be folded before.
func (g *group) Ponged(sent time.Time, pong Pong) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.note(pong.Digest, now)
	g.core.RecordContact(pong.Member, now)
	g.cfg.Store.View(func(st *fleet.State) {
		if pong.Promise != nil {
			g.core.HandlePromise(*pong.Promise, st, sent)
		}
		if pong.ReadAge >= 0 && st.Offset >= pong.Offset {
			g.relayed(st, member.RelayedReadTime(sent, time.Duration(pong.ReadAge)*time.Millisecond))
		}
		if g.joined(st) {
			g.renewByPromises(st, now)
		}
	})
}

func (g *group) relayed(st *fleet.State, read time.Time) {
	if read.After(g.read) {
		g.read = read
	}
	if g.joined(st) {
		g.lease.Renew(read)
	}
}

// Sponsor grants a guest a lease, 0 without an own lease.
func (g *group) Sponsor(guest string) time.Duration {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	term, _ := g.core.Sponsor(guest, &g.lease, now)
	return term
}

// Sponsored takes a sponsor's grant. A joined process needs none.
func (g *group) Sponsored(sent time.Time, term time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guest.Renew(sent, term)
}

// Join returns the Join that is due, if this process is no member yet.
func (g *group) Join() (fleet.Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	due := false
	g.cfg.Store.View(func(st *fleet.State) { due = st.Members[g.self.ID] == nil })
	if !due || g.leaves {
		return fleet.Record{}, false
	}
	r := fleet.Record{Kind: fleet.KindJoin, Writer: g.self.ID, Join: &fleet.Join{Member: g.self}}
	return r, true
}

// Suspects returns the Suspect records that are due. Each must be settled.
func (g *group) Suspects() []fleet.Record {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []fleet.Record
	g.cfg.Store.View(func(st *fleet.State) {
		out = g.core.DueSuspects(st, now)
	})
	return out
}

// Settle says that the Suspect of target is in the log at offset.
func (g *group) Settle(target string, offset int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.RecordSuspect(target, offset)
}

// Removals returns the Evict and Fence records that are due.
func (g *group) Removals() []fleet.Record {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []fleet.Record
	g.cfg.Store.View(func(st *fleet.State) { out = g.core.DueEvicts(st) })
	return slices.Concat(out, g.core.DueFences(now))
}

// Ack returns the acknowledgement that is due. pushed is the offset of the view that routing
// uses: a later drain must not be acknowledged yet. inFlight tells the requests of this entry on a VM.
// Nothing becomes due before the state changes if no drain waits for this entry.
func (g *group) Ack(pushed int64, inFlight func(vm string) int) (fleet.Record, bool) {
	a, due := g.ackable(pushed)
	// No lock is held here: the schedulers ask Fresh while they hold theirs.
	a.VMs = slices.DeleteFunc(a.VMs, func(v fleet.VMGen) bool { return inFlight(v.VM) > 0 })
	if !due && len(a.VMs) == 0 {
		return fleet.Record{}, false
	}
	return fleet.Record{Kind: fleet.KindAck, Writer: a.Member, Ack: &a}, true
}

// ackable returns an acknowledgement of all drains that routing follows, and whether one is due without them.
func (g *group) ackable(pushed int64) (fleet.Ack, bool) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	a := fleet.Ack{Member: g.self.ID}
	due := false
	if !g.core.MayAck(now) {
		return a, false
	}
	g.cfg.Store.View(func(st *fleet.State) {
		self := st.Members[g.self.ID]
		if self == nil || st.Offset == g.acked || pushed < self.Joined {
			return
		}
		a.Through = min(pushed, st.Offset)
		due = st.AckDue(g.self.ID)
		waiting := st.DrainsToAck(g.self.ID)
		if !due && len(waiting) == 0 {
			g.acked = st.Offset
		}
		a.VMs = slices.DeleteFunc(waiting, func(v fleet.VMGen) bool { return v.Gen > a.Through })
	})
	return a, due
}

// Acting reports whether this entry runs the controller: the first by rendezvous rank
// among the live members of its region that were heard within member.SilenceTimeout. Members that
// reach the platform only through others come last: they would act on an old list.
func (g *group) Acting() bool {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	id, _ := g.acting(now)
	return g.lease.Valid(now) && id == g.self.ID
}

// FollowsList reports whether another member acts on the VM list and reads it.
func (g *group) FollowsList() bool {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	id, able := g.acting(now)
	return able && id != g.self.ID
}

// able reports whether this entry reads the log and the VM list itself.
func (g *group) able(now time.Time) bool {
	return now.Sub(g.direct) < member.LeaseTerm && g.cfg.ListOK()
}

// acting returns the member that runs the controller, and whether it is able.
func (g *group) acting(now time.Time) (string, bool) {
	var live []string
	g.cfg.Store.View(func(st *fleet.State) {
		if g.joined(st) && !st.ReadOnly() {
			live = st.LiveMembers(g.self.Region)
		}
	})
	live = slices.DeleteFunc(live, func(id string) bool {
		return id != g.self.ID && (now.Sub(g.peers[id].At) > member.SilenceTimeout || g.peers[id].Stopping || g.peers[id].Program < fleet.RecordVersion)
	})
	able := slices.DeleteFunc(slices.Clone(live), func(id string) bool {
		return id == g.self.ID && !g.able(now) || id != g.self.ID && !g.peers[id].Able
	})
	if len(able) > 0 {
		return hash.Owner("controller", able), true
	}
	return hash.Owner("controller", live), false
}

// Peers returns what the peers of this region last told, with the time of it.
func (g *group) Peers() []peerView {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]peerView, 0, len(g.peers))
	for _, p := range g.peers {
		out = append(out, p)
	}
	return out
}

// Stopping tells the peers that a planned stop has begun.
func (g *group) Stopping() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stops = true
}

// Leave ends all new work of this entry. It returns the Leave to be written, if it is a member.
func (g *group) Leave() (fleet.Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaves = true
	is := false
	g.cfg.Store.View(func(st *fleet.State) { is = st.Members[g.self.ID] != nil })
	return fleet.Record{Kind: fleet.KindLeave, Writer: g.self.ID, Leave: &fleet.Leave{Member: g.self.ID}}, is
}

// FoldedByAll reports whether every other live member that is heard has folded the log up to offset.
func (g *group) FoldedByAll(offset int64) bool {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	all := true
	g.cfg.Store.View(func(st *fleet.State) {
		for _, id := range st.LiveMembers(g.self.Region) {
			p, known := g.peers[id]
			if id != g.self.ID && known && now.Sub(p.At) <= member.SilenceTimeout && p.Offset < offset {
				all = false
			}
		}
	})
	return all
}

// Joined reports whether this process is a live member in its own view.
func (g *group) Joined() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	ok := false
	g.cfg.Store.View(func(st *fleet.State) { ok = g.joined(st) })
	return ok
}

// ReadsLog reports whether a fresh read of the log, own or relayed, began within the last lease term.
func (g *group) ReadsLog() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.read.IsZero() && g.cfg.Clock.Now().Sub(g.read) < member.LeaseTerm
}

// PeerReadsList reports whether a live member of this region has read the VM list within member.SilenceTimeout.
func (g *group) PeerReadsList() bool {
	now := g.cfg.Clock.Now()
	return slices.ContainsFunc(g.Peers(), func(p peerView) bool {
		age := now.Sub(p.At) + time.Duration(p.ListAge)*time.Millisecond
		return p.ListAge >= 0 && age <= member.SilenceTimeout && g.Peer(p.Member)
	})
}

// Peer reports whether id is a live member of this entry's region.
func (g *group) Peer(id string) bool {
	ok := false
	g.cfg.Store.View(func(st *fleet.State) {
		m := st.Members[id]
		ok = m != nil && m.Phase == fleet.MemberLive && m.Region == g.cfg.Member.Region
	})
	return ok
}
