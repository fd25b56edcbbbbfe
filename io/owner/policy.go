package owner

import (
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/shard"
)

const (
	// policyTimeout bounds a query to the policy, which may take a second or two for its reply.
	policyTimeout = 4 * time.Second
	// maxPolicyQueries bounds the queries that wait for the policy. The engine limits itself to fewer.
	maxPolicyQueries = 16
)

// queryPolicy queues queries for policyLoop. A query that finds the queue full is passed back to the engine as unanswered.
// It is called with mu held.
func (r *poolRun) queryPolicy(queries []shard.PolicyQuery) {
	for _, q := range queries {
		select {
		case r.policyQueries <- q:
		default:
			r.engine.HandlePolicyReply(q, nil, clock.BootMs())
		}
	}
}

// policyLoop sends queries to the policy one at a time and passes the replies to the engine.
func (r *poolRun) policyLoop() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case q := <-r.policyQueries:
			reply, err := r.cfg.QueryPolicy(q, time.Now().Add(policyTimeout))
			if err != nil {
				r.log.Warn("policy query failed", zap.String("step", q.StepID), zap.Error(err))
			}
			r.mu.Lock()
			r.engine.HandlePolicyReply(q, reply, clock.BootMs())
			r.mu.Unlock()
			r.signal()
		}
	}
}
