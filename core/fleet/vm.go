package fleet

import (
	"fmt"
	"slices"
)

// maxHistorySteps bounds the stored changes of each VM.
const maxHistorySteps = 32

func (s *State) observe(r Record) error {
	o := *r.Observe
	if o.VM == "" || o.Addr == "" {
		return fmt.Errorf("VM %q with address %q: both are needed", o.VM, o.Addr)
	}
	if holder, ok := s.addrs[o.Addr]; ok && holder != o.VM {
		return fmt.Errorf("address %s belongs to VM %q", o.Addr, holder)
	}
	if vm := s.VMs[o.VM]; vm != nil {
		return s.updateVM(vm, r)
	}
	if err := s.checkPool(o.Pool, o.Region); err != nil {
		return err
	}
	vm := &VM{ID: o.VM, Addr: o.Addr, DC: o.DC, Rack: o.Rack, Region: o.Region, Pool: o.Pool}
	s.addVM(vm)
	s.recordStep(vm, r, Active)
	return nil
}

func (s *State) addVM(vm *VM) {
	s.VMs[vm.ID] = vm
	s.addrs[vm.Addr] = vm.ID
	s.addToPool(vm)
}

func (s *State) addToPool(vm *VM) {
	if s.pools[vm.Pool] == nil {
		s.pools[vm.Pool] = map[string]*VM{}
	}
	s.pools[vm.Pool][vm.ID] = vm
}

// updateVM updates the address and location of a VM. Address and region cannot change while an entry
// may still send to the VM: the platform may give the old address to a VM of another pool,
// and the region determines which members must acknowledge a drain.
func (s *State) updateVM(vm *VM, r Record) error {
	o := *r.Observe
	moved := o.Addr != vm.Addr || o.Region != vm.Region
	switch {
	case o.Pool != "" && o.Pool != vm.Pool:
		return fmt.Errorf("VM %q is in pool %q; a move needs Drain and Assign", vm.ID, vm.Pool)
	case !moved && o.DC == vm.DC && o.Rack == vm.Rack:
		return fmt.Errorf("VM %q is already known like this", vm.ID)
	case vm.Phase == Draining:
		return fmt.Errorf("VM %q is draining; its place can change after that", vm.ID)
	case moved && vm.Phase != Drained && vm.Phase != Rebooting:
		return fmt.Errorf("VM %q is %s; its address or region changes only when it is drained", vm.ID, vm.Phase)
	}
	if err := s.checkPool(vm.Pool, o.Region); err != nil {
		return err
	}
	delete(s.addrs, vm.Addr)
	vm.Addr, vm.DC, vm.Rack, vm.Region = o.Addr, o.DC, o.Rack, o.Region
	s.addrs[vm.Addr] = vm.ID
	s.recordStep(vm, r, vm.Phase)
	return nil
}

// recordStep adds the change by the record at s.Offset to the VM's history and sets its phase and generation.
func (s *State) recordStep(vm *VM, r Record, phase VMPhase) {
	if len(vm.History) >= maxHistorySteps {
		vm.History = slices.Delete(vm.History, 0, len(vm.History)-maxHistorySteps+1)
	}
	vm.History = append(vm.History, Step{
		Offset: s.Offset, Kind: r.Kind, Writer: r.Writer, Rule: r.Rule, Reason: r.Reason,
		From: vm.Phase, Phase: phase, Pool: vm.Pool,
	})
	vm.Phase, vm.Gen = phase, s.Offset
}

// vmAtGen returns the VM, or an error unless it is at generation gen and in one of the phases.
func (s *State) vmAtGen(id string, gen int64, phases ...VMPhase) (*VM, error) {
	vm := s.VMs[id]
	switch {
	case vm == nil:
		return nil, fmt.Errorf("VM %q does not exist", id)
	case vm.Gen != gen:
		return nil, fmt.Errorf("VM %q is at generation %d, not %d", id, vm.Gen, gen)
	case !slices.Contains(phases, vm.Phase):
		return nil, fmt.Errorf("VM %q is %s", id, vm.Phase)
	}
	return vm, nil
}

// drain also accepts failed and unknown VMs. An entry may still have requests on them,
// so they too must be drained before they are moved or removed.
func (s *State) drain(r Record) error {
	d := *r.Drain
	vm, err := s.vmAtGen(d.VM, d.Gen, Active, Failed, Unknown)
	if err != nil {
		return err
	}
	if err := s.checkDrain(vm, d); err != nil {
		return err
	}
	if d.Wave != "" {
		s.markWaveOut(d.Wave, vm.ID)
	}
	vm.Purpose, vm.To, vm.Wave, vm.Acked = d.Purpose, d.To, d.Wave, nil
	s.recordStep(vm, r, Draining)
	s.completeDrain(vm, r)
	return nil
}

func (s *State) checkDrain(vm *VM, d Drain) error {
	switch d.Purpose {
	case PurposeMove:
		if d.To == vm.Pool {
			return fmt.Errorf("VM %q is in pool %q already", vm.ID, d.To)
		}
		if err := s.checkPool(d.To, vm.Region); err != nil {
			return err
		}
	case PurposeReboot, PurposeHold, PurposeLeave, PurposeUnwanted:
		if d.To != "" {
			return fmt.Errorf("a drain with purpose %s has no target pool", d.Purpose)
		}
	default:
		return fmt.Errorf("purpose %q is unknown", d.Purpose)
	}
	if d.Wave != "" {
		if d.Involuntary {
			return fmt.Errorf("a step of wave %q is voluntary", d.Wave)
		}
		if err := s.checkWaveDrain(d.Wave, vm); err != nil {
			return err
		}
	}
	if d.Involuntary {
		return nil
	}
	return s.checkDrainBudget(vm, d.Purpose == PurposeMove)
}

