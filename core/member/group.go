package member

import (
	"slices"
	"time"

	"sassafrasvalve/core/fleet"
)

// GroupConfig says whose promises a Group keeps. A process that joins again under a new ID needs
// a new Group and must first have no request in progress: the new ID is not asked to acknowledge
// drains from before its Join.
type GroupConfig struct {
	Self   string // own member ID
	Region string
	// Started is when this process started or took Self as its ID. An earlier process on this VM
	// may have promised until LeaseTerm after that, so no Suspect is written before.
	Started time.Time
}

// Group is an entry's part in the group of its region: promises, suspicions, fences and guests.
// It is not safe for concurrent use. Times handed in need a monotonic reading in production.
type Group struct {
	cfg       GroupConfig
	given     map[string]time.Time // target → end of the last promise to it
	received  map[string]Received
	heard     map[string]time.Time
	suspected map[string]suspectMark
	evictions map[string]eviction
	guests    map[string]time.Time // guest → end of its lease
	checked   time.Time            // last call of DueSuspects
}

// Promise says that From writes no Suspect of To for LeaseTerm from when the promise was made.
type Promise struct {
	From   string
	To     string
	Offset int64 // folded by From when it promised
}

// Received is a promise to this entry.
type Received struct {
	Offset int64     // folded by the promiser
	Sent   time.Time // when this entry asked for it
}

// suspectMark holds back promises from before a Suspect is appended until it is void.
type suspectMark struct {
	settled bool
	offset  int64 // of the Suspect, once settled
}

// eviction is an Evict as first seen by this entry.
type eviction struct {
	offset int64
	seen   time.Time
}

// NewGroup returns a group without promises.
func NewGroup(cfg GroupConfig) *Group {
	return &Group{
		cfg:       cfg,
		given:     map[string]time.Time{},
		received:  map[string]Received{},
		heard:     map[string]time.Time{},
		suspected: map[string]suspectMark{},
		evictions: map[string]eviction{},
		guests:    map[string]time.Time{},
	}
}

// Promise answers a ping of a peer. It promises nothing to a peer that is not a live member of
// the region or that this entry suspects.
func (g *Group) Promise(to string, st *fleet.State, now time.Time) (Promise, bool) {
	g.RecordContact(to, now)
	m := st.Members[to]
	if m == nil || m.Phase != fleet.MemberLive || m.Region != g.cfg.Region {
		return Promise{}, false
	}
	if _, marked := g.suspected[to]; marked || st.HasSuspicion(g.cfg.Self, to) {
		return Promise{}, false
	}
	g.given[to] = now.Add(LeaseTerm)
	return Promise{From: g.cfg.Self, To: to, Offset: st.Offset}, true
}

// HandlePromise keeps a promise that answers a ping sent at sent. It reports whether the promise counts
// now; if not, this entry must first fold up to the promise's offset.
func (g *Group) HandlePromise(p Promise, st *fleet.State, sent time.Time) bool {
	if p.To != g.cfg.Self {
		return false
	}
	if old, ok := g.received[p.From]; !ok || sent.After(old.Sent) {
		g.received[p.From] = Received{Offset: p.Offset, Sent: sent}
	}
	return p.Offset <= st.Offset
}

// Renewal returns the time from which promises of a majority allow the lease to be renewed.
// It returns false without a majority, or if this entry is not a live member in its own view.
//
// A member that does not vote yet in this view may have been given its vote since. So the promises
// must be a majority whichever of these members vote: those that promised nothing count against it.
func (g *Group) Renewal(st *fleet.State, now time.Time) (time.Time, bool) {
	self := st.Members[g.cfg.Self]
	if self == nil || self.Phase != fleet.MemberLive {
		return time.Time{}, false
	}
	votes, others := g.promisedAt(st.Voters(g.cfg.Region), st, now), g.promisedAt(st.PendingVoters(g.cfg.Region), st, now)
	against := st.GroupSize(g.cfg.Region) + len(st.PendingVoters(g.cfg.Region))
	times := slices.Concat(votes, others)
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	for _, since := range times {
		if 2*countFrom(votes, since) > against-countFrom(others, since) {
			return since, now.Before(since.Add(LeaseTerm))
		}
	}
	return time.Time{}, false
}

// promisedAt returns when this entry asked for each promise of the members that counts.
func (g *Group) promisedAt(members []string, st *fleet.State, now time.Time) []time.Time {
	var out []time.Time
	for _, id := range members {
		if id == g.cfg.Self {
			out = append(out, now)
		} else if r, ok := g.received[id]; ok && r.Offset <= st.Offset {
			out = append(out, r.Sent)
		}
	}
	return out
}

// countFrom counts the times that are not before since.
func countFrom(times []time.Time, since time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(since) {
			n++
		}
	}
	return n
}

// RecordContact notes a message from a peer.
func (g *Group) RecordContact(peer string, now time.Time) { g.heard[peer] = now }

