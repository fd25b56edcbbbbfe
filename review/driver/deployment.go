//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of the deployment.
const (
	entryCount   = 6
	workersEach  = 4
	spareCount   = 4
	clientWaitMs = 3000
	host         = "pule25.example"
)

const sparePool = "attic"

// route is a queue in the operator's configuration.
type route struct {
	Name     string         `json:"name"`
	Host     string         `json:"host"`
	Prefix   string         `json:"prefix"`
	Service  string         `json:"service"`
	Kind     string         `json:"kind"`
	Timeout  int            `json:"timeout_ms"`
	SLO      int            `json:"slo_ms"`
	Priority int            `json:"priority"`
	Attempts int            `json:"attempts"`
	Stretch  float64        `json:"stretch"`
	Advice   map[string]any `json:"advice,omitempty"`
}

func newRoute(name, service string) route {
	return route{
		Name: "r-" + name, Host: host, Prefix: "/" + name + "/", Service: service, Kind: "unsafe", Timeout: 3000, SLO: 600, Attempts: 3,
		Stretch: 1.6,
	}
}

// deployment is a small deployment: stand-ins of the platform and the workers, and the entries.
type deployment struct {
	rec     *recorder
	dir     string
	store   *store
	fleet   *fleet
	entries []*entry
	pools   []string // services whose workers run jobs
	version int
	jobSeq  atomic.Int64
}

func newDeployment(rec *recorder, pools []string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, store: newStore(rec, heartbeat), pools: pools}
	storeAddr, _, err := serve(d.store)
	if err != nil {
		return nil, err
	}
	if d.fleet, err = newFleet(rec, d.store, pools, workersEach, sparePool, spareCount); err != nil {
		return nil, err
	}
	for i := range entryCount {
		e, err := newEntry(rec, dir, "edge-"+strconv.Itoa(i+1), storeAddr, d.fleet.addr, "")
		if err != nil {
			return nil, err
		}
		d.entries = append(d.entries, e)
	}
	return d, nil
}

// start writes the first configuration, starts the entries and waits until all are ready.
func (d *deployment) start(routes []route) error {
	d.configure(routes)
	for _, e := range d.entries {
		go e.runLoop()
	}
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range d.entries {
			if d.isReady(e) {
				ready++
			}
		}
		if ready == len(d.entries) {
			break
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d entries are ready after 15 s", ready, len(d.entries))
		}
	}
	time.Sleep(2 * time.Second) // the owners of all shards have been found
	return nil
}

func (d *deployment) isReady(e *entry) bool {
	c := &http.Client{Timeout: 300 * time.Millisecond}
	res, err := c.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// configure writes the next version of the operator's configuration.
func (d *deployment) configure(routes []route) {
	d.version += 3
	var services []map[string]any
	for _, p := range append(append([]string(nil), d.pools...), sparePool) {
		services = append(services, map[string]any{
			"name": p, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true,
			"spare": p == sparePool,
		})
	}
	b, err := json.Marshal(map[string]any{
		"version": d.version, "routes": routes, "services": services,
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	d.store.put("keyed.op", "config", b)
	d.rec.log("operator: configuration %d confirmed: %s", d.version, b)
}

// job is a job of a client.
type job struct {
	id    string
	path  string
	steps []step
	body  []byte
}

// newJob returns a job for a queue, whose steps run on workers as they say. Workers know it from its first send on.
func (d *deployment) newJob(r route, steps ...step) *job {
	id := fmt.Sprintf("5c0e7a21%08x", 0xd94b0000+d.jobSeq.Add(1))
	body, err := json.Marshal(map[string]any{"spec": "job " + id, "steps": steps})
	if err != nil {
		panic(err)
	}
	d.fleet.mu.Lock()
	d.fleet.jobs[id] = steps
	d.fleet.mu.Unlock()
	return &job{id: id, path: r.Prefix + id, steps: steps, body: body}
}

// call sends one call to an entry. The status is 0 if there is no answer.
func (d *deployment) call(e *entry, method, path string, body []byte) (int, string) {
	c := &http.Client{Timeout: (clientWaitMs + 200) * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.Itoa(clientWaitMs))
	res, err := c.Do(req)
	if err != nil {
		d.rec.log("client: %s %s at %s: no answer: %v", method, path, e.name, err)
		return 0, ""
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	text := strings.TrimSpace(string(b))
	d.rec.log("client: %s %s at %s: %d %s", method, path, e.name, res.StatusCode, text)
	return res.StatusCode, text
}

// submit hands a job in, and tries other entries after 429, 502, 503, 504 or no answer, as clients do. It reports whether the job was
// accepted.
func (d *deployment) submit(j *job, tries int) bool {
	for i := range tries {
		status, _ := d.call(d.entries[(int(d.jobSeq.Load())+i)%len(d.entries)], http.MethodPost, j.path, j.body)
		if status/100 == 2 {
			return true
		}
		if status == http.StatusNotFound || status == http.StatusBadRequest {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state of a job, or the status of the answer if there is none.
func (d *deployment) state(path string) string {
	for i := range d.entries {
		status, body := d.call(d.entries[i], http.MethodGet, path, nil)
		if status == http.StatusOK {
			var s struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(body), &s)
			return s.State
		}
		if status == http.StatusGone || status == http.StatusNotFound {
			return strconv.Itoa(status)
		}
	}
	return "no answer"
}

// runsOf returns the runs of a job's work items.
func (d *deployment) runsOf(j *job) []run {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	var list []run
	for task, runs := range d.fleet.history {
		if strings.HasPrefix(task, j.id+".") {
			for _, r := range runs {
				r.worker.advance()
				list = append(list, *r)
			}
		}
	}
	return list
}

// await waits until a condition holds, and reports whether it did in time.
func await(limit time.Duration, holds func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// close ends all processes and servers.
func (d *deployment) close() {
	var wg sync.WaitGroup
	for _, e := range d.entries {
		if e.cmd != nil {
			wg.Add(1)
			go func() { defer wg.Done(); e.close() }()
		}
	}
	wg.Wait()
	close(d.store.ended)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}
