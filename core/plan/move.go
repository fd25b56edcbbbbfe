package plan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
)

// shortage describes a pool that lacks VMs.
type shortage struct {
	pool        spec.Pool
	missing     int
	forWave     int    // VMs above the size of the pool that it gets while a wave runs
	brokenLimit string // first broken limit of a budget on the pool; empty if none is broken
}

// shortages returns the pools of the region that lack VMs, the most urgent first: pools with a broken budget, then
// pools below their size before those that lack VMs only for a wave, then by the share of missing VMs.
func (t *tick) shortages() []shortage {
	var out []shortage
	for _, p := range t.pools() {
		sh := shortage{pool: p, brokenLimit: t.brokenLimits[p.Name], forWave: t.lendTarget(p)}
		sh.missing = p.Size + sh.forWave - t.supply(p)
		if sh.missing > 0 {
			out = append(out, sh)
		}
	}
	slices.SortStableFunc(out, func(a, b shortage) int {
		return cmp.Or(
			-cmp.Compare(boolInt(a.brokenLimit != ""), boolInt(b.brokenLimit != "")),
			cmp.Compare(boolInt(a.onlyForWave()), boolInt(b.onlyForWave())),
			-cmp.Compare(a.missing*max(b.pool.Size, 1), b.missing*max(a.pool.Size, 1)),
			cmp.Compare(a.pool.Name, b.pool.Name))
	})
	return out
}

// onlyForWave reports whether the pool has reached its size and lacks VMs only because of a wave.
func (sh shortage) onlyForWave() bool { return sh.missing <= sh.forWave }

// pools returns the pools of the region that the planner keeps at their size: all but spare pools.
func (t *tick) pools() []spec.Pool {
	var out []spec.Pool
	for _, p := range t.st.Config.Fleet.Pools {
		if !p.Spare && (p.Region == "" || p.Region == t.obs.Region) {
			out = append(out, p)
		}
	}
	return out
}

// supply returns the number of VMs that a pool has or will have after the moves in progress and the pending records.
func (t *tick) supply(p spec.Pool) int {
	replaceAfter := t.cfg.ReplaceAfter
	if t.brokenLimits[p.Name] != "" {
		replaceAfter = t.cfg.ReplaceUrgentAfter
	}
	n := 0
	for _, id := range t.st.PoolVMs(p.Name) {
		if t.countsAsSupply(t.st.VMs[id], replaceAfter) {
			n++
		}
	}
	for _, vm := range t.moves {
		if vm.Pool != p.Name && vm.To == p.Name && !t.leaving(vm.ID) {
			n++
		}
	}
	for id, s := range t.local.pending {
		vm := t.st.VMs[id]
		switch {
		case vm == nil && s.kind == fleet.KindObserve && s.pool == p.Name:
			n++
		case vm != nil && s.drain != nil && s.drain.To == p.Name && t.local.hasPending(id, vm.Gen, t.now):
			n++
		}
	}
	return n
}

// countsAsSupply reports whether the VM is or will soon be active in its pool. A failed VM counts for replaceAfter,
// because it usually returns within minutes, which costs less than two moves.
func (t *tick) countsAsSupply(vm *fleet.VM, replaceAfter time.Duration) bool {
	if t.leaving(vm.ID) || vm.Purpose == fleet.PurposeMove || vm.Purpose == fleet.PurposeUnwanted || vm.Purpose == fleet.PurposeLeave {
		return false
	}
	if s := t.local.pending[vm.ID]; s.drain != nil && s.drain.Purpose != fleet.PurposeReboot &&
		t.local.hasPending(vm.ID, vm.Gen, t.now) {
		return false
	}
	if vm.Phase != fleet.Failed && vm.Phase != fleet.Unknown {
		return true
	}
	return !slices.Contains(t.missingVMs(), vm.ID) && lastRule(vm, fleet.KindFail) != RuleFlap && t.local.age(vm, t.now) < replaceAfter
}

// completeMoves ends the moves of drained VMs.
func (t *tick) completeMoves() {
	for _, vm := range t.vms {
		if vm.Phase != fleet.Drained || t.leaving(vm.ID) || t.unlisted(vm.ID) || !t.actionable(vm) {
			continue
		}
		switch vm.Purpose {
		case fleet.PurposeMove:
			t.completeMove(vm)
		case fleet.PurposeUnwanted:
			t.reassignSurplus(vm)
		default:
		}
	}
}

