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

// Pick chooses a worker among the candidates.
func (c *chooser) Pick(now time.Time, cands []route.Candidate) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Pick(now, cands)
}

// Report records the outcome of an attempt on a VM.
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

// pools holds the schedulers of this entry, one for each pool of its region. It is safe for concurrent use.
type pools struct {
	cfg poolsConfig

	mu       sync.RWMutex
	byName   map[string]*sched.Pool
	choosers map[string]*chooser
}

// poolsConfig configures the schedulers of all pools.
type poolsConfig struct {
	Clock    clock.Clock
	DC       string
	MayStart func() bool
	Observer sched.Observer
}

func newPools(cfg poolsConfig) *pools {
	return &pools{cfg: cfg, byName: map[string]*sched.Pool{}, choosers: map[string]*chooser{}}
}

// Acquire waits for a slot for a request. It returns a *sched.Refusal if this entry does not serve the pool.
// It implements entry.Scheduler.
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

// ensure returns the scheduler and the chooser of a pool, and true if it has just created them.
func (p *pools) ensure(name string) (*sched.Pool, *chooser, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.byName[name]; pool != nil {
		return pool, p.choosers[name], false
	}
	now := p.cfg.Clock.Now()
	c := &chooser{table: route.NewTable(route.Config{DC: p.cfg.DC, Seed: uint64(now.UnixNano())})}
	pool := sched.New(sched.Config{Name: name, Clock: p.cfg.Clock, Chooser: c, Observer: p.cfg.Observer, HasLease: p.cfg.MayStart})
	p.byName[name], p.choosers[name] = pool, c
	return pool, c, true
}

// inProgress returns the number of requests of this entry on a VM, whichever pool they started in.
func (p *pools) inProgress(vm string) int {
	n := 0
	for _, pool := range p.all() {
		n += pool.InProgress(vm)
	}
	return n
}

// ejected returns the workers that get no work from this entry because of their failures, sorted.
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

// viewLoop pushes each new state to routing and then acknowledges drains. One loop does both, because an
// acknowledgement must never be sent before the view that it covers is in use.
func (d *Daemon) viewLoop(ctx context.Context) {
	tick := time.NewTicker(ackInterval)
	defer tick.Stop()
	var lapse member.LapseTimer
	for {
		changed := d.store.Changed()
		d.pushViews()
		d.closeAttemptsWithoutLease(&lapse)
		d.acknowledge()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.C:
		}
	}
}

// closeAttemptsWithoutLease closes the attempts in progress once this entry has been without a view lease for the
// time that member.LapseTimer allows. The other entries may by then regard it as ended and move the VMs that it
// uses to other pools.
func (d *Daemon) closeAttemptsWithoutLease(lapse *member.LapseTimer) {
	if !lapse.MustClose(d.cfg.Clock.Now(), d.group.HasLease()) {
		return
	}
	if n := d.forwarder.CloseAttempts(); n > 0 {
		d.log.Warn("view lease expired: closed attempts in progress", zap.Int("Attempts", n))
	}
}

// ackInterval bounds how long a drain waits after the last request on its VM has ended.
const ackInterval = 100 * time.Millisecond

// view is the part of the state that routing uses.
type view struct {
	fleet       spec.Fleet
	version     int
	offset      int64
	self        string     // member whose slots this entry uses
	members     []string   // of this region, in any phase
	live        []string   // live members of this region
	addrs       []string   // peer addresses of the members of all regions
	remoteAddrs []string   // those of members of other regions
	pools       []poolView // of this region
}

// poolView is a pool and its routable workers.
type poolView struct {
	pool    spec.Pool
	workers []sched.Worker
}

// readView copies the view of this region from the folded state.
func (d *Daemon) readView() view {
	region := d.cfg.Settings.Region
	var v view
	// The group reads the store under its own lock, so that lock must not be taken inside store.View: a fold that waits
	// for the store in between would stop all three for good.
	v.self = d.group.Self()
	d.store.View(func(st *fleet.State) {
		v.fleet, v.version, v.offset = st.Config.Fleet, st.Config.Version, st.Offset
		for id, m := range st.Members {
			// A guest, a process that is not a member yet, uses the slots of the previous process on its VM. That
			// process has ended, since the listening port was free. Without slots the guest could serve nothing until
			// the log is back.
			if m.VM == d.cfg.Settings.VM && st.Members[v.self] == nil {
				v.self = id
			}
			v.addrs = append(v.addrs, m.Addr)
			if m.Region == region {
				v.members = append(v.members, id)
			} else {
				v.remoteAddrs = append(v.remoteAddrs, m.Addr)
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

// forgetRemovedWorkers closes the idle connections to workers that are no longer in any pool of the view.
func (d *Daemon) forgetRemovedWorkers(v view) {
	present := map[string]bool{}
	for _, pv := range v.pools {
		for _, w := range pv.workers {
			present[w.Addr] = true
		}
	}
	for addr := range d.workerAddrs {
		if !present[addr] {
			d.forwarder.RemoveWorker(addr)
		}
	}
	d.workerAddrs = present
}

// viewKey identifies the input of a view. Without it, each tick of viewLoop would compute the same view again,
// which at 1,100 VMs takes a large part of the CPU time for control.
type viewKey struct {
	offset  int64
	self    string
	leaving string // IDs of the leaving VMs, separated by NUL
}

// pushViews passes the view of the folded state to the schedulers, the forwarder, the entry server and the metrics.
// It does nothing if the view would be the same as the one last pushed.
func (d *Daemon) pushViews() {
	d.viewMu.Lock()
	defer d.viewMu.Unlock()
	leaving := d.leaving.All()
	key := viewKey{offset: d.store.Offset(), self: d.group.Self(), leaving: strings.Join(leaving, "\x00")}
	if key == d.pushedKey {
		return
	}
	v := d.readView()
	key.offset = v.offset
	d.pushedKey = key
	d.addrs.SetMembers(v.addrs, v.remoteAddrs)
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
	d.forwarder.SetMaxConnections(connectionShare(v))
	d.forgetRemovedWorkers(v)
	if v.version != d.pushedVersion {
		d.pushedVersion = v.version
		d.log.Info("configuration in force", zap.Int("Version", v.version), zap.Int64("Offset", v.offset))
	}
	d.entry.SetView(v.fleet)
	d.stats.SetNames(classAndTenantNames(v.fleet))
	d.routedOffset.Store(v.offset)
}

// classAndTenantNames returns the names of the configured classes and tenants.
func classAndTenantNames(f spec.Fleet) (classes, tenants []string) {
	for _, c := range f.Classes {
		classes = append(classes, c.Name)
	}
	for _, t := range f.Tenants {
		tenants = append(tenants, t.Name)
	}
	return classes, tenants
}

// connectionShare returns the number of connections that this entry may open to each worker: the lowest limit of the
// pools, divided by the number of members, at least 1.
func connectionShare(v view) int {
	limit := spec.DefaultConnections
	for _, pv := range v.pools {
		if pv.pool.Connections > 0 {
			limit = min(limit, pv.pool.Connections)
		}
	}
	return max(1, limit/max(1, len(v.members)))
}
