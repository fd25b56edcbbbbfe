package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
)

// Errors of connections that refuse a read or write of an attempt.
var (
	errUnsolicited = errors.New("the worker sent data before a request was written")
	errSecondSend  = errors.New("the transport tried to send an attempt twice")
	errUnbound     = errors.New("write outside an attempt")
	errEnded       = errors.New("the attempt has ended")
)

type attemptStateKey struct{}

// attemptState is the state of one attempt that its connection updates: whether a byte of it may have been sent.
type attemptState struct {
	check        func() error
	noDialNeeded chan struct{} // closed when the attempt has a connection or has ended

	mu           sync.Mutex
	conn         *conn
	wrote        bool  // a byte of the attempt may have been sent
	reused       bool  // the connection has carried another attempt
	writeErr     error // error with which a write was refused
	stopDialOnce sync.Once
}

func newAttemptState(check func() error) *attemptState {
	return &attemptState{check: check, noDialNeeded: make(chan struct{})}
}

// stopDial ends the attempt's dial if it still waits for a place within the limit of connections.
func (s *attemptState) stopDial() { s.stopDialOnce.Do(func() { close(s.noDialNeeded) }) }

// bindConn assigns the connection that the transport chose to the attempt. A second connection
// means that the transport repeats the attempt on its own, and is closed.
func (s *attemptState) bindConn(c *conn, reused bool) {
	s.stopDial()
	s.mu.Lock()
	second := s.conn != nil
	if !second {
		s.conn, s.reused = c, reused
	}
	s.mu.Unlock()
	if second {
		c.fail(errSecondSend)
		return
	}
	c.attach(s)
}

// beginWrite runs the attempt's check and, if it passes, records that bytes may be sent. It returns
// an error if the check fails or if finish has already found that nothing was sent.
func (s *attemptState) beginWrite() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr == nil {
		s.writeErr = s.check()
	}
	s.wrote = s.writeErr == nil
	return s.writeErr
}

// undoBeginWrite reverts beginWrite after a write that failed before any byte reached the kernel.
func (s *attemptState) undoBeginWrite(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrote, s.writeErr = false, err
}

// mayHaveWritten reports whether a byte of the attempt may have been sent.
func (s *attemptState) mayHaveWritten() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wrote
}

// onReused reports whether the attempt's connection has carried another attempt.
func (s *attemptState) onReused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reused
}

// finish reports whether a byte of the attempt may have been sent. If none was, later writes are
// refused, and finish returns the error with which a connection refused to write, if any.
func (s *attemptState) finish() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wrote {
		return true, nil
	}
	err := s.writeErr
	if err == nil {
		s.writeErr = errEnded
	}
	return false, err
}

// end detaches the attempt from its connection. If abort is set, it also closes the connection.
func (s *attemptState) end(abort bool) {
	s.stopDial()
	s.mu.Lock()
	c := s.conn
	s.mu.Unlock()
	if c == nil {
		return
	}
	if abort {
		c.fail(net.ErrClosed)
	}
	c.detach(s)
}

// conn is a connection to a worker that carries one attempt at a time.
//
// It writes nothing of an attempt before a read for its response is pending.
// The transport starts that read only when its read buffer is empty, so that
// bytes left over from an earlier response cannot be taken for the answer.
type conn struct {
	net.Conn
	onClose func() // called once, by Close

	mu        sync.Mutex
	changed   sync.Cond
	current   *attemptState // nil between attempts
	reading   bool
	failErr   error // returned by all later reads and writes
	closeOnce sync.Once
}

func newConn(nc net.Conn, onClose func()) *conn {
	c := &conn{Conn: nc, onClose: onClose}
	c.changed.L = &c.mu
	return c
}

func (c *conn) attach(s *attemptState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = s
}

func (c *conn) detach(s *attemptState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == s {
		c.current = nil
	}
}

// fail closes the connection and makes all later reads and writes return err, or the error of an earlier failure.
func (c *conn) fail(err error) {
	c.mu.Lock()
	if c.failErr == nil {
		c.failErr = err
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	_ = c.Close()
}

// Read reads from the worker. It returns errUnsolicited for data that arrives before a request was written.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.failErr != nil {
		defer c.mu.Unlock()
		return 0, c.failErr
	}
	c.reading = true
	c.changed.Broadcast()
	c.mu.Unlock()

	n, err := c.Conn.Read(p)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n > 0 && !c.expectsData() {
		c.failErr = errUnsolicited
		c.changed.Broadcast()
		return 0, errUnsolicited
	}
	return n, err
}

func (c *conn) expectsData() bool { return c.current != nil && c.current.mayHaveWritten() }

// Write sends bytes of the current attempt. Before the first byte it waits until a read is
// pending and runs the attempt's check, which decides whether the request may still start.
func (c *conn) Write(p []byte) (int, error) {
	s, first, err := c.prepareWrite()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		s.undoBeginWrite(err)
	}
	return n, err
}

// ReadFrom sends the data of src. The transport copies bodies with it. Without it, each
// request would allocate a new buffer of chunkBytes.
func (c *conn) ReadFrom(src io.Reader) (int64, error) {
	chunk, _ := chunkPool.Get().(*[chunkBytes]byte)
	defer chunkPool.Put(chunk)
	return io.CopyBuffer(struct{ io.Writer }{c}, src, chunk[:])
}

// prepareWrite returns the current attempt and whether the write is its first. Before the first write it waits until
// a read is pending and runs the check of the attempt.
func (c *conn) prepareWrite() (s *attemptState, first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s = c.current
	if s == nil {
		return nil, false, errUnbound
	}
	if s.mayHaveWritten() {
		return s, false, c.failErr
	}
	for !c.reading && c.failErr == nil {
		c.changed.Wait()
	}
	if c.failErr == nil {
		c.failErr = s.beginWrite()
	}
	return s, true, c.failErr
}

// Close closes the connection and frees its place within the worker's limit.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.failErr == nil {
		c.failErr = net.ErrClosed
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	err := c.Conn.Close()
	c.closeOnce.Do(c.onClose)
	return err
}
