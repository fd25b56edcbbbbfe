package shard

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Sizes and times of the plays of TestGangStartsWholeWhateverRefuses.
const (
	gangSeeds      = 40
	widestGang     = 2000
	mostGangVMs    = 100
	refusingTicks  = 300  // ticks in which starts are refused
	completionTick = 1500 // tick by which a gang that fits has started
)

// refusals are the replies to a start that was not executed.
var refusals = []pools.ReplyKind{
	pools.NotExecuted, pools.StaleRun, pools.LeaseExpired, pools.NoCapacity, pools.InvalidToken, pools.Unhealthy, pools.Rejected, pools.NoReply,
}

// TestGangStartsWholeWhateverRefuses guards against members of a gang that hold room and wait for others which do not come, until the VMs
// end them alone, again and again. In one case 43 of 300 orders found the queue of their VM full.
func TestGangStartsWholeWhateverRefuses(t *testing.T) {
	for seed := range uint64(gangSeeds) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { playGang(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

// gangVMs returns a random number of VMs with random room, and for how many members of a gang they have it.
func gangVMs(rng *rand.Rand, cpu int64) (list []pools.VM, room int) {
	for i := range 1 + rng.IntN(mostGangVMs) {
		n := rng.Int64N(3 * maxGangItemsPerVM)
		list = append(list, pools.VM{ID: fmt.Sprint("vm-", i), Service: "s", Addr: "x", CPU: cpu*n + 1, MemMB: 1 << 30})
		room += int(min(n, maxGangItemsPerVM))
	}
	return list, room
}

func playGang(t *testing.T, rng *rand.Rand) {
	width := int(math.Round(2 * math.Pow(widestGang/2, rng.Float64())))
	step := jobs.Step{Count: width, CPU: 10, MemMB: 1, EstimateMs: 500, Gang: true}
	list, room := gangVMs(rng, step.CPU)
	e := New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
	e.SetVMs(list, 0)
	sim := newSimPool(e)
	sim.pollAll()
	ticks, oneIn := 0, 1+rng.IntN(2*width)
	sim.refuse = func(pools.Order) (pools.ReplyKind, bool) {
		return refusals[rng.IntN(len(refusals))], ticks < refusingTicks && rng.IntN(oneIn) == 0
	}
	e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Queue: "q", Steps: []jobs.Step{step}}}, 0, 0)
	for ; ticks < completionTick; ticks++ {
		e.SetVMs(list, sim.now)
		sim.tick(0)
		active := map[*vm]int{}
		n := 0
		for _, it := range e.jobs["j"].orderedItems {
			if it.phase == planned || it.phase == sent || it.phase == running {
				active[it.vm]++
				n++
			}
		}
		assert.Assert(t, n == 0 || n == width, "tick %d: %d of %d members are started", ticks, n, width)
		for v, members := range active {
			assert.Assert(t, members <= maxGangItemsPerVM, "%d members on %s", members, v.ID)
		}
		if ticks > refusingTicks && len(sim.allRuns()) == width {
			return
		}
	}
	assert.Assert(t, room < width, "a gang of %d has not started, though there is room for %d", width, room)
	assert.Equal(t, len(sim.allRuns()), 0)
	for _, v := range e.vms {
		assert.Equal(t, v.usedCPU, int64(0), "room on %s is held by no run", v.ID)
	}
}

// allRuns returns all runs on the VMs.
func (sim *simPool) allRuns() []pools.RunStatus {
	var list []pools.RunStatus
	for _, runs := range sim.runs {
		for _, r := range runs {
			list = append(list, r)
		}
	}
	return list
}
