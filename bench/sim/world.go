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
	hopMs     = 1   // one way to a VM
	tickMs    = 100 // turns of the owner without an event
	spaceMs   = 8   // between two polls of one VM
	timeoutMs = 500
	// takeoverMs is how long a shard has no owner after one is lost.
	takeoverMs = 1200
	// unheardMs is how long before its loss the store takes nothing of an owner.
	unheardMs = 1500
	wallBase  = 1_700_000_000_000
)

// event is something that happens at a time.
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

// World plays one scenario.
type World struct {
	spec    Spec
	rng     *rand.Rand
	now     int64
	seq     int64
	events  queue
	engine  *shard.Engine
	epoch   int64
	cfg     shard.Config
	catalog *jobs.Catalog
	book    *jobs.JobTable
	jobs    map[string]*drawn
	order   []*drawn
	vms     []*machine
	busy    bool // a batch is being appended

	unheard *shard.Engine // the owner of which the store takes nothing
	orphan  *shard.Engine // stands in while there is no owner

	check   *checker
	starts  int
	wasteMs int64 // core-milliseconds of runs that were not done
}

// machine is a place of a VM, which may be in any lifetime.
type machine struct {
	index int
	vm    *pool.VM
	life  int
	dark  bool
	slow  float64
	grey  *Grey
	// LoseOrders is the share of orders that bring no answer; half of them are carried out, late.
	loseOrders float64
	poll       *poll // a poll that waits for an end
}

// poll is a poll that a VM holds back.
type poll struct {
	call  pools.PollRequest
	begun int64
	until int64
}

// New returns a world that has not begun.
func New(spec Spec) *World {
	w := &World{
		spec: spec, rng: rand.New(rand.NewPCG(spec.Seed, spec.Seed^0x9e3779b97f4a7c15)),
		jobs: map[string]*drawn{}, book: jobs.NewJobTable(), now: 1000,
	}
	w.check = newChecker(w)
	w.catalog = &jobs.Catalog{Version: 1, Pools: []jobs.Pool{{Service: "pool", EnforcesCapacity: true}}}
	for i := range spec.Classes {
		c := &spec.Classes[i]
		w.catalog.Queues = append(w.catalog.Queues, jobs.Queue{
			Name: c.Name, Service: "pool", Priority: c.Priority, Attempts: max(c.Attempts, 1), Stretch: c.Stretch, SLOMs: c.SLOMs,
		})
	}
	w.cfg = shard.Config{Service: "pool", StatusRetentionMs: 120_000, MaxEarlyStartMs: 250}
	for i := range spec.VMs {
		m := &machine{index: i, slow: 1}
		w.vms = append(w.vms, m)
		w.birth(m)
	}
	w.takeOver(true)
	return w
}

func (w *World) at(t int64, do func()) {
	w.seq++
	heap.Push(&w.events, &event{at: max(t, w.now), seq: w.seq, do: do})
}

// birth begins the next lifetime of a machine.
func (w *World) birth(m *machine) {
	m.life++
	m.poll = nil
	vm := pool.New(pools.VM{
		ID: fmt.Sprintf("vm-%02d-%d", m.index, m.life), Service: "pool", Addr: "x", CPU: w.spec.CPU, MemMB: w.spec.MemMB,
		Labels: []string{fmt.Sprintf("r1-%d", m.index/max(w.spec.Rack, 1))},
	}, w.now)
	vm.Outlook = func(o pools.Order) (int64, bool, jobs.Step) { return w.outlook(m, o) }
	vm.OnStart, vm.OnEnd, vm.OnEndRecorded = w.check.started, w.ended, w.check.noted
	m.vm = vm
	if w.engine != nil {
		w.list()
	}
}

// outlook tells what a start will come to.
func (w *World) outlook(m *machine, o pools.Order) (int64, bool, jobs.Step) {
	id, it, ok := jobs.ParseItem(o.Item)
	d := w.jobs[id]
	if !ok || d == nil {
		w.check.fault("UNASKED", "%s was never handed in", o.Item)
		return 1, true, jobs.Step{}
	}
	step := d.job.Steps[it.Step]
	work := int64(float64(d.work[jobs.Item{Step: it.Step, Index: it.Index}]) * m.slow)
	if m.grey != nil {
		if m.grey.Hang {
			return 0, false, step
		}
		return max(work/2, 1), true, step
	}
	return work, d.poison, step
}

func (w *World) ended(v *pool.VM, r *pool.Run, how pools.EndKind) {
	w.check.ended(v, r, how)
	if how != pools.EndDone {
		w.wasteMs += (w.now - r.StartedAtMs) * r.Step.CPU / 1000
	}
}

// takeOver begins a new ownership.
func (w *World) takeOver(clean bool) {
	w.epoch++
	cfg := w.cfg
	cfg.Epoch = w.epoch
	w.engine = shard.New(cfg, w.catalog, w.now)
	w.busy = false
	ids := make([]string, 0, len(w.book.Jobs))
	for id := range w.book.Jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		w.engine.LoadJob(id, w.book.Jobs[id], w.now, w.now+wallBase)
	}
	w.list()
	if !clean {
		list := make([]pools.VM, 0, len(w.vms))
		for _, m := range w.vms {
			list = append(list, m.vm.VM)
		}
		w.engine.RequireInitialPolls(list, w.now)
	}
	for _, m := range w.vms {
		w.look(m, w.engine)
	}
}

