package shard

import (
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// openStart names the VM that may still execute a start of an item that had no reply. In the present lifetime the deadline of the
// order, a stop and the fence number make the VM refuse it. All three are forgotten if the VM starts again under its ID, and
// nothing in the call tells the lifetimes apart. Until the call can't be delivered any more, the item may run on that VM only.
type openStart struct {
	vm      string // empty if there is none
	machine string // machine of the VM, empty if unknown
	since   int64  // time at which the first such start was given up
	until   int64  // time from which no such start can be executed any more
	calls   int    // number of such starts; further ones of an earlier owner are not known
	// downSince is the time from which on no machine lists the VM, 0 if one does.
	downSince int64
}

// lastingWaitMs is how long a lasting item waits for a VM with its open start that is down. The platform lets such an item be missing for
// 7 s after a crash.
const lastingWaitMs = 4000

// markOpen records that the VM of an item may still execute a start that has had no reply. Copies of a speculative step may run at
// the same time, so its items need not wait.
func (e *Engine) markOpen(it *item, now int64) {
	if it.stepDef.Speculative || it.vm == nil || it.job.state.Final() {
		return
	}
	if it.open.vm != it.vm.ID {
		it.open = openStart{vm: it.vm.ID, machine: it.vm.Machine, since: now}
		e.openItems[it] = true
		e.markDirty(it.job) // a next owner has to know of it
		e.addEvent(Event{JobID: it.job.ID, VM: it.vm.ID, Name: "start open", Reason: it.name + " may start there late", N: it.run})
	}
	givenUpAt := now
	if it.phase == adopted {
		givenUpAt = it.sentAt // the earlier owner's last call
	}
	it.open.until = max(it.open.until, givenUpAt+pools.LateCallMs)
	it.open.calls++
}

// closeIfExecuted closes the open start of an item whose present run its VM has listed, if no other copy of the start is open.
func (e *Engine) closeIfExecuted(it *item, now int64) {
	if it.open.vm != "" && it.open.calls == 1 && it.phase == sent && it.unansweredAt > 0 {
		e.closeOpen(it, "", now)
	}
}

// closeOpen records that no VM can execute an earlier start of an item any more.
func (e *Engine) closeOpen(it *item, reason string, now int64) {
	if it.vm == nil && !it.done && !it.job.state.Final() {
		e.addEvent(Event{JobID: it.job.ID, VM: it.open.vm, Name: "held item free", Reason: reason, N: int(now - it.open.since)})
	}
	it.open = openStart{}
	delete(e.openItems, it)
	if !it.done && !it.job.state.Final() {
		it.job.readyStale = true
		e.markDirty(it.job)
	}
}

// updateOpen closes the open starts that can't be executed any more, and forgets those of items that are over.
func (e *Engine) updateOpen(now int64) {
	for it := range e.openItems {
		switch v := e.vms[it.open.vm]; {
		case it.done || it.job.state.Final():
			e.closeOpen(it, "", now)
		case now < it.open.until:
		case v != nil && v.polled && !v.silent && v.answeredSentAt >= it.open.until:
			e.closeOpen(it, "its vm was polled since", now)
		case now >= it.open.until+maxSlowLeaseMs:
			e.closeOpen(it, "lease over", now)
		}
	}
}

// closeOpenOn closes the open starts on a VM that can't start again under its ID.
func (e *Engine) closeOpenOn(id, reason string, now int64) {
	for it := range e.openItems {
		if it.open.vm == id {
			e.closeOpen(it, reason, now)
		}
	}
}

// closeOpenByMachines closes the open starts on VMs that can't execute them by the list of machines, requested at requestedAt.
func (e *Engine) closeOpenByMachines(byID, byVM map[string]*pools.Machine, requestedAt, now int64) {
	for it := range e.openItems {
		if requestedAt <= it.open.since {
			continue
		}
		m := byVM[it.open.vm]
		switch {
		case m == nil && e.isReplaced(it.open.vm, byID[it.open.machine]):
			e.closeOpen(it, "its vm is gone", now)
		case requestedAt >= it.open.until && (m == nil || m.State != pools.MachineUp):
			e.closeOpen(it, "its vm is down", now)
		case !it.stepDef.Persistent || m != nil:
			it.open.downSince = 0
		case it.open.downSince == 0:
			it.open.downSince = now
		case now-it.open.downSince >= lastingWaitMs:
			e.closeOpen(it, "its vm stays down and the item lasts", now)
		}
	}
}

// isReplaced reports whether the machine of a VM that no machine lists has another VM or is to get one. A machine that is down may
// start its VM again under the same ID.
func (e *Engine) isReplaced(id string, m *pools.Machine) bool {
	return m != nil && (m.VM != "" && m.VM != id || m.Pool != e.cfg.Service || m.State == pools.MachineBusy)
}

// needsMachinesForOpen reports whether the list of machines could show that a waiting item may start elsewhere.
func (e *Engine) needsMachinesForOpen() bool {
	for it := range e.openItems {
		if v := e.vms[it.open.vm]; it.vm == nil && (v == nil || v.silent || !v.listed) {
			return true
		}
	}
	return false
}

// unknownCalls stands for the number of open starts of an earlier owner.
const unknownCalls = 1 << 20

// restoreOpen restores the open starts that an earlier owner recorded. Its last one may have been given up just now.
func (e *Engine) restoreOpen(j *job, list []jobs.ItemOpen, now int64) {
	for _, o := range list {
		it := j.items[jobs.Item{K: o.K, Step: o.Step, Index: o.Index}]
		if it == nil || it.done {
			continue
		}
		it.open = openStart{vm: o.VM, machine: o.Machine, since: now, until: now + pools.LateCallMs, calls: unknownCalls}
		e.openItems[it] = true
	}
}

// openRecord returns the recorded form of the open start of an item.
func (it *item) openRecord() jobs.ItemOpen {
	return jobs.ItemOpen{K: it.K, Step: it.Step, Index: it.Index, VM: it.open.vm, Machine: it.open.machine}
}

// allowedVMs returns the VMs of a list on which the item may run beside its open start: all of them, or the one with that start.
func (it *item) allowedVMs(list []*vm) []*vm {
	if it.open.vm == "" {
		return list
	}
	for i, v := range list {
		if v.ID == it.open.vm {
			return list[i : i+1]
		}
	}
	return nil
}

// repeatStart sends the start of an item that had no reply to the same VM again, as the same run. The VM executes only one of
// the copies in a lifetime. The log has to name the open start before: a next owner would take the item for one whose only start
// was executed.
func (e *Engine) repeatStart(it *item, now int64) {
	e.addEvent(Event{JobID: it.job.ID, VM: it.vm.ID, Name: "start repeated", Reason: "unanswered and not seen", N: it.run})
	s := start{it, it.run, it.vm}
	recorded := e.dirty[it.job.ID] == nil && !e.recording
	if recorded && now-e.confirmedAt < earlyStartConfirmationMs && now-e.storeContactAt <= maxStoreSilenceMs {
		e.orders = append(e.orders, e.startOrder(s, now))
		return
	}
	it.phase, it.phaseSince = planned, now
	e.unrecordedStarts = append(e.unrecordedStarts, s)
	e.markDirty(it.job)
}
