// Package proxy forwards one attempt of a request to one worker and proves what became of it.
package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Defaults of Config.
const (
	defaultConnections     = 64
	defaultDialTimeout     = time.Second
	defaultIdleTimeout     = 15 * time.Second // below the usual keep-alive of servers, so that few requests meet a closing connection
	defaultContinueTimeout = time.Second
	maxResponseHeaderBytes = 64 << 10
)

// Config sets up a Forwarder. Zero fields take defaults.
type Config struct {
	Name            string // pseudonym in Via
	Connections     int    // open connections per worker at the start; see SetConnections
	DialTimeout     time.Duration
	IdleTimeout     time.Duration // an unused connection is closed after it
	ContinueTimeout time.Duration // wait for 100 Continue before a body is sent anyway
}

// Forwarder sends attempts to workers over HTTP/1.1. It is safe for concurrent use.
//
// HTTP/1.1 does not say which request a response belongs to, so that a surplus response that comes late would
// answer the next request of its connection. Therefore a response on a connection that has carried another
// request must repeat the request's ID. A worker that does not repeat it gets each request over a new connection.
type Forwarder struct {
	cfg Config

	mu          sync.Mutex
	connections int
	upstreams   map[string]*upstream
	attempts    map[*sending]context.CancelCauseFunc // in progress
}

// New returns a forwarder without open connections.
func New(cfg Config) *Forwarder {
	if cfg.Name == "" {
		cfg.Name = "sassafrasvalve"
	}
	if cfg.Connections <= 0 {
		cfg.Connections = defaultConnections
	}
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.ContinueTimeout <= 0 {
		cfg.ContinueTimeout = defaultContinueTimeout
	}
	return &Forwarder{cfg: cfg, connections: cfg.Connections, upstreams: map[string]*upstream{}, attempts: map[*sending]context.CancelCauseFunc{}}
}

// SetConnections sets how many connections to each worker may be open, at least 1.
// After a reduction, idle connections above the number are closed at once and
// busy ones when their request ends.
func (f *Forwarder) SetConnections(n int) {
	f.mu.Lock()
	f.connections = max(n, 1)
	us := make([]*upstream, 0, len(f.upstreams))
	for _, u := range f.upstreams {
		us = append(us, u)
	}
	limit := f.connections
	f.mu.Unlock()
	for _, u := range us {
		u.setLimit(limit)
	}
}

// Open returns the number of open connections to the worker at addr.
func (f *Forwarder) Open(addr string) int {
	f.mu.Lock()
	u := f.upstreams[addr]
	f.mu.Unlock()
	if u == nil {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

// Forget closes the idle connections to addr and drops its state.
// It is called when a worker leaves the pool; attempts in progress go on.
func (f *Forwarder) Forget(addr string) {
	f.mu.Lock()
	u := f.upstreams[addr]
	delete(f.upstreams, addr)
	f.mu.Unlock()
	if u != nil {
		u.retire()
	}
}

// CloseAttempts ends the attempts in progress with ErrClosed and closes their connections.
// It returns their number. Attempts that begin later are not affected.
func (f *Forwarder) CloseAttempts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.attempts)
	for s, cancel := range f.attempts {
		cancel(ErrClosed)
		delete(f.attempts, s)
	}
	return n
}

func (f *Forwarder) begin(s *sending, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts[s] = cancel
}

func (f *Forwarder) end(s *sending) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.attempts, s)
}

// Close closes all idle connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	us := f.upstreams
	f.upstreams = map[string]*upstream{}
	f.mu.Unlock()
	for _, u := range us {
		u.retire()
	}
}

func (f *Forwarder) upstream(addr string) *upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.upstreams[addr]
	if u == nil {
		u = newUpstream(f.cfg, f.connections)
		f.upstreams[addr] = u
	}
	return u
}

// upstream is one worker with its connections.
type upstream struct {
	transport *http.Transport
	dialer    net.Dialer

	mu      sync.Mutex
	limit   int
	open    int // connections open or being opened
	retired bool
	echoes  bool          // the latest response repeated its request's ID
	freed   chan struct{} // closed and replaced when open falls or limit changes
}

func newUpstream(cfg Config, limit int) *upstream {
	u := &upstream{
		dialer: net.Dialer{Timeout: cfg.DialTimeout},
		limit:  limit,
		freed:  make(chan struct{}),
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	u.transport = &http.Transport{
		Proxy:                  nil, // the environment must not redirect attempts
		DialContext:            u.dial,
		DisableCompression:     true, // bodies pass unchanged
		Protocols:              protocols,
		IdleConnTimeout:        cfg.IdleTimeout,
		ExpectContinueTimeout:  cfg.ContinueTimeout,
		MaxIdleConnsPerHost:    1 << 20, // dial bounds the number of connections
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return u
}

// errNotNeeded ends a dial whose attempt got another connection or ended.
var errNotNeeded = errors.New("the attempt no longer needs a new connection")

// dial opens a connection within the worker's limit. The transport detaches
// ctx from the attempt, so that the attempt itself says when a waiting dial ends.
func (u *upstream) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	s, ok := ctx.Value(sendingKey{}).(*sending)
	if !ok {
		return nil, errors.New("a connection was dialled outside an attempt")
	}
	if err := u.reserve(ctx, s); err != nil {
		return nil, err
	}
	nc, err := u.dialer.DialContext(ctx, network, addr)
	if err != nil {
		u.unreserve()
		return nil, err
	}
	return newConn(nc, u.unreserve), nil
}

func (u *upstream) reserve(ctx context.Context, s *sending) error {
	for {
		u.mu.Lock()
		if u.open < u.limit {
			u.open++
			u.mu.Unlock()
			return nil
		}
		freed := u.freed
		u.mu.Unlock()
		select {
		case <-freed:
		case <-s.settled:
			return errNotNeeded
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (u *upstream) unreserve() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open--
	u.signal()
}

// signal wakes waiting dials. It is called with mu held.
func (u *upstream) signal() {
	close(u.freed)
	u.freed = make(chan struct{})
}

// repeatsID says whether connections to the worker may be used again.
func (u *upstream) repeatsID() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.echoes
}

func (u *upstream) noteID(repeated bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.echoes = repeated
}

func (u *upstream) setLimit(n int) {
	u.mu.Lock()
	u.limit = n
	u.signal()
	u.mu.Unlock()
	u.trim()
}

func (u *upstream) retire() {
	u.mu.Lock()
	u.retired = true
	u.mu.Unlock()
	u.transport.CloseIdleConnections()
}

// trim closes idle connections when there are more than allowed.
func (u *upstream) trim() {
	u.mu.Lock()
	excess := u.retired || u.open > u.limit
	u.mu.Unlock()
	if excess {
		u.transport.CloseIdleConnections()
	}
}
