package cloud

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Scopes of a fault, by endpoint.
const (
	ScopeAppend = "append"
	ScopeRead   = "read"
	ScopeList   = "list"
	ScopeTasks  = "tasks"
)

// Kinds of outages. In all of them the request has no effect.
const (
	OutageRefuse = "refuse" // status 503
	OutageHang   = "hang"   // no response until the fault is cleared or the client gives up
	OutageDrop   = "drop"   // no response until the client gives up, even after the fault is cleared
	OutageReset  = "reset"  // the connection is closed
)

// Fault is the body of POST /fault. It adds a rule, changes settings, or both. A rule applies to the
// scopes in On and to the clients in Clients; an empty list stands for all.
type Fault struct {
	Clear bool `json:",omitempty"` // remove all rules and restore the settings first

	On         []string `json:",omitempty"`
	Clients    []string `json:",omitempty"` // values of the header Sassafrasvalve-Client
	Outage     string   `json:",omitempty"`
	DelayMS    int      `json:",omitempty"` // delay of the response, after the request took effect
	JitterMS   int      `json:",omitempty"` // upper bound of an additional random delay
	LoseNext   int      `json:",omitempty"` // number of the next appends that take effect and get no response
	LoseShare  float64  `json:",omitempty"` // fraction of appends that take effect and get no response
	DuplicateN int      `json:",omitempty"` // number of the next appends that take effect twice
	ForMS      int      `json:",omitempty"` // time after which the rule ends; 0 means never

	ListLagMS   *int `json:",omitempty"`
	UsageLagMS  *int `json:",omitempty"`
	Retain      *int `json:",omitempty"` // records that the log retains
	RetainAgeMS *int `json:",omitempty"`
	AppendRate  *int `json:",omitempty"` // appends per second

	endsAt time.Time
}

func (f *Fault) isRule() bool {
	return f.Outage != "" || f.DelayMS > 0 || f.JitterMS > 0 || f.LoseNext > 0 || f.LoseShare > 0 || f.DuplicateN > 0
}

// appliesTo reports whether the scopes and clients of the rule include a request.
func (f *Fault) appliesTo(scope, client string) bool {
	return (len(f.On) == 0 || slices.Contains(f.On, scope)) &&
		(len(f.Clients) == 0 || slices.Contains(f.Clients, client))
}

// effect is the combined effect of the rules on one append.
type effect struct {
	lose      bool
	duplicate bool
}

// faults holds the rules in force. The mutex of the server guards it.
type faults struct {
	rules []*Fault
	rand  *rand.Rand
}

// add adds a rule. The time in ForMS counts from now.
func (f *faults) add(now time.Time, rule Fault) {
	if rule.ForMS > 0 {
		rule.endsAt = now.Add(time.Duration(rule.ForMS) * time.Millisecond)
	}
	f.rules = append(f.rules, &rule)
}

// outage returns the kind of outage in force for a request, or "" if there is none. It does not count the request
// against any rule.
func (f *faults) outage(now time.Time, scope, client string) string {
	f.expire(now)
	for _, r := range f.rules {
		if r.Outage != "" && r.appliesTo(scope, client) {
			return r.Outage
		}
	}
	return ""
}

// delay returns the sum of the delays and random jitter of all rules for a request.
func (f *faults) delay(now time.Time, scope, client string) time.Duration {
	f.expire(now)
	var sum time.Duration
	for _, r := range f.rules {
		if !r.appliesTo(scope, client) {
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

// onAppend counts an append against the rules and returns their effect on it.
func (f *faults) onAppend(client string) effect {
	var e effect
	for _, r := range f.rules {
		if !r.appliesTo(ScopeAppend, client) {
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

// expire removes the rules that have ended or have no effects left.
func (f *faults) expire(now time.Time) {
	f.rules = slices.DeleteFunc(f.rules, func(r *Fault) bool {
		return !r.isRule() || (!r.endsAt.IsZero() && !now.Before(r.endsAt))
	})
}
