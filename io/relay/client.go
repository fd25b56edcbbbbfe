package relay

import (
	"sync"
	"time"

	"sassafrasvalve/core/pools"
)

const (
	// relaySlack is what the way through another entry may add to a call.
	relaySlack = 150 * time.Millisecond
	// directLook bounds the poll that this process sends itself after a relayed one failed. The VM is not silent while
	// it answers that.
	directLook = 400 * time.Millisecond
)

// Client calls one VM by way of another entry. It calls the VM from this process while no entry relays.
type Client struct {
	vm     pools.VM
	relays *Set
	direct VMClient

	mu      sync.Mutex
	channel *Channel
	closed  bool
}

// relay returns the channel to use, nil to call the VM from here.
func (c *Client) relay() *Channel {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.channel != nil && c.channel.usable() {
		return c.channel
	}
	c.drop()
	if c.closed {
		return nil // a poll that begins beside Close would count at the channel for good
	}
	if ch := c.relays.pick(c.vm.DC); ch != nil {
		ch.count(1)
		c.channel = ch
	}
	return c.channel
}

// drop leaves the channel. It is called with mu held.
func (c *Client) drop() {
	if c.channel != nil {
		c.channel.count(-1)
		c.channel = nil
	}
}

// SendAsync sends an order behind those before it and returns at once; done is told what became of it. It returns false if the
// order has to be sent by one of the other methods.
func (c *Client) SendAsync(o pools.Order, within time.Duration, done func(pools.Reply, error)) bool {
	call, ok := callOf(&o)
	if !ok {
		return false
	}
	call.Addr = c.vm.Addr
	ch := c.relay()
	return ch != nil && ch.begin(call, o.Spec, within+relaySlack, func(a Answer) {
		done(pools.Reply{Kind: pools.ReplyKind(a.Kind), ClockMs: a.ClockMs}, a.err())
	})
}

// Start calls the VM from here. An error is a *platform.CallError.
func (c *Client) Start(o pools.Order, deadline time.Time) (pools.Reply, error) {
	return c.direct.Start(o, deadline)
}

// Stop calls the VM from here. An error is a *platform.CallError.
func (c *Client) Stop(o pools.Order, deadline time.Time) (pools.Reply, error) {
	return c.direct.Stop(o, deadline)
}

// Throttle calls the VM from here. An error is a *platform.CallError.
func (c *Client) Throttle(o pools.Order, deadline time.Time) (pools.Reply, error) {
	return c.direct.Throttle(o, deadline)
}

// Poll asks the VM by way of the other entry, and from here if that fails: the other entry may be lost, or cut off from the
// VM. An error is a *platform.CallError.
func (c *Client) Poll(l pools.PollRequest, deadline time.Time) (pools.PollReply, error) {
	ch := c.relay()
	if ch == nil {
		return c.direct.Poll(l, deadline)
	}
	done := make(chan Answer, 1)
	call := Call{Kind: callLook, VM: l.VM, Addr: c.vm.Addr, Fence: l.Fence, LeaseMs: l.LeaseEndMs, Acked: l.AckedSeq, WaitMs: l.WaitMs}
	if ch.begin(call, "", time.Until(deadline)+relaySlack, func(a Answer) { done <- a }) {
		if a := <-done; a.Fate == fateAnswered {
			return a.look(), nil
		}
	}
	// The VM may have begun another lifetime, whose ends have numbers of their own and are not recorded yet.
	l.WaitMs, l.AckedSeq = 0, 0
	look, err := c.direct.Poll(l, time.Now().Add(directLook))
	if err == nil {
		c.leave(ch)
	}
	return look, err
}

// leave has the VM called from here or by way of a third entry, since a channel failed although the VM answers.
func (c *Client) leave(ch *Channel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.channel == ch {
		c.drop()
	}
}

// Close closes the channels to the VM.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
	c.closed = true
	c.direct.Close()
}
