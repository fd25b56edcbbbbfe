package dedup

import (
	"strings"
	"time"
)

// Executor stores the claims of the requests that a member runs, and copies of other members' claims
// that it keeps as second holder. It is not safe for concurrent use.
type Executor struct {
	own table[Key]
	// Copies are stored by request, since a late message about an earlier request with the same key
	// must not replace the copy of the current one.
	copies table[claimID]
}

// NewExecutor returns an executor without claims.
func NewExecutor(cfg Config) *Executor {
	cfg = cfg.withDefaults()
	return &Executor{own: newTable(cfg, byKey), copies: newTable(cfg, byRequest)}
}

// Begin stores a granted claim before its request is sent. It returns false if MaxClaims is reached.
func (e *Executor) Begin(h HeldClaim) bool {
	if _, known := e.own.held[h.Key]; !known && e.own.full() {
		return false
	}
	e.own.put(h)
	return true
}

// Finish records the outcome of a request and returns its claim. It returns false if Begin did not store a claim
// for that key and request.
func (e *Executor) Finish(now time.Time, k Key, request string, o Outcome) (HeldClaim, bool) {
	h, ok := e.own.held[k]
	if base, _, _ := strings.Cut(h.Request, attemptSeparator); !ok || base != request {
		return HeldClaim{}, false
	}
	h = withOutcome(now, h, o)
	e.own.put(h)
	return h, true
}

// Hold stores copies of claims for their owner. It returns false and stores none if they would exceed MaxClaims.
func (e *Executor) Hold(hs []HeldClaim) bool {
	fresh := 0
	for _, h := range hs {
		if _, known := e.copies.held[byRequest(h)]; !known {
			fresh++
		}
	}
	if len(e.copies.held)+fresh > e.copies.cfg.MaxClaims {
		return false
	}
	for _, h := range hs {
		if old, known := e.copies.held[byRequest(h)]; !known || supersedes(old, h) {
			e.copies.put(h)
		}
	}
	return true
}

func (e *Executor) expire(now time.Time) {
	e.own.expire(now)
	e.copies.expire(now)
}

func (e *Executor) endLostClaims(now time.Time, v View) {
	e.own.endLostClaims(now, v)
	e.copies.endLostClaims(now, v)
}

// supersedes reports whether h replaces old, an earlier state of the same request: any state replaces Running, and
// an end that was reported replaces one that was inferred.
func supersedes(old, h HeldClaim) bool {
	return old.State == Running || (old.State == Ended && old.Outcome.Lost && h.State == Ended)
}
