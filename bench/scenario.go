package bench

import (
	"fmt"
	"time"
)

// Scenario is what happens to a fleet during a run.
type Scenario struct {
	Name  string
	Long  time.Duration // arrivals end then; the run goes on until the queues are empty
	Rate  func(f Fleet, pool, class int, at time.Duration) float64
	Sizes []float64 // per class: factor on run times; nil means 1

	FailFrom, FailUntil time.Duration // BadPart of the workers fail everything
	BadPart             float64
	RackAt              time.Duration // the first rack of each pool is lost
	EntryAt             time.Duration // entry Entry is lost
	FreezeAt            time.Duration // entry Entry stands still for FreezeFor
	FreezeFor           time.Duration
	OwnerOfFirst        bool    // the entry is the owner of the first pool
	Loss                float64 // part of the messages that are lost
}

// Times of the floods and of the platform's lag.
const (
	floodFactor = 5.0
	quietFactor = 0.05
	floodTime   = 6 * time.Second
	quietTime   = 4 * time.Second
	warmUp      = 5 * time.Second
	listLag     = 3 * time.Second // until a lost worker leaves the view
	fenceLag    = 7 * time.Second // until a lost entry is fenced
	floodStart  = 10 * time.Second
	longFlood   = 20 * time.Second
)

func steady(Fleet, int, int, time.Duration) float64 { return 1 }

// turns floods each class of each pool in turn, one at a time.
func turns(f Fleet, pool, class int, at time.Duration) float64 {
	period := floodTime + quietTime
	at -= warmUp + time.Duration(pool*len(f.Classes)+class)*period
	switch {
	case at < 0 || at >= period:
		return 1
	case at < floodTime:
		return floodFactor
	default:
		return quietFactor
	}
}

// flood makes one class of all pools ask for five times its mean for 20 s, then for a twentieth.
func flood(last bool) func(Fleet, int, int, time.Duration) float64 {
	return func(f Fleet, _, class int, at time.Duration) float64 {
		target := 0
		if last {
			target = len(f.Classes) - 1
		}
		if class != target || at < floodStart {
			return 1
		}
		if at < floodStart+longFlood {
			return floodFactor
		}
		return quietFactor
	}
}

// Scenarios returns all scenarios for a fleet.
func Scenarios(f Fleet) []Scenario {
	turn := time.Duration(len(f.Workers)*len(f.Classes))*(floodTime+quietTime) + 2*warmUp
	return []Scenario{
		{Name: "mean", Long: time.Minute, Rate: steady},
		{Name: "turns", Long: turn, Rate: turns},
		{Name: "turns-loss", Long: turn, Rate: turns, Loss: 0.01},
		{Name: "flood-least", Long: time.Minute, Rate: flood(true)},
		{Name: "flood-most", Long: time.Minute, Rate: flood(false)},
		{Name: "failing", Long: time.Minute, Rate: steady, BadPart: 0.2, FailFrom: 15 * time.Second, FailUntil: 40 * time.Second},
		{Name: "rack", Long: time.Minute, Rate: steady, RackAt: 20 * time.Second},
		{Name: "entry", Long: time.Minute, Rate: flood(true), EntryAt: 15 * time.Second, OwnerOfFirst: true},
		{Name: "frozen", Long: time.Minute, Rate: flood(true), FreezeAt: 15 * time.Second, FreezeFor: 5 * time.Second, OwnerOfFirst: true},
		{Name: "sizes", Long: time.Minute, Rate: steady, Sizes: []float64{1, 1, 10}},
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

// Spread says how arrivals are divided over the entries.
type Spread string

// The spreads.
const (
	Even   Spread = "even"
	Skewed Spread = "skewed" // entry i gets a part in proportion to 1/(i+1)
)

// weights returns the cumulative parts of the entries.
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
