package dedup

import (
	"slices"
	"time"

	"sassafrasvalve/core/retry"
)

// rebuild collects what all live members know of the keys that a member owns since a change.
type rebuild struct {
	view    View
	asked   map[string]*asked // members, this one included, that have not answered in full
	reports map[Key][]report
	blind   time.Time // latest of the replies
}

type asked struct{ part, parts int }

// report is what one member says of a claim.
type report struct {
	from string
	held HeldClaim
}

func newRebuild(v View) rebuild {
	r := rebuild{view: v, asked: map[string]*asked{}, reports: map[Key][]report{}}
	if !v.live(v.Self) {
		return r // owns nothing
	}
	for _, m := range v.Live {
		r.asked[m] = &asked{parts: 1}
	}
	return r
}

// misses says whether a member that has not answered is gone in v. If it was the only member
// before others joined, its claims had no second copy, and at a graceful leave it may not
// have known of those that joined just before.
func (r *rebuild) misses(v View) bool {
	for m := range r.asked {
		if !v.live(m) {
			return true
		}
	}
	return false
}

// request returns the next request to a member, and false if none is open.
func (r *rebuild) request(member string) (Rebuild, bool) {
	a := r.asked[member]
	if a == nil {
		return Rebuild{}, false
	}
	return Rebuild{Owner: r.view.Self, Offset: r.view.Offset, Live: r.view.Live, Part: a.part, Parts: a.parts}, true
}

// reply takes the reply to a request of this view. It returns whether all members have answered.
func (r *rebuild) reply(member string, q Rebuild, p RebuildReply) bool {
	a := r.asked[member]
	if a == nil || p.Member != member || q.Offset != r.view.Offset || q.Owner != r.view.Self || p.Offset < r.view.Offset ||
		q.Part != a.part || q.Parts != a.parts {
		return false
	}
	if p.Parts > a.parts {
		a.part, a.parts = 0, p.Parts
		return false
	}
	r.blind = later(r.blind, p.Blind)
	for _, h := range p.Held {
		r.add(member, h)
	}
	if a.part++; a.part < a.parts {
		return false
	}
	delete(r.asked, member)
	return len(r.asked) == 0
}

// add keeps one report for each member and request. A final state replaces a running one.
func (r *rebuild) add(from string, h HeldClaim) {
	rs := r.reports[h.Key]
	i := slices.IndexFunc(rs, func(x report) bool { return x.from == from && x.held.Request == h.Request })
	switch {
	case i < 0:
		r.reports[h.Key] = append(rs, report{from, h})
	case supersedes(rs[i].held, h):
		rs[i].held = h
	}
}

// PendingRebuild returns what this member must ask another, or itself, after a change, and false if nothing.
func (o *Owner) PendingRebuild(member string) (Rebuild, bool) { return o.rebuild.request(member) }

// HandleRebuildReply takes a member's reply. It returns true when the last one is in, and claims are decided again.
func (o *Owner) HandleRebuildReply(now time.Time, member string, q Rebuild, p RebuildReply) bool {
	if !o.rebuild.reply(member, q, p) {
		return false
	}
	for k, rs := range o.rebuild.reports {
		t := o.tenure(k)
		if t == nil || t.done {
			continue // decided here all along
		}
		if h, ok := settle(now, o.view, rs); ok && h.State != Released {
			o.put(h)
		} else {
			delete(o.held, k)
		}
	}
	for i := range o.tenures {
		t := &o.tenures[i]
		if !t.done {
			t.blind = later(t.blind, o.rebuild.blind)
		}
		t.done = true
	}
	o.rebuild.reports = nil
	return true
}

// settle derives the claim of a key from all reports. It returns false if there is none.
func settle(now time.Time, v View, rs []report) (HeldClaim, bool) {
	var best HeldClaim
	found := false
	for _, r := range rs {
		h, ok := believe(now, v, r, rs)
		if ok && (!found || weight(h) > weight(best)) {
			best, found = h, true
		}
	}
	return best, found
}

// believe weighs one report. The executor's own word counts most: a claim that a live executor does not
// report was never begun, since it ignores grants that it gets after its answer to the rebuild.
func believe(now time.Time, v View, r report, rs []report) (HeldClaim, bool) {
	h := r.held
	if h.State != Running || r.from == h.Executor {
		return h, true
	}
	for _, x := range rs {
		if x.from == h.Executor && x.held.Request == h.Request {
			return x.held, true
		}
	}
	if v.live(h.Executor) {
		return HeldClaim{}, false
	}
	return lost(now, h), true
}

// weight orders states by how much they forbid, and known outcomes above inferred ones.
func weight(h HeldClaim) int {
	switch {
	case h.State == Released:
		return 0
	case h.State == Running:
		return 1
	case h.Outcome.Lost:
		return 2
	case h.Outcome.Verdict == retry.MayHaveRun:
		return 3
	}
	return 4
}
