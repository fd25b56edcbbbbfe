// Package peer carries calls between entries: jsonrpc2 over TCP, heartbeats, state transfer and log relay.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"log"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
)

// The methods that this package defines. Hello is sent first on each connection.
const (
	MethodHello      = "Hello"
	MethodHeartbeat  = "Heartbeat"
	MethodGetState   = "GetState"
	MethodGetRecords = "GetRecords"
)

// The codes of error responses beside those of JSON-RPC.
const (
	CodeBusy  = -32000 // too many calls in progress; the call was not run
	CodeGone  = -32001 // the snapshot or the records are no longer held
	CodeHello = -32002 // the connection has not said Hello; the call was not run
	CodeCut   = -32003 // fault injection; the call was not run
)

const (
	defaultMaxMessage  = 1 << 20          // bytes; several state chunks or a relay of 512 KiB in base64
	defaultMaxCalls    = 32               // in progress on one connection
	defaultMaxConns    = 1500             // one from each entry of the largest target, 1,072 entries, and those that replace them; 4,100 descriptors at the least
	defaultIdleTimeout = 30 * time.Second // heartbeats come every 500 ms
	messageTimeout     = 5 * time.Second
	writeTimeout       = time.Second
	handlerTimeout     = 10 * time.Second
	maxNameLength      = 256 // bytes of a caller's name
)

// Cut tells which peers are unreachable by fault injection. A peer is named by its address or member ID.
type Cut interface {
	Cut(peer string) bool
}

// Handler serves one method. From is the caller's member ID. A returned *jsonrpc2.Error is passed on as it is.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// ServerConfig configures a Server. Zero values get defaults.
type ServerConfig struct {
	Listen      string // IP:port
	MaxMessage  int    // bytes
	MaxCalls    int    // in progress on one connection
	MaxConns    int
	IdleTimeout time.Duration
	Cut         Cut // nil without fault injection
	// ServeRaw serves connections whose first byte is 0, which begins no call; nil refuses them. The byte is taken off.
	ServeRaw func(ctx context.Context, conn net.Conn)
	Stats    *Stats
	Log      *zap.Logger
}

// Server answers the calls of other entries.
type Server struct {
	cfg      ServerConfig
	handlers map[string]Handler

	mu    sync.Mutex
	ln    net.Listener
	conns map[*link]struct{}
	wg    sync.WaitGroup
}

// NewServer returns a server without handlers.
func NewServer(cfg ServerConfig) *Server {
	if cfg.MaxMessage == 0 {
		cfg.MaxMessage = defaultMaxMessage
	}
	if cfg.MaxCalls == 0 {
		cfg.MaxCalls = defaultMaxCalls
	}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = defaultMaxConns
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.Stats == nil {
		cfg.Stats = NewStats()
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Server{cfg: cfg, handlers: map[string]Handler{}, conns: map[*link]struct{}{}}
}

// Handle registers a handler. It is called before Run.
func (s *Server) Handle(method string, h Handler) { s.handlers[method] = h }

// Listen opens the listening socket.
func (s *Server) Listen(ctx context.Context) error {
	ln, err := new(net.ListenConfig).Listen(ctx, "tcp", s.cfg.Listen)
	if err != nil {
		return eris.Wrapf(err, "listen for peers on %s", s.cfg.Listen)
	}
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	return nil
}

// Addr returns the address that the server listens on, or "" before Listen.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln == nil {
		return ""
	}
	return s.ln.Addr().String()
}

// Run serves until ctx ends, then closes all connections and waits for the calls in progress.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.ln.Close() })
	defer stop()
	defer s.wg.Wait()
	for {
		conn, err := s.ln.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "accept peers")
		}
		if err != nil { // such as too many open files
			s.cfg.Log.Warn("cannot accept a peer", zap.Error(err))
			time.Sleep(acceptPause)
			continue
		}
		s.accept(ctx, conn)
	}
}

const acceptPause = 50 * time.Millisecond

func (s *Server) accept(ctx context.Context, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.cfg.MaxConns {
		s.cfg.Log.Warn("too many peer connections", zap.Stringer("from", conn.RemoteAddr()))
		_ = conn.Close()
		return
	}
	l := &link{server: s, calls: make(chan struct{}, s.cfg.MaxCalls)}
	l.meter = newMeter(s.cfg.Stats, func(method string) bool {
		return method == MethodHello || s.handlers[method] != nil
	})
	if s.cfg.ServeRaw != nil {
		s.conns[l] = struct{}{}
		s.wg.Go(func() { s.sort(ctx, conn, l) })
		return
	}
	s.open(ctx, conn, l)
}

