package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/platform"
)

// testTimeout bounds each wait of a test.
const testTimeout = 5 * time.Second

// vmStub is a VMClient that answers at once and records its calls. Polls fail while down is set.
type vmStub struct {
	mu     sync.Mutex
	orders []pools.Order
	polls  []pools.PollRequest
	down   bool
	hold   chan struct{} // orders wait until it is closed, unless it is nil
}

func (v *vmStub) order(o pools.Order) (pools.Reply, error) {
	v.mu.Lock()
	hold := v.hold
	v.mu.Unlock()
	if hold != nil {
		<-hold
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.orders = append(v.orders, o)
	return pools.Reply{Kind: pools.Done, ClockMs: 7}, nil
}

func (v *vmStub) Start(o pools.Order, _ time.Time) (pools.Reply, error)    { return v.order(o) }
func (v *vmStub) Stop(o pools.Order, _ time.Time) (pools.Reply, error)     { return v.order(o) }
func (v *vmStub) Throttle(o pools.Order, _ time.Time) (pools.Reply, error) { return v.order(o) }
func (v *vmStub) Close()                                                   {}

func (v *vmStub) Poll(l pools.PollRequest, _ time.Time) (pools.PollReply, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.polls = append(v.polls, l)
	if v.down {
		return pools.PollReply{}, errors.New("no answer")
	}
	return pools.PollReply{
		Kind: pools.Done, ClockMs: 9, StartedAtMs: 3,
		Running: []pools.RunStatus{{Item: "j.0.0.1", Run: 2, Ref: "r", ProgressPercent: 40, Load: 5}},
		Ended:   []pools.RunEnd{{Seq: 4, Item: "j.0.0.0", Run: 1, Kind: pools.EndFailed, Ref: "c"}},
	}, nil
}

// orderTexts returns the kind, item and spec of each order so far.
func (v *vmStub) orderTexts() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []string
	for _, o := range v.orders {
		list = append(list, fmt.Sprint(o.Kind, " ", o.Item, " ", o.Spec))
	}
	return list
}

// fixture has one relay, one owner and a client of the owner for one VM.
type fixture struct {
	relayedVM *vmStub // the VM as the relay reaches it
	directVM  *vmStub // the VM as the owner reaches it
	server    *Server
	relays    *Set
	client    *Client
	stop      context.CancelFunc // ends the relay
}

func newFixture(t *testing.T) *fixture { return newSuspendedFixture(t, 0) }

// newSuspendedFixture returns a fixture whose relay is suspended for a time when the owner connects. The kernel accepts the
// connection and buffers what the owner sends.
func newSuspendedFixture(t *testing.T, suspended time.Duration) *fixture {
	s := &fixture{relayedVM: &vmStub{}, directVM: &vmStub{}}
	ctx, cancel := context.WithCancel(t.Context())
	s.stop = cancel
	s.server = NewServer(ServerConfig{NewClient: func(string, string) VMClient { return s.relayedVM }, Log: zap.NewNop()})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			time.Sleep(suspended)
			first := make([]byte, 1)
			if _, err := conn.Read(first); err == nil && first[0] == FirstByte {
				go s.server.Serve(ctx, conn)
			}
		}
	}()
	s.relays = NewSet(t.Context(), SetConfig{
		CPUShare: 0.4, Log: zap.NewNop(), OwnsPool: func() bool { return true },
		NewDirectClient: func(pools.VM) VMClient { return s.directVM },
	})
	assert.Assert(t, s.relays.Offer(Offer{Addr: l.Addr().String(), DC: "a", Share: 0.4}).Relays)
	s.client = s.relays.Client(pools.VM{ID: "vm", Addr: "x", DC: "a"})
	return s
}

// orderResult is the reply to an order, or its error.
type orderResult struct {
	reply pools.Reply
	err   error
}

