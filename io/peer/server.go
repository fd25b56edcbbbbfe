// Package peer implements the calls between entries, JSON-RPC over TCP, with heartbeats and the transfer of states and log
// records.
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

// The methods that this package defines. Hello is the first message on each connection.
const (
	MethodHello      = "Hello"
	MethodHeartbeat  = "Heartbeat"
	MethodGetState   = "GetState"
	MethodGetRecords = "GetRecords"
)

// The codes of error responses in addition to those of JSON-RPC.
const (
	CodeBusy  = -32000 // too many calls in progress; the call was not executed
	CodeGone  = -32001 // the snapshot or the records are no longer held
	CodeHello = -32002 // no Hello was received on the connection; the call was not executed
	CodeCut   = -32003 // the caller is cut off by fault injection; the call was not executed
)

const (
	defaultMaxMessage = 1 << 20 // bytes; fits several state chunks or 512 KiB of log records in base64
	defaultMaxCalls   = 32      // in progress on one connection
	// defaultMaxConns allows a connection from each entry of the largest target, 1,072 entries, and from the entries that
	// replace them. The process has at least 4,100 file descriptors.
	defaultMaxConns    = 1500
	defaultIdleTimeout = 30 * time.Second // heartbeats arrive every 500 ms
	messageTimeout     = 5 * time.Second
	writeTimeout       = time.Second
	handlerTimeout     = 10 * time.Second
	maxMemberIDBytes   = 256 // of a caller's Hello
)

// Cut reports which peers are cut off by fault injection. A peer is given by its address or member ID.
type Cut interface {
	Cut(peer string) bool
}

// Handler serves one method. from is the caller's member ID. A returned *jsonrpc2.Error is sent unchanged.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// ServerConfig configures a Server. All fields but Listen have defaults for their zero values.
type ServerConfig struct {
	Listen      string // IP:port
	MaxMessage  int    // limit of a message, in bytes
	MaxCalls    int    // limit of the calls in progress on one connection
	MaxConns    int    // limit of the open connections
	IdleTimeout time.Duration
	Cut         Cut // nil without fault injection
	// ServeRaw serves connections whose first byte is 0, which cannot start a JSON-RPC message. The byte is consumed
	// before. If ServeRaw is nil, such connections are closed.
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
	conns map[*serverConn]struct{}
	ended bool           // Run waits for the calls in progress; no further one starts
	wg    sync.WaitGroup // calls and open connections
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
	return &Server{cfg: cfg, handlers: map[string]Handler{}, conns: map[*serverConn]struct{}{}}
}

// Handle registers a handler. It must be called before Run.
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
	defer s.wait()
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
		if err != nil { // for example too many open files
			s.cfg.Log.Warn("accept of a peer connection failed", zap.Error(err))
			time.Sleep(acceptPause)
			continue
		}
		s.accept(ctx, conn)
	}
}

// wait waits for the calls in progress and refuses further ones.
func (s *Server) wait() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.wg.Wait()
}

// startCall runs f in its own goroutine, or returns false once Run waits for the calls in progress: the last message of a
// connection may be handled after the connection has closed.
func (s *Server) startCall(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	s.wg.Go(f)
	return true
}

// acceptPause is the pause after a failed accept.
const acceptPause = 50 * time.Millisecond

// accept starts to serve a connection, or closes it if MaxConns are open.
func (s *Server) accept(ctx context.Context, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.cfg.MaxConns {
		s.cfg.Log.Warn("too many peer connections", zap.Stringer("from", conn.RemoteAddr()))
		_ = conn.Close()
		return
	}
	c := &serverConn{server: s, calls: make(chan struct{}, s.cfg.MaxCalls)}
	c.meter = newMeter(s.cfg.Stats, func(method string) bool {
		return method == MethodHello || s.handlers[method] != nil
	})
	if s.cfg.ServeRaw != nil {
		s.conns[c] = struct{}{}
		s.wg.Go(func() { s.serveByFirstByte(ctx, conn, c) })
		return
	}
	s.open(ctx, conn, c)
}

// serveByFirstByte serves a connection through ServeRaw if its first byte is 0, and as JSON-RPC otherwise.
func (s *Server) serveByFirstByte(ctx context.Context, conn net.Conn, c *serverConn) {
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
		s.open(ctx, &prefixedConn{Conn: conn, first: first}, c)
		return
	}
	if err == nil {
		s.cfg.ServeRaw(ctx, conn)
	}
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// prefixedConn is a connection whose first byte was read already.
type prefixedConn struct {
	net.Conn
	first []byte
}

