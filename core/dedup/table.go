package dedup

import (
	"slices"
	"time"

	"sassafrasvalve/core/hash"
	"sassafrasvalve/core/retry"
)

// Defaults of Config.
const (
	DefaultRetention = 10 * time.Minute
	DefaultMaxClaims = 200_000 // about 50 MB at about 250 bytes per claim
)

// Limits of the protocol.
const (
	maxClockSkew     = 10 * time.Second // between the clocks of callers and members
	maxClaimsPerPart = 500              // per message, about 0.12 MB; 2,000 exceeded the call timeout of 500 ms on busy processors
	maxSpans         = 64               // membership changes through which ownership of a key is traced
)

// Config sets the retention and number of a member's claims. Zero fields take defaults.
type Config struct {
	Retention time.Duration // how long an outcome is kept after its end
	MaxClaims int           // further claims are refused; none is deleted before its retention ends
}

func (c Config) withDefaults() Config {
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	if c.MaxClaims == 0 {
		c.MaxClaims = DefaultMaxClaims
	}
	return c
}

// View is the membership of the region as of a log offset.
type View struct {
	Offset int64
	Self   string
	Live   []string // members that are not fenced and have not left
	Lost   int      // members lost within the retention without a graceful leave
}

// owner returns the owner of a key in the view.
func (v View) owner(k Key) string { return hash.Owner(string(k[:]), v.Live) }

// secondHolder returns the member that ranks second for a key and holds copies of its claims, or "" with a single member.
func (v View) secondHolder(k Key) string {
	if len(v.Live) < 2 {
		return ""
	}
	return hash.Rank(string(k[:]), v.Live)[1]
}

func (v View) isLive(member string) bool { return slices.Contains(v.Live, member) }

// table stores claims and deletes ended ones after the retention.
type table[K comparable] struct {
	cfg   Config
	id    func(HeldClaim) K
	held  map[K]HeldClaim
	ended []expiry[K] // in insertion order, which nearly matches the order of HeldClaim.Ended
}

type expiry[K comparable] struct {
	id K
	at time.Time
}

func newTable[K comparable](cfg Config, id func(HeldClaim) K) table[K] {
	return table[K]{cfg: cfg, id: id, held: map[K]HeldClaim{}}
}

func byKey(h HeldClaim) Key { return h.Key }

// claimID identifies a claim among several with the same key.
type claimID struct {
	key     Key
	request string
}

func byRequest(h HeldClaim) claimID { return claimID{h.Key, h.Request} }

func (t *table[K]) full() bool { return len(t.held) >= t.cfg.MaxClaims }

// put stores a claim. An ended or released claim expires one retention after its end.
func (t *table[K]) put(h HeldClaim) {
	id := t.id(h)
	t.held[id] = h
	if h.State != Running {
		t.ended = append(t.ended, expiry[K]{id, h.Ended.Add(t.cfg.Retention)})
	}
}

// expire deletes claims whose retention has ended.
func (t *table[K]) expire(now time.Time) {
	n := 0
	for n < len(t.ended) && t.ended[n].at.Before(now) {
		e := t.ended[n]
		if h, ok := t.held[e.id]; ok && h.State != Running && h.Ended.Add(t.cfg.Retention).Before(now) {
			delete(t.held, e.id)
		}
		n++
	}
	t.ended = slices.Delete(t.ended, 0, n)
}

// endLostClaims ends the running claims of members that are no longer live. Their requests may have run.
func (t *table[K]) endLostClaims(now time.Time, v View) {
	for _, h := range t.held {
		if h.State == Running && !v.isLive(h.Executor) {
			t.put(withLostOutcome(now, h))
		}
	}
}

func withLostOutcome(now time.Time, h HeldClaim) HeldClaim {
	h.State, h.Ended = Ended, now
	h.Outcome = Outcome{Verdict: retry.MayHaveRun, Lost: true}
	return h
}

// inPart reports whether a key belongs to part n when all keys are split into equal parts.
func (k Key) inPart(n, parts int) bool {
	return parts <= 1 || (int(k[0])<<8|int(k[1]))%parts == n
}
