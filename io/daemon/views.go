package daemon

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/member"
	"sassafrasvalve/core/route"
	"sassafrasvalve/core/spec"
	"sassafrasvalve/io/entry"
	"sassafrasvalve/io/sched"
)

// chooser makes a route.Table safe for concurrent use.
type chooser struct {
	mu    sync.Mutex
	table *route.Table
}

// Pick chooses a worker.
func (c *chooser) Pick(now time.Time, cands []route.Candidate) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Pick(now, cands)
}

// Report takes the result of an attempt.
func (c *chooser) Report(now time.Time, vm string, o route.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Report(now, vm, o)
}

func (c *chooser) setMembers(vms []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetMembers(vms)
}

func (c *chooser) ejected(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Ejected(now)
}

// pools are the schedulers of this entry, one a pool of its region. They are safe for concurrent use.
type pools struct {
	cfg poolsConfig

	mu       sync.RWMutex
	byName   map[string]*sched.Pool
	choosers map[string]*chooser
}

// poolsConfig is what every scheduler of the entry shares.
type poolsConfig struct {
	Clock    clock.Clock
	DC       string
	Fresh    func() bool
	Observer sched.Observer
}

func newPools(cfg poolsConfig) *pools {
	return &pools{cfg: cfg, byName: map[string]*sched.Pool{}, choosers: map[string]*chooser{}}
}

// Acquire gets a slot for a request. It implements entry.Scheduler.
func (p *pools) Acquire(ctx context.Context, r sched.Request) (entry.Grant, error) {
	pool := p.get(r.Pool)
	if pool == nil {
		return entry.Grant{}, &sched.Refusal{Status: 503, Reason: "pool " + r.Pool + " is not served here", RetryAt: p.cfg.Clock.Now().Add(time.Second)}
	}
	g, err := pool.Acquire(ctx, r)
	if err != nil {
		return entry.Grant{}, err
	}
	return entry.Grant{VM: g.VM, Addr: g.Addr, Done: g.Done}, nil
}

func (p *pools) get(name string) *sched.Pool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.byName[name]
}

// all returns the schedulers, ordered by pool name.
func (p *pools) all() []*sched.Pool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make([]*sched.Pool, 0, len(p.byName))
	for _, pool := range p.byName {
		out = append(out, pool)
	}
	slices.SortFunc(out, func(a, b *sched.Pool) int {
		if a.Name() < b.Name() {
			return -1
		}
		return 1
	})
	return out
}

// ensure returns the scheduler of a pool, and true if it is new.
func (p *pools) ensure(name string) (*sched.Pool, *chooser, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.byName[name]; pool != nil {
		return pool, p.choosers[name], false
	}
	now := p.cfg.Clock.Now()
	c := &chooser{table: route.NewTable(route.Config{DC: p.cfg.DC, Seed: uint64(now.UnixNano())})}
	pool := sched.New(sched.Config{Name: name, Clock: p.cfg.Clock, Chooser: c, Observer: p.cfg.Observer, HasLease: p.cfg.Fresh})
	p.byName[name], p.choosers[name] = pool, c
	return pool, c, true
}

// inFlight returns the requests of this entry on a VM, in whichever pool they began.
func (p *pools) inFlight(vm string) int {
	n := 0
	for _, pool := range p.all() {
		n += pool.InFlight(vm)
	}
	return n
}

// ejected returns the workers that this entry gives no work for their failures.
func (p *pools) ejected(now time.Time) []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []string
	for _, c := range p.choosers {
		out = append(out, c.ejected(now)...)
	}
	slices.Sort(out)
	return out
}

// viewLoop puts each new state in force for routing and then acknowledges drains. Both are one
// duty: an acknowledgement must never overtake the view that it speaks of.
func (d *Daemon) viewLoop(ctx context.Context) {
	tick := time.NewTicker(ackPeriod)
	defer tick.Stop()
	var lapse member.LapseTimer
	for {
		changed := d.store.Changed()
		d.pushViews()
		d.closeLapsed(&lapse)
		d.acknowledge()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.C:
		}
	}
}

// closeLapsed closes the attempts in progress once this entry has been without a view lease for a while. The others
// may hold it for gone and let its VMs change pool.
func (d *Daemon) closeLapsed(lapse *member.LapseTimer) {
	if !lapse.MustClose(d.cfg.Clock.Now(), d.group.Leased()) {
		return
	}
	if n := d.forwarder.CloseAttempts(); n > 0 {
		d.log.Warn("closed attempts in progress without a view lease", zap.Int("Attempts", n))
	}
}

// ackPeriod bounds how long a drain waits after the last request on its VM has ended.
const ackPeriod = 100 * time.Millisecond