// send sends an order through the relay and returns a channel that gets its result.
func (s *fixture) send(t *testing.T, o pools.Order, within time.Duration) <-chan orderResult {
	t.Helper()
	c := make(chan orderResult, 1)
	assert.Assert(t, s.client.SendAsync(o, within, func(r pools.Reply, err error) { c <- orderResult{r, err} }))
	return c
}

// awaitResult waits for the result of an order.
func awaitResult(t *testing.T, c <-chan orderResult) orderResult {
	t.Helper()
	select {
	case o := <-c:
		return o
	case <-time.After(testTimeout):
		t.Fatalf("the order has no result after %v", testTimeout)
		return orderResult{}
	}
}

// TestRelayedCallsKeepTheirSequence guards against orders to one VM that overtake each other, such as the stop of a run
// before its start, and against fields that the encoding loses.
func TestRelayedCallsKeepTheirSequence(t *testing.T) {
	s := newFixture(t)
	var want []string
	var last <-chan orderResult
	for i := range 100 {
		item := fmt.Sprintf("j.0.0.%d", i)
		last = s.send(t, pools.Order{Kind: pools.Start, VM: "vm", Item: item, Run: 1, Spec: "spec", Fence: 3}, time.Second)
		s.send(t, pools.Order{Kind: pools.Stop, VM: "vm", Item: item, Run: 1, Fence: 3}, time.Second)
		want = append(want, fmt.Sprint(pools.Start, " ", item, " spec"), fmt.Sprint(pools.Stop, " ", item, " "))
	}
	o := awaitResult(t, last)
	assert.NilError(t, o.err)
	assert.Equal(t, o.reply, pools.Reply{Kind: pools.Done, ClockMs: 7})
	awaitResult(t, s.send(t, pools.Order{Kind: pools.Throttle, VM: "vm", Item: "p", Percent: 50}, time.Second))
	assert.DeepEqual(t, s.relayedVM.orderTexts(), append(want, fmt.Sprint(pools.Throttle, " p ")))
	reply, err := s.client.Poll(pools.PollRequest{VM: "vm", Fence: 3, AckedSeq: 2, LeaseEndMs: 50, WaitMs: 0}, time.Now().Add(time.Second))
	assert.NilError(t, err)
	direct, _ := (&vmStub{}).Poll(pools.PollRequest{}, time.Time{})
	assert.DeepEqual(t, reply, direct)
	assert.DeepEqual(t, s.relayedVM.polls, []pools.PollRequest{{VM: "vm", Fence: 3, AckedSeq: 2, LeaseEndMs: 50}})
	assert.Equal(t, len(s.directVM.orderTexts()), 0)
}

// TestLateOrderIsNotSent guards against a relay that was suspended and sends an order past its deadline when it resumes.
func TestLateOrderIsNotSent(t *testing.T) {
	v := &vmStub{}
	p := &sender{client: v, log: zap.NewNop()}
	a := p.sendOrder(&vmCall{call: &Call{N: 1, Kind: callStart, Item: "j.0.0.0"}, expiresAtMs: clock.BootMs() - 1})
	assert.Equal(t, a.Fate, outcomeNotExecuted)
	assert.Equal(t, len(v.orderTexts()), 0)
}

// TestCallPastItsDeadlineLeavesTheQueue guards against an owner that sends calls to a relay after their deadlines, because its connection was
// not set up yet, the write of an earlier batch took long, or the process was suspended. The relay would grant them the whole time again,
// and send starts to a VM that another owner or the next lifetime of the VM has by then.
func TestCallPastItsDeadlineLeavesTheQueue(t *testing.T) {
	const within = 450 * time.Millisecond
	for _, tt := range []struct {
		waitMs   int64 // in the queue
		withinMs int64 // time that is left for the relay, 0 if the call is not sent
	}{{0, 450}, {449, 1}, {450, 0}, {5000, 0}} {
		t.Run(fmt.Sprintf("after %d ms", tt.waitMs), func(t *testing.T) {
			c := &Channel{wake: make(chan struct{}, 1), unanswered: map[int64]pendingCall{}}
			var answers []Answer
			assert.Assert(t, c.enqueue(Call{Kind: callStart, Item: "j.0.0.0"}, "spec", within, func(a Answer) { answers = append(answers, a) }))
			b := c.nextBatch(c.queue[0].expiresAtMs - within.Milliseconds() + tt.waitMs)
			if tt.withinMs > 0 {
				assert.Equal(t, len(b.Calls), 1)
				assert.Equal(t, b.Calls[0].WithinMs, tt.withinMs)
				assert.Equal(t, len(answers), 0)
				return
			}
			assert.Equal(t, len(b.Calls), 0, "the call is sent")
			assert.Equal(t, len(c.unanswered), 0)
			assert.DeepEqual(t, answers, []Answer{{Fate: outcomeNotExecuted}})
		})
	}
}

