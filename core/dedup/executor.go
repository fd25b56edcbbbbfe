package dedup

import (
	"strings"
	"time"
)

// Executor remembers the claims that a member runs itself, and copies of others' claims
// that it keeps as second holder. It is not safe for concurrent use.
type Executor struct {
	table
}

// NewExecutor returns an empty memory.
func NewExecutor(cfg Config) *Executor { return &Executor{newTable(cfg.withDefaults())} }

// Begin records a granted claim before its request is sent. It returns false if there is no room.
func (e *Executor) Begin(h Held) bool {
	if _, known := e.held[h.Key]; !known && e.full() {
		return false
	}
	e.put(h)
	return true
}

// Finish records the end of the request whose claim Begin recorded, and returns the claim.
func (e *Executor) Finish(now time.Time, k Key, request string, o Outcome) (Held, bool) {
	h, ok := e.held[k]
	if base, _, _ := strings.Cut(h.Request, askMark); !ok || base != request {
		return Held{}, false
	}
	h = finished(now, h, o)
	e.put(h)
	return h, true
}

// Hold keeps copies for the owner. It returns false, and keeps none, if there is no room.
func (e *Executor) Hold(hs []Held) bool {
	fresh := 0
	for _, h := range hs {
		if _, known := e.held[h.Key]; !known {
			fresh++
		}
	}
	if len(e.held)+fresh > e.cfg.MaxClaims {
		return false
	}
	for _, h := range hs {
		if old, known := e.held[h.Key]; !known || supersedes(old, h) {
			e.put(h)
		}
	}
	return true
}

// supersedes says whether the copy h tells more than old.
func supersedes(old, h Held) bool {
	if old.Request != h.Request {
		return old.State != Ended || old.Outcome.Lost
	}
	return old.State == Running || (old.State == Ended && old.Outcome.Lost && h.State == Ended)
}
