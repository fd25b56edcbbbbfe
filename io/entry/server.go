// Package entry is the HTTP front end for callers. It checks a request, acquires a slot,
// forwards the request, retries it where that is safe, and answers with a verdict.
package entry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"
	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/dedup"
	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/route"
	"sassafrasvalve/core/spec"
	"sassafrasvalve/io/proxy"
	"sassafrasvalve/io/sched"
	"sassafrasvalve/io/stats"
)

// Scheduler grants slots of workers to requests. Acquire returns a *sched.Refusal or the error of ctx.
type Scheduler interface {
	Acquire(ctx context.Context, r sched.Request) (Grant, error)
}

// Grant is a slot of a worker. The holder calls Done exactly once.
type Grant struct {
	VM   string
	Addr string // IP:port
	Done func(sched.Outcome)
}

// Claims ensures that a request with an idempotency key runs at most once.
type Claims interface {
	// Claim requests the right to run the request. If it is granted, the caller must call Finish.
	Claim(ctx context.Context, c dedup.Claim) dedup.Decision
	// Finish records the outcome of the request. It does not block.
	Finish(key dedup.Key, request string, o dedup.Outcome)
}

// Gate checks whether the entry may start work on a worker.
type Gate interface {
	// Check returns an error if the view lease has lapsed. It does not block.
	Check() error
}

// ErrOutcomeUnknown is returned by Jobs.Submit if it is unknown whether the job was accepted.
var ErrOutcomeUnknown = errors.New("it is not known whether the job was accepted")

// Jobs accepts deferrable requests.
type Jobs interface {
	// Submit returns nil once the job is in the log, an error that wraps ErrOutcomeUnknown
	// if it may or may not be there, and another error, such as a *sched.Refusal, if it is not.
	// A job with an ID that was accepted before is not accepted again.
	Submit(ctx context.Context, job fleet.Job) error
	// Status returns the state of a job, or false if the job is unknown.
	Status(ctx context.Context, id string) (JobStatus, bool)
}

// Observer counts answered requests.
type Observer interface{ Observe(o stats.Observation) }

// Defaults of Config, and limits.
const (
	defaultTimeout               = 60 * time.Second
	defaultHeaderTimeout         = 5 * time.Second
	defaultIdleTimeout           = 60 * time.Second
	defaultResponseHeaderTimeout = 60 * time.Second
	defaultHeaderBytes           = 32 << 10 // checked by this package so that the refusal carries a verdict
	maxHeaderFields              = 200
	maxBufferedBytes             = 64 << 10 // bodies up to this size are buffered for a retry
	maxJobBodyBytes              = 48 << 10
)

// Config holds the dependencies and settings of a Server. Scheduler and Forwarder are required.
// Zero timeouts and MaxHeaderBytes take defaults.
type Config struct {
	Scheduler Scheduler
	Forwarder *proxy.Forwarder
	Claims    Claims   // nil means that requests with an idempotency key are refused
	Jobs      Jobs     // nil means that deferrable requests are refused
	Gate      Gate     // nil means that work may always start
	Observer  Observer // may be nil
	Clock     clock.Clock
	Log       *zap.Logger
	Self      func() string // member ID of this entry, the executor in claims; nil means none

	DefaultTimeout        time.Duration // time until the deadline of a request that sets none
	HeaderTimeout         time.Duration // longest time for a caller to send the request header
	IdleTimeout           time.Duration // longest idle time of a connection between requests
	MaxHeaderBytes        int           // largest header of a request
	MaxBodyBytes          int64         // largest body of a request; 0 means no limit
	BodyIdleTimeout       time.Duration // longest pause of a caller while it sends or receives a body
	ResponseHeaderTimeout time.Duration // longest wait for a response header if the caller sets no deadline; see headerTimer
}

// Server serves the HTTP requests of callers.
type Server struct {
	cfg  Config
	http *http.Server

	view     atomic.Pointer[view]
	ready    atomic.Bool
	draining atomic.Bool

	mu      sync.Mutex
	budgets map[string]*retry.Budget // by pool
	poison  *route.PoisonDetector
}

