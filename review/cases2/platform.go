//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names in the configuration.
const (
	serviceName = "riga-office"
	queueName   = "riga-quote"
	host        = "riga.example"
	prefix      = "/riga-quote/"
)

// startAgain is a start of a work item of which an earlier run has ended done.
type startAgain struct {
	run  int
	text string
}

// Record writes record.txt and keeps what the checks need.
type Record struct {
	mu      sync.Mutex
	f       *os.File
	running map[string]map[*Worker]*run // by work item
	done    map[string]bool             // work items of which a run has ended done
	noted   map[string]bool             // those whose end done was taken note of
	again   map[string]startAgain       // starts after an end done that was not taken note of yet
	Starts  map[string]int              // by job
	LastRun map[string]int64            // by job: steady ms of the last start
	Ends    int
	Acked   int
	Broken  []string // violations
}

func (l *Record) printf(format string, a ...any) {
	fmt.Fprintf(l.f, "%9.3f  ", float64(steadyMs())/1000)
	fmt.Fprintf(l.f, format+"\n", a...)
}

// Printf writes a line.
func (l *Record) Printf(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.printf(format, a...)
}

// Break records a violation.
func (l *Record) Break(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breakf(format, a...)
}

func (l *Record) breakf(format string, a ...any) {
	s := fmt.Sprintf(format, a...)
	l.Broken = append(l.Broken, s)
	l.printf("BROKEN %s", s)
}

func (l *Record) runStarted(w *Worker, r *run, b orderBody) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.printf("start %s run %d on %s (lifetime %d), deadline_ms %d at clock_ms %d", r.task, r.run, w.ID, w.life, b.Deadline, w.clock())
	if l.running[r.task] == nil {
		l.running[r.task] = map[*Worker]*run{}
	}
	for o, x := range l.running[r.task] {
		if o != w {
			l.breakf("TWICE: %s runs as run %d on %s and as run %d on %s, which are both up", r.task, x.run, o.ID, r.run, w.ID)
		}
	}
	if l.done[r.task] {
		text := fmt.Sprintf("TWICE: %s starts as run %d on %s at %.3f, after a run has ended done, and that end", r.task, r.run, w.ID, float64(steadyMs())/1000)
		if l.noted[r.task] {
			l.breakf("%s was taken note of before", text)
		} else {
			l.again[r.task] = startAgain{r.run, text}
		}
	}
	l.running[r.task][w] = r
	l.Starts[jobOf(r.task)]++
	l.LastRun[jobOf(r.task)] = steadyMs()
}

func (l *Record) runEnded(w *Worker, r *run, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running[r.task], w)
	if how != "crash" {
		l.Ends++
	}
	if how == "done" {
		l.done[r.task] = true
	}
	l.printf("end %s run %d on %s: %s", r.task, r.run, w.ID, how)
}

func (l *Record) acked(_ *Worker, e runEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Acked++
	if e.how != "done" || e.lapsed {
		return
	}
	l.noted[e.task] = true
	if a, ok := l.again[e.task]; ok && e.run < a.run {
		delete(l.again, e.task)
		l.breakf("%s, of run %d, is taken note of later", a.text, e.run)
	}
}

var startedAt = time.Now()

// steadyMs returns the time since the start of the program.
func steadyMs() int64 { return time.Since(startedAt).Milliseconds() }

// Platform is the platform with its workers and the entries under test.
type Platform struct {
	store       *Store
	log         *Record
	dir         string
	workers     []*Worker
	workerDelay time.Duration
	cloudAddr   string
	storeAddr   string
	entries     []*entry

	mu    sync.Mutex
	steps map[string][]Step // by job
}

type entry struct {
	front string
	cmd   *exec.Cmd
	done  chan struct{}
}

func listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }() // ends with the program
	return l.Addr().String(), nil
}

