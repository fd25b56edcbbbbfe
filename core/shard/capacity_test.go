package shard

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// TestCapacityThatShrinksAndGrows guards against a start beyond a VM's capacity after it has shrunk, against runs that are
// ended for that, and against a VM that stays empty after its capacity has grown again.
func TestCapacityThatShrinksAndGrows(t *testing.T) {
	const itemCPU, itemMemMB = 1000, 10
	sim := newSimPool(newPolledEngine(2, 4*itemCPU, 1000))
	setCapacity := func(cpu, memMB int64) {
		sim.e.SetVMs([]pools.VM{
			{ID: "a", Service: "s", Addr: "x", CPU: cpu, MemMB: memMB}, {ID: "b", Service: "s", Addr: "x", CPU: 4 * itemCPU, MemMB: 1000},
		}, sim.now)
	}
	for n := range 10 {
		sim.submit(fmt.Sprintf("j%d", n), jobs.Step{Count: 4, CPU: itemCPU, MemMB: itemMemMB, EstimateMs: 60_000})
	}
	play := func() {
		for range 10 {
			sim.tick(0)
		}
	}
	endOn := func(vm string, n int) {
		for item := range sim.runs[vm] {
			if n--; n >= 0 {
				sim.end(vm, item, pools.EndDone, "")
			}
		}
		sim.pollAll()
	}
	play()
	assert.Equal(t, len(sim.runs["a"]), 4)
	setCapacity(2*itemCPU, 1000)
	play()
	assert.Equal(t, len(sim.runs["a"]), 4, "what runs stays")
	assert.Equal(t, len(sim.stopped), 0)
	endOn("a", 2)
	play()
	assert.Equal(t, len(sim.runs["a"]), 2, "nothing starts beyond the capacity")
	endOn("a", 1)
	play()
	assert.Equal(t, len(sim.runs["a"]), 2, "what fits starts")
	setCapacity(4*itemCPU, 3*itemMemMB)
	play()
	assert.Equal(t, len(sim.runs["a"]), 3, "memory bounds it as well")
	setCapacity(0, 0)
	endOn("a", 3)
	play()
	assert.Equal(t, len(sim.runs["a"]), 0, "a VM without capacity gets nothing")
	setCapacity(4*itemCPU, 1000)
	play()
	assert.Equal(t, len(sim.runs["a"]), 4, "it is used again after it has grown")
	assert.Equal(t, len(sim.runs["b"]), 4)
}

// TestShrunkVMAtATakeover guards against a new owner that starts items on a VM whose capacity has shrunk below what the runs of
// the earlier owner use, or that ends these runs.
func TestShrunkVMAtATakeover(t *testing.T) {
	const itemCPU = 1000
	e := New(Config{Service: "s", Epoch: 2, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
	step := jobs.Step{Count: 4, CPU: itemCPU, MemMB: 10, EstimateMs: 60_000}
	items := []jobs.ItemState{}
	running := []pools.RunStatus{}
	for i := range 4 {
		key := jobs.Item{Index: i}
		items = append(items, jobs.ItemState{Index: i, Run: 1, VM: "a", VMBorn: 1})
		running = append(running, pools.RunStatus{Item: key.Name("old"), Run: 1, ProgressPercent: 10})
	}
	e.LoadJob("old", &jobs.StoredJob{
		Job: &jobs.Job{ID: "old", Steps: []jobs.Step{step}}, Progress: jobs.Progress{Rev: 1, State: jobs.Running, Items: items},
	}, 0, 0)
	e.LoadJob("new", &jobs.StoredJob{Job: &jobs.Job{ID: "new", Steps: []jobs.Step{step}}}, 0, 0)
	play := func(now, cpu int64, running []pools.RunStatus, ended ...pools.RunEnd) []pools.Order {
		e.SetVMs([]pools.VM{{ID: "a", Service: "s", Addr: "x", CPU: cpu, MemMB: 1000}}, now)
		e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1, Running: running, Ended: ended}, now, now)
		e.MarkStoreReachable(now)
		e.MarkOwnershipConfirmed(now)
		e.Advance(now, now)
		return e.TakeOrders()
	}
	assert.Equal(t, len(play(50, 2*itemCPU, running)), 0, "four runs on a VM that has room for two")
	end := func(i int) pools.RunEnd {
		return pools.RunEnd{Seq: int64(i + 1), Item: jobs.Item{Index: i}.Name("old"), Run: 1, Kind: pools.EndDone}
	}
	assert.Equal(t, len(play(100, 2*itemCPU, running[2:], end(0), end(1))), 0, "two runs left, and no room")
	assert.Equal(t, len(play(150, 2*itemCPU, running[3:], end(2))), 1, "one has ended, one starts")
	assert.Equal(t, len(play(200, 4*itemCPU, running[3:])), 2, "the VM has grown again")
}

// TestUnknownRunsUseCapacity guards against starts beyond the capacity of a VM that does not guard it, beside a run that belongs
// to no item and is being stopped: a late copy of an order, or a start of an earlier owner.
func TestUnknownRunsUseCapacity(t *testing.T) {
	e := newPolledEngine(1, 1000, 1000)
	e.MarkOwnershipConfirmed(10)
	e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{{Count: 1, CPU: 800, MemMB: 10, EstimateMs: 600}}}}, 10, 10)
	replyToPoll(e, 10, 10, pools.RunStatus{Item: "0123456789abcdef.0.0.0", Run: 1, ProgressPercent: 10})
	e.Advance(20, 20)
	for _, o := range e.TakeOrders() {
		assert.Equal(t, o.Kind, pools.Stop, "the unknown run is stopped before anything starts")
	}
	replyToPoll(e, 400, 400)
	e.MarkOwnershipConfirmed(410)
	e.Advance(410, 410)
	orders := e.TakeOrders()
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, pools.Start)
}