// list hands the VMs to the owner.
func (w *World) list() {
	list := make([]pools.VM, 0, len(w.vms))
	for _, m := range w.vms {
		if !m.dark {
			list = append(list, m.vm.VM)
		}
	}
	w.engine.SetVMs(list, w.now)
}

// Run plays the scenario and returns what became of it.
func (w *World) Run() Report {
	w.arrivals()
	w.faults()
	w.every(tickMs, func() { w.list(); w.turn() })
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

// drainMs is how long a scenario goes on after the last arrival.
const drainMs = 14_000

func (w *World) every(ms int64, do func()) {
	var again func()
	again = func() {
		do()
		w.at(w.now+ms, again)
	}
	w.at(w.now+ms, again)
}

// turn has the owner plan, as its loop does.
func (w *World) turn() {
	e := w.engine
	if e == w.orphan {
		return
	}
	e.MarkStoreReachable(w.now)
	e.Step(w.now, w.now+wallBase)
	w.dispatch(e, e.TakeOrders())
	e.TakeEvents()
	if w.busy {
		return
	}
	b, err := e.NextBatch()
	if err != nil {
		w.check.fault("ENCODE", "%v", err)
		return
	}
	if b == nil {
		return
	}
	begun := w.now
	w.busy = true
	w.at(w.now+appendMs, func() {
		if e != w.engine || e == w.unheard {
			return // fenced, or not taken by the store
		}
		for _, r := range b.Records {
			if _, err := w.book.Apply(r); err != nil {
				w.check.fault("ENCODE", "%v", err)
			}
		}
		w.shown()
		w.busy = false
		e.MarkOwnershipConfirmed(begun)
		w.dispatch(e, e.HandleBatchStored(b, w.now))
		w.turn()
	})
}

// shown notes the jobs that callers now see as over.
func (w *World) shown() {
	for id, entry := range w.book.Jobs {
		d := w.jobs[id]
		if d == nil || d.doneMs > 0 || !entry.Progress.State.Final() {
			continue
		}
		d.doneMs = w.now
		d.failed = entry.Progress.State == jobs.Failed
		w.check.finished(d, entry.Progress.State)
	}
}

// dispatch sends orders to the VMs.
func (w *World) dispatch(e *shard.Engine, orders []pools.Order) {
	for _, o := range orders {
		m := w.machineOf(o.VM)
		if m == nil || m.dark || w.rng.Float64() < m.loseOrders {
			if m != nil && !m.dark && w.rng.Float64() < 0.5 {
				life := m.life
				w.at(w.now+2000+w.rng.Int64N(6000), func() {
					if m.life == life && !m.dark {
						m.vm.Do(o, w.now)
						w.arm(m)
					}
				})
			}
			w.at(w.now+timeoutMs, func() { w.reply(e, o, pools.Reply{Kind: pools.NoReply}) })
			continue
		}
		life := m.life
		w.at(w.now+hopMs, func() {
			if m.dark || m.life != life {
				w.at(w.now+timeoutMs, func() { w.reply(e, o, pools.Reply{Kind: pools.NoReply}) })
				return
			}
			r := m.vm.Do(o, w.now)
			w.arm(m)
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
		w.turn()
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

// arm has a VM advance when its next run ends.
func (w *World) arm(m *machine) {
	t, ok := m.vm.NextEndMs()
	if !ok {
		return
	}
	life := m.life
	w.at(t, func() {
		if m.life != life {
			return
		}
		m.vm.Advance(w.now)
		w.answer(m)
		w.arm(m)
	})
}

// look runs the cycle of polls of one VM for one ownership.
func (w *World) look(m *machine, e *shard.Engine) {
	if e != w.engine {
		return
	}
	call, ok := e.NextPoll(m.vm.ID, w.now)
	if !ok || m.dark {
		if ok {
			w.at(w.now+timeoutMs, func() {
				if e == w.engine {
					e.HandlePollFailure(call.VM, w.now)
					w.look(m, e)
				}
			})
			return
		}
		w.at(w.now+150, func() { w.look(m, e) })
		return
	}
	w.at(w.now+hopMs, func() {
		m.vm.Advance(w.now)
		m.poll = &poll{call: call, begun: w.now - hopMs, until: w.now + call.WaitMs}
		p := m.poll
		w.answerTo(m, e)
		if m.poll == p {
			w.at(p.until, func() {
				if m.poll == p {
					w.finishLook(m, e)
				}
			})
		}
	})
}

// answer ends a poll that is held back, if there is something to tell.
func (w *World) answer(m *machine) { w.answerTo(m, w.engine) }

func (w *World) answerTo(m *machine, e *shard.Engine) {
	if m.poll != nil && (m.poll.call.WaitMs == 0 || m.vm.Pending(m.poll.call.AckedSeq)) {
		w.finishLook(m, e)
	}
}

func (w *World) finishLook(m *machine, e *shard.Engine) {
	p := m.poll
	m.poll = nil
	id := m.vm.ID
	l := m.vm.Poll(p.call, w.now)
	dark := m.dark
	w.at(w.now+hopMs, func() {
		if e != w.engine {
			return
		}
		if dark {
			e.HandlePollFailure(id, w.now)
		} else if e.HandlePollReply(id, l, p.begun, w.now) {
			w.turn()
		}
		next := max(p.begun+spaceMs, w.now)
		if e.HasUnrecordedEnds(id) {
			next = w.now + appendMs + 2
		}
		w.at(next, func() { w.look(m, e) })
	})
}
