package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/core/shard"
	"sassafrasvalve/fake/pool"
)

// Delays of the simulated world, in milliseconds.
const (
	appendMs  = 7   // an append to the log
	hopMs     = 1   // one way between the owner and a VM
	tickMs    = 100 // interval of the owner's steps without an event
	pollGapMs = 8   // minimum time between two polls of a VM
	timeoutMs = 500 // until a call without a reply fails
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
	spec      Spec
	rng       *rand.Rand
	now       int64
	seq       int64
	events    queue
	engine    *shard.Engine
	epoch     int64
	cfg       shard.Config
	catalog   *jobs.Catalog
	jobTable  *jobs.JobTable
	jobs      map[string]*generatedJob
	order     []*generatedJob
	vms       []*machine
	appending bool // a batch is being appended

	unstored *shard.Engine // owner whose records the store does not accept
	noOwner  *shard.Engine // placeholder that is the engine while there is no owner

	check   *checker
	starts  int
	wasteMs int64 // core-milliseconds of runs that did not end as done
}

// machine is a machine with its current VM lifetime.
type machine struct {
	index    int
	vm       *pool.VM
	lifetime int     // number of the VM lifetime
	dark     bool    // the VM is unavailable
	slowdown float64 // factor on the run times
	grey     *Grey   // nil unless runs fail or hang
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
		spec: spec, rng: rand.New(rand.NewPCG(spec.Seed, spec.Seed^0x9e3779b97f4a7c15)),
		jobs: map[string]*generatedJob{}, jobTable: jobs.NewJobTable(), now: 1000,
	}
	w.check = newChecker(w)
	w.catalog = &jobs.Catalog{Version: 1, Pools: []jobs.Pool{{Service: "pool", EnforcesCapacity: true}}}
	for i := range spec.Classes {
		c := &spec.Classes[i]
		w.catalog.Queues = append(w.catalog.Queues, jobs.Queue{
			Name: c.Name, Service: "pool", Priority: c.Priority, MaxAttempts: max(c.Attempts, 1), Stretch: c.Stretch, SLOMs: c.SLOMs,
		})
	}
	w.cfg = shard.Config{Service: "pool", StatusRetentionMs: 120_000, MaxEarlyStartMs: 250}
	for i := range spec.VMs {
		m := &machine{index: i, slowdown: 1}
		w.vms = append(w.vms, m)
		w.boot(m)
	}
	w.startOwner(true)
	return w
}

// at schedules do at time t in ms, or now if t is in the past.
func (w *World) at(t int64, do func()) {
	w.seq++
	heap.Push(&w.events, &event{at: max(t, w.now), seq: w.seq, do: do})
}

