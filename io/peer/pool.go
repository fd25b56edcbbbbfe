package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
)

const (
	defaultCallTimeout = time.Second
	defaultMaxInFlight = 64
	dialTimeout        = time.Second
	dialBackoffFirst   = 50 * time.Millisecond
	dialBackoffMax     = 500 * time.Millisecond // a peer that is back is called again within a second
	// A connection on which hungCalls calls in a row ran out of time, with nothing received meanwhile, is replaced.
	hungCalls = 3
)

// Reasons why a call was not sent.
var (
	ErrUnreachable = errors.New("peer is unreachable")
	ErrBusy        = errors.New("too many calls to the peer are in progress")
	ErrCut         = errors.New("peer is cut off by fault injection")
	ErrClosed      = errors.New("pool is closed")
)

// CallError says why a call brought no result. An error response of the peer is in it as *jsonrpc2.Error.
type CallError struct {
	Addr   string
	Method string
	NotRun bool // the peer has certainly not run the call
	Err    error
}

// Error states the peer and the method.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s of peer %s: %v", e.Method, e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// PoolConfig configures a Pool. Zero values get defaults.
type PoolConfig struct {
	From        func() string // own member ID, told to each peer
	CallTimeout time.Duration // of a call whose context ends later
	MaxMessage  int           // bytes
	MaxInFlight int           // calls to one peer
	Cut         Cut           // nil without fault injection
	Stats       *Stats
	Log         *zap.Logger
}

// Pool calls other entries over one connection each. It is safe for concurrent use.
type Pool struct {
	cfg PoolConfig

	mu     sync.Mutex
	peers  map[string]*remote
	closed bool
}

// NewPool returns a pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	if cfg.MaxMessage == 0 {
		cfg.MaxMessage = defaultMaxMessage
	}
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = defaultMaxInFlight
	}
	if cfg.Stats == nil {
		cfg.Stats = NewStats()
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Pool{cfg: cfg, peers: map[string]*remote{}}
}

// Call calls a method of the peer at addr and stores the result, unless result is nil.
// It returns a *CallError at the latest when ctx or the call timeout ends.
func (p *Pool) Call(ctx context.Context, addr, method string, params, result any) error {
	raw, err := p.do(ctx, addr, method, params, false)
	if err != nil || result == nil {
		return err
	}
	if err := json.Unmarshal(raw, result); err != nil {
		return &CallError{Addr: addr, Method: method, Err: eris.Wrap(err, "decode result")}
	}
	return nil
}

// Notify sends a message without a response. It returns when the message is written.
func (p *Pool) Notify(ctx context.Context, addr, method string, params any) error {
	_, err := p.do(ctx, addr, method, params, true)
	return err
}

func (p *Pool) do(ctx context.Context, addr, method string, params any, notify bool) (json.RawMessage, error) {
	data, err := json.Marshal(params)
	if err != nil {
		return nil, &CallError{Addr: addr, Method: method, NotRun: true, Err: eris.Wrap(err, "encode parameters")}
	}
	if p.cfg.Cut != nil && p.cfg.Cut.Cut(addr) {
		return nil, &CallError{Addr: addr, Method: method, NotRun: true, Err: ErrCut}
	}
	peer, err := p.peer(addr)
	if err != nil {
		return nil, &CallError{Addr: addr, Method: method, NotRun: true, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	raw, notRun, err := peer.call(ctx, method, data, notify)
	if err != nil {
		return nil, &CallError{Addr: addr, Method: method, NotRun: notRun, Err: err}
	}
	return raw, nil
}

func (p *Pool) peer(addr string) (*remote, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	r, ok := p.peers[addr]
	if !ok {
		r = newRemote(p.cfg, addr)
		p.peers[addr] = r
	}
	return r, nil
}

// CloseExcept closes the connections to all peers but those at addrs.
func (p *Pool) CloseExcept(addrs []string) {
	p.mu.Lock()
	var gone []*remote
	for addr, r := range p.peers {
		if !slices.Contains(addrs, addr) {
			gone = append(gone, r)
			delete(p.peers, addr)
		}
	}
	p.mu.Unlock()
	for _, r := range gone {
		r.close()
	}
}

// ResetBackoff ends the pause after failed dials to a peer that has just called: it has started anew.
func (p *Pool) ResetBackoff(addr string) {
	p.mu.Lock()
	r := p.peers[addr]
	p.mu.Unlock()
	if r != nil {
		r.resume()
	}
}

// Close closes all connections. Calls in progress and later ones fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	peers := slices.Collect(maps.Values(p.peers))
	p.mu.Unlock()
	for _, r := range peers {
		r.close()
	}
}

// notRun reports whether an error response says that the call was not run.
func notRun(err error) bool {
	var e *jsonrpc2.Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.Code {
	case CodeBusy, CodeHello, CodeCut, jsonrpc2.CodeMethodNotFound:
		return true
	}
	return false
}
