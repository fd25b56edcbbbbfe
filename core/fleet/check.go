package fleet

// CheckDrain returns the error with which the fold would reject the drain now, or nil if it would accept it.
func (s *State) CheckDrain(d Drain) error {
	vm, err := s.vmAtGen(d.VM, d.Gen, Active, Failed, Unknown)
	if err != nil {
		return err
	}
	return s.checkDrain(vm, d)
}

// CheckActivate returns the error with which the fold would reject the activation now, or nil if it would accept it.
func (s *State) CheckActivate(a Activate) error {
	_, err := s.vmAtGen(a.VM, a.Gen, Drained, Rebooting, Failed, Unknown)
	return err
}

// CheckAssign returns an error if a drained VM cannot enter the pool now. Unlike the fold,
// it accepts a pool other than the target of the VM's drain.
func (s *State) CheckAssign(a Assign) error {
	vm, err := s.vmAtGen(a.VM, a.Gen, Drained)
	if err != nil {
		return err
	}
	if err := s.checkPool(a.To, vm.Region); err != nil {
		return err
	}
	return s.checkAssignBudget(vm, a.To)
}
