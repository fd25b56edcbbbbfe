package claims

import (
	"context"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/dedup"
	"sassafrasvalve/io/wire"
)

// link sends what is due to one member until it is acknowledged or the member goes.
type link struct {
	n      *Node
	to     string
	wake   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
}

// newLink starts a link. It is called with the node's mu held.
func (n *Node) newLink(to string) *link {
	l := &link{n: n, to: to, wake: make(chan struct{}, 1)}
	l.ctx, l.cancel = context.WithCancel(n.ctx)
	n.wg.Add(1)
	go l.run()
	return l
}

func (l *link) run() {
	defer l.n.wg.Done()
	defer l.cancel()
	for l.ctx.Err() == nil {
		sent, ok := l.send()
		switch {
		case !ok:
			wire.Sleep(l.ctx, retryPause)
		case !sent:
			select {
			case <-l.wake:
			case <-l.ctx.Done():
			}
		}
	}
}

// send sends one round of messages. It returns whether there was any, and whether they helped.
func (l *link) send() (sent, ok bool) {
	l.n.mu.Lock()
	m := l.n.member
	q, asking := m.PendingRebuild(l.to)
	f, h := m.PendingMessages(l.to, batch)
	l.n.mu.Unlock()
	ok = true
	if asking {
		ok = l.rebuild(q)
	}
	if len(f.Held) > 0 {
		var r dedup.FinishReply
		ok = l.call(MethodFinish, f, &r, func() { m.HandleFinishReply(f, r) }) && len(r.Refused) == 0 && ok
	}
	if len(h.Held) > 0 {
		var r dedup.HoldReply
		ok = l.call(MethodHold, h, &r, func() { m.HandleHoldReply(h, r) }) && r.Kept && ok
	}
	return asking || len(f.Held) > 0 || len(h.Held) > 0, ok
}

// rebuild asks for claims. A reply from before the change, or one that asks for more parts, is no harm.
func (l *link) rebuild(q dedup.Rebuild) bool {
	var r dedup.RebuildReply
	return l.call(MethodRebuild, q, &r, func() {
		if l.n.member.HandleRebuildReply(l.n.now(), l.to, q, r) {
			l.n.cfg.Log.Info("idempotency keys settled", zap.Int64("Offset", q.Offset), zap.String("LastReply", l.to),
				zap.Duration("After", l.n.now().Sub(l.n.member.ChangedAt())))
		}
		l.n.wake() // the last reply may make copies due
	}) && r.Offset >= q.Offset
}

// call calls the member and then done with the node locked. It returns false if the call failed.
func (l *link) call(method string, params, result any, done func()) bool {
	start := time.Now()
	if err := l.n.call(l.ctx, l.to, method, params, result); err != nil {
		l.n.cfg.Log.Debug("call failed", zap.String("member", l.to), zap.String("method", method),
			zap.Duration("after", time.Since(start)), zap.Error(err))
		return false
	}
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	done()
	return true
}
