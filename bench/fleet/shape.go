// Package fleet measures the controller: the real fold and planner under a stand-in for the
// platform with a lagging list, drains and reboots that take time, and failures.
// Time is simulated. Requests are not: a drain lasts as long as its requests do.
package fleet

import (
	"fmt"
	"time"

	"sassafrasvalve/core/spec"
)

// Shape is an installation.
type Shape struct {
	Name    string
	Regions []Region
	Pools   []int // sizes, the same in each region
	Slack   func(size int) int
	Spares  int     // active VMs of the spare pool, a region
	Fails   float64 // VMs that fail for hours, a day
	Breaks  float64 // VMs that restart or are replaced, a day
}

// Region is a region of an installation.
type Region struct {
	Name    string
	DCs     []string
	Entries int
}

// Sizes of the installations.
const (
	rackSize      = 4
	sparePool     = "spare"
	targetWorkers = 1100.0 // of docs/design.md, with 13 failures and 110 restarts a day
	targetFails   = 13.0
	targetBreaks  = 110.0
)

func slackOne(int) int { return 1 }

// slackTenth allows a tenth of a pool, rounded down.
func slackTenth(size int) int { return max(1, size/10) }

// Shapes returns the installations of both users today and the size of the target.
func Shapes() []Shape {
	small := []int{8, 9, 10, 11, 12}
	out := []Shape{
		{Name: "kegelbaan", Regions: []Region{{"home", []string{"d1", "d2", "d3", "d4"}, 9}}, Pools: small, Slack: slackOne, Spares: 4},
		{Name: "apvieniba", Regions: []Region{{"home", []string{"d1", "d2", "d3"}, 6}}, Pools: small, Slack: slackOne, Spares: 3},
		{
			// 29 pools in all: one is smaller in each region by the workers of the odd one.
			Name: "target", Regions: []Region{{"east", []string{"e1", "e2"}, 9}, {"west", []string{"w1", "w2"}, 9}},
			Slack: slackTenth, Spares: 12,
		},
	}
	out[2].Pools = targetPools()
	for i := range out {
		workers := float64(out[i].workers())
		out[i].Fails = targetFails * workers / targetWorkers
		out[i].Breaks = targetBreaks * workers / targetWorkers
	}
	return out
}

// targetPools spreads 550 workers of a region over 14 pools; with the spare
// pool that makes 15 pools a region.
func targetPools() []int {
	const pools, workers = 14, 550
	out := make([]int, pools)
	for i := range out {
		out[i] = workers / pools
		if i < workers%pools {
			out[i]++
		}
	}
	return out
}

func (s Shape) workers() int {
	n := 0
	for _, size := range s.Pools {
		n += size
	}
	return n * len(s.Regions)
}

// config returns the configuration of the installation. Each service keeps all VMs of
// its pool but its slack.
func (s Shape) config() spec.Fleet {
	var f spec.Fleet
	for _, r := range s.Regions {
		for i, size := range s.Pools {
			name := poolName(r.Name, i)
			f.Pools = append(f.Pools, spec.Pool{Name: name, Region: r.Name, Size: size})
			f.Services = append(f.Services, spec.Service{
				Name: "svc-" + name, Pool: name, Budget: spec.Budget{MinAvailable: size - s.Slack(size)},
			})
		}
		f.Pools = append(f.Pools, spec.Pool{Name: spareName(r.Name), Region: r.Name, Size: s.Spares, Spare: true})
	}
	return f
}

func poolName(region string, i int) string { return fmt.Sprintf("%s-%02d", region, i) }
func spareName(region string) string       { return region + "-" + sparePool }

// lowerBound returns the shortest time in which all VMs can be drained and rebooted while
// each pool has at most its slack, its part of the spares and one rack out.
func (s Shape) lowerBound(limit, lend int) time.Duration {
	mean := (drainMin+drainMax)/2 + (rebootMin+rebootMax)/2
	vms, out, longest := s.Spares, s.Spares, 0.0
	for _, size := range s.Pools {
		vms += size
		own := min(rackSize, s.Slack(size))
		out += own
		with := min(rackSize, own+min(lend, s.Spares))
		longest = max(longest, float64(size)/float64(with))
	}
	out = min(out, limit/len(s.Regions))
	return time.Duration(max(float64(vms)/float64(out), longest) * float64(mean))
}
