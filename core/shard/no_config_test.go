package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// TestOwnerWithoutConfiguration guards against entries that end again and again with a nil dereference: after a crash of all
// entries in an outage of the operator's topic they owned shards before they had read a configuration. The attempts that
// fail meanwhile count once the configuration tells how many an item has.
func TestOwnerWithoutConfiguration(t *testing.T) {
	e := New(Config{Service: "s", Epoch: 2, StatusRetentionMs: 1000}, nil, 0)
	load := func(id string, failed ...int) {
		e.LoadJob(id, &jobs.StoredJob{
			Job: &jobs.Job{ID: id, Queue: "q", Steps: []jobs.Step{{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 100}}},
			Progress: jobs.Progress{Rev: 3, State: jobs.Running, Items: []jobs.ItemState{
				{Run: len(failed) + 1, Failed: failed, VM: "a", VMBorn: 1},
			}},
		}, 0, 0)
	}
	load("used", 1)
	load("left")
	e.SetVMs([]pools.VM{{ID: "a", Service: "s", Addr: "x", CPU: 1000, MemMB: 100}}, 0)
	play := func(now int64) []pools.Order {
		e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1, Ended: []pools.RunEnd{
			{Seq: 1, Item: "used.0.0.0", Run: 2, Kind: pools.EndFailed}, {Seq: 2, Item: "left.0.0.0", Run: 1, Kind: pools.EndFailed},
		}}, now, now)
		e.MarkStoreReachable(now)
		e.MarkOwnershipConfirmed(now)
		e.Advance(now, now)
		return takeStarts(e)
	}
	for now := int64(10); now < 1000; now += 50 {
		assert.Equal(t, len(play(now)), 0, "nothing starts without a configuration")
	}
	assert.Equal(t, len(e.jobs["used"].orderedItems[0].failedRuns), 2, "the failures are counted")
	e.SetCatalog(&jobs.Catalog{Queues: []jobs.Queue{{Name: "q", Service: "s", MaxAttempts: 2}}})
	starts := play(1000)
	assert.Equal(t, e.jobs["used"].state, jobs.Failed)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Item, "left.0.0.0")
}
