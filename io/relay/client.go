package relay

import (
	"sync"
	"time"

	"sassafrasvalve/core/pools"
)

const (
	// relayTolerance is the extra time allowed for a call that goes through a relay.
	relayTolerance = 150 * time.Millisecond
	// directPollTimeout bounds the poll that this process sends to a VM after a relayed poll failed. A VM that answers it
	// does not count as silent.
	directPollTimeout = 400 * time.Millisecond
)

// Client calls one VM through a relay, or directly from this process while no relay is available. It is safe for
// concurrent use.
type Client struct {
	vm     pools.VM
	relays *Set
	direct VMClient

	mu      sync.Mutex
	channel *Channel
	closed  bool
}

// currentChannel returns the channel to the VM, picking a new one if needed. It returns nil if the VM is called directly.
func (c *Client) currentChannel() *Channel {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.channel != nil && c.channel.usable() {
		return c.channel
	}
	c.releaseChannel()
	if c.closed {
		return nil // a poll concurrent with Close would count at the channel forever
	}
	if ch := c.relays.pick(c.vm.DC); ch != nil {
		ch.addVMs(1)
		c.channel = ch
	}
	return c.channel
}

// releaseChannel stops using the channel. It is called with mu held.
func (c *Client) releaseChannel() {
	if c.channel != nil {
		c.channel.addVMs(-1)
		c.channel = nil
	}
}

// SendAsync queues an order behind the earlier ones and returns at once. done is called with the reply or with a
// *platform.CallError, at the latest shortly after the time limit. It returns false, without calling done, if no relay is
// available or the order is not for a VM; the caller then sends it through one of the other methods.
func (c *Client) SendAsync(o pools.Order, within time.Duration, done func(pools.Reply, error)) bool {
	call, ok := callOf(&o)
	if !ok {
		return false
	}
	call.Addr = c.vm.Addr
	ch := c.currentChannel()
	return ch != nil && ch.enqueue(call, o.Spec, within+relayTolerance, func(a Answer) {
		done(pools.Reply{Kind: pools.ReplyKind(a.Kind), ClockMs: a.ClockMs}, a.err())
	})
}

// Start sends a start order directly to the VM. Its error is a *platform.CallError.
func (c *Client) Start(o pools.Order, deadline time.Time) (pools.Reply, error) {
	return c.direct.Start(o, deadline)
}

// Stop sends a stop order directly to the VM. Its error is a *platform.CallError.
func (c *Client) Stop(o pools.Order, deadline time.Time) (pools.Reply, error) {
	return c.direct.Stop(o, deadline)
}

// Throttle sends a throttle order directly to the VM. Its error is a *platform.CallError.
func (c *Client) Throttle(o pools.Order, deadline time.Time) (pools.Reply, error) {
	return c.direct.Throttle(o, deadline)
}

// Poll polls the VM through the relay, and directly if that fails, since the relay may be lost or disconnected from the
// VM. Its error is a *platform.CallError.
func (c *Client) Poll(req pools.PollRequest, deadline time.Time) (pools.PollReply, error) {
	ch := c.currentChannel()
	if ch == nil {
		return c.direct.Poll(req, deadline)
	}
	done := make(chan Answer, 1)
	call := Call{
		Kind: callPoll, VM: req.VM, Addr: c.vm.Addr, Fence: req.Fence, LeaseMs: req.LeaseEndMs, Acked: req.AckedSeq, WaitMs: req.WaitMs,
	}
	if ch.enqueue(call, "", time.Until(deadline)+relayTolerance, func(a Answer) { done <- a }) {
		if a := <-done; a.Fate == outcomeAnswered {
			return a.pollReply(), nil
		}
	}
	// Nothing is acknowledged: the VM may be in a new lifetime, which numbers its run ends anew, and none is recorded yet.
	req.WaitMs, req.AckedSeq = 0, 0
	reply, err := c.direct.Poll(req, time.Now().Add(directPollTimeout))
	if err == nil {
		c.abandonChannel(ch)
	}
	return reply, err
}

// abandonChannel stops using a channel that failed although the VM answers. The next call picks another relay or goes
// directly to the VM.
func (c *Client) abandonChannel(ch *Channel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.channel == ch {
		c.releaseChannel()
	}
}

// Close stops using the relay and closes the direct client.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseChannel()
	c.closed = true
	c.direct.Close()
}