// completeMove assigns the VM to its target pool. If that pool cannot take it, or no longer lacks a VM that the planner
// moves there, the VM stays in its own pool.
func (t *tick) completeMove(vm *fleet.VM) {
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

// reassignSurplus assigns a drained surplus VM to the spare pool. It saves a move if another pool lacks a VM by now
// and assigns the VM to this pool instead.
func (t *tick) reassignSurplus(vm *fleet.VM) {
	if shortages := t.shortages(); len(shortages) > 0 && drainRule(vm) == RuleSurplus {
		t.assignTo(vm, shortages[0].pool.Name, "drained as surplus; this pool lacks a VM")
		return
	}
	if spare, ok := t.spare(); ok {
		t.assignTo(vm, spare.Name, "drained as surplus")
		return
	}
	t.addDeferral(vm.ID, vm.Pool, RuleAssign, fmt.Sprintf("region %q has no spare pool to take it", t.obs.Region))
}

func (t *tick) assignTo(vm *fleet.VM, pool, reason string) {
	t.addRecord(vm.ID, fleet.Record{
		Kind: fleet.KindAssign, Rule: RuleAssign, Reason: reason, Assign: &fleet.Assign{VM: vm.ID, Gen: vm.Gen, To: pool},
	}, pendingRecord{gen: vm.Gen, kind: fleet.KindAssign, pool: pool})
}

// replaceMissing moves VMs of the spare pool to the pools that lack VMs.
func (t *tick) replaceMissing() {
	spare, ok := t.spare()
	if !ok {
		return
	}
	for _, sh := range t.shortages() {
		for range sh.missing {
			if !t.belowRecordLimit() {
				return
			}
			if why := t.replaceOne(spare, sh); why != "" {
				t.addDeferral("", sh.pool.Name, sh.rule(), fmt.Sprintf("lacks %d VMs, but %s", sh.missing, why))
				break
			}
			sh.missing--
		}
	}
}

// rule returns the rule that moves VMs to the pool.
func (sh shortage) rule() string {
	if sh.onlyForWave() {
		return RuleWave
	}
	return RuleReplace
}

// reason returns the reason for the record that moves a VM to the pool.
func (sh shortage) reason() string {
	switch {
	case sh.onlyForWave():
		return fmt.Sprintf("lent to pool %q while a wave runs there", sh.pool.Name)
	case sh.brokenLimit != "":
		return fmt.Sprintf("pool %q is %d below its size and below a budget (%s)", sh.pool.Name, sh.missing-sh.forWave, sh.brokenLimit)
	}
	return fmt.Sprintf("pool %q is %d below its size of %d", sh.pool.Name, sh.missing-sh.forWave, sh.pool.Size)
}

// replaceOne starts the move of one VM to the pool. It returns the reason if it cannot, else "".
func (t *tick) replaceOne(spare spec.Pool, sh shortage) string {
	if moving := t.movesInProgress(); moving >= t.cfg.MaxMoving {
		return fmt.Sprintf("%d moves are in progress, the limit", moving)
	}
	vm, why := t.pickSpare(spare, sh)
	if vm == nil {
		return why
	}
	t.drain(vm, sh.rule(), sh.reason(), fleet.Drain{Purpose: fleet.PurposeMove, To: sh.pool.Name})
	return ""
}

// pickSpare returns an active VM of the spare pool from the data centre with the fewest VMs of the target pool,
// or nil and the reason.
func (t *tick) pickSpare(spare spec.Pool, sh shortage) (*fleet.VM, string) {
	why := fmt.Sprintf("spare pool %q has no active VM", spare.Name)
	perDC := t.perDC(sh.pool.Name)
	free := 0
	var best *fleet.VM
	for _, id := range t.st.PoolVMs(spare.Name) {
		vm := t.st.VMs[id]
		if vm.Phase != fleet.Active || vm.Region != t.obs.Region || t.leaving(id) || t.unlisted(id) || !t.actionable(vm) {
			continue
		}
		free++
		if sh.onlyForWave() && t.pendingInWave(id) {
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
	if best != nil && sh.onlyForWave() && free <= t.cfg.SpareReserve {
		return nil, fmt.Sprintf("the last %d VMs of spare pool %q are kept for failures", free, spare.Name)
	}
	return best, why
}

// perDC returns the number of VMs that are active in the pool or moving to it, by data centre.
func (t *tick) perDC(pool string) map[string]int {
	out := map[string]int{}
	for id, vm := range t.st.VMs {
		s := t.local.pending[id]
		movingIn := vm.To == pool || s.drain != nil && s.drain.To == pool && t.local.hasPending(id, vm.Gen, t.now)
		if vm.Pool == pool && vm.Phase == fleet.Active || movingIn {
			out[vm.DC]++
		}
	}
	return out
}

// moveHold returns the remaining time for which the VM must stay in its pool after a recent move.
func (t *tick) moveHold(vm *fleet.VM) time.Duration {
	s := t.local.vms[vm.ID]
	if s == nil || s.assignedAt.IsZero() {
		return 0
	}
	hold := t.cfg.MoveHold
	if s.assignInherited {
		hold = t.cfg.MoveHoldTakeover
	}
	return max(0, hold-t.now.Sub(s.assignedAt))
}

// movesInProgress returns the number of VMs of the region that are moving or about to move.
func (t *tick) movesInProgress() int {
	n := 0
	for _, vm := range t.vms {
		s := t.local.pending[vm.ID]
		pendingMove := s.drain != nil && (s.drain.Purpose == fleet.PurposeMove || s.drain.Purpose == fleet.PurposeUnwanted)
		if vm.Purpose == fleet.PurposeMove || vm.Purpose == fleet.PurposeUnwanted || pendingMove && !t.actionable(vm) {
			n++
		}
	}
	return n
}

// returnSurplus moves VMs back from pools that have been above their size for SurplusAfter or LendReturnAfter.
func (t *tick) returnSurplus() {
	t.lentVMs = nil // computed again, because replaceMissing has used VMs of the spare pool
	spare, ok := t.spare()
	for _, p := range t.pools() {
		surplus := t.activeIn(p.Name) - p.Size - t.lendTarget(p)
		held := t.local.heldFor("surplus/"+p.Name, surplus > 0, t.now)
		returnAfter := t.cfg.SurplusAfter
		if t.inRunningWave(p.Name) {
			returnAfter = t.cfg.LendReturnAfter // the next pool of the wave needs the lent VMs
		}
		if surplus <= 0 || held < returnAfter {
			continue
		}
		if !ok {
			t.addDeferral("", p.Name, RuleSurplus, fmt.Sprintf(
				"has %d VMs above its size, but region %q has no spare pool", surplus, t.obs.Region))
			continue
		}
		for ; surplus > 0 && t.movesInProgress() < t.cfg.MaxMoving && t.belowRecordLimit(); surplus-- {
			vm, why := t.pickSurplus(p)
			if vm == nil {
				t.addDeferral("", p.Name, RuleSurplus, fmt.Sprintf("has %d VMs above its size, but %s", surplus, why))
				break
			}
			t.drain(vm, RuleSurplus, fmt.Sprintf("pool %q has been above its size of %d for %s; the VM returns to %q",
				p.Name, p.Size, returnAfter, spare.Name), fleet.Drain{Purpose: fleet.PurposeUnwanted})
		}
	}
}

// activeIn returns the number of active VMs of the pool that are neither leaving nor subject to a pending record.
func (t *tick) activeIn(pool string) int {
	n := 0
	for _, id := range t.st.PoolVMs(pool) {
		if vm := t.st.VMs[id]; vm.Phase == fleet.Active && !t.leaving(id) && t.actionable(vm) {
			n++
		}
	}
	return n
}

// pickSurplus returns the VM to move out of the pool: in the data centre with the most VMs of the pool,
// the one that was assigned last. If no VM may move, it returns nil and the reason.
func (t *tick) pickSurplus(p spec.Pool) (*fleet.VM, string) {
	why := "none of them is free to move"
	perDC := t.perDC(p.Name)
	var best *fleet.VM
	for _, id := range t.st.PoolVMs(p.Name) {
		vm := t.st.VMs[id]
		if vm.Phase != fleet.Active || vm.Region != t.obs.Region || t.leaving(id) || !t.actionable(vm) {
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
		if best == nil || cmp.Or(
			cmp.Compare(perDC[vm.DC], perDC[best.DC]),
			cmp.Compare(t.lastAssignOffset(vm), t.lastAssignOffset(best))) > 0 {
			best = vm
		}
	}
	return best, why
}

func (t *tick) lastAssignOffset(vm *fleet.VM) int64 { return t.local.vms[vm.ID].assignOffset }

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