// boot starts the next lifetime of a machine's VM.
func (w *World) boot(m *machine) {
	m.lifetime++
	m.held = nil
	vm := pool.New(pools.VM{
		ID: fmt.Sprintf("vm-%02d-%d", m.index, m.lifetime), Service: "pool", Addr: "x", CPU: w.spec.CPU, MemMB: w.spec.MemMB,
		Labels: []string{fmt.Sprintf("r1-%d", m.index/max(w.spec.Rack, 1))},
	}, w.now)
	vm.PlanRun = func(o pools.Order) (int64, bool, jobs.Step) { return w.planRun(m, o) }
	vm.OnStart, vm.OnEnd, vm.OnEndRecorded = w.check.started, w.ended, w.check.checkRecordedEnd
	m.vm = vm
	if w.engine != nil {
		w.sendVMList()
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

// startOwner starts a new owner with the next epoch. clean is set for the first owner, before which nothing ran.
func (w *World) startOwner(clean bool) {
	w.epoch++
	cfg := w.cfg
	cfg.Epoch = w.epoch
	w.engine = shard.New(cfg, w.catalog, w.now)
	w.appending = false
	ids := make([]string, 0, len(w.jobTable.Jobs))
	for id := range w.jobTable.Jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		w.engine.LoadJob(id, w.jobTable.Jobs[id], w.now, w.now+wallClockBaseMs)
	}
	w.sendVMList()
	if !clean {
		list := make([]pools.VM, 0, len(w.vms))
		for _, m := range w.vms {
			list = append(list, m.vm.VM)
		}
		w.engine.RequireInitialPolls(list, w.now)
	}
	for _, m := range w.vms {
		w.pollVM(m, w.engine)
	}
}

// sendVMList sets the list of VMs of the owner.
func (w *World) sendVMList() {
	list := make([]pools.VM, 0, len(w.vms))
	for _, m := range w.vms {
		if !m.dark {
			list = append(list, m.vm.VM)
		}
	}
	w.engine.SetVMs(list, w.now)
}

// Run runs the scenario and returns its result.
func (w *World) Run() Report {
	w.arrivals()
	w.faults()
	w.every(tickMs, func() { w.sendVMList(); w.step() })
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

// step runs an iteration of the owner, as its loop does: it plans, sends orders and appends the next batch.
func (w *World) step() {
	e := w.engine
	if e == w.noOwner {
		return
	}
	e.MarkStoreReachable(w.now)
	e.Advance(w.now, w.now+wallClockBaseMs)
	w.dispatch(e, e.TakeOrders())
	e.TakeEvents()
	if w.appending {
		return
	}
	b, err := e.NextBatch()
	if err != nil {
		w.check.addFault("ENCODE", "%v", err)
		return
	}
	if b == nil {
		return
	}
	startedAt := w.now
	w.appending = true
	w.at(w.now+appendMs, func() {
		if e != w.engine || e == w.unstored {
			return // the owner was replaced, or the store did not accept the batch
		}
		for _, r := range b.Records {
			if _, err := w.jobTable.Apply(r); err != nil {
				w.check.addFault("ENCODE", "%v", err)
			}
		}
		w.recordFinished()
		w.appending = false
		e.MarkOwnershipConfirmed(startedAt)
		w.dispatch(e, e.HandleBatchStored(b, w.now))
		w.step()
	})
}

// recordFinished records and checks the jobs whose final state has become visible to callers.
func (w *World) recordFinished() {
	for id, entry := range w.jobTable.Jobs {
		d := w.jobs[id]
		if d == nil || d.doneMs > 0 || !entry.Progress.State.Final() {
			continue
		}
		d.doneMs = w.now
		d.failed = entry.Progress.State == jobs.Failed
		w.check.finished(d, entry.Progress.State)
	}
}

// dispatch sends orders to the VMs. Lost orders get no reply, and half of those lost on an available VM are executed
// 2 s to 8 s later.
func (w *World) dispatch(e *shard.Engine, orders []pools.Order) {
	for _, o := range orders {
		m := w.machineOf(o.VM)
		if m == nil || m.dark || w.rng.Float64() < m.loseOrders {
			if m != nil && !m.dark && w.rng.Float64() < 0.5 {
				life := m.lifetime
				w.at(w.now+2000+w.rng.Int64N(6000), func() {
					if m.lifetime == life && !m.dark {
						m.vm.Do(o, w.now)
						w.scheduleNextEnd(m)
					}
				})
			}
			w.at(w.now+timeoutMs, func() { w.reply(e, o, pools.Reply{Kind: pools.NoReply}) })
			continue
		}
		life := m.lifetime
		w.at(w.now+hopMs, func() {
			if m.dark || m.lifetime != life {
				w.at(w.now+timeoutMs, func() { w.reply(e, o, pools.Reply{Kind: pools.NoReply}) })
				return
			}
			r := m.vm.Do(o, w.now)
			w.scheduleNextEnd(m)
			w.at(w.now+hopMs, func() { w.reply(e, o, r) })
		})
	}
}

func (w *World) reply(e *shard.Engine, o pools.Order, r pools.Reply) {
	if e != w.engine {
		return
	}
	if o.Kind == pools.Start {
		w.starts++
	}
	e.HandleOrderReply(o, r, w.now)
	if r.Kind != pools.Done {
		w.step()
	}
}

func (w *World) machineOf(id string) *machine {
	for _, m := range w.vms {
		if m.vm.ID == id {
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
		if m.lifetime != life {
			return
		}
		m.vm.Advance(w.now)
		w.answerHeldPoll(m)
		w.scheduleNextEnd(m)
	})
}

// pollVM polls a VM for an owner. It schedules itself again until the owner is replaced.
func (w *World) pollVM(m *machine, e *shard.Engine) {
	if e != w.engine {
		return
	}
	call, ok := e.NextPoll(m.vm.ID, w.now)
	if !ok || m.dark {
		if ok {
			w.at(w.now+timeoutMs, func() {
				if e == w.engine {
					e.HandlePollFailure(call.VM, w.now)
					w.pollVM(m, e)
				}
			})
			return
		}
		w.at(w.now+150, func() { w.pollVM(m, e) })
		return
	}
	w.at(w.now+hopMs, func() {
		m.vm.Advance(w.now)
		m.held = &heldPoll{call: call, sentAt: w.now - hopMs, heldUntil: w.now + call.WaitMs}
		p := m.held
		w.answerPollFor(m, e)
		if m.held == p {
			w.at(p.heldUntil, func() {
				if m.held == p {
					w.finishPoll(m, e)
				}
			})
		}
	})
}

// answerHeldPoll replies to the held poll of a VM if there are ends to report.
func (w *World) answerHeldPoll(m *machine) { w.answerPollFor(m, w.engine) }

// answerPollFor replies to the held poll of a VM if the poll does not wait or there are ends to report.
func (w *World) answerPollFor(m *machine, e *shard.Engine) {
	if m.held != nil && (m.held.call.WaitMs == 0 || m.vm.Pending(m.held.call.AckedSeq)) {
		w.finishPoll(m, e)
	}
}

// finishPoll replies to the held poll of a VM and schedules the next poll.
func (w *World) finishPoll(m *machine, e *shard.Engine) {
	p := m.held
	m.held = nil
	id := m.vm.ID
	l := m.vm.Poll(p.call, w.now)
	dark := m.dark
	w.at(w.now+hopMs, func() {
		if e != w.engine {
			return
		}
		if dark {
			e.HandlePollFailure(id, w.now)
		} else if e.HandlePollReply(id, l, p.sentAt, w.now) {
			w.step()
		}
		next := max(p.sentAt+pollGapMs, w.now)
		if e.HasUnrecordedEnds(id) {
			next = w.now + appendMs + 2
		}
		w.at(next, func() { w.pollVM(m, e) })
	})
}
