package plan

import (
	"fmt"
	"maps"
	"slices"

	"sassafrasvalve/core/fleet"
)

// leave drains the VMs that the platform takes away and removes those that it took.
func (t *turn) leave() {
	for _, vm := range t.vms {
		if t.leaving(vm.ID) {
			t.drainLeaving(vm, "the platform's list says that the VM is leaving")
		}
	}
	believed := t.absences()
	for _, vm := range t.vms {
		if !slices.Contains(believed, vm.ID) || !t.idle(vm) {
			continue
		}
		reason := fmt.Sprintf("the platform's list has not held the VM for %s", t.cfg.ListLag)
		switch vm.Phase {
		case fleet.Failed:
			t.drainLeaving(vm, reason)
		case fleet.Drained, fleet.Rebooting:
			t.emitVM(vm, fleet.Record{
				Kind: fleet.KindRemove, Rule: RuleLeave, Reason: reason, Remove: &fleet.Remove{VM: vm.ID, Gen: vm.Gen},
			})
		default: // Active and Unknown VMs fail first, by R-DEAD
		}
	}
}

// drainLeaving does not wait for another record on the VM that is on its way and may
// be lost: the generation lets only one of the two take effect.
func (t *turn) drainLeaving(vm *fleet.VM, reason string) {
	if vm.Phase != fleet.Active && vm.Phase != fleet.Failed && vm.Phase != fleet.Unknown {
		return
	}
	if s := t.mem.sent[vm.ID]; !t.idle(vm) && s.drain != nil && s.drain.Purpose == fleet.PurposeLeave {
		return
	}
	t.drain(vm, RuleLeave, reason, fleet.Drain{Purpose: fleet.PurposeLeave, Involuntary: true})
}

