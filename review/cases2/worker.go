//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Limits of a worker, in milliseconds.
const (
	holdMaxMs = 10_000
	stopMs    = 100 // a stop takes at most 400
	tickMs    = 5
	// checkpointMs is checkpoint_interval_s.
	checkpointMs = 500
	heartbeatMs  = 1500
)

// Step is what the client asked for a step's items; WorkMs is how long an item really takes.
type Step struct {
	CPU, MemMB, WorkMs int64
	Checkpoint         bool
	Label              string // required_label
}

type run struct {
	task              string
	run               int
	step              Step
	startedAt, stopAt int64 // by the steady clock of this program, in ms
	saved             int64
	ref               string
}

type runEnd struct {
	seq  int64
	task string
	run  int
	how  string
	ref  string
	// lapsed is set if the lease lapsed after the end, which then doesn't count as taken note of.
	lapsed bool
}

// Worker is a stand-in of one worker on one machine. A new lifetime may have the same id.
type Worker struct {
	p          *Platform
	Machine    string
	ID         string
	Service    string
	Kind       string // first label; a new lifetime may have another one
	addr       string
	CPU, MemMB int64

	mu       sync.Mutex
	reportAt int64 // steady ms of the first report of this lifetime
	life     int   // number of the lifetime
	dark     bool  // down without a word
	born     int64 // Unix ms
	bootAt   int64 // steady ms at which the clock showed clock0
	fence    int64
	lease    int64 // by the worker's clock
	runs     map[string]*run
	ends     []runEnd
	seq      int64
	highest  map[string]int // highest run that was stopped or ended
	conns    map[net.Conn]bool
	ended    chan struct{} // closed and replaced when a run ends
}

// clock0 is the worker's clock at the start of a lifetime.
const clock0 = 1000

func newWorker(p *Platform, n int, service string, cpu, mem int64) (*Worker, error) {
	w := &Worker{
		p: p, Machine: fmt.Sprintf("m-%05d", n), ID: fmt.Sprintf("i-%010d", n), Service: service, Kind: "a", CPU: cpu, MemMB: mem,
		conns: map[net.Conn]bool{},
	}
	w.boot()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.addr = l.Addr().String()
	srv := &http.Server{Handler: w, ConnState: func(c net.Conn, s http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch s {
		case http.StateNew:
			w.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(w.conns, c)
		}
	}}
	go func() { _ = srv.Serve(l) }() // ends with the program
	go w.loop()
	return w, nil
}

// boot begins a lifetime, which knows nothing of the one before. The caller holds mu, but at the first one.
func (w *Worker) boot() {
	w.life++
	w.dark, w.born, w.bootAt = false, time.Now().UnixMilli(), steadyMs()
	w.fence, w.lease, w.seq = 0, 0, 0
	w.runs, w.ends, w.highest, w.ended = map[string]*run{}, nil, map[string]int{}, make(chan struct{})
}

func (w *Worker) clock() int64 { return steadyMs() - w.bootAt + clock0 }

// Crash ends the lifetime. The machine stays silent until Restart.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		w.p.log.runEnded(w, r, "crash")
	}
	w.dark, w.runs = true, map[string]*run{}
}

// Restart begins the next lifetime under the same id and address, and reports it. The channels of the last one are reset.
func (w *Worker) Restart() {
	w.RestartAs(w.Kind, 0)
}

// RestartAs begins the next lifetime as a worker of the given kind, which reports itself reportAfter later.
func (w *Worker) RestartAs(kind string, reportAfter time.Duration) {
	w.mu.Lock()
	w.Kind, w.reportAt = kind, steadyMs()+reportAfter.Milliseconds()
	for c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	w.boot()
	w.mu.Unlock()
	if reportAfter == 0 {
		w.report()
	}
}

// report writes the worker's entry to the store.
func (w *Worker) report() {
	w.mu.Lock()
	if w.dark || steadyMs() < w.reportAt {
		w.mu.Unlock()
		return
	}
	b, _ := json.Marshal(map[string]any{
		"service": w.Service, "addr": w.addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"seq": time.Now().UnixMilli(), "born": w.born, "machine": w.Machine, "labels": []string{w.Kind, "r1-1"},
		"capacity": map[string]any{"cpu": w.CPU, "mem_mb": w.MemMB, "gpu": 0},
	})
	w.mu.Unlock()
	w.p.store.Put("keyed.servers", w.ID, b)
}

func (w *Worker) loop() {
	w.report()
	next, reported := steadyMs()+heartbeatMs, int64(0)
	for {
		time.Sleep(tickMs * time.Millisecond)
		w.mu.Lock()
		w.advance()
		first := w.reportAt > reported && steadyMs() >= w.reportAt
		if first {
			reported = w.reportAt
		}
		w.mu.Unlock()
		if now := steadyMs(); now >= next || first {
			next = now + heartbeatMs
			w.report()
		}
	}
}

