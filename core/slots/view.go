// Package slots shares the slots of a pool's workers between entries. A slot
// lets an entry have one request in progress on a worker. A Holder uses slots at
// one entry; the Owner of the pool lends them under leases. Each entry also has
// home slots, which it may use without a lease while the owner is out of reach.
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
	DefaultIdle = time.Second // after one lost report, the next still comes half a second before the lease ends
	DefaultFast = 100 * time.Millisecond
	DefaultGap  = 25 * time.Millisecond
	DefaultLend = 0.5
	DefaultNear = 8
)

// Time limits of the transport that carries reports.
const (
	BatchWindow     = 15 * time.Millisecond  // reports due within this time are sent together with an earlier one
	ExchangeTimeout = 250 * time.Millisecond // bounds the delay of the next report after a lost reply
)

// Policy holds the settings of slot sharing. All entries must use the same settings.
type Policy struct {
	TTL       time.Duration // length of a lease, from the report that it answers
	Slow      time.Duration // report interval while no request is queued
	Idle      time.Duration // report interval while the entry has no request in the pool
	Fast      time.Duration // report interval while requests are queued
	Gap       time.Duration // minimum time between two reports
	NoRecall  bool          // never recall slots in use
	NoReserve bool          // lend all idle slots evenly and take them back only when needed
	NoUrgent  bool          // do not move slots to entries with queued urgent requests
	Near      int           // see shiftToUrgent: one urgent request per Near running ones of lower rank waits at its entry
	// Budget is the control traffic of an entry in bytes per second, for a Pacer. 0 means
	// DefaultBudget. Only bench gives negative values a meaning: no limit.
	Budget float64
	NoPush bool    // the owner only answers reports, and entries with queued requests poll it
	Lend   float64 // fraction of the idle slots that is lent ahead of demand; the owner keeps the rest in reserve
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

// Class holds the settings of a class that slot sharing uses.
type Class struct {
	Name    string
	Rank    int     // lower ranks are more urgent
	Share   float64 // guaranteed fraction of the slots
	Ceiling float64 // maximum fraction of the slots; 0 means 1
}

// View is the part of the folded state that slot sharing depends on.
type View struct {
	Self        string   // ID of this member; it changes when the entry rejoins
	Members     []string // live members of the region
	Workers     []string // routable VMs of the pool
	Slots       int      // per worker, summed over all entries
	Connections int      // per worker, summed over all entries
	Classes     []Class
}

// sorted returns a copy with members and workers in ascending order.
func (v View) sorted() View {
	v.Members = slices.Clone(v.Members)
	v.Workers = slices.Clone(v.Workers)
	v.Classes = slices.Clone(v.Classes)
	slices.Sort(v.Members)
	slices.Sort(v.Workers)
	return v
}

// HomeSlots returns the number of home slots of member per worker, in the order
// of Workers. Home slots divide each worker evenly between the members. An
// unknown member has none.
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

// connectionCap returns the maximum number of connections, and thus of requests, of one entry per worker.
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
