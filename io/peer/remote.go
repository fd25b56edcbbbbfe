package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sassafrasvalve/io/wire"
)

// sendBuffer bounds the bytes that wait in the kernel for a hung peer.
const sendBuffer = 256 << 10

var (
	errNoAnswer = errors.New("the last connection brought no message")
	errNoName   = errors.New("own member ID is empty")
)

// remote is the connection to one peer.
type remote struct {
	cfg    PoolConfig
	addr   string
	ctx    context.Context // ends with close
	cancel context.CancelFunc
	calls  chan struct{} // one token for each call in progress

	mu       sync.Mutex
	conn     *clientConn
	dialing  chan struct{} // closed when the dial in progress has ended
	failures int           // dials in a row
	retryAt  time.Time     // no dial before
	dialErr  error         // of the last dial
}

// clientConn is one connection and its signs of life.
type clientConn struct {
	rpc      *jsonrpc2.Conn
	received atomic.Int64 // messages
	timeouts atomic.Int64 // calls in a row that ran out of time with nothing received

	mu   sync.Mutex
	said string // name told in the last Hello
}

func newRemote(cfg PoolConfig, addr string) *remote {
	ctx, cancel := context.WithCancel(context.Background())
	return &remote{cfg: cfg, addr: addr, ctx: ctx, cancel: cancel, calls: make(chan struct{}, cfg.MaxInFlight)}
}

func (r *remote) close() { r.cancel() }

// answer is the end of a call.
type answer struct {
	raw    json.RawMessage
	notRun bool
	err    error
}

// call runs a call in a goroutine, since a write to a hung peer does not end with ctx but with its own
// deadline. The bounded number of calls bounds these goroutines.
func (r *remote) call(ctx context.Context, method string, params json.RawMessage, notify bool) (json.RawMessage, bool, error) {
	conn, err := r.connect(ctx)
	if err != nil {
		return nil, true, err
	}
	select {
	case r.calls <- struct{}{}:
	default:
		return nil, true, ErrBusy
	}
	before := conn.received.Load()
	done := make(chan answer, 1)
	go func() {
		defer func() { <-r.calls }()
		done <- conn.exchange(ctx, r.cfg.From(), method, params, notify)
	}()
	select {
	case a := <-done:
		if errors.Is(a.err, context.DeadlineExceeded) {
			r.overdue(conn, before)
		}
		return a.raw, a.notRun, a.err
	case <-ctx.Done():
		r.overdue(conn, before)
		return nil, false, ctx.Err()
	}
}

// exchange sends one message, after a Hello if the peer does not know the present name, and awaits the response.
func (c *clientConn) exchange(ctx context.Context, from, method string, params json.RawMessage, notify bool) answer {
	if err := c.hello(ctx, from); err != nil {
		return answer{notRun: true, err: err}
	}
	if notify {
		err := c.rpc.Notify(ctx, method, params)
		return answer{notRun: errors.Is(err, ErrTooLarge), err: err}
	}
	var raw json.RawMessage
	err := c.rpc.Call(ctx, method, params, &raw)
	return answer{raw: raw, notRun: errors.Is(err, ErrTooLarge) || notRun(err), err: err}
}

func (c *clientConn) hello(ctx context.Context, from string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from == "" {
		return errNoName
	}
	if c.said == from {
		return nil
	}
	if err := c.rpc.Notify(ctx, MethodHello, hello{from}); err != nil {
		return err
	}
	c.said = from
	return nil
}

// overdue counts a call without a response and replaces the connection after several.
func (r *remote) overdue(c *clientConn, before int64) {
	if c.received.Load() != before {
		c.timeouts.Store(0)
		return
	}
	if c.timeouts.Add(1) >= hungCalls {
		_ = c.rpc.Close()
	}
}

// connect returns the open connection, or dials. It waits for a dial in progress until ctx ends,
// and fails at once during the pause after a failed dial.
func (r *remote) connect(ctx context.Context) (*clientConn, error) {
	for {
		r.mu.Lock()
		if conn := r.live(); conn != nil {
			r.mu.Unlock()
			return conn, nil
		}
		if r.dialing == nil {
			if time.Now().Before(r.retryAt) {
				err := r.dialErr
				r.mu.Unlock()
				return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
			}
			r.dialing = make(chan struct{})
			go r.dial(r.dialing)
		}
		dialing := r.dialing
		r.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrUnreachable, ctx.Err())
		}
	}
}

// live returns the open connection, or nil. It is called with mu held.
func (r *remote) live() *clientConn {
	if r.conn == nil || !r.conn.closed() {
		return r.conn
	}
	if r.conn.received.Load() == 0 { // the peer accepts connections but does not answer
		r.pause(errNoAnswer)
	} else {
		r.failures = 0
	}
	r.conn = nil
	return nil
}

// pause puts the next dial off. It is called with mu held.
func (r *remote) pause(cause error) {
	r.dialErr = cause
	r.retryAt = time.Now().Add(wire.Backoff(dialBackoffFirst, dialBackoffMax, r.failures))
	r.failures++
}

// resume ends the pause.
func (r *remote) resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryAt = time.Time{}
}

func (c *clientConn) closed() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (r *remote) dial(done chan struct{}) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(r.ctx, "tcp", r.addr)
	r.mu.Lock()
	defer r.mu.Unlock()
	defer close(done)
	r.dialing = nil
	if err != nil {
		r.pause(err)
		return
	}
	r.conn = r.open(conn)
}

// open starts the protocol on a new connection.
func (r *remote) open(conn net.Conn) *clientConn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBuffer) // the kernel's default is only larger
	}
	c := &clientConn{}
	m := newMeter(r.cfg.Stats, func(string) bool { return true }) // the methods are our own
	st := newStream(conn, limits{size: r.cfg.MaxMessage, message: messageTimeout, write: writeTimeout}, m)
	received := func(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
		c.received.Add(1)
		c.timeouts.Store(0)
		if resp == nil { // a peer does not call back over this connection
			req = nil
		}
		m.onRecv(req, resp)
	}
	c.rpc = jsonrpc2.NewConn(r.ctx, st, noCalls{}, jsonrpc2.SetLogger(stdLog(r.cfg.Log)),
		jsonrpc2.OnRecv(received), jsonrpc2.OnSend(m.onSend))
	return c
}

// noCalls closes a connection over which the called peer calls back.
type noCalls struct{}

// Handle closes the connection.
func (noCalls) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) { _ = conn.Close() }
