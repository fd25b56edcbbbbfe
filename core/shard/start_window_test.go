package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// TestStartWindowFollowsReplyLatency guards against an owner that sends more starts than its CPU or connection can
// handle. Polls are then so late that leases of running items expire, and the budgets of steps were exceeded 41
// times.
func TestStartWindowFollowsReplyLatency(t *testing.T) {
	f := startWindow{size: 1000}
	for now := int64(0); now < 1000; now += windowIntervalMs {
		f.unanswered = 900
		for range 60 {
			f.recordReply(now-slowStartMs-1, now)
			f.recordReply(now-10, now)
		}
		f.adapt(now + windowIntervalMs)
	}
	assert.Assert(t, f.size < 100, "%d starts may be unanswered although half of them are answered late", f.size)
	f.size = 100
	for now := int64(2000); now < 4000; now += windowIntervalMs {
		f.unanswered = f.size
		for i := range 100 {
			sent := now - 10
			if i < maxSlowPercent/2 {
				sent = now - 300 // a rack that does not answer
			}
			f.recordReply(sent, now)
		}
		f.adapt(now + windowIntervalMs)
	}
	assert.Assert(t, f.size > 500, "only %d starts may be unanswered although most are answered at once", f.size)
}

// TestStartsAreLimitedByTheWindow guards against a call of Engine.Advance that starts everything that fits. The rest has to
// wait for replies.
func TestStartsAreLimitedByTheWindow(t *testing.T) {
	e := newPolledEngine(20, 100_000, 100_000)
	e.MarkOwnershipConfirmed(10)
	for _, id := range []string{"j1", "j2", "j3", "j4"} {
		e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: id, Steps: []jobs.Step{
			{Count: 50, CPU: 100, MemMB: 10, EstimateMs: 500},
		}}}, 10, 10)
	}
	e.Advance(10, 10)
	orders := e.TakeOrders()
	assert.Assert(t, len(orders) >= initialWindow && len(orders) < initialWindow+50, "%d starts", len(orders))
	e.Advance(20, 20)
	assert.Equal(t, len(e.TakeOrders()), 0)
	for _, o := range orders {
		e.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, 30)
	}
	e.Advance(60, 60)
	assert.Assert(t, len(e.TakeOrders()) > 0)
}

// startWithoutReply starts one item on one VM, and reports that the start had no reply.
func startWithoutReply(t *testing.T, step jobs.Step) (*Engine, pools.Order) {
	t.Helper()
	e := newPolledEngine(1, 1000, 1000)
	e.MarkOwnershipConfirmed(10)
	e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{step}}}, 10, 10)
	e.Advance(10, 10)
	orders := e.TakeOrders()
	assert.Equal(t, len(orders), 1)
	e.HandleOrderReply(orders[0], pools.Reply{Kind: pools.NoReply}, 310)
	return e, orders[0]
}

// storeBatch stores the next batch of the engine and returns the orders that waited for it.
func storeBatch(t *testing.T, e *Engine, now int64) []pools.Order {
	t.Helper()
	b, err := e.NextBatch()
	assert.NilError(t, err)
	assert.Assert(t, b != nil)
	return e.HandleBatchStored(b, now)
}

// replyToPoll passes the engine a poll reply of its VM that lists some runs.
func replyToPoll(e *Engine, clock, sentAt int64, runs ...pools.RunStatus) {
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: clock, StartedAtMs: 1, Running: runs}, sentAt, sentAt)
}

// TestUnansweredStartIsResolvedByPoll guards against an item that is stopped because the reply to its start was late,
// above all a persistent one that may be at work, whose budget is then exceeded. Starts were answered after 0.3 s. Seen
// on the small twin of a site.
func TestUnansweredStartIsResolvedByPoll(t *testing.T) {
	for _, step := range []jobs.Step{
		{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 500},
		{Count: 1, CPU: 100, MemMB: 10, Persistent: true, Budget: 1},
	} {
		e, o := startWithoutReply(t, step)
		assert.Equal(t, len(e.TakeOrders()), 0, "nothing is stopped before the VM was polled")
		replyToPoll(e, 320, 320, pools.RunStatus{Item: o.Item, Run: o.Run, ProgressPercent: 10})
		assert.Equal(t, e.jobs["j"].orderedItems[0].phase, running)
		assert.Equal(t, len(e.TakeOrders()), 0)
		assert.Equal(t, len(e.openItems), 0, "the start was executed, so that it can't be executed again")
	}
}

