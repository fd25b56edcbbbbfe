package plan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
)

// need is a pool that lacks VMs.
type need struct {
	pool   spec.Pool
	lacks  int
	lent   int // of those, wanted only while a wave runs
	broken string
}

// needs returns the pools of the region that lack VMs, the most urgent first.
func (t *turn) needs() []need {
	var out []need
	for _, p := range t.pools() {
		n := need{pool: p, broken: t.broken[p.Name], lent: t.lendTarget(p)}
		n.lacks = p.Size + n.lent - t.supply(p)
		if n.lacks > 0 {
			out = append(out, n)
		}
	}
	slices.SortStableFunc(out, func(a, b need) int {
		return cmp.Or(
			-cmp.Compare(boolInt(a.broken != ""), boolInt(b.broken != "")),
			cmp.Compare(boolInt(a.onlyLent()), boolInt(b.onlyLent())),
			-cmp.Compare(a.lacks*max(b.pool.Size, 1), b.lacks*max(a.pool.Size, 1)),
			cmp.Compare(a.pool.Name, b.pool.Name))
	})
	return out
}

// onlyLent reports whether the pool has its size and only a wave wants more.
func (n need) onlyLent() bool { return n.lacks <= n.lent }

// pools returns the pools that repair keeps at their size.
func (t *turn) pools() []spec.Pool {
	var out []spec.Pool
	for _, p := range t.st.Config.Fleet.Pools {
		if !p.Spare && (p.Region == "" || p.Region == t.obs.Region) {
			out = append(out, p)
		}
	}
	return out
}

// supply counts the VMs that a pool has or will have without a further act.
func (t *turn) supply(p spec.Pool) int {
	patience := t.cfg.ReplaceAfter
	if t.broken[p.Name] != "" {
		patience = t.cfg.ReplaceUrgent
	}
	n := 0
	for _, id := range t.st.PoolVMs(p.Name) {
		if t.stays(t.st.VMs[id], patience) {
			n++
		}
	}
	for _, vm := range t.moves {
		if vm.Pool != p.Name && vm.To == p.Name && !t.leaving(vm.ID) {
			n++
		}
	}
	for id, s := range t.mem.sent {
		vm := t.st.VMs[id]
		switch {
		case vm == nil && s.kind == fleet.KindObserve && s.pool == p.Name:
			n++
		case vm != nil && s.drain != nil && s.drain.To == p.Name && t.mem.busy(id, vm.Gen, t.now):
			n++
		}
	}
	return n
}

// stays reports whether the VM is or will soon be active in its pool. A failed VM most often
// returns within minutes, which costs less than two moves.
func (t *turn) stays(vm *fleet.VM, patience time.Duration) bool {
	if t.leaving(vm.ID) || vm.Purpose == fleet.PurposeMove || vm.Purpose == fleet.PurposeUnwanted || vm.Purpose == fleet.PurposeLeave {
		return false
	}
	if s := t.mem.sent[vm.ID]; s.drain != nil && s.drain.Purpose != fleet.PurposeReboot && t.mem.busy(vm.ID, vm.Gen, t.now) {
		return false
	}
	if vm.Phase != fleet.Failed && vm.Phase != fleet.Unknown {
		return true
	}
	return !slices.Contains(t.absences(), vm.ID) && lastRule(vm, fleet.KindFail) != RuleFlap && t.mem.age(vm, t.now) < patience
}

// assign ends the moves of drained VMs.
func (t *turn) assign() {
	for _, vm := range t.vms {
		if vm.Phase != fleet.Drained || t.leaving(vm.ID) || t.gone(vm.ID) || !t.idle(vm) {
			continue
		}
		switch vm.Purpose {
		case fleet.PurposeMove:
			t.assignMove(vm)
		case fleet.PurposeUnwanted:
			t.assignUnwanted(vm)
		default:
		}
	}
}

func (t *turn) assignMove(vm *fleet.VM) {
	p, ok := t.st.Pool(vm.To)
	switch {
	case !ok || p.Region != "" && p.Region != vm.Region:
		t.activate(vm, RuleAssign, fmt.Sprintf("pool %q cannot take the VM any more; the move is given up", vm.To))
	case (drainRule(vm) == RuleReplace || drainRule(vm) == RuleWave) && t.supply(p) > p.Size+t.lendTarget(p):
		t.activate(vm, RuleAssign, fmt.Sprintf("pool %q has its size again; the move is given up", vm.To))
	default:
		t.assignTo(vm, vm.To, "drained; no entry has a request on it")
	}
}

