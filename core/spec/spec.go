// Package spec holds the fleet configuration as plain structs and its validation.
package spec

import (
	"fmt"
	"time"
)

// Defaults of a worker, in force where a pool does not set its own.
const (
	DefaultSlots       = 8  // requests in progress per worker, over all entries
	DefaultConnections = 64 // open connections per worker, over all entries
)

// Fleet is a whole configuration: what operators write and the log carries.
type Fleet struct {
	Pools    []Pool
	Services []Service
	Classes  []Class
	Tenants  []Tenant
}

// Pool is a group of VMs that serve the same services.
type Pool struct {
	Name        string
	Region      string // region all its VMs are in; empty if there is only one
	Size        int    // VMs that repair keeps in the pool
	Spare       bool   // VMs of this pool replace failed VMs of others
	Slots       int    // per worker; 0 means DefaultSlots
	Connections int    // per worker; 0 means DefaultConnections
}

// Service is what callers ask for. It is placed on one pool.
type Service struct {
	Name   string
	Pool   string
	Budget Budget
}

// Budget bounds how many VMs under a service may be unavailable by voluntary acts.
// A zero field sets no bound.
type Budget struct {
	MinAvailable        int // VMs that stay active
	MinAvailablePercent int // percent of the pool's VMs that stay active, rounded up
	MaxUnavailable      int // VMs out at once
	MaxUnavailablePerDC int // VMs out at once in each data centre
}

// Class is a kind of work and its place in the order of yielding.
type Class struct {
	Name       string
	Rank       int     // 0 is the most urgent; higher ranks yield first
	Share      float64 // guaranteed fraction of a pool's slots, 0 to 1
	Ceiling    float64 // largest fraction of a pool's slots, borrowed ones included; 0 means 1
	MaxWait    Duration
	Deferrable bool   // accepted into the log and run before FinishBy
	Idempotent bool   // may be run again when its outcome is unknown
	FinishBy   string // for deferrable classes: weekday and time in UTC, such as "Sat 06:00"
}

// Tenant is a team with a quota.
type Tenant struct {
	Name   string
	Weight int     // share among the tenants of a class; 0 means 1
	Rate   float64 // accepted requests a second over all entries; 0 means no limit
	Burst  int     // requests accepted at once above Rate; 0 means one second of Rate
}

// Duration is a time span that is written as text, such as "2.5s".
type Duration time.Duration

// MarshalText encodes the span in Go's notation.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText decodes Go's notation. It returns an error for any other text.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"2.5s\"", b)
	}
	*d = Duration(v)
	return nil
}

// Problem is one fault in a configuration.
type Problem struct {
	Path    string   // element at fault, such as `Services["holds"].Budget.MinAvailable`
	Message string   // what is wrong and what to do
	Related []string `json:",omitempty"` // paths of the other values involved
}

// Error returns the problem on one line.
func (p Problem) Error() string { return p.Path + ": " + p.Message }
