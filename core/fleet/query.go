package fleet

import "slices"

// PoolVMs returns the IDs of all VMs of a pool, sorted.
func (s *State) PoolVMs(pool string) []string { return sortedKeys(s.pools[pool]) }

// RoutableVMs returns the VMs of a pool to which an entry of the region may send, sorted by ID.
// Entries of other regions must not: they take no part in the drains of these VMs.
func (s *State) RoutableVMs(region, pool string) []*VM {
	var out []*VM
	for _, id := range sortedKeys(s.pools[pool]) {
		if vm := s.pools[pool][id]; vm.Phase == Active && vm.Region == region {
			out = append(out, vm)
		}
	}
	return out
}

// Explanation says how a VM came to its present phase and what it waits for.
type Explanation struct {
	VM       VM
	Waiting  []string // members whose acknowledgement is missing
	CanDrain bool
	Why      string // why it cannot be drained
}

// Explain returns the history of a VM and what holds it up.
func (s *State) Explain(id string) (Explanation, bool) {
	vm := s.VMs[id]
	if vm == nil {
		return Explanation{}, false
	}
	e := Explanation{VM: *vm, Waiting: s.MissingAcks(id)}
	e.VM.History = slices.Clone(vm.History)
	e.VM.Acked = slices.Clone(vm.Acked)
	e.CanDrain, e.Why = s.CanDrain(id)
	return e, true
}