// NewPlatform starts the store, the cloud and n workers, and writes the configuration.
func NewPlatform(dir string, workers int) (*Platform, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	p := &Platform{
		store: NewStore(), dir: dir, steps: map[string][]Step{}, workerDelay: time.Millisecond,
		log: &Record{
			f: f, running: map[string]map[*Worker]*run{}, done: map[string]bool{}, noted: map[string]bool{}, again: map[string]startAgain{}, Starts: map[string]int{}, LastRun: map[string]int64{},
		},
	}
	if p.storeAddr, err = listen(p.store); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", p.machines)
	if p.cloudAddr, err = listen(mux); err != nil {
		return nil, err
	}
	config, _ := json.Marshal(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": queueName, "host": host, "prefix": prefix, "service": serviceName, "priority": 0, "attempts": 2,
			"stretch": 1.6, "slo_ms": 600, "timeout_ms": 3000,
		}},
		"services": []any{map[string]any{"name": serviceName, "admission_check": true}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 60000},
	})
	p.store.Put("keyed.op", "config", config)
	for i := range workers {
		w, err := newWorker(p, i+1, serviceName, 32_000, 131_072)
		if err != nil {
			return nil, err
		}
		p.workers = append(p.workers, w)
	}
	return p, nil
}

// step returns what a work item asks for.
func (p *Platform) step(task string) Step {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := strings.Split(task, ".")
	n, err := strconv.Atoi(f[min(2, len(f)-1)])
	steps := p.steps[f[0]]
	if err != nil || n >= len(steps) {
		p.log.Break("UNASKED: start of %s, which no client sent", task)
		return Step{WorkMs: 1}
	}
	return steps[n]
}