// TestUnlistedStartIsRepeated guards against an item that waits forever for a start that was lost, and against one that starts
// elsewhere while its VM may still execute that start behind a restart.
func TestUnlistedStartIsRepeated(t *testing.T) {
	for _, persistent := range []bool{false, true} {
		e, first := startWithoutReply(t, jobs.Step{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 500, Persistent: persistent, Budget: 1})
		e.SetVMs([]pools.VM{{ID: "a", Service: "s", Addr: "x", CPU: 1000, MemMB: 1000}, {ID: "b", Service: "s", Addr: "y", CPU: 1000, MemMB: 1000}}, 310)
		e.HandlePollReply("b", pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: 1}, 311, 311)
		replyToPoll(e, 320, 300)
		assert.Equal(t, len(e.TakeOrders()), 0, "the poll was sent before the start counted as unanswered")
		replyToPoll(e, 330, 320)
		e.Advance(331, 331)
		assert.Equal(t, len(e.TakeOrders()), 0, "the log does not name the open start yet")
		orders := storeBatch(t, e, 335)
		assert.Equal(t, len(orders), 1)
		o := orders[0]
		assert.Assert(t, o.Kind == pools.Start && o.VM == "a" && o.Run == first.Run && o.DeadlineMs > first.DeadlineMs, "%+v", o)
		e.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, 340)
		assert.Equal(t, e.jobs["j"].orderedItems[0].phase, running)
	}
}

// TestRepeatedStartOfAnEndedRun guards against an item that runs again although a copy of its start was executed: its run had
// ended before the next copy, which the VM therefore refused.
func TestRepeatedStartOfAnEndedRun(t *testing.T) {
	e, _ := startWithoutReply(t, jobs.Step{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 500})
	replyToPoll(e, 330, 320)
	o := storeBatch(t, e, 335)[0]
	e.HandleOrderReply(o, pools.Reply{Kind: pools.StaleRun}, 340)
	e.Advance(341, 341)
	assert.Equal(t, len(e.TakeOrders()), 0)
	e.HandlePollReply("a", pools.PollReply{
		Kind: pools.Done, ClockMs: 350, StartedAtMs: 1, Ended: []pools.RunEnd{{Seq: 1, Item: o.Item, Run: o.Run, Kind: pools.EndDone}},
	}, 345, 350)
	e.Advance(351, 351)
	assert.Equal(t, len(e.TakeOrders()), 0)
	assert.Equal(t, e.jobs["j"].state, jobs.Complete)
}

// TestUnlistedStartOnADrainingVM guards against a start on a VM that is to take no work, and against a persistent item that
// runs twice or is stopped while it is at work: its lost start may be executed until the VM would refuse it.
func TestUnlistedStartOnADrainingVM(t *testing.T) {
	draining := []pools.VM{{ID: "a", Service: "s", Addr: "x", CPU: 1000, MemMB: 1000, Draining: true}}
	e, _ := startWithoutReply(t, jobs.Step{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 500})
	e.SetVMs(draining, 310)
	replyToPoll(e, 330, 320)
	orders := e.TakeOrders()
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, pools.Stop)

	e, o := startWithoutReply(t, jobs.Step{Count: 1, CPU: 100, MemMB: 10, Persistent: true, Budget: 1})
	e.SetVMs(draining, 310)
	replyToPoll(e, o.DeadlineMs-1, 1000)
	assert.Equal(t, e.jobs["j"].orderedItems[0].phase, sent)
	replyToPoll(e, o.DeadlineMs+1, 1700)
	assert.Equal(t, e.jobs["j"].orderedItems[0].phase, idle)
	assert.Equal(t, len(e.TakeOrders()), 0)
}
