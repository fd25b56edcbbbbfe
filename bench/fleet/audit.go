package fleet

import (
	"fmt"
	"time"

	fold "sassafrasvalve/core/fleet"
)

// audit checks the folded state after each record against its own pools and counts of active VMs, which it derives from
// the records alone.
type audit struct {
	w            *world
	minAvailable map[string]int             // MinAvailable by pool
	pool         map[string]string          // pool by VM
	active       map[string]bool            // by VM
	available    map[string]int             // active VMs by pool
	senders      map[string]map[string]bool // members that may still send to a draining VM, by VM
	faults       []string
	rejected     map[string]int // rejected records by kind

	moves      int // assignments to another pool
	undone     int // moves back to the previous pool within undoneWindow
	movedAt    map[string]time.Time
	movedFrom  map[string]string
	failed     int
	drains     int
	outNow     int // VMs that are out by plan: draining, drained or rebooting
	maxOut     int
	outTime    time.Duration // sum over the VMs of the time for which they were out by plan
	belowTime  time.Duration // sum over the pools of the time for which they were below their budget
	poolsBelow int           // pools below their budget now
}

// undoneWindow is the time within which a move back to the previous pool counts as an undone move.
const undoneWindow = time.Minute

// poolCount is the number of active VMs of a pool, which a voluntary record must not reduce below the budget.
type poolCount struct {
	pool      string
	available int
}

func newAudit(w *world) *audit {
	a := &audit{
		w: w, minAvailable: map[string]int{}, pool: map[string]string{}, active: map[string]bool{}, available: map[string]int{},
		senders: map[string]map[string]bool{}, rejected: map[string]int{},
		movedAt: map[string]time.Time{}, movedFrom: map[string]string{},
	}
	for _, svc := range w.cfg.shape.config().Services {
		a.minAvailable[svc.Pool] = svc.Budget.MinAvailable
		a.poolsBelow++ // the pool is below its budget until it is filled
	}
	return a
}

// recordVM returns the VM of a record, or "" if the record is not about exactly one VM.
func recordVM(r fold.Record) string {
	switch r.Kind {
	case fold.KindObserve:
		return r.Observe.VM
	case fold.KindDrain:
		return r.Drain.VM
	case fold.KindAssign:
		return r.Assign.VM
	case fold.KindReboot:
		return r.Reboot.VM
	case fold.KindActivate:
		return r.Activate.VM
	case fold.KindFail:
		return r.Fail.VM
	case fold.KindRemove:
		return r.Remove.VM
	case fold.KindAck:
		if len(r.Ack.VMs) == 1 {
			return r.Ack.VMs[0].VM
		}
	default: // not about a VM
	}
	return ""
}

// counts returns the count of the pool of a record's VM before the record is applied.
func (a *audit) counts(r fold.Record) poolCount {
	pool := a.pool[recordVM(r)]
	return poolCount{pool, a.available[pool]}
}

// checkRecord applies a record to the audit and checks its result. before is the count from counts.
func (a *audit) checkRecord(r fold.Record, res fold.Result, before poolCount) {
	id := recordVM(r)
	if !res.Accepted {
		a.rejected[string(r.Kind)]++
		return
	}
	if id == "" {
		return
	}
	a.applyRecord(r, id)
	if r.Kind != fold.KindAck {
		a.countOut()
	}
	voluntary := r.Kind != fold.KindFail && (r.Drain == nil || !r.Drain.Involuntary)
	if now := a.available[before.pool]; voluntary && now < before.available && now < a.minAvailable[before.pool] {
		a.addFault("offset %d: %s of %q by %s leaves %d active in pool %q, %d are needed",
			res.Offset, r.Kind, id, r.Rule, now, before.pool, a.minAvailable[before.pool])
	}
	a.compareState(id, r.Kind, res.Offset)
}

