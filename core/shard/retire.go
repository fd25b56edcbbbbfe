package shard

import "sort"

// Parameters of retiring VMs: the runs of little-used VMs are moved to others, so that the VMs can serve another pool.
const (
	// retireAfterMs is how long a pool must have had more VMs in use than it wants.
	retireAfterMs = 800
	// retireTimeoutMs ends the retirement of a VM that still has runs, so that it can be used again.
	retireTimeoutMs = 4000
	// maxRetiredRuns is the largest number of runs on a VM that is retired.
	maxRetiredRuns = 4
	// minMoveRemainingMs is the shortest remaining time for which moving a run pays: being stopped, restored and started
	// again takes it about a second.
	minMoveRemainingMs = 2000
)

// retireVMs selects VMs to retire while the pool uses more than it wants, and moves the runs of those selected.
func (e *Engine) retireVMs(now int64) {
	var inUse []*vm
	for _, v := range e.vmsByID() {
		if v.retireSince > 0 && (now-v.retireSince > retireTimeoutMs || len(v.runs) == 0) {
			v.retireSince = 0
		}
		if v.usable(now) || v.retireSince > 0 {
			inUse = append(inUse, v)
		}
	}
	excess := len(inUse) - e.demand.wantedVMs
	if excess <= 0 {
		e.demand.excessSince = 0
		for _, v := range inUse {
			v.retireSince = 0
		}
		return
	}
	if e.demand.excessSince == 0 {
		e.demand.excessSince = now
	}
	if now-e.demand.excessSince >= retireAfterMs {
		e.selectRetired(inUse, excess, now)
	}
	for _, v := range inUse {
		if v.retireSince > 0 {
			e.moveRuns(v, now)
		}
	}
}

// selectRetired retires up to excess of the VMs in use, those with the fewest runs first. All runs that would be moved
// must fit on the VMs that stay.
func (e *Engine) selectRetired(inUse []*vm, excess int, now int64) {
	byRuns := append([]*vm(nil), inUse...)
	sort.SliceStable(byRuns, func(a, b int) bool {
		x, y := byRuns[a], byRuns[b]
		if (x.retireSince > 0) != (y.retireSince > 0) {
			return x.retireSince > 0
		}
		if len(x.runs) != len(y.runs) {
			return len(x.runs) < len(y.runs)
		}
		return x.usedCPU < y.usedCPU
	})
	room := newRoom(byRuns)
	for i, v := range byRuns {
		if excess <= 0 {
			return
		}
		if len(v.runs) == 0 || v.retireSince > 0 {
			excess-- // it will be offered
			continue
		}
		if room.kept[v] || !e.retirable(v, now) || !room.reserve(v, byRuns[i+1:]) {
			continue
		}
		excess--
		v.retireSince = now
		e.addEvent(Event{VM: v.ID, Name: "retire vm", Reason: "its runs fit on other VMs", N: len(v.runs)})
	}
}

// retirable reports whether the runs of a VM can be moved or end soon.
func (e *Engine) retirable(v *vm, now int64) bool {
	if len(v.runs) > maxRetiredRuns {
		return false
	}
	for _, it := range v.runs {
		switch {
		case it.phase != running || it.stepDef.Gang:
			return false
		case it.stepDef.Persistent:
		case it.remainingMs(now) < minMoveRemainingMs:
		case !it.stepDef.Checkpoint:
			return false
		}
	}
	return true
}

// moveRuns stops the runs of a retired VM, so that they start on others: persistent ones as the budgets of their steps
// allow, others only if they can be resumed and do not end soon.
func (e *Engine) moveRuns(v *vm, now int64) {
	for _, it := range v.runs {
		switch {
		case it.phase != running:
		case it.stepDef.Persistent:
			if e.mayInterrupt(it, now) {
				e.stop(it, "vm retired", now)
			}
		case it.stepDef.Checkpoint && it.remainingMs(now) >= minMoveRemainingMs:
			e.stop(it, "vm retired", now)
		}
	}
}

// room is the free capacity of VMs, less what was reserved for runs that are to be moved there.
type room struct {
	free map[*vm]freeCapacity
	kept map[*vm]bool // VMs with reserved capacity
}

func newRoom(vms []*vm) *room {
	r := &room{free: make(map[*vm]freeCapacity, len(vms)), kept: map[*vm]bool{}}
	for _, v := range vms {
		r.free[v] = freeCapacity{cpu: v.CPU - v.usedCPU, memMB: v.MemMB - v.usedMemMB}
	}
	return r
}

// reserve reserves capacity for all runs of a VM on others, on the last ones that fit. It returns false, without a
// change, if one does not fit.
func (r *room) reserve(v *vm, others []*vm) bool {
	taken := map[*vm]freeCapacity{}
	for _, it := range v.runs {
		o := r.find(it, others, taken)
		if o == nil {
			return false
		}
		t := taken[o]
		taken[o] = freeCapacity{cpu: t.cpu + it.reservedCPU(), memMB: t.memMB + it.stepDef.MemMB}
	}
	for o, t := range taken {
		f := r.free[o]
		r.free[o] = freeCapacity{cpu: f.cpu - t.cpu, memMB: f.memMB - t.memMB}
		r.kept[o] = true
	}
	return true
}

// find returns the last VM on which an item fits beside what is taken, nil if there is none.
func (r *room) find(it *item, others []*vm, taken map[*vm]freeCapacity) *vm {
	for i := len(others) - 1; i >= 0; i-- {
		o := others[i]
		f, t := r.free[o], taken[o]
		if o.retireSince == 0 && len(o.runs) > 0 && allowedOn(it.job, it, o) &&
			t.cpu+it.reservedCPU() <= f.cpu && t.memMB+it.stepDef.MemMB <= f.memMB {
			return o
		}
	}
	return nil
}
