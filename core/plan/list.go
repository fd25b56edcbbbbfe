package plan

import (
	"fmt"
	"maps"
	"slices"

	"sassafrasvalve/core/fleet"
)

// removeLeaving drains the VMs that the platform is removing, and drains and then removes those that the list no longer has.
func (t *tick) removeLeaving() {
	for _, vm := range t.vms {
		if t.leaving(vm.ID) {
			t.drainForLeave(vm, "the platform's list says that the VM is leaving")
		}
	}
	missing := t.missingVMs()
	for _, vm := range t.vms {
		if !slices.Contains(missing, vm.ID) || !t.actionable(vm) {
			continue
		}
		reason := fmt.Sprintf("the platform's list has not held the VM for %s", t.cfg.MinAbsence)
		switch vm.Phase {
		case fleet.Failed:
			t.drainForLeave(vm, reason)
		case fleet.Drained, fleet.Rebooting:
			t.addVMRecord(vm, fleet.Record{
				Kind: fleet.KindRemove, Rule: RuleLeave, Reason: reason, Remove: &fleet.Remove{VM: vm.ID, Gen: vm.Gen},
			})
		default: // failDead fails Active and Unknown VMs first
		}
	}
}

// drainForLeave drains a VM that leaves. It does not wait for another pending record on the VM, which
// may be lost. The generation ensures that only one of the two records takes effect.
func (t *tick) drainForLeave(vm *fleet.VM, reason string) {
	if vm.Phase != fleet.Active && vm.Phase != fleet.Failed && vm.Phase != fleet.Unknown {
		return
	}
	if s := t.local.pending[vm.ID]; !t.actionable(vm) && s.drain != nil && s.drain.Purpose == fleet.PurposeLeave {
		return
	}
	t.drain(vm, RuleLeave, reason, fleet.Drain{Purpose: fleet.PurposeLeave, Involuntary: true})
}

// missingVMs returns the IDs of the VMs that count as lost: they are absent from the list for MinAbsence,
// and nothing speaks against the list.
func (t *tick) missingVMs() []string {
	if t.missing != nil {
		return t.missing
	}
	t.missing = []string{}
	var unlisted []string
	for _, vm := range t.vms {
		if t.unlisted(vm.ID) {
			unlisted = append(unlisted, vm.ID)
		}
	}
	if len(unlisted) == 0 {
		return nil
	}
	if why := t.listDistrustReason(); why != "" {
		t.addDeferral("", "", RuleDead, fmt.Sprintf("%d VMs are not on the platform's list, but %s", len(unlisted), why))
		return nil
	}
	for _, id := range unlisted {
		if t.now.Sub(t.local.vms[id].unlistedSince) >= t.cfg.MinAbsence {
			t.missing = append(t.missing, id)
		}
	}
	return t.missing
}

// listDistrustReason returns why the absence of VMs from the list does not count now, or "" if it counts.
func (t *tick) listDistrustReason() string {
	since := t.local.massLossSince
	switch {
	case !t.listFresh():
		return fmt.Sprintf("the list is older than %s", t.cfg.ListMaxAge)
	case t.isolated():
		return t.isolationReason()
	case !since.IsZero() && t.now.Sub(since) < t.cfg.MinMassLoss:
		return fmt.Sprintf("a list that lacks most VMs is not believed until it has held for %s", t.cfg.MinMassLoss)
	}
	return ""
}

func (t *tick) isolationReason() string {
	return fmt.Sprintf("only %d of %d entries report", t.obs.Reporting, len(t.st.LiveMembers(t.obs.Region)))
}

// failDead fails VMs that the list no longer has or that more than half of the reporting entries cannot connect to.
func (t *tick) failDead() {
	missing := t.missingVMs()
	unreachable, active := 0, 0
	for _, vm := range t.vms {
		if vm.Phase == fleet.Active {
			active++
			if t.unreachable(vm) {
				unreachable++
			}
		}
	}
	mostUnreachable := 2*unreachable > active
	held := t.local.heldFor("unreachable", mostUnreachable, t.now)
	for _, vm := range t.vms {
		if vm.Phase != fleet.Active && vm.Phase != fleet.Unknown || !t.actionable(vm) {
			continue
		}
		switch {
		case slices.Contains(missing, vm.ID):
			t.fail(vm, RuleDead, fmt.Sprintf("the platform's list has not held the VM for %s", t.cfg.MinAbsence))
		case !t.unreachable(vm) || !t.reportsCurrent(vm):
		case t.isolated():
			t.addDeferral(vm.ID, vm.Pool, RuleDead, "entries cannot connect to the VM, but "+t.isolationReason())
		case mostUnreachable && held < t.cfg.MinMassLoss:
			t.addDeferral(vm.ID, vm.Pool, RuleDead, fmt.Sprintf(
				"entries cannot connect to %d of %d active VMs, which looks like a fault of the network; believed after %s",
				unreachable, active, t.cfg.MinMassLoss))
		default:
			t.fail(vm, RuleDead, fmt.Sprintf("%d of %d reporting entries could not connect for 10 s",
				t.obs.Reports[vm.ID].Unreachable, t.obs.Reporting))
		}
	}
}

