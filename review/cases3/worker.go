//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// machine is a machine of the platform with its worker, which is nil while the machine is off, moving or down.
type machine struct {
	id       string
	pool     string
	state    string // up, moving or down
	cpu, mem int64
	gpu      int64
	label    string
	rack     string
	worker   *worker
	fence    int64     // highest fence number of an order
	holder   string    // of that order
	backAt   time.Time // end of a move
}

// run is a run of a work item.
type run struct {
	task      string
	number    int
	step      step
	startedAt time.Time
	endsAt    time.Time // zero while a gang waits
	stopAt    time.Time
}

// worker is one lifetime of a worker.
type worker struct {
	w          *world
	m          *machine
	id, addr   string
	service    string
	born       time.Time
	server     *http.Server
	fence      int64
	leaseEnd   int64 // by the worker's clock
	runs       map[string]*run
	ended      [][]any // seq, task, run, how, saved
	seq        int64
	highest    map[string]int // highest number of a stopped or ended run, by work item
	reportedAt time.Time
	gone       bool
	dark       bool              // its machine is down, and nobody gets a response
	leaveLate  func(*order) bool // reports whether a start is left unanswered, to be carried out later; nil for none
}

// addMachine adds a machine to a pool. A machine of a spare pool is off. The caller does not hold mu.
func (w *world) addMachine(m *machine) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	m.state = "up"
	w.machines = append(w.machines, m)
	if w.isSpare(m.pool) {
		return nil
	}
	return w.boot(m)
}

func (w *world) isSpare(pool string) bool {
	for _, s := range w.services {
		if s.Name == pool {
			return s.Spare
		}
	}
	return false
}

// boot starts a new worker on a machine. The caller holds mu.
func (w *world) boot(m *machine) error {
	w.workerCount++
	return w.begin(m, fmt.Sprintf("i-%s-%02d", strings.TrimPrefix(m.id, "m-"), w.workerCount), "127.0.0.1:0")
}

// restart takes a machine down silently for a time. Its worker starts again under its id and address, and knows nothing of before. The
// caller does not hold mu.
func (w *world) restart(m *machine, down time.Duration) error {
	w.mu.Lock()
	v := m.worker
	v.dark = true
	w.note("worker %s crashes with %d runs", v.id, len(v.runs))
	w.mu.Unlock()
	time.Sleep(down)
	_ = v.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	v.gone = true
	return w.begin(m, v.id, v.addr)
}

// begin starts a lifetime of a worker. The caller holds mu.
func (w *world) begin(m *machine, id, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	v := &worker{
		w: w, m: m, id: id, addr: l.Addr().String(), service: m.pool, born: time.Now(), runs: map[string]*run{}, highest: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", v.handle(v.start))
	mux.HandleFunc("POST /run-stop", v.handle(v.stop))
	mux.HandleFunc("POST /pace", v.handle(func(*order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /hold", v.hold)
	v.server = &http.Server{Handler: mux}
	go func() { _ = v.server.Serve(l) }()
	m.worker = v
	w.announce(v)
	w.note("worker %s of %s begins on %s at %s, labels %s %s", v.id, v.service, m.id, v.addr, m.label, m.rack)
	return nil
}

// announce writes the worker's report. The caller holds mu.
func (w *world) announce(v *worker) {
	v.reportedAt = time.Now()
	labels := []string{v.m.label, v.m.rack}
	b, err := json.Marshal(map[string]any{
		"service": v.service, "addr": v.addr, "zone": "rio-plata-a", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]any{"cpu": v.m.cpu, "mem_mb": v.m.mem, "gpu": v.m.gpu}, "labels": labels, "machine": v.m.id,
		"born": v.born.UnixMilli(), "clock_ms": v.clock(time.Now()), "seq": v.reportedAt.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	w.log.Put("keyed.servers", v.id, b)
}

// remove ends a worker and all that runs on it. The caller holds mu.
func (w *world) remove(m *machine, why string) {
	v := m.worker
	if v == nil {
		return
	}
	w.note("worker %s ends: %s; %d runs end with it", v.id, why, len(v.runs))
	for _, r := range v.runs {
		w.ends["with its worker"]++
		w.breakGang(r)
	}
	v.gone, m.worker = true, nil
	go func() { _ = v.server.Close() }()
	w.log.Put("keyed.servers", v.id, nil)
}

func (v *worker) clock(now time.Time) int64 { return now.Sub(v.born).Milliseconds() + 1000 }

// order is the body of an order to a worker or of a look.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fence"`
	Ack      int64  `json:"ack_seq"`
	WaitMs   int64  `json:"wait_ms"`
}

func (v *worker) decode(rw http.ResponseWriter, r *http.Request) (*order, bool) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return nil, false
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != v.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return nil, false
	}
	return &o, true
}

func answer(rw http.ResponseWriter, status int, body map[string]any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// handle serves an order. f returns the status and the reason of a refusal, and is called with mu held.
func (v *worker) handle(f func(o *order) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		o, ok := v.decode(rw, r)
		if !ok {
			return
		}
		v.w.mu.Lock()
		if late := v.leaveLate != nil && r.URL.Path == "/run-start" && v.leaveLate(o); v.gone || v.dark || late {
			v.w.mu.Unlock()
			if !v.gone {
				<-r.Context().Done()
			}
			panic(http.ErrAbortHandler)
		}
		now := time.Now()
		v.advance(now)
		status, reason := http.StatusConflict, "fence"
		if o.Fence >= v.fence {
			v.fence = o.Fence
			status, reason = f(o)
		}
		if r.URL.Path != "/pace" {
			v.w.note("%s %s run %d at %s -> %d %s", r.URL.Path, o.Task, o.Run, v.id, status, reason)
		}
		body := map[string]any{"clock_ms": v.clock(now), "born": v.born.UnixMilli()}
		if reason != "" {
			body["reason"] = reason
		}
		v.w.mu.Unlock()
		answer(rw, status, body)
	}
}

// parseTask returns the job and the step of a work item.
func parseTask(task string) (id string, k, s, index int, ok bool) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return "", 0, 0, 0, false
	}
	k, e1 := strconv.Atoi(p[1])
	s, e2 := strconv.Atoi(p[2])
	index, e3 := strconv.Atoi(p[3])
	return p[0], k, s, index, e1 == nil && e2 == nil && e3 == nil
}

