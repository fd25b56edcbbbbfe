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

// Times until the next call of the planner.
const (
	planSoonDelay     = 250 * time.Millisecond // after a change
	planBusyInterval  = 2 * time.Second        // while a wave, a drain or a reboot is in progress
	planQuietInterval = 10 * time.Second
)

// runConfig describes one run.
type runConfig struct {
	shape     Shape
	planner   plan.Config
	seed      uint64
	batch     int
	maxBatch  int
	badImage  bool          // rebooted VMs do not come back
	failures  bool          // VMs fail, restart and are replaced at the rates of the shape
	ejections bool          // entries eject overloaded workers for seconds during bursts
	rackAt    time.Duration // time at which the first rack is lost; 0 means never
	rackFor   time.Duration // time until the VMs of the lost rack boot again
}

// world is the state of one run: the folded state, a planner per region, and the platform.
type world struct {
	cfg          runConfig
	rng          *rand.Rand // for drains, reboots and lags
	failureRng   *rand.Rand // for failures, which are the same for all planners under one seed
	start        time.Time
	now          time.Time
	seq          int
	machineCount int // machines added so far
	events       events
	machines     map[string]*machine
	ids          []string                            // of the machines; in the order of their creation until one is replaced
	lists        map[string]map[string]plan.ListedVM // VM list by region
	probes       map[string]time.Time
	ejected      map[string]int // number of entries that eject a VM, by VM
	burstCount   int            // bursts so far

	st       *fold.State
	planners []*regionPlanner
	audit    *audit
	records  int
	plans    int
}

// regionPlanner is the planner of a region, as the acting entry runs it, with the time of its next call.
type regionPlanner struct {
	region  Region
	planner *plan.Planner
	nextAt  time.Time
}

func newWorld(cfg runConfig) *world {
	start := time.Date(2026, 1, 5, 2, 0, 0, 0, time.UTC)
	w := &world{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.seed, 1)), failureRng: rand.New(rand.NewPCG(cfg.seed, 2)), start: start, now: start,
		machines: map[string]*machine{}, lists: map[string]map[string]plan.ListedVM{},
		probes: map[string]time.Time{}, ejected: map[string]int{},
		st: fold.NewState(fold.StateConfig{}),
	}
	w.audit = newAudit(w)
	w.apply(fold.Record{Kind: fold.KindConfigure, Configure: &fold.Configure{Fleet: cfg.shape.config()}})
	for _, r := range cfg.shape.Regions {
		w.lists[r.Name] = map[string]plan.ListedVM{}
		w.planners = append(w.planners, &regionPlanner{region: r, planner: plan.New(cfg.planner), nextAt: start})
		w.populate(r)
	}
	if cfg.failures {
		w.scheduleFailures(cfg.shape.Fails, true)
		w.scheduleFailures(cfg.shape.Breaks, false)
	}
	if cfg.ejections {
		w.ejectBurst()
	}
	if cfg.rackAt > 0 {
		w.after(cfg.rackAt, w.loseFirstRack)
	}
	return w
}

// populate adds the entries of a region as members and its VMs to their pools, four to a rack.
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

// scheduleFailures schedules failures of random VMs with exponentially distributed gaps.
func (w *world) scheduleFailures(perDay float64, long bool) {
	gap := time.Duration(w.failureRng.ExpFloat64() / perDay * float64(24*time.Hour))
	w.after(gap, func() {
		w.failRandomVM(long)
		w.scheduleFailures(perDay, long)
	})
}

// Bursts rotate over the pools: a burst of burstTime, in which the entries eject some workers of a pool, and then
// burstRest without one.
const (
	burstTime   = 6 * time.Second
	burstRest   = 4 * time.Second
	ejectedPart = 0.3 // fraction of a pool's workers, the maximum that an entry ejects
)

