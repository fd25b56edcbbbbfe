package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/fake/pool"
)

// Config configures a Platform.
type Config struct {
	VMs int // VMs of the service
	// Route returns the address to announce for a VM, such as the address of a proxy; nil announces the address of
	// the VM itself.
	Route func(addr string) (string, error)
	Spare int // machines that are switched off at the start
	// SecondVMs is the number of VMs of SecondService, to which MoveQueue sends the queue; 0 means that there is no such
	// service.
	SecondVMs int
	// UncheckedFences makes the platform carry out orders about machines with any fence number. An order with a lower number
	// than an earlier one is a violation then.
	UncheckedFences bool
	Accounts        []Account // client accounts; without any the configuration has no account list
}

// Names in the configuration of the fake platform.
const (
	Service       = "desk"
	SecondService = "till"
	Off           = "off"
	Queue         = "holds"
	RenamedQueue  = "bookings"
	Host          = "desk.example"
	Prefix        = "/holds/"
)

// Capacity of a VM, and intervals of the platform.
const (
	vmCPU       = 16_000 // thousandths of a core
	vmMemMB     = 64_000
	tickMs      = 5   // interval of the checks for runs that have ended
	heartbeatMs = 500 // interval of the VMs' reports
	moveMs      = 300 // duration of the move of a machine
	crashMs     = 10  // time from the start of a poison item until its VM crashes
	downMs      = 500 // time for which the machine is down then
	// crashesBeforeBudget is the number of crashes under an item after which it may be started startsInBudget times more.
	crashesBeforeBudget = 3
	startsInBudget      = 2
)

// Platform is a fake platform. Create it with Start.
type Platform struct {
	cfg         Config
	Log         *Log
	startedAt   time.Time
	startedJobs map[string]time.Time // time of the last start of an item, by job
	servers     []*http.Server

	mu         sync.Mutex
	machines   []*machine
	steps      map[string][]jobs.Step // by job
	bootCount  int                    // VM IDs, for the next one
	startCount int                    // start orders
	lateEvery  int                    // see SetLateStarts
	violations []string               // violated rules, and errors of boots
	arrival    arrival                // of the order that is being executed
	starts     map[string][]*start    // by item
	polled     map[*pool.VM]int64     // highest fence number of a poll, by lifetime of a VM
	poison     map[string]*poisonItem // by name
	crashes    map[string]int         // crashes of VMs under an item, by item
	store      string
	cloud      string
	version    int    // of the configuration
	service    string // to which the configuration sends the queue
	queue      string // name of the queue in the configuration
	accounts   []Account
	keys       map[string]Key    // all keys that a version has had, by their text
	jobAccount map[string]string // account by job
	limits     limitHistory
	stopped    chan struct{}
	wg         sync.WaitGroup
}

// machine is a machine with its VM, which is nil while the machine is off or moving.
type machine struct {
	id, pool      string
	vm            *pool.VM
	server        *http.Server
	movingUntilMs int64    // end of the move in progress, or 0
	crashAtMs     int64    // time at which its VM crashes under a poison item, or 0
	downUntilMs   int64    // end of the time for which it is down after that, or 0
	restarting    *pool.VM // last lifetime of the VM while it restarts under its ID, or nil
	restartAtMs   int64    // time of the start of its next lifetime
	expired       bool     // the entry of its VM has expired and is not renewed
	fence         int64    // highest fence number of an order
}

// poisonItem is an item that crashes each VM that starts it.
type poisonItem struct {
	crashes, startsAfter int // startsAfter counts the starts after crashesBeforeBudget crashes
}

