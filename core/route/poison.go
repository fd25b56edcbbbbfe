package route

import (
	"slices"
	"time"
)

// Rules for the detection of requests that fail on every worker.
const (
	poisonWorkers = 3                // distinct workers on which a request must fail
	poisonTTL     = 30 * time.Second // how long a request counts as poison, and a failure or success as recent
	maxSuspects   = 10_000           // maximum number of suspected requests; beyond it no new ones are recorded
)

// PoisonDetector finds poison requests: they fail on several workers that succeed with other requests.
// It is not safe for concurrent use.
type PoisonDetector struct {
	suspects  map[string]*suspect
	successes map[string]success // by VM
	lastSweep time.Time
}

// suspect is a request that has failed and not succeeded since.
type suspect struct {
	failedOn    []string
	lastFailure time.Time
	poisonUntil time.Time // until then the request counts as poison
}

// success is the latest success of a worker.
type success struct {
	key string
	at  time.Time
}

// NewPoisonDetector returns an empty detector.
func NewPoisonDetector() *PoisonDetector {
	return &PoisonDetector{suspects: map[string]*suspect{}, successes: map[string]success{}}
}

// IsPoison reports whether the request with this key was found to be poison within the last 30 s.
func (p *PoisonDetector) IsPoison(now time.Time, key string) bool {
	s := p.suspects[key]
	return s != nil && now.Before(s.poisonUntil)
}

// Report records the result of an attempt and returns whether the request is poison.
// The key identifies the request by its content.
func (p *PoisonDetector) Report(now time.Time, vm, key string, failed bool) bool {
	p.sweep(now)
	if !failed {
		delete(p.suspects, key)
		p.successes[vm] = success{key, now}
		return false
	}
	s := p.suspects[key]
	if s == nil {
		if len(p.suspects) >= maxSuspects {
			return false
		}
		s = &suspect{}
		p.suspects[key] = s
	}
	s.lastFailure = now
	if !slices.Contains(s.failedOn, vm) {
		s.failedOn = append(s.failedOn, vm)
	}
	if p.isProven(now, key, s) {
		s.poisonUntil = now.Add(poisonTTL)
	}
	return now.Before(s.poisonUntil)
}

// isProven reports whether enough workers failed the request and recently succeeded with another one.
func (p *PoisonDetector) isProven(now time.Time, key string, s *suspect) bool {
	n := 0
	for _, vm := range s.failedOn {
		if g, ok := p.successes[vm]; ok && g.key != key && now.Sub(g.at) < poisonTTL {
			n++
		}
	}
	return n >= poisonWorkers
}

// sweep deletes expired suspects and successes, at most once per second.
func (p *PoisonDetector) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < time.Second {
		return
	}
	p.lastSweep = now
	for key, s := range p.suspects {
		if now.Sub(s.lastFailure) >= poisonTTL && !now.Before(s.poisonUntil) {
			delete(p.suspects, key)
		}
	}
	for vm, g := range p.successes {
		if now.Sub(g.at) >= poisonTTL {
			delete(p.successes, vm)
		}
	}
}
