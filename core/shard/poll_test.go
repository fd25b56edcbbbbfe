package shard

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// TestIdleVMsOfALargePoolArePolledLess guards against an owner that spends its CPU on polling VMs that run nothing (91%
// of 0.4 core at 2,000 VMs), and against VMs that get no work because they are polled less often.
func TestIdleVMsOfALargePoolArePolledLess(t *testing.T) {
	for _, c := range []struct {
		vms  int
		wait int64
	}{{100, PollWaitMs}, {largePoolVMs + 100, idlePollWaitMs}} {
		e := New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
		var list []pools.VM
		for i := range c.vms {
			list = append(list, pools.VM{ID: fmt.Sprint("vm-", i), Service: "s", Addr: "x", CPU: 1000, MemMB: 1000})
		}
		e.SetVMs(list, 0)
		for _, v := range list {
			e.HandlePollReply(v.ID, pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: 1}, 0, 0)
		}
		idle := list[1].ID
		call, ok := e.NextPoll(idle, 10)
		assert.Assert(t, ok)
		assert.Equal(t, call.WaitMs, c.wait)
		v := e.vms[idle]
		assert.Assert(t, v.usable(10+c.wait+100), "a VM may be used while the reply to its poll is not late")
		assert.Assert(t, !v.usable(10+c.wait+vmSilenceMs), "a VM that no longer answers gets no work")
		e.vms[idle].attach(&item{name: "j.0.0.0", job: &job{Job: &jobs.Job{}}, stepDef: &jobs.Step{CPU: 100, MemMB: 10}})
		call, _ = e.NextPoll(idle, 20)
		assert.Equal(t, call.WaitMs, int64(PollWaitMs), "a VM that runs something is polled as often in any pool")
	}
}

// TestStallIsMeasuredBetweenPolls guards against a run that counts as stalled because polls were late. A poll right
// after the start and one 0.4 s later reported the same progress, and the next one came a second later. 1,694 runs were
// stopped.
func TestStallIsMeasuredBetweenPolls(t *testing.T) {
	e := newPolledEngine(1, 1000, 1000)
	e.MarkOwnershipConfirmed(10)
	e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 600}}}}, 10, 10)
	e.Advance(10, 10)
	o := e.TakeOrders()[0]
	e.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, 12)
	status := pools.RunStatus{Item: o.Item, Run: o.Run, ProgressPercent: 30}
	replyToPoll(e, 20, 20, status)
	replyToPoll(e, 420, 420, status)
	e.tick(1580, 1580)
	assert.Equal(t, len(e.TakeOrders()), 0, "no poll covers more than 0.4 s")
	replyToPoll(e, 1700, 1700, status)
	e.tick(1710, 1710)
	orders := e.TakeOrders()
	assert.Equal(t, len(orders), 1, "three polls over 1.7 s show no progress")
	assert.Equal(t, orders[0].Kind, pools.Stop)
}

// TestNewOwnerWaitsForEarlierStops guards against a new owner that stops an item while another one of its step is
// being stopped by the earlier owner. The VM reports that run at work until the stop is executed. The budget of the step
// was exceeded once, 0.2 s after a planned handover.
func TestNewOwnerWaitsForEarlierStops(t *testing.T) {
	const stopMs = 900
	e := New(Config{Service: "s", Epoch: 2, StatusRetentionMs: 1000, StopEffectMs: stopMs}, &jobs.Catalog{}, 0)
	e.MarkOwnershipConfirmed(0)
	var list []pools.VM
	states := []jobs.ItemState{}
	for i, id := range []string{"a", "b", "c"} {
		list = append(list, pools.VM{ID: id, Service: "s", Addr: "x", CPU: 1000, MemMB: 1000})
		states = append(states, jobs.ItemState{Index: i, Run: 1, VM: id, VMBorn: 1})
	}
	e.LoadJob("j", &jobs.StoredJob{
		Job:      &jobs.Job{ID: "j", Steps: []jobs.Step{{Count: 3, CPU: 800, MemMB: 10, Persistent: true, Budget: 1}}},
		Progress: jobs.Progress{Rev: 1, State: jobs.Running, Items: states},
	}, 0, 0)
	e.SetVMs(list, 0)
	e.SetVMsToVacate([]string{"b"})
	pollAll := func(now int64, ended bool) {
		for i, v := range list {
			l := pools.PollReply{Kind: pools.Done, ClockMs: now + 1, StartedAtMs: 1}
			name := jobs.Item{Index: i}.Name("j")
			if ended && i == 0 {
				l.Ended = []pools.RunEnd{{Seq: 1, Item: name, Run: 1, Kind: pools.EndStopped}}
			} else {
				l.Running = []pools.RunStatus{{Item: name, Run: 1, ProgressPercent: 100}}
			}
			e.HandlePollReply(v.ID, l, now, now)
		}
		e.MarkOwnershipConfirmed(now)
		e.Advance(now, now)
	}
	stops := func() (n int) {
		for _, o := range e.TakeOrders() {
			if o.Kind == pools.Stop {
				n++
			}
		}
		return n
	}
	pollAll(50, false) // the earlier owner's stop of a's run is in progress
	pollAll(400, false)
	pollAll(850, false)
	assert.Equal(t, stops(), 0, "a run that an earlier owner may have stopped counts as at work")
	pollAll(900, true) // the stop is executed
	pollAll(1200, true)
	assert.Equal(t, stops(), 0, "b's run is stopped while a's is away")
}

