// Package relay sends the orders and polls of a pool owner to its VMs through other entries, in batches. The owner makes
// and records all decisions. An entry that relays (a relay) keeps no state that has to survive, and drops calls past
// their time limit.
package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/io/wire"
)

// Intervals and limits of a relay.
const (
	// gatherTime is how long the first answer waits for others, so that they share a frame.
	gatherTime = 10 * time.Millisecond
	// maxQueuedOrders bounds the orders that wait for one VM.
	maxQueuedOrders = 256
	// senderIdleTimeout is how long the connections to a VM stay open without a call. It is long because opening a new
	// connection has a price.
	senderIdleTimeout = 90 * time.Second
	// sweepInterval is the interval between two searches for idle senders.
	sweepInterval = 5 * time.Second
)

// errRelay is the cause in the error of a relayed call without an answer.
var errRelay = errors.New("no answer from the relay")

// VMClient sends orders and polls to one VM. Its errors are *platform.CallError.
type VMClient interface {
	Start(o pools.Order, deadline time.Time) (pools.Reply, error)
	Stop(o pools.Order, deadline time.Time) (pools.Reply, error)
	Throttle(o pools.Order, deadline time.Time) (pools.Reply, error)
	Poll(req pools.PollRequest, deadline time.Time) (pools.PollReply, error)
	Close()
}

// ServerConfig configures a Server. All fields are required.
type ServerConfig struct {
	// NewClient returns a new client of the VM id at addr.
	NewClient func(id, addr string) VMClient
	Log       *zap.Logger
}

// Server relays the calls of owners in other entries to their VMs.
type Server struct {
	cfg ServerConfig

	mu      sync.Mutex
	senders map[string]*sender // by VM and address
	leaving bool               // the process is stopping; no calls are accepted
}

// NewServer returns a server without connections.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg, senders: map[string]*sender{}}
}

// Run closes idle connections to VMs until ctx ends.
func (s *Server) Run(ctx context.Context) { s.loop(ctx) }

func (s *Server) loop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sweep(clock.BootMs())
		}
	}
}

// AnnounceStop tells the owners, with the next answers, that this entry is stopping. Calls that were accepted before are
// still answered, later ones are refused.
func (s *Server) AnnounceStop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// sweep closes the senders that have been idle for senderIdleTimeout.
func (s *Server) sweep(now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, p := range s.senders {
		if now-p.usedAtMs > senderIdleTimeout.Milliseconds() {
			close(p.queue)
			delete(s.senders, key)
		}
	}
}

// Serve relays the calls that arrive on a connection until it breaks or ctx ends. A malformed frame ends only this
// connection.
func (s *Server) Serve(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	se := newSession(s, conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go se.loop(ctx)
	for {
		var b Batch
		if err := readFrame(se.frames, &b); err != nil {
			if ctx.Err() == nil && !errors.Is(err, io.EOF) {
				s.cfg.Log.Info("read from owner failed", zap.Stringer("from", conn.RemoteAddr()), zap.Error(err))
			}
			return
		}
		s.dispatch(se, &b, clock.BootMs())
	}
}

// dispatch passes the calls of a batch to the senders of their VMs. A call that cannot be queued, or has no time left like the probe
// of an owner that has just connected, is answered at once. The time that the batch was delayed on its way counts against the time
// limits of the calls.
func (s *Server) dispatch(se *session, b *Batch, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := se.delay.update(b.SentMs, now)
	for i := range b.Calls {
		c := &b.Calls[i]
		w := vmCall{call: c, session: se, expiresAtMs: now - late + c.WithinMs}
		if c.Spec >= 0 && c.Spec < len(b.Specs) {
			w.spec = b.Specs[c.Spec]
		}
		if s.leaving || c.WithinMs <= 0 || !s.senderFor(c, now).enqueue(w) {
			se.queueAnswer(Answer{N: c.N, Fate: outcomeNotExecuted})
		}
	}
}

// isLeaving reports whether this entry is stopping.
func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// senderFor returns the sender to the VM of a call and starts one if needed. It is called with mu held.
func (s *Server) senderFor(c *Call, now int64) *sender {
	key := c.VM + " " + c.Addr
	p := s.senders[key]
	if p == nil {
		p = &sender{client: s.cfg.NewClient(c.VM, c.Addr), queue: make(chan vmCall, maxQueuedOrders), log: s.cfg.Log}
		s.senders[key] = p
		go p.loop()
	}
	p.usedAtMs = now
	return p
}

// session is the connection of one owner with the answers that wait to be sent on it.
type session struct {
	server *Server
	conn   net.Conn
	frames *bufio.Reader
	wake   chan struct{}  // has capacity 1, so that queueAnswer never blocks
	delay  delayEstimator // of received frames, used by Serve only

	mu      sync.Mutex
	answers []Answer
}

func newSession(s *Server, conn net.Conn) *session {
	return &session{server: s, conn: conn, frames: bufio.NewReader(conn), wake: make(chan struct{}, 1)}
}

// queueAnswer adds an answer to the next frame.
func (se *session) queueAnswer(a Answer) {
	se.mu.Lock()
	se.answers = append(se.answers, a)
	first := len(se.answers) == 1
	se.mu.Unlock()
	if !first {
		return
	}
	select {
	case se.wake <- struct{}{}:
	default:
	}
}

// loop sends the queued answers. Those that arrive within gatherTime share a frame.
func (se *session) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-se.wake:
		}
		wire.Sleep(ctx, gatherTime)
		se.mu.Lock()
		a := Answers{List: se.answers, Leaving: se.server.isLeaving()}
		se.answers = nil
		se.mu.Unlock()
		if err := writeFrame(se.conn, &a); err != nil {
			_ = se.conn.Close() // the owner then calls the VMs directly
			return
		}
	}
}
