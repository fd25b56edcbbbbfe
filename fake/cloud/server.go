// Package cloud is a stand-in for the platform: its log, VM list and tasks, with failures on demand.
package cloud

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/io/wire"
)

const (
	clientHeader = "Sassafrasvalve-Client"

	defaultRetain     = 100_000 // records
	defaultAppendRate = 300     // a second
	defaultRebootTime = 5 * time.Second
	defaultLeaseTime  = time.Minute

	maxBody       = 2 << 20   // bytes of a request
	maxRecord     = 256 << 10 // bytes
	maxReadBytes  = 1 << 20   // records of one response, before base64
	maxReadWait   = 10 * time.Second
	shutdownGrace = time.Second
)

// Config configures a Server. Zero values get defaults.
type Config struct {
	Seed       uint64
	Clock      clock.Clock
	Retain     int           // records
	RetainAge  time.Duration // 0 for no limit
	AppendRate int           // appends a second
	ListLag    time.Duration
	UsageLag   time.Duration
	RebootTime time.Duration
	LeaseTime  time.Duration // of tasks without a deadline
	VMs        []VM
	OnReboot   func(vm string) // called after a reboot was accepted
}

// Server is the stand-in. All its state is in memory.
type Server struct {
	cfg Config
	mux *http.ServeMux

	mu       sync.Mutex
	log      applog
	fleet    fleet
	tasks    tasks
	faults   faults
	listLag  time.Duration
	usageLag time.Duration
	changed  chan struct{} // closed and replaced when the log or the faults change
}

// New returns a server with an empty log.
func New(cfg Config) *Server {
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.Retain == 0 {
		cfg.Retain = defaultRetain
	}
	if cfg.AppendRate == 0 {
		cfg.AppendRate = defaultAppendRate
	}
	if cfg.RebootTime == 0 {
		cfg.RebootTime = defaultRebootTime
	}
	if cfg.LeaseTime == 0 {
		cfg.LeaseTime = defaultLeaseTime
	}
	s := &Server{
		cfg:     cfg,
		fleet:   fleet{vms: map[string]VM{}, reboots: map[string]time.Time{}},
		tasks:   tasks{byID: map[string]*Task{}, usage: map[string]*lagged[Usage]{}},
		faults:  faults{rand: rand.New(rand.NewPCG(cfg.Seed, 0))},
		changed: make(chan struct{}),
	}
	for _, vm := range cfg.VMs {
		if vm.State == "" {
			vm.State = StateLive
		}
		s.fleet.vms[vm.ID] = vm
	}
	s.fleet.changed(cfg.Clock.Now())
	s.restore()
	s.routes()
	return s
}

// restore sets the settings that faults change back to the configured values.
func (s *Server) restore() {
	s.listLag, s.usageLag = s.cfg.ListLag, s.cfg.UsageLag
	s.log.retain, s.log.retainAge = s.cfg.Retain, s.cfg.RetainAge
	s.setAppendRate(s.cfg.AppendRate)
}

func (s *Server) setAppendRate(perSecond int) {
	s.log.limiter = rate.NewLimiter(rate.Limit(perSecond), 1+perSecond/10)
}

func (s *Server) routes() {
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST /log/append", s.guard(ScopeAppend, s.postAppend))
	s.mux.HandleFunc("GET /log/read", s.guard(ScopeRead, s.getRead))
	s.mux.HandleFunc("GET /vms", s.guard(ScopeList, s.getVMs))
	s.mux.HandleFunc("POST /vms", s.postVM)
	s.mux.HandleFunc("POST /vms/{id}/reboot", s.guard(ScopeList, s.postVMVerb))
	s.mux.HandleFunc("POST /vms/{id}/{verb}", s.postVMVerb) // by tests, also in an outage
	s.mux.HandleFunc("GET /tasks", s.guard(ScopeTasks, s.getTasks))
	s.mux.HandleFunc("POST /tasks", s.guard(ScopeTasks, s.postTask))
	s.mux.HandleFunc("POST /tasks/{id}/{verb}", s.guard(ScopeTasks, s.postTaskVerb))
	s.mux.HandleFunc("POST /fault", s.postFault)
	s.mux.HandleFunc("GET /fault", s.getFault)
	s.mux.HandleFunc("GET /state", s.getState)
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.mux }

// Run serves on a listener until ctx ends.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{
		Handler:           s.mux,
		ReadHeaderTimeout: maxReadWait,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownGrace)
	defer cancel()
	if srv.Shutdown(grace) != nil {
		_ = srv.Close()
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// guard applies outages and delays to a handler.
func (s *Server) guard(scope string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// net/http notices that a client is gone only after the body was read.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !s.pass(w, r, scope) {
			return
		}
		s.mu.Lock()
		delay := s.faults.delay(s.cfg.Clock.Now(), scope, r.Header.Get(clientHeader))
		s.mu.Unlock()
		if delay == 0 {
			next(w, r)
			return
		}
		late := &lateWriter{header: http.Header{}, status: http.StatusOK}
		next(late, r)
		wire.Sleep(r.Context(), delay)
		late.flush(w)
	}
}