// sort serves a connection by its first byte.
func (s *Server) sort(ctx context.Context, conn net.Conn, l *link) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	first := make([]byte, 1)
	err := conn.SetReadDeadline(time.Now().Add(s.cfg.IdleTimeout))
	if err == nil {
		_, err = conn.Read(first)
	}
	if err == nil {
		err = conn.SetReadDeadline(time.Time{})
	}
	if err == nil && first[0] != 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open(ctx, &startedConn{Conn: conn, first: first}, l)
		return
	}
	if err == nil {
		s.cfg.ServeRaw(ctx, conn)
	}
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, l)
}

// startedConn is a connection of which the first byte was read already.
type startedConn struct {
	net.Conn
	first []byte
}

// Read returns the first byte, then the rest.
func (c *startedConn) Read(b []byte) (int, error) {
	if len(c.first) == 0 || len(b) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.first)
	c.first = c.first[n:]
	return n, nil
}

// open serves calls over a connection. It is called with mu held.
func (s *Server) open(ctx context.Context, conn net.Conn, l *link) {
	st := newStream(conn, limits{s.cfg.MaxMessage, s.cfg.IdleTimeout, messageTimeout, writeTimeout}, l.meter)
	s.conns[l] = struct{}{}
	rpc := jsonrpc2.NewConn(ctx, st, l, jsonrpc2.SetLogger(stdLog(s.cfg.Log)),
		jsonrpc2.OnRecv(l.meter.onRecv), jsonrpc2.OnSend(l.meter.onSend))
	s.wg.Go(func() {
		<-rpc.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, l)
		s.mu.Unlock()
	})
}

// stdLog adapts the logger to the library, which reports protocol errors of peers.
func stdLog(l *zap.Logger) *log.Logger {
	std, err := zap.NewStdLogAt(l, zap.DebugLevel)
	if err != nil {
		return zap.NewStdLog(l)
	}
	return std
}

// link is the server's side of one connection. Handle is called by the connection's reader only.
type link struct {
	server *Server
	meter  *meter
	calls  chan struct{} // one token for each call in progress
	from   string
}

// hello is the parameter of MethodHello.
type hello struct {
	From string
}

// Handle starts the handler of a request, or refuses it.
func (l *link) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var params json.RawMessage
	if req.Params != nil {
		params = slices.Clone(*req.Params)
	}
	cut := l.server.cfg.Cut
	h := l.server.handlers[req.Method]
	switch {
	case req.Method == MethodHello:
		var p hello
		if json.Unmarshal(params, &p) != nil || p.From == "" || len(p.From) > maxNameLength {
			_ = conn.Close()
			return
		}
		l.from = p.From
		l.meter.served(req.ID)
	case l.from == "":
		l.refuse(ctx, conn, req, CodeHello, "call before Hello")
	case cut != nil && cut.Cut(l.from):
		l.refuse(ctx, conn, req, CodeCut, "peer is cut off by fault injection")
	case h == nil:
		l.refuse(ctx, conn, req, jsonrpc2.CodeMethodNotFound, "method is not known")
	default:
		l.start(ctx, conn, req, h, params)
	}
}

// start runs a handler in a goroutine of its own, or refuses the call if too many are in progress.
func (l *link) start(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, h Handler, params json.RawMessage) {
	select {
	case l.calls <- struct{}{}:
	default:
		l.refuse(ctx, conn, req, CodeBusy, "too many calls in progress")
		return
	}
	from := l.from
	l.server.wg.Go(func() {
		defer func() { <-l.calls }()
		ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
		defer cancel()
		result, err := l.run(ctx, h, from, req.Method, params)
		if !req.Notif {
			l.respond(ctx, conn, req, result, err)
		}
	})
}

// run calls a handler. A panic ends only the call: a message that panics in one entry would do so in all.
func (l *link) run(ctx context.Context, h Handler, from, method string, params json.RawMessage) (result any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			l.server.cfg.Log.Error("handler panicked", zap.String("method", method), zap.String("from", from),
				zap.Any("cause", cause), zap.Stack("stack"))
			err = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "handler panicked"}
		}
	}()
	return h(ctx, from, params)
}

func (l *link) respond(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, result any, err error) {
	defer l.meter.served(req.ID)
	resp := &jsonrpc2.Response{ID: req.ID}
	if err == nil {
		err = resp.SetResult(result)
	}
	if err != nil {
		resp.Result, resp.Error = nil, rpcError(err)
	}
	err = conn.SendResponse(ctx, resp)
	if errors.Is(err, ErrTooLarge) {
		resp.Result, resp.Error = nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "response: " + err.Error()}
		err = conn.SendResponse(ctx, resp)
	}
	if err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		l.server.cfg.Log.Debug("cannot answer a peer", zap.String("method", req.Method), zap.Error(err))
	}
}

func rpcError(err error) *jsonrpc2.Error {
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return e
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// refuse answers a call that is not run. A refused notification is dropped.
func (l *link) refuse(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, code int64, message string) {
	defer l.meter.served(req.ID)
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: code, Message: message})
	}
}
