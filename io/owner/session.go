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

// Timeouts, intervals and limits of the calls to a VM.
const (
	// orderTimeout bounds an order. A start without a reply in that time is followed by a poll, and sent
	// again if the VM does not run it.
	orderTimeout = 300 * time.Millisecond
	// maxOwnLag is how late after a poll's deadline this process may notice that the poll failed. The delay is measured by
	// Go's monotonic clock, which stops while the host is suspended, so a longer delay means that the CPU is overloaded.
	maxOwnLag = 50 * time.Millisecond
	// pollTolerance is the time that the reply to a poll may take beyond the requested wait.
	pollTolerance = 450 * time.Millisecond
	// pollSpacingPerVM times the number of VMs is the minimum time between two polls of one VM in a large pool. It bounds
	// the CPU share of the polls.
	pollSpacingPerVM = 250 * time.Microsecond
	// pollAfterStopPause is the pause between the reply to a stop and the poll that follows it. It makes their times
	// differ on a clock with a resolution of 1 ms.
	pollAfterStopPause = 2 * time.Millisecond
	// pollRetryPause is the pause after a poll without a reply.
	pollRetryPause = 150 * time.Millisecond
	// minPollSpacing is the minimum time between two polls of a VM. Run ends within that time share one poll.
	minPollSpacing = 8 * time.Millisecond
	// endsRecordedTimeout bounds the wait before the next poll until the run ends of the last one are recorded.
	endsRecordedTimeout = 60 * time.Millisecond
	// heldEndsPause is the pause after a poll of a VM whose recorded ends are not acknowledged yet. It replies to polls at once.
	heldEndsPause = 100 * time.Millisecond
)

// vmSession sends the orders and polls of one epoch to one VM.
type vmSession struct {
	r            *poolRun
	id           string
	addr         string
	client       VMClient
	orders       *orderQueue
	endsRecorded chan struct{} // signalled when run ends were recorded; its capacity is 1
	lagged       bool          // the last poll failed because this process was late; used by pollLoop only
	pollRequest  chan struct{} // signalled when a poll would resolve an item at once; its capacity is 1
	ctx          context.Context
	cancel       context.CancelFunc
}

// newVMSession starts a session with a VM.
func newVMSession(r *poolRun, v pools.VM, client VMClient) *vmSession {
	s := &vmSession{
		r: r, id: v.ID, addr: v.Addr, client: client,
		orders: newOrderQueue(), endsRecorded: make(chan struct{}, 1), pollRequest: make(chan struct{}, 1),
	}
	s.ctx, s.cancel = context.WithCancel(r.ctx)
	r.wg.Add(1)
	go s.pollLoop()
	go s.loop()
	return s
}

func (s *vmSession) close() { s.cancel() }

// push queues an order. It returns false if too many wait.
func (s *vmSession) push(o pools.Order) bool { return s.orders.push(o) }

// notifyEndsRecorded ends the wait for recorded run ends, so that the next poll is sent.
func (s *vmSession) notifyEndsRecorded() {
	select {
	case s.endsRecorded <- struct{}{}:
	default:
	}
}

// loop sends the queued orders and the requested polls. It waits for the reply to each order unless the client keeps the
// sequence of orders itself.
func (s *vmSession) loop() {
	defer s.r.wg.Done()
	defer s.client.Close()
	async, _ := s.client.(asyncClient)
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.pollRequest:
			s.pollNow()
		case <-s.orders.wake:
			o, waited := s.orders.pop()
			switch {
			case !waited, s.dropIfObsolete(o):
			case async != nil && s.sendAsync(async, o):
			case s.handleReply(o, s.sendOrder(o)):
				s.pollNow()
			}
		}
	}
}

// dropIfObsolete reports an order to the engine as not executed if it is no longer to be sent, and returns whether it did.
// Orders may wait for seconds behind those to a silent VM, or while this process is suspended.
func (s *vmSession) dropIfObsolete(o pools.Order) bool {
	now := clock.BootMs()
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	if s.r.engine.StillDue(o, now) {
		return false
	}
	s.r.engine.HandleOrderReply(o, pools.Reply{Kind: pools.NotExecuted}, now)
	s.r.signal()
	return true
}

// sendAsync sends an order without waiting for its reply. It returns false if the client does not accept the order.
func (s *vmSession) sendAsync(c asyncClient, o pools.Order) bool {
	sentAt := time.Now()
	return c.SendAsync(o, orderTimeout, func(reply pools.Reply, err error) {
		if o.Kind == pools.Start {
			s.r.timeStart(time.Since(sentAt))
		}
		if err != nil {
			reply = s.failureReply(err)
		}
		if s.handleReply(o, reply) {
			select {
			case s.pollRequest <- struct{}{}:
			default:
			}
		}
	})
}

// handleReply passes the reply to an order to the engine. It returns true if a poll would resolve an item at once.
func (s *vmSession) handleReply(o pools.Order, reply pools.Reply) bool {
	s.r.mu.Lock()
	if reply.Kind == pools.OtherLifetime && s.ctx.Err() != nil {
		reply.Kind = pools.NotExecuted // the VM has left the address
	}
	s.r.engine.HandleOrderReply(o, reply, clock.BootMs())
	needsPoll := s.r.engine.NeedsImmediatePoll(s.id)
	s.r.mu.Unlock()
	if reply.Kind != pools.Done {
		s.r.signal()
	}
	return needsPoll
}

