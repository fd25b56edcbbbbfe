// Package cloud is a fake of the platform for tests. It serves the log, the VM list and tasks over HTTP, keeps them in
// memory, and injects faults on request.
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
	defaultAppendRate = 300     // appends per second
	defaultRebootTime = 5 * time.Second
	defaultLeaseTime  = time.Minute

	maxBodyBytes   = 2 << 20 // of a request
	maxRecordBytes = 256 << 10
	maxReadBytes   = 1 << 20 // record data of one response, before base64
	maxReadWait    = 10 * time.Second
	shutdownGrace  = time.Second
)

// Config configures a Server. Fields that are zero get defaults.
type Config struct {
	Seed       uint64
	Clock      clock.Clock
	Retain     int           // records that the log retains
	RetainAge  time.Duration // 0 means no limit
	AppendRate int           // appends per second
	ListLag    time.Duration
	UsageLag   time.Duration
	RebootTime time.Duration
	LeaseTime  time.Duration // lease of a task that is started without a deadline
	VMs        []VM
	OnReboot   func(vm string) // called after a reboot has been accepted
}

// Server is a fake platform. All its state is in memory.
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

// New returns a server with an empty log and the VMs of cfg.
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
		tasks:   tasks{byID: map[string]*Task{}, usage: map[string]*lagging[Usage]{}},
		faults:  faults{rand: rand.New(rand.NewPCG(cfg.Seed, 0))},
		changed: make(chan struct{}),
	}
	for _, vm := range cfg.VMs {
		if vm.State == "" {
			vm.State = StateLive
		}
		s.fleet.vms[vm.ID] = vm
	}
	s.fleet.recordList(cfg.Clock.Now())
	s.restoreSettings()
	s.routes()
	return s
}

// restoreSettings resets the settings that faults can change to their configured values.
func (s *Server) restoreSettings() {
	s.listLag, s.usageLag = s.cfg.ListLag, s.cfg.UsageLag
	s.log.retain, s.log.retainAge = s.cfg.Retain, s.cfg.RetainAge
	s.setAppendRate(s.cfg.AppendRate)
}

func (s *Server) setAppendRate(perSecond int) {
	s.log.limiter = rate.NewLimiter(rate.Limit(perSecond), 1+perSecond/10)
}

func (s *Server) routes() {
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST /log/append", s.withFaults(ScopeAppend, s.postAppend))
	s.mux.HandleFunc("GET /log/read", s.withFaults(ScopeRead, s.getRead))
	s.mux.HandleFunc("GET /vms", s.withFaults(ScopeList, s.getVMs))
	s.mux.HandleFunc("POST /vms", s.postVM)
	s.mux.HandleFunc("POST /vms/{id}/reboot", s.withFaults(ScopeList, s.postVMVerb))
	s.mux.HandleFunc("POST /vms/{id}/{verb}", s.postVMVerb) // for tests; not subject to outages
	s.mux.HandleFunc("GET /tasks", s.withFaults(ScopeTasks, s.getTasks))
	s.mux.HandleFunc("POST /tasks", s.withFaults(ScopeTasks, s.postTask))
	s.mux.HandleFunc("POST /tasks/{id}/{verb}", s.withFaults(ScopeTasks, s.postTaskVerb))
	s.mux.HandleFunc("POST /fault", s.postFault)
	s.mux.HandleFunc("GET /fault", s.getFault)
	s.mux.HandleFunc("GET /state", s.getState)
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.mux }

// Run serves on a listener until ctx ends. It closes requests that are still in progress after shutdownGrace.
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

// withFaults returns a handler that applies outages and delays to the requests of a scope.
func (s *Server) withFaults(scope string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// net/http detects that a client has disconnected only after the body has been read.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !s.applyOutage(w, r, scope) {
			return
		}
		s.mu.Lock()
		delay := s.faults.delay(s.cfg.Clock.Now(), scope, r.Header.Get(clientHeader))
		s.mu.Unlock()
		if delay == 0 {
			next(w, r)
			return
		}
		late := &delayedWriter{header: http.Header{}, status: http.StatusOK}
		next(late, r)
		wire.Sleep(r.Context(), delay)
		late.flush(w)
	}
}

// applyOutage applies the outage in force, if any, and reports whether the request may proceed.
func (s *Server) applyOutage(w http.ResponseWriter, r *http.Request, scope string) bool {
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

// notify wakes the requests that wait for a change. The caller holds mu.
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
		if len(data) > maxRecordBytes {
			http.Error(w, fmt.Sprintf("record %d has %d bytes of at most %d", i, len(data), maxRecordBytes), http.StatusRequestEntityTooLarge)
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

// page is the response to a read. First and Next are the bounds of the whole log.
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
			// An outage that starts now also applies to the reads in progress.
			if !s.applyOutage(w, r, ScopeRead) {
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

// Inject applies a fault as POST /fault does.
func (s *Server) Inject(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Clear {
		s.faults.rules = nil
		s.restoreSettings()
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
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}