// view is the part of the state that routing rests on.
type view struct {
	fleet   spec.Fleet
	version int
	offset  int64
	self    string // member whose slots this entry uses
	members []string
	live    []string
	addrs   []string
	distant []string
	pools   []poolView
}

type poolView struct {
	pool    spec.Pool
	workers []sched.Worker
}

func (d *Daemon) readView() view {
	region := d.cfg.Settings.Region
	var v view
	d.store.View(func(st *fleet.State) {
		v.fleet, v.version, v.offset = st.Config.Fleet, st.Config.Version, st.Offset
		v.self = d.group.Self()
		for id, m := range st.Members {
			// A guest takes over the slots of the last process on its VM, which is gone: the
			// listening port was free. Without them it could serve nothing before the log is back.
			if m.VM == d.cfg.Settings.VM && st.Members[v.self] == nil {
				v.self = id
			}
			v.addrs = append(v.addrs, m.Addr)
			if m.Region == region {
				v.members = append(v.members, id)
			} else {
				v.distant = append(v.distant, m.Addr)
			}
		}
		v.live = st.LiveMembers(region)
		for _, p := range v.fleet.Pools {
			if p.Region != "" && p.Region != region {
				continue
			}
			pv := poolView{pool: p}
			for _, vm := range st.RoutableVMs(region, p.Name) {
				pv.workers = append(pv.workers, sched.Worker{VM: vm.ID, Addr: vm.Addr, DC: vm.DC})
			}
			v.pools = append(v.pools, pv)
		}
	})
	slices.Sort(v.members)
	slices.Sort(v.addrs)
	return v
}

// forgetGone closes the idle connections to workers that are in no pool of this view any more.
func (d *Daemon) forgetGone(v view) {
	present := map[string]bool{}
	for _, pv := range v.pools {
		for _, w := range pv.workers {
			present[w.Addr] = true
		}
	}
	for addr := range d.workerAddrs {
		if !present[addr] {
			d.forwarder.Forget(addr)
		}
	}
	d.workerAddrs = present
}

// viewKey identifies what a view is made of. Without it, each tick of viewLoop would
// compute the same view again, which at 1,100 VMs takes a good part of the processor time for control.
type viewKey struct {
	offset  int64
	self    string
	leaving string
}

// pushViews puts the folded state in force for routing.
func (d *Daemon) pushViews() {
	d.viewMu.Lock()
	defer d.viewMu.Unlock()
	leaving := d.leaving.All()
	key := viewKey{offset: d.store.Offset(), self: d.group.Self(), leaving: strings.Join(leaving, "\x00")}
	if key == d.viewKey {
		return
	}
	v := d.readView()
	key.offset = v.offset
	d.viewKey = key
	d.addrs.SetMembers(v.addrs, v.distant)
	added := false
	for _, pv := range v.pools {
		pool, c, isNew := d.pools.ensure(pv.pool.Name)
		added = added || isNew
		workers := slices.DeleteFunc(pv.workers, func(w sched.Worker) bool { return slices.Contains(leaving, w.VM) })
		vms := make([]string, len(workers))
		for i, w := range workers {
			vms[i] = w.VM
		}
		c.setMembers(vms)
		pool.SetView(sched.View{
			Self: v.self, Members: v.members, Workers: workers,
			Slots: pv.pool.Slots, Connections: pv.pool.Connections,
			Classes: v.fleet.Classes, Tenants: v.fleet.Tenants,
		})
	}
	if added {
		d.sched.SetPools(d.pools.all())
	}
	d.slotSelf.Store(&v.self)
	d.forwarder.SetConnections(connectionShare(v))
	d.forgetGone(v)
	if v.version != d.version {
		d.version = v.version
		d.log.Info("configuration in force", zap.Int("Version", v.version), zap.Int64("Offset", v.offset))
	}
	d.entry.SetView(v.fleet)
	d.stats.SetNames(names(v.fleet))
	d.viewed.Store(v.offset)
}

// names returns the configured classes and tenants.
func names(f spec.Fleet) (classes, tenants []string) {
	for _, c := range f.Classes {
		classes = append(classes, c.Name)
	}
	for _, t := range f.Tenants {
		tenants = append(tenants, t.Name)
	}
	return classes, tenants
}

// connectionShare returns the connections that this entry may open to each worker.
func connectionShare(v view) int {
	limit := spec.DefaultConnections
	for _, pv := range v.pools {
		if pv.pool.Connections > 0 {
			limit = min(limit, pv.pool.Connections)
		}
	}
	return max(1, limit/max(1, len(v.members)))
}
