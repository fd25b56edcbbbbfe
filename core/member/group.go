package member

import (
	"slices"
	"time"

	"sassafrasvalve/core/fleet"
)

// GroupConfig identifies the entry of a Group. A process that joins again under a new ID needs a new Group, and must
// have no request in progress before: the new ID does not have to acknowledge drains from before its Join.
type GroupConfig struct {
	Self   string // own member ID
	Region string
	// StartedAt is when this process started or took Self as its ID. Promises of an earlier process on this VM may
	// run until LeaseTerm after that, so no Suspect is written before.
	StartedAt time.Time
}

// Group holds an entry's promises, suspicions, fences and guests in the group of its region.
// It is not safe for concurrent use. Times passed to it need a monotonic reading in production.
type Group struct {
	cfg               GroupConfig
	promisedUntil     map[string]time.Time // by target: end of the last promise given to it
	received          map[string]Received
	lastContact       map[string]time.Time
	suspectMarks      map[string]suspectMark
	evictions         map[string]eviction
	guests            map[string]time.Time // by guest: end of its lease
	ackedThrough      int64                // newest offset that this entry has acknowledged
	suspectsCheckedAt time.Time            // last call of DueSuspects
}

// Promise states that From writes no Suspect of To until LeaseTerm after the promise was made.
type Promise struct {
	From   string
	To     string
	Offset int64 // log offset up to which From had folded when it promised
}

// Received is a promise that was given to this entry.
type Received struct {
	Offset int64     // log offset up to which the peer had folded
	Sent   time.Time // when this entry sent the ping
}

// suspectMark blocks promises to a target from before a Suspect of it is appended until that Suspect is no longer valid.
type suspectMark struct {
	appended bool
	offset   int64 // of the Suspect, once appended
}

// eviction holds the offset of an Evict and when this entry first saw it.
type eviction struct {
	offset int64
	seenAt time.Time
}

// NewGroup returns a Group without promises.
func NewGroup(cfg GroupConfig) *Group {
	return &Group{
		cfg:           cfg,
		promisedUntil: map[string]time.Time{},
		received:      map[string]Received{},
		lastContact:   map[string]time.Time{},
		suspectMarks:  map[string]suspectMark{},
		evictions:     map[string]eviction{},
		guests:        map[string]time.Time{},
	}
}

// Promise returns the promise that answers a ping of a peer. It returns false if the peer is not a live member of the
// region or if this entry suspects it.
func (g *Group) Promise(to string, st *fleet.State, now time.Time) (Promise, bool) {
	g.RecordContact(to, now)
	m := st.Members[to]
	if m == nil || m.Phase != fleet.MemberLive || m.Region != g.cfg.Region {
		return Promise{}, false
	}
	if _, marked := g.suspectMarks[to]; marked || st.HasSuspicion(g.cfg.Self, to) {
		return Promise{}, false
	}
	g.promisedUntil[to] = now.Add(LeaseTerm)
	return Promise{From: g.cfg.Self, To: to, Offset: st.Offset}, true
}

// HandlePromise stores a promise that answers a ping sent at sent. It reports whether the promise counts now. If it
// does not, this entry must first fold the log up to the promise's offset.
func (g *Group) HandlePromise(p Promise, st *fleet.State, sent time.Time) bool {
	if p.To != g.cfg.Self {
		return false
	}
	if old, ok := g.received[p.From]; !ok || sent.After(old.Sent) {
		g.received[p.From] = Received{Offset: p.Offset, Sent: sent}
	}
	return p.Offset <= st.Offset
}

// Renewal returns the time from which the promises of a majority renew the lease. It returns false without a
// majority, if that renewal has already expired, or if this entry is not a live member in its own view.
//
// A member without a vote in this view may have received one since. So the promises must form a majority whichever
// of these members vote: members without a promise count against it.
func (g *Group) Renewal(st *fleet.State, now time.Time) (time.Time, bool) {
	self := st.Members[g.cfg.Self]
	if self == nil || self.Phase != fleet.MemberLive {
		return time.Time{}, false
	}
	votes, others := g.promiseTimes(st.Voters(g.cfg.Region), st, now), g.promiseTimes(st.PendingVoters(g.cfg.Region), st, now)
	maxVoters := st.GroupSize(g.cfg.Region) + len(st.PendingVoters(g.cfg.Region))
	times := slices.Concat(votes, others)
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	for _, since := range times {
		if 2*countNotBefore(votes, since) > maxVoters-countNotBefore(others, since) {
			return since, now.Before(since.Add(LeaseTerm))
		}
	}
	return time.Time{}, false
}

