package owner

import (
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/shard"
)

const (
	// adviceTimeout bounds a question to the policy, which may think for a second or two.
	adviceTimeout = 4 * time.Second
	// questionsWaiting bounds the policy queries that wait for the policy; the engine keeps to fewer.
	questionsWaiting = 16
)

// ask hands questions to the loop that asks the policy. A question that finds no room has no answer.
func (r *run) ask(questions []shard.PolicyQuery) {
	for _, q := range questions {
		select {
		case r.questions <- q:
		default:
			r.engine.HandlePolicyReply(q, nil, clock.BootMs())
		}
	}
}

// adviceLoop asks the policy, one question at a time as it answers them.
func (r *run) adviceLoop() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case q := <-r.questions:
			v, err := r.cfg.QueryPolicy(q, time.Now().Add(adviceTimeout))
			if err != nil {
				r.log.Warn("policy has not answered", zap.String("step", q.Step), zap.Error(err))
			}
			r.mu.Lock()
			r.engine.HandlePolicyReply(q, v, clock.BootMs())
			r.mu.Unlock()
			r.signal()
		}
	}
}