// Silent reports whether nothing was heard from a peer for SilenceTimeout.
func (g *Group) Silent(peer string, now time.Time) bool {
	at, ok := g.heard[peer]
	return ok && now.Sub(at) >= SilenceTimeout
}

// Fold takes note of what the state says after new records. It must be called after each batch,
// before any other method is called with the new state.
func (g *Group) Fold(st *fleet.State, now time.Time) {
	for id, m := range st.Members {
		if m.Region != g.cfg.Region {
			continue
		}
		// Without this, a peer that was never heard would never count as silent.
		if _, ok := g.heard[id]; !ok {
			g.heard[id] = now
		}
		if e, ok := g.evictions[id]; m.Phase == fleet.MemberEvicted && (!ok || e.offset != m.Evicted) {
			g.evictions[id] = eviction{m.Evicted, now}
		}
	}
	for id, mark := range g.suspected {
		if mark.settled && st.Offset >= mark.offset && !st.HasSuspicion(g.cfg.Self, id) {
			delete(g.suspected, id)
		}
	}
	g.forget(st)
}

// forget drops what is kept about processes that are no members any more.
func (g *Group) forget(st *fleet.State) {
	gone := func(id string) bool { return st.Members[id] == nil }
	for id := range g.evictions {
		if gone(id) {
			delete(g.evictions, id)
		}
	}
	for id := range g.heard {
		if gone(id) {
			delete(g.heard, id)
			delete(g.given, id)
			delete(g.received, id)
		}
	}
}

// MaySuspect reports whether this entry may write a Suspect of the target: the target is
// silent, and the last promise to it has lapsed.
func (g *Group) MaySuspect(target string, st *fleet.State, now time.Time) bool {
	m := st.Members[target]
	if target == g.cfg.Self || m == nil || m.Phase != fleet.MemberLive || m.Region != g.cfg.Region {
		return false
	}
	if _, marked := g.suspected[target]; marked || st.HasSuspicion(g.cfg.Self, target) {
		return false
	}
	return g.Silent(target, now) && !now.Before(g.given[target]) && now.Sub(g.cfg.Started) >= LeaseTerm
}

// DueSuspects returns the Suspect records that are due and marks their targets: no promise is given
// to them from now on. The caller appends each and reports its offset with RecordSuspect. It must be called
// at each heartbeat: after a longer gap this entry was itself paused and heard nobody, so the
// silence of all peers counts from now.
func (g *Group) DueSuspects(st *fleet.State, now time.Time) []fleet.Record {
	if now.Sub(g.checked) >= SilenceTimeout {
		for id := range g.heard {
			g.heard[id] = now
		}
	}
	g.checked = now
	var out []fleet.Record
	for _, id := range st.LiveMembers(g.cfg.Region) {
		if !g.MaySuspect(id, st, now) {
			continue
		}
		g.suspected[id] = suspectMark{}
		r := g.record(fleet.KindSuspect)
		r.Suspect = &fleet.Suspect{By: g.cfg.Self, Target: id}
		out = append(out, r)
	}
	return out
}

// RecordSuspect says that the Suspect of the target is in the log at offset, accepted or not. An
// append with an unknown outcome must be repeated with the same ID until it is known.
func (g *Group) RecordSuspect(target string, offset int64) {
	if _, ok := g.suspected[target]; ok {
		g.suspected[target] = suspectMark{settled: true, offset: offset}
	}
}

// DueEvicts returns an Evict record for each member that enough of the group suspects.
func (g *Group) DueEvicts(st *fleet.State) []fleet.Record {
	var out []fleet.Record
	for _, id := range st.LiveMembers(g.cfg.Region) {
		if ok, _ := st.CanEvict(id); ok && id != g.cfg.Self {
			r := g.record(fleet.KindEvict)
			r.Evict = &fleet.Evict{Target: id}
			out = append(out, r)
		}
	}
	return out
}

// MayFence reports whether this entry has seen the target's Evict for FenceDelay.
func (g *Group) MayFence(target string, now time.Time) bool {
	e, ok := g.evictions[target]
	return ok && now.Sub(e.seen) >= FenceDelay
}

// DueFences returns the Fence records that may be written now, sorted by target.
func (g *Group) DueFences(now time.Time) []fleet.Record {
	var targets []string
	for id := range g.evictions {
		if g.MayFence(id, now) {
			targets = append(targets, id)
		}
	}
	slices.Sort(targets)
	out := make([]fleet.Record, 0, len(targets))
	for _, id := range targets {
		r := g.record(fleet.KindFence)
		r.Fence = &fleet.Fence{Target: id, EvictOffset: g.evictions[id].offset}
		out = append(out, r)
	}
	return out
}

func (g *Group) record(kind fleet.Kind) fleet.Record {
	return fleet.Record{Kind: kind, Version: fleet.RecordVersion, Writer: g.cfg.Self}
}
