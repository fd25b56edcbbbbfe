package route

import (
	"slices"
	"time"
)

// Rules for requests that can never run.
const (
	poisonWorkers = 3 // distinct workers that must fail
	poisonMemory  = 30 * time.Second
	poisonMost    = 10_000 // requests under suspicion; above it, no new suspicion starts
)

// PoisonDetector finds requests that fail on several workers which succeed with others.
// It is not safe for concurrent use.
type PoisonDetector struct {
	suspects map[string]*suspect
	good     map[string]success // by VM
	swept    time.Time
}

type suspect struct {
	failedOn []string
	at       time.Time // of the latest failure
	known    time.Time // remembered as one that can never run up to this time
}

type success struct {
	key string
	at  time.Time
}

// NewPoisonDetector returns an empty detector.
func NewPoisonDetector() *PoisonDetector {
	return &PoisonDetector{suspects: map[string]*suspect{}, good: map[string]success{}}
}

// IsPoison says whether the request with this key was found to never run, at most 30 s ago.
func (p *PoisonDetector) IsPoison(now time.Time, key string) bool {
	s := p.suspects[key]
	return s != nil && now.Before(s.known)
}

// Report takes the result of an attempt and returns whether the request can never run.
// Key identifies the request by its content.
func (p *PoisonDetector) Report(now time.Time, vm, key string, failed bool) bool {
	p.sweep(now)
	if !failed {
		delete(p.suspects, key)
		p.good[vm] = success{key, now}
		return false
	}
	s := p.suspects[key]
	if s == nil {
		if len(p.suspects) >= poisonMost {
			return false
		}
		s = &suspect{}
		p.suspects[key] = s
	}
	s.at = now
	if !slices.Contains(s.failedOn, vm) {
		s.failedOn = append(s.failedOn, vm)
	}
	if p.proved(now, key, s) {
		s.known = now.Add(poisonMemory)
	}
	return now.Before(s.known)
}

// proved counts the workers that failed the request and lately succeeded with another.
func (p *PoisonDetector) proved(now time.Time, key string, s *suspect) bool {
	n := 0
	for _, vm := range s.failedOn {
		if g, ok := p.good[vm]; ok && g.key != key && now.Sub(g.at) < poisonMemory {
			n++
		}
	}
	return n >= poisonWorkers
}

func (p *PoisonDetector) sweep(now time.Time) {
	if now.Sub(p.swept) < time.Second {
		return
	}
	p.swept = now
	for key, s := range p.suspects {
		if now.Sub(s.at) >= poisonMemory && !now.Before(s.known) {
			delete(p.suspects, key)
		}
	}
	for vm, g := range p.good {
		if now.Sub(g.at) >= poisonMemory {
			delete(p.good, vm)
		}
	}
}