func (p *Platform) machines(w http.ResponseWriter, _ *http.Request) {
	rows := []map[string]any{}
	for _, x := range p.workers {
		x.mu.Lock()
		row := map[string]any{
			"machine": x.Machine, "pool": x.Service, "state": "up", "zone": "z1", "labels": []string{"a", "r1-1"},
			"capacity": map[string]any{"cpu": x.CPU, "mem_mb": x.MemMB, "gpu": 0}, "id": x.ID,
		}
		if x.dark {
			row["state"], row["id"] = "down", ""
		}
		x.mu.Unlock()
		rows = append(rows, row)
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next_token": ""})
}

// freePorts returns n free loopback ports. They are below the range from which the kernel takes the ports of outgoing
// connections, so that no such connection has one when an entry listens on it.
func freePorts(n int) ([]int, error) {
	const low, high = 12_000, 32_000
	var ports []int
	for port, tries := low+rand.IntN(high-low), 0; len(ports) < n; port, tries = port+1, tries+1 {
		if port >= high {
			port = low
		}
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err == nil {
			_ = l.Close()
			ports = append(ports, port)
		} else if tries > high-low {
			return nil, err
		}
	}
	return ports, nil
}

// StartEntries starts n entries with the command of the deploy file and waits until all are ready.
func (p *Platform) StartEntries(n int) error {
	ports, err := freePorts(4 * n)
	if err != nil {
		return err
	}
	tmpl, err := os.ReadFile("deploy/settings.toml.tmpl")
	if err != nil {
		return err
	}
	var ready []string
	for i := range n {
		q := ports[4*i : 4*i+4]
		addr := func(k int) string { return "127.0.0.1:" + strconv.Itoa(q[k]) }
		values := map[string]string{
			"node|json": strconv.Quote(fmt.Sprintf("edge-z1-%d", i+1)), "zone|json": `"z1"`,
			"listen.front|json": strconv.Quote(addr(0)), "listen.ready|json": strconv.Quote(addr(1)),
			"ip": "127.0.0.1", "port_range.0": strconv.Itoa(q[2]), "port_range.1": strconv.Itoa(q[3]), "advice": "",
			"limits.cpu_share": "0.4", "limits.memory_mb": "284", "platform.addr|json": strconv.Quote(p.storeAddr),
			"platform.parts": "12", "cloud.addr|json": strconv.Quote(p.cloudAddr), "cloud.duty_per_s": "64.0",
			"cloud.rate_per_s": "64.0", "bounds.fence_check": "true", "bounds.status_s": "120", "bounds.early_ms": "250",
			"bounds.grace_s": "6", "bounds.notice_ms": "4500", "bounds.harm_ms": "4000", "bounds.stop_grace_ms": "400",
			"bounds.config_propagation_ms": "2000", "bounds.lease_ms": "3000", "bounds.pace_ms": "100",
		}
		text := string(tmpl)
		for k, v := range values {
			text = strings.ReplaceAll(text, "{{"+k+"}}", v)
		}
		if strings.Contains(text, "{{") {
			return fmt.Errorf("the template has a placeholder that this program does not know:\n%s", text)
		}
		settings := filepath.Join(p.dir, fmt.Sprintf("settings-%d.toml", i+1))
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			return err
		}
		out, err := os.Create(filepath.Join(p.dir, fmt.Sprintf("entry-%d.log", i+1)))
		if err != nil {
			return err
		}
		cmd := exec.Command("target/sassafrasvalve", "entry")
		cmd.Env = append(os.Environ(), "SASSAFRASVALVE_BOOT="+settings)
		cmd.Stdout, cmd.Stderr = out, out
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			return err
		}
		e := &entry{front: addr(0), cmd: cmd, done: make(chan struct{})}
		go func() { _ = cmd.Wait(); close(e.done) }()
		p.entries = append(p.entries, e)
		ready = append(ready, addr(1))
	}
	until := time.Now().Add(20 * time.Second)
	for _, a := range ready {
		for {
			res, err := http.Get("http://" + a + "/readyz")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("the entry at %s is not ready", a)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	p.log.Printf("%d entries are ready", n)
	return nil
}

// Stop ends the entries.
func (p *Platform) Stop() {
	for _, e := range p.entries {
		_ = e.cmd.Process.Signal(syscall.SIGKILL)
		<-e.done
	}
}

// call sends one request of a client to an entry and returns the status, 0 without an answer, and the body.
func (p *Platform) call(entry int, method, id string, body any, within time.Duration) (int, string) {
	var r *strings.Reader = strings.NewReader("")
	if body != nil {
		b, _ := json.Marshal(body)
		r = strings.NewReader(string(b))
	}
	req, err := http.NewRequest(method, "http://"+p.entries[entry%len(p.entries)].front+prefix+id, r)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	c := http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(req)
	if err != nil {
		p.log.Printf("%s %s at entry %d: no answer within %v", method, id, entry%len(p.entries)+1, within)
		return 0, ""
	}
	defer res.Body.Close()
	var buf [512]byte
	n, _ := res.Body.Read(buf[:])
	text := strings.TrimSpace(string(buf[:n]))
	p.log.Printf("%s %s at entry %d: %d %s", method, id, entry%len(p.entries)+1, res.StatusCode, text)
	return res.StatusCode, text
}

// wireStep is a step as clients send it.
type wireStep struct {
	Count      int    `json:"count"`
	CPU        int64  `json:"cpu"`
	MemMB      int64  `json:"mem_mb"`
	EstimateMs int64  `json:"estimate_ms"`
	Checkpoint bool   `json:"checkpoint,omitempty"`
	After      []int  `json:"after,omitempty"`
	Label      string `json:"required_label,omitempty"`
}

// submit hands a job in, and again after no answer, 503 or 504, until within has passed.
func (p *Platform) submit(entry int, id string, steps []wireStep, workMs int64, within time.Duration) bool {
	p.mu.Lock()
	for _, s := range steps {
		p.steps[id] = append(p.steps[id], Step{CPU: s.CPU, MemMB: s.MemMB, WorkMs: workMs, Checkpoint: s.Checkpoint, Label: s.Label})
	}
	p.mu.Unlock()
	for until := time.Now().Add(within); time.Now().Before(until); entry++ {
		status, _ := p.call(entry, http.MethodPost, id, map[string]any{"spec": "quote", "steps": steps}, 3*time.Second)
		if status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}