// ejectBurst starts a burst in the next pool and schedules its end and the next burst.
func (w *world) ejectBurst() {
	r := w.cfg.shape.Regions[w.burstCount%len(w.cfg.shape.Regions)]
	pool := poolName(r.Name, w.burstCount/len(w.cfg.shape.Regions)%len(w.cfg.shape.Pools))
	w.burstCount++
	for _, id := range w.st.PoolVMs(pool) {
		if w.rng.Float64() < ejectedPart {
			w.ejected[id] = r.Entries
		}
	}
	w.after(burstTime, func() { clear(w.ejected) })
	w.after(burstTime+burstRest, w.ejectBurst)
}

// loseFirstRack takes down the rack of the first VM for rackFor.
func (w *world) loseFirstRack() {
	first := w.machines[w.ids[0]]
	for _, id := range slices.Clone(w.ids) {
		m := w.machines[id]
		if m.rack == first.rack && m.dc == first.dc && m.up {
			w.takeDown(m)
			w.after(w.cfg.rackFor, func() { w.boot(m) })
		}
	}
}

// apply applies a record to the folded state and checks the result.
func (w *world) apply(r fold.Record) {
	w.records++
	r.ID = fmt.Sprintf("r%d", w.records)
	r.Version = fold.RecordVersion
	r.At = w.now
	before := w.audit.counts(r)
	res := w.st.Apply(w.st.Offset+1, r)
	w.audit.checkRecord(r, res, before)
	if res.Accepted && r.Drain != nil {
		w.acknowledge(r.Drain.VM, res.Offset)
	}
}

// acknowledge schedules the acknowledgements of a drain by the entries, after a random time for their last requests on
// the VM.
func (w *world) acknowledge(id string, gen int64) {
	vm := w.st.VMs[id]
	d := between(w.rng, drainMin, drainMax)
	if m := w.machines[id]; m == nil || !m.up || vm.Pool == spareName(vm.Region) {
		d = time.Second // the VM has no requests, or they have failed with it
	}
	w.after(d, func() {
		for _, member := range w.st.MissingAcks(id) {
			w.apply(fold.Record{Kind: fold.KindAck, Writer: member, Ack: &fold.Ack{
				Member: member, Through: w.st.Offset, VMs: []fold.VMGen{{VM: id, Gen: gen}},
			}})
		}
		w.planSoon()
	})
}

// planSoon makes the planners run within planSoonDelay.
func (w *world) planSoon() {
	for _, a := range w.planners {
		if soon := w.now.Add(planSoonDelay); soon.Before(a.nextAt) {
			a.nextAt = soon
		}
	}
}

// run runs events and planners until done returns true or end has passed since the start.
func (w *world) run(end time.Duration, done func() bool) {
	stop := w.start.Add(end)
	for !done() {
		a := slices.MinFunc(w.planners, func(a, b *regionPlanner) int { return cmp.Compare(a.nextAt.UnixNano(), b.nextAt.UnixNano()) })
		at := a.nextAt
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
	w.audit.addTime(to.Sub(w.now))
	w.now = to
}

// plan calls the planner of a region, requests the reboots and schedules its records.
func (w *world) plan(a *regionPlanner) {
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
			w.planSoon()
		})
		busy = true
	}
	a.nextAt = w.now.Add(planQuietInterval)
	if busy {
		a.nextAt = w.now.Add(planBusyInterval)
	}
}

// observe returns the observations of a region's acting entry, and whether a wave, a drain or a reboot is in progress.
func (w *world) observe(a *regionPlanner) (plan.Observations, bool) {
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
		case !up && (m == nil || w.now.Sub(m.downAt) >= refusedReportDelay):
			obs.Reports[id] = plan.HealthReport{Unreachable: a.region.Entries}
		}
	}
	for id, n := range w.ejected {
		r := obs.Reports[id]
		if burstTime >= ejectedAfter {
			r.Ejected = n
		}
		obs.Reports[id] = r
	}
	return obs, busy
}

// ejectedAfter is the time for which an entry must have ejected a worker before it reports the ejection.
const ejectedAfter = 30 * time.Second
