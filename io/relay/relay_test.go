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
)

// wait bounds what a test waits for.
const wait = 5 * time.Second

// vmStub answers calls at once and keeps what it was told. It is silent while down is set.
type vmStub struct {
	mu     sync.Mutex
	orders []pools.Order
	looks  []pools.PollRequest
	down   bool
	hold   chan struct{} // orders wait until it is closed; nil for none
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
	v.looks = append(v.looks, l)
	if v.down {
		return pools.PollReply{}, errors.New("no answer")
	}
	return pools.PollReply{
		Kind: pools.Done, ClockMs: 9, StartedAtMs: 3,
		Running: []pools.RunStatus{{Item: "j.0.0.1", Run: 2, Ref: "r", Percent: 40, Load: 5}},
		Ended:   []pools.RunEnd{{Seq: 4, Item: "j.0.0.0", Run: 1, Kind: pools.EndFailed, Ref: "c"}},
	}, nil
}

// given returns the items of the orders so far.
func (v *vmStub) given() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []string
	for _, o := range v.orders {
		list = append(list, fmt.Sprint(o.Kind, " ", o.Item, " ", o.Spec))
	}
	return list
}

// site is one entry that relays and one owner.
type site struct {
	far, near *vmStub // the VM as the entry and as the owner reach it
	server    *Server
	relays    *Set
	client    *Client
	stop      context.CancelFunc // ends the entry that relays
}

func newSite(t *testing.T) *site {
	s := &site{far: &vmStub{}, near: &vmStub{}}
	ctx, cancel := context.WithCancel(t.Context())
	s.stop = cancel
	s.server = NewServer(ServerConfig{Client: func(string, string) VMClient { return s.far }, Log: zap.NewNop()})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			first := make([]byte, 1)
			if _, err := conn.Read(first); err == nil && first[0] == FirstByte {
				go s.server.Serve(ctx, conn)
			}
		}
	}()
	s.relays = NewSet(t.Context(), SetConfig{
		CPUShare: 0.4, Log: zap.NewNop(), OwnsPool: func() bool { return true },
		Direct: func(pools.VM) VMClient { return s.near },
	})
	assert.Assert(t, s.relays.Offer(Offer{Addr: l.Addr().String(), DC: "a", Share: 0.4}).Relays)
	s.client = s.relays.Client(pools.VM{ID: "vm", Addr: "x", DC: "a"})
	return s
}

// outcome is what became of an order.
type outcome struct {
	reply pools.Reply
	err   error
}

// give sends an order through the relay.
func (s *site) give(t *testing.T, o pools.Order, within time.Duration) <-chan outcome {
	t.Helper()
	c := make(chan outcome, 1)
	assert.Assert(t, s.client.SendAsync(o, within, func(r pools.Reply, err error) { c <- outcome{r, err} }))
	return c
}

// end waits for what became of an order.
func end(t *testing.T, c <-chan outcome) outcome {
	t.Helper()
	select {
	case o := <-c:
		return o
	case <-time.After(wait):
		t.Fatal("nothing became of the order")
		return outcome{}
	}
}

// TestRelayedCallsKeepTheirSequence guards against orders to one VM that overtake each other, such as the stop of a run
// before its start, and against fields that are lost on the way.
func TestRelayedCallsKeepTheirSequence(t *testing.T) {
	s := newSite(t)
	var want []string
	var last <-chan outcome
	for i := range 100 {
		item := fmt.Sprintf("j.0.0.%d", i)
		last = s.give(t, pools.Order{Kind: pools.Start, VM: "vm", Item: item, Run: 1, Spec: "spec", Fence: 3}, time.Second)
		s.give(t, pools.Order{Kind: pools.Stop, VM: "vm", Item: item, Run: 1, Fence: 3}, time.Second)
		want = append(want, fmt.Sprint(pools.Start, " ", item, " spec"), fmt.Sprint(pools.Stop, " ", item, " "))
	}
	o := end(t, last)
	assert.NilError(t, o.err)
	assert.Equal(t, o.reply, pools.Reply{Kind: pools.Done, ClockMs: 7})
	end(t, s.give(t, pools.Order{Kind: pools.Throttle, VM: "vm", Item: "p", Percent: 50}, time.Second))
	assert.DeepEqual(t, s.far.given(), append(want, fmt.Sprint(pools.Throttle, " p ")))
	look, err := s.client.Poll(pools.PollRequest{VM: "vm", Fence: 3, AckedSeq: 2, LeaseEndMs: 50, WaitMs: 0}, time.Now().Add(time.Second))
	assert.NilError(t, err)
	direct, _ := (&vmStub{}).Poll(pools.PollRequest{}, time.Time{})
	assert.DeepEqual(t, look, direct)
	assert.DeepEqual(t, s.far.looks, []pools.PollRequest{{VM: "vm", Fence: 3, AckedSeq: 2, LeaseEndMs: 50}})
	assert.Equal(t, len(s.near.given()), 0)
}