// TestLostRelayLeavesOutcomeUnknown guards against an owner that treats an order as not executed although the lost relay
// may have sent it, and against a VM that counts as silent because its relay is lost.
func TestLostRelayLeavesOutcomeUnknown(t *testing.T) {
	s := newFixture(t)
	s.relayedVM.hold = make(chan struct{})
	defer close(s.relayedVM.hold)
	c := s.send(t, pools.Order{Kind: pools.Start, VM: "vm", Item: "j.0.0.0", Run: 1}, 10*time.Second)
	time.Sleep(100 * time.Millisecond)
	s.stop()
	o := awaitResult(t, c)
	a := Answer{Fate: outcomeUnknown}
	assert.Error(t, o.err, a.err().Error())
	reply, err := s.client.Poll(pools.PollRequest{VM: "vm", AckedSeq: 5}, time.Now().Add(time.Second))
	assert.NilError(t, err)
	assert.Equal(t, reply.Kind, pools.Done)
	assert.Equal(t, len(s.directVM.polls), 1, "the owner polls the VM directly")
}

// TestFailedRelayIsAbandoned guards against VMs whose leases expire because their relay is disconnected from the owner or
// from the VM.
func TestFailedRelayIsAbandoned(t *testing.T) {
	s := newFixture(t)
	s.relayedVM.down = true
	reply, err := s.client.Poll(pools.PollRequest{VM: "vm", AckedSeq: 5, WaitMs: 700}, time.Now().Add(time.Second))
	assert.NilError(t, err)
	assert.Equal(t, reply.Kind, pools.Done)
	assert.DeepEqual(t, s.directVM.polls, []pools.PollRequest{{VM: "vm"}})
	assert.Equal(t, s.relays.pick("a").vmCount(), 0)
}

// TestStoppingRelayFinishesItsCalls guards against starts that are abandoned because their relay is stopped as planned.
func TestStoppingRelayFinishesItsCalls(t *testing.T) {
	s := newFixture(t)
	s.relayedVM.hold = make(chan struct{})
	c := s.send(t, pools.Order{Kind: pools.Start, VM: "vm", Item: "j.0.0.0", Run: 1}, 10*time.Second)
	time.Sleep(100 * time.Millisecond)
	s.server.AnnounceStop()
	close(s.relayedVM.hold)
	assert.NilError(t, awaitResult(t, c).err)
	for until := time.Now().Add(testTimeout); s.client.SendAsync(pools.Order{Kind: pools.Stop}, time.Second, func(pools.Reply, error) {}); {
		assert.Assert(t, time.Now().Before(until), "the relay is still used")
	}
}