// TestStartingPersistentItemIsPolledSoon guards against a wave that ends late: the items of a step with a budget of one are
// moved one after the other, and each was seen at work up to 0.7 s late. With nine of them the last machine was not due
// in time.
func TestStartingPersistentItemIsPolledSoon(t *testing.T) {
	e := newPolledEngine(1, 1000, 1000)
	e.MarkOwnershipConfirmed(10)
	e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{
		{Count: 1, CPU: 100, MemMB: 10, Persistent: true, Budget: 1},
	}}}, 10, 10)
	e.Advance(10, 10)
	o := e.TakeOrders()[0]
	e.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, 12)
	waitMs := func(now int64) int64 {
		call, ok := e.NextPoll("a", now)
		assert.Assert(t, ok)
		return call.WaitMs
	}
	assert.Equal(t, waitMs(20), int64(startupPollWaitMs))
	replyToPoll(e, 120, 120, pools.RunStatus{Item: o.Item, Run: o.Run, ProgressPercent: 100})
	assert.Equal(t, waitMs(130), int64(PollWaitMs), "the item is at work")
	e.vms["a"].runs[o.Item].progressPercent = 0
	assert.Equal(t, waitMs(12+maxStartupMs), int64(PollWaitMs), "the item does not get to work")
}

// longPageEngine returns an engine on whose VM "a" n items of a job have been started at time 10, with the names of the items.
func longPageEngine(t *testing.T, n int) (e *Engine, items []string) {
	t.Helper()
	e = newPolledEngine(1, int64(n), int64(n))
	e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{{Count: n, CPU: 1, MemMB: 1, EstimateMs: 600}}}}, 10, 10)
	for len(items) < n {
		e.MarkOwnershipConfirmed(10)
		e.Advance(10, 10)
		orders := e.TakeOrders()
		assert.Assert(t, len(orders) > 0)
		for _, o := range orders {
			e.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, 11)
			items = append(items, o.Item)
		}
	}
	return e, items
}

// endsOf returns the ends as done of the first runs of items, the first of which has the sequence number first.
func endsOf(items []string, first int) []pools.RunEnd {
	ends := make([]pools.RunEnd, len(items))
	for i, item := range items {
		ends[i] = pools.RunEnd{Seq: int64(first + i), Item: item, Run: 1, Kind: pools.EndDone}
	}
	return ends
}

// TestEndsBeyondThePageAreNotMissing guards against an item that starts again after it has ended as done. A VM lists 500 ends at
// a time, and in an outage of the store none is acknowledged. The runs whose ends were not listed yet counted as missing.
func TestEndsBeyondThePageAreNotMissing(t *testing.T) {
	const n, page = 600, 500
	e, items := longPageEngine(t, n)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 700, StartedAtMs: 1, Ended: endsOf(items[:page], 1), MoreEnds: true}, 700, 700)
	e.Advance(710, 710)
	assert.Equal(t, len(e.TakeOrders()), 0, "no item starts again")
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 2200, StartedAtMs: 1, Ended: endsOf(items[:page], 1), MoreEnds: true}, 2200, 2200)
	e.Advance(2210, 2210)
	assert.Equal(t, len(e.TakeOrders()), 0, "no run counts as stalled")
	b, err := e.NextBatch()
	assert.NilError(t, err)
	e.HandleBatchStored(b, 720)
	req, ok := e.NextPoll("a", 730)
	assert.Assert(t, ok)
	assert.Equal(t, req.AckedSeq, int64(page))
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 730, StartedAtMs: 1, Ended: endsOf(items[page:], page+1)}, 730, 730)
	assert.Equal(t, e.jobs["j"].state, jobs.Complete)
}

// TestNewOwnerWaitsForFurtherEnds guards against the same at a takeover: an item of which no start is recorded started again,
// although its end was among those that the VM had not listed yet.
func TestNewOwnerWaitsForFurtherEnds(t *testing.T) {
	const takenOverAt = 100_000
	e := New(Config{Service: "s", Epoch: 2, StatusRetentionMs: 1000}, &jobs.Catalog{}, takenOverAt)
	e.LoadJob("j", &jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 600}}}}, takenOverAt, takenOverAt)
	e.RequireInitialPolls(takenOverAt)
	e.SetVMs([]pools.VM{{ID: "a", Service: "s", Addr: "x", CPU: 1000, MemMB: 1000}}, takenOverAt)
	e.SetMachines(machinesOf("a"), takenOverAt, takenOverAt+1)
	advance := func(now int64) []pools.Order {
		e.MarkOwnershipConfirmed(now)
		e.MarkStoreReachable(now)
		e.Advance(now, now)
		return e.TakeOrders()
	}
	e.HandlePollReply("a", pools.PollReply{
		Kind: pools.Done, ClockMs: 1, StartedAtMs: 1, Ended: endsOf([]string{"other.0.0.0"}, 1), MoreEnds: true,
	}, takenOverAt+2, takenOverAt+3)
	assert.Equal(t, len(advance(takenOverAt+50)), 0)
	e.SetMachines(machinesOf("a"), takenOverAt+60, takenOverAt+61)
	assert.Equal(t, len(advance(takenOverAt+100)), 0, "a later list of the machines doesn't end the wait")
	e.HandlePollReply("a", pools.PollReply{
		Kind: pools.Done, ClockMs: 1, StartedAtMs: 1, Ended: endsOf([]string{"j.0.0.0"}, 2),
	}, takenOverAt+110, takenOverAt+111)
	assert.Equal(t, len(advance(takenOverAt+150)), 0)
	assert.Equal(t, e.jobs["j"].state, jobs.Complete)
}