// sendOrder sends an order and returns its reply, or the reply that failureReply substitutes.
func (s *vmSession) sendOrder(o pools.Order) pools.Reply {
	sentAt := time.Now()
	deadline := sentAt.Add(orderTimeout)
	var reply pools.Reply
	var err error
	switch o.Kind {
	case pools.Start:
		reply, err = s.client.Start(o, deadline)
		s.r.timeStart(time.Since(sentAt))
	case pools.Stop:
		reply, err = s.client.Stop(o, deadline)
	case pools.Throttle:
		reply, err = s.client.Throttle(o, deadline)
	case pools.Upkeep, pools.Move:
		return pools.Reply{Kind: pools.NotExecuted} // not an order to a VM
	}
	if err == nil {
		return reply
	}
	return s.failureReply(err)
}

// failureReply returns the reply that stands for a failed call: NotExecuted if the VM surely did not carry the order out,
// otherwise NoReply.
func (s *vmSession) failureReply(err error) pools.Reply {
	s.r.cfg.Stats.Count("sassafrasvalve_orders_failed_total", nil, 1)
	if platform.VerdictOf(err) == retry.NotRun {
		return pools.Reply{Kind: pools.NotExecuted}
	}
	return pools.Reply{Kind: pools.NoReply}
}

// pollLoop polls the VM until the session ends. Each poll also renews the VM's lease.
func (s *vmSession) pollLoop() {
	for s.ctx.Err() == nil {
		if !s.poll() {
			wire.Sleep(s.ctx, pollRetryPause)
		}
	}
}

// pollNow sends a poll without wait, while the poll of pollLoop may still wait for a run to end. The start of an
// item that got no reply is sent again once a poll shows that the VM does not run it.
func (s *vmSession) pollNow() {
	wire.Sleep(s.ctx, pollAfterStopPause)
	sentAtMs := clock.BootMs()
	s.r.mu.Lock()
	req, ok := s.r.engine.NextPoll(s.id, sentAtMs)
	s.r.mu.Unlock()
	if !ok {
		return
	}
	// Nothing is acknowledged: the VM may be in a new lifetime, which numbers its ends anew, and none of these is recorded yet.
	req.WaitMs, req.AckedSeq = 0, 0
	reply, err := s.client.Poll(req, time.Now().Add(pollTolerance))
	if err != nil {
		return // pollLoop detects a silent VM
	}
	s.r.mu.Lock()
	if s.ctx.Err() == nil {
		s.r.engine.HandlePollReply(s.id, reply, sentAtMs, clock.BootMs())
	}
	s.r.mu.Unlock()
	s.r.signal()
}

// pollSpacing returns the minimum time between two polls of a VM, which grows with the pool.
func (r *poolRun) pollSpacing() time.Duration {
	return max(minPollSpacing, time.Duration(r.sessionCount.Load())*pollSpacingPerVM)
}

// checkOwnLag determines, counts and returns whether a poll failed because this process was late, in which case the reply
// may have arrived in time. It returns false for the second such poll in a row, which therefore counts as a failure of
// the VM.
func (s *vmSession) checkOwnLag(deadline time.Time) bool {
	if s.lagged = !s.lagged && time.Since(deadline) > maxOwnLag; s.lagged {
		s.r.cfg.Stats.Count("sassafrasvalve_looks_late_total", nil, 1)
	}
	return s.lagged
}

// poll sends one poll. It returns true if the next poll may follow without a further pause, and false if the poll failed,
// was refused, or the VM is no longer listed.
func (s *vmSession) poll() bool {
	sentAtMs := clock.BootMs()
	s.r.mu.Lock()
	req, ok := s.r.engine.NextPoll(s.id, sentAtMs)
	s.r.mu.Unlock()
	if !ok {
		return false
	}
	deadline := time.Now().Add(time.Duration(req.WaitMs)*time.Millisecond + pollTolerance)
	reply, err := s.client.Poll(req, deadline)
	now := clock.BootMs()
	if _, relayed := s.client.(asyncClient); err != nil && !relayed && s.checkOwnLag(deadline) {
		return true // repeated at once; a client that uses relays has repeated the poll itself
	}
	s.r.mu.Lock()
	needsTick := err != nil
	switch {
	case s.ctx.Err() != nil: // the VM is no longer listed at this address
	case err == nil:
		needsTick = s.r.engine.HandlePollReply(s.id, reply, sentAtMs, now)
	case s.r.engine.PollOvertaken(s.id, sentAtMs): // a poll on another connection was answered
	default:
		s.r.engine.HandlePollFailure(s.id, now)
	}
	unrecordedEnds, heldEnds := s.r.engine.HasUnrecordedEnds(s.id, now), s.r.engine.HoldsEnds(s.id, now)
	s.r.mu.Unlock()
	if needsTick {
		s.r.signal()
	}
	if err != nil {
		s.r.cfg.Stats.Count("sassafrasvalve_looks_failed_total", nil, 1)
		return false
	}
	if unrecordedEnds {
		timer := time.NewTimer(endsRecordedTimeout)
		select {
		case <-s.endsRecorded:
		case <-timer.C:
		case <-s.ctx.Done():
		}
		timer.Stop()
	}
	if heldEnds {
		wire.Sleep(s.ctx, heldEndsPause)
	}
	if pause := s.r.pollSpacing() - time.Duration(clock.BootMs()-sentAtMs)*time.Millisecond; pause > 0 {
		wire.Sleep(s.ctx, pause)
	}
	return reply.Kind == pools.Done
}