// promiseTimes returns when this entry sent the ping for each of the members' promises that counts now. For this
// entry itself the time is now.
func (g *Group) promiseTimes(members []string, st *fleet.State, now time.Time) []time.Time {
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

// countNotBefore returns how many times are at or after since.
func countNotBefore(times []time.Time, since time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(since) {
			n++
		}
	}
	return n
}

// RecordContact records that a message from a peer arrived at now.
func (g *Group) RecordContact(peer string, now time.Time) { g.lastContact[peer] = now }

// IsSilent reports whether no message from a peer has arrived for SilenceTimeout.
func (g *Group) IsSilent(peer string, now time.Time) bool {
	at, ok := g.lastContact[peer]
	return ok && now.Sub(at) >= SilenceTimeout
}

// HandleState updates the group from the state after new records. It must be called after each batch of records, before any
// other method is called with the new state.
func (g *Group) HandleState(st *fleet.State, now time.Time) {
	for id, m := range st.Members {
		if m.Region != g.cfg.Region {
			continue
		}
		// Without this, a peer that never sent a message would never count as silent.
		if _, ok := g.lastContact[id]; !ok {
			g.lastContact[id] = now
		}
		if e, ok := g.evictions[id]; m.Phase == fleet.MemberEvicted && (!ok || e.offset != m.Evicted) {
			g.evictions[id] = eviction{m.Evicted, now}
		}
	}
	for id, mark := range g.suspectMarks {
		if mark.appended && st.Offset >= mark.offset && !st.HasSuspicion(g.cfg.Self, id) {
			delete(g.suspectMarks, id)
		}
	}
	g.removeFormerMembers(st)
}

// removeFormerMembers deletes the data of processes that are no longer members.
func (g *Group) removeFormerMembers(st *fleet.State) {
	removed := func(id string) bool { return st.Members[id] == nil }
	for id := range g.evictions {
		if removed(id) {
			delete(g.evictions, id)
		}
	}
	for id := range g.lastContact {
		if removed(id) {
			delete(g.lastContact, id)
			delete(g.promisedUntil, id)
			delete(g.received, id)
		}
	}
}

// MaySuspect reports whether this entry may write a Suspect of the target: the target is a live member that is
// silent, is not suspected yet, and the last promise to it has expired.
func (g *Group) MaySuspect(target string, st *fleet.State, now time.Time) bool {
	m := st.Members[target]
	if target == g.cfg.Self || m == nil || m.Phase != fleet.MemberLive || m.Region != g.cfg.Region {
		return false
	}
	if _, marked := g.suspectMarks[target]; marked || st.HasSuspicion(g.cfg.Self, target) {
		return false
	}
	return g.IsSilent(target, now) && !now.Before(g.promisedUntil[target]) && now.Sub(g.cfg.StartedAt) >= LeaseTerm
}

// DueSuspects returns the Suspect records to append and marks their targets, which get no promise from then on. The
// caller appends each record and reports its offset with RecordSuspect. DueSuspects must be called at each heartbeat:
// a gap of SilenceTimeout or more means that this entry was itself paused and received nothing, so the silence of all
// peers then counts from now.
func (g *Group) DueSuspects(st *fleet.State, now time.Time) []fleet.Record {
	if now.Sub(g.suspectsCheckedAt) >= SilenceTimeout {
		for id := range g.lastContact {
			g.lastContact[id] = now
		}
	}
	g.suspectsCheckedAt = now
	var out []fleet.Record
	for _, id := range st.LiveMembers(g.cfg.Region) {
		if !g.MaySuspect(id, st, now) {
			continue
		}
		g.suspectMarks[id] = suspectMark{}
		r := g.record(fleet.KindSuspect)
		r.Suspect = &fleet.Suspect{By: g.cfg.Self, Target: id}
		out = append(out, r)
	}
	return out
}

// RecordSuspect records that the Suspect of the target is in the log at offset, accepted or rejected. An append with
// an unknown outcome must be repeated with the same ID until the outcome is known.
func (g *Group) RecordSuspect(target string, offset int64) {
	if _, ok := g.suspectMarks[target]; ok {
		g.suspectMarks[target] = suspectMark{appended: true, offset: offset}
	}
}

// DueEvicts returns an Evict record for each other member that enough members of the group suspect.
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

// MayFence reports whether FenceDelay has passed since this entry first saw the target's Evict.
func (g *Group) MayFence(target string, now time.Time) bool {
	e, ok := g.evictions[target]
	return ok && now.Sub(e.seenAt) >= FenceDelay
}

// DueFences returns the Fence records that may be appended now, sorted by target.
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
