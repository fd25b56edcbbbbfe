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
	DefaultMaxClaims = 200_000          // about 50 MB at some 250 bytes a claim
	maxSkew          = 10 * time.Second // between the clocks of callers and members
	maxPart          = 500              // claims in one message, about 0.12 MB: 2,000 took over 500 ms, the limit of a call, on busy processors
	maxViews         = 64               // membership changes that tenures are traced through
)

// Config sets up the memory of a member. Zero fields take defaults.
type Config struct {
	Retention time.Duration // how long an outcome is kept after its end
	MaxClaims int           // above it, claims are refused; nothing is forgotten early
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
	Lost   int      // members lost without a graceful leave within the retention
}

// owner returns the owner of a key in the view.
func (v View) owner(k Key) string { return hash.Owner(string(k[:]), v.Live) }

// second returns the second member in the order of a key, or "" if there is none.
func (v View) second(k Key) string {
	if len(v.Live) < 2 {
		return ""
	}
	return hash.Rank(string(k[:]), v.Live)[1]
}

func (v View) live(member string) bool { return slices.Contains(v.Live, member) }

// table holds claims and forgets the ended ones after the retention.
type table[K comparable] struct {
	cfg   Config
	id    func(HeldClaim) K
	held  map[K]HeldClaim
	ended []expiry[K] // in the order of storing, which is nearly that of Ended
}

type expiry[K comparable] struct {
	id K
	at time.Time
}

func newTable[K comparable](cfg Config, id func(HeldClaim) K) table[K] {
	return table[K]{cfg: cfg, id: id, held: map[K]HeldClaim{}}
}

func byKey(h HeldClaim) Key { return h.Key }

// sent identifies a claim among several with the same key.
type sent struct {
	key     Key
	request string
}

func byRequest(h HeldClaim) sent { return sent{h.Key, h.Request} }

func (t *table[K]) full() bool { return len(t.held) >= t.cfg.MaxClaims }

// put stores a claim. An ended one is kept for the retention from its end.
func (t *table[K]) put(h HeldClaim) {
	id := t.id(h)
	t.held[id] = h
	if h.State != Running {
		t.ended = append(t.ended, expiry[K]{id, h.Ended.Add(t.cfg.Retention)})
	}
}

// expire forgets claims whose retention is over.
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

// lose ends the running claims of members that are gone: they may have run.
func (t *table[K]) lose(now time.Time, v View) {
	for _, h := range t.held {
		if h.State == Running && !v.live(h.Executor) {
			t.put(lost(now, h))
		}
	}
}

func lost(now time.Time, h HeldClaim) HeldClaim {
	h.State, h.Ended = Ended, now
	h.Outcome = Outcome{Verdict: retry.MayHaveRun, Lost: true}
	return h
}

// part says whether a key belongs to one of several equal parts of the keys.
func (k Key) part(n, parts int) bool {
	return parts <= 1 || (int(k[0])<<8|int(k[1]))%parts == n
}
