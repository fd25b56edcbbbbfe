package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// TestStartsFollowTheirAnswers guards against an owner that sends more starts than its processor or its link can follow:
// polls then come so late that leases of running items lapse (AVAIL 41 on the small twin of the large site's calm day).
func TestStartsFollowTheirAnswers(t *testing.T) {
	f := flow{window: 1000}
	for now := int64(0); now < 1000; now += windowEvery {
		f.open = 900
		for range 60 {
			f.answered(now-slowStartMs-1, now)
			f.answered(now-10, now)
		}
		f.judge(now + windowEvery)
	}
	assert.Assert(t, f.window < 100, "%d starts may be under way though half of them are answered late", f.window)
	f.window = 100
	for now := int64(2000); now < 4000; now += windowEvery {
		f.open = f.window
		for i := range 100 {
			sent := now - 10
			if i < slowShare/2 {
				sent = now - 300 // a dark rack
			}
			f.answered(sent, now)
		}
		f.judge(now + windowEvery)
	}
	assert.Assert(t, f.window > 500, "only %d starts may be under way though most are answered at once", f.window)
}

// TestPoolStartsWhatItsWindowAllows guards against a turn that starts everything that fits: the rest waits for answers.
func TestPoolStartsWhatItsWindowAllows(t *testing.T) {
	e := poolOf(20, 100_000, 100_000)
	e.MarkOwnershipConfirmed(10)
	for _, id := range []string{"j1", "j2", "j3", "j4"} {
		e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: id, Steps: []jobs.Step{
			{Count: 50, CPU: 100, MemMB: 10, EstimateMs: 500},
		}}}, 10, 10)
	}
	e.Step(10, 10)
	orders := e.TakeOrders()
	assert.Assert(t, len(orders) >= windowFirst && len(orders) < windowFirst+50, "%d starts", len(orders))
	e.Step(20, 20)
	assert.Equal(t, len(e.TakeOrders()), 0)
	for _, o := range orders {
		e.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, 30)
	}
	e.Step(60, 60)
	assert.Assert(t, len(e.TakeOrders()) > 0)
}

// unanswered starts one item on one VM, and has no answer come.
func unanswered(t *testing.T, step jobs.Step) (*Engine, pools.Order) {
	t.Helper()
	e := poolOf(1, 1000, 1000)
	e.MarkOwnershipConfirmed(10)
	e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{step}}}, 10, 10)
	e.Step(10, 10)
	orders := e.TakeOrders()
	assert.Equal(t, len(orders), 1)
	e.HandleOrderReply(orders[0], pools.Reply{Kind: pools.NoReply}, 310)
	return e, orders[0]
}

// seen shows the engine its VM with some runs.
func seen(e *Engine, clock, begun int64, rows ...pools.RunStatus) {
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: clock, StartedAtMs: 1, Running: rows}, begun, begun)
}

// TestUnansweredStartIsAskedFor guards against an item that is ended since the answer to its start came late, and against a
// lasting one that is stopped though it may be at work (AVAIL on the small twin, when starts were answered after 0.3 s).
func TestUnansweredStartIsAskedFor(t *testing.T) {
	for _, step := range []jobs.Step{
		{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 500},
		{Count: 1, CPU: 100, MemMB: 10, Persistent: true, Budget: 1},
	} {
		e, o := unanswered(t, step)
		assert.Equal(t, len(e.TakeOrders()), 0, "nothing is stopped before the VM was asked")
		seen(e, 320, 320, pools.RunStatus{Item: o.Item, Run: o.Run, Percent: 10})
		assert.Equal(t, e.jobs["j"].order[0].phase, running)
		assert.Equal(t, len(e.TakeOrders()), 0)
	}
}

// TestUnseenStartIsSettled guards against an item that waits for ever for a start that is lost: it is barred and
// starts elsewhere.
func TestUnseenStartIsSettled(t *testing.T) {
	e, _ := unanswered(t, jobs.Step{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 500})
	seen(e, 320, 300)
	assert.Equal(t, len(e.TakeOrders()), 0, "the look was sent before the start counted as unanswered")
	seen(e, 330, 320)
	orders := e.TakeOrders()
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, pools.Stop)
}

// TestUnseenLastingStartWaitsForItsLease guards against a lasting item that runs twice or is stopped while it is at work: its
// lost start may be carried out until the VM would refuse it.
func TestUnseenLastingStartWaitsForItsLease(t *testing.T) {
	e, o := unanswered(t, jobs.Step{Count: 1, CPU: 100, MemMB: 10, Persistent: true, Budget: 1})
	seen(e, o.LeaseEndMs-1, 1000)
	assert.Equal(t, e.jobs["j"].order[0].phase, sent)
	seen(e, o.LeaseEndMs+1, 1700)
	assert.Equal(t, e.jobs["j"].order[0].phase, idle)
	assert.Equal(t, len(e.TakeOrders()), 0)
}