// New returns a server that refuses all requests until SetView is called.
func New(cfg Config) (*Server, error) {
	if cfg.Scheduler == nil || cfg.Forwarder == nil {
		return nil, errors.New("entry: a scheduler and a forwarder are required")
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	cfg.DefaultTimeout = cmp.Or(cfg.DefaultTimeout, defaultTimeout)
	cfg.HeaderTimeout = cmp.Or(cfg.HeaderTimeout, defaultHeaderTimeout)
	cfg.BodyIdleTimeout = cmp.Or(cfg.BodyIdleTimeout, defaultIdleTimeout)
	cfg.IdleTimeout = cmp.Or(cfg.IdleTimeout, defaultIdleTimeout)
	cfg.MaxHeaderBytes = cmp.Or(cfg.MaxHeaderBytes, defaultHeaderBytes)
	cfg.ResponseHeaderTimeout = cmp.Or(cfg.ResponseHeaderTimeout, defaultResponseHeaderTimeout)
	s := &Server{cfg: cfg, budgets: map[string]*retry.Budget{}, poison: route.NewPoisonDetector()}
	app, err := s.routes()
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{
		Handler:                      app,
		ReadHeaderTimeout:            cfg.HeaderTimeout,
		IdleTimeout:                  cfg.IdleTimeout,
		MaxHeaderBytes:               2 * cfg.MaxHeaderBytes, // net/http refuses larger headers without a verdict
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     zap.NewStdLog(cfg.Log),
	}
	return s, nil
}

// routes builds the iris application. It serves the paths below /-/, which are the entry's own.
// All other paths bypass iris and are forwarded with the writer of net/http, since iris would
// buffer and rewrite the responses.
func (s *Server) routes() (*iris.Application, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutPathCorrection, iris.WithoutBodyConsumptionOnUnmarshal)
	app.Get("/-/jobs/{id}", s.getJob)
	app.WrapRouter(func(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
		if isLocalPath(r) {
			next(w, r)
			return
		}
		s.handle(w, r)
	})
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("entry: build the routes: %w", err)
	}
	return app, nil
}

// Serve serves callers on ln until Stop or Close. It returns an error if accepting a connection fails.
func (s *Server) Serve(ln net.Listener) error {
	s.ready.Store(true)
	if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("entry: serve callers: %w", err)
	}
	return nil
}

// Ready reports whether the load balancer should send requests to this entry.
func (s *Server) Ready() bool {
	return s.ready.Load() && !s.draining.Load() && s.view.Load() != nil && s.checkGate() == nil
}

// Stop stops the server gracefully. It turns readiness off, asks callers to close their connections,
// waits for the given time until the load balancer has noticed, stops accepting connections and waits
// for the requests in progress. If ctx ends first, it returns the error of ctx and the requests go on.
func (s *Server) Stop(ctx context.Context, balancer time.Duration) error {
	s.draining.Store(true)
	t := time.NewTimer(balancer)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("entry: requests still in progress: %w", err)
	}
	return nil
}

// Close closes all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// SetView applies a configuration to requests that arrive from now on.
func (s *Server) SetView(f spec.Fleet) { s.view.Store(newView(f)) }

func (s *Server) checkGate() error {
	if s.cfg.Gate == nil {
		return nil
	}
	return s.cfg.Gate.Check()
}

func (s *Server) now() time.Time { return s.cfg.Clock.Now() }

// withBudget calls f with the retry budget of a pool, with mu held.
func (s *Server) withBudget(pool string, f func(*retry.Budget)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[pool]
	if b == nil {
		b = retry.NewBudget(s.now())
		s.budgets[pool] = b
	}
	f(b)
}

// view is the part of a configuration that requests are checked against, keyed by name.
type view struct {
	services map[string]spec.Service
	classes  map[string]spec.Class
	tenants  map[string]spec.Tenant
	keys     map[spec.KeyDigest]string // name of the tenant by the digest of each API key; empty if callers need no key
}

func newView(f spec.Fleet) *view {
	v := &view{
		services: make(map[string]spec.Service, len(f.Services)),
		classes:  make(map[string]spec.Class, len(f.Classes)),
		tenants:  make(map[string]spec.Tenant, len(f.Tenants)),
		keys:     map[spec.KeyDigest]string{},
	}
	for _, x := range f.Services {
		v.services[x.Name] = x
	}
	for _, x := range f.Classes {
		v.classes[x.Name] = x
	}
	for _, x := range f.Tenants {
		v.tenants[x.Name] = x
		for _, k := range x.Keys {
			v.keys[k] = x.Name
		}
	}
	return v
}
