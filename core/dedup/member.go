package dedup

import (
	"iter"
	"slices"
	"time"

	"sassafrasvalve/core/hash"
)

// Member is the whole part of one entry in the protocol: owner, executor and second holder.
// It only decides; its user carries the messages. It is not safe for concurrent use.
type Member struct {
	owner *Owner
	exec  *Executor
	view  View
	gen   int // grows with each change of the members

	finishes map[sent]HeldClaim   // ends that the owner has not acknowledged
	copies   map[Key]HeldClaim    // copies that the second holder has not acknowledged
	handed   map[handed]HeldClaim // claims that members took over before a graceful leave
}

// handed is a claim that a member took over before a graceful leave.
type handed struct {
	to string
	sent
}

// NewMember returns a member that knows no others.
func NewMember(cfg Config) *Member {
	return &Member{owner: NewOwner(cfg), exec: NewExecutor(cfg), finishes: map[sent]HeldClaim{}, copies: map[Key]HeldClaim{}, handed: map[handed]HeldClaim{}}
}

// View returns the view in force.
func (m *Member) View() View { return m.view }

// ChangedAt returns when the members changed last, the zero time if no view is in force.
func (m *Member) ChangedAt() time.Time {
	if n := len(m.owner.tenures); n > 0 {
		return m.owner.tenures[n-1].since
	}
	return time.Time{}
}

// SetView puts a view in force. An older view than the present one is ignored.
func (m *Member) SetView(now time.Time, v View) {
	if v.Offset < m.view.Offset {
		return
	}
	v.Live = slices.Sorted(slices.Values(v.Live))
	m.view = v
	if !m.owner.SetView(now, v) {
		return
	}
	m.gen++
	m.exec.lose(now, v)
	m.askSelf(now)
	m.settleOwn(now)
	m.copyOwn()
}

// askSelf answers the own rebuild request from the own tables.
func (m *Member) askSelf(now time.Time) {
	for {
		q, ok := m.owner.PendingRebuild(m.view.Self)
		if !ok {
			return
		}
		m.HandleRebuildReply(now, m.view.Self, q, m.HandleRebuild(q))
	}
}

// settleOwn hands ends over that are due to this member itself after a change.
func (m *Member) settleOwn(now time.Time) {
	for id, h := range m.finishes {
		if m.view.owner(h.Key) == m.view.Self && len(m.owner.Finish(now, []HeldClaim{h})) == 0 {
			delete(m.finishes, id)
		}
	}
}

// copyOwn has claims copied that only this member holds, as owner and executor, after a change.
func (m *Member) copyOwn() {
	for k, h := range m.owner.held {
		if h.Executor == m.view.Self {
			m.copyToSecond(k, h)
		}
	}
}

func (m *Member) copyToSecond(k Key, h HeldClaim) {
	if m.view.owner(k) == m.view.Self && m.view.second(k) != "" {
		m.copies[k] = h
	}
}

// Expire forgets claims whose retention is over. It is called about once a second.
func (m *Member) Expire(now time.Time) {
	m.owner.forget(now)
	m.exec.expire(now)
}

// Finish records how a granted request ended. The owner learns of it through PendingMessages.
func (m *Member) Finish(now time.Time, k Key, request string, o Outcome) {
	h, ok := m.exec.Finish(now, k, request, o)
	if ok {
		m.end(now, h)
	}
}

// end tells the owner how a claim ended.
func (m *Member) end(now time.Time, h HeldClaim) {
	m.owner.note(h)
	if m.view.owner(h.Key) != m.view.Self || len(m.owner.Finish(now, []HeldClaim{h})) > 0 {
		m.finishes[byRequest(h)] = h
		return
	}
	m.copyToSecond(h.Key, h)
}

// HandleClaim answers another member's claim.
func (m *Member) HandleClaim(now time.Time, c Claim) ClaimReply { return m.owner.Claim(now, c) }

// HandleFinish answers another member's Finish.
func (m *Member) HandleFinish(now time.Time, f Finish) FinishReply {
	return FinishReply{Refused: m.owner.Finish(now, f.Held)}
}

// HandleHold answers another member's Hold. It may be all that this member hears, as the owner, of how a request of an
// executor ended that leaves.
func (m *Member) HandleHold(h Hold) HoldReply {
	if !m.exec.Hold(h.Held) {
		return HoldReply{}
	}
	for _, held := range h.Held {
		if held.State != Running && !held.Outcome.Lost {
			m.owner.note(held)
		}
	}
	return HoldReply{Kept: true}
}

