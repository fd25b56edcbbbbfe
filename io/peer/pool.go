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
	dialBackoffMax     = 500 * time.Millisecond // a peer that is reachable again is called within a second
	// hungCalls is the number of calls in a row that time out, with nothing received meanwhile, after which a connection
	// is replaced.
	hungCalls = 3
)

// Errors of calls that were not sent, wrapped in a CallError.
var (
	ErrUnreachable = errors.New("peer is unreachable")
	ErrBusy        = errors.New("too many calls to the peer are in progress")
	ErrCut         = errors.New("peer is cut off by fault injection")
	ErrClosed      = errors.New("pool is closed")
)

// CallError is the error of a call without a result. It wraps an error response of the peer as *jsonrpc2.Error.
type CallError struct {
	Addr   string
	Method string
	NotRun bool // the peer has certainly not executed the call
	Err    error
}

// Error states the method, the peer and the cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s of peer %s: %v", e.Method, e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// PoolConfig configures a Pool. All fields but From have defaults for their zero values.
type PoolConfig struct {
	From        func() string // returns the own member ID, which is sent to each peer
	CallTimeout time.Duration // limit for a call whose context ends later
	MaxMessage  int           // limit of a message, in bytes
	MaxInFlight int           // limit of the calls in progress to one peer
	Cut         Cut           // nil without fault injection
	Stats       *Stats
	Log         *zap.Logger
}

// Pool calls other entries over one connection per entry. It is safe for concurrent use.
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

// Call calls a method of the peer at addr and decodes the response into result, unless result is nil.
// Its error is a *CallError. It returns at the latest when ctx or the call timeout ends.
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

// Notify sends a message that has no response. It returns when the message is written. Its error is a *CallError.
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
	var removed []*remote
	for addr, r := range p.peers {
		if !slices.Contains(addrs, addr) {
			removed = append(removed, r)
			delete(p.peers, addr)
		}
	}
	p.mu.Unlock()
	for _, r := range removed {
		r.close()
	}
}

// ResetBackoff ends the pause after failed dials to a peer. It is used for a peer that has just called: that peer runs, also
// if it was not reachable at the last dial.
func (p *Pool) ResetBackoff(addr string) {
	p.mu.Lock()
	r := p.peers[addr]
	p.mu.Unlock()
	if r != nil {
		r.resetBackoff()
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

// notRun reports whether an error response means that the peer did not execute the call.
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
