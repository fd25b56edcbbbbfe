package admin

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/fleet"
)

// The paths of health checks, metrics and fault injection, which are not part of the operator API.
const (
	PathLive    = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathFault   = "/v1/fault" // POST JSON; only with ServerConfig.Fault
)

// NotAppended is the outcome of a record that is certainly not in the log and never will be. It is not used in a
// Decision: the request is answered with 503.
const NotAppended Outcome = "not-appended"

// State gives access to the folded state of this entry.
type State interface {
	// View calls f with the state. f must neither keep nor change it.
	View(f func(st *fleet.State))
}

// Result is the result of an append.
type Result struct {
	Outcome Outcome // Accepted, Rejected, Unknown or NotAppended
	Offset  int64   // of the record if Accepted or Rejected
	Reason  string
}

// Appender appends records to the log.
type Appender interface {
	// Append appends a record and waits until this entry has folded it or ctx ends.
	// If it returns an error, the outcome is unknown unless it is NotAppended.
	Append(ctx context.Context, r fleet.Record) (Result, error)
}

// Entries returns the configuration status of all entries, including this one.
type Entries interface {
	Entries() []EntryStatus
}

// Health reports the health of this entry. The text of the errors is sent to the client of the health check.
type Health interface {
	Live() error  // nil unless the process should be replaced
	Ready() error // nil if callers should be sent to this entry
}

// Metrics writes all metrics in the Prometheus text format.
type Metrics interface {
	WriteText(w io.Writer) error
}

// Timeouts and limits of the server.
const (
	appendTimeout     = 8 * time.Second // below DefaultTimeout, so that the client receives the outcome
	headerTimeout     = 5 * time.Second
	readTimeout       = 30 * time.Second // of a whole request
	writeTimeout      = 60 * time.Second // from the header of a request to the end of its answer
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
	maxSmallBodyBytes = 64 << 10 // of requests other than a configuration
	maxRequests       = 64       // in progress at once on the operator API
	maxLargeBodies    = 4        // in memory at once, to keep a daemon within 256 MB
)

// ServerConfig configures a Server. Fault, Clock and Log may be nil.
type ServerConfig struct {
	State    State
	Appender Appender
	Entries  Entries
	Health   Health
	Metrics  Metrics
	Fault    func(json.RawMessage) error // injects a fault, for tests; if nil, PathFault does not exist
	Clock    clock.Clock
	Log      *zap.Logger
}

// Server serves the operator API, health checks and metrics of an entry.
type Server struct {
	cfg         ServerConfig
	http        *http.Server
	routeErr    error         // of building the routes; returned by Serve
	inProgress  chan struct{} // a token per request in progress
	largeBodies chan struct{} // a token per large body in memory
}

// NewServer returns a server that does not serve yet. An error of its routes is returned by Serve.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	cfg.Log = cmp.Or(cfg.Log, zap.NewNop())
	s := &Server{cfg: cfg, inProgress: make(chan struct{}, maxRequests), largeBodies: make(chan struct{}, maxLargeBodies)}
	app, err := s.routes()
	s.routeErr = err
	s.http = &http.Server{
		Handler:                      app,
		ReadHeaderTimeout:            headerTimeout,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     zap.NewStdLog(cfg.Log),
	}
	return s
}

// Serve serves requests on ln until Stop. It returns an error if accepting fails or the routes are invalid.
func (s *Server) Serve(ln net.Listener) error {
	if s.routeErr != nil {
		return s.routeErr
	}
	if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin: serve operators: %w", err)
	}
	return nil
}

// Stop stops accepting and waits for the requests in progress.
// If ctx ends first, it closes their connections and returns the error of ctx.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close() // the error of Shutdown is the one to report
		return fmt.Errorf("admin: requests still in progress: %w", err)
	}
	return nil
}
