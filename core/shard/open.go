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
	calls   int    // number of such starts of this owner
	// inherited is true if an earlier owner recorded the open start. The number of its starts is not known.
	inherited bool
	// unlisted is true if no machine had the VM by the last list that was read.
	unlisted bool
}

// isSingle reports whether no more than one start is open.
func (o *openStart) isSingle() bool { return o.calls <= 1 && !o.inherited }

// lastingWaitMs is how long a lasting item waits for a VM with its open start that is down or takes no work. The platform lets such an
// item be missing for 7 s.
const lastingWaitMs = 4000

// markOpen records that the VM of an item may still execute a start whose reply was given up at givenUpAt. Copies of a speculative step
// may run at the same time, so its items need not wait.
func (e *Engine) markOpen(it *item, givenUpAt, now int64) {
	switch {
	case it.vm == nil:
		return
	case it.stepDef.Speculative, it.job.state.Final():
		e.addLateCall(it, givenUpAt, now)
		return
	case it.open.vm != it.vm.ID:
		if it.open.vm != "" {
			e.addLate(it, lateStart{openStart: it.open})
		}
		it.open = openStart{vm: it.vm.ID, machine: it.vm.Machine, since: now}
		e.openItems[it] = true
		e.markDirty(it.job) // a next owner has to know of it
		e.addEvent(Event{JobID: it.job.ID, VM: it.vm.ID, Name: "start open", Reason: it.name + " may start there late", N: it.run})
	}
	it.open.until = max(it.open.until, givenUpAt+pools.LateCallMs)
	it.open.calls++
	it.updateUse()
}

// markLastCallOpen does the same for the last start of an item that is released, unless that had no reply already.
func (e *Engine) markLastCallOpen(it *item, now int64) {
	switch {
	case it.phase == adopted:
		e.markOpen(it, it.sentAt, now) // the earlier owner's last call
	case it.unansweredAt == 0 || it.open.vm != it.vm.ID:
		e.markOpen(it, max(now, it.sentAt+orderTimeoutMs), now) // its reply may not be due yet
	}
}

// closeIfExecuted closes the open start of an item whose present run its VM has listed, if no other copy of the start is open.
func (e *Engine) closeIfExecuted(it *item, now int64) {
	if it.open.vm != "" && it.open.isSingle() && it.phase == sent && it.unansweredAt > 0 {
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
	it.updateUse()
	if !it.done && !it.job.state.Final() {
		it.job.readyStale = true
		e.markDirty(it.job)
	}
}

// updateOpen closes the open starts that can't be executed any more, and forgets those of items that are over.
func (e *Engine) updateOpen(now int64) {
	for it := range e.openItems {
		switch v := e.vms[it.open.vm]; {
		case it.job.state.Final(), it.done && now >= it.open.until:
			e.addLate(it, lateStart{openStart: it.open})
			e.closeOpen(it, "", now)
		case it.done: // its end is held back until then
		case it.stepDef.Persistent && it.phase == idle && now-it.phaseSince >= lastingWaitMs && (it.open.unlisted || v != nil && v.polled && !v.silent):
			e.addLate(it, lateStart{openStart: it.open})
			e.closeOpen(it, "it lasts, and its vm is down or takes no work", now)
		case now < it.open.until:
		case v != nil && v.polled && !v.silent && v.answeredSentAt >= it.open.until:
			e.closeOpen(it, "its vm was polled since", now)
		case now >= it.open.leaseOverAt(v, e.bounds.maxSlowLeaseMs):
			e.closeOpen(it, "lease over", now)
		}
	}
}

// leaseOverAt returns the time from which a run by the open start can't hold a lease any more on a VM that is out of touch, which may
// be nil. A late poll from before its silence may have extended the lease. longestMs is the longest lease on a slow clock.
func (o *openStart) leaseOverAt(v *vm, longestMs int64) int64 {
	until := o.until
	if v != nil && v.silentSince > 0 {
		until = max(until, v.silentSince+pools.LateCallMs)
	}
	return until + longestMs
}

// handleEndedRepeat handles the refusal of a repeated start whose run has been stopped or has ended on the VM: an earlier copy was
// executed. The next poll shows how the run ended.
func (e *Engine) handleEndedRepeat(it *item, now int64) {
	if it.open.isSingle() && !it.runSpent {
		e.closeOpen(it, "", now)
	}
	it.unansweredAt, it.runSpent = now, true
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
		default:
			it.open.unlisted = m == nil
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
		if v := e.vms[it.open.vm]; it.vm == nil && !it.done && (v == nil || v.silent || !v.listed) {
			return true
		}
	}
	return false
}

// keepForOpenStarts adds the VMs to a set on which waiting items are to be sent again, as they may run nowhere else.
func (e *Engine) keepForOpenStarts(kept map[*vm]bool) {
	for it := range e.openItems {
		if v := e.vms[it.open.vm]; v != nil && it.phase == idle && !it.done && !it.runSpent {
			kept[v] = true
		}
	}
}

// restoreOpen restores the open starts that an earlier owner recorded. Its last one may have been given up just now.
func (e *Engine) restoreOpen(j *job, list []jobs.ItemOpen, now int64) {
	for _, o := range list {
		it := j.items[jobs.Item{K: o.K, Step: o.Step, Index: o.Index}]
		if it == nil {
			continue
		}
		it.open = openStart{vm: o.VM, machine: o.Machine, since: now, until: now + pools.LateCallMs, inherited: true}
		e.openItems[it] = true
		it.updateUse()
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
		if v.ID == it.open.vm && !v.moreEnds { // the end of the run may not be listed yet
			return list[i : i+1]
		}
	}
	return nil
}

// maxReuses is the number of lost VMs up to which the run of an item with an open start is sent again. The next start is to be a test
// on a VM of choice.
const maxReuses = 1

// nextRun returns the number of the next run of a group, and false if the group has to wait. While a start is open only the same run
// may be sent: a VM executes one copy of a run in a lifetime, but two runs of one item beside each other.
func nextRun(group []*item) (run int, ok bool) {
	for _, it := range group {
		run = max(run, it.run)
	}
	for _, it := range group {
		if it.open.vm == "" {
			continue
		}
		if len(group) > 1 || it.runSpent || len(it.crashedRuns)+len(it.lostRuns) > maxReuses {
			return 0, false
		}
		return run, true
	}
	return run + 1, true
}

// repeatStart sends the start of an item that had no reply to the same VM again, as the same run. The VM executes only one of
// the copies in a lifetime. The log has to name the open start before: a next owner would take the item for one whose only start
// was executed.
func (e *Engine) repeatStart(it *item, now int64) {
	it.repeats++
	e.addEvent(Event{JobID: it.job.ID, VM: it.vm.ID, Name: "start repeated", Reason: "unanswered and not seen", N: it.run})
	s := start{it, it.run, it.vm}
	recorded := e.dirty[it.job.ID] == nil && !e.recording
	if recorded && now-e.confirmedAt < earlyStartConfirmationMs && now-e.storeContactAt <= maxStoreSilenceMs {
		e.orders = append(e.orders, e.startOrder(s, now))
		return
	}
	it.repeatWaits = true
	e.unrecordedStarts = append(e.unrecordedStarts, s)
	e.markDirty(it.job)
}