func (v *worker) start(o *order) (int, string) {
	now := time.Now()
	if r := v.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, ""
	}
	if o.Deadline < v.clock(now) {
		return http.StatusConflict, "late"
	}
	v.extend(o.Deadline, now)
	if o.Run <= v.highest[o.Task] || v.runs[o.Task] != nil {
		return http.StatusConflict, "old"
	}
	id, _, s, _, ok := parseTask(o.Task)
	j := v.w.jobs[id]
	if !ok || j == nil || s >= len(j.Steps) {
		return http.StatusBadRequest, ""
	}
	st := j.Steps[s]
	cpu, mem, gpu := st.CPU, st.MemMB, st.GPU
	for _, r := range v.runs {
		cpu, mem, gpu = cpu+r.step.CPU, mem+r.step.MemMB, gpu+r.step.GPU
	}
	if cpu > v.m.cpu || mem > v.m.mem || gpu > v.m.gpu {
		return http.StatusConflict, "room"
	}
	if at, ok := v.w.noted[o.Task]; ok {
		v.w.breaks("TWICE: %s run %d starts at %s, %.1f s after its end as done was taken note of", o.Task, o.Run, v.id, now.Sub(at).Seconds())
	}
	r := &run{task: o.Task, number: o.Run, step: st, startedAt: now}
	v.runs[o.Task] = r
	if j.StartedAt.IsZero() {
		j.StartedAt = now
	}
	switch {
	case st.Gang:
		v.w.joinGang(r)
	case st.Persistent: // until it is stopped
	default:
		r.endsAt = now.Add(time.Duration(st.EstimateMs) * time.Millisecond)
	}
	return http.StatusOK, ""
}

func (v *worker) stop(o *order) (int, string) {
	v.highest[o.Task] = max(v.highest[o.Task], o.Run)
	if r := v.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(100 * time.Millisecond) // stop_grace_ms at most
	}
	return http.StatusOK, ""
}

func (v *worker) extend(deadline int64, now time.Time) {
	v.leaseEnd = max(v.leaseEnd, min(deadline, v.clock(now)+holdMaxMs))
}

// sameGang reports whether two runs are of one gang.
func sameGang(a, b *run) bool {
	return a.number == b.number && a.task[:strings.LastIndex(a.task, ".")] == b.task[:strings.LastIndex(b.task, ".")]
}

