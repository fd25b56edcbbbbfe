package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/fake/pool"
)

// Config says what the platform has.
type Config struct {
	VMs int // of the one service
	// Route returns the address that is announced for a VM, so that a proxy can stand in between; nil
	// announces the VM's own.
	Route func(addr string) (string, error)
	Spare int // machines that are switched off
}

// Names on the stand-in platform.
const (
	Service = "desk"
	Off     = "off"
	Queue   = "holds"
	Host    = "desk.example"
	Prefix  = "/holds/"
)

// Room of a VM, and time of the stand-in.
const (
	vmCPU       = 16_000
	vmMemMB     = 64_000
	advanceMs   = 5 // between two checks of what has ended
	heartbeatMs = 500
	moveMs      = 300
)

// Platform is the whole stand-in.
type Platform struct {
	cfg     Config
	Log     *Log
	bootAt  time.Time
	begun   map[string]bool // jobs of which an item was started
	servers []*http.Server

	mu       sync.Mutex
	machines []*machine
	steps    map[string][]jobs.Step // by job
	lives    int
	faults   []string
	running  map[string]string // VM on which an item runs
	done     map[string]bool
	store    string
	cloud    string
	stopped  chan struct{}
	wg       sync.WaitGroup
}

// machine is a machine and its VM.
type machine struct {
	id, pool string
	vm       *pool.VM
	server   *http.Server
	backAt   int64 // it is moving until then
	fence    int64
}

// Start starts a platform on loopback addresses.
func Start(cfg Config) (*Platform, error) {
	p := &Platform{
		cfg: cfg, Log: NewLog(), bootAt: time.Now(), begun: map[string]bool{}, steps: map[string][]jobs.Step{}, running: map[string]string{},
		done: map[string]bool{}, stopped: make(chan struct{}),
	}
	var err error
	if p.store, err = p.listen(p.Log.Handler()); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", p.list)
	mux.HandleFunc("POST /machine-move", p.move)
	if p.cloud, err = p.listen(mux); err != nil {
		return nil, err
	}
	for i := range cfg.VMs + cfg.Spare {
		m := &machine{id: fmt.Sprintf("m-%02d", i), pool: Service}
		if i >= cfg.VMs {
			m.pool = Off
		}
		p.machines = append(p.machines, m)
		if m.pool == Service {
			if err := p.boot(m); err != nil {
				return nil, err
			}
		}
	}
	p.configure()
	p.wg.Add(1)
	go p.loop()
	return p, nil
}

// Store returns the address of the log.
func (p *Platform) Store() string { return p.store }

// Cloud returns the address of the service that has the machines.
func (p *Platform) Cloud() string { return p.cloud }

// Close stops the platform.
func (p *Platform) Close() {
	close(p.stopped)
	p.wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		_ = s.Close() // nothing is left to be answered
	}
}

// Faults returns the rules that were broken, as the VMs saw it.
func (p *Platform) Faults() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.faults...)
}

func (p *Platform) listen(h http.Handler) (string, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve(l) }() // it ends with Close
	return l.Addr().String(), nil
}

func (p *Platform) now() int64 { return time.Since(p.bootAt).Milliseconds() + 1 }

// configure puts the operator's configuration into the log.
func (p *Platform) configure() {
	config := map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": Queue, "host": Host, "prefix": Prefix, "service": Service, "attempts": 4, "stretch": 1.6, "slo_ms": 600,
		}},
		"services": []any{
			map[string]any{"name": Service, "admission_check": true},
			map[string]any{"name": Off, "admission_check": true, "spare": true},
		},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 262144},
	}
	b, err := json.Marshal(config)
	if err != nil {
		panic(err) // the literal above can be encoded
	}
	p.Log.Put("keyed.op", "config", b)
}

