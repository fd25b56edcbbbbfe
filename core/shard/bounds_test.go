package shard

import (
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// boundsCase is one case of testdata/bounds.toml, in milliseconds.
type boundsCase struct {
	HoldMaxMs, RestoreMs                    int64
	Lease, EarlierLease, OpenStart, Startup int64
}

// TestBoundsFollowFromTheLongestLease guards against waits that were computed for another longest lease: too short ones let an item
// run twice, too long ones keep it from starting after a takeover. Without a setting all times stay as they were.
func TestBoundsFollowFromTheLongestLease(t *testing.T) {
	data, err := os.ReadFile("testdata/bounds.toml")
	assert.NilError(t, err)
	var script struct{ Case []boundsCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		b := newBounds(&Config{HoldMaxMs: c.HoldMaxMs, RestoreMs: c.RestoreMs})
		assert.Equal(t, b.leaseMs, c.Lease)
		assert.Equal(t, b.earlierLeaseMs, c.EarlierLease)
		assert.Equal(t, b.openStartMs, c.OpenStart)
		assert.Equal(t, b.maxStartupMs, c.Startup)
		c.checkTakeover(t)
	}
}

// checkTakeover takes over a shard with one item on a VM that is silent. The item starts elsewhere once no lease can be outstanding.
func (c *boundsCase) checkTakeover(t *testing.T) {
	const takenOverAt = 100_000
	e := New(Config{Service: "s", Epoch: 2, StatusRetentionMs: 1000, HoldMaxMs: c.HoldMaxMs}, &jobs.Catalog{}, takenOverAt)
	e.LoadJob("j", &jobs.StoredJob{
		Job:      &jobs.Job{ID: "j", Steps: []jobs.Step{{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 600}}},
		Progress: jobs.Progress{State: jobs.Running, Items: []jobs.ItemState{{Run: 1, VM: "a"}}},
	}, takenOverAt, takenOverAt)
	e.RequireInitialPolls(takenOverAt)
	e.SetVMs([]pools.VM{
		{ID: "a", Service: "s", Addr: "a", CPU: 1000, MemMB: 1000}, {ID: "b", Service: "s", Addr: "b", CPU: 1000, MemMB: 1000},
	}, takenOverAt)
	e.HandlePollFailure("a", takenOverAt)
	const tolerance = 2 * tickIntervalMs
	for at := int64(0); at < c.EarlierLease+tolerance; at += tickIntervalMs {
		now := takenOverAt + at
		e.HandlePollReply("b", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1}, now, now)
		e.MarkStoreReachable(now)
		e.MarkOwnershipConfirmed(now)
		e.Advance(now, now)
		for _, o := range e.TakeOrders() {
			assert.Assert(t, o.Kind == pools.Start && o.VM == "b" && at >= c.EarlierLease, "%v after %d ms", o, at)
			return
		}
	}
	t.Fatalf("no start within %d ms of a takeover", c.EarlierLease+tolerance)
}
