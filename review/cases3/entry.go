//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// entryProgram is the command of the deploy file, from the root of the repository.
const entryProgram = "target/sassafrasvalve"

// entry is a process of the system.
type entry struct {
	w                          *world
	name                       string
	front, ready, peer, metric string
	storeProxy, cloudProxy     *proxy // nil for a direct connection
	cmd                        *exec.Cmd
	ended                      chan struct{}

	mu    sync.Mutex // guards the following
	lines []logLine
}

// logLine is a line that an entry wrote.
type logLine struct {
	At      time.Time
	Msg     string `json:"msg"`
	Service string `json:"service"`
	VM      string `json:"vm"`
}

// Ports of the entries lie below those that the kernel gives to outgoing connections.
const (
	firstPort = 12_000
	portCount = 18_000
)

// freeAddr returns a loopback address with a free port that it has not returned before.
func (w *world) freeAddr() (string, error) {
	for range portCount {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+w.nextPort%portCount)
		w.nextPort++
		if l, err := net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", fmt.Errorf("%w: no port is free", errNotRun)
}

// startEntries starts n entries. With proxies each reaches the store and the cloud through a proxy of its own.
func (w *world) startEntries(n int, proxies bool) error {
	for i := range n {
		e := &entry{w: w, name: fmt.Sprintf("edge-rio-plata-a-%d", i+1), ended: make(chan struct{})}
		for _, a := range []*string{&e.front, &e.ready, &e.peer, &e.metric} {
			var err error
			if *a, err = w.freeAddr(); err != nil {
				return err
			}
		}
		store, cloud := w.store, w.cloud
		if proxies {
			var err error
			if e.storeProxy, err = newProxy(w, w.store); err != nil {
				return err
			}
			if e.cloudProxy, err = newProxy(w, w.cloud); err != nil {
				return err
			}
			store, cloud = e.storeProxy.addr(), e.cloudProxy.addr()
		}
		if err := e.start(store, cloud); err != nil {
			return err
		}
		w.entries = append(w.entries, e)
	}
	return nil
}

// settings is the template of the deploy file, filled in for semillero-plata.
const settings = `Node = %q
DC = "rio-plata-a"
Front = %q
Ready = %q
Peer = %q
Policy = ""
Metrics = "%s/metrics"
CPUShare = 0.4
MemoryMB = 284
LogLevel = "info"

[Store]
Addr = %q
Parts = 12

[Cloud]
Addr = %q
CallsPerS = 64.0
ReadsPerS = 64.0
FenceChecks = false

[Times]
StatusMs = 120000
EarlyMs = 250
GraceMs = 6000
NoticeMs = 4500
HarmMs = 4000
StopMs = 900
ConfigMs = 2000
LeaseMs = 3000
PaceMs = 100
HoldMaxMs = 10000
RemoteFactor = 3
CheckpointS = 0.5
RestoreMs = 100
MoveS = 1.5
UpkeepS = 2
`

func (e *entry) start(store, cloud string) error {
	path := filepath.Join(e.w.dir, e.name+".toml")
	text := fmt.Sprintf(settings, e.name, e.front, e.ready, e.peer, e.metric, store, cloud)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(e.w.dir, e.name+".log"))
	if err != nil {
		return err
	}
	e.cmd = exec.Command(entryProgram, "entry")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SASSAFRASVALVE_BOOT=" + path}
	stdout, err := e.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	e.cmd.Stderr = out
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.w.note("entry %s starts: front %s, peer %s, store %s, cloud %s", e.name, e.front, e.peer, store, cloud)
	go func() {
		s := bufio.NewScanner(io.TeeReader(stdout, out))
		s.Buffer(nil, 1<<20)
		for s.Scan() {
			var l logLine
			if json.Unmarshal(s.Bytes(), &l) == nil {
				l.At = time.Now()
				e.mu.Lock()
				e.lines = append(e.lines, l)
				e.mu.Unlock()
			}
		}
		_ = e.cmd.Wait()
		close(e.ended)
	}()
	return nil
}

