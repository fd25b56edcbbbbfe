package relay

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
)

// Timing of the owner's side.
const (
	// flushEvery is the shortest pause between two batches to one entry.
	flushEvery = 10 * time.Millisecond
	// dialTimeout bounds the opening of a connection to an entry.
	dialTimeout = time.Second
	// quietAfter is how long an entry may send nothing while answers are due: it is suspended or cut off then.
	quietAfter = 1200
	// expireEvery is the pause between two searches for calls whose time is over.
	expireEvery = 50 * time.Millisecond
	// batchCalls and batchBytes bound a batch, below the size of a frame.
	batchCalls = 512
	batchBytes = 512 << 10
)

// Channel carries calls to VMs by way of one entry.
type Channel struct {
	Addr     string
	DC       string
	CPUShare float64 // of a core that the entry has

	log    *zap.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{} // of size 1

	mu      sync.Mutex
	queue   []queued
	open    map[int64]pending // sent and not answered
	last    int64             // number of the last call
	heardAt int64             // local ms of the last frame
	vms     int               // that use the channel
	leaving bool              // takes no more calls
}

// queued is a call that waits for the next batch.
type queued struct {
	call Call
	spec string
	pending
}

// pending is a call that has no answer yet.
type pending struct {
	until int64 // local ms
	done  func(Answer)
}

// newChannel returns a channel that runs until it breaks or ctx ends.
func newChannel(ctx context.Context, o Offer, log *zap.Logger) *Channel {
	c := &Channel{
		Addr: o.Addr, DC: o.DC, CPUShare: o.Share, log: log, wake: make(chan struct{}, 1), open: map[int64]pending{},
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	go c.loop()
	return c
}

// begin queues a call, of which done is told what became. It returns false if the channel takes no more.
func (c *Channel) begin(call Call, spec string, within time.Duration, done func(Answer)) bool {
	c.mu.Lock()
	if c.leaving {
		c.mu.Unlock()
		return false
	}
	c.last++
	call.N, call.WithinMs = c.last, within.Milliseconds()
	c.queue = append(c.queue, queued{call, spec, pending{clock.BootMs() + call.WithinMs, done}})
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

// usable reports whether the channel takes calls.
func (c *Channel) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.leaving
}

// count adds to the number of VMs that use the channel.
func (c *Channel) count(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms += n
}

// load returns the number of VMs that use the channel.
func (c *Channel) load() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms
}

func (c *Channel) loop() {
	defer c.end()
	defer c.cancel()
	conn, err := c.dial()
	if err != nil {
		c.log.Info("relay not reached", zap.String("addr", c.Addr), zap.Error(err))
		return
	}
	defer func() { _ = conn.Close() }() // a failure to close frees it as well
	r := &reader{c: c, frames: bufio.NewReader(conn)}
	go r.loop()
	ticker := time.NewTicker(expireEvery)
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
			b := c.next(clock.BootMs())
			if len(b.Calls) == 0 {
				continue
			}
			if err := writeFrame(conn, &b); err != nil {
				c.log.Info("relay lost", zap.String("addr", c.Addr), zap.Error(err))
				return
			}
			time.Sleep(flushEvery)
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
	if _, err := conn.Write([]byte{FirstByte}); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// next returns the next batch. Its calls count as sent, even if the write of the batch fails midway.
func (c *Channel) next(now int64) Batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := Batch{SentMs: now}
	specs := map[string]int{}
	n, size := 0, 0
	for n < len(c.queue) && n < batchCalls && size < batchBytes {
		q := &c.queue[n]
		n++
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
		if len(c.open) == 0 {
			c.heardAt = max(c.heardAt, now) // silence counts from the first call that waits
		}
		c.open[q.call.N] = q.pending
	}
	c.queue = append(c.queue[:0], c.queue[n:]...)
	if len(c.queue) > 0 {
		c.signal()
	}
	return b
}

// expire ends calls that were not answered in time. It returns true once the channel is of no more use.
func (c *Channel) expire(now int64) bool {
	c.mu.Lock()
	var late []func(Answer)
	for n, p := range c.open {
		if now >= p.until {
			late = append(late, p.done)
			delete(c.open, n)
		}
	}
	quiet := len(late) > 0 && now-c.heardAt > quietAfter
	over := c.leaving && len(c.open) == 0 && len(c.queue) == 0
	c.mu.Unlock()
	for _, done := range late {
		done(Answer{Fate: fateUnknown})
	}
	if quiet {
		c.log.Info("relay silent", zap.String("addr", c.Addr), zap.Int("calls", len(late)))
	}
	return quiet || over
}

// end fails what is left when the channel is closed.
func (c *Channel) end() {
	c.mu.Lock()
	c.leaving = true
	queue, open := c.queue, c.open
	c.queue, c.open = nil, map[int64]pending{}
	c.mu.Unlock()
	for i := range queue {
		queue[i].done(Answer{Fate: fateUnsent})
	}
	for _, p := range open {
		p.done(Answer{Fate: fateUnknown})
	}
}

// take ends the calls that a frame answers. A second answer has no effect.
func (c *Channel) take(a *Answers, now int64) {
	done := make([]func(Answer), len(a.List))
	c.mu.Lock()
	c.heardAt = now
	c.leaving = c.leaving || a.Leaving
	for i := range a.List {
		done[i] = c.open[a.List[i].N].done
		delete(c.open, a.List[i].N)
	}
	c.mu.Unlock()
	for i := range done {
		if done[i] != nil {
			done[i](a.List[i])
		}
	}
}

// reader takes the answers off the connection of a channel.
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
				r.c.log.Info("relay lost", zap.String("addr", r.c.Addr), zap.Error(err))
			}
			return
		}
		r.c.take(&a, clock.BootMs())
	}
}