// Read returns the first byte, then the rest of the stream.
func (c *prefixedConn) Read(b []byte) (int, error) {
	if len(c.first) == 0 || len(b) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.first)
	c.first = c.first[n:]
	return n, nil
}

// open serves calls on a connection. It is called with mu held.
func (s *Server) open(ctx context.Context, conn net.Conn, c *serverConn) {
	st := newStream(conn, limits{s.cfg.MaxMessage, s.cfg.IdleTimeout, messageTimeout, writeTimeout}, c.meter)
	s.conns[c] = struct{}{}
	rpc := jsonrpc2.NewConn(ctx, st, c, jsonrpc2.SetLogger(stdLog(s.cfg.Log)),
		jsonrpc2.OnRecv(c.meter.onRecv), jsonrpc2.OnSend(c.meter.onSend))
	s.wg.Go(func() {
		<-rpc.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
}

// stdLog returns a standard logger for the JSON-RPC library, which logs the protocol errors of peers at debug level.
func stdLog(l *zap.Logger) *log.Logger {
	std, err := zap.NewStdLogAt(l, zap.DebugLevel)
	if err != nil {
		return zap.NewStdLog(l)
	}
	return std
}

// serverConn is the server side of one connection. Handle is called only by the goroutine that reads the connection.
type serverConn struct {
	server *Server
	meter  *meter
	calls  chan struct{} // one token for each call in progress
	from   string        // member ID of the caller, empty before Hello
}

// hello is the parameter of MethodHello.
type hello struct {
	From string
}

// Handle starts the handler of a request, or refuses it.
func (c *serverConn) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var params json.RawMessage
	if req.Params != nil {
		params = slices.Clone(*req.Params)
	}
	cut := c.server.cfg.Cut
	h := c.server.handlers[req.Method]
	switch {
	case req.Method == MethodHello:
		var p hello
		if json.Unmarshal(params, &p) != nil || p.From == "" || len(p.From) > maxMemberIDBytes {
			_ = conn.Close()
			return
		}
		c.from = p.From
		c.meter.forget(req.ID)
	case c.from == "":
		c.refuse(ctx, conn, req, CodeHello, "call before Hello")
	case cut != nil && cut.Cut(c.from):
		c.refuse(ctx, conn, req, CodeCut, "peer is cut off by fault injection")
	case h == nil:
		c.refuse(ctx, conn, req, jsonrpc2.CodeMethodNotFound, "method is not known")
	default:
		c.start(ctx, conn, req, h, params)
	}
}

// start runs a handler in its own goroutine, or refuses the call if too many are in progress.
func (c *serverConn) start(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, h Handler, params json.RawMessage) {
	select {
	case c.calls <- struct{}{}:
	default:
		c.refuse(ctx, conn, req, CodeBusy, "too many calls in progress")
		return
	}
	from := c.from
	started := c.server.startCall(func() {
		defer func() { <-c.calls }()
		ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
		defer cancel()
		result, err := c.run(ctx, h, from, req.Method, params)
		if !req.Notif {
			c.respond(ctx, conn, req, result, err)
		}
	})
	if !started {
		<-c.calls
		c.refuse(ctx, conn, req, CodeBusy, "server is stopping")
	}
}

// run calls a handler. A panic fails only the call, since a message that causes a panic would stop all entries that
// receive it.
func (c *serverConn) run(ctx context.Context, h Handler, from, method string, params json.RawMessage) (result any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			c.server.cfg.Log.Error("handler panicked", zap.String("method", method), zap.String("from", from),
				zap.Any("cause", cause), zap.Stack("stack"))
			err = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "handler panicked"}
		}
	}()
	return h(ctx, from, params)
}

// respond sends the response to a request. If it is too large, it sends an error response instead.
func (c *serverConn) respond(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, result any, err error) {
	defer c.meter.forget(req.ID)
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
		c.server.cfg.Log.Debug("send of response failed", zap.String("method", req.Method), zap.Error(err))
	}
}

// rpcError returns the error response for the error of a handler.
func rpcError(err error) *jsonrpc2.Error {
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return e
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// refuse sends an error response to a call that is not executed. A refused notification is dropped.
func (c *serverConn) refuse(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, code int64, message string) {
	defer c.meter.forget(req.ID)
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: code, Message: message})
	}
}
