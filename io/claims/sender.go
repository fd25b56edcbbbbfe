package claims

import (
	"context"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/dedup"
	"sassafrasvalve/io/wire"
)

// sender sends the pending messages for one member until they are acknowledged or the member is removed.
type sender struct {
	n      *Node
	to     string
	wake   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
}

// newSender starts the sender for a member. It is called with mu held.
func (n *Node) newSender(to string) *sender {
	s := &sender{n: n, to: to, wake: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(n.ctx)
	n.wg.Add(1)
	go s.run()
	return s
}

func (s *sender) run() {
	defer s.n.wg.Done()
	defer s.cancel()
	for s.ctx.Err() == nil {
		sent, ok := s.send()
		switch {
		case !ok:
			wire.Sleep(s.ctx, retryPause)
		case !sent:
			select {
			case <-s.wake:
			case <-s.ctx.Done():
			}
		}
	}
}

// send sends one round of the pending messages. It returns whether there were any, and whether all of them succeeded.
func (s *sender) send() (sent, ok bool) {
	s.n.mu.Lock()
	m := s.n.member
	q, rebuilding := m.PendingRebuild(s.to)
	f, h := m.PendingMessages(s.to, maxBatch)
	s.n.mu.Unlock()
	ok = true
	if rebuilding {
		ok = s.rebuild(q)
	}
	if len(f.Held) > 0 {
		var r dedup.FinishReply
		ok = s.call(MethodFinish, f, &r, func() { m.HandleFinishReply(f, r) }) && len(r.Refused) == 0 && ok
	}
	if len(h.Held) > 0 {
		var r dedup.HoldReply
		ok = s.call(MethodHold, h, &r, func() { m.HandleHoldReply(h, r) }) && r.Kept && ok
	}
	return rebuilding || len(f.Held) > 0 || len(h.Held) > 0, ok
}

// rebuild requests the claims that the member holds for keys that this node now owns. It returns false if the call failed
// or the member replied before it folded the change of the membership. Such an early reply, or one that announces further
// parts, does no harm.
func (s *sender) rebuild(q dedup.Rebuild) bool {
	var r dedup.RebuildReply
	return s.call(MethodRebuild, q, &r, func() {
		if s.n.member.HandleRebuildReply(s.n.now(), s.to, q, r) {
			s.n.cfg.Log.Info("idempotency keys rebuilt after a change of the membership", zap.Int64("Offset", q.Offset),
				zap.String("LastReply", s.to), zap.Duration("After", s.n.now().Sub(s.n.member.MembershipChangedAt())))
		}
		s.n.wakeSenders() // after the last reply, copies may be pending
	}) && r.Offset >= q.Offset
}

// call calls a method of the member and, if that succeeds, runs done with mu held. It returns false if the call failed.
func (s *sender) call(method string, params, result any, done func()) bool {
	sentAt := time.Now()
	if err := s.n.call(s.ctx, s.to, method, params, result); err != nil {
		s.n.cfg.Log.Debug("call of member failed", zap.String("member", s.to), zap.String("method", method),
			zap.Duration("after", time.Since(sentAt)), zap.Error(err))
		return false
	}
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	done()
	return true
}
