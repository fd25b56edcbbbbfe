package dedup

import (
	"strings"
	"time"
)

// Executor remembers the claims that a member runs itself, and copies of others' claims
// that it keeps as second holder. It is not safe for concurrent use.
type Executor struct {
	own table[Key]
	// Copies are kept for each request, since a message about an earlier request with
	// the same key may come late and must not replace a copy of the present one.
	copies table[sent]
}

// NewExecutor returns an empty memory.
func NewExecutor(cfg Config) *Executor {
	cfg = cfg.withDefaults()
	return &Executor{own: newTable(cfg, byKey), copies: newTable(cfg, byRequest)}
}

// Begin records a granted claim before its request is sent. It returns false if there is no room.
func (e *Executor) Begin(h HeldClaim) bool {
	if _, known := e.own.held[h.Key]; !known && e.own.full() {
		return false
	}
	e.own.put(h)
	return true
}

// Finish records the end of the request whose claim Begin recorded, and returns the claim.
func (e *Executor) Finish(now time.Time, k Key, request string, o Outcome) (HeldClaim, bool) {
	h, ok := e.own.held[k]
	if base, _, _ := strings.Cut(h.Request, askMark); !ok || base != request {
		return HeldClaim{}, false
	}
	h = finished(now, h, o)
	e.own.put(h)
	return h, true
}

// Hold keeps copies for the owner. It returns false, and keeps none, if there is no room.
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

func (e *Executor) lose(now time.Time, v View) {
	e.own.lose(now, v)
	e.copies.lose(now, v)
}

// supersedes says whether h tells more than old of the same request.
func supersedes(old, h HeldClaim) bool {
	return old.State == Running || (old.State == Ended && old.Outcome.Lost && h.State == Ended)
}
