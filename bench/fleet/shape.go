// Package fleet measures the production fold and planner of the fleet on a simulated platform and clock. The platform
// has a lagging VM list, drains and reboots that take time, and failures. Requests are not simulated: a drain takes a
// random time that stands for the time of its last requests.
package fleet

import (
	"fmt"
	"time"

	"sassafrasvalve/core/spec"
)

// Shape describes an installation.
type Shape struct {
	Name    string
	Regions []Region
	Pools   []int              // sizes of the pools, the same in each region
	Slack   func(size int) int // number of VMs of a pool that its budget allows to be unavailable
	Spares  int                // active VMs in the spare pool of a region
	Fails   float64            // VMs per day that fail for hours
	Breaks  float64            // VMs per day that restart or are replaced
}

// Region is a region of an installation with its data centres and its number of entries.
type Region struct {
	Name    string
	DCs     []string
	Entries int
}

// Sizes of the installations.
const (
	rackSize      = 4
	sparePool     = "spare"
	targetWorkers = 1100.0 // from docs/design.md, with 13 failures and 110 restarts per day
	targetFails   = 13.0
	targetBreaks  = 110.0
)

// oneVMSlack allows one VM of a pool to be unavailable.
func oneVMSlack(int) int { return 1 }

// tenthSlack allows a tenth of a pool, rounded down but at least one VM, to be unavailable.
func tenthSlack(size int) int { return max(1, size/10) }

// Shapes returns the current installations of both users and the installation of the target size.
func Shapes() []Shape {
	small := []int{8, 9, 10, 11, 12}
	out := []Shape{
		{Name: "kegelbaan", Regions: []Region{{"home", []string{"d1", "d2", "d3", "d4"}, 9}}, Pools: small, Slack: oneVMSlack, Spares: 4},
		{Name: "apvieniba", Regions: []Region{{"home", []string{"d1", "d2", "d3"}, 6}}, Pools: small, Slack: oneVMSlack, Spares: 3},
		{
			// The target has 29 pools. The two regions here have 15 each, which makes one more, so the pools are smaller by
			// the workers of the additional one.
			Name: "target", Regions: []Region{{"east", []string{"e1", "e2"}, 9}, {"west", []string{"w1", "w2"}, 9}},
			Slack: tenthSlack, Spares: 12,
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

// targetPools distributes the 550 workers of a region over 14 pools. With the spare pool a region has 15 pools.
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

// config returns the configuration of the installation. The budget of each service is the size of its pool less its
// slack.
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

// lowerBound returns the shortest time in which all VMs can be drained and rebooted. Each pool has at most its slack and
// lend borrowed spare VMs out at the same time, and at most one rack; limit is the maximum over all regions.
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