// HandleRebuild answers a member that has taken keys over.
func (m *Member) HandleRebuild(q Rebuild) RebuildReply {
	r := RebuildReply{Member: m.view.Self, Offset: m.view.Offset, Blind: m.owner.blindTo()}
	if r.Offset < q.Offset {
		return r
	}
	v := View{Live: q.Live}
	for h := range m.all() {
		if h.Key.part(q.Part, q.Parts) && v.owner(h.Key) == q.Owner {
			r.Held = append(r.Held, h)
		}
	}
	if n := len(r.Held); n > 2*maxPart && q.Owner != m.view.Self {
		r.Parts = max(1, q.Parts) * (n/maxPart + 1)
		r.Held = nil
	}
	return r
}

// PendingRebuild returns the request that a member has not answered yet, and false if there is none.
func (m *Member) PendingRebuild(member string) (Rebuild, bool) { return m.owner.PendingRebuild(member) }

// HandleRebuildReply takes a member's reply to a Rebuild. It returns true when the last one is in.
func (m *Member) HandleRebuildReply(now time.Time, member string, q Rebuild, r RebuildReply) bool {
	settled := m.owner.HandleRebuildReply(now, member, q, r)
	if settled {
		m.copyOwn()
	}
	return settled
}

// PendingMessages returns the messages of at most most claims each that a member has not acknowledged.
func (m *Member) PendingMessages(member string, most int) (Finish, Hold) {
	var f Finish
	var c Hold
	for _, h := range m.finishes {
		if len(f.Held) < most && m.view.owner(h.Key) == member {
			f.Held = append(f.Held, h)
		}
	}
	for k, h := range m.copies {
		switch {
		case m.view.owner(k) != m.view.Self:
			delete(m.copies, k) // the new owner asks for it
		case len(c.Held) < most && m.view.second(k) == member:
			c.Held = append(c.Held, h)
		}
	}
	return f, c
}

// HandleFinishReply takes the reply to a Finish from PendingMessages.
func (m *Member) HandleFinishReply(f Finish, r FinishReply) {
	for _, h := range f.Held {
		id := byRequest(h)
		if m.finishes[id] == h && !slices.Contains(r.Refused, h.Key) {
			delete(m.finishes, id)
		}
	}
}

// HandleHoldReply takes the reply to a Hold from PendingMessages.
func (m *Member) HandleHoldReply(c Hold, r HoldReply) {
	for _, h := range c.Held {
		if r.Kept && m.copies[h.Key] == h {
			delete(m.copies, h.Key)
		}
	}
}

// Handover returns what to hand to which member before a graceful leave: each claim to the two that rank first for
// its key without this member, but for what they took already. Handing thousands of claims over takes time, in which
// nobody could grant their keys; so only the last round, in which little has changed, stops granting.
func (m *Member) Handover(now time.Time, last bool) map[string][]HeldClaim {
	if last && !m.owner.leaving {
		m.owner.leaving, m.owner.leftAt = true, now
	}
	rest := slices.DeleteFunc(slices.Clone(m.view.Live), func(s string) bool { return s == m.view.Self })
	all := map[sent]HeldClaim{}
	for h := range m.all() {
		if old, known := all[byRequest(h)]; !known || supersedes(old, h) {
			all[byRequest(h)] = h
		}
	}
	for id, h := range m.owner.gone.held {
		if old, known := all[id]; known && !supersedes(old, h) {
			continue
		}
		if slices.ContainsFunc(rest, func(to string) bool { _, taken := m.handed[handed{to, id}]; return taken }) {
			all[id] = h // its key would stay taken at the new owner
		}
	}
	out := map[string][]HeldClaim{}
	for id, h := range all {
		rank := hash.Rank(string(h.Key[:]), rest)
		for _, to := range rank[:min(2, len(rank))] {
			if old, taken := m.handed[handed{to, id}]; !taken || old != h {
				out[to] = append(out[to], h)
			}
		}
	}
	return out
}

// MarkHandedOver takes note of claims from Handover that a member took.
func (m *Member) MarkHandedOver(to string, hs []HeldClaim) {
	for _, h := range hs {
		m.handed[handed{to, byRequest(h)}] = h
	}
}

// all yields the claims of all tables. A claim may come up several times.
func (m *Member) all() iter.Seq[HeldClaim] {
	return func(yield func(HeldClaim) bool) {
		for _, h := range m.owner.held {
			if !yield(h) {
				return
			}
		}
		for _, h := range m.exec.own.held {
			if !yield(h) {
				return
			}
		}
		for _, h := range m.exec.copies.held {
			if !yield(h) {
				return
			}
		}
	}
}

// ClaimCount returns how many claims are kept.
func (m *Member) ClaimCount() int {
	return len(m.owner.held) + len(m.owner.gone.held) + len(m.exec.own.held) + len(m.exec.copies.held)
}
