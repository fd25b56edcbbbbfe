package relay

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/io/wire"
)

// Intervals and limits of the owner's side.
const (
	// flushInterval is the shortest pause between two batches to one relay.
	flushInterval = 10 * time.Millisecond
	// dialTimeout bounds the connection setup to a relay.
	dialTimeout = time.Second
	// probeTimeout bounds the wait for the answer to the first frame. It is also the longest time by which a relay that is
	// suspended again right after that answer can misjudge the delay of a call.
	probeTimeout = time.Second
	// silentAfterMs is how long a relay may send nothing while answers are due. After that it counts as suspended or
	// disconnected and its channel is closed.
	silentAfterMs = 1200
	// expireInterval is the interval between two searches for calls past their time limit.
	expireInterval = 50 * time.Millisecond
	// maxBatchCalls and maxBatchBytes bound a batch so that it fits into a frame.
	maxBatchCalls = 512
	maxBatchBytes = 512 << 10
)

// Channel sends an owner's calls to VMs through one relay. Its loop ends when the connection breaks, the relay stays
// silent, or the relay has stopped accepting calls and all are answered.
type Channel struct {
	Addr     string
	DC       string
	CPUShare float64 // CPU of the relay, in cores

	log    *zap.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{} // has capacity 1, so that signal never blocks

	mu            sync.Mutex
	queue         []queuedCall
	unanswered    map[int64]pendingCall // sent calls without an answer, by number
	lastNumber    int64                 // number of the newest call
	lastFrameAtMs int64                 // local ms at which the newest frame arrived
	vms           int                   // VMs that use the channel
	leaving       bool                  // accepts no more calls
}

// queuedCall is a call that waits for the next batch.
type queuedCall struct {
	call Call
	spec string
	pendingCall
}

// pendingCall holds the time limit and the callback of a call without an answer.
type pendingCall struct {
	expiresAtMs int64 // local ms
	done        func(Answer)
}

// newChannel returns a channel to the relay that made an offer and starts its loop, which also ends with ctx.
func newChannel(ctx context.Context, o Offer, log *zap.Logger) *Channel {
	c := &Channel{
		Addr: o.Addr, DC: o.DC, CPUShare: o.Share, log: log, wake: make(chan struct{}, 1), unanswered: map[int64]pendingCall{},
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	go c.loop()
	return c
}

// enqueue queues a call for the next batch. done is called once: with the answer, with an unknown outcome if none arrives
// in time, or with a failure when the channel is closed. It returns false, without calling done, if the channel accepts no
// more calls.
func (c *Channel) enqueue(call Call, spec string, within time.Duration, done func(Answer)) bool {
	c.mu.Lock()
	if c.leaving {
		c.mu.Unlock()
		return false
	}
	c.lastNumber++
	call.N = c.lastNumber
	c.queue = append(c.queue, queuedCall{call, spec, pendingCall{clock.BootMs() + within.Milliseconds(), done}})
	first := len(c.queue) == 1
	c.mu.Unlock()
	if first {
		c.signal()
	}
	return true
}

func (c *Channel) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// usable reports whether the channel accepts calls.
func (c *Channel) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.leaving
}

// addVMs changes the number of VMs that use the channel by n.
func (c *Channel) addVMs(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms += n
}

// vmCount returns the number of VMs that use the channel.
func (c *Channel) vmCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms
}

func (c *Channel) loop() {
	defer c.failCalls()
	defer c.cancel()
	conn, err := c.dial()
	if err != nil {
		c.log.Info("connect to relay failed", zap.String("addr", c.Addr), zap.Error(err))
		return
	}
	defer func() { _ = conn.Close() }() // the connection is released even if Close returns an error
	r := &reader{c: c, frames: bufio.NewReader(conn)}
	go r.loop()
	if err := c.probe(conn); err != nil {
		c.log.Info("relay does not answer", zap.String("addr", c.Addr), zap.Error(err))
		return
	}
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
			if c.expire(clock.BootMs()) {
				return
			}
		case <-c.wake:
			b := c.nextBatch(clock.BootMs())
			if len(b.Calls) == 0 {
				continue
			}
			if err := writeFrame(conn, &b); err != nil {
				c.log.Info("write to relay failed", zap.String("addr", c.Addr), zap.Error(err))
				return
			}
			time.Sleep(flushInterval)
		}
	}
}

func (c *Channel) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return nil, err
	}
	err = wire.ResetOnClose(conn)
	if err == nil {
		_, err = conn.Write([]byte{FirstByte})
	}
	if err != nil {
		_ = conn.Close() // the error of the connection is returned
		return nil, err
	}
	return conn, nil
}

// probeNumber is the number of the call that probes a relay. Those of other calls start at 1.
const probeNumber = 0

