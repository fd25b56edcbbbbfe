package fleet

import (
	"fmt"
	"time"

	fold "sassafrasvalve/core/fleet"
)

// audit checks each offset with its own count of the VMs and its own copy of the pools.
type audit struct {
	w        *world
	need     map[string]int             // MinAvailable by pool
	pool     map[string]string          // pool by VM
	active   map[string]bool            // by VM
	avail    map[string]int             // active VMs by pool
	senders  map[string]map[string]bool // members that may still send, by draining VM
	faults   []string
	rejected map[string]int // rejections by reason kind

	moves     int // Assigns to another pool
	undone    int // of those, back within undoneWindow
	movedAt   map[string]time.Time
	movedFrom map[string]string
	failed    int
	drains    int
	out       int
	maxOut    int
	outTime   time.Duration // VMs out by plan, times how long
	below     time.Duration // pools below their budget, times how long
	broken    int
}

// undoneWindow is within how long a move back counts as undone.
const undoneWindow = time.Minute

// counts is what must not get worse by a voluntary record.
type counts struct {
	pool  string
	avail int
}

func newAudit(w *world) *audit {
	a := &audit{
		w: w, need: map[string]int{}, pool: map[string]string{}, active: map[string]bool{}, avail: map[string]int{},
		senders: map[string]map[string]bool{}, rejected: map[string]int{},
		movedAt: map[string]time.Time{}, movedFrom: map[string]string{},
	}
	for _, svc := range w.cfg.shape.config().Services {
		a.need[svc.Pool] = svc.Budget.MinAvailable
		a.broken++ // until the pool is filled
	}
	return a
}

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
	default: // about no VM
	}
	return ""
}

func (a *audit) before(r fold.Record) counts {
	pool := a.pool[recordVM(r)]
	return counts{pool, a.avail[pool]}
}

// after takes the record over into the own books and compares.
func (a *audit) after(r fold.Record, res fold.Result, before counts) {
	id := recordVM(r)
	if !res.Accepted {
		a.rejected[string(r.Kind)]++
		return
	}
	if id == "" {
		return
	}
	a.follow(r, id)
	if r.Kind != fold.KindAck {
		a.countOut()
	}
	voluntary := r.Kind != fold.KindFail && (r.Drain == nil || !r.Drain.Involuntary)
	if now := a.avail[before.pool]; voluntary && now < before.avail && now < a.need[before.pool] {
		a.fault("offset %d: %s of %q by %s leaves %d active in pool %q, %d are needed",
			res.Offset, r.Kind, id, r.Rule, now, before.pool, a.need[before.pool])
	}
	a.compare(id, r.Kind, res.Offset)
}

// follow keeps the books: only the meaning of the records is used, not the folded state.
func (a *audit) follow(r fold.Record, id string) {
	switch r.Kind {
	case fold.KindObserve:
		if r.Observe.Pool != "" {
			a.enter(id, r.Observe.Pool)
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
		a.moved(id, r.Assign.To)
		a.setActive(id, true)
	case fold.KindActivate:
		a.setActive(id, true)
	case fold.KindFail:
		a.failed++
		a.setActive(id, false)
	case fold.KindRemove:
		a.leave(id)
	default:
	}
}

func (a *audit) moved(id, to string) {
	if len(a.senders[id]) > 0 {
		a.fault("VM %q goes to %q while %d entries may send to it for %q", id, to, len(a.senders[id]), a.pool[id])
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
	a.leave(id)
	a.enter(id, to)
}

func (a *audit) enter(id, pool string) { a.pool[id] = pool }

func (a *audit) leave(id string) {
	a.setActive(id, false)
	delete(a.active, id)
	delete(a.pool, id)
}

func (a *audit) setActive(id string, active bool) {
	if a.active[id] == active {
		return
	}
	pool := a.pool[id]
	if a.need[pool] > 0 && a.avail[pool] < a.need[pool] {
		a.broken--
	}
	a.active[id] = active
	if active {
		a.avail[pool]++
	} else {
		a.avail[pool]--
	}
	if a.need[pool] > 0 && a.avail[pool] < a.need[pool] {
		a.broken++
	}
}

// compare holds the folded state against the books: the VM's pool and phase, and that no
// other pool holds it.
func (a *audit) compare(id string, kind fold.Kind, offset int64) {
	vm := a.w.st.VMs[id]
	pool, known := a.pool[id]
	switch {
	case known != (vm != nil):
		a.fault("offset %d: VM %q known %v, expected %v", offset, id, vm != nil, known)
	case vm != nil && vm.Pool != pool:
		a.fault("offset %d: VM %q is in pool %q, expected %q", offset, id, vm.Pool, pool)
	case vm != nil && (vm.Phase == fold.Active) != a.active[id]:
		a.fault("offset %d: VM %q is %s, expected active %v", offset, id, vm.Phase, a.active[id])
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
		a.fault("offset %d: VM %q is in %d pools", offset, id, holders)
	}
}

func movesVM(k fold.Kind) bool {
	return k == fold.KindAssign || k == fold.KindObserve || k == fold.KindRemove
}

// countOut counts the VMs that are out by plan.
func (a *audit) countOut() {
	a.out = 0
	for _, v := range a.w.st.VMs {
		if v.Phase == fold.Draining || v.Phase == fold.Drained || v.Phase == fold.Rebooting {
			a.out++
		}
	}
	a.maxOut = max(a.maxOut, a.out)
}

func (a *audit) advance(d time.Duration) {
	a.outTime += time.Duration(a.out) * d
	a.below += time.Duration(a.broken) * d
}

func (a *audit) fault(format string, args ...any) {
	a.faults = append(a.faults, fmt.Sprintf(format, args...))
}
