package bench

import (
	"fmt"
	"time"
)

// Scenario describes the arrivals and the faults of a run.
type Scenario struct {
	Name     string
	Duration time.Duration // time of the last arrival; the run continues until the queues are empty
	// Rate returns the arrival rate of a class of a pool as a multiple of its mean.
	Rate  func(f Fleet, pool, class int, at time.Duration) float64
	Sizes []float64 // factor on the run times by class; nil means 1

	FailFrom, FailUntil time.Duration // time in which the fraction BadPart of the workers fails all requests
	BadPart             float64
	RackAt              time.Duration // time at which the first rack of each pool is lost; 0 means never
	EntryAt             time.Duration // time at which an entry is lost; 0 means never
	FreezeAt            time.Duration // time at which an entry freezes for FreezeFor; 0 means never
	FreezeFor           time.Duration
	OwnerOfFirst        bool    // the lost or frozen entry is the owner of the first pool instead of entry 0
	Loss                float64 // fraction of messages that are lost
}

// Rates and times of bursts, and delays of the platform.
const (
	burstFactor = 5.0
	quietFactor = 0.05
	burstTime   = 6 * time.Second
	quietTime   = 4 * time.Second
	warmUp      = 5 * time.Second // requests that arrive before are not measured
	listLag     = 3 * time.Second // from the loss of a worker until the entries stop routing to it
	fenceLag    = 7 * time.Second // from the loss of an entry until it is fenced
	burstStart  = 10 * time.Second
	longBurst   = 20 * time.Second
)

func meanRate(Fleet, int, int, time.Duration) float64 { return 1 }

// turnBursts returns the rate for bursts of all classes of all pools in turn, one at a time. Each burst is followed by
// a quiet time of the same class.
func turnBursts(f Fleet, pool, class int, at time.Duration) float64 {
	period := burstTime + quietTime
	at -= warmUp + time.Duration(pool*len(f.Classes)+class)*period
	switch {
	case at < 0 || at >= period:
		return 1
	case at < burstTime:
		return burstFactor
	default:
		return quietFactor
	}
}

// burst returns a rate function with which one class of all pools has burstFactor times its mean rate for longBurst and
// quietFactor times afterwards. The class is the last one if last is set, and otherwise the first one.
func burst(last bool) func(Fleet, int, int, time.Duration) float64 {
	return func(f Fleet, _, class int, at time.Duration) float64 {
		target := 0
		if last {
			target = len(f.Classes) - 1
		}
		if class != target || at < burstStart {
			return 1
		}
		if at < burstStart+longBurst {
			return burstFactor
		}
		return quietFactor
	}
}

// Scenarios returns all scenarios for a fleet.
func Scenarios(f Fleet) []Scenario {
	turn := time.Duration(len(f.Workers)*len(f.Classes))*(burstTime+quietTime) + 2*warmUp
	return []Scenario{
		{Name: "mean", Duration: time.Minute, Rate: meanRate},
		{Name: "turns", Duration: turn, Rate: turnBursts},
		{Name: "turns-loss", Duration: turn, Rate: turnBursts, Loss: 0.01},
		{Name: "flood-least", Duration: time.Minute, Rate: burst(true)},
		{Name: "flood-most", Duration: time.Minute, Rate: burst(false)},
		{Name: "failing", Duration: time.Minute, Rate: meanRate, BadPart: 0.2, FailFrom: 15 * time.Second, FailUntil: 40 * time.Second},
		{Name: "rack", Duration: time.Minute, Rate: meanRate, RackAt: 20 * time.Second},
		{Name: "entry", Duration: time.Minute, Rate: burst(true), EntryAt: 15 * time.Second, OwnerOfFirst: true},
		{Name: "frozen", Duration: time.Minute, Rate: burst(true), FreezeAt: 15 * time.Second, FreezeFor: 5 * time.Second, OwnerOfFirst: true},
		{Name: "sizes", Duration: time.Minute, Rate: meanRate, Sizes: []float64{1, 1, 10}},
	}
}

func scenario(f Fleet, name string) (Scenario, error) {
	var names []string
	for _, s := range Scenarios(f) {
		if s.Name == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	return Scenario{}, fmt.Errorf("scenario %q does not exist; there are %v", name, names)
}

// Spread is the distribution of arrivals over the entries.
type Spread string

// Distributions of arrivals.
const (
	Even   Spread = "even"
	Skewed Spread = "skewed" // the share of entry i is proportional to 1/(i+1)
)

// weights returns the cumulative shares of n entries.
func (s Spread) weights(n int) []float64 {
	out := make([]float64, n)
	total := 0.0
	for i := range out {
		w := 1.0
		if s == Skewed {
			w = 1 / float64(i+1)
		}
		total += w
		out[i] = total
	}
	for i := range out {
		out[i] /= total
	}
	return out
}