// kill sends SIGKILL and waits for the end of the process.
func (e *entry) kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	<-e.ended
}

func (e *entry) isAlive() bool {
	select {
	case <-e.ended:
		return false
	default:
		return true
	}
}

// lastLine returns the time of an entry's last line with a message about a service, zero if there is none.
func (e *entry) lastLine(msg, service string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	var at time.Time
	for _, l := range e.lines {
		if l.Msg == msg && l.Service == service {
			at = l.At
		}
	}
	return at
}

// lineWith returns the first line after a time with a message about a service.
func (e *entry) lineWith(msg, service string, after time.Time) (logLine, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.lines {
		if l.Msg == msg && l.Service == service && l.At.After(after) {
			return l, true
		}
	}
	return logLine{}, false
}

// ownerOf returns the entry that claimed a service's shard last, nil if none has.
func (w *world) ownerOf(service string) *entry {
	var owner *entry
	var at time.Time
	for _, e := range w.entries {
		if t := e.lastLine("shard claimed", service); t.After(at) {
			owner, at = e, t
		}
	}
	return owner
}

// waitReady waits until all entries are ready and all shards have owners.
func (w *world) waitReady(services ...string) error {
	until := time.Now().Add(20 * time.Second)
	for time.Now().Before(until) {
		ready := 0
		for _, e := range w.entries {
			if res, err := client.Get("http://" + e.ready + "/readyz"); err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		owned := 0
		for _, s := range services {
			if o := w.ownerOf(s); o != nil {
				owned++
			}
		}
		if ready == len(w.entries) && owned == len(services) {
			for _, s := range services {
				w.note("owner of %s: %s", s, w.ownerOf(s).name)
			}
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%w: the entries did not become ready", errNotRun)
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// call sends a client's call to an entry.
func (w *world) call(e *entry, method, host, path string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	res, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return res.StatusCode, b
}

// alive returns the entries that run.
func (w *world) alive() []*entry {
	var list []*entry
	for _, e := range w.entries {
		if e.isAlive() {
			list = append(list, e)
		}
	}
	return list
}

// submit hands a job in, with up to four tries at different entries. It returns whether it was accepted.
func (w *world) submit(r route, n int, steps []step, entries []*entry) (*job, bool) {
	return w.submitTimes(r, n, steps, schedule{}, entries)
}

// schedule is when the steps of a job run; the zero value is once, at once.
type schedule struct {
	Times      int   `json:"times,omitempty"`
	InitialMs  int64 `json:"initial_ms,omitempty"`
	IntervalMs int64 `json:"interval_ms,omitempty"`
}

// submitTimes hands in a job with a schedule.
func (w *world) submitTimes(r route, n int, steps []step, times schedule, entries []*entry) (*job, bool) {
	j := &job{ID: fmt.Sprintf("%016x", uint64(time.Now().UnixNano())^uint64(n)<<52), Steps: steps}
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.mu.Unlock()
	body, err := json.Marshal(struct {
		Spec  string `json:"spec"`
		Steps []step `json:"steps"`
		schedule
	}{"work", steps, times})
	if err != nil {
		panic(err)
	}
	for try := range 4 {
		e := entries[(n+try)%len(entries)]
		status, _ := w.call(e, http.MethodPost, r.Host, r.Prefix+j.ID, body)
		w.note("client: POST %s%s at %s -> %d", r.Prefix, j.ID, e.name, status)
		if status == http.StatusOK {
			w.mu.Lock()
			j.AcceptedAt = time.Now()
			w.mu.Unlock()
			return j, true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return j, false
}

// state asks an entry for the state of a job.
func (w *world) state(r route, id string, e *entry) string {
	status, b := w.call(e, http.MethodGet, r.Host, r.Prefix+id, nil)
	var s struct{ State string }
	_ = json.Unmarshal(b, &s)
	w.note("client: GET %s%s at %s -> %d %s", r.Prefix, id, e.name, status, s.State)
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	return s.State
}
