package owner

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/core/shard"
	"sassafrasvalve/io/stats"
)

// heldVM answers no start before answer is closed. It records the starts.
type heldVM struct {
	silentVM
	starts chan pools.Order
	answer chan struct{}
}

func (v *heldVM) Start(o pools.Order, _ time.Time) (pools.Reply, error) {
	v.starts <- o
	<-v.answer
	return pools.Reply{}, errors.New("no answer")
}

func (v *heldVM) Poll(pools.PollRequest, time.Time) (pools.PollReply, error) {
	return pools.PollReply{}, errors.New("no answer")
}

// newQueueEngine returns an engine with VM "a", and the starts of n items that it ordered there at now.
func newQueueEngine(t *testing.T, n int, now int64) (*shard.Engine, []pools.Order) {
	t.Helper()
	e := shard.New(shard.Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, &jobs.Catalog{}, now)
	e.SetVMs([]pools.VM{{ID: "a", Service: "s", Addr: "x", CPU: 10_000, MemMB: 1000}}, now)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 500_000, StartedAtMs: 1}, now, now)
	e.MarkOwnershipConfirmed(now)
	e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{{Count: n, CPU: 100, MemMB: 10, EstimateMs: 600}}}}, now, now)
	e.Advance(now, now)
	orders := e.TakeOrders()
	assert.Equal(t, len(orders), n)
	return e, orders
}

// TestQueuedStartsDoNotReachNextLifetime guards against an item that runs twice: its start waited in the queue behind orders
// to a silent VM, the item was released and started elsewhere, and the start was sent to the VM once it ran again under its ID.
func TestQueuedStartsDoNotReachNextLifetime(t *testing.T) {
	for name, end := range map[string]func(e *shard.Engine, now int64){
		"silent": func(e *shard.Engine, now int64) { e.HandlePollFailure("a", now) },
		"restarted": func(e *shard.Engine, now int64) {
			e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 1000, StartedAtMs: 2}, now, now)
		},
		"gone": func(e *shard.Engine, now int64) {
			e.HandlePollFailure("a", now)
			e.SetMachines(nil, now+1, now+1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, vm, orders := newQueueSession(t, clock.BootMs())
			for _, o := range orders {
				assert.Assert(t, s.push(o))
			}
			<-vm.starts
			s.r.mu.Lock()
			end(s.r.engine, clock.BootMs())
			s.r.mu.Unlock()
			close(vm.answer)
			assert.Equal(t, s.startsSent(vm), 0, "further starts are not sent")
		})
	}
}

// TestQueuedStartsExpireWhileSuspended guards against a start that a process sends after it was suspended for seconds. The VM
// refuses it by its clock, unless it has started again under its ID meanwhile.
func TestQueuedStartsExpireWhileSuspended(t *testing.T) {
	const suspendedMs = 5000
	s, vm, orders := newQueueSession(t, clock.BootMs()-suspendedMs)
	for _, o := range orders {
		assert.Assert(t, s.push(o))
	}
	close(vm.answer)
	assert.Equal(t, s.startsSent(vm), 0)
}

// newQueueSession returns a running session with VM "a" and three starts that were ordered at orderedAt.
func newQueueSession(t *testing.T, orderedAt int64) (*vmSession, *heldVM, []pools.Order) {
	t.Helper()
	e, orders := newQueueEngine(t, 3, orderedAt)
	vm := &heldVM{starts: make(chan pools.Order, len(orders)), answer: make(chan struct{})}
	s := &vmSession{
		r:  &poolRun{cfg: PoolConfig{Stats: stats.New()}, engine: e, wake: make(chan struct{}, 1), timeStart: func(time.Duration) {}},
		id: "a", client: vm, orders: newOrderQueue(),
	}
	s.ctx, s.cancel = context.WithCancel(t.Context())
	s.r.wg.Add(1)
	go s.loop()
	return s, vm, orders
}

