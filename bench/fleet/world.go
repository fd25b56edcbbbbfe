package fleet

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	fold "sassafrasvalve/core/fleet"
	"sassafrasvalve/core/plan"
)

// How often the planner is called: at once after a change, otherwise while something is
// under way or not.
const (
	planSoon  = 250 * time.Millisecond
	planBusy  = 2 * time.Second
	planQuiet = 10 * time.Second
)

// runConfig describes one run.
type runConfig struct {
	shape    Shape
	planner  plan.Config
	seed     uint64
	batch    int
	maxBatch int
	badImage bool          // rebooted VMs do not come back
	trouble  bool          // ordinary failures
	floods   bool          // entries eject flooded workers for seconds
	rackAt   time.Duration // the first rack goes dark then
	rackFor  time.Duration
}

// world is one run: the fold, a planner a region and the platform.
type world struct {
	cfg      runConfig
	rng      *rand.Rand // drains, reboots and lags
	fate     *rand.Rand // failures: the same for all planners under one seed
	start    time.Time
	now      time.Time
	seq      int
	made     int
	events   events
	machines map[string]*machine
	ids      []string // of the machines, in the order of their making
	lists    map[string]map[string]plan.ListedVM
	probes   map[string]time.Time
	ejected  map[string]int
	flooded  int

	st      *fold.State
	agents  []*agent
	audit   *audit
	records int
	plans   int
}

// agent is the acting entry of a region.
type agent struct {
	region  Region
	planner *plan.Planner
	next    time.Time
}

func newWorld(cfg runConfig) *world {
	start := time.Date(2026, 1, 5, 2, 0, 0, 0, time.UTC)
	w := &world{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.seed, 1)), fate: rand.New(rand.NewPCG(cfg.seed, 2)), start: start, now: start,
		machines: map[string]*machine{}, lists: map[string]map[string]plan.ListedVM{},
		probes: map[string]time.Time{}, ejected: map[string]int{},
		st: fold.NewState(fold.StateConfig{}),
	}
	w.audit = newAudit(w)
	w.apply(fold.Record{Kind: fold.KindConfigure, Configure: &fold.Configure{Fleet: cfg.shape.config()}})
	for _, r := range cfg.shape.Regions {
		w.lists[r.Name] = map[string]plan.ListedVM{}
		w.agents = append(w.agents, &agent{region: r, planner: plan.New(cfg.planner), next: start})
		w.populate(r)
	}
	if cfg.trouble {
		w.schedule(cfg.shape.Fails, true)
		w.schedule(cfg.shape.Breaks, false)
	}
	if cfg.floods {
		w.flood()
	}
	if cfg.rackAt > 0 {
		w.after(cfg.rackAt, w.darkRack)
	}
	return w
}

// populate joins the entries and puts the VMs into their pools, four to a rack.
func (w *world) populate(r Region) {
	for i := range r.Entries {
		vm := fmt.Sprintf("%s-entry-%d", r.Name, i)
		m := fold.Member{ID: fold.MemberID(vm, 1), VM: vm, Epoch: 1, Region: r.Name, DC: r.DCs[i%len(r.DCs)]}
		w.apply(fold.Record{Kind: fold.KindJoin, Writer: m.ID, Join: &fold.Join{Member: m}})
	}
	racks := 0
	for i, size := range append(slices.Clone(w.cfg.shape.Pools), w.cfg.shape.Spares) {
		pool := spareName(r.Name)
		if i < len(w.cfg.shape.Pools) {
			pool = poolName(r.Name, i)
		}
		for j := range size {
			if j%rackSize == 0 {
				racks++
			}
			m := w.add(r, fmt.Sprintf("%s-%02d", pool, j), fmt.Sprintf("%s-r%d", r.Name, racks), r.DCs[racks%len(r.DCs)])
			m.visible = true
			w.lists[r.Name][m.id] = m.listed
			w.apply(fold.Record{Kind: fold.KindObserve, Observe: &fold.Observe{
				VM: m.id, Addr: m.addr, DC: m.dc, Rack: m.rack, Region: m.region, Pool: pool,
			}})
		}
	}
}

// schedule lets misfortunes happen with exponential gaps.
func (w *world) schedule(perDay float64, long bool) {
	gap := time.Duration(w.fate.ExpFloat64() / perDay * float64(24*time.Hour))
	w.after(gap, func() {
		w.misfortune(long)
		w.schedule(perDay, long)
	})
}

// Floods rotate over the pools: six seconds of one in which entries eject some of its
// workers, and four of rest.
const (
	floodTime = 6 * time.Second
	floodRest = 4 * time.Second
	floodPart = 0.3 // of the pool's workers, the most that an entry ejects
)

