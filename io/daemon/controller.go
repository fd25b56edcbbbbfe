package daemon

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/member"
	"sassafrasvalve/core/plan"
	"sassafrasvalve/io/vmlist"
)

const (
	planInterval  = 500 * time.Millisecond
	probeInterval = time.Second
	probeTimeout  = time.Second
	maxProbes     = 32 // concurrent connection attempts
)

// controller applies the planner's rules while this entry is the acting entry of its region.
type controller struct {
	d       *Daemon
	planner *plan.Planner

	mu        sync.Mutex
	deferrals []plan.Deferral
}

func newController(d *Daemon) *controller {
	return &controller{d: d, planner: plan.New(plan.Config{FillPools: true})}
}

// Deferrals returns the actions that the rules deferred when they last ran on this entry.
func (c *controller) Deferrals() []plan.Deferral {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.deferrals)
}

// loop plans once per planInterval while this entry is the acting one, until ctx ends.
func (c *controller) loop(ctx context.Context) {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		if c.d.group.Acting() {
			c.plan(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// plan runs the rules once, submits the records that they produce and requests the reboots.
func (c *controller) plan(ctx context.Context) {
	now := c.d.cfg.Clock.Now()
	obs := c.observe(now)
	var actions plan.Actions
	c.d.store.View(func(st *fleet.State) { actions = c.planner.Plan(st, obs, now) })
	c.logDeferrals(actions.Deferrals)
	for _, r := range actions.Records {
		r.Writer = c.d.group.Self()
		c.d.log.Info("decision", zap.String("Target", target(r)), zap.String("Rule", r.Rule),
			zap.String("Kind", string(r.Kind)), zap.String("Reason", r.Reason))
		c.d.submit(r)
	}
	for _, vm := range actions.Reboots {
		b := &reboot{d: c.d, vm: vm}
		go b.run(ctx)
	}
}

// logDeferrals logs the deferrals that the previous run of the rules did not have.
func (c *controller) logDeferrals(deferrals []plan.Deferral) {
	c.mu.Lock()
	old := c.deferrals
	c.deferrals = deferrals
	c.mu.Unlock()
	for _, n := range deferrals {
		same := func(o plan.Deferral) bool { return o.VM == n.VM && o.Pool == n.Pool && o.Rule == n.Rule }
		if !slices.ContainsFunc(old, same) {
			c.d.log.Info("action deferred", zap.String("Target", n.VM), zap.String("Pool", n.Pool),
				zap.String("Rule", n.Rule), zap.String("Reason", n.Reason))
		}
	}
}

// target returns the ID of the VM or wave that a record of the controller changes, else "".
func target(r fleet.Record) string {
	switch r.Kind {
	case fleet.KindObserve:
		return r.Observe.VM
	case fleet.KindDrain:
		return r.Drain.VM
	case fleet.KindAssign:
		return r.Assign.VM
	case fleet.KindReboot:
		return r.Reboot.VM
	case fleet.KindActivate:
		return r.Activate.VM
	case fleet.KindFail:
		return r.Fail.VM
	case fleet.KindRemove:
		return r.Remove.VM
	case fleet.KindWave:
		return r.Wave.ID
	default:
		return ""
	}
}

// reboot is a request to the platform to reboot one VM.
type reboot struct {
	d  *Daemon
	vm string
}

func (b *reboot) run(ctx context.Context) {
	if err := b.d.vms.Reboot(ctx, b.vm); err != nil {
		b.d.log.Warn("reboot request not confirmed, it will be repeated", zap.String("Target", b.vm), zap.Error(err))
	}
}

// observe collects the input of the rules besides the folded state: the VM list, the health reports of the
// entries heard within member.SilenceTimeout, and the own probes.
func (c *controller) observe(now time.Time) plan.Observations {
	obs := plan.Observations{
		Region:  c.d.cfg.Settings.Region,
		List:    c.vmList(),
		Reports: map[string]plan.HealthReport{},
		Probes:  c.d.health.Up(),
	}
	digests := []Digest{c.d.digest()}
	for _, p := range c.d.group.Peers() {
		if now.Sub(p.ReceivedAt) <= member.SilenceTimeout && c.d.group.IsLivePeer(p.Member) {
			digests = append(digests, p.Digest)
		}
	}
	obs.Reporting = len(digests)
	for _, dg := range digests {
		for _, vm := range dg.Ejected {
			r := obs.Reports[vm]
			r.Ejected++
			obs.Reports[vm] = r
		}
		for _, vm := range dg.Dead {
			r := obs.Reports[vm]
			r.Unreachable++
			obs.Reports[vm] = r
		}
	}
	return obs
}

func (c *controller) vmList() plan.VMList {
	l, ok := c.d.vms.List()
	out := plan.VMList{Read: ok, AsOf: l.AsOf, VMs: make(map[string]plan.ListedVM, len(l.VMs))}
	entries := map[string]bool{}
	c.d.store.View(func(st *fleet.State) {
		for _, m := range st.Members {
			entries[m.VM] = true
		}
	})
	for _, vm := range l.VMs {
		out.VMs[vm.ID] = plan.ListedVM{
			State: plan.ListState(vm.State), RunsEntry: vm.Addr == "" || entries[vm.ID],
			Rebooting: vm.Away, Boots: vm.Boots, DC: vm.DC, Rack: vm.Rack, Region: vm.Region, Addr: vm.Addr,
		}
	}
	return out
}

// listLeaving returns the VMs that the platform's list marks as leaving, sorted.
func (d *Daemon) listLeaving() []string {
	l, _ := d.vms.List()
	var out []string
	for _, vm := range l.VMs {
		if vm.State == vmlist.Leaving {
			out = append(out, vm.ID)
		}
	}
	slices.Sort(out)
	return out
}

// mayPollListSlowly reports whether this entry may poll the VM list at the slow interval: another entry acts,
// this one reads its decisions from the log, and a peer reads the list and reports the leaving VMs. The last
// condition is needed because the acting entry may itself have lost its connection to the platform.
func (d *Daemon) mayPollListSlowly() bool {
	return d.group.OtherMemberActs() && d.group.ReadsLog() && d.group.PeerReadsList()
}

// probeLoop probes the ejected workers and, while this entry acts, also those that are out of routing.
// Healthy active workers are not probed: at the target fleet size these probes alone would exceed the
// limit on control traffic.
func (d *Daemon) probeLoop(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := d.cfg.Clock.Now()
		ejected := d.pools.ejected(now)
		d.health.SetEjected(now, ejected)
		d.probe(ctx, d.probeTargets(ejected))
	}
}

// probeTargets returns the addresses of the VMs to probe, by VM ID.
func (d *Daemon) probeTargets(ejected []string) map[string]string {
	acting := d.group.Acting()
	targets := map[string]string{}
	d.store.View(func(st *fleet.State) {
		for id, vm := range st.VMs {
			// An ejection may be shorter than refusedReportDelay, so a VM is probed until it accepts a connection.
			_, isEjected := slices.BinarySearch(ejected, id)
			if isEjected || d.health.Refuses(id) ||
				acting && vm.Phase != fleet.Active && vm.Region == d.cfg.Settings.Region {
				targets[id] = vm.Addr
			}
		}
	})
	return targets
}

// probe connects to each target, at most maxProbes at a time, and forgets the results of all other VMs.
func (d *Daemon) probe(ctx context.Context, targets map[string]string) {
	probed := make([]string, 0, len(targets))
	slot := make(chan struct{}, maxProbes)
	var wg sync.WaitGroup
	for vm, addr := range targets {
		probed = append(probed, vm)
		slot <- struct{}{}
		wg.Add(1)
		p := &prober{d: d, vm: vm, addr: addr, done: func() { <-slot; wg.Done() }}
		go p.run(ctx)
	}
	wg.Wait()
	slices.Sort(probed)
	d.health.Retain(probed)
}

// prober makes one connection attempt to a worker.
type prober struct {
	d        *Daemon
	vm, addr string
	done     func()
}

func (p *prober) run(ctx context.Context) {
	defer p.done()
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.addr)
	if err == nil {
		_ = conn.Close()
	}
	if ctx.Err() == nil {
		p.d.health.RecordProbe(p.d.cfg.Clock.Now(), p.vm, err == nil)
	}
}

// missingEntries finds the members whose VM the platform no longer lists.
type missingEntries struct {
	d            *Daemon
	listed       map[string]bool      // VMs of members that have been in the list
	missingSince map[string]time.Time // when they were first missing from the list
}

// maxListLag is the longest time by which the platform's list may lag.
const maxListLag = 30 * time.Second

func newMissingEntries(d *Daemon) *missingEntries {
	return &missingEntries{d: d, listed: map[string]bool{}, missingSince: map[string]time.Time{}}
}

// DueEvicts returns an Evict for each live member whose VM was listed and has been missing from the list
// for longer than maxListLag. It returns none while the list itself is older than that.
func (e *missingEntries) DueEvicts() []fleet.Record {
	now := e.d.cfg.Clock.Now()
	l, ok := e.d.vms.List()
	if !ok || now.Sub(l.AsOf) > maxListLag {
		return nil
	}
	present := map[string]bool{}
	for _, vm := range l.VMs {
		present[vm.ID] = true
	}
	var out []fleet.Record
	self := e.d.group.Self()
	e.d.store.View(func(st *fleet.State) {
		for _, id := range st.LiveMembers(e.d.cfg.Settings.Region) {
			if id != self && e.isMissing(st.Members[id].VM, present, now) {
				out = append(out, fleet.Record{
					Kind: fleet.KindEvict, Writer: self, Reason: "the platform no longer lists its VM",
					Evict: &fleet.Evict{Target: id, VMGone: true},
				})
			}
		}
	})
	return out
}

func (e *missingEntries) isMissing(vm string, present map[string]bool, now time.Time) bool {
	if present[vm] {
		e.listed[vm] = true
		delete(e.missingSince, vm)
		return false
	}
	if !e.listed[vm] {
		return false
	}
	if _, known := e.missingSince[vm]; !known {
		e.missingSince[vm] = now
	}
	return now.Sub(e.missingSince[vm]) > maxListLag
}