// gang returns the members of a run's gang that are present, on all workers. The caller holds mu.
func (w *world) gang(r *run) map[*run]*worker {
	members := map[*run]*worker{}
	for _, m := range w.machines {
		if m.worker == nil {
			continue
		}
		for _, o := range m.worker.runs {
			if sameGang(o, r) {
				members[o] = m.worker
			}
		}
	}
	return members
}

// joinGang lets the gang of a run work if all of its members are present. The caller holds mu.
func (w *world) joinGang(r *run) {
	members := w.gang(r)
	if len(members) < r.step.Count {
		return
	}
	for m := range members {
		m.endsAt = time.Now().Add(time.Duration(r.step.EstimateMs) * time.Millisecond)
	}
}

// breakGang ends the other members of a run's gang, if it works. The caller holds mu.
func (w *world) breakGang(r *run) {
	if !r.step.Gang || r.endsAt.IsZero() {
		return
	}
	for o, v := range w.gang(r) {
		if o != r {
			v.end(o, "broken")
		}
	}
}

// advance ends the runs that are due. The caller holds mu.
func (v *worker) advance(now time.Time) {
	if v.dark {
		return
	}
	tasks := make([]string, 0, len(v.runs))
	for t := range v.runs {
		tasks = append(tasks, t)
	}
	sort.Strings(tasks)
	for _, t := range tasks {
		r := v.runs[t]
		if r == nil {
			continue
		}
		how := ""
		switch {
		case v.leaseEnd > 0 && v.clock(now) > v.leaseEnd:
			how = "lapsed"
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			how = "stopped"
		case !r.endsAt.IsZero() && now.After(r.endsAt):
			how = "done"
		case r.step.Gang && r.endsAt.IsZero() && now.Sub(r.startedAt) > gangMs*time.Millisecond:
			how = "alone"
		default:
			continue
		}
		v.end(r, how)
		if how != "done" {
			v.w.breakGang(r)
		}
	}
}

// end ends a run. The caller holds mu.
func (v *worker) end(r *run, how string) {
	delete(v.runs, r.task)
	v.highest[r.task] = max(v.highest[r.task], r.number)
	v.seq++
	v.ended = append(v.ended, []any{v.seq, r.task, r.number, how, ""})
	v.w.ends[how]++
	v.w.note("run %s %d on %s ends %s", r.task, r.number, v.id, how)
}

// hold serves a look, which renews the lease and lists the runs.
func (v *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := v.decode(rw, r)
	if !ok {
		return
	}
	until := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	first := true
	for {
		if v.dark {
			v.w.mu.Unlock()
			<-r.Context().Done()
			v.w.mu.Lock()
		}
		if v.gone || v.dark {
			panic(http.ErrAbortHandler)
		}
		now := time.Now()
		if o.Fence < v.fence {
			answer(rw, http.StatusConflict, map[string]any{"clock_ms": v.clock(now), "born": v.born.UnixMilli(), "reason": "fence"})
			return
		}
		v.fence = o.Fence
		v.advance(now)
		if first && o.Deadline > 0 {
			v.extend(o.Deadline, now)
		}
		if first {
			for len(v.ended) > 0 && v.ended[0][0].(int64) <= o.Ack {
				if v.ended[0][3] == "done" {
					v.w.noted[v.ended[0][1].(string)] = now
				}
				v.ended = v.ended[1:]
			}
		}
		first = false
		if len(v.ended) > 0 && v.ended[len(v.ended)-1][0].(int64) > o.Ack || !now.Before(until) || r.Context().Err() != nil {
			break
		}
		v.w.mu.Unlock()
		time.Sleep(tickMs * time.Millisecond)
		v.w.mu.Lock()
	}
	now := time.Now()
	running := [][]any{}
	for _, x := range v.runs {
		percent := 0
		switch {
		case x.step.Persistent && now.Sub(x.startedAt) > 500*time.Millisecond:
			percent = 100 // at work
		case !x.endsAt.IsZero():
			whole := time.Duration(x.step.EstimateMs) * time.Millisecond
			percent = int(min(99, 100-100*x.endsAt.Sub(now)/max(whole, 1)))
		}
		running = append(running, []any{x.task, x.number, "", percent, 0})
	}
	ended := v.ended[:min(len(v.ended), 500)]
	if ended == nil {
		ended = [][]any{}
	}
	answer(rw, http.StatusOK, map[string]any{"clock_ms": v.clock(now), "born": v.born.UnixMilli(), "running": running, "ended_runs": ended})
}
