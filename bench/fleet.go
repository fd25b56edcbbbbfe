// Package bench runs the decision code of slot sharing and admission with simulated arrivals, run times, message delays
// and failures on a simulated clock. The queues, the slot holders and the slot owners are the production code.
package bench

import (
	"fmt"
	"time"

	"sassafrasvalve/core/admit"
	"sassafrasvalve/core/slots"
)

// Fleet describes the size and the load of a user's installation.
type Fleet struct {
	Name    string
	Entries int
	DCs     int
	Delay   time.Duration // one-way delay between data centres
	Workers []int         // number of workers by pool
	Rack    int           // workers per rack
	Slots   int           // per worker
	Conns   int           // connections per worker
	Classes []Class
	Tenants []Tenant
}

// Class is a class of requests with its mean load.
type Class struct {
	admit.Class
	Load    float64       // mean load as a fraction of the pool's slots
	Service time.Duration // mean of the run time, which is exponentially distributed
	Within  time.Duration // time from arrival to the deadline, for deferrable work
}

// Tenant is a tenant with its share of the arrivals.
type Tenant struct {
	Name   string
	Weight int
	Part   float64
}

// Times of requests and messages.
const (
	meanService    = 400 * time.Millisecond // mean run time of requests
	deferrableTime = 2 * time.Minute        // time within which deferrable work must finish
	sameDCDelay    = 100 * time.Microsecond // one-way delay within a data centre
)

// classes returns the three classes of a fleet with the given names. A burst of five times the mean load of any one of
// them exceeds the capacity of a pool.
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

// Fleets returns the installations of both users at their current sizes, and a fleet with a single pool for trials.
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

// fleet returns the fleet with a name, or an error that lists the known names.
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

// delay returns the one-way delay of a message between two entries.
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

// view returns the view of a pool, with the given members and workers, for entry self.
func (f Fleet) view(self int, members, workers []string) slots.View {
	v := slots.View{Self: f.member(self), Members: members, Workers: workers, Slots: f.Slots, Connections: f.Conns}
	for _, c := range f.Classes {
		v.Classes = append(v.Classes, slots.Class{Name: c.Name, Rank: c.Rank, Share: c.Share, Ceiling: c.Ceiling})
	}
	return v
}

func (f Fleet) admit(p Policy) admit.Config {
	cfg := admit.Config{RoundUpShares: !p.Exact}
	for _, c := range f.Classes {
		cfg.Classes = append(cfg.Classes, c.Class)
	}
	for _, t := range f.Tenants {
		cfg.Tenants = append(cfg.Tenants, admit.Tenant{Name: t.Name, Weight: t.Weight})
	}
	return cfg
}