// pass applies the outage in force, if any, and reports whether the request goes on.
func (s *Server) pass(w http.ResponseWriter, r *http.Request, scope string) bool {
	for {
		s.mu.Lock()
		outage := s.faults.outage(s.cfg.Clock.Now(), scope, r.Header.Get(clientHeader))
		changed := s.changed
		s.mu.Unlock()
		switch outage {
		case "":
			return true
		case OutageHang:
			select {
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			case <-changed:
			case <-time.After(time.Second): // the rule may have ended by itself
			}
		case OutageDrop:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case OutageReset:
			panic(http.ErrAbortHandler)
		default:
			http.Error(w, "platform outage", http.StatusServiceUnavailable)
			return false
		}
	}
}

// notify wakes the requests that wait for a change. It is called with mu held.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) postAppend(w http.ResponseWriter, r *http.Request) {
	var body struct{ Records [][]byte }
	if !readJSON(w, r, &body) {
		return
	}
	if len(body.Records) == 0 {
		http.Error(w, "append has no records", http.StatusBadRequest)
		return
	}
	for i, data := range body.Records {
		if len(data) > maxRecord {
			http.Error(w, fmt.Sprintf("record %d has %d bytes of at most %d", i, len(data), maxRecord), http.StatusRequestEntityTooLarge)
			return
		}
	}
	s.mu.Lock()
	now := s.cfg.Clock.Now()
	span, err := s.log.append(now, body.Records)
	var e effect
	if err == nil {
		e = s.faults.onAppend(r.Header.Get(clientHeader))
		if e.duplicate {
			s.log.add(now, body.Records)
		}
		s.notify()
	}
	s.mu.Unlock()
	switch {
	case err != nil:
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case e.lose:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, span)
	}
}

// page is the response to a read. First and Next are the bounds of the log.
type page struct {
	First, Next int64
	Records     []Entry
}

func (s *Server) getRead(w http.ResponseWriter, r *http.Request) {
	from, err1 := strconv.ParseInt(r.FormValue("from"), 10, 64)
	limit, err2 := strconv.Atoi(r.FormValue("max"))
	wait, err3 := strconv.Atoi(r.FormValue("wait"))
	if err := errors.Join(err1, err2, err3); err != nil || from < 0 || limit < 0 || wait < 0 {
		http.Error(w, fmt.Sprintf("bad read parameters: %v", err), http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(min(maxReadWait, time.Duration(wait)*time.Millisecond))
	defer timeout.Stop()
	for {
		p, status, changed := s.readOnce(from, limit)
		if status != http.StatusOK || len(p.Records) > 0 || limit == 0 || wait == 0 {
			writeJSON(w, status, p)
			return
		}
		select {
		case <-changed:
			// An outage that begins ends the reads in progress as well.
			if !s.pass(w, r, ScopeRead) {
				return
			}
		case <-timeout.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) readOnce(from int64, limit int) (page, int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.expire(s.cfg.Clock.Now())
	p := page{First: s.log.first, Next: s.log.next(), Records: []Entry{}}
	switch {
	case from < p.First:
		return p, http.StatusGone, s.changed
	case from > p.Next:
		return p, http.StatusRequestedRangeNotSatisfiable, s.changed
	}
	p.Records = append(p.Records, s.log.read(from, limit, maxReadBytes)...)
	return p, http.StatusOK, s.changed
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !readJSON(w, r, &f) {
		return
	}
	s.Inject(f)
	s.getFault(w, r)
}

// Inject does what POST /fault does.
func (s *Server) Inject(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Clear {
		s.faults.rules = nil
		s.restore()
	}
	if f.isRule() {
		s.faults.add(s.cfg.Clock.Now(), f)
	}
	if f.ListLagMS != nil {
		s.listLag = time.Duration(*f.ListLagMS) * time.Millisecond
	}
	if f.UsageLagMS != nil {
		s.usageLag = time.Duration(*f.UsageLagMS) * time.Millisecond
	}
	if f.Retain != nil {
		s.log.retain = *f.Retain
	}
	if f.RetainAgeMS != nil {
		s.log.retainAge = time.Duration(*f.RetainAgeMS) * time.Millisecond
	}
	if f.AppendRate != nil {
		s.setAppendRate(*f.AppendRate)
	}
	s.notify()
}

func (s *Server) getFault(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.State().Faults)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may be gone
}