// absences returns the VMs whose absence from the list is believed.
func (t *turn) absences() []string {
	if t.absent != nil {
		return t.absent
	}
	t.absent = []string{}
	var missing []string
	for _, vm := range t.vms {
		if t.gone(vm.ID) {
			missing = append(missing, vm.ID)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	if why := t.doubtAbsences(); why != "" {
		t.note("", "", RuleDead, fmt.Sprintf("%d VMs are not on the platform's list, but %s", len(missing), why))
		return nil
	}
	for _, id := range missing {
		if t.now.Sub(t.mem.sights[id].goneSince) >= t.cfg.ListLag {
			t.absent = append(t.absent, id)
		}
	}
	return t.absent
}

// doubtAbsences returns why the absence of VMs from the list is not believed now.
func (t *turn) doubtAbsences() string {
	since := t.mem.massSince
	switch {
	case !t.listFresh():
		return fmt.Sprintf("the list is older than %s", t.cfg.ListMaxAge)
	case t.isolated():
		return t.isolation()
	case !since.IsZero() && t.now.Sub(since) < t.cfg.MassLossHold:
		return fmt.Sprintf("a list that lacks most VMs is not believed until it has held for %s", t.cfg.MassLossHold)
	}
	return ""
}

func (t *turn) isolation() string {
	return fmt.Sprintf("only %d of %d entries report", t.obs.Reporting, len(t.st.LiveMembers(t.obs.Region)))
}

// dead fails VMs that the list no longer holds or that most entries cannot connect to.
func (t *turn) dead() {
	believed := t.absences()
	refused, active := 0, 0
	for _, vm := range t.vms {
		if vm.Phase == fleet.Active {
			active++
			if t.refused(vm) {
				refused++
			}
		}
	}
	mass := 2*refused > active
	held := t.mem.held("refused", mass, t.now)
	for _, vm := range t.vms {
		if vm.Phase != fleet.Active && vm.Phase != fleet.Unknown || !t.idle(vm) {
			continue
		}
		switch {
		case slices.Contains(believed, vm.ID):
			t.fail(vm, RuleDead, fmt.Sprintf("the platform's list has not held the VM for %s", t.cfg.ListLag))
		case !t.refused(vm) || !t.settled(vm):
		case t.isolated():
			t.note(vm.ID, vm.Pool, RuleDead, "entries cannot connect to the VM, but "+t.isolation())
		case mass && held < t.cfg.MassLossHold:
			t.note(vm.ID, vm.Pool, RuleDead, fmt.Sprintf(
				"entries cannot connect to %d of %d active VMs, which looks like a fault of the network; believed after %s",
				refused, active, t.cfg.MassLossHold))
		default:
			t.fail(vm, RuleDead, fmt.Sprintf("%d of %d reporting entries could not connect for 10 s",
				t.obs.Reports[vm.ID].Refused, t.obs.Reporting))
		}
	}
}

func (t *turn) refused(vm *fleet.VM) bool { return 2*t.obs.Reports[vm.ID].Refused > t.obs.Reporting }

// settled reports whether the reports on a VM are about its present phase.
func (t *turn) settled(vm *fleet.VM) bool {
	s := t.mem.sights[vm.ID]
	return s != nil && (s.inherited || t.now.Sub(s.at) >= t.cfg.SettleFor)
}

// place follows changes of address and place of known VMs.
func (t *turn) place() {
	if !t.listFresh() {
		return
	}
	for _, vm := range t.vms {
		l, ok := t.obs.List.VMs[vm.ID]
		if !ok || l.State == Leaving || !t.idle(vm) {
			continue
		}
		moved := l.Addr != vm.Addr || l.Region != vm.Region
		switch {
		case !moved && l.DC == vm.DC && l.Rack == vm.Rack, vm.Phase == fleet.Draining:
		case !moved || vm.Phase == fleet.Drained || vm.Phase == fleet.Rebooting:
			t.updatePlace(vm, l)
		default:
			// The old address may already serve another VM, so the budget does not hold this up.
			t.drain(vm, RuleObserve, fmt.Sprintf("the platform moved the VM from %s to %s", vm.Addr, l.Addr),
				fleet.Drain{Purpose: fleet.PurposeReboot, Involuntary: true})
		}
	}
}

func (t *turn) updatePlace(vm *fleet.VM, l ListedVM) {
	if why := t.refuseAddr(vm.ID, l.Addr); why != "" {
		t.note(vm.ID, vm.Pool, RuleObserve, why)
		return
	}
	if p, ok := t.st.Pool(vm.Pool); ok && p.Region != "" && p.Region != l.Region {
		t.note(vm.ID, vm.Pool, RuleObserve, fmt.Sprintf(
			"the list has the VM in region %q, its pool is in %q; move or remove it by hand", l.Region, p.Region))
		return
	}
	t.emitVM(vm, fleet.Record{
		Kind: fleet.KindObserve, Rule: RuleObserve, Reason: "the platform's list has a new address or place of the VM",
		Observe: &fleet.Observe{VM: vm.ID, Addr: l.Addr, DC: l.DC, Rack: l.Rack, Region: l.Region},
	})
}

// refuseAddr returns why the fold would not give the address to the VM.
func (t *turn) refuseAddr(id, addr string) string {
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

// observe adds the new VMs of the list.
func (t *turn) observe() {
	if !t.listFresh() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(t.obs.List.VMs)) {
		l := t.obs.List.VMs[id]
		if t.st.VMs[id] != nil || l.Region != t.obs.Region || l.State != Live || l.Rebooting || l.RunsEntry || t.runsEntry(id) ||
			t.mem.busy(id, unknownGen, t.now) {
			continue
		}
		pool, reason := t.poolForNew()
		if pool == "" {
			t.note(id, "", RuleObserve, fmt.Sprintf("region %q has no spare pool for new VMs", t.obs.Region))
			continue
		}
		if why := t.refuseAddr(id, l.Addr); why != "" {
			t.note(id, pool, RuleObserve, why)
			continue
		}
		t.emit(id, fleet.Record{
			Kind: fleet.KindObserve, Rule: RuleObserve, Reason: reason,
			Observe: &fleet.Observe{VM: id, Addr: l.Addr, DC: l.DC, Rack: l.Rack, Region: l.Region, Pool: pool},
		}, sent{gen: unknownGen, kind: fleet.KindObserve, pool: pool})
	}
}

// unknownGen stands for the generation of a VM that the fold does not know.
const unknownGen = -1

// runsEntry reports whether an entry runs or last ran on the VM, which then is no worker.
func (t *turn) runsEntry(id string) bool {
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

func (t *turn) poolForNew() (pool, reason string) {
	if t.cfg.FillPools {
		if needs := t.needs(); len(needs) > 0 {
			return needs[0].pool.Name, "new on the platform's list; its pool lacks VMs"
		}
	}
	spare, _ := t.spare()
	return spare.Name, "new on the platform's list"
}
