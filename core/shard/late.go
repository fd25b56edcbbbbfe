package shard

import (
	"slices"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// lateStart is a start that a VM may execute, or a run that it has listed, although its item does not wait for it: the item may start
// elsewhere or is over. It counts as used by the account of its job. It is kept for jobs with an account only.
type lateStart struct {
	openStart
	run int // number of the listed run, 0 for a start
}

// addLate records a late start or the run of one.
func (e *Engine) addLate(it *item, l lateStart) {
	if it.job.use == nil {
		return
	}
	i := slices.IndexFunc(it.late, func(o lateStart) bool { return o.vm == l.vm && o.run == l.run })
	if i >= 0 {
		it.late[i].until = max(it.late[i].until, l.until)
	} else {
		it.late = append(it.late, l)
		e.lateItems[it] = true
	}
	it.updateUse()
}

// addLateCall records that the VM of an item may execute a start of it until pools.LateCallMs after givenUpAt.
func (e *Engine) addLateCall(it *item, givenUpAt, now int64) {
	e.addLate(it, lateStart{openStart: openStart{vm: it.vm.ID, machine: it.vm.Machine, since: now, until: givenUpAt + pools.LateCallMs}})
}

// addLateOfEarlierOwner does the same for the last start of an item that an earlier owner has started and that no poll has shown.
func (e *Engine) addLateOfEarlierOwner(it *item, now int64) {
	if it.phase == adopted {
		e.addLateCall(it, it.sentAt, now)
	}
}

// countUnknownRun counts a listed run that is being stopped for the account of its job, until a later poll does not list it.
func (e *Engine) countUnknownRun(v *vm, r *pools.RunStatus, now int64) {
	it := e.itemNamed(r.Item)
	if it == nil { // its occurrence or its job has ended
		it = e.lateItemNamed(r.Item)
	}
	if it == nil {
		id, key, _ := jobs.ParseItem(r.Item)
		j := e.jobs[id]
		switch {
		case j == nil:
			v.orphanRuns++
			return
		case key.Step >= len(j.Steps):
			return
		}
		it = &item{Item: key, job: j, stepDef: &j.Steps[key.Step], name: r.Item, done: true}
	}
	e.addLate(it, lateStart{openStart: openStart{vm: v.ID, machine: v.Machine, since: now, until: now + 1}, run: r.Run})
}

// lateItemNamed returns the item with late starts that has a full name, nil if there is none.
func (e *Engine) lateItemNamed(name string) *item {
	for it := range e.lateItems {
		if it.name == name {
			return it
		}
	}
	return nil
}

// dropLate drops the late starts of all items that are over.
func (e *Engine) dropLate(over func(l *lateStart) bool) {
	for it := range e.lateItems {
		it.late = slices.DeleteFunc(it.late, func(l lateStart) bool { return over(&l) })
		if len(it.late) == 0 {
			it.late = nil
			delete(e.lateItems, it)
		}
		it.updateUse()
	}
}

// updateLate drops the late starts that can't be executed any more and whose runs are listed or over.
func (e *Engine) updateLate(now int64) {
	e.dropLate(func(l *lateStart) bool {
		v := e.vms[l.vm]
		return now >= l.until && (v != nil && v.polled && !v.silent && v.answeredSentAt >= l.until || now >= l.leaseOverAt(v, e.bounds.maxSlowLeaseMs))
	})
}

// dropLateByMachines drops the late starts on VMs that are gone by the list of machines, as closeOpenByMachines does.
func (e *Engine) dropLateByMachines(byID, byVM map[string]*pools.Machine, requestedAt int64) {
	e.dropLate(func(l *lateStart) bool {
		m := byVM[l.vm]
		return requestedAt > l.since && (m == nil && e.isReplaced(l.vm, byID[l.machine]) ||
			requestedAt >= l.until && (m == nil || m.State != pools.MachineUp))
	})
}

// needsMachinesForLate reports whether the list of machines could show that a late start is over.
func (e *Engine) needsMachinesForLate() bool {
	if e.cfg.Allowances == nil {
		return false
	}
	for it := range e.lateItems {
		for i := range it.late {
			if v := e.vms[it.late[i].vm]; v == nil || v.silent || !v.listed {
				return true
			}
		}
	}
	return false
}
