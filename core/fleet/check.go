package fleet

// CheckDrain returns why the fold would reject the drain now, or nil if it would accept it.
func (s *State) CheckDrain(d Drain) error {
	vm, err := s.vmAt(d.VM, d.Gen, Active, Failed, Unknown)
	if err != nil {
		return err
	}
	return s.checkDrain(vm, d)
}

// CheckActivate returns why the fold would reject the activation now, or nil if it would accept it.
func (s *State) CheckActivate(a Activate) error {
	_, err := s.vmAt(a.VM, a.Gen, Drained, Rebooting, Failed, Unknown)
	return err
}

// CheckAssign returns why a drained VM cannot enter the pool now, or nil if it can.
func (s *State) CheckAssign(a Assign) error {
	vm, err := s.vmAt(a.VM, a.Gen, Drained)
	if err != nil {
		return err
	}
	if err := s.checkPool(a.To, vm.Region); err != nil {
		return err
	}
	return s.checkAssignBudget(vm, a.To)
}
