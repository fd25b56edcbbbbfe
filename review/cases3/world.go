//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"sassafrasvalve/fake/plat"
)

// Bounds of the deployment semillero-plata, in milliseconds.
const (
	gangMs      = 3000
	holdMaxMs   = 10_000
	stopGraceMs = 900
	moveMs      = 1500
	heartbeatMs = 1500
	tickMs      = 5
	visibleMs   = 3000
	finishMs    = 14_000
)

// world holds the stand-ins of the platform: the store, the machines with their workers and the cloud.
type world struct {
	dir      string // temporary folder
	record   *os.File
	started  time.Time
	log      *plat.Log
	store    string // address of the store
	cloud    string // address of the cloud
	servers  []*http.Server
	entries  []*entry
	stopped  chan struct{}
	nextPort int // of the entries

	mu          sync.Mutex // guards the following
	machines    []*machine
	services    []service
	routes      []route
	version     int
	jobs        map[string]*job
	workerCount int
	ends        map[string]int       // ends of runs by how
	noted       map[string]time.Time // when an end as done was taken note of, by work item
	broken      []string             // what broke the rule of the case
	fenceCheck  bool
}

type service struct {
	Name  string
	Spare bool
}

type route struct {
	Name, Host, Prefix, Service string
}

// job is a job as a client sent it.
type job struct {
	ID         string
	Steps      []step
	AcceptedAt time.Time
	StartedAt  time.Time
}

type step struct {
	Count      int    `json:"count"`
	CPU        int64  `json:"cpu,omitempty"`
	MemMB      int64  `json:"mem_mb,omitempty"`
	GPU        int64  `json:"gpu,omitempty"`
	EstimateMs int64  `json:"estimate_ms"`
	Gang       bool   `json:"gang,omitempty"`
	Label      string `json:"required_label,omitempty"`
	MaxPer     int    `json:"max_per_server,omitempty"`
	Persistent bool   `json:"persistent,omitempty"`
	Budget     int    `json:"disruption_budget,omitempty"`
	After      []int  `json:"after,omitempty"`
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, record: f, started: time.Now(), log: plat.NewLog(), stopped: make(chan struct{}), jobs: map[string]*job{},
		ends: map[string]int{}, noted: map[string]time.Time{}, nextPort: rand.IntN(portCount),
	}
	if w.store, err = w.serve(w.log.Handler()); err != nil {
		return nil, err
	}
	if w.cloud, err = w.serve(w.cloudHandler()); err != nil {
		return nil, err
	}
	go w.loop()
	return w, nil
}

// serve starts a server on a free loopback port.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records what broke the rule. The caller holds mu.
func (w *world) breaks(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
	w.note("BROKEN "+format, args...)
}

func (w *world) isBroken() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.broken) > 0
}

// configure writes the next version of the configuration.
func (w *world) configure(services []service, routes []route) {
	w.mu.Lock()
	w.services, w.routes = services, routes
	w.version++
	version := w.version
	w.mu.Unlock()
	var s, r []any
	for _, x := range services {
		s = append(s, map[string]any{
			"name": x.Name, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "spare": x.Spare,
		})
	}
	for _, x := range routes {
		r = append(r, map[string]any{
			"name": x.Name, "host": x.Host, "prefix": x.Prefix, "kind": "unsafe", "timeout_ms": 3000, "slo_ms": 600, "priority": 0,
			"service": x.Service, "attempts": 3, "stretch": 1.6,
		})
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": r, "services": s,
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	w.log.Put("keyed.op", "config", b)
	w.note("operator: configuration %d: %s", version, b)
}

// loop ends runs that are due, boots workers whose move is over and writes the workers' reports.
func (w *world) loop() {
	ticker := time.NewTicker(tickMs * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.stopped:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		now := time.Now()
		for _, m := range w.machines {
			if m.state == "moving" && now.After(m.backAt) {
				m.state = "up"
				if err := w.boot(m); err != nil {
					w.note("worker on %s does not begin: %v", m.id, err)
				}
			}
			if v := m.worker; v != nil {
				v.advance(now)
				if !v.dark && now.Sub(v.reportedAt) >= heartbeatMs*time.Millisecond {
					w.announce(v)
				}
			}
		}
		w.mu.Unlock()
	}
}

// close ends all processes and servers.
func (w *world) close() {
	for _, e := range w.entries {
		e.kill()
	}
	close(w.stopped)
	w.mu.Lock()
	servers := w.servers
	w.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", filepath.Clean(w.dir))
	}
}
