package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/fake/pool"
)

// Delays of the simulated world, in milliseconds.
const (
	appendMs        = 7   // an append to the log
	hopMs           = 1   // one way between the owner and a VM
	tickMs          = 100 // interval of the owner's steps without an event
	renewMs         = 500 // interval of the renewals of a claim
	pollGapMs       = 8   // minimum time between two polls of a VM
	heldEndsPauseMs = 100 // pause after a poll of a VM whose recorded ends are not acknowledged yet
	timeoutMs       = 500 // until a call without a reply fails
	// takeoverMs is the time for which a shard has no owner after the loss of one.
	takeoverMs = 1200
	// unstoredMs is the time before the loss of an owner in which the store accepts no records of it.
	unstoredMs = 1500
	// wallClockBaseMs is the Unix time at time 0 of the simulated clock.
	wallClockBaseMs = 1_700_000_000_000
)

// event is a function that runs at a simulated time. Events with equal times run in the order of their creation.
type event struct {
	at  int64
	seq int64
	do  func()
}

type queue []*event

func (q queue) Len() int { return len(q) }
func (q queue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].seq < q[b].seq
}
func (q queue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push adds an event.
func (q *queue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop removes the last event.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// World is the state of a simulated scenario.
type World struct {
	spec     Spec
	rng      *rand.Rand
	now      int64
	startMs  int64 // time of the first arrivals
	seq      int64
	events   queue
	catalog  *jobs.Catalog
	services []*service
	jobs     map[string]*generatedJob
	order    []*generatedJob
	machines []*machine
	site     *site // nil unless machines change their pool

	check   *checker
	starts  int
	wasteMs int64 // core-milliseconds of runs that did not end as done
}

// machine is a machine with its current VM lifetime.
type machine struct {
	index    int
	service  *service // whose jobs its VM runs, nil while it has no VM
	vm       *pool.VM // nil before the first lifetime
	lifetime int      // number of the VM lifetime
	dark     bool     // the VM is unavailable
	slowdown float64  // factor on the run times
	grey     *Grey    // nil unless runs fail or hang
	// loseOrders is the fraction of orders without a reply. Half of them are executed late.
	loseOrders float64
	held       *heldPoll // the poll that waits for an end, or nil
}

// heldPoll is a poll whose reply a VM delays until a run ends.
type heldPoll struct {
	call      pools.PollRequest
	sentAt    int64
	heldUntil int64
}

// New returns a world at the start of a scenario.
func New(spec Spec) *World {
	w := &World{
		spec: spec, rng: rand.New(rand.NewPCG(spec.Seed, spec.Seed^0x9e3779b97f4a7c15)), jobs: map[string]*generatedJob{}, now: 1000, startMs: 1000,
	}
	w.check = newChecker(w)
	w.catalog = &jobs.Catalog{Version: 1}
	for i := range spec.Classes {
		c := &w.spec.Classes[i]
		if c.Service == "" {
			c.Service = onlyService
		}
		w.catalog.Queues = append(w.catalog.Queues, jobs.Queue{
			Name: c.Name, Service: c.Service, Priority: c.Priority, MaxAttempts: max(c.Attempts, 1), Stretch: c.Stretch, SLOMs: c.SLOMs,
		})
		if w.service(c.Service) == nil {
			w.catalog.Pools = append(w.catalog.Pools, jobs.Pool{Service: c.Service, EnforcesCapacity: true})
			w.services = append(w.services, newService(w, c.Service))
		}
	}
	if spec.Site != nil {
		w.site = newSite(w)
	} else {
		for i := range spec.VMs {
			m := &machine{index: i, slowdown: 1}
			w.machines = append(w.machines, m)
			w.boot(m, w.services[0])
		}
	}
	for _, s := range w.services {
		s.startOwner(true)
	}
	return w
}

// onlyService is the service of classes that name none.
const onlyService = "pool"

// service returns the service with a name, nil if there is none.
func (w *World) service(name string) *service {
	for _, s := range w.services {
		if s.name == name {
			return s
		}
	}
	return nil
}

// at schedules do at time t in ms, or now if t is in the past.
func (w *World) at(t int64, do func()) {
	w.seq++
	heap.Push(&w.events, &event{at: max(t, w.now), seq: w.seq, do: do})
}

// boot starts the next lifetime of a machine's VM, for the jobs of a service.
func (w *World) boot(m *machine, s *service) {
	m.lifetime++
	m.held, m.service = nil, s
	vm := pool.New(pools.VM{
		ID: fmt.Sprintf("vm-%02d-%d", m.index, m.lifetime), Service: s.name, Addr: "x", CPU: w.spec.CPU, MemMB: w.spec.MemMB,
		Labels: []string{fmt.Sprintf("r1-%d", m.index/max(w.spec.Rack, 1))},
	}, w.now)
	vm.PlanRun = func(o pools.Order) (int64, bool, jobs.Step) { return w.planRun(m, o) }
	vm.OnStart, vm.OnEnd, vm.OnEndRecorded = w.check.started, w.ended, w.check.checkRecordedEnd
	if w.spec.StopDelayMs > 0 {
		vm.StopDelayMs = w.spec.StopDelayMs
	}
	m.vm = vm
	if s.engine != nil {
		s.sendVMList()
		s.pollVM(m, s.engine)
	}
}

// planRun returns the duration in ms, the result and the step of a run that starts on a machine.
func (w *World) planRun(m *machine, o pools.Order) (int64, bool, jobs.Step) {
	id, it, ok := jobs.ParseItem(o.Item)
	d := w.jobs[id]
	if !ok || d == nil {
		w.check.addFault("UNASKED", "%s was never submitted", o.Item)
		return 1, true, jobs.Step{}
	}
	step := d.job.Steps[it.Step]
	work := int64(float64(d.work[jobs.Item{Step: it.Step, Index: it.Index}]) * m.slowdown)
	if m.grey != nil {
		if m.grey.Hang {
			return 0, false, step
		}
		return max(work/2, 1), true, step
	}
	return work, d.poison, step
}

func (w *World) ended(v *pool.VM, r *pool.Run, kind pools.EndKind) {
	w.check.ended(v, r, kind)
	if kind != pools.EndDone {
		w.wasteMs += (w.now - r.StartedAtMs) * r.Step.CPU / 1000
	}
}

// Run runs the scenario and returns its result.
func (w *World) Run() Report {
	w.arrivals()
	w.faults()
	for _, sv := range w.services {
		w.every(tickMs, func() { sv.sendVMList(); sv.step() })
		w.every(renewMs, sv.renew)
	}
	if w.site != nil {
		w.site.start()
	}
	end := w.now + w.spec.ForMs
	drain := end + drainMs
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(*event)
		if e.at > drain {
			break
		}
		w.now = e.at
		e.do()
	}
	return w.report()
}

// drainMs is the time for which a scenario continues after the last arrival.
const drainMs = 14_000

// every runs do at intervals of ms.
func (w *World) every(ms int64, do func()) {
	var again func()
	again = func() {
		do()
		w.at(w.now+ms, again)
	}
	w.at(w.now+ms, again)
}

// storeDown reports whether the store refuses all calls now.
func (w *World) storeDown() bool {
	for _, o := range w.spec.StoreDown {
		if t := w.now - w.startMs; t >= o.FromMs && t < o.ToMs {
			return true
		}
	}
	return false
}

func (w *World) machineOf(id string) *machine {
	for _, m := range w.machines {
		if m.vm != nil && m.vm.ID == id {
			return m
		}
	}
	return nil
}

// scheduleNextEnd schedules the next end of a run on a VM and the reply to the held poll.
func (w *World) scheduleNextEnd(m *machine) {
	t, ok := m.vm.NextEndMs()
	if !ok {
		return
	}
	life := m.lifetime
	w.at(t, func() {
		if m.lifetime != life || m.service == nil {
			return
		}
		m.vm.Advance(w.now)
		m.service.answerPoll(m, m.service.engine)
		w.scheduleNextEnd(m)
	})
}