func (w *world) flood() {
	r := w.cfg.shape.Regions[w.flooded%len(w.cfg.shape.Regions)]
	pool := poolName(r.Name, w.flooded/len(w.cfg.shape.Regions)%len(w.cfg.shape.Pools))
	w.flooded++
	for _, id := range w.st.PoolVMs(pool) {
		if w.rng.Float64() < floodPart {
			w.ejected[id] = r.Entries
		}
	}
	w.after(floodTime, func() { clear(w.ejected) })
	w.after(floodTime+floodRest, w.flood)
}

// darkRack takes down the rack of the first VM.
func (w *world) darkRack() {
	first := w.machines[w.ids[0]]
	for _, id := range slices.Clone(w.ids) {
		m := w.machines[id]
		if m.rack == first.rack && m.dc == first.dc && m.up {
			w.down(m)
			w.after(w.cfg.rackFor, func() { w.boot(m) })
		}
	}
}

// apply folds a record and checks the result.
func (w *world) apply(r fold.Record) {
	w.records++
	r.ID = fmt.Sprintf("r%d", w.records)
	r.Version = fold.RecordVersion
	r.At = w.now
	before := w.audit.before(r)
	res := w.st.Apply(w.st.Offset+1, r)
	w.audit.after(r, res, before)
	if res.Accepted && r.Drain != nil {
		w.acknowledge(r.Drain.VM, res.Offset)
	}
}

// acknowledge lets the entries confirm a drain when their last request on the VM has ended.
func (w *world) acknowledge(id string, gen int64) {
	vm := w.st.VMs[id]
	d := between(w.rng, drainMin, drainMax)
	if m := w.machines[id]; m == nil || !m.up || vm.Pool == spareName(vm.Region) {
		d = time.Second // no requests, or they broke
	}
	w.after(d, func() {
		for _, member := range w.st.MissingAcks(id) {
			w.apply(fold.Record{Kind: fold.KindAck, Writer: member, Ack: &fold.Ack{
				Member: member, Through: w.st.Offset, VMs: []fold.VMGen{{VM: id, Gen: gen}},
			}})
		}
		w.wake()
	})
}

func (w *world) wake() {
	for _, a := range w.agents {
		if soon := w.now.Add(planSoon); soon.Before(a.next) {
			a.next = soon
		}
	}
}

// run goes on until done or the end.
func (w *world) run(end time.Duration, done func() bool) {
	stop := w.start.Add(end)
	for !done() {
		a := slices.MinFunc(w.agents, func(a, b *agent) int { return cmp.Compare(a.next.UnixNano(), b.next.UnixNano()) })
		at := a.next
		if len(w.events) > 0 && !w.events[0].at.After(at) {
			at = w.events[0].at
		}
		if at.After(stop) {
			w.advance(stop)
			return
		}
		w.advance(at)
		if len(w.events) > 0 && !w.events[0].at.After(w.now) {
			heap.Pop(&w.events).(event).run()
			continue
		}
		w.plan(a)
	}
}

func (w *world) advance(to time.Time) {
	w.audit.advance(to.Sub(w.now))
	w.now = to
}

// plan calls the planner of a region and appends its records.
func (w *world) plan(a *agent) {
	w.plans++
	obs, busy := w.observe(a)
	act := a.planner.Plan(w.st, obs, w.now)
	for _, id := range act.Reboots {
		w.reboot(id)
	}
	if len(act.Records) > 0 {
		w.after(logDelay, func() {
			for _, r := range act.Records {
				r.Writer = a.region.Name
				w.apply(r)
			}
			w.wake()
		})
		busy = true
	}
	a.next = w.now.Add(planQuiet)
	if busy {
		a.next = w.now.Add(planBusy)
	}
}

// observe builds what the acting entry sees, and reports whether something is under way.
func (w *world) observe(a *agent) (plan.Observations, bool) {
	obs := plan.Observations{
		Region:    a.region.Name,
		List:      plan.VMList{Read: true, AsOf: w.now.Add(-listAge), VMs: w.lists[a.region.Name]},
		Reporting: a.region.Entries,
		Reports:   map[string]plan.HealthReport{},
		Probes:    map[string]time.Time{},
	}
	busy := len(w.st.Waves) > 0
	for id, vm := range w.st.VMs {
		if vm.Region != a.region.Name {
			continue
		}
		m := w.machines[id]
		up := m != nil && m.up
		switch {
		case vm.Phase != fold.Active:
			busy = true
			if up {
				obs.Probes[id] = w.now
			}
		case !up && (m == nil || w.now.Sub(m.downAt) >= refusedAfter):
			obs.Reports[id] = plan.HealthReport{Refused: a.region.Entries}
		}
	}
	for id, n := range w.ejected {
		r := obs.Reports[id]
		if floodTime >= ejectedAfter {
			r.Ejected = n
		}
		obs.Reports[id] = r
	}
	return obs, busy
}

// ejectedAfter is how long an entry must have ejected a worker before it reports so.
const ejectedAfter = 30 * time.Second