// Start starts a platform on loopback addresses. It returns an error if it cannot listen.
func Start(cfg Config) (*Platform, error) {
	p := &Platform{
		cfg: cfg, Log: NewLog(), startedAt: time.Now(), startedJobs: map[string]time.Time{},
		steps: map[string][]jobs.Step{}, poison: map[string]*poisonItem{}, crashes: map[string]int{}, starts: map[string][]*start{}, polled: map[*pool.VM]int64{}, stopped: make(chan struct{}),
		service: Service, queue: Queue, keys: map[string]Key{}, jobAccount: map[string]string{},
	}
	for _, a := range cfg.Accounts {
		a.Keys = slices.Clone(a.Keys) // they change with each version
		p.accounts = append(p.accounts, a)
	}
	var err error
	if p.store, err = p.listen(p.Log.Handler()); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", p.listMachines)
	mux.HandleFunc("POST /machine-move", p.moveMachine)
	if p.cloud, err = p.listen(mux); err != nil {
		return nil, err
	}
	for i := range cfg.VMs + cfg.Spare + cfg.SecondVMs {
		m := &machine{id: fmt.Sprintf("m-%02d", i), pool: Service}
		switch {
		case i >= cfg.VMs+cfg.Spare:
			m.pool = SecondService
		case i >= cfg.VMs:
			m.pool = Off
		}
		p.machines = append(p.machines, m)
		if m.pool != Off {
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

// Cloud returns the address of the machine service, which lists and moves machines.
func (p *Platform) Cloud() string { return p.cloud }

// Close stops the platform and closes its connections.
func (p *Platform) Close() {
	close(p.stopped)
	p.wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		_ = s.Close() // no call needs a reply any more
	}
}

// Violations returns the violations of rules that the VMs have seen, such as an item that runs twice.
func (p *Platform) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.violations...)
}

func (p *Platform) listen(h http.Handler) (string, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve(l) }() // ends with Close
	return l.Addr().String(), nil
}

func (p *Platform) nowMs() int64 { return time.Since(p.startedAt).Milliseconds() + 1 }

// MoveQueue appends a configuration that sends the queue to the other service.
func (p *Platform) MoveQueue() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.service == Service {
		p.service = SecondService
	} else {
		p.service = Service
	}
	p.configure()
}

// RenameQueue appends a configuration that gives the queue its other name. Callers use the same host and prefix.
func (p *Platform) RenameQueue() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue == Queue {
		p.queue = RenamedQueue
	} else {
		p.queue = Queue
	}
	p.configure()
}

// ExpireEntries removes the entries of all VMs from the log, as an outage does, and stops their reports until RenewEntry is
// called for each machine.
func (p *Platform) ExpireEntries() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if m.vm != nil {
			m.expired = true
			p.Log.Put("keyed.servers", m.vm.ID, nil)
		}
	}
}

// MachineCount returns the number of machines.
func (p *Platform) MachineCount() int { return len(p.machines) }

// RenewEntry adds the entry of machine i's VM again after ExpireEntries.
func (p *Platform) RenewEntry(i int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machines[i]
	if m.expired = false; m.vm != nil {
		p.announce(m)
	}
}

// configure appends the operator's next configuration to the log.
func (p *Platform) configure() {
	p.version++
	services := []any{
		map[string]any{"name": Service, "admission_check": true},
		map[string]any{"name": Off, "admission_check": true, "spare": true},
	}
	if p.cfg.SecondVMs > 0 {
		services = append(services, map[string]any{"name": SecondService, "admission_check": true})
	}
	config := map[string]any{
		"version": p.version,
		"routes": []any{map[string]any{
			"name": p.queue, "host": Host, "prefix": Prefix, "service": p.service, "attempts": 4, "stretch": 1.6, "slo_ms": 600,
		}},
		"services": services,
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 262144},
	}
	if len(p.accounts) > 0 {
		config["tenants"] = wireAccounts(p.accounts)
	}
	b, err := json.Marshal(config)
	if err != nil {
		panic(err) // the literal above can always be encoded
	}
	p.Log.Put("keyed.op", "config", b)
	p.noteAccounts()
}

// boot starts the next lifetime of a machine's VM. After Start the caller holds mu.
func (p *Platform) boot(m *machine) error {
	p.bootCount++
	vm := p.newVM(pools.VM{ID: fmt.Sprintf("vm-%s-%d", m.id, p.bootCount), Service: m.pool, CPU: vmCPU, MemMB: vmMemMB})
	id := vm.ID
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", func(w http.ResponseWriter, r *http.Request) { p.order(m, id, pools.Start, w, r) })
	mux.HandleFunc("POST /run-stop", func(w http.ResponseWriter, r *http.Request) { p.order(m, id, pools.Stop, w, r) })
	mux.HandleFunc("POST /hold", func(w http.ResponseWriter, r *http.Request) { p.poll(m, id, w, r) })
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
	m.vm, m.server, m.expired = vm, p.servers[len(p.servers)-1], false
	p.announce(m)
	return nil
}

