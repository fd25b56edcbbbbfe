package shard

import "sassafrasvalve/core/pools"

// initialPolls tracks the VMs that must be polled before loaded items may start, because an earlier owner may have started
// items there without recording them. The zero value requires no polls.
type initialPolls struct {
	requiredAt int64 // time at which the polls were required
	// leasesEndAt is the time from which no VM holds a lease of an earlier owner, so that no poll is needed any more.
	leasesEndAt int64
	pending     bool
	// vms holds the VMs to poll by ID. It is nil until the machine list has shown which VMs the pool has. The VM list does
	// not show that: the entry of a VM that runs on expires during an outage of the store, or appears late.
	vms map[string]bool
}

// newInitialPolls returns the state at a takeover, after which leases of an earlier owner last for up to earlierLeaseMs.
func newInitialPolls(now, earlierLeaseMs int64) initialPolls {
	return initialPolls{requiredAt: now, leasesEndAt: now + earlierLeaseMs, pending: true}
}

// setMachines applies the machine list, which was requested at requestedAt. polled reports whether a VM has listed all its ends. A VM
// that is not on a running machine of the pool has ended together with its runs.
func (p *initialPolls) setMachines(service string, machines []pools.Machine, requestedAt int64, polled func(id string) bool) {
	if !p.pending || requestedAt < p.requiredAt {
		return
	}
	vms := map[string]bool{}
	for i := range machines {
		m := &machines[i]
		if m.VM == "" || m.Pool != service || m.State != pools.MachineUp || polled(m.VM) {
			continue
		}
		if p.vms == nil || p.vms[m.VM] {
			vms[m.VM] = true
		}
	}
	p.vms = vms
}

// remove marks a VM as ended, or as polled with all its ends.
func (p *initialPolls) remove(id string) { delete(p.vms, id) }

// update sets pending to whether polls are still missing, and returns it.
func (p *initialPolls) update(now int64) bool {
	p.pending = p.pending && now < p.leasesEndAt && (p.vms == nil || len(p.vms) > 0)
	return p.pending
}

// RequireInitialPolls defers the start of all loaded items until every VM of the pool was polled, or all leases of earlier
// owners have expired. It is called unless the earlier owner recorded all its work before it released the shard, as that
// owner may have started some of these items. SetMachines tells which VMs the pool has.
func (e *Engine) RequireInitialPolls(now int64) {
	e.initialPolls = newInitialPolls(now, e.bounds.earlierLeaseMs)
	for _, j := range e.jobs {
		j.inherited = true
	}
}

// InitialPollsDone reports whether the start of loaded items is not deferred any more.
func (e *Engine) InitialPollsDone() bool { return !e.initialPolls.pending }

// updateInitialPolls ends the deferral of loaded items once it is not needed any more.
func (e *Engine) updateInitialPolls(now int64) {
	p := &e.initialPolls
	if !p.pending || p.update(now) {
		return
	}
	e.addEvent(Event{Name: "initial polls done", Reason: "ms since the takeover", N: int(now - p.requiredAt)})
}
