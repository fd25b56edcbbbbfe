package fleet

import "slices"

// PoolVMs returns the IDs of all VMs of a pool, sorted.
func (s *State) PoolVMs(pool string) []string { return sortedKeys(s.pools[pool]) }

// RoutableVMs returns the active VMs of a pool to which an entry of the region may send requests, sorted by ID.
// Entries of other regions must not send to them, because the drains of these VMs do not wait for those entries.
func (s *State) RoutableVMs(region, pool string) []*VM {
	var out []*VM
	for _, id := range sortedKeys(s.pools[pool]) {
		if vm := s.pools[pool][id]; vm.Phase == Active && vm.Region == region {
			out = append(out, vm)
		}
	}
	return out
}

// Explanation describes how a VM reached its current phase and what it waits for.
type Explanation struct {
	VM       VM
	Waiting  []string // IDs of the members whose acknowledgement is missing
	CanDrain bool
	Why      string // reason if the VM cannot be drained
}

// Explain returns the history of a VM, the acknowledgements that it waits for and whether it can be drained.
// It returns false if the VM does not exist.
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
