package dedup

import (
	"slices"
	"time"

	"sassafrasvalve/core/retry"
)

// Owner decides claims of the keys that a member owns. It is not safe for concurrent use.
type Owner struct {
	table[Key]                // running and ended claims
	released   table[claimID] // released claims; not granted to a late message, since no request waits for it
	view       View
	spans      []membershipSpan // one for each change of the live members, newest last
	rebuild    rebuild          // rebuild for the newest span
	leaving    bool
	leftAt     time.Time // when leaving was set
}

// membershipSpan is a period in which the live members did not change.
type membershipSpan struct {
	live          []string
	self          string
	since         time.Time
	rebuilt       bool      // all live members have reported their claims of the keys gained with it
	unknownBefore time.Time // claims from before may be unknown, since too many members were lost; zero if none are
}

// NewOwner returns an owner without members, which owns no keys.
func NewOwner(cfg Config) *Owner {
	cfg = cfg.withDefaults()
	return &Owner{table: newTable(cfg, byKey), released: newTable(cfg, byRequest)}
}

// SetView sets the current view and returns whether the live members changed, which moves keys between owners.
// A view older than the current one is ignored.
func (o *Owner) SetView(now time.Time, v View) bool {
	if v.Offset < o.view.Offset {
		return false
	}
	changed := v.Self != o.view.Self || !slices.Equal(v.Live, o.view.Live)
	claimsLost := v.Lost > 1
	if changed {
		claimsLost = claimsLost || o.rebuild.hasLostMember(v) || (v.Lost > 0 && o.replacesOnlyMember(v))
		o.spans = append(o.spans, membershipSpan{live: v.Live, self: v.Self, since: now})
		o.rebuild = newRebuild(v)
		o.endLostClaims(now, v)
		o.trimSpans(now)
	}
	o.view = v
	for i := range o.spans {
		if claimsLost && (!o.spans[i].rebuilt || (changed && i == len(o.spans)-1)) {
			o.spans[i].unknownBefore = now
		}
	}
	return changed
}

// replacesOnlyMember reports whether this process becomes a member as the only one of its region. After a loss it
// then replaces a single member, whose claims had no second copy. Views from before its own Join are ignored, since
// the process did not hold claims as a member in them.
func (o *Owner) replacesOnlyMember(v View) bool {
	member := slices.ContainsFunc(o.spans, func(t membershipSpan) bool { return slices.Contains(t.live, t.self) })
	return !member && len(v.Live) == 1 && v.isLive(v.Self)
}

// trimSpans deletes rebuilt spans that ended more than a retention ago, and keeps at most maxSpans.
func (o *Owner) trimSpans(now time.Time) {
	n := 0
	for n+1 < len(o.spans) && o.spans[n].rebuilt && now.Sub(o.spans[n+1].since) > o.cfg.Retention {
		n++
	}
	n = max(n, len(o.spans)-maxSpans)
	o.spans = slices.Delete(o.spans, 0, n)
}

// expireClaims deletes ended and released claims whose retention has ended.
func (o *Owner) expireClaims(now time.Time) {
	o.expire(now)
	o.released.expire(now)
}

// ownershipStart returns the span in which this member became the owner of a key, or nil if it does not own the key.
func (o *Owner) ownershipStart(k Key) *membershipSpan {
	var found *membershipSpan
	for i := len(o.spans) - 1; i >= 0; i-- {
		t := &o.spans[i]
		if t.self != o.view.Self || (View{Live: t.live}).owner(k) != t.self {
			break
		}
		found = t
	}
	return found
}

// Claim decides a claim. The answer is Unknown while claims are rebuilt after a membership change and while this
// member is leaving.
func (o *Owner) Claim(now time.Time, c Claim) ClaimReply {
	o.expireClaims(now)
	r := ClaimReply{Offset: o.view.Offset}
	t := o.ownershipStart(c.Key)
	switch {
	case t == nil || !o.view.isLive(c.Executor):
		r.Answer = NotOwner
	case !t.rebuilt || o.leaving:
		since := t.since
		if o.leaving {
			since = o.leftAt
		}
		r.Answer, r.UnsettledMs = Unknown, now.Sub(since).Milliseconds()
	default:
		r.Answer, r.Outcome = o.decide(now, t, c)
	}
	return r
}

func (o *Owner) decide(now time.Time, t *membershipSpan, c Claim) (Answer, Outcome) {
	h, known := o.held[c.Key]
	_, wasReleased := o.released.held[claimID{c.Key, c.Request}]
	switch {
	case wasReleased:
		return Busy, Outcome{}
	case !known && !o.certainlyUnused(now, t, c):
		return Done, Outcome{Verdict: retry.MayHaveRun, Lost: true}
	case !known && len(o.held)+len(o.released.held) >= o.cfg.MaxClaims:
		return Full, Outcome{}
	case !known:
		o.put(HeldClaim{Key: c.Key, Fingerprint: c.Fingerprint, Executor: c.Executor, Request: c.Request})
		return Granted, Outcome{}
	case h.State == Running && h.Request == c.Request && h.Executor == c.Executor:
		return Granted, Outcome{}
	case h.Fingerprint != c.Fingerprint:
		return Conflict, Outcome{}
	case h.State == Ended:
		return Done, h.Outcome
	}
	return Busy, Outcome{}
}

// certainlyUnused reports whether a key without a claim cannot have been used before.
func (o *Owner) certainlyUnused(now time.Time, t *membershipSpan, c Claim) bool {
	if t.unknownBefore.IsZero() || now.Sub(t.unknownBefore) > o.cfg.Retention {
		return true
	}
	// A time ahead of the clock does not show when the key was created.
	return c.Issued.After(t.unknownBefore.Add(maxClockSkew)) && c.Issued.Before(now.Add(maxClockSkew))
}

// Finish records ended claims and returns the keys that it refuses: those that this member does not own, and all
// keys once it is leaving.
func (o *Owner) Finish(now time.Time, hs []HeldClaim) []Key {
	o.expireClaims(now)
	var refused []Key
	for _, h := range hs {
		t := o.ownershipStart(h.Key)
		switch {
		case t == nil || o.leaving:
			refused = append(refused, h.Key)
		case !t.rebuilt:
			o.rebuild.addReport(h.Executor, h)
		default:
			o.finish(h)
		}
	}
	return refused
}

// recordEnd stores the end of a request in a claim that this member granted as owner, even if it no longer owns the
// key: a later owner relies on this member's report of its own requests.
func (o *Owner) recordEnd(h HeldClaim) {
	if old, known := o.held[h.Key]; known && old.Request == h.Request {
		o.finish(h)
	}
}

func (o *Owner) finish(h HeldClaim) {
	old, known := o.held[h.Key]
	same := known && old.Request == h.Request
	switch {
	case h.State == Released:
		o.released.put(h)
		if same && old.State == Running {
			delete(o.held, h.Key)
		}
	case !known, same && supersedes(old, h):
		o.put(h)
	}
}

// withOutcome returns h as ended with an outcome, or as released if the request did not run.
func withOutcome(now time.Time, h HeldClaim, o Outcome) HeldClaim {
	h.State, h.Outcome, h.Ended = Ended, o, now
	if o.Verdict == retry.NotRun {
		h.State = Released
	}
	return h
}

// unknownBefore returns the latest unknownBefore of all spans, or the zero time.
func (o *Owner) unknownBefore() time.Time {
	var latest time.Time
	for _, t := range o.spans {
		latest = laterOf(latest, t.unknownBefore)
	}
	return latest
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