// TestMalformedFrameEndsItsConnectionOnly guards against a relay that fails on bytes from another version or from an
// unknown client.
func TestMalformedFrameEndsItsConnectionOnly(t *testing.T) {
	for name, frame := range map[string][]byte{
		"too long": {0xff, 0xff, 0xff, 0xff, 1}, "no batch": {0, 0, 0, 2, 0xc0, 0xc1}, "cut": {0, 0, 1, 0, 0x92},
		"wrong types":            {0, 0, 0, 3, 0x92, 0xa0, 0xa0},
		"claims 4 billion specs": {0, 0, 0, 7, 0x93, 0, 0xdd, 0xff, 0xff, 0xff, 0xff},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			ours, theirs := net.Pipe()
			ended := make(chan struct{})
			go func() {
				s.server.Serve(t.Context(), theirs)
				close(ended)
			}()
			_, err := ours.Write(frame)
			assert.NilError(t, err)
			assert.NilError(t, ours.Close())
			select {
			case <-ended:
			case <-time.After(testTimeout):
				t.Fatal("the connection is still served")
			}
			awaitResult(t, s.send(t, pools.Order{Kind: pools.Start, VM: "vm", Item: "j.0.0.0", Run: 1}, time.Second))
		})
	}
}

// TestFramesOfASuspendedRelayAreLate guards against orders that were buffered while a relay was suspended and count as new
// when it resumes. It also guards against clocks of different rates, which would make all frames seem late.
func TestFramesOfASuspendedRelayAreLate(t *testing.T) {
	var d delayEstimator
	for now := int64(0); now < 10_000; now += 10 {
		assert.Assert(t, d.update(now, now+500_000+now%7) < 7)
	}
	assert.Equal(t, d.update(10_000, 515_000), int64(5000), "sent just before a suspension of 5 s")
	assert.Equal(t, d.update(15_000, 515_000), int64(0))
	var slow delayEstimator
	for now := int64(0); now < 200_000; now += 50 {
		late := slow.update(now, now+500_000+now/50) // one clock is 2% slow
		assert.Assert(t, late <= 2*delayWindowMs/50, "%d ms late", late)
	}
}

// TestFirstCallsToASuspendedRelayAreNotSent guards against a relay that was suspended when an owner connected and sends the owner's first
// orders when it resumes, after any time: it can't tell how long the first frame of a connection has been on its way. By then the VM may be
// in its next lifetime, or run the items of another owner.
func TestFirstCallsToASuspendedRelayAreNotSent(t *testing.T) {
	const within = 100 * time.Millisecond
	for _, suspended := range []time.Duration{600 * time.Millisecond, 2 * time.Second} {
		t.Run(suspended.String(), func(t *testing.T) {
			s := newSuspendedFixture(t, suspended)
			c := s.send(t, pools.Order{Kind: pools.Start, VM: "vm", Item: "j.0.0.0", Run: 1}, within)
			o := awaitResult(t, c)
			assert.Check(t, platform.VerdictOf(o.err) == retry.NotRun, "%v", o.err)
			time.Sleep(suspended)
			assert.Equal(t, len(s.relayedVM.orderTexts()), 0, "the order is sent after its deadline")
		})
	}
}

// TestClosedClientTakesNoRelay guards against relays that seem full: a poll that starts while its owner releases the shard
// would count as a VM of the relay forever.
func TestClosedClientTakesNoRelay(t *testing.T) {
	s := newFixture(t)
	ch := s.client.currentChannel()
	assert.Equal(t, ch.vmCount(), 1)
	s.client.Close()
	reply, err := s.client.Poll(pools.PollRequest{VM: "vm"}, time.Now().Add(time.Second))
	assert.NilError(t, err)
	assert.Equal(t, reply.Kind, pools.Done)
	assert.Equal(t, ch.vmCount(), 0)
}

// TestFullListOfEndsPassesTheRelay guards against runs that count as missing at the owner of a large pool, because the answer of a relay
// does not tell that a VM has further ends to list.
func TestFullListOfEndsPassesTheRelay(t *testing.T) {
	for _, n := range []int{0, platform.MaxListedEnds - 1, platform.MaxListedEnds} {
		reply := pools.PollReply{Kind: pools.Done, Ended: make([]pools.RunEnd, n), MoreEnds: n == platform.MaxListedEnds}
		a := pollAnswer(1, &reply, nil)
		assert.Equal(t, a.pollReply().MoreEnds, reply.MoreEnds, "%d ends", n)
	}
}
