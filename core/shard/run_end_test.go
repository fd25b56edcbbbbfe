package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// TestFailedRunsOfAnEarlierOwnerCount guards against an item that starts once more than its queue allows. The earlier
// owner was lost before it recorded two failed runs, and the VMs list these in another order.
func TestFailedRunsOfAnEarlierOwnerCount(t *testing.T) {
	e := New(Config{Service: "s", Epoch: 2, StatusRetentionMs: 1000}, &jobs.Catalog{Queues: []jobs.Queue{{Name: "q", MaxAttempts: 3}}}, 0)
	e.LoadJob("j", &jobs.StoredJob{
		Job: &jobs.Job{ID: "j", Queue: "q", Steps: []jobs.Step{{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 100}}},
		Progress: jobs.Progress{Rev: 3, State: jobs.Running, Items: []jobs.ItemState{
			{Run: 1, Failed: []int{1}},
		}},
	}, 0, 0)
	list := []pools.VM{
		{ID: "a", Service: "s", Addr: "x", CPU: 1000, MemMB: 100}, {ID: "b", Service: "s", Addr: "x", CPU: 1000, MemMB: 100},
	}
	e.SetVMs(list, 0)
	e.RequireInitialPolls(0)
	e.SetMachines(machinesOf("a", "b"), 0, 0)
	end := func(vm string, seq int64, run int) {
		e.HandlePollReply(vm, pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: 1, Ended: []pools.RunEnd{
			{Seq: seq, Item: "j.0.0.0", Run: run, Kind: pools.EndFailed},
		}}, 0, 10)
	}
	end("b", 1, 3)
	end("a", 4, 2)
	end("a", 5, 1) // listed again although it is recorded
	assert.Equal(t, e.jobs["j"].state, jobs.Failed)
	e.Advance(20, 20)
	assert.Equal(t, len(e.TakeOrders()), 0, "nothing starts any more")
}
