package shard

import (
	"cmp"
	"fmt"
)

const (
	// maxNoRoomMs is how long nothing of a job may run as its next items fit on no VM in use, before closed VMs are opened or offered
	// ones are used again for it. Work may stand still for 3 s beside free room, which includes the start itself.
	maxNoRoomMs = 1000
	// idlePercent is the percentage of the pool's CPU in use below which that is done. Above it the job waits as others do in a pool
	// that has less than it wants.
	idlePercent = 50
)

// roomWait tells how long a job has waited for room.
type roomWait struct {
	since int64
	vms   int // VMs that took new work then
}

// vmsForRoom returns the offered VMs that the pool has to use again, with the job that needs them, and sets the number of VMs that it needs
// beyond its own: for the job that has found no room for the longest time, if that is over maxNoRoomMs and most of the pool's CPU is
// free. The demand is a sum over all items, so the VMs that it keeps may all have less free than a single item requests.
func (e *Engine) vmsForRoom(offered []*vm, now int64) map[*vm]*job {
	e.demand.roomVMs = 0
	inUse, idle := e.vmsInUse(nil, now)
	if !idle {
		e.demand.noRoom = nil
		return nil
	}
	j, group := e.jobWithoutRoom(&e.demand.noRoom, inUse, now)
	if j == nil {
		return nil
	}
	needed := map[*vm]*job{}
	missing := len(group) - e.countRoom(j, group, inUse)
	for _, v := range offered {
		if missing <= 0 {
			break
		}
		if n := e.roomOn(v, j, group[0], missing); n > 0 && !v.vacate && !v.silent {
			needed[v] = j
			missing -= n
		}
	}
	if missing > 0 {
		e.wantRoom(j, group[0], missing, now)
	}
	return needed
}

// vmsInUse returns the VMs that take new work, sorted by ID, without the closed ones, and whether most of the pool's CPU is free. An offered
// VM is the pool's until another one takes it.
func (e *Engine) vmsInUse(closed map[*vm]bool, now int64) (list []*vm, idle bool) {
	var cpu, usedCPU int64
	guarded := e.capacityEnforced()
	for _, v := range e.vmsByID() {
		takesStarts := v.takesStarts(now)
		if v.offered || takesStarts {
			cpu, usedCPU = cpu+v.CPU, usedCPU+v.usedCPU
		}
		if takesStarts && !closed[v] && (guarded || v.unknownRuns == 0) {
			list = append(list, v)
		}
	}
	return list, usedCPU*100 < cpu*idlePercent
}

// wantRoom sets the number of VMs that the pool needs for items like one of a job for which it has no room. It grows while they wait, as
// the VMs that come may not suit them.
func (e *Engine) wantRoom(j *job, it *item, missing int, now int64) {
	w, perVM := e.demand.noRoom[j], max(e.mostOnEmptyVM(j, it, missing), 1)
	extra := min(int((now-w.since-maxNoRoomMs)/extraVMWaitMs), maxExtraVMs)
	e.demand.roomVMs = w.vms + (missing+perVM-1)/perVM + extra
}

// fitsEmptyVM reports whether a VM of the pool would have room for an item of a job if it ran nothing. It logs the first time that none
// would.
func (e *Engine) fitsEmptyVM(j *job, it *item) bool {
	fits := e.mostOnEmptyVM(j, it, 1) > 0
	if !fits && !j.tooLarge {
		s := it.stepDef
		e.addEvent(Event{JobID: j.ID, Name: "no vm fits", Reason: fmt.Sprintf(
			"step %d requests cpu %d, mem_mb %d, gpu %d, label %q", it.Step, s.CPU, s.MemMB, s.GPU, s.Label)})
	}
	j.tooLarge = !fits
	return fits
}

// mostOnEmptyVM returns the number of items like one of a job, at most most, for which a VM of the pool would have room if it ran nothing.
func (e *Engine) mostOnEmptyVM(j *job, it *item, most int) int {
	n := 0
	for _, v := range e.vms {
		if v.listed && v.polled {
			empty := &vm{VM: v.VM}
			n = max(n, e.roomOn(empty, j, it, most))
		}
	}
	return n
}

// roomOn returns the number of items like one of a job that a VM can take, at most most. It is 0 for a VM on which the policy does not
// allow them.
func (e *Engine) roomOn(v *vm, j *job, it *item, most int) int {
	if p := e.policies[stepKey{j.ID, it.K, it.Step}]; p != nil && p.refusedVMs[v.ID] {
		return 0
	}
	return v.roomFor(j, it, most)
}

// jobWithoutRoom returns the job of which for the longest time, over maxNoRoomMs, nothing runs and the next items have no room on
// a list of VMs, with these items. It leaves out jobs whose items fit on no VM of the pool, and updates the jobs that wait so.
func (e *Engine) jobWithoutRoom(waits *map[*job]roomWait, list []*vm, now int64) (*job, []*item) {
	next := map[*job]roomWait{}
	var longest *job
	var group []*item
	for _, j := range e.jobs {
		g := e.groupWithoutRoom(j, list, now)
		if len(g) == 0 {
			continue
		}
		w, waited := (*waits)[j]
		if !waited {
			w = roomWait{since: now, vms: len(list)}
		}
		next[j] = w
		if now-w.since < maxNoRoomMs || !e.fitsEmptyVM(j, g[0]) {
			continue
		}
		if longest == nil || cmp.Or(cmp.Compare(w.since, next[longest].since), cmp.Compare(j.ID, longest.ID)) < 0 {
			longest, group = j, g
		}
	}
	*waits = next
	return longest, group
}

// groupWithoutRoom returns the next items of a job that have to start together, if nothing of the job runs and they have no room
// on a list of VMs. Items that the account of the job may not start need none.
func (e *Engine) groupWithoutRoom(j *job, list []*vm, now int64) []*item {
	if j.state.Final() || j.Persistent() || j.inherited && e.initialPolls.pending {
		return nil
	}
	ready := j.readyItems(now)
	if len(ready) == 0 || j.activeCount() > 0 {
		return nil
	}
	group := sameStep(ready)
	if !group[0].stepDef.Gang {
		group = group[:1]
	}
	if e.countRoom(j, group, list) >= len(group) || !e.mayStart(j, group...) {
		return nil
	}
	return group
}

// countRoom returns for how many items of a group a list of VMs has room.
func (e *Engine) countRoom(j *job, group []*item, list []*vm) int {
	n := 0
	for _, v := range list {
		if n >= len(group) {
			break
		}
		n += e.roomOn(v, j, group[0], len(group)-n)
	}
	return n
}