// completeDrains sets the draining VMs of a region to Drained if no acknowledgement is missing.
func (s *State) completeDrains(region string, r Record) {
	for _, id := range sortedKeys(s.VMs) {
		if vm := s.VMs[id]; vm.Region == region && vm.Phase == Draining {
			s.completeDrain(vm, r)
		}
	}
}

func (s *State) completeDrain(vm *VM, r Record) {
	if len(s.missingAcks(vm)) == 0 {
		s.recordStep(vm, r, Drained)
	}
}

// missingAcks returns the IDs of the members that may still have requests on a draining VM: all members
// of its region without an acknowledgement, including evicted ones until they are fenced. Members that
// joined after the drain must acknowledge it too. Such a process may have started requests before its Join,
// as a guest or as a member with an earlier ID.
func (s *State) missingAcks(vm *VM) []string {
	return s.selectMembers(func(m *Member) bool {
		_, acked := slices.BinarySearch(vm.Acked, m.ID)
		return m.Region == vm.Region && !acked
	})
}

// MissingAcks returns the IDs of the members whose acknowledgement a draining VM waits for, sorted.
// It returns nil for other VMs.
func (s *State) MissingAcks(id string) []string {
	vm := s.VMs[id]
	if vm == nil || vm.Phase != Draining {
		return nil
	}
	return s.missingAcks(vm)
}

// DrainsToAck returns the draining VMs that wait for the member's acknowledgement, sorted by VM ID.
func (s *State) DrainsToAck(member string) []VMGen {
	m := s.Members[member]
	if m == nil {
		return nil
	}
	var out []VMGen
	for _, id := range sortedKeys(s.VMs) {
		vm := s.VMs[id]
		if vm.Phase == Draining && vm.Region == m.Region && !slices.Contains(vm.Acked, member) {
			out = append(out, VMGen{id, vm.Gen})
		}
	}
	return out
}

func (s *State) assign(r Record) error {
	a := *r.Assign
	vm, err := s.vmAtGen(a.VM, a.Gen, Drained)
	if err != nil {
		return err
	}
	if vm.Purpose == PurposeMove && a.To != vm.To {
		return fmt.Errorf("VM %q was drained for pool %q, not %q", vm.ID, vm.To, a.To)
	}
	if err := s.checkPool(a.To, vm.Region); err != nil {
		return err
	}
	if err := s.checkAssignBudget(vm, a.To); err != nil {
		return err
	}
	s.markWaveFinished(vm)
	delete(s.pools[vm.Pool], vm.ID)
	vm.Pool = a.To
	s.addToPool(vm)
	s.makeActive(vm, r)
	return nil
}

// makeActive makes a VM active and clears the fields of its drain.
func (s *State) makeActive(vm *VM, r Record) {
	vm.Purpose, vm.To, vm.Wave, vm.Acked = "", "", "", nil
	s.recordStep(vm, r, Active)
}

// reboot does not check the budget: the VM already counts as unavailable since its drain.
func (s *State) reboot(r Record) error {
	vm, err := s.vmAtGen(r.Reboot.VM, r.Reboot.Gen, Drained)
	if err != nil {
		return err
	}
	if w := s.Waves[vm.Wave]; w != nil && (w.Phase == Stopped || w.Phase == Aborted) {
		return fmt.Errorf("wave %q is %s", w.ID, w.Phase)
	}
	vm.Boots = r.Reboot.Boots
	s.recordStep(vm, r, Rebooting)
	return nil
}

func (s *State) activate(r Record) error {
	vm, err := s.vmAtGen(r.Activate.VM, r.Activate.Gen, Drained, Rebooting, Failed, Unknown)
	if err != nil {
		return err
	}
	s.markWaveFinished(vm)
	s.makeActive(vm, r)
	return nil
}

func (s *State) fail(r Record) error {
	f := *r.Fail
	phases, phase := []VMPhase{Active, Draining, Drained, Rebooting, Unknown}, Failed
	if f.Unknown {
		phases, phase = []VMPhase{Active}, Unknown
	}
	vm, err := s.vmAtGen(f.VM, f.Gen, phases...)
	if err != nil {
		return err
	}
	s.markWaveFailed(vm, r.Reason)
	vm.Purpose, vm.To, vm.Wave, vm.Acked = "", "", "", nil
	s.recordStep(vm, r, phase)
	return nil
}

// remove accepts only VMs that were drained. If a VM with the same ID entered another pool while an entry
// still sends requests of the old pool to it, the VM would serve two pools.
func (s *State) remove(r Record) error {
	vm, err := s.vmAtGen(r.Remove.VM, r.Remove.Gen, Drained, Rebooting)
	if err != nil {
		return err
	}
	s.removeFromWaves(vm.ID)
	delete(s.pools[vm.Pool], vm.ID)
	delete(s.addrs, vm.Addr)
	delete(s.VMs, vm.ID)
	return nil
}
