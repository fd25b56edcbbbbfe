// Package bench runs the decision code of slot sharing and admission under
// simulated arrivals, run times, message delays and failures. The clock is
// simulated; the queue, the holders and the owners are the real ones.
package bench

import (
	"fmt"
	"time"

	"sassafrasvalve/core/admit"
	"sassafrasvalve/core/slots"
)

// Fleet is the size of a user's installation and its work.
type Fleet struct {
	Name    string
	Entries int
	DCs     int
	Delay   time.Duration // one way between data centres
	Workers []int         // per pool
	Rack    int           // workers per rack
	Slots   int           // per worker
	Conns   int           // per worker
	Classes []Class
	Tenants []Tenant
}

// Class is a kind of work with its mean load.
type Class struct {
	admit.Class
	Load    float64       // mean load as a fraction of the pool's slots
	Service time.Duration // mean run time, exponential
	Within  time.Duration // deadline after arrival, for deferrable work
}

// Tenant is a team with its part of the arrivals.
type Tenant struct {
	Name   string
	Weight int
	Part   float64
}

// Mean run time of requests and time in which deferrable work is to finish.
const (
	meanService    = 400 * time.Millisecond
	deferrableTime = 2 * time.Minute
	sameDCDelay    = 100 * time.Microsecond
)

// classes returns the three kinds of work of a fleet. Five times the mean of
// each is more than the pool holds.
func classes(urgent, normal, deferrable string) []Class {
	return []Class{
		{Class: admit.Class{Name: urgent, Rank: 0, Share: 0.45, MaxWait: 2500 * time.Millisecond}, Load: 0.22, Service: meanService},
		{Class: admit.Class{Name: normal, Rank: 1, Share: 0.25, MaxWait: 5 * time.Second}, Load: 0.25, Service: meanService},
		{
			Class: admit.Class{Name: deferrable, Rank: 2, Share: 0.1, Deferrable: true},
			Load:  0.22, Service: meanService, Within: deferrableTime,
		},
	}
}

var tenants = []Tenant{{"north", 1, 0.5}, {"south", 1, 0.3}, {"east", 2, 0.2}}

// Fleets returns the installations of both users at today's sizes, and the
// single pool of the trial model.
func Fleets() []Fleet {
	return []Fleet{
		{
			Name: "kegelbaan", Entries: 9, DCs: 4, Delay: 1500 * time.Microsecond,
			Workers: []int{8, 9, 10, 11, 12}, Rack: 4, Slots: 8, Conns: 64,
			Classes: classes("hold", "browse", "recalc"), Tenants: tenants,
		},
		{
			Name: "apvieniba", Entries: 6, DCs: 3, Delay: time.Millisecond,
			Workers: []int{8, 9, 10, 11, 12}, Rack: 4, Slots: 8, Conns: 64,
			Classes: classes("renewal", "enquiry", "ledger"), Tenants: tenants,
		},
		{
			Name: "trial", Entries: 9, DCs: 4, Delay: 1500 * time.Microsecond,
			Workers: []int{10}, Rack: 4, Slots: 8, Conns: 64,
			Classes: classes("hold", "browse", "recalc"), Tenants: tenants,
		},
	}
}

// fleet returns the fleet of that name, or an error that lists the names.
func fleet(name string) (Fleet, error) {
	var names []string
	for _, f := range Fleets() {
		if f.Name == name {
			return f, nil
		}
		names = append(names, f.Name)
	}
	return Fleet{}, fmt.Errorf("fleet %q does not exist; there are %v", name, names)
}

func (f Fleet) poolName(p int) string      { return fmt.Sprintf("pool-%d", p) }
func (f Fleet) member(e int) string        { return fmt.Sprintf("entry-%d#1764817200%03d", e, e) }
func (f Fleet) workerName(p, w int) string { return fmt.Sprintf("vm-%d-%02d", p, w) }

// delay returns the one-way time of a message between two entries.
func (f Fleet) delay(a, b int) time.Duration {
	switch {
	case a == b:
		return 0
	case a%f.DCs == b%f.DCs:
		return sameDCDelay
	default:
		return f.Delay
	}
}

// view returns the folded state of a pool with the given members and workers.
func (f Fleet) view(self int, members, workers []string) slots.View {
	v := slots.View{Self: f.member(self), Members: members, Workers: workers, Slots: f.Slots, Connections: f.Conns}
	for _, c := range f.Classes {
		v.Classes = append(v.Classes, slots.Class{Name: c.Name, Rank: c.Rank, Share: c.Share, Ceiling: c.Ceiling})
	}
	return v
}

func (f Fleet) admit(p Policy) admit.Config {
	cfg := admit.Config{RoundUp: !p.Exact}
	for _, c := range f.Classes {
		cfg.Classes = append(cfg.Classes, c.Class)
	}
	for _, t := range f.Tenants {
		cfg.Tenants = append(cfg.Tenants, admit.Tenant{Name: t.Name, Weight: t.Weight})
	}
	return cfg
}
