package dedup

import (
	"slices"
	"time"

	"sassafrasvalve/core/retry"
)

// Owner decides on the claims of the keys that a member owns. It is not safe for concurrent use.
type Owner struct {
	table[Key]             // running and ended claims
	gone       table[sent] // released ones: a claim that comes late must not be granted, since nobody waits for it
	view       View
	tenures    []tenure // one for each view with other members than the one before, newest last
	rebuild    rebuild  // of the newest view
	leaving    bool
	leftAt     time.Time // when leaving was set
}

// tenure is a span of unchanged membership.
type tenure struct {
	live  []string
	self  string
	since time.Time
	done  bool      // the members that still live have told the claims of the keys that came with it
	blind time.Time // claims from before this time may be unknown, because too many members were lost; zero if none are
}

// NewOwner returns an owner without members, which owns no keys.
func NewOwner(cfg Config) *Owner {
	cfg = cfg.withDefaults()
	return &Owner{table: newTable(cfg, byKey), gone: newTable(cfg, byRequest)}
}

// SetView puts a view in force. It returns whether the members changed, which moves keys.
// An older view than the present one is ignored.
func (o *Owner) SetView(now time.Time, v View) bool {
	if v.Offset < o.view.Offset {
		return false
	}
	changed := v.Self != o.view.Self || !slices.Equal(v.Live, o.view.Live)
	blind := v.Lost > 1
	if changed {
		blind = blind || o.rebuild.misses(v) || (v.Lost > 0 && o.replaces(v))
		o.tenures = append(o.tenures, tenure{live: v.Live, self: v.Self, since: now})
		o.rebuild = newRebuild(v)
		o.lose(now, v)
		o.trim(now)
	}
	o.view = v
	for i := range o.tenures {
		if blind && (!o.tenures[i].done || (changed && i == len(o.tenures)-1)) {
			o.tenures[i].blind = now
		}
	}
	return changed
}

// replaces says whether this process becomes a member as the only one of its region.
// After a loss it takes over from a single member, whose claims had no second copy.
// Views from before its own Join do not make it a member that knows the claims.
func (o *Owner) replaces(v View) bool {
	member := slices.ContainsFunc(o.tenures, func(t tenure) bool { return slices.Contains(t.live, t.self) })
	return !member && len(v.Live) == 1 && v.live(v.Self)
}

func (o *Owner) trim(now time.Time) {
	n := 0
	for n+1 < len(o.tenures) && o.tenures[n].done && now.Sub(o.tenures[n+1].since) > o.cfg.Retention {
		n++
	}
	n = max(n, len(o.tenures)-maxViews)
	o.tenures = slices.Delete(o.tenures, 0, n)
}

// forget drops the claims whose retention is over.
func (o *Owner) forget(now time.Time) {
	o.expire(now)
	o.gone.expire(now)
}

// tenure returns the span in which this member became the owner of a key, or nil if it is not.
func (o *Owner) tenure(k Key) *tenure {
	var found *tenure
	for i := len(o.tenures) - 1; i >= 0; i-- {
		t := &o.tenures[i]
		if t.self != o.view.Self || (View{Live: t.live}).owner(k) != t.self {
			break
		}
		found = t
	}
	return found
}

// Claim decides on a claim.
func (o *Owner) Claim(now time.Time, c Claim) ClaimReply {
	o.forget(now)
	r := ClaimReply{Offset: o.view.Offset}
	t := o.tenure(c.Key)
	switch {
	case t == nil || !o.view.live(c.Executor):
		r.Answer = NotOwner
	case !t.done || o.leaving:
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

func (o *Owner) decide(now time.Time, t *tenure, c Claim) (Answer, Outcome) {
	h, known := o.held[c.Key]
	_, late := o.gone.held[sent{c.Key, c.Request}]
	switch {
	case late:
		return Busy, Outcome{}
	case !known && !o.trusts(now, t, c):
		return Done, Outcome{Verdict: retry.MayHaveRun, Lost: true}
	case !known && len(o.held)+len(o.gone.held) >= o.cfg.MaxClaims:
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

// trusts says whether a key without a claim was certainly never used before.
func (o *Owner) trusts(now time.Time, t *tenure, c Claim) bool {
	if t.blind.IsZero() || now.Sub(t.blind) > o.cfg.Retention {
		return true
	}
	// A time ahead of the clock shows nothing about when the key was made.
	return c.Issued.After(t.blind.Add(maxSkew)) && c.Issued.Before(now.Add(maxSkew))
}

// Finish records how claims ended and returns the keys that this member does not own.
func (o *Owner) Finish(now time.Time, hs []HeldClaim) []Key {
	o.forget(now)
	var refused []Key
	for _, h := range hs {
		t := o.tenure(h.Key)
		switch {
		case t == nil || o.leaving:
			refused = append(refused, h.Key)
		case !t.done:
			o.rebuild.add(h.Executor, h)
		default:
			o.finish(h)
		}
	}
	return refused
}

// note records the end of a request in a claim that this member granted as owner, even if it owns the key no
// longer: the next owner takes this member's word for its own requests.
func (o *Owner) note(h HeldClaim) {
	if old, known := o.held[h.Key]; known && old.Request == h.Request {
		o.finish(h)
	}
}

func (o *Owner) finish(h HeldClaim) {
	old, known := o.held[h.Key]
	same := known && old.Request == h.Request
	switch {
	case h.State == Released:
		o.gone.put(h)
		if same && old.State == Running {
			delete(o.held, h.Key)
		}
	case !known, same && supersedes(old, h):
		o.put(h)
	}
}

// finished returns h with its outcome. A request that did not run frees its key.
func finished(now time.Time, h HeldClaim, o Outcome) HeldClaim {
	h.State, h.Outcome, h.Ended = Ended, o, now
	if o.Verdict == retry.NotRun {
		h.State = Released
	}
	return h
}

// blindTo returns the latest time before which claims may be unknown here, or the zero time.
func (o *Owner) blindTo() time.Time {
	var latest time.Time
	for _, t := range o.tenures {
		latest = later(latest, t.blind)
	}
	return latest
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
