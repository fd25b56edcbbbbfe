package relay

import (
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/pools"
)

// vmCall is a relayed call on its way to a VM.
type vmCall struct {
	call        *Call
	spec        string
	session     *session
	expiresAtMs int64 // local ms after which it is not sent
}

// deadline returns the time by which the VM must answer the call, and false if it has passed.
func (w *vmCall) deadline() (time.Time, bool) {
	left := w.expiresAtMs - clock.BootMs()
	return time.Now().Add(time.Duration(left) * time.Millisecond), left > 0
}

// sender sends calls to one VM: orders one at a time in the owner's sequence, and polls concurrently with them.
type sender struct {
	client   VMClient
	queue    chan vmCall
	usedAtMs int64 // local ms of the newest call, guarded by Server.mu
	log      *zap.Logger
}

// enqueue queues an order or starts a poll. It returns false if maxQueuedOrders orders wait already.
func (p *sender) enqueue(w vmCall) bool {
	if w.call.Kind == callPoll {
		c := &pollCall{sender: p, queued: w}
		go c.run()
		return true
	}
	select {
	case p.queue <- w:
		return true
	default:
		return false
	}
}

func (p *sender) loop() {
	defer p.client.Close()
	for w := range p.queue {
		w.session.queueAnswer(p.sendOrder(&w))
	}
}

// sendOrder sends one order and returns its outcome. An order past its deadline is not sent: this process may have been
// suspended since it received the order.
func (p *sender) sendOrder(w *vmCall) Answer {
	deadline, ok := w.deadline()
	if !ok {
		p.log.Info("relayed order dropped", zap.String("vm", w.call.VM), zap.String("item", w.call.Item),
			zap.String("reason", "its deadline has passed"))
		return Answer{N: w.call.N, Fate: outcomeNotExecuted}
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
	return Answer{N: w.call.N, Fate: outcomeOf(err), Kind: int(r.Kind), ClockMs: r.ClockMs}
}

// pollCall polls a VM once.
type pollCall struct {
	sender *sender
	queued vmCall
}

func (p *pollCall) run() {
	c := p.queued.call
	deadline, ok := p.queued.deadline()
	if !ok {
		p.queued.session.queueAnswer(Answer{N: c.N, Fate: outcomeNotExecuted})
		return
	}
	reply, err := p.sender.client.Poll(pools.PollRequest{
		VM: c.VM, Fence: c.Fence, AckedSeq: c.Acked, LeaseEndMs: c.LeaseMs, WaitMs: c.WaitMs,
	}, deadline)
	p.queued.session.queueAnswer(pollAnswer(c.N, &reply, err))
}