// probe sends a call without time left, which a relay answers without sending it to a VM, and waits for the answer. A relay judges
// the delay of a frame by earlier ones, so it can't tell that it was suspended while the first frame arrived. Therefore that frame
// carries no order.
func (c *Channel) probe(conn net.Conn) error {
	answered := make(chan struct{})
	now := clock.BootMs()
	c.mu.Lock()
	c.unanswered[probeNumber] = pendingCall{now + probeTimeout.Milliseconds(), func(Answer) { close(answered) }}
	c.mu.Unlock()
	if err := writeFrame(conn, &Batch{SentMs: now, Calls: []Call{{N: probeNumber, Kind: callPoll, Spec: noSpec}}}); err != nil {
		return err
	}
	timer := time.NewTimer(probeTimeout)
	defer timer.Stop()
	select {
	case <-answered:
		return nil
	case <-timer.C:
		return context.DeadlineExceeded
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

// nextBatch takes the next batch off the queue. Its calls count as sent, since a failed write may have sent a part of it. Calls
// past their time limit are not sent: calls may wait for the connection, for the write of an earlier batch, or while this process
// is suspended.
func (c *Channel) nextBatch(now int64) Batch {
	b, expired := c.takeCalls(now)
	for _, done := range expired {
		done(Answer{Fate: outcomeNotExecuted})
	}
	return b
}

// takeCalls takes calls off the queue. It returns the next batch, and the callbacks of the calls that it left out because their
// time limits have passed.
func (c *Channel) takeCalls(now int64) (b Batch, expired []func(Answer)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b.SentMs = now
	specs := map[string]int{}
	n, size := 0, 0
	for n < len(c.queue) && n < maxBatchCalls && size < maxBatchBytes {
		q := &c.queue[n]
		n++
		if now >= q.expiresAtMs {
			expired = append(expired, q.done)
			continue
		}
		q.call.WithinMs = q.expiresAtMs - now
		q.call.Spec = noSpec
		if q.spec != "" {
			i, known := specs[q.spec]
			if !known {
				i = len(b.Specs)
				specs[q.spec] = i
				b.Specs = append(b.Specs, q.spec)
				size += len(q.spec)
			}
			q.call.Spec = i
		}
		size += len(q.call.Item) + len(q.call.Ticket) + len(q.call.Ref)
		b.Calls = append(b.Calls, q.call)
		if len(c.unanswered) == 0 {
			c.lastFrameAtMs = max(c.lastFrameAtMs, now) // a relay is not silent before a call waits for it
		}
		c.unanswered[q.call.N] = q.pendingCall
	}
	c.queue = append(c.queue[:0], c.queue[n:]...)
	if len(c.queue) > 0 {
		c.signal()
	}
	return b, expired
}

// expire fails the calls past their time limit with an unknown outcome. It returns true if the channel must be closed: the
// relay is silent, or it is stopping and no call is left.
func (c *Channel) expire(now int64) bool {
	c.mu.Lock()
	var late []func(Answer)
	for n, p := range c.unanswered {
		if now >= p.expiresAtMs {
			late = append(late, p.done)
			delete(c.unanswered, n)
		}
	}
	silent := len(late) > 0 && now-c.lastFrameAtMs > silentAfterMs
	finished := c.leaving && len(c.unanswered) == 0 && len(c.queue) == 0
	c.mu.Unlock()
	for _, done := range late {
		done(Answer{Fate: outcomeUnknown})
	}
	if silent {
		c.log.Info("relay does not answer", zap.String("addr", c.Addr), zap.Int("calls", len(late)))
	}
	return silent || finished
}

// failCalls fails the remaining calls when the channel is closed. Those in the queue were certainly not executed, those
// that were sent may have been.
func (c *Channel) failCalls() {
	c.mu.Lock()
	c.leaving = true
	queue, open := c.queue, c.unanswered
	c.queue, c.unanswered = nil, map[int64]pendingCall{}
	c.mu.Unlock()
	for i := range queue {
		queue[i].done(Answer{Fate: outcomeNotExecuted})
	}
	for _, p := range open {
		p.done(Answer{Fate: outcomeUnknown})
	}
}

// handleAnswers completes the calls that a frame answers. A second answer to a call has no effect.
func (c *Channel) handleAnswers(a *Answers, now int64) {
	done := make([]func(Answer), len(a.List))
	c.mu.Lock()
	c.lastFrameAtMs = now
	c.leaving = c.leaving || a.Leaving
	for i := range a.List {
		done[i] = c.unanswered[a.List[i].N].done
		delete(c.unanswered, a.List[i].N)
	}
	c.mu.Unlock()
	for i := range done {
		if done[i] != nil {
			done[i](a.List[i])
		}
	}
}

// reader reads the answers from the connection of a channel, and closes the channel when that fails.
type reader struct {
	c      *Channel
	frames *bufio.Reader
}

func (r *reader) loop() {
	defer r.c.cancel()
	for {
		var a Answers
		if err := readFrame(r.frames, &a); err != nil {
			if r.c.ctx.Err() == nil {
				r.c.log.Info("read from relay failed", zap.String("addr", r.c.Addr), zap.Error(err))
			}
			return
		}
		r.c.handleAnswers(&a, clock.BootMs())
	}
}