// startsSent ends a session once its queue is empty, and returns how many starts the VM got that were not received yet.
func (s *vmSession) startsSent(vm *heldVM) int {
	for s.orders.len() > 0 {
		time.Sleep(time.Millisecond)
	}
	s.close()
	s.r.wg.Wait()
	return len(vm.starts)
}

// TestRepliesOfALeftAddressDoNotCount guards against a VM whose items start elsewhere while it runs them: it has moved to another
// address, and another VM answered a call that was under way to the earlier one.
func TestRepliesOfALeftAddressDoNotCount(t *testing.T) {
	e, orders := newQueueEngine(t, 1, clock.BootMs())
	s := &vmSession{r: &poolRun{cfg: PoolConfig{Stats: stats.New()}, engine: e, wake: make(chan struct{}, 1)}, id: "a", client: &otherVM{}}
	s.ctx, s.cancel = context.WithCancel(t.Context())
	e.HandleOrderReply(orders[0], pools.Reply{Kind: pools.Done}, clock.BootMs())
	time.Sleep(2 * time.Millisecond)
	s.close()
	s.handleReply(orders[0], pools.Reply{Kind: pools.OtherLifetime})
	s.poll()
	s.pollNow()
	for _, ev := range e.TakeEvents() {
		assert.Assert(t, ev.Name != "vm lifetime ended" && ev.Name != "vm silent", ev.Name)
	}
}

// otherVM answers polls as another VM than the one that is expected.
type otherVM struct{ silentVM }

func (v *otherVM) Poll(pools.PollRequest, time.Time) (pools.PollReply, error) {
	return pools.PollReply{Kind: pools.OtherLifetime}, nil
}

// TestFailureOfAnOvertakenPollDoesNotCount guards against a VM that counts as silent after it has answered: a poll on a connection
// that went silent fails, while a later one on another connection was answered.
func TestFailureOfAnOvertakenPollDoesNotCount(t *testing.T) {
	e, _ := newQueueEngine(t, 1, clock.BootMs())
	s := &vmSession{r: &poolRun{cfg: PoolConfig{Stats: stats.New()}, engine: e, wake: make(chan struct{}, 1)}, id: "a", ctx: t.Context()}
	s.client = &silentVM{late: -pollTolerance / 2}
	go func() {
		time.Sleep(pollTolerance / 2)
		now := clock.BootMs()
		s.r.mu.Lock()
		e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 500_500, StartedAtMs: 1}, now, now)
		s.r.mu.Unlock()
	}()
	s.poll()
	for _, ev := range e.TakeEvents() {
		assert.Assert(t, ev.Name != "vm silent", ev.Name)
	}
}

// ackVM records the highest sequence number that a poll has acknowledged.
type ackVM struct {
	silentVM
	acked int64
}

func (v *ackVM) Poll(req pools.PollRequest, _ time.Time) (pools.PollReply, error) {
	v.acked = max(v.acked, req.AckedSeq)
	return pools.PollReply{}, errors.New("no answer")
}

// TestPollBehindAnOrderAcknowledgesNothing guards against the loss of ends: after a start without a reply the VM may be in a new
// lifetime, and would forget ends there whose numbers the last lifetime had used.
func TestPollBehindAnOrderAcknowledgesNothing(t *testing.T) {
	now := clock.BootMs()
	e, _ := newQueueEngine(t, 1, now)
	b, err := e.NextBatch()
	assert.NilError(t, err)
	e.HandleBatchStored(b, now)
	end := pools.RunEnd{Seq: 57, Item: "other.0.0.0", Run: 1, Kind: pools.EndDone}
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 500_100, StartedAtMs: 1, Ended: []pools.RunEnd{end}}, now, now)
	req, ok := e.NextPoll("a", now)
	assert.Assert(t, ok && req.AckedSeq == 57)
	vm := &ackVM{}
	s := &vmSession{r: &poolRun{cfg: PoolConfig{Stats: stats.New()}, engine: e, wake: make(chan struct{}, 1)}, id: "a", client: vm, ctx: t.Context()}
	s.pollNow()
	assert.Equal(t, vm.acked, int64(0))
}
