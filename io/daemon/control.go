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
	controlPeriod = 500 * time.Millisecond
	probePeriod   = time.Second
	probeTimeout  = time.Second
	maxProbes     = 32 // at once
)

// control runs the controller's rules while this entry acts for its region.
type control struct {
	d       *Daemon
	planner *plan.Planner

	mu    sync.Mutex
	notes []plan.Deferral
}

func newControl(d *Daemon) *control {
	return &control{d: d, planner: plan.New(plan.Config{FillPools: true})}
}

// Notes returns what the rules held back at their last run here.
func (c *control) Notes() []plan.Deferral {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.notes)
}

// loop plans while this entry acts until ctx ends.
func (c *control) loop(ctx context.Context) {
	tick := time.NewTicker(controlPeriod)
	defer tick.Stop()
	for {
		if c.d.group.Acting() {
			c.turn(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (c *control) turn(ctx context.Context) {
	now := c.d.cfg.Clock.Now()
	obs := c.observe(now)
	var actions plan.Actions
	c.d.store.View(func(st *fleet.State) { actions = c.planner.Plan(st, obs, now) })
	c.logNotes(actions.Deferrals)
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

// logNotes logs what a rule has begun to hold back since the last turn.
func (c *control) logNotes(notes []plan.Deferral) {
	c.mu.Lock()
	old := c.notes
	c.notes = notes
	c.mu.Unlock()
	for _, n := range notes {
		same := func(o plan.Deferral) bool { return o.VM == n.VM && o.Pool == n.Pool && o.Rule == n.Rule }
		if !slices.ContainsFunc(old, same) {
			c.d.log.Info("held back", zap.String("Target", n.VM), zap.String("Pool", n.Pool),
				zap.String("Rule", n.Rule), zap.String("Reason", n.Reason))
		}
	}
}

// target names the VM or wave that a record of the controller is about.
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

// reboot asks the platform for the reboot of one VM.
type reboot struct {
	d  *Daemon
	vm string
}

func (b *reboot) run(ctx context.Context) {
	if err := b.d.vms.Reboot(ctx, b.vm); err != nil {
		b.d.log.Warn("reboot was not confirmed, it will be asked for again", zap.String("Target", b.vm), zap.Error(err))
	}
}

// observe collects what the rules look at besides the state.
func (c *control) observe(now time.Time) plan.Observations {
	obs := plan.Observations{
		Region:  c.d.cfg.Settings.Region,
		List:    c.list(),
		Reports: map[string]plan.HealthReport{},
		Probes:  c.d.health.Up(),
	}
	digests := []Digest{c.d.digest()}
	for _, p := range c.d.group.Peers() {
		if now.Sub(p.At) <= member.SilenceTimeout && c.d.group.Peer(p.Member) {
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
			r.Refused++
			obs.Reports[vm] = r
		}
	}
	return obs
}

func (c *control) list() plan.VMList {
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

// followsList reports whether this entry may rest from the VM list: another entry acts, this one learns
// of its acts from the log, and a peer reads the list and passes on which VMs are leaving. The entry that
// acts may itself be cut off from the platform, so that its acting alone shows nothing.
func (d *Daemon) followsList() bool {
	return d.group.FollowsList() && d.group.ReadsLog() && d.group.PeerReadsList()
}

// probeLoop connects to the workers that are ejected, and while this entry acts also to those
// that are out of routing. Active workers that do well are not probed: at the target size that
// alone would take more than the control traffic allows.
func (d *Daemon) probeLoop(ctx context.Context) {
	tick := time.NewTicker(probePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := d.cfg.Clock.Now()
		ejected := d.pools.ejected(now)
		d.health.Eject(now, ejected)
		d.probe(ctx, d.probeTargets(ejected))
	}
}

func (d *Daemon) probeTargets(ejected []string) map[string]string {
	acting := d.group.Acting()
	targets := map[string]string{}
	d.store.View(func(st *fleet.State) {
		for id, vm := range st.VMs {
			// An ejection may be shorter than deadAfter, so a VM is probed until it accepts a connection.
			_, bad := slices.BinarySearch(ejected, id)
			if bad || d.health.Refuses(id) ||
				acting && vm.Phase != fleet.Active && vm.Region == d.cfg.Settings.Region {
				targets[id] = vm.Addr
			}
		}
	})
	return targets
}

// probe connects to each target, a bounded number at a time.
func (d *Daemon) probe(ctx context.Context, targets map[string]string) {
	keep := make([]string, 0, len(targets))
	slot := make(chan struct{}, maxProbes)
	var wg sync.WaitGroup
	for vm, addr := range targets {
		keep = append(keep, vm)
		slot <- struct{}{}
		wg.Add(1)
		p := &prober{d: d, vm: vm, addr: addr, end: func() { <-slot; wg.Done() }}
		go p.run(ctx)
	}
	wg.Wait()
	slices.Sort(keep)
	d.health.Keep(keep)
}

// prober is one connection attempt to a worker.
type prober struct {
	d        *Daemon
	vm, addr string
	end      func()
}

func (p *prober) run(ctx context.Context) {
	defer p.end()
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.addr)
	if err == nil {
		_ = conn.Close()
	}
	if ctx.Err() == nil {
		p.d.health.Probe(p.d.cfg.Clock.Now(), p.vm, err == nil)
	}
}

// goneEntries evicts members whose VM the platform no longer lists.
type goneEntries struct {
	d      *Daemon
	listed map[string]bool      // VMs of members that the list has shown
	since  map[string]time.Time // when the list was first seen without them
}

// listLag bounds how long the platform's list may lag behind.
const listLag = 30 * time.Second

func newGoneEntries(d *Daemon) *goneEntries {
	return &goneEntries{d: d, listed: map[string]bool{}, since: map[string]time.Time{}}
}

// Due returns an Evict for each live member whose VM was listed and has been gone from a fresh list
// for longer than the list may lag.
func (g *goneEntries) Due() []fleet.Record {
	now := g.d.cfg.Clock.Now()
	l, ok := g.d.vms.List()
	if !ok || now.Sub(l.AsOf) > listLag {
		return nil
	}
	present := map[string]bool{}
	for _, vm := range l.VMs {
		present[vm.ID] = true
	}
	var out []fleet.Record
	self := g.d.group.Self()
	g.d.store.View(func(st *fleet.State) {
		for _, id := range st.LiveMembers(g.d.cfg.Settings.Region) {
			if id != self && g.gone(st.Members[id].VM, present, now) {
				out = append(out, fleet.Record{
					Kind: fleet.KindEvict, Writer: self, Reason: "the platform no longer lists its VM",
					Evict: &fleet.Evict{Target: id, VMGone: true},
				})
			}
		}
	})
	return out
}

func (g *goneEntries) gone(vm string, present map[string]bool, now time.Time) bool {
	if present[vm] {
		g.listed[vm] = true
		delete(g.since, vm)
		return false
	}
	if !g.listed[vm] {
		return false
	}
	if _, known := g.since[vm]; !known {
		g.since[vm] = now
	}
	return now.Sub(g.since[vm]) > listLag
}