// applyRecord applies a record to the pools and counts of the audit. It uses only the meaning of the records and not
// the folded state, except for the members that must acknowledge a drain.
func (a *audit) applyRecord(r fold.Record, id string) {
	switch r.Kind {
	case fold.KindObserve:
		if r.Observe.Pool != "" {
			a.addToPool(id, r.Observe.Pool)
			a.setActive(id, true)
		}
	case fold.KindDrain:
		a.drains++
		a.setActive(id, false)
		a.senders[id] = map[string]bool{}
		for _, m := range a.w.st.Members {
			if m.Region == a.w.st.VMs[id].Region {
				a.senders[id][m.ID] = true
			}
		}
	case fold.KindAck:
		delete(a.senders[id], r.Ack.Member)
	case fold.KindAssign:
		a.recordMove(id, r.Assign.To)
		a.setActive(id, true)
	case fold.KindActivate:
		a.setActive(id, true)
	case fold.KindFail:
		a.failed++
		a.setActive(id, false)
	case fold.KindRemove:
		a.removeFromPool(id)
	default:
	}
}

// recordMove checks that no entry may still send to a VM that is assigned, and counts the move.
func (a *audit) recordMove(id, to string) {
	if len(a.senders[id]) > 0 {
		a.addFault("VM %q goes to %q while %d entries may send to it for %q", id, to, len(a.senders[id]), a.pool[id])
	}
	from := a.pool[id]
	if from == to {
		return
	}
	a.moves++
	if at, ok := a.movedAt[id]; ok && a.movedFrom[id] == to && a.w.now.Sub(at) <= undoneWindow {
		a.undone++
	}
	a.movedAt[id], a.movedFrom[id] = a.w.now, from
	a.removeFromPool(id)
	a.addToPool(id, to)
}

func (a *audit) addToPool(id, pool string) { a.pool[id] = pool }

func (a *audit) removeFromPool(id string) {
	a.setActive(id, false)
	delete(a.active, id)
	delete(a.pool, id)
}

func (a *audit) setActive(id string, active bool) {
	if a.active[id] == active {
		return
	}
	pool := a.pool[id]
	if a.minAvailable[pool] > 0 && a.available[pool] < a.minAvailable[pool] {
		a.poolsBelow--
	}
	a.active[id] = active
	if active {
		a.available[pool]++
	} else {
		a.available[pool]--
	}
	if a.minAvailable[pool] > 0 && a.available[pool] < a.minAvailable[pool] {
		a.poolsBelow++
	}
}

// compareState compares the folded state of a VM with the audit: its pool, whether it is active, and that exactly one
// pool contains it.
func (a *audit) compareState(id string, kind fold.Kind, offset int64) {
	vm := a.w.st.VMs[id]
	pool, known := a.pool[id]
	switch {
	case known != (vm != nil):
		a.addFault("offset %d: VM %q known %v, expected %v", offset, id, vm != nil, known)
	case vm != nil && vm.Pool != pool:
		a.addFault("offset %d: VM %q is in pool %q, expected %q", offset, id, vm.Pool, pool)
	case vm != nil && (vm.Phase == fold.Active) != a.active[id]:
		a.addFault("offset %d: VM %q is %s, expected active %v", offset, id, vm.Phase, a.active[id])
	}
	if !movesVM(kind) {
		return
	}
	holders := 0
	for _, p := range a.w.st.Config.Fleet.Pools {
		for _, v := range a.w.st.PoolVMs(p.Name) {
			if v == id {
				holders++
			}
		}
	}
	if vm != nil && holders != 1 {
		a.addFault("offset %d: VM %q is in %d pools", offset, id, holders)
	}
}

func movesVM(k fold.Kind) bool {
	return k == fold.KindAssign || k == fold.KindObserve || k == fold.KindRemove
}

// countOut updates the number of VMs that are out by plan.
func (a *audit) countOut() {
	a.outNow = 0
	for _, v := range a.w.st.VMs {
		if v.Phase == fold.Draining || v.Phase == fold.Drained || v.Phase == fold.Rebooting {
			a.outNow++
		}
	}
	a.maxOut = max(a.maxOut, a.outNow)
}

// addTime adds d to the times of the current VMs out by plan and pools below their budget.
func (a *audit) addTime(d time.Duration) {
	a.outTime += time.Duration(a.outNow) * d
	a.belowTime += time.Duration(a.poolsBelow) * d
}

func (a *audit) addFault(format string, args ...any) {
	a.faults = append(a.faults, fmt.Sprintf(format, args...))
}
