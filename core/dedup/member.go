package dedup

import (
	"iter"
	"slices"
	"time"

	"sassafrasvalve/core/hash"
)

// Member combines an entry's roles in the protocol: owner, executor and second holder.
// It does no I/O; the caller sends its messages. It is not safe for concurrent use.
type Member struct {
	owner         *Owner
	exec          *Executor
	view          View
	membershipGen int // incremented when the live members change

	pendingFinishes map[claimID]HeldClaim    // ended claims that the owner has not acknowledged
	pendingCopies   map[Key]HeldClaim        // copies that the second holder has not acknowledged
	handedOver      map[handoverID]HeldClaim // claims that members accepted before a graceful leave
}

// handoverID identifies a claim and the member that accepted it before a graceful leave.
type handoverID struct {
	to string
	claimID
}

// NewMember returns a member without a view.
func NewMember(cfg Config) *Member {
	return &Member{
		owner: NewOwner(cfg), exec: NewExecutor(cfg),
		pendingFinishes: map[claimID]HeldClaim{}, pendingCopies: map[Key]HeldClaim{}, handedOver: map[handoverID]HeldClaim{},
	}
}

// View returns the current view.
func (m *Member) View() View { return m.view }

// MembershipChangedAt returns the time of the last membership change, or the zero time before the first view.
func (m *Member) MembershipChangedAt() time.Time {
	if n := len(m.owner.spans); n > 0 {
		return m.owner.spans[n-1].since
	}
	return time.Time{}
}

// SetView sets the current view. A view older than the current one is ignored.
func (m *Member) SetView(now time.Time, v View) {
	if v.Offset < m.view.Offset {
		return
	}
	v.Live = slices.Sorted(slices.Values(v.Live))
	m.view = v
	if !m.owner.SetView(now, v) {
		return
	}
	m.membershipGen++
	m.exec.endLostClaims(now, v)
	m.rebuildFromSelf(now)
	m.applyOwnFinishes(now)
	m.copyOwnClaims()
}

// rebuildFromSelf answers the rebuild requests that this member has for itself from its own tables.
func (m *Member) rebuildFromSelf(now time.Time) {
	for {
		q, ok := m.owner.PendingRebuild(m.view.Self)
		if !ok {
			return
		}
		m.HandleRebuildReply(now, m.view.Self, q, m.HandleRebuild(q))
	}
}

// applyOwnFinishes applies pending ends of keys that this member itself owns after a membership change.
func (m *Member) applyOwnFinishes(now time.Time) {
	for id, h := range m.pendingFinishes {
		if m.view.owner(h.Key) == m.view.Self && len(m.owner.Finish(now, []HeldClaim{h})) == 0 {
			delete(m.pendingFinishes, id)
		}
	}
}

// copyOwnClaims queues copies of claims that only this member holds, as owner and executor.
func (m *Member) copyOwnClaims() {
	for k, h := range m.owner.held {
		if h.Executor == m.view.Self {
			m.copyToSecond(k, h)
		}
	}
}

func (m *Member) copyToSecond(k Key, h HeldClaim) {
	if m.view.owner(k) == m.view.Self && m.view.secondHolder(k) != "" {
		m.pendingCopies[k] = h
	}
}

// Expire deletes claims whose retention has ended. It should be called about once per second.
func (m *Member) Expire(now time.Time) {
	m.owner.expireClaims(now)
	m.exec.expire(now)
}

// Finish records the outcome of a granted request. PendingMessages then returns the report to the owner.
func (m *Member) Finish(now time.Time, k Key, request string, o Outcome) {
	h, ok := m.exec.Finish(now, k, request, o)
	if ok {
		m.reportEnd(now, h)
	}
}

