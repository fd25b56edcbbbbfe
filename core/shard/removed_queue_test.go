package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// TestJobOfARemovedQueueKeepsItsLimits guards against a job that can never be done and is started without end, or without a
// token of the policy, once its queue has been removed from the configuration.
func TestJobOfARemovedQueueKeepsItsLimits(t *testing.T) {
	const attempts = 2
	e := newPolledEngine(1, 1000, 1000)
	e.catalog = &jobs.Catalog{Queues: []jobs.Queue{{Name: "other", Service: "s"}}}
	submit := func(id string, checked bool) {
		e.Submit(&jobs.StoredJob{Job: &jobs.Job{
			ID: id, Queue: "removed", MaxAttempts: attempts, PolicyChecked: checked,
			Steps: []jobs.Step{{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 100}},
		}}, 0, 0)
	}
	submit("hopeless", false)
	submit("checked", true)
	now, starts := int64(0), 0
	for range 10 {
		now += 100
		e.MarkStoreReachable(now)
		e.MarkOwnershipConfirmed(now)
		e.Advance(now, now)
		for _, o := range takeStarts(e) {
			assert.Equal(t, o.JobID, "hopeless", "a policy-checked step starts without a token")
			starts++
			e.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, now)
			e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1, Ended: []pools.RunEnd{
				{Seq: int64(starts), Item: o.Item, Run: o.Run, Kind: pools.EndFailed},
			}}, now, now)
		}
	}
	assert.Equal(t, starts, attempts)
	assert.Equal(t, e.jobs["hopeless"].state, jobs.Failed)
	assert.Equal(t, len(e.TakePolicyQueries()), 1, "the policy is asked")
}
