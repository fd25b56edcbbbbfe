// Package slots shares the slots of a pool's workers between entries. A Holder
// uses slots at one entry; the Owner of the pool lends them.
package slots

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of a Policy.
const (
	DefaultTTL  = 1500 * time.Millisecond
	DefaultSlow = 500 * time.Millisecond
	DefaultIdle = time.Second // a lost report still leaves half a second before the lease ends
	DefaultFast = 100 * time.Millisecond
	DefaultGap  = 25 * time.Millisecond
	DefaultLend = 0.5
	DefaultNear = 8
)

// Times of the transport that carries reports.
const (
	BatchWindow     = 15 * time.Millisecond  // reports due this soon travel with an earlier one
	ExchangeTimeout = 250 * time.Millisecond // a lost reply delays the next report by no more
)

// Policy holds the settings of slot sharing. All entries use the same.
type Policy struct {
	TTL       time.Duration // life of a lease after the report that it answers
	Slow      time.Duration // period of reports while nothing waits
	Idle      time.Duration // the same while the entry has no request in the pool
	Fast      time.Duration // period of reports while there is backlog
	Gap       time.Duration // shortest time between two reports
	NoRecall  bool          // slots in use are never recalled
	NoReserve bool          // all idle slots are lent, evenly, and taken back only when needed
	NoUrgent  bool          // urgent requests wait for slots of their own entry
	Near      int           // running requests of lower rank at an entry that make one of its urgent requests wait there
	Budget    float64       // control bytes per second of an entry; 0 means DefaultBudget, negative no bound
	NoPush    bool          // the owner only answers reports; entries with backlog poll it
	Lend      float64       // part of the idle slots that is lent ahead of demand; the owner keeps the others at hand
}

func (p Policy) withDefaults() Policy {
	if p.TTL <= 0 {
		p.TTL = DefaultTTL
	}
	if p.Slow <= 0 {
		p.Slow = DefaultSlow
	}
	if p.Idle <= 0 {
		p.Idle = max(p.Slow, DefaultIdle)
	}
	if p.Fast <= 0 {
		p.Fast = DefaultFast
	}
	if p.Lend <= 0 {
		p.Lend = DefaultLend
	}
	if p.Near <= 0 {
		p.Near = DefaultNear
	}
	if p.Gap <= 0 {
		p.Gap = DefaultGap
	}
	return p
}

// Class is what slot sharing needs to know of a class of work.
type Class struct {
	Name    string
	Rank    int
	Share   float64 // guaranteed fraction of the slots
	Ceiling float64 // largest fraction of the slots; 0 means 1
}

// View is the part of the folded state that slot sharing rests on.
type View struct {
	Self        string   // this member; it changes when the entry joins again
	Members     []string // live members of the region
	Workers     []string // routable VMs of the pool
	Slots       int      // per worker, over all entries
	Connections int      // per worker, over all entries
	Classes     []Class
}

// normal returns a copy with sorted members and workers.
func (v View) normal() View {
	v.Members = slices.Clone(v.Members)
	v.Workers = slices.Clone(v.Workers)
	v.Classes = slices.Clone(v.Classes)
	slices.Sort(v.Members)
	slices.Sort(v.Workers)
	return v
}

// HomeSlots returns how many slots of each worker belong to member at home,
// in the order of Workers. It returns zeros for an unknown member.
func (v View) HomeSlots(member string) []int {
	out := make([]int, len(v.Workers))
	me, ok := slices.BinarySearch(v.Members, member)
	if !ok {
		return out
	}
	n := uint64(len(v.Members))
	for w, vm := range v.Workers {
		first := xxhash.Sum64String(vm) % n
		// Slot i belongs to member index (first+i) mod n.
		offset := (uint64(me) + n - first) % n
		if uint64(v.Slots) > offset {
			out[w] = int((uint64(v.Slots) - offset + n - 1) / n)
		}
	}
	return out
}

// connectionCap returns how many connections, and so requests, one entry may have per worker.
func (v View) connectionCap() int {
	if v.Connections <= 0 || len(v.Members) == 0 {
		return v.Slots
	}
	return max(1, v.Connections/len(v.Members))
}

func sum(xs []int) int {
	n := 0
	for _, x := range xs {
		n += x
	}
	return n
}