// advance ends the runs that are due. The caller holds mu.
func (w *Worker) advance() {
	now := steadyMs()
	if w.clock() > w.lease {
		for i := range w.ends {
			w.ends[i].lapsed = true
		}
	}
	for _, r := range w.runs {
		switch {
		case w.clock() > w.lease:
			w.end(r, "lapsed")
		case r.stopAt > 0 && now >= r.stopAt:
			w.end(r, "stopped")
		case now-r.startedAt+r.saved >= r.step.WorkMs:
			w.end(r, "done")
		}
	}
}

func (w *Worker) end(r *run, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.seq++
	w.ends = append(w.ends, runEnd{seq: w.seq, task: r.task, run: r.run, how: how, ref: r.ref})
	close(w.ended)
	w.ended = make(chan struct{})
	w.p.log.runEnded(w, r, how)
}

type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fence"`
	Ack      int64  `json:"ack_seq"`
	WaitMs   int64  `json:"wait_ms"`
}

// ServeHTTP answers a call of an owner. A dark worker reads and answers nothing.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	life, dark := w.life, w.dark
	w.mu.Unlock()
	if dark {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	var b orderBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(w.p.workerDelay)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != life || w.dark {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if e := r.Header.Get("Expect-Instance"); e != "" && e != w.ID {
		writeJSON(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": w.clock()})
		return
	}
	if b.Fence < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.fence = b.Fence
	w.advance()
	switch r.URL.Path {
	case "/run-start":
		w.start(rw, b)
	case "/run-stop":
		w.highest[b.Task] = max(w.highest[b.Task], b.Run)
		if x := w.runs[b.Task]; x != nil && x.run <= b.Run && x.stopAt == 0 {
			x.stopAt = steadyMs() + stopMs
		}
		writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
	case "/hold":
		w.hold(rw, r, b, life)
	default:
		writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
	}
}

func (w *Worker) refuse(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
}

// extend renews the lease up to the worker's limit. It never shortens.
func (w *Worker) extend(deadline int64) { w.lease = max(w.lease, min(deadline, w.clock()+holdMaxMs)) }

func (w *Worker) start(rw http.ResponseWriter, b orderBody) {
	if x := w.runs[b.Task]; x != nil && x.run == b.Run {
		w.extend(b.Deadline)
		writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
		return
	}
	if b.Deadline < w.clock() {
		w.refuse(rw, "late")
		return
	}
	w.extend(b.Deadline)
	if b.Run <= w.highest[b.Task] || w.runs[b.Task] != nil {
		w.refuse(rw, "old")
		return
	}
	step := w.p.step(b.Task)
	var cpu, mem int64
	for _, x := range w.runs {
		cpu, mem = cpu+x.step.CPU, mem+x.step.MemMB
	}
	if cpu+step.CPU > w.CPU || mem+step.MemMB > w.MemMB {
		w.refuse(rw, "room")
		return
	}
	if step.Label != "" && step.Label != w.Kind {
		w.p.log.Break("ROUTE: %s, which requires the label %s, starts as run %d on %s, whose kind is %s", b.Task, step.Label, b.Run, w.ID, w.Kind)
	}
	x := &run{task: b.Task, run: b.Run, step: step, startedAt: steadyMs()}
	w.runs[b.Task] = x
	w.p.log.runStarted(w, x, b)
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

// hold answers with both lists, at the latest after the requested wait. The caller holds mu.
func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, b orderBody, life int) {
	for len(w.ends) > 0 && w.ends[0].seq <= b.Ack {
		w.p.log.acked(w, w.ends[0])
		w.ends = w.ends[1:]
	}
	if b.Deadline > 0 {
		w.extend(b.Deadline)
	}
	timer := time.NewTimer(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := b.WaitMs > 0; waiting && len(w.ends) == 0 && w.life == life && !w.dark; {
		ended := w.ended
		w.mu.Unlock()
		select {
		case <-ended:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			w.mu.Lock()
			panic(http.ErrAbortHandler)
		}
		w.mu.Lock()
	}
	if w.life != life || w.dark {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	running, ends := [][]any{}, [][]any{}
	for _, x := range w.runs {
		if ran := steadyMs() - x.startedAt; x.step.Checkpoint && ran >= checkpointMs {
			x.ref = fmt.Sprintf("%08x%08x", x.startedAt, ran/checkpointMs)
		}
		percent := 100 * (steadyMs() - x.startedAt) / max(x.step.WorkMs, 1)
		running = append(running, []any{x.task, x.run, x.ref, min(percent, 99), x.step.CPU})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ends = append(ends, []any{e.seq, e.task, e.run, e.how, e.ref})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born, "running": running, "ended_runs": ends})
}

// jobOf returns the id of the job that a work item belongs to.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