// reportEnd applies the end of a claim if this member owns and accepts the key, and queues it for the owner otherwise.
func (m *Member) reportEnd(now time.Time, h HeldClaim) {
	m.owner.recordEnd(h)
	if m.view.owner(h.Key) != m.view.Self || len(m.owner.Finish(now, []HeldClaim{h})) > 0 {
		m.pendingFinishes[byRequest(h)] = h
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

// HandleHold answers another member's Hold. If the executor of a request is leaving, its Hold may be the only message
// that reports the end of the request to this member as the owner.
func (m *Member) HandleHold(h Hold) HoldReply {
	if !m.exec.Hold(h.Held) {
		return HoldReply{}
	}
	for _, held := range h.Held {
		if held.State != Running && !held.Outcome.Lost {
			m.owner.recordEnd(held)
		}
	}
	return HoldReply{Kept: true}
}

// unfoldedOffset is the offset in the reply to a Rebuild that must not count as an answer.
const unfoldedOffset = -1

// HandleRebuild answers the Rebuild of a member that has gained keys. One that has left or was fenced by the view of this
// member gets no claims, so it grants none of these keys: if this member has folded several records at once, it keeps the
// keys that it owned before and after them, and would not learn of the other's grants.
func (m *Member) HandleRebuild(q Rebuild) RebuildReply {
	if m.view.Offset > q.Offset && !m.view.isLive(q.Owner) {
		return RebuildReply{Member: m.view.Self, Offset: unfoldedOffset}
	}
	r := RebuildReply{Member: m.view.Self, Offset: m.view.Offset, Blind: m.owner.unknownBefore()}
	if r.Offset < q.Offset {
		return r
	}
	v := View{Live: q.Live}
	for h := range m.allClaims() {
		if h.Key.inPart(q.Part, q.Parts) && v.owner(h.Key) == q.Owner {
			r.Held = append(r.Held, h)
		}
	}
	if n := len(r.Held); n > 2*maxClaimsPerPart && q.Owner != m.view.Self {
		r.Parts = max(1, q.Parts) * (n/maxClaimsPerPart + 1)
		r.Held = nil
	}
	return r
}

// PendingRebuild returns the next rebuild request to a member, and false if there is none.
func (m *Member) PendingRebuild(member string) (Rebuild, bool) { return m.owner.PendingRebuild(member) }

// HandleRebuildReply handles a member's reply to a Rebuild. It returns true if it was the last one missing.
func (m *Member) HandleRebuildReply(now time.Time, member string, q Rebuild, r RebuildReply) bool {
	complete := m.owner.HandleRebuildReply(now, member, q, r)
	if complete {
		m.copyOwnClaims()
	}
	return complete
}

// PendingMessages returns a Finish and a Hold with claims that a member has not acknowledged, at most maxClaims each.
func (m *Member) PendingMessages(member string, maxClaims int) (Finish, Hold) {
	var f Finish
	var hold Hold
	for _, h := range m.pendingFinishes {
		if len(f.Held) < maxClaims && m.view.owner(h.Key) == member {
			f.Held = append(f.Held, h)
		}
	}
	for k, h := range m.pendingCopies {
		switch {
		case m.view.owner(k) != m.view.Self:
			delete(m.pendingCopies, k) // the new owner requests it in its rebuild
		case len(hold.Held) < maxClaims && m.view.secondHolder(k) == member:
			hold.Held = append(hold.Held, h)
		}
	}
	return f, hold
}

// HandleFinishReply handles the reply to a Finish from PendingMessages.
func (m *Member) HandleFinishReply(f Finish, r FinishReply) {
	for _, h := range f.Held {
		id := byRequest(h)
		if m.pendingFinishes[id] == h && !slices.Contains(r.Refused, h.Key) {
			delete(m.pendingFinishes, id)
		}
	}
}

// HandleHoldReply handles the reply to a Hold from PendingMessages.
func (m *Member) HandleHoldReply(hold Hold, r HoldReply) {
	for _, h := range hold.Held {
		if r.Kept && m.pendingCopies[h.Key] == h {
			delete(m.pendingCopies, h.Key)
		}
	}
}

// Handover returns the claims to send to each member before a graceful leave: each claim goes to the two members that
// rank first for its key without this member, except claims that they have already accepted. Sending thousands of
// claims takes time, and their keys cannot be granted once granting has stopped. So only the last round, in which few
// claims have changed, stops it.
func (m *Member) Handover(now time.Time, last bool) map[string][]HeldClaim {
	if last && !m.owner.leaving {
		m.owner.leaving, m.owner.leftAt = true, now
	}
	rest := slices.DeleteFunc(slices.Clone(m.view.Live), func(s string) bool { return s == m.view.Self })
	all := map[claimID]HeldClaim{}
	for h := range m.allClaims() {
		if old, known := all[byRequest(h)]; !known || supersedes(old, h) {
			all[byRequest(h)] = h
		}
	}
	for id, h := range m.owner.released.held {
		if old, known := all[id]; known && !supersedes(old, h) {
			continue
		}
		if slices.ContainsFunc(rest, func(to string) bool { _, taken := m.handedOver[handoverID{to, id}]; return taken }) {
			all[id] = h // otherwise the new owner would keep the key as used
		}
	}
	out := map[string][]HeldClaim{}
	for id, h := range all {
		rank := hash.Rank(string(h.Key[:]), rest)
		for _, to := range rank[:min(2, len(rank))] {
			if old, taken := m.handedOver[handoverID{to, id}]; !taken || old != h {
				out[to] = append(out[to], h)
			}
		}
	}
	return out
}

// MarkHandedOver records that a member accepted claims from Handover.
func (m *Member) MarkHandedOver(to string, hs []HeldClaim) {
	for _, h := range hs {
		m.handedOver[handoverID{to, byRequest(h)}] = h
	}
}

// allClaims yields the claims of all tables. A claim may be yielded several times.
func (m *Member) allClaims() iter.Seq[HeldClaim] {
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

// ClaimCount returns the number of stored claims over all tables. A claim in several tables counts several times.
func (m *Member) ClaimCount() int {
	return len(m.owner.held) + len(m.owner.released.held) + len(m.exec.own.held) + len(m.exec.copies.held)
}