// assignUnwanted saves a move if another pool lacks a VM by now.
func (t *turn) assignUnwanted(vm *fleet.VM) {
	if needs := t.needs(); len(needs) > 0 && drainRule(vm) == RuleSurplus {
		t.assignTo(vm, needs[0].pool.Name, "drained as surplus; this pool lacks a VM")
		return
	}
	if spare, ok := t.spare(); ok {
		t.assignTo(vm, spare.Name, "drained as surplus")
		return
	}
	t.note(vm.ID, vm.Pool, RuleAssign, fmt.Sprintf("region %q has no spare pool to take it", t.obs.Region))
}

func (t *turn) assignTo(vm *fleet.VM, pool, reason string) {
	t.emit(vm.ID, fleet.Record{
		Kind: fleet.KindAssign, Rule: RuleAssign, Reason: reason, Assign: &fleet.Assign{VM: vm.ID, Gen: vm.Gen, To: pool},
	}, sent{gen: vm.Gen, kind: fleet.KindAssign, pool: pool})
}

// replace moves VMs of the spare pool to the pools that lack them.
func (t *turn) replace() {
	spare, ok := t.spare()
	if !ok {
		return
	}
	for _, n := range t.needs() {
		for range n.lacks {
			if !t.room() {
				return
			}
			if why := t.replaceOne(spare, n); why != "" {
				t.note("", n.pool.Name, n.rule(), fmt.Sprintf("lacks %d VMs, but %s", n.lacks, why))
				break
			}
			n.lacks--
		}
	}
}

func (n need) rule() string {
	if n.onlyLent() {
		return RuleWave
	}
	return RuleReplace
}

func (n need) reason() string {
	switch {
	case n.onlyLent():
		return fmt.Sprintf("lent to pool %q while a wave runs there", n.pool.Name)
	case n.broken != "":
		return fmt.Sprintf("pool %q is %d below its size and below a budget (%s)", n.pool.Name, n.lacks-n.lent, n.broken)
	}
	return fmt.Sprintf("pool %q is %d below its size of %d", n.pool.Name, n.lacks-n.lent, n.pool.Size)
}

// replaceOne starts a move to the pool or returns why not.
func (t *turn) replaceOne(spare spec.Pool, n need) string {
	if moving := t.moving(); moving >= t.cfg.MaxMoving {
		return fmt.Sprintf("%d moves are in progress, the limit", moving)
	}
	vm, why := t.pickSpare(spare, n)
	if vm == nil {
		return why
	}
	t.drain(vm, n.rule(), n.reason(), fleet.Drain{Purpose: fleet.PurposeMove, To: n.pool.Name})
	return ""
}

// pickSpare returns a VM of the spare pool in the data centre where the target has fewest.
func (t *turn) pickSpare(spare spec.Pool, n need) (*fleet.VM, string) {
	why := fmt.Sprintf("spare pool %q has no active VM", spare.Name)
	perDC := t.perDC(n.pool.Name)
	free := 0
	var best *fleet.VM
	for _, id := range t.st.PoolVMs(spare.Name) {
		vm := t.st.VMs[id]
		if vm.Phase != fleet.Active || vm.Region != t.obs.Region || t.leaving(id) || t.gone(id) || !t.idle(vm) {
			continue
		}
		free++
		if n.onlyLent() && t.pendingInWave(id) {
			why = fmt.Sprintf("VM %q of spare pool %q is to be rebooted first", id, spare.Name)
			continue
		}
		if left := t.moveHold(vm); left > 0 {
			why = fmt.Sprintf("VM %q of spare pool %q was moved lately and stays for another %s", id, spare.Name, left.Round(time.Second))
			continue
		}
		if ok, reason := t.canDrain(vm); !ok {
			why = reason
			continue
		}
		if best == nil || perDC[vm.DC] < perDC[best.DC] {
			best = vm
		}
	}
	if best != nil && n.onlyLent() && free <= t.cfg.SpareReserve {
		return nil, fmt.Sprintf("the last %d VMs of spare pool %q are kept for failures", free, spare.Name)
	}
	return best, why
}

