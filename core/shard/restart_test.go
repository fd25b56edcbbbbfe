package shard

import (
	"cmp"
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// restartStep is one step of a case of testdata/restart.toml.
type restartStep struct {
	At int64 // ms since the start of the item
	// Do is what happens to VM "a" or to the last start: its reply ("no reply", "done", "fenced"), a poll with a reply
	// ("poll"), one that another VM answers ("other") or nothing does ("silent"), or a poll that extends the lease ("lease").
	Do       string
	SentAt   int64 // time at which the poll was sent
	Born     int64 // start of the lifetime that answers
	Clock    int64 // its clock, 0 for a reply to a start without one
	Runs     int   // number of the run that it lists, 0 for none
	Ends     int   // number of the run whose end as done it lists, 0 for none
	Busy     bool  // VM "b" takes no work from then on until the next step without Busy
	Open     bool  // the item stays on "a", which may still start it
	Starts   []string
	Complete bool // the job is complete afterwards
}

// restartCase is one case of testdata/restart.toml.
type restartCase struct {
	Name  string
	Clock int64 // clock of "a" at the start of the item, 0 for 500,000
	Step  []restartStep
}

// TestCallsOfTheLastLifetime guards against an item that runs twice around a restart of a VM under its ID: its start was executed
// in the next lifetime after it had started elsewhere, or the VM was cut off, and its run outlived the lease that the owner
// reckoned with, since a poll of the last lifetime had set a deadline that lay far ahead of the new clock.
func TestCallsOfTheLastLifetime(t *testing.T) {
	data, err := os.ReadFile("testdata/restart.toml")
	assert.NilError(t, err)
	var script struct{ Case []restartCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		t.Run(c.Name, c.play)
	}
}

func (c *restartCase) play(t *testing.T) {
	const item, startAt = "j.0.0.0", 100_000 // the earlier owner's leases are over
	e := New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
	listed := []pools.VM{{ID: "a", Service: "s", Addr: "x", CPU: 1000, MemMB: 1000}, {ID: "b", Service: "s", Addr: "y", CPU: 1000, MemMB: 1000}}
	e.SetVMs(listed, startAt-1)
	clock := cmp.Or(c.Clock, 500_000)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: clock, StartedAtMs: 1}, startAt, startAt)
	e.MarkOwnershipConfirmed(startAt)
	e.MarkStoreReachable(startAt)
	e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{{Count: 1, CPU: 800, MemMB: 10, EstimateMs: 60_000}}}}, startAt, startAt)
	e.Advance(startAt, startAt)
	orders := e.TakeOrders()
	assert.Equal(t, len(orders), 1)
	start := orders[0]
	j := e.jobs["j"]
	for i, s := range c.Step {
		now := startAt + s.At
		reply := pools.PollReply{Kind: pools.Done, ClockMs: s.Clock, StartedAtMs: s.Born}
		if s.Runs > 0 {
			reply.Running = []pools.RunStatus{{Item: item, Run: s.Runs, ProgressPercent: int(s.At) % 100}}
		}
		if s.Ends > 0 {
			reply.Ended = []pools.RunEnd{{Seq: 1, Item: item, Run: s.Ends, Kind: pools.EndDone}}
		}
		switch s.Do {
		case "no reply":
			e.HandleOrderReply(start, pools.Reply{Kind: pools.NoReply}, now)
		case "done":
			e.HandleOrderReply(start, pools.Reply{Kind: pools.Done, ClockMs: s.Clock}, now)
		case "fenced":
			e.HandleOrderReply(start, pools.Reply{Kind: pools.Fenced}, now)
		case "poll":
			e.HandlePollReply("a", reply, startAt+s.SentAt, now)
		case "other":
			e.HandlePollReply("a", pools.PollReply{Kind: pools.OtherLifetime}, startAt+s.SentAt, now)
		case "silent":
			e.HandlePollFailure("a", now)
		case "lease":
			_, ok := e.NextPoll("a", now)
			assert.Assert(t, ok)
		}
		listed[1].Draining = s.Busy
		e.SetVMs(listed, now)
		e.HandlePollReply("b", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1, Running: e.runsOn("b")}, now, now)
		e.MarkOwnershipConfirmed(now)
		e.MarkStoreReachable(now)
		e.Advance(now, now)
		b, err := e.NextBatch()
		assert.NilError(t, err)
		orders := e.TakeOrders()
		if b != nil {
			orders = append(orders, e.HandleBatchStored(b, now)...)
		}
		var starts []string
		for _, o := range orders {
			if o.Kind == pools.Start {
				start, starts = o, append(starts, o.VM)
			}
		}
		assert.DeepEqual(t, starts, s.Starts)
		if s.Open || s.Runs > 0 {
			assert.Equal(t, j.orderedItems[0].vm, e.vms["a"], "step %d", i)
			assert.Equal(t, j.orderedItems[0].run, 1, "step %d", i)
		}
		assert.Equal(t, j.state == jobs.Complete, s.Complete, "step %d", i)
		assert.Assert(t, !e.Fenced())
	}
}