// announce appends a report of a machine's VM to the log.
func (p *Platform) announce(m *machine) {
	b, err := json.Marshal(map[string]any{
		"service": m.pool, "addr": m.vm.Addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "born": m.vm.BootedAtMs,
		"capacity": map[string]any{"cpu": m.vm.CPU, "mem_mb": m.vm.MemMB, "gpu": 0}, "labels": []string{"a", "r1-1"}, "machine": m.id,
	})
	if err != nil {
		panic(err) // the literal above can always be encoded
	}
	p.Log.Put("keyed.servers", m.vm.ID, b)
}

// planRun returns the duration, the result and the step of a run. Each run takes the estimate of its step and succeeds.
func (p *Platform) planRun(o pools.Order) (int64, bool, jobs.Step) {
	id, it, ok := jobs.ParseItem(o.Item)
	steps := p.steps[id]
	if !ok || it.Step >= len(steps) {
		p.violations = append(p.violations, "UNASKED "+o.Item)
		return 1, true, jobs.Step{}
	}
	return max(steps[it.Step].EstimateMs, 1), false, steps[it.Step]
}

// noteStart records the time of a start, lets the VM of a poison item crash, and checks the VM's capacity.
func (p *Platform) noteStart(v *pool.VM, r *pool.Run) {
	if id, _, ok := jobs.ParseItem(r.Item); ok {
		p.startedJobs[id] = time.Now()
	}
	p.startPoison(v, r.Item)
	if cpu, mem := v.Used(); cpu > v.CPU || mem > v.MemMB {
		p.violations = append(p.violations, "LIMIT "+v.ID)
	}
}

// startPoison lets the VM of a poison item crash soon. It records a violation if the item has been started too often.
func (p *Platform) startPoison(v *pool.VM, item string) {
	x := p.poison[item]
	if x == nil {
		return
	}
	if x.crashes >= crashesBeforeBudget {
		if x.startsAfter++; x.startsAfter > startsInBudget {
			p.violations = append(p.violations, "BUDGET "+item)
		}
	}
	for _, m := range p.machines {
		if m.vm == v && m.crashAtMs == 0 {
			m.crashAtMs = p.nowMs() + crashMs
		}
	}
}

// crashUnderPoison ends the VM of a machine that has started a poison item.
func (p *Platform) crashUnderPoison(m *machine, now int64) {
	for item := range m.vm.Runs {
		if x := p.poison[item]; x != nil {
			x.crashes++
		}
	}
	p.countCrash(m.vm)
	p.removeVM(m)
	m.downUntilMs = now + downMs
}

// LastStart returns the time of the last start of an item of a job, or the zero time if none has ever been started.
func (p *Platform) LastStart(id string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startedJobs[id]
}

// SetSteps sets the steps of a job, which contain the run times of its items.
func (p *Platform) SetSteps(id string, steps []jobs.Step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.steps[id] = steps
}

// SetPoison makes the first item of a job crash each VM that starts it.
func (p *Platform) SetPoison(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.poison[jobs.Item{}.Name(id)] = &poisonItem{}
}

// loop ends the runs that are due, boots the machines whose move has ended, and sends the VMs' reports.
func (p *Platform) loop() {
	defer p.wg.Done()
	ticker := time.NewTicker(tickMs * time.Millisecond)
	defer ticker.Stop()
	var reportedAtMs int64
	for {
		select {
		case <-p.stopped:
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		now := p.nowMs()
		mustReport := now-reportedAtMs >= heartbeatMs
		if mustReport {
			reportedAtMs = now
		}
		for _, m := range p.machines {
			if m.vm != nil && m.crashAtMs > 0 && now >= m.crashAtMs {
				p.crashUnderPoison(m, now)
			}
			if m.movingUntilMs > 0 && now >= m.movingUntilMs || m.downUntilMs > 0 && now >= m.downUntilMs {
				m.movingUntilMs, m.downUntilMs = 0, 0
				if err := p.boot(m); err != nil {
					p.violations = append(p.violations, err.Error())
				}
			}
			if m.restarting != nil && now >= m.restartAtMs {
				p.startAgain(m)
			}
			if m.vm == nil {
				continue
			}
			m.vm.Advance(now)
			if mustReport && !m.expired {
				p.announce(m)
			}
		}
		p.mu.Unlock()
	}
}
