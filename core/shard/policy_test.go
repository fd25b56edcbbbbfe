package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// TestPolicyCheckedStepsRunOnAllowedVMs guards against starts without a policy token, on a VM that the policy did not
// allow, or with a token that has expired or was refused.
func TestPolicyCheckedStepsRunOnAllowedVMs(t *testing.T) {
	e := newPolledEngine(2, 32_000, 128_000)
	e.catalog = &jobs.Catalog{Queues: []jobs.Queue{{Name: "q", Service: "s", PolicyChecked: true, MaxAttempts: 3}}}
	e.MarkOwnershipConfirmed(0)
	e.LoadJob("j", &jobs.StoredJob{Job: &jobs.Job{ID: "j", Queue: "q", Steps: []jobs.Step{
		{Count: 1, CPU: 1000, MemMB: 10, EstimateMs: 100},
	}}}, 0, 0)
	e.Advance(10, 10)
	assert.Equal(t, len(takeStarts(e)), 0, "nothing starts without a token")
	q := e.TakePolicyQueries()
	assert.Equal(t, len(q), 1)
	assert.Equal(t, q[0].StepID, "j.0.0")
	assert.Equal(t, len(q[0].VMs), 2)
	e.Advance(20, 20)
	assert.Equal(t, len(e.TakePolicyQueries()), 0, "the policy is asked once")
	e.HandlePolicyReply(q[0], &PolicyReply{Tokens: map[string]string{"b": "t1"}, ValidMs: 2000}, 30)
	e.Advance(40, 40)
	list := takeStarts(e)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].VM, "b")
	assert.Equal(t, list[0].Token, "t1")
	e.HandleOrderReply(list[0], pools.Reply{Kind: pools.InvalidToken}, 50)
	e.Advance(400, 400)
	assert.Equal(t, len(takeStarts(e)), 0, "a refused token is not used again")
	assert.Equal(t, len(e.TakePolicyQueries()), 1, "the policy is asked again")
}

// takeStarts returns the starts that are due, and discards the other orders.
func takeStarts(e *Engine) []pools.Order {
	var list []pools.Order
	for _, o := range e.TakeOrders() {
		if o.Kind == pools.Start {
			list = append(list, o)
		}
	}
	return list
}
