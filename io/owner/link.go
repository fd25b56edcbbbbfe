package owner

import (
	"context"
	"time"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/io/wire"
	"sassafrasvalve/platform"
)

// Calls to a VM.
const (
	// orderTimeout bounds an order. An unanswered start is stopped, so that its item can go elsewhere.
	orderTimeout = 300 * time.Millisecond
	// ownLagMost is how late this process may notice the end of a poll's time. The steady clock stands still while the
	// machine is suspended, so a longer delay means an overloaded processor.
	ownLagMost = 50 * time.Millisecond
	// lookSlack is how long the answer to a poll may take beyond the wait asked for.
	lookSlack = 450 * time.Millisecond
	// lookSpacingVM is what each VM of the pool adds up to: the polls of a large pool keep to a part of the processor.
	lookSpacingVM = 250 * time.Microsecond
	// barPause keeps a poll behind the answer to a stop apart from it on a clock of milliseconds.
	barPause = 2 * time.Millisecond
	// lookPause is the pause after a poll that brought no answer.
	lookPause = 150 * time.Millisecond
	// lookSpacing is the shortest time between two polls: ends that come close together share one.
	lookSpacing = 8 * time.Millisecond
	// ackWait bounds the wait for ends to be recorded before the next poll.
	ackWait = 60 * time.Millisecond
	// ordersWaiting bounds the orders that wait for one VM.
	ordersWaiting = 256
)

// vmLink carries the orders and the polls of one epoch to one VM.
type vmLink struct {
	r      *run
	id     string
	addr   string
	client VMClient
	orders chan pools.Order
	acked  chan struct{}
	lagged bool          // the last poll failed because this process was late; of polls
	doubt  chan struct{} // a poll would settle an item at once; of size 1
	ctx    context.Context
	cancel context.CancelFunc
}

func newVMLink(r *run, v pools.VM, client VMClient) *vmLink {
	l := &vmLink{
		r: r, id: v.ID, addr: v.Addr, client: client,
		orders: make(chan pools.Order, ordersWaiting), acked: make(chan struct{}, 1), doubt: make(chan struct{}, 1),
	}
	l.ctx, l.cancel = context.WithCancel(r.ctx)
	r.wg.Add(1)
	go l.looks()
	go l.loop()
	return l
}

func (l *vmLink) close() { l.cancel() }

// push queues an order. It returns false if too many wait.
func (l *vmLink) push(o pools.Order) bool {
	select {
	case l.orders <- o:
		return true
	default:
		return false
	}
}

// nudge has the next poll sent at once, since ends were recorded.
func (l *vmLink) nudge() {
	select {
	case l.acked <- struct{}{}:
	default:
	}
}

// loop sends the orders, one at a time but for a client that keeps their sequence itself.
func (l *vmLink) loop() {
	defer l.r.wg.Done()
	defer l.client.Close()
	relayed, _ := l.client.(pipelined)
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.doubt:
			l.lookNow()
		case o := <-l.orders:
			if relayed != nil && l.relay(relayed, o) {
				continue
			}
			if l.replied(o, l.order(o)) {
				l.lookNow()
			}
		}
	}
}

// relay hands an order to a client that answers later. It returns false if the client does not take it.
func (l *vmLink) relay(c pipelined, o pools.Order) bool {
	begun := time.Now()
	return c.SendAsync(o, orderTimeout, func(reply pools.Reply, err error) {
		if o.Kind == pools.Start {
			l.r.timeStart(time.Since(begun))
		}
		if err != nil {
			reply = l.failed(err)
		}
		if l.replied(o, reply) {
			select {
			case l.doubt <- struct{}{}:
			default:
			}
		}
	})
}

// replied hands the answer to an order to the engine. It returns whether a poll would free an item at once.
func (l *vmLink) replied(o pools.Order, reply pools.Reply) bool {
	l.r.mu.Lock()
	l.r.engine.HandleOrderReply(o, reply, clock.BootMs())
	doubt := l.r.engine.NeedsImmediatePoll(l.id)
	l.r.mu.Unlock()
	if reply.Kind != pools.Done {
		l.r.signal()
	}
	return doubt
}

