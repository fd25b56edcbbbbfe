package dedup

import (
	"slices"
	"time"

	"sassafrasvalve/core/retry"
)

// rebuild collects the claims that all live members hold of a member's keys after a membership change.
type rebuild struct {
	view          View
	pending       map[string]*partProgress // members, including this one, that have not sent all parts
	reports       map[Key][]report
	unknownBefore time.Time // latest Blind of the replies
}

type partProgress struct{ part, parts int }

// report is a claim as one member holds it.
type report struct {
	from string
	held HeldClaim
}

func newRebuild(v View) rebuild {
	r := rebuild{view: v, pending: map[string]*partProgress{}, reports: map[Key][]report{}}
	if !v.isLive(v.Self) {
		return r // a process that is not a live member owns no keys
	}
	for _, m := range v.Live {
		r.pending[m] = &partProgress{parts: 1}
	}
	return r
}

// hasLostMember reports whether a member that has not answered is no longer live in v. If it was the only member
// before others joined, its claims had no second copy. At a graceful leave it may not have known of members that
// had just joined.
func (r *rebuild) hasLostMember(v View) bool {
	for m := range r.pending {
		if !v.isLive(m) {
			return true
		}
	}
	return false
}

// nextRequest returns the next request to a member, and false if the member has answered in full.
func (r *rebuild) nextRequest(member string) (Rebuild, bool) {
	progress := r.pending[member]
	if progress == nil {
		return Rebuild{}, false
	}
	return Rebuild{Owner: r.view.Self, Offset: r.view.Offset, Live: r.view.Live, Part: progress.part, Parts: progress.parts}, true
}

// handleReply handles the reply to a request of this view, and reports whether all members have answered.
func (r *rebuild) handleReply(member string, q Rebuild, p RebuildReply) bool {
	progress := r.pending[member]
	if progress == nil || p.Member != member || q.Offset != r.view.Offset || q.Owner != r.view.Self || p.Offset < r.view.Offset ||
		q.Part != progress.part || q.Parts != progress.parts {
		return false
	}
	if p.Parts > progress.parts {
		progress.part, progress.parts = 0, p.Parts
		return false
	}
	r.unknownBefore = laterOf(r.unknownBefore, p.Blind)
	for _, h := range p.Held {
		r.addReport(member, h)
	}
	if progress.part++; progress.part < progress.parts {
		return false
	}
	delete(r.pending, member)
	return len(r.pending) == 0
}

// addReport stores one report per member and request. A final state replaces a running one.
func (r *rebuild) addReport(from string, h HeldClaim) {
	rs := r.reports[h.Key]
	i := slices.IndexFunc(rs, func(x report) bool { return x.from == from && x.held.Request == h.Request })
	switch {
	case i < 0:
		r.reports[h.Key] = append(rs, report{from, h})
	case supersedes(rs[i].held, h):
		rs[i].held = h
	}
}

// PendingRebuild returns the next rebuild request to a member, which may be this one, and false if there is none.
func (o *Owner) PendingRebuild(member string) (Rebuild, bool) { return o.rebuild.nextRequest(member) }

// HandleRebuildReply handles a member's reply. It returns true if it was the last one missing; claims of the gained
// keys are then decided again.
func (o *Owner) HandleRebuildReply(now time.Time, member string, q Rebuild, p RebuildReply) bool {
	if !o.rebuild.handleReply(member, q, p) {
		return false
	}
	for k, rs := range o.rebuild.reports {
		t := o.ownershipStart(k)
		if t == nil || t.rebuilt {
			continue // not owned, or owned since before this rebuild
		}
		if h, ok := resolveClaim(now, o.view, rs); ok && h.State != Released {
			o.put(h)
		} else {
			delete(o.held, k)
		}
	}
	for i := range o.spans {
		t := &o.spans[i]
		if !t.rebuilt {
			t.unknownBefore = laterOf(t.unknownBefore, o.rebuild.unknownBefore)
		}
		t.rebuilt = true
	}
	o.rebuild.reports = nil
	return true
}

// resolveClaim derives the claim of a key from all reports. It returns false if the key has no claim.
func resolveClaim(now time.Time, v View, rs []report) (HeldClaim, bool) {
	var best HeldClaim
	found := false
	for _, r := range rs {
		h, ok := evaluateReport(now, v, r, rs)
		if ok && (!found || precedence(h) > precedence(best)) {
			best, found = h, true
		}
	}
	return best, found
}

// evaluateReport returns the claim that follows from a report, and false if there is none. The executor's own report
// takes precedence: a claim that a live executor does not report was never begun, since an executor ignores grants
// that arrive after its reply to the rebuild.
func evaluateReport(now time.Time, v View, r report, rs []report) (HeldClaim, bool) {
	h := r.held
	if h.State != Running || r.from == h.Executor {
		return h, true
	}
	for _, x := range rs {
		if x.from == h.Executor && x.held.Request == h.Request {
			return x.held, true
		}
	}
	if v.isLive(h.Executor) {
		return HeldClaim{}, false
	}
	return withLostOutcome(now, h), true
}

// precedence ranks claims of one key: more restrictive states first, and known outcomes before inferred ones.
func precedence(h HeldClaim) int {
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
