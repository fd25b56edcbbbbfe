// Package worker is a fake upstream for tests. It counts the requests that ran on it and injects faults on request.
package worker

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"sassafrasvalve/core/spec"
)

// Config configures a worker. Fields that are zero get defaults.
type Config struct {
	Addr        string // IP:port to listen on; empty for a free loopback port
	Name        string // VM name in responses
	Slots       int    // allowed requests in progress; 0 means spec.DefaultSlots
	Connections int    // allowed open connections; 0 means spec.DefaultConnections
	Enforce     bool   // refuse requests above Slots as not run instead of only counting them
	Seed        uint64 // of the random choice of requests that fail
}

// Counts are the counters of a worker since its creation. A reboot resets only Connections and Draining.
type Counts struct {
	Name            string
	Keys            map[string]int // runs by tenant/service/idempotency key
	IDs             map[string]int // runs by request ID
	Ran             int
	Refused         int
	InUse           int
	MaxInUse        int
	OverSlots       int // requests that arrived while all slots were in use
	Connections     int
	MaxConnections  int
	OverConnections int // connections opened above the allowed number
	Boots           int
	Draining        bool
	Turns           []Turn // in the order of the starts
}

// Turn is a sequence of consecutive starts for the same service.
type Turn struct {
	Service     string
	First, Last time.Time // times of the first and the last start
	Starts      int
}

// Server is a worker. Create it with Start.
type Server struct {
	cfg  Config
	addr string

	mu    sync.Mutex
	rnd   *rand.Rand
	fault Fault
	count Counts
	http  *http.Server
	stop  chan struct{} // closed when the current boot ends
	done  chan struct{} // closed when the accept loop of the current boot has ended
}

// Start starts a worker. It returns an error if it cannot listen.
func Start(cfg Config) (*Server, error) {
	cfg.Addr = cmp.Or(cfg.Addr, "127.0.0.1:0")
	cfg.Slots = cmp.Or(cfg.Slots, spec.DefaultSlots)
	cfg.Connections = cmp.Or(cfg.Connections, spec.DefaultConnections)
	s := &Server{
		cfg:   cfg,
		rnd:   rand.New(rand.NewPCG(cfg.Seed, 1)), //nolint:gosec // reproducible failures
		count: Counts{Name: cfg.Name, Keys: map[string]int{}, IDs: map[string]int{}},
	}
	if err := s.boot(cfg.Addr); err != nil {
		return nil, err
	}
	return s, nil
}

// Run starts a worker and serves until ctx ends. It returns an error if it cannot listen.
func Run(ctx context.Context, cfg Config) error {
	s, err := Start(cfg)
	if err != nil {
		return err
	}
	<-ctx.Done()
	s.Close()
	return nil
}

// Addr returns the IP:port of the worker.
func (s *Server) Addr() string { return s.addr }

// Counts returns a copy of the counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.count
	c.Keys, c.IDs, c.Turns = maps.Clone(c.Keys), maps.Clone(c.IDs), slices.Clone(c.Turns)
	return c
}

// SetFault replaces the fault that applies to requests without a fault header.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Drain sets whether the worker refuses new requests as not run.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count.Draining = on
}

// Close closes all connections and stops listening.
func (s *Server) Close() {
	s.mu.Lock()
	srv, stop, done := s.http, s.stop, s.done
	s.http = nil
	s.mu.Unlock()
	if srv == nil {
		return
	}
	close(stop)
	_ = srv.Close()
	<-done
}

// Reboot closes all connections, stays down for the given time and listens again on the same address.
// It ends a drain. It returns an error if it cannot listen.
func (s *Server) Reboot(down time.Duration) error {
	s.Close()
	time.Sleep(down)
	return s.boot(s.addr)
}

func (s *Server) boot(addr string) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for worker %q on %s: %w", s.cfg.Name, addr, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == "" {
		s.addr = ln.Addr().String()
	}
	s.stop, s.done = make(chan struct{}), make(chan struct{})
	s.count.Boots++
	s.count.Connections, s.count.Draining = 0, false
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.postFault)
	mux.HandleFunc("GET /ran", s.getRan)
	mux.HandleFunc("POST /drain", func(http.ResponseWriter, *http.Request) { s.Drain(true) })
	mux.HandleFunc("POST /undrain", func(http.ResponseWriter, *http.Request) { s.Drain(false) })
	mux.HandleFunc("POST /reboot", s.postReboot)
	mux.HandleFunc("/", s.serve)
	s.http = &http.Server{Handler: mux, ConnState: s.connState(s.count.Boots), ReadHeaderTimeout: 10 * time.Second}
	go s.run(s.http, ln, s.done)
	return nil
}

func (s *Server) run(srv *http.Server, ln net.Listener, done chan struct{}) {
	defer close(done)
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		fmt.Printf("worker %q stopped: %v\n", s.cfg.Name, err)
	}
}

// connState returns a callback that counts the open connections of one boot.
func (s *Server) connState(boot int) func(net.Conn, http.ConnState) {
	return func(_ net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.count.Boots != boot {
			return
		}
		switch state {
		case http.StateNew:
			s.count.Connections++
			s.count.MaxConnections = max(s.count.MaxConnections, s.count.Connections)
			if s.count.Connections > s.cfg.Connections {
				s.count.OverConnections++
			}
		case http.StateClosed, http.StateHijacked:
			s.count.Connections--
		default:
		}
	}
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
}

func (s *Server) getRan(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Counts())
}

// postReboot responds before the worker goes down. The query parameter down is the downtime, such as "500ms".
func (s *Server) postReboot(w http.ResponseWriter, r *http.Request) {
	down, err := time.ParseDuration(cmp.Or(r.URL.Query().Get("down"), "1s"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusAccepted)
	go s.rebootLater(down)
}

func (s *Server) rebootLater(down time.Duration) {
	time.Sleep(10 * time.Millisecond) // time for the response to be sent
	if err := s.Reboot(down); err != nil {
		fmt.Println("reboot:", s.cfg.Name, err)
	}
}