// runsOn returns the items on a VM as it lists them.
func (e *Engine) runsOn(id string) []pools.RunStatus {
	var list []pools.RunStatus
	for _, it := range e.vms[id].runs {
		list = append(list, pools.RunStatus{Item: it.name, Run: it.run})
	}
	return list
}

// TestNewOwnerCountsLeasesOfEarlierLifetimes guards against a run that outlives the lease that a new owner reckons with: the VM
// restarted shortly before the takeover, took a deadline of its last lifetime, and was cut off after the new owner's first start.
func TestNewOwnerCountsLeasesOfEarlierLifetimes(t *testing.T) {
	const takenOverAt, polledAt = 100_000, 101_000
	e := New(Config{Service: "s", Epoch: 2, StatusRetentionMs: 1000}, &jobs.Catalog{}, takenOverAt)
	e.SetVMs([]pools.VM{{ID: "a", Service: "s", Addr: "x", CPU: 1000, MemMB: 1000}}, takenOverAt)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 3000, StartedAtMs: 1}, polledAt, polledAt)
	e.MarkOwnershipConfirmed(polledAt)
	e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{{Count: 1, CPU: 800, MemMB: 10, EstimateMs: 60_000}}}}, polledAt, polledAt)
	e.Advance(polledAt, polledAt)
	e.HandleOrderReply(e.TakeOrders()[0], pools.Reply{Kind: pools.Done}, polledAt+2)
	e.HandlePollFailure("a", polledAt+100)
	for _, c := range []struct {
		at   int64
		lost bool
	}{{polledAt + maxLeaseMs - 100, false}, {polledAt + maxLeaseMs*100/98 + 200, true}} {
		e.Advance(c.at, c.at)
		assert.Equal(t, e.jobs["j"].orderedItems[0].vm == nil, c.lost, "at %d ms", c.at)
	}
}

// TestFenceNumbersOfAVMRise guards against calls with a lower fence number than the VM has seen from this owner, who would then
// give the shard up, and against a number that a later owner may have: the VM's entry lapses and comes back.
func TestFenceNumbersOfAVMRise(t *testing.T) {
	e := New(Config{Service: "s", Epoch: 7, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
	listed := []pools.VM{{ID: "a", Service: "s", Addr: "x", CPU: 1000, MemMB: 1000}}
	last := int64(7 * fenceNumbersPerEpoch)
	fence := func(now int64) int64 {
		req, ok := e.NextPoll("a", now)
		assert.Assert(t, ok)
		return req.Fence
	}
	for _, step := range []func(){
		func() { e.SetVMs(listed, 1) },
		func() { e.HandlePollFailure("a", 2) },
		func() {
			e.SetVMs(nil, 3)
			e.SetVMs(nil, 4+missingListingMs)
			e.SetVMs(listed, 5+missingListingMs)
		},
	} {
		step()
		n := fence(10_000)
		assert.Assert(t, n > last && n < 8*fenceNumbersPerEpoch, "%d after %d", n, last)
		last = n
	}
}

// TestPollDoesNotReleasePlannedStarts guards against items that never start: a start that waits for its record counted as missing at
// each poll, as the number of the VM's last fence was higher than that of the item's earlier run. 15 jobs of a pool stood still.
func TestPollDoesNotReleasePlannedStarts(t *testing.T) {
	e := New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
	e.SetVMs([]pools.VM{{ID: "a", Service: "s", Addr: "x", CPU: 1000, MemMB: 1000}}, 0)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: 1}, 1, 1)
	e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 600}}}}, 10, 10)
	const now = 10 * earlyStartConfirmationMs // so that the start waits for its record
	e.MarkStoreReachable(now)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1}, now, now)
	e.Advance(now, now)
	assert.Equal(t, len(e.TakeOrders()), 0)
	b, err := e.NextBatch()
	assert.NilError(t, err)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: now + 5, StartedAtMs: 1}, now+5, now+5)
	orders := e.HandleBatchStored(b, now+10)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, pools.Start)
}
