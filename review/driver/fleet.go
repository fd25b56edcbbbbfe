//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the machines, as the settings of a small deployment name them.
const (
	heartbeat = 1500 * time.Millisecond
	moveTime  = 1500 * time.Millisecond
)

// machine is a machine of a pool.
type machine struct {
	id, zone string
	pool     string
	labels   []string
	state    string // up, moving or gone
	worker   *worker
	fence    int64
	holder   string
}

// fleet is a stand-in of the machines, their workers and the service that moves them.
type fleet struct {
	rec   *recorder
	store *store
	spare string

	mu       sync.Mutex
	machines []*machine
	jobs     map[string][]step // steps of the jobs that clients sent
	history  map[string][]*run // all runs by work item
	lives    int
	zoneTime time.Duration // to a worker in another zone than the entries and back
	addr     string        // of the service that moves machines
}

// newFleet starts machines in pools. counts holds the machines of each pool, spare is the name of the spare pool.
func newFleet(rec *recorder, st *store, pools []string, count int, spare string, spares int) (*fleet, error) {
	f := &fleet{rec: rec, store: st, spare: spare, jobs: map[string][]step{}, history: map[string][]*run{}}
	add := func(pool string) *machine {
		n := len(f.machines)
		m := &machine{
			id: fmt.Sprintf("m-%04x", 0xa000+n*37), zone: fmt.Sprintf("z%d", n%4+1), pool: pool, state: "up",
			labels: []string{"a", fmt.Sprintf("r%d-%d", n%4+1, n/4+1)},
		}
		f.machines = append(f.machines, m)
		return m
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range pools {
		for range count {
			if err := f.boot(add(p)); err != nil {
				return nil, err
			}
		}
	}
	for range spares {
		add(spare)
	}
	addr, _, err := serve(f)
	f.addr = addr
	return f, err
}

// serve serves a handler on a free loopback port.
func serve(h http.Handler) (string, *http.Server, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), s, nil
}

// boot starts the next life of a machine. The caller holds mu.
func (f *fleet) boot(m *machine) error {
	f.lives++
	w := &worker{
		f: f, id: fmt.Sprintf("i-%06x", 0x51f00+f.lives*13), m: m, pool: m.pool, born: time.Now(), mu: &f.mu,
		runs: map[string]*run{}, highest: map[string]int{},
	}
	addr, server, err := serve(w)
	if err != nil {
		return err
	}
	w.addr, w.server = addr, server
	m.worker, m.state = w, "up"
	go w.reportLoop(heartbeat, heartbeat*time.Duration(f.lives*7%10+1)/10)
	f.rec.log("machine %s: worker %s starts in pool %s", m.id, w.id, m.pool)
	return nil
}

// takeDown ends the life of a machine's worker. The caller holds mu.
func (f *fleet) takeDown(m *machine) {
	w := m.worker
	if w == nil {
		return
	}
	w.gone = true
	for _, r := range w.runs {
		r.endedAt, r.how = time.Now(), "terminated"
	}
	w.runs = map[string]*run{}
	go func() { _ = w.server.Close() }()
	go f.store.leave(w.id)
	f.rec.log("machine %s: worker %s of pool %s is gone", m.id, w.id, m.pool)
	m.worker = nil
}

// ServeHTTP serves the calls about machines.
func (f *fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Method == http.MethodGet {
		f.list(w)
		return
	}
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, m := range f.machines {
		if m.id == b.Machine && m.state != "gone" {
			f.move(w, m, b.Pool, number(r.Header.Get("Fencing-Token")), r.Header.Get("Lease-Holder"))
			return
		}
	}
	w.WriteHeader(http.StatusBadRequest)
}

func (f *fleet) list(w http.ResponseWriter) {
	list := []map[string]any{}
	for _, m := range f.machines {
		if m.state == "gone" {
			continue
		}
		id := ""
		if m.worker != nil {
			id = m.worker.id
		}
		list = append(list, map[string]any{
			"machine": m.id, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels, "id": id,
			"capacity": map[string]any{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0},
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
}

func (f *fleet) move(w http.ResponseWriter, m *machine, pool string, fence int64, holder string) {
	switch {
	case fence < m.fence:
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	case m.pool == pool:
		w.WriteHeader(http.StatusOK)
		return
	case m.state != "up":
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	m.fence, m.holder = fence, holder
	f.rec.log("machine %s: moves from %s to %s, holder %s, fence %d", m.id, m.pool, pool, holder, fence)
	f.takeDown(m)
	m.pool = pool
	if pool != f.spare {
		m.state = "moving"
		time.AfterFunc(moveTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if err := f.boot(m); err != nil {
				f.rec.log("machine %s: no port for a worker: %v", m.id, err)
			}
		})
	}
	w.WriteHeader(http.StatusOK)
}

// poolSize returns the number of workers of a pool.
func (f *fleet) poolSize(pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.machines {
		if m.worker != nil && m.pool == pool {
			n++
		}
	}
	return n
}

// roomFor returns how many more work items of a step the workers of a pool have room for.
func (f *fleet) roomFor(pool string, s *step) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var n int64
	for _, m := range f.machines {
		if m.worker == nil || m.pool != pool || m.worker.draining {
			continue
		}
		cpu := int64(workerCPU)
		for _, r := range m.worker.runs {
			cpu -= r.step.CPU
		}
		n += cpu / s.CPU
	}
	return n
}

// crossZones waits for the time that a call to a worker in a zone and its answer take on the way.
func (f *fleet) crossZones(zone string) {
	f.mu.Lock()
	delay := f.zoneTime
	f.mu.Unlock()
	if zone != "z1" {
		time.Sleep(delay)
	}
}