// perDC counts the active VMs of a pool and those on their way to it, by data centre.
func (t *turn) perDC(pool string) map[string]int {
	out := map[string]int{}
	for id, vm := range t.st.VMs {
		s := t.mem.sent[id]
		coming := vm.To == pool || s.drain != nil && s.drain.To == pool && t.mem.busy(id, vm.Gen, t.now)
		if vm.Pool == pool && vm.Phase == fleet.Active || coming {
			out[vm.DC]++
		}
	}
	return out
}

// moveHold returns how long the VM stays in its pool because it was moved lately.
func (t *turn) moveHold(vm *fleet.VM) time.Duration {
	s := t.mem.sights[vm.ID]
	if s == nil || s.movedAt.IsZero() {
		return 0
	}
	hold := t.cfg.MoveHold
	if s.movedOld {
		hold = t.cfg.MoveHoldTakeover
	}
	return max(0, hold-t.now.Sub(s.movedAt))
}

// moving counts the moves in progress.
func (t *turn) moving() int {
	n := 0
	for _, vm := range t.vms {
		s := t.mem.sent[vm.ID]
		onTheWay := s.drain != nil && (s.drain.Purpose == fleet.PurposeMove || s.drain.Purpose == fleet.PurposeUnwanted)
		if vm.Purpose == fleet.PurposeMove || vm.Purpose == fleet.PurposeUnwanted || onTheWay && !t.idle(vm) {
			n++
		}
	}
	return n
}

// surplus takes VMs back from pools that have been above their size for a while.
func (t *turn) surplus() {
	t.lent = nil // replace has spent some of the spare pool
	spare, ok := t.spare()
	for _, p := range t.pools() {
		over := t.activeIn(p.Name) - p.Size - t.lendTarget(p)
		held := t.mem.held("surplus/"+p.Name, over > 0, t.now)
		patience := t.cfg.SurplusAfter
		if t.waving(p.Name) {
			patience = t.cfg.LendDuration // lent VMs are wanted by the next pool
		}
		if over <= 0 || held < patience {
			continue
		}
		if !ok {
			t.note("", p.Name, RuleSurplus, fmt.Sprintf("has %d VMs above its size, but region %q has no spare pool", over, t.obs.Region))
			continue
		}
		for ; over > 0 && t.moving() < t.cfg.MaxMoving && t.room(); over-- {
			vm, why := t.pickSurplus(p)
			if vm == nil {
				t.note("", p.Name, RuleSurplus, fmt.Sprintf("has %d VMs above its size, but %s", over, why))
				break
			}
			t.drain(vm, RuleSurplus, fmt.Sprintf("pool %q has been above its size of %d for %s; the VM returns to %q",
				p.Name, p.Size, patience, spare.Name), fleet.Drain{Purpose: fleet.PurposeUnwanted})
		}
	}
}

func (t *turn) activeIn(pool string) int {
	n := 0
	for _, id := range t.st.PoolVMs(pool) {
		if vm := t.st.VMs[id]; vm.Phase == fleet.Active && !t.leaving(id) && t.idle(vm) {
			n++
		}
	}
	return n
}

// pickSurplus returns the VM that came last among those in the data centre with most VMs of the pool.
func (t *turn) pickSurplus(p spec.Pool) (*fleet.VM, string) {
	why := "none of them is free to move"
	perDC := t.perDC(p.Name)
	var best *fleet.VM
	for _, id := range t.st.PoolVMs(p.Name) {
		vm := t.st.VMs[id]
		if vm.Phase != fleet.Active || vm.Region != t.obs.Region || t.leaving(id) || !t.idle(vm) {
			continue
		}
		if left := t.moveHold(vm); left > 0 {
			why = fmt.Sprintf("VM %q was moved lately and stays for another %s", id, left.Round(time.Second))
			continue
		}
		if ok, reason := t.canDrain(vm); !ok {
			why = reason
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(perDC[vm.DC], perDC[best.DC]), cmp.Compare(t.movedAt(vm), t.movedAt(best))) > 0 {
			best = vm
		}
	}
	return best, why
}

func (t *turn) movedAt(vm *fleet.VM) int64 { return t.mem.sights[vm.ID].moved }

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
