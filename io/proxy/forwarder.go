// Package proxy forwards attempts of requests to workers and determines the verdict of each attempt.
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
	defaultConnections = 64
	defaultDialTimeout = time.Second
	// defaultIdleTimeout is below servers' usual keep-alive, so that few requests are sent on a closing connection.
	defaultIdleTimeout     = 15 * time.Second
	defaultContinueTimeout = time.Second
	maxResponseHeaderBytes = 64 << 10
)

// Config holds the settings of a Forwarder. Zero fields take defaults.
type Config struct {
	ViaName         string // pseudonym of this proxy in the Via field
	MaxConnections  int    // initial limit of open connections per worker; see SetMaxConnections
	DialTimeout     time.Duration
	IdleTimeout     time.Duration // time after which an unused connection is closed
	ContinueTimeout time.Duration // longest wait for 100 Continue before the body is sent anyway
}

// Forwarder sends attempts to workers over HTTP/1.1. It is safe for concurrent use.
//
// An HTTP/1.1 response does not identify its request, so a surplus response that arrives late would be taken for
// the answer to the next request on the connection. Therefore a response on a reused connection must repeat the
// request ID. Connections to a worker that does not repeat the ID are not reused.
type Forwarder struct {
	cfg Config

	mu             sync.Mutex
	maxConnections int
	upstreams      map[string]*upstream
	attempts       map[*attemptState]context.CancelCauseFunc // in progress
}

// New returns a Forwarder without open connections.
func New(cfg Config) *Forwarder {
	if cfg.ViaName == "" {
		cfg.ViaName = "sassafrasvalve"
	}
	if cfg.MaxConnections <= 0 {
		cfg.MaxConnections = defaultConnections
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
	return &Forwarder{cfg: cfg, maxConnections: cfg.MaxConnections, upstreams: map[string]*upstream{}, attempts: map[*attemptState]context.CancelCauseFunc{}}
}

// SetMaxConnections sets the limit of open connections to each worker, at least 1.
// If more are open, idle connections are closed at once and busy ones when
// their request ends.
func (f *Forwarder) SetMaxConnections(n int) {
	f.mu.Lock()
	f.maxConnections = max(n, 1)
	upstreams := make([]*upstream, 0, len(f.upstreams))
	for _, u := range f.upstreams {
		upstreams = append(upstreams, u)
	}
	limit := f.maxConnections
	f.mu.Unlock()
	for _, u := range upstreams {
		u.setLimit(limit)
	}
}

// OpenConnections returns the number of open connections to the worker at addr.
func (f *Forwarder) OpenConnections(addr string) int {
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

// RemoveWorker closes the idle connections to the worker at addr and removes its state.
// It is called when a worker leaves the pool. Attempts in progress continue.
func (f *Forwarder) RemoveWorker(addr string) {
	f.mu.Lock()
	u := f.upstreams[addr]
	delete(f.upstreams, addr)
	f.mu.Unlock()
	if u != nil {
		u.retire()
	}
}

// CloseAttempts ends the attempts in progress with ErrClosed, closes their connections
// and returns their number. Attempts that begin later are not affected.
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

func (f *Forwarder) addAttempt(s *attemptState, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts[s] = cancel
}

func (f *Forwarder) removeAttempt(s *attemptState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.attempts, s)
}

// Close closes all idle connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	upstreams := f.upstreams
	f.upstreams = map[string]*upstream{}
	f.mu.Unlock()
	for _, u := range upstreams {
		u.retire()
	}
}

func (f *Forwarder) upstream(addr string) *upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.upstreams[addr]
	if u == nil {
		u = newUpstream(f.cfg, f.maxConnections)
		f.upstreams[addr] = u
	}
	return u
}

// upstream holds the connections to one worker.
type upstream struct {
	transport *http.Transport
	dialer    net.Dialer

	mu               sync.Mutex
	limit            int
	open             int // connections open or being opened
	retired          bool
	repeatsRequestID bool          // the latest response repeated its request's ID
	freed            chan struct{} // closed and replaced when open decreases or limit changes
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

// errNotNeeded is returned by a dial whose attempt got another connection or ended.
var errNotNeeded = errors.New("the attempt no longer needs a new connection")

// dial opens a connection within the worker's limit, and waits while the limit is reached.
// The transport detaches ctx from the attempt, so a waiting dial also watches the attempt's
// noDialNeeded channel.
func (u *upstream) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	s, ok := ctx.Value(attemptStateKey{}).(*attemptState)
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

func (u *upstream) reserve(ctx context.Context, s *attemptState) error {
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
		case <-s.noDialNeeded:
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
	u.wakeDials()
}

// wakeDials wakes waiting dials. It is called with mu held.
func (u *upstream) wakeDials() {
	close(u.freed)
	u.freed = make(chan struct{})
}

// canReuseConnections reports whether connections to the worker may be reused.
func (u *upstream) canReuseConnections() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.repeatsRequestID
}

func (u *upstream) recordIDRepeated(repeated bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.repeatsRequestID = repeated
}

func (u *upstream) setLimit(n int) {
	u.mu.Lock()
	u.limit = n
	u.wakeDials()
	u.mu.Unlock()
	u.trim()
}

func (u *upstream) retire() {
	u.mu.Lock()
	u.retired = true
	u.mu.Unlock()
	u.transport.CloseIdleConnections()
}

// trim closes the idle connections if the worker was removed or more connections are open than the limit allows.
func (u *upstream) trim() {
	u.mu.Lock()
	excess := u.retired || u.open > u.limit
	u.mu.Unlock()
	if excess {
		u.transport.CloseIdleConnections()
	}
}
