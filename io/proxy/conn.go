package proxy

import (
	"errors"
	"net"
	"sync"
)

// Errors of a connection that is closed before it carries a request.
var (
	errUnsolicited = errors.New("the worker sent data before a request was written")
	errSecondSend  = errors.New("the transport tried to send an attempt twice")
	errUnbound     = errors.New("write outside an attempt")
	errEnded       = errors.New("the attempt has ended")
	errNameless    = errors.New("an earlier response on this connection had no request ID, so a late one could not be told apart")
)

type sendingKey struct{}

// sending is what connections know about one attempt: whether a byte of it may have left.
type sending struct {
	check   func() error
	settled chan struct{} // closed when the attempt has its connection or has ended

	mu      sync.Mutex
	conn    *conn
	wrote   bool
	second  bool  // the connection carried an earlier attempt
	refused error // why the connection refused to write
	once    sync.Once
}

func newSending(check func() error) *sending {
	return &sending{check: check, settled: make(chan struct{})}
}

func (s *sending) settle() { s.once.Do(func() { close(s.settled) }) }

// bind ties the attempt to the connection that the transport chose.
// A second connection means that the transport repeats the attempt on its own, which is refused.
func (s *sending) bind(c *conn) {
	s.settle()
	s.mu.Lock()
	second := s.conn != nil
	if !second {
		s.conn = c
	}
	s.mu.Unlock()
	if second {
		c.fail(errSecondSend)
		return
	}
	c.begin(s)
}

// start allows the first byte, after the attempt's check. Once finish has ruled that
// nothing was sent, it refuses.
func (s *sending) start(reused bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.second = reused
	if s.refused == nil {
		s.refused = s.check()
	}
	s.wrote = s.refused == nil
	return s.refused
}

// unsent takes start back after a write that failed before any byte reached the kernel.
func (s *sending) unsent(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrote, s.refused = false, err
}

// started says whether a byte of the attempt may have left.
func (s *sending) started() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wrote
}

// reused says whether the connection carried an earlier attempt.
func (s *sending) reused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.second
}

// retire keeps the connection from carrying another attempt.
func (s *sending) retire() {
	s.mu.Lock()
	c := s.conn
	s.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nameless = true
}

// finish says whether a byte of the attempt may have left. If none has, none will,
// and the error says why, if a connection refused.
func (s *sending) finish() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wrote {
		return true, nil
	}
	err := s.refused
	if err == nil {
		s.refused = errEnded
	}
	return false, err
}

// end unties the attempt. abort also closes its connection.
func (s *sending) end(abort bool) {
	s.settle()
	s.mu.Lock()
	c := s.conn
	s.mu.Unlock()
	if c == nil {
		return
	}
	if abort {
		c.fail(net.ErrClosed)
	}
	c.release(s)
}

// conn is a connection to a worker that carries one attempt at a time.
//
// It writes nothing of an attempt before a read for its response is pending.
// The transport's reader starts that read only once its buffer is empty, so no
// bytes left over from an earlier response can be taken for the answer.
type conn struct {
	net.Conn
	closed func() // called once at Close

	mu      sync.Mutex
	changed sync.Cond
	cur     *sending
	reading bool
	broken  error
	once    sync.Once

	used     bool // carried an attempt
	nameless bool // a response had no request ID
}

func newConn(nc net.Conn, closed func()) *conn {
	c := &conn{Conn: nc, closed: closed}
	c.changed.L = &c.mu
	return c
}

func (c *conn) begin(s *sending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cur = s
	if c.nameless && c.broken == nil {
		c.broken = errNameless
	}
}

func (c *conn) release(s *sending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cur == s {
		c.cur = nil
	}
}

// fail makes all later reads and writes return err, and closes the connection.
func (c *conn) fail(err error) {
	c.mu.Lock()
	if c.broken == nil {
		c.broken = err
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	_ = c.Close()
}

// Read reads from the worker. Data that arrives before a request was written is an error.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.broken != nil {
		defer c.mu.Unlock()
		return 0, c.broken
	}
	c.reading = true
	c.changed.Broadcast()
	c.mu.Unlock()

	n, err := c.Conn.Read(p)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n > 0 && !c.expectsData() {
		c.broken = errUnsolicited
		c.changed.Broadcast()
		return 0, errUnsolicited
	}
	return n, err
}

func (c *conn) expectsData() bool { return c.cur != nil && c.cur.started() }

// Write sends bytes of the current attempt. Before the first of them it waits for
// the pending read and asks the attempt's check whether the request may still start.
func (c *conn) Write(p []byte) (int, error) {
	s, first, err := c.open()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		s.unsent(err)
	}
	return n, err
}

func (c *conn) open() (s *sending, first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s = c.cur
	if s == nil {
		return nil, false, errUnbound
	}
	if s.started() {
		return s, false, c.broken
	}
	for !c.reading && c.broken == nil {
		c.changed.Wait()
	}
	if c.broken == nil {
		c.broken = s.start(c.used)
		c.used = true
	}
	return s, true, c.broken
}

// Close closes the connection and gives its place back.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.broken == nil {
		c.broken = net.ErrClosed
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	err := c.Conn.Close()
	c.once.Do(c.closed)
	return err
}
