package relay

import (
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/pools"
)

// work is a call that waits for its turn.
type work struct {
	call    *Call
	spec    string
	session *session
	until   int64 // local ms after which it is not sent
}

// deadline returns the time by which the call must be answered, and false if that is over.
func (w *work) deadline() (time.Time, bool) {
	left := w.until - clock.BootMs()
	return time.Now().Add(time.Duration(left) * time.Millisecond), left > 0
}

// sender sends calls to one VM: orders one after the other, as the owner gave them, and polls beside them.
type sender struct {
	client VMClient
	work   chan work
	usedAt int64 // guarded by the server
	log    *zap.Logger
}

// push queues a call. It returns false if too many wait.
func (p *sender) push(w work) bool {
	if w.call.Kind == callLook {
		l := &lookCall{sender: p, work: w}
		go l.run()
		return true
	}
	select {
	case p.work <- w:
		return true
	default:
		return false
	}
}

func (p *sender) loop() {
	defer p.client.Close()
	for w := range p.work {
		w.session.put(p.order(&w))
	}
}

// order sends one order. One whose time is over is not sent: this process may have been suspended since it came.
func (p *sender) order(w *work) Answer {
	deadline, ok := w.deadline()
	if !ok {
		p.log.Info("relayed order dropped", zap.String("vm", w.call.VM), zap.String("item", w.call.Item), zap.String("reason", "its time is over"))
		return Answer{N: w.call.N, Fate: fateUnsent}
	}
	o := w.call.order(w.spec)
	var r pools.Reply
	var err error
	switch o.Kind {
	case pools.Stop:
		r, err = p.client.Stop(o, deadline)
	case pools.Throttle:
		r, err = p.client.Throttle(o, deadline)
	default:
		r, err = p.client.Start(o, deadline)
	}
	return Answer{N: w.call.N, Fate: fateOf(err), Kind: int(r.Kind), ClockMs: r.ClockMs}
}

// lookCall asks a VM once.
type lookCall struct {
	sender *sender
	work   work
}

func (l *lookCall) run() {
	c := l.work.call
	deadline, ok := l.work.deadline()
	if !ok {
		l.work.session.put(Answer{N: c.N, Fate: fateUnsent})
		return
	}
	look, err := l.sender.client.Poll(pools.PollRequest{
		VM: c.VM, Fence: c.Fence, AckedSeq: c.Acked, LeaseEndMs: c.LeaseMs, WaitMs: c.WaitMs,
	}, deadline)
	l.work.session.put(answerLook(c.N, &look, err))
}
