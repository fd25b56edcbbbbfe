// Package relay has other entries send the orders and polls of an owner to its VMs, in batches. The owner decides and
// records everything; an entry that relays keeps no state that matters, and drops calls whose time is over.
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

// Timing of the entry that relays.
const (
	// gatherFor is how long answers are gathered once the first is there, so that they share a frame.
	gatherFor = 10 * time.Millisecond
	// ordersWaiting bounds the orders that wait for one VM.
	ordersWaiting = 256
	// senderIdle is how long the channels to a VM stay open without a call. New channels are priced.
	senderIdle = 90 * time.Second
	// sweepEvery is the pause between two searches for what is idle.
	sweepEvery = 5 * time.Second
)

// errRelay marks a call whose relaying failed.
var errRelay = errors.New("the relay brought no answer")

// VMClient sends orders to one VM.
type VMClient interface {
	Start(o pools.Order, deadline time.Time) (pools.Reply, error)
	Stop(o pools.Order, deadline time.Time) (pools.Reply, error)
	Throttle(o pools.Order, deadline time.Time) (pools.Reply, error)
	Poll(l pools.PollRequest, deadline time.Time) (pools.PollReply, error)
	Close()
}

// ServerConfig is what a Server needs.
type ServerConfig struct {
	// Client makes a client of the VM id at addr.
	Client func(id, addr string) VMClient
	Log    *zap.Logger
}

// Server carries out the calls of owners in other entries.
type Server struct {
	cfg ServerConfig

	mu      sync.Mutex
	senders map[string]*sender // by VM and address
	leaving bool
}

// NewServer returns a server that has relayed nothing yet.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg, senders: map[string]*sender{}}
}

// Run closes what is idle until ctx ends.
func (s *Server) Run(ctx context.Context) { s.loop(ctx) }

func (s *Server) loop(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
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

// AnnounceStop has owners told that this entry stops. Calls that came before are answered.
func (s *Server) AnnounceStop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *Server) sweep(now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, p := range s.senders {
		if now-p.usedAt > senderIdle.Milliseconds() {
			close(p.work)
			delete(s.senders, key)
		}
	}
}

// Serve carries out the calls that come over a connection, until it or ctx ends. A frame that cannot be read ends the
// connection only.
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
				s.cfg.Log.Info("connection of an owner ended", zap.Stringer("from", conn.RemoteAddr()), zap.Error(err))
			}
			return
		}
		s.begin(se, &b, clock.BootMs())
	}
}

// begin hands the calls of a batch to the senders of their VMs.
func (s *Server) begin(se *session, b *Batch, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := se.delay.of(b.SentMs, now)
	for i := range b.Calls {
		c := &b.Calls[i]
		w := work{call: c, session: se, until: now - late + c.WithinMs}
		if c.Spec >= 0 && c.Spec < len(b.Specs) {
			w.spec = b.Specs[c.Spec]
		}
		if s.leaving || !s.sender(c, now).push(w) {
			se.put(Answer{N: c.N, Fate: fateUnsent})
		}
	}
}

// isLeaving reports whether this entry stops.
func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// sender returns the sender to the VM of a call. It is called with mu held.
func (s *Server) sender(c *Call, now int64) *sender {
	key := c.VM + " " + c.Addr
	p := s.senders[key]
	if p == nil {
		p = &sender{client: s.cfg.Client(c.VM, c.Addr), work: make(chan work, ordersWaiting), log: s.cfg.Log}
		s.senders[key] = p
		go p.loop()
	}
	p.usedAt = now
	return p
}

// session is the connection of one owner, and the answers that wait to be sent over it.
type session struct {
	server *Server
	conn   net.Conn
	frames *bufio.Reader
	wake   chan struct{} // of size 1
	delay  delay         // of the frames; of Serve

	mu    sync.Mutex
	ready []Answer
}

func newSession(s *Server, conn net.Conn) *session {
	return &session{server: s, conn: conn, frames: bufio.NewReader(conn), wake: make(chan struct{}, 1)}
}

func (se *session) put(a Answer) {
	se.mu.Lock()
	se.ready = append(se.ready, a)
	first := len(se.ready) == 1
	se.mu.Unlock()
	if !first {
		return
	}
	select {
	case se.wake <- struct{}{}:
	default:
	}
}

// loop sends the answers, those that come close together in one frame.
func (se *session) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-se.wake:
		}
		wire.Sleep(ctx, gatherFor)
		se.mu.Lock()
		a := Answers{List: se.ready, Leaving: se.server.isLeaving()}
		se.ready = nil
		se.mu.Unlock()
		if err := writeFrame(se.conn, &a); err != nil {
			_ = se.conn.Close() // the owner calls the VMs itself
			return
		}
	}
}