// boot begins the next lifetime of a machine's VM. mu is not needed before the start, and held later.
func (p *Platform) boot(m *machine) error {
	p.lives++
	vm := pool.New(pools.VM{ID: fmt.Sprintf("vm-%s-%d", m.id, p.lives), Service: m.pool, CPU: vmCPU, MemMB: vmMemMB}, p.now())
	vm.Outlook = p.outlook
	vm.OnStart, vm.OnEnd, vm.OnNoted = p.started, p.ended, p.noted
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", func(w http.ResponseWriter, r *http.Request) { p.order(vm, pools.Start, w, r) })
	mux.HandleFunc("POST /run-stop", func(w http.ResponseWriter, r *http.Request) { p.order(vm, pools.Stop, w, r) })
	mux.HandleFunc("POST /hold", func(w http.ResponseWriter, r *http.Request) { p.look(vm, w, r) })
	addr, err := p.listen(mux)
	if err != nil {
		return err
	}
	if p.cfg.Route != nil {
		if addr, err = p.cfg.Route(addr); err != nil {
			return err
		}
	}
	vm.Addr = addr
	m.vm, m.server = vm, p.servers[len(p.servers)-1]
	p.announce(m)
	return nil
}

// announce puts a VM's report into the log.
func (p *Platform) announce(m *machine) {
	b, err := json.Marshal(map[string]any{
		"service": m.pool, "addr": m.vm.Addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "born": m.vm.Born,
		"capacity": map[string]any{"cpu": m.vm.CPU, "mem_mb": m.vm.MemMB, "gpu": 0}, "labels": []string{"a", "r1-1"},
	})
	if err != nil {
		panic(err) // the literal above can be encoded
	}
	p.Log.Put("keyed.servers", m.vm.ID, b)
}

// outlook tells what a start will come to: each item takes its estimate.
func (p *Platform) outlook(o pools.Order) (int64, bool, jobs.Step) {
	id, it, ok := jobs.ParseItem(o.Item)
	steps := p.steps[id]
	if !ok || it.Step >= len(steps) {
		p.faults = append(p.faults, "UNASKED "+o.Item)
		return 1, true, jobs.Step{}
	}
	return max(steps[it.Step].EstimateMs, 1), false, steps[it.Step]
}

func (p *Platform) started(v *pool.VM, r *pool.Run) {
	if on := p.running[r.Item]; on != "" {
		p.faults = append(p.faults, fmt.Sprintf("TWICE %s on %s and %s", r.Item, on, v.ID))
	}
	if p.done[r.Item] {
		p.faults = append(p.faults, "TWICE after done "+r.Item)
	}
	p.running[r.Item] = v.ID
	if id, _, ok := jobs.ParseItem(r.Item); ok {
		p.begun[id] = true
	}
	if cpu, mem := v.Used(); cpu > v.CPU || mem > v.MemMB {
		p.faults = append(p.faults, "LIMIT "+v.ID)
	}
}

func (p *Platform) ended(_ *pool.VM, r *pool.Run, _ pools.EndKind) { delete(p.running, r.Item) }

// noted takes the end of a run that an owner has recorded. An end that none records is lost with its VM.
func (p *Platform) noted(_ *pool.VM, end pools.RunEnd) {
	if end.Kind == pools.EndDone {
		p.done[end.Item] = true
	}
}

// Started reports whether an item of a job was ever started.
func (p *Platform) Started(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.begun[id]
}

// Expect tells the platform the steps of a job, from which it knows how long items run.
func (p *Platform) Expect(id string, steps []jobs.Step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.steps[id] = steps
}

// loop lets time pass: runs end, VMs report, machines arrive.
func (p *Platform) loop() {
	defer p.wg.Done()
	ticker := time.NewTicker(advanceMs * time.Millisecond)
	defer ticker.Stop()
	var beatAt int64
	for {
		select {
		case <-p.stopped:
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		now := p.now()
		beat := now-beatAt >= heartbeatMs
		if beat {
			beatAt = now
		}
		for _, m := range p.machines {
			if m.backAt > 0 && now >= m.backAt {
				m.backAt = 0
				if err := p.boot(m); err != nil {
					p.faults = append(p.faults, err.Error())
				}
			}
			if m.vm == nil {
				continue
			}
			m.vm.Advance(now)
			if beat {
				p.announce(m)
			}
		}
		p.mu.Unlock()
	}
}
