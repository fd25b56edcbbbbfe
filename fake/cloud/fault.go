package cloud

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The scopes of a fault.
const (
	ScopeAppend = "append"
	ScopeRead   = "read"
	ScopeList   = "list"
	ScopeTasks  = "tasks"
)

// The ways in which an outage shows.
const (
	OutageRefuse = "refuse" // 503, without effect
	OutageHang   = "hang"   // no response until the fault is cleared or the client gives up, without effect
	OutageDrop   = "drop"   // no response until the client gives up, even after the fault is cleared, without effect
	OutageReset  = "reset"  // the connection is closed, without effect
)

// Fault is the body of POST /fault. One body adds one rule, changes settings, or both.
// A rule holds for the scopes On (all if empty) and for Clients (all if empty).
type Fault struct {
	Clear bool `json:",omitempty"` // first removes all rules and restores the settings

	On         []string `json:",omitempty"`
	Clients    []string `json:",omitempty"` // values of the header Sassafrasvalve-Client
	Outage     string   `json:",omitempty"`
	DelayMS    int      `json:",omitempty"` // before the response, after the effect
	JitterMS   int      `json:",omitempty"` // more delay, at random up to this
	LoseNext   int      `json:",omitempty"` // appends that take effect and get no response
	LoseShare  float64  `json:",omitempty"` // share of appends that take effect and get no response
	DuplicateN int      `json:",omitempty"` // appends that take effect twice
	ForMS      int      `json:",omitempty"` // the rule ends by itself

	ListLagMS   *int `json:",omitempty"`
	UsageLagMS  *int `json:",omitempty"`
	Retain      *int `json:",omitempty"` // records
	RetainAgeMS *int `json:",omitempty"`
	AppendRate  *int `json:",omitempty"` // appends a second

	ends time.Time
}

func (f *Fault) isRule() bool {
	return f.Outage != "" || f.DelayMS > 0 || f.JitterMS > 0 || f.LoseNext > 0 || f.LoseShare > 0 || f.DuplicateN > 0
}

// holds reports whether the rule applies to a request.
func (f *Fault) holds(scope, client string) bool {
	return (len(f.On) == 0 || slices.Contains(f.On, scope)) &&
		(len(f.Clients) == 0 || slices.Contains(f.Clients, client))
}

// effect is what the rules do to one append.
type effect struct {
	lose      bool
	duplicate bool
}

// faults are the rules in force. They are guarded by the server's mutex.
type faults struct {
	rules []*Fault
	rand  *rand.Rand
}

// add adds a rule that was posted at now.
func (f *faults) add(now time.Time, rule Fault) {
	if rule.ForMS > 0 {
		rule.ends = now.Add(time.Duration(rule.ForMS) * time.Millisecond)
	}
	f.rules = append(f.rules, &rule)
}

// outage returns the outage in force for a request, without using any rule up.
func (f *faults) outage(now time.Time, scope, client string) string {
	f.expire(now)
	for _, r := range f.rules {
		if r.Outage != "" && r.holds(scope, client) {
			return r.Outage
		}
	}
	return ""
}

// delay returns the delay of the response to a request.
func (f *faults) delay(now time.Time, scope, client string) time.Duration {
	f.expire(now)
	var sum time.Duration
	for _, r := range f.rules {
		if !r.holds(scope, client) {
			continue
		}
		ms := r.DelayMS
		if r.JitterMS > 0 {
			ms += f.rand.IntN(r.JitterMS + 1)
		}
		sum += time.Duration(ms) * time.Millisecond
	}
	return sum
}

// onAppend counts an append against the rules and returns what they do to it.
func (f *faults) onAppend(client string) effect {
	var e effect
	for _, r := range f.rules {
		if !r.holds(ScopeAppend, client) {
			continue
		}
		if r.LoseNext > 0 {
			r.LoseNext--
			e.lose = true
		}
		if r.LoseShare > 0 && f.rand.Float64() < r.LoseShare {
			e.lose = true
		}
		if r.DuplicateN > 0 {
			r.DuplicateN--
			e.duplicate = true
		}
	}
	return e
}

// expire drops the rules that have ended or are used up.
func (f *faults) expire(now time.Time) {
	f.rules = slices.DeleteFunc(f.rules, func(r *Fault) bool {
		return !r.isRule() || (!r.ends.IsZero() && !now.Before(r.ends))
	})
}
