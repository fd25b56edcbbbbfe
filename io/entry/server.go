// Package entry is the front end for callers: it checks a request, gets it a slot,
// forwards it, repeats it where that is safe, and answers with a verdict.
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

// Scheduler gives slots of workers to requests. Its error is a *sched.Refusal or that of ctx.
type Scheduler interface {
	Acquire(ctx context.Context, r sched.Request) (Grant, error)
}

// Grant is a slot of a worker. Done is called exactly once.
type Grant struct {
	VM   string
	Addr string // IP:port
	Done func(sched.Outcome)
}

// Claims makes a request with an idempotency key run at most once.
type Claims interface {
	// Claim asks for the right to run the request. If it is given, Finish follows.
	Claim(ctx context.Context, c dedup.Claim) dedup.Decision
	// Finish records how the request ended. It does not wait.
	Finish(key dedup.Key, request string, o dedup.Outcome)
}

// Gate tells whether work may be started on a worker.
type Gate interface {
	// Check returns an error if the view lease has lapsed. It does not block.
	Check() error
}

// ErrOutcomeUnknown is returned by Jobs.Submit if the job may or may not have been accepted.
var ErrOutcomeUnknown = errors.New("it is not known whether the job was accepted")

// Jobs accepts deferrable requests.
type Jobs interface {
	// Submit returns nil once the job is in the log, an error that wraps ErrOutcomeUnknown
	// if that is not known, and another error, such as a *sched.Refusal, if it is not.
	// A job whose ID was accepted before is not accepted twice.
	Submit(ctx context.Context, job fleet.Job) error
	// Status returns the state of a job, and false if it is not known.
	Status(ctx context.Context, id string) (JobStatus, bool)
}

// Observer counts answered requests.
type Observer interface{ Observe(o stats.Observation) }

// Defaults of Config.
const (
	defaultTimeout       = 60 * time.Second
	defaultHeaderTimeout = 5 * time.Second
	defaultIdle          = 60 * time.Second
	defaultResponseWait  = 60 * time.Second
	defaultHeaderBytes   = 32 << 10 // checked here so that the refusal carries a verdict
	maxHeaderFields      = 200
	maxBuffered          = 64 << 10 // bodies up to this size are kept for a retry
	maxJobBody           = 48 << 10
)

// Config sets up a Server. Scheduler and Forwarder are required; zero fields take defaults.
type Config struct {
	Scheduler Scheduler
	Forwarder *proxy.Forwarder
	Claims    Claims   // nil: requests with a key are refused
	Jobs      Jobs     // nil: deferrable requests are refused
	Gate      Gate     // nil: always open
	Observer  Observer // may be nil
	Clock     clock.Clock
	Log       *zap.Logger
	Self      func() string // member ID of this entry, the executor in claims; nil means none

	Timeout       time.Duration // deadline of requests without one
	HeaderTimeout time.Duration // for a caller to send the request header
	IdleTimeout   time.Duration // of a connection between requests
	HeaderBytes   int           // of one request
	BodyBytes     int64         // of one request; 0 means no limit
	BodyIdle      time.Duration // longest pause of a caller in sending or taking a body
	ResponseWait  time.Duration // longest wait for a response header after the body, without a deadline from the caller
}

// Server serves callers.
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

// New returns a server that refuses everything until SetView.
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
	cfg.Timeout = cmp.Or(cfg.Timeout, defaultTimeout)
	cfg.HeaderTimeout = cmp.Or(cfg.HeaderTimeout, defaultHeaderTimeout)
	cfg.BodyIdle = cmp.Or(cfg.BodyIdle, defaultIdle)
	cfg.IdleTimeout = cmp.Or(cfg.IdleTimeout, defaultIdle)
	cfg.HeaderBytes = cmp.Or(cfg.HeaderBytes, defaultHeaderBytes)
	cfg.ResponseWait = cmp.Or(cfg.ResponseWait, defaultResponseWait)
	s := &Server{cfg: cfg, budgets: map[string]*retry.Budget{}, poison: route.NewPoisonDetector()}
	app, err := s.routes()
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{
		Handler:                      app,
		ReadHeaderTimeout:            cfg.HeaderTimeout,
		IdleTimeout:                  cfg.IdleTimeout,
		MaxHeaderBytes:               2 * cfg.HeaderBytes, // refused by net/http without a verdict
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     zap.NewStdLog(cfg.Log),
	}
	return s, nil
}

// routes builds the iris application. Paths below /-/ are the entry's own; all others
// are forwarded beneath iris, on net/http's own writer, since iris would buffer and rewrite them.
func (s *Server) routes() (*iris.Application, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutPathCorrection, iris.WithoutBodyConsumptionOnUnmarshal)
	app.Get("/-/jobs/{id}", s.getJob)
	app.WrapRouter(func(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
		if isOwnPath(r) {
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

// Serve serves callers on ln until Stop. It returns an error if accepting fails.
func (s *Server) Serve(ln net.Listener) error {
	s.ready.Store(true)
	if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("entry: serve callers: %w", err)
	}
	return nil
}

// Ready says whether the balancer should send requests here.
func (s *Server) Ready() bool {
	return s.ready.Load() && !s.draining.Load() && s.view.Load() != nil && s.check() == nil
}

// Stop stops gracefully: it turns readiness off, asks callers to close their connections,
// waits for the balancer, stops accepting and waits for the requests in progress.
// It returns ctx's error if they have not ended by then; they go on.
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

// Close breaks all connections.
func (s *Server) Close() error { return s.http.Close() }

// SetView puts a configuration in force for requests that arrive from now on.
func (s *Server) SetView(f spec.Fleet) { s.view.Store(newView(f)) }

func (s *Server) check() error {
	if s.cfg.Gate == nil {
		return nil
	}
	return s.cfg.Gate.Check()
}

func (s *Server) now() time.Time { return s.cfg.Clock.Now() }

// budget calls f with the retry budget of a pool.
func (s *Server) budget(pool string, f func(*retry.Budget)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[pool]
	if b == nil {
		b = retry.NewBudget(s.now())
		s.budgets[pool] = b
	}
	f(b)
}

// view is the part of a configuration that requests are checked against.
type view struct {
	services map[string]spec.Service
	classes  map[string]spec.Class
	tenants  map[string]spec.Tenant
}

func newView(f spec.Fleet) *view {
	v := &view{
		services: make(map[string]spec.Service, len(f.Services)),
		classes:  make(map[string]spec.Class, len(f.Classes)),
		tenants:  make(map[string]spec.Tenant, len(f.Tenants)),
	}
	for _, x := range f.Services {
		v.services[x.Name] = x
	}
	for _, x := range f.Classes {
		v.classes[x.Name] = x
	}
	for _, x := range f.Tenants {
		v.tenants[x.Name] = x
	}
	return v
}