// unreachable reports whether more than half of the reporting entries cannot connect to the VM.
func (t *tick) unreachable(vm *fleet.VM) bool {
	return 2*t.obs.Reports[vm.ID].Unreachable > t.obs.Reporting
}

// reportsCurrent reports whether the reports on a VM are about its current phase.
func (t *tick) reportsCurrent(vm *fleet.VM) bool {
	s := t.local.vms[vm.ID]
	return s != nil && (s.inherited || t.now.Sub(s.genSince) >= t.cfg.ReportSettleTime)
}

// updatePlaces applies changes of the address or location of known VMs.
func (t *tick) updatePlaces() {
	if !t.listFresh() {
		return
	}
	for _, vm := range t.vms {
		l, ok := t.obs.List.VMs[vm.ID]
		if !ok || l.State == ListLeaving || !t.actionable(vm) {
			continue
		}
		moved := l.Addr != vm.Addr || l.Region != vm.Region
		switch {
		case !moved && l.DC == vm.DC && l.Rack == vm.Rack, vm.Phase == fleet.Draining:
		case !moved || vm.Phase == fleet.Drained || vm.Phase == fleet.Rebooting:
			t.updatePlace(vm, l)
		default:
			// The old address may already belong to another VM, so the drain must not wait for the budget.
			t.drain(vm, RuleObserve, fmt.Sprintf("the platform moved the VM from %s to %s", vm.Addr, l.Addr),
				fleet.Drain{Purpose: fleet.PurposeReboot, Involuntary: true})
		}
	}
}

func (t *tick) updatePlace(vm *fleet.VM, l ListedVM) {
	if why := t.addrConflict(vm.ID, l.Addr); why != "" {
		t.addDeferral(vm.ID, vm.Pool, RuleObserve, why)
		return
	}
	if p, ok := t.st.Pool(vm.Pool); ok && p.Region != "" && p.Region != l.Region {
		t.addDeferral(vm.ID, vm.Pool, RuleObserve, fmt.Sprintf(
			"the list has the VM in region %q, its pool is in %q; move or remove it by hand", l.Region, p.Region))
		return
	}
	t.addVMRecord(vm, fleet.Record{
		Kind: fleet.KindObserve, Rule: RuleObserve, Reason: "the platform's list has a new address or place of the VM",
		Observe: &fleet.Observe{VM: vm.ID, Addr: l.Addr, DC: l.DC, Rack: l.Rack, Region: l.Region},
	})
}

// addrConflict returns why the fold would reject the address of the VM, or "" if it would accept the address.
func (t *tick) addrConflict(id, addr string) string {
	if addr == "" {
		return "the platform's list has no address of the VM"
	}
	for _, o := range t.st.VMs {
		if o.Addr == addr && o.ID != id {
			return fmt.Sprintf("address %s still belongs to VM %q", addr, o.ID)
		}
	}
	for _, r := range t.actions.Records {
		if o := r.Observe; o != nil && o.Addr == addr && o.VM != id {
			return fmt.Sprintf("address %s is being given to VM %q", addr, o.VM)
		}
	}
	return ""
}

// addNewVMs adds the new VMs of the list to a pool.
func (t *tick) addNewVMs() {
	if !t.listFresh() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(t.obs.List.VMs)) {
		l := t.obs.List.VMs[id]
		if t.st.VMs[id] != nil || l.Region != t.obs.Region || l.State != ListLive || l.Rebooting || l.RunsEntry || t.runsEntry(id) ||
			t.local.hasPending(id, unknownGen, t.now) {
			continue
		}
		pool, reason := t.poolForNew()
		if pool == "" {
			t.addDeferral(id, "", RuleObserve, fmt.Sprintf("region %q has no spare pool for new VMs", t.obs.Region))
			continue
		}
		if why := t.addrConflict(id, l.Addr); why != "" {
			t.addDeferral(id, pool, RuleObserve, why)
			continue
		}
		t.addRecord(id, fleet.Record{
			Kind: fleet.KindObserve, Rule: RuleObserve, Reason: reason,
			Observe: &fleet.Observe{VM: id, Addr: l.Addr, DC: l.DC, Rack: l.Rack, Region: l.Region, Pool: pool},
		}, pendingRecord{gen: unknownGen, kind: fleet.KindObserve, pool: pool})
	}
}

// unknownGen is the generation of pending records on VMs that the folded state does not have.
const unknownGen = -1

// runsEntry reports whether an entry runs on the VM or ran on it last. Such a VM is not a worker.
func (t *tick) runsEntry(id string) bool {
	if _, ok := t.st.Ended[id]; ok {
		return true
	}
	for _, m := range t.st.Members {
		if m.VM == id {
			return true
		}
	}
	return false
}

// poolForNew returns the pool that a new VM enters and the reason for the record. The pool is empty if there is none.
func (t *tick) poolForNew() (pool, reason string) {
	if t.cfg.FillPools {
		if shortages := t.shortages(); len(shortages) > 0 {
			return shortages[0].pool.Name, "new on the platform's list; its pool lacks VMs"
		}
	}
	spare, _ := t.spare()
	return spare.Name, "new on the platform's list"
}