// TestLateOrderIsNotSent guards against an entry that was suspended, and sends an order whose time is over when it wakes.
func TestLateOrderIsNotSent(t *testing.T) {
	v := &vmStub{}
	p := &sender{client: v, log: zap.NewNop()}
	a := p.order(&work{call: &Call{N: 1, Kind: callStart, Item: "j.0.0.0"}, until: clock.BootMs() - 1})
	assert.Equal(t, a.Fate, fateUnsent)
	assert.Equal(t, len(v.given()), 0)
}

// TestLostRelayLeavesOrdersOpen guards against an owner that takes an order for not sent although the entry that was lost may
// have sent it, and against a VM that counts as silent since the entry that relays to it is lost.
func TestLostRelayLeavesOrdersOpen(t *testing.T) {
	s := newSite(t)
	s.far.hold = make(chan struct{})
	defer close(s.far.hold)
	c := s.give(t, pools.Order{Kind: pools.Start, VM: "vm", Item: "j.0.0.0", Run: 1}, 10*time.Second)
	time.Sleep(100 * time.Millisecond)
	s.stop()
	o := end(t, c)
	a := Answer{Fate: fateUnknown}
	assert.Error(t, o.err, a.err().Error())
	look, err := s.client.Poll(pools.PollRequest{VM: "vm", AckedSeq: 5}, time.Now().Add(time.Second))
	assert.NilError(t, err)
	assert.Equal(t, look.Kind, pools.Done)
	assert.Equal(t, len(s.near.looks), 1, "the owner asks the VM itself")
}

// TestSilentRelayIsLeft guards against VMs whose leases run out because the entry that relays to them, or the way from it to
// them, is cut off.
func TestSilentRelayIsLeft(t *testing.T) {
	s := newSite(t)
	s.far.down = true
	look, err := s.client.Poll(pools.PollRequest{VM: "vm", AckedSeq: 5, WaitMs: 700}, time.Now().Add(time.Second))
	assert.NilError(t, err)
	assert.Equal(t, look.Kind, pools.Done)
	assert.DeepEqual(t, s.near.looks, []pools.PollRequest{{VM: "vm"}})
	assert.Equal(t, s.relays.pick("a").load(), 0)
}

// TestLeavingRelayEndsItsCalls guards against starts that are given up because the entry that relays is stopped by plan.
func TestLeavingRelayEndsItsCalls(t *testing.T) {
	s := newSite(t)
	s.far.hold = make(chan struct{})
	c := s.give(t, pools.Order{Kind: pools.Start, VM: "vm", Item: "j.0.0.0", Run: 1}, 10*time.Second)
	time.Sleep(100 * time.Millisecond)
	s.server.AnnounceStop()
	close(s.far.hold)
	assert.NilError(t, end(t, c).err)
	for until := time.Now().Add(wait); s.client.SendAsync(pools.Order{Kind: pools.Stop}, time.Second, func(pools.Reply, error) {}); {
		assert.Assert(t, time.Now().Before(until), "the relay is still used")
	}
}

// TestMalformedFrameEndsItsConnectionOnly guards against an entry that fails on bytes of another version or of a stranger.
func TestMalformedFrameEndsItsConnectionOnly(t *testing.T) {
	for name, frame := range map[string][]byte{
		"too long": {0xff, 0xff, 0xff, 0xff, 1}, "no batch": {0, 0, 0, 2, 0xc0, 0xc1}, "cut": {0, 0, 1, 0, 0x92},
		"wrong types":            {0, 0, 0, 3, 0x92, 0xa0, 0xa0},
		"claims 4 billion specs": {0, 0, 0, 7, 0x93, 0, 0xdd, 0xff, 0xff, 0xff, 0xff},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
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
			case <-time.After(wait):
				t.Fatal("the connection is still served")
			}
			end(t, s.give(t, pools.Order{Kind: pools.Start, VM: "vm", Item: "j.0.0.0", Run: 1}, time.Second))
		})
	}
}

// TestFramesOfASuspendedRelayAreLate guards against orders that lay in the buffers of an entry while it was suspended, and are
// taken for new ones when it wakes; and against clocks that run apart, by which all frames would become late.
func TestFramesOfASuspendedRelayAreLate(t *testing.T) {
	var d delay
	for now := int64(0); now < 10_000; now += 10 {
		assert.Assert(t, d.of(now, now+500_000+now%7) < 7)
	}
	assert.Equal(t, d.of(10_000, 515_000), int64(5000), "sent just before a suspension of 5 s")
	assert.Equal(t, d.of(15_000, 515_000), int64(0))
	var slow delay
	for now := int64(0); now < 200_000; now += 50 {
		late := slow.of(now, now+500_000+now/50) // one clock is 2% slow
		assert.Assert(t, late <= 2*delaySpan/50, "%d ms late", late)
	}
}

// TestClosedClientTakesNoRelay guards against a poll that begins while its owner gives the shard up and counts as a VM at the relay
// for good, until the relay seems full.
func TestClosedClientTakesNoRelay(t *testing.T) {
	s := newSite(t)
	ch := s.client.relay()
	assert.Equal(t, ch.load(), 1)
	s.client.Close()
	look, err := s.client.Poll(pools.PollRequest{VM: "vm"}, time.Now().Add(time.Second))
	assert.NilError(t, err)
	assert.Equal(t, look.Kind, pools.Done)
	assert.Equal(t, ch.load(), 0)
}