func (l *vmLink) order(o pools.Order) pools.Reply {
	begun := time.Now()
	deadline := begun.Add(orderTimeout)
	var reply pools.Reply
	var err error
	switch o.Kind {
	case pools.Start:
		reply, err = l.client.Start(o, deadline)
		l.r.timeStart(time.Since(begun))
	case pools.Stop:
		reply, err = l.client.Stop(o, deadline)
	case pools.Throttle:
		reply, err = l.client.Throttle(o, deadline)
	case pools.Upkeep, pools.Move:
		return pools.Reply{Kind: pools.NotExecuted} // not an order to a VM
	}
	if err == nil {
		return reply
	}
	return l.failed(err)
}

// failed returns the reply that stands for an order without an answer.
func (l *vmLink) failed(err error) pools.Reply {
	l.r.cfg.Stats.Count("sassafrasvalve_orders_failed_total", nil, 1)
	if platform.VerdictOf(err) == retry.NotRun {
		return pools.Reply{Kind: pools.NotExecuted}
	}
	return pools.Reply{Kind: pools.NoReply}
}

// looks asks the VM again and again what it runs, which also keeps its lease.
func (l *vmLink) looks() {
	for l.ctx.Err() == nil {
		if !l.look() {
			wire.Sleep(l.ctx, lookPause)
		}
	}
}

// lookNow asks beside the poll that waits for an end: an item whose start brought no answer was barred, and is
// free once the VM is seen without it.
func (l *vmLink) lookNow() {
	wire.Sleep(l.ctx, barPause)
	begun := clock.BootMs()
	l.r.mu.Lock()
	call, ok := l.r.engine.NextPoll(l.id, begun)
	l.r.mu.Unlock()
	if !ok {
		return
	}
	call.WaitMs = 0
	look, err := l.client.Poll(call, time.Now().Add(lookSlack))
	if err != nil {
		return // the poll that waits finds out whether the VM is silent
	}
	l.r.mu.Lock()
	l.r.engine.HandlePollReply(l.id, look, begun, clock.BootMs())
	l.r.mu.Unlock()
	l.r.signal()
}

// spacing returns the shortest time between two polls of a VM, which grows with the pool.
func (r *run) spacing() time.Duration {
	return max(lookSpacing, time.Duration(r.linkCount.Load())*lookSpacingVM)
}

// ownLag reports whether a poll failed because this process was late: its answer may have been there. The second such
// look in a row counts against the VM.
func (l *vmLink) ownLag(deadline time.Time) bool {
	if l.lagged = !l.lagged && time.Since(deadline) > ownLagMost; l.lagged {
		l.r.cfg.Stats.Count("sassafrasvalve_looks_late_total", nil, 1)
	}
	return l.lagged
}

// look asks once. It returns false if no answer came.
func (l *vmLink) look() bool {
	begun := clock.BootMs()
	l.r.mu.Lock()
	call, ok := l.r.engine.NextPoll(l.id, begun)
	l.r.mu.Unlock()
	if !ok {
		return false
	}
	deadline := time.Now().Add(time.Duration(call.WaitMs)*time.Millisecond + lookSlack)
	look, err := l.client.Poll(call, deadline)
	now := clock.BootMs()
	if _, relayed := l.client.(pipelined); err != nil && !relayed && l.ownLag(deadline) {
		return true // asked again at once; a client that relays has done so by itself
	}
	l.r.mu.Lock()
	news := err != nil
	if err != nil {
		l.r.engine.HandlePollFailure(l.id, now)
	} else {
		news = l.r.engine.HandlePollReply(l.id, look, begun, now)
	}
	behind := l.r.engine.HasUnrecordedEnds(l.id)
	l.r.mu.Unlock()
	if news {
		l.r.signal()
	}
	if err != nil {
		l.r.cfg.Stats.Count("sassafrasvalve_looks_failed_total", nil, 1)
		return false
	}
	if behind {
		timer := time.NewTimer(ackWait)
		select {
		case <-l.acked:
		case <-timer.C:
		case <-l.ctx.Done():
		}
		timer.Stop()
	}
	if pause := l.r.spacing() - time.Duration(clock.BootMs()-begun)*time.Millisecond; pause > 0 {
		wire.Sleep(l.ctx, pause)
	}
	return look.Kind == pools.Done
}
