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
	"go.uber.org/zap"

	"sassafrasvalve/io/wire"
)

// sendBufferBytes bounds the bytes that the kernel buffers for a hung peer.
const sendBufferBytes = 256 << 10

var (
	errNoAnswer   = errors.New("no message was received on the last connection")
	errNoMemberID = errors.New("own member ID is empty")
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
	failures int           // failed dials in a row
	retryAt  time.Time     // earliest time of the next dial
	dialErr  error         // of the last failed dial
}

// clientConn is one connection with the counts that tell whether the peer answers on it.
type clientConn struct {
	rpc      *jsonrpc2.Conn
	received atomic.Int64 // messages received
	timeouts atomic.Int64 // calls in a row that timed out with nothing received meanwhile

	mu           sync.Mutex
	sentMemberID string // member ID sent in the last Hello
}

func newRemote(cfg PoolConfig, addr string) *remote {
	ctx, cancel := context.WithCancel(context.Background())
	return &remote{cfg: cfg, addr: addr, ctx: ctx, cancel: cancel, calls: make(chan struct{}, cfg.MaxInFlight)}
}

func (r *remote) close() { r.cancel() }

// answer is the result of a call.
type answer struct {
	raw    json.RawMessage
	notRun bool
	err    error
}

// call sends a message in a new goroutine, since a write to a hung peer does not end with ctx but with its own
// deadline. MaxInFlight bounds these goroutines. The boolean result reports whether the call was certainly not executed.
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
			r.handleTimeout(conn, before)
		}
		return a.raw, a.notRun, a.err
	case <-ctx.Done():
		r.handleTimeout(conn, before)
		return nil, false, ctx.Err()
	}
}

// exchange sends one message and waits for the response. It sends a Hello first if the peer does not know the current
// member ID.
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

// hello sends the member ID unless it was the last one sent.
func (c *clientConn) hello(ctx context.Context, from string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from == "" {
		return errNoMemberID
	}
	if c.sentMemberID == from {
		return nil
	}
	if err := c.rpc.Notify(ctx, MethodHello, hello{from}); err != nil {
		return err
	}
	c.sentMemberID = from
	return nil
}

// handleTimeout counts a call without a response. After hungCalls such calls in a row it closes the connection, which the
// next call replaces. before is the number of messages received when the call began.
func (r *remote) handleTimeout(c *clientConn, before int64) {
	if c.received.Load() != before {
		c.timeouts.Store(0)
		return
	}
	if c.timeouts.Add(1) >= hungCalls {
		_ = c.rpc.Close()
	}
}

// connect returns the open connection, or a new one. It waits for a dial in progress until ctx ends, and fails at once
// during the pause after a failed dial.
func (r *remote) connect(ctx context.Context) (*clientConn, error) {
	for {
		r.mu.Lock()
		if conn := r.openConn(); conn != nil {
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

// openConn returns the open connection, or nil. It is called with mu held.
func (r *remote) openConn() *clientConn {
	if r.conn == nil || !r.conn.closed() {
		return r.conn
	}
	if r.conn.received.Load() == 0 { // the peer accepts connections but does not answer
		r.delayDial(errNoAnswer)
	} else {
		r.failures = 0
	}
	r.conn = nil
	return nil
}

// delayDial starts a pause before the next dial. It is called with mu held.
func (r *remote) delayDial(cause error) {
	r.dialErr = cause
	r.retryAt = time.Now().Add(wire.Backoff(dialBackoffFirst, dialBackoffMax, r.failures))
	r.failures++
}

// resetBackoff ends the pause after a failed dial.
func (r *remote) resetBackoff() {
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
		r.delayDial(err)
		return
	}
	r.conn = r.open(conn)
}

// open starts the protocol on a new connection.
func (r *remote) open(conn net.Conn) *clientConn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes) // after a failure the kernel's default applies, which is larger
	}
	if err := wire.ResetOnClose(conn); err != nil {
		r.cfg.Log.Warn("calls that are given up may still reach the peer", zap.String("addr", r.addr), zap.Error(err))
	}
	c := &clientConn{}
	m := newMeter(r.cfg.Stats, func(string) bool { return true }) // this process chooses the methods that it calls
	st := newStream(conn, limits{size: r.cfg.MaxMessage, message: messageTimeout, write: writeTimeout}, m)
	received := func(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
		c.received.Add(1)
		c.timeouts.Store(0)
		if resp == nil { // requests of the peer are not expected on this connection
			req = nil
		}
		m.onRecv(req, resp)
	}
	c.rpc = jsonrpc2.NewConn(r.ctx, st, noCalls{}, jsonrpc2.SetLogger(stdLog(r.cfg.Log)),
		jsonrpc2.OnRecv(received), jsonrpc2.OnSend(m.onSend))
	return c
}

// noCalls is the handler of connections to peers. It closes a connection on which the peer sends a request.
type noCalls struct{}

// Handle closes the connection.
func (noCalls) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) { _ = conn.Close() }
