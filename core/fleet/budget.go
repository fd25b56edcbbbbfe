package fleet

import (
	"fmt"
	"maps"

	"sassafrasvalve/core/spec"
)

// poolCount counts the VMs of a pool. Only active VMs are available.
type poolCount struct {
	total  int
	active int
	outDC  map[string]int // unavailable VMs by data centre
}

func (s *State) count(pool string) poolCount {
	c := poolCount{outDC: map[string]int{}}
	for _, vm := range s.pools[pool] {
		c.total++
		if vm.Phase == Active {
			c.active++
		} else {
			c.outDC[vm.DC]++
		}
	}
	return c
}

// without returns the count after the VM has left the pool.
func (c poolCount) without(vm *VM) poolCount {
	c.outDC = maps.Clone(c.outDC)
	c.total--
	if vm.Phase == Active {
		c.active--
	} else {
		c.outDC[vm.DC]--
	}
	return c
}

// with returns the count with the VM in the pool, active or not.
func (c poolCount) with(vm *VM, active bool) poolCount {
	c.outDC = maps.Clone(c.outDC)
	c.total++
	if active {
		c.active++
	} else {
		c.outDC[vm.DC]++
	}
	return c
}

// bound is one limit of a budget and the VMs that may still go out under it,
// negative when the limit is broken.
type bound struct {
	name  string
	slack int
}

func bounds(b spec.Budget, c poolCount) []bound {
	var out []bound
	if b.MinAvailable > 0 {
		out = append(out, bound{fmt.Sprintf("MinAvailable %d", b.MinAvailable), c.active - b.MinAvailable})
	}
	if b.MinAvailablePercent > 0 {
		need := (c.total*b.MinAvailablePercent + 99) / 100
		out = append(out, bound{fmt.Sprintf("MinAvailablePercent %d", b.MinAvailablePercent), c.active - need})
	}
	if b.MaxUnavailable > 0 {
		out = append(out, bound{fmt.Sprintf("MaxUnavailable %d", b.MaxUnavailable), b.MaxUnavailable - (c.total - c.active)})
	}
	return out
}

func dcBounds(b spec.Budget, c poolCount) []bound {
	var out []bound
	for _, dc := range sortedKeys(c.outDC) {
		if b.MaxUnavailablePerDC > 0 {
			name := fmt.Sprintf("MaxUnavailablePerDC %d in %s", b.MaxUnavailablePerDC, dc)
			out = append(out, bound{name, b.MaxUnavailablePerDC - c.outDC[dc]})
		}
	}
	return out
}

// checkChange returns an error if a voluntary change takes an active VM from the pool and a budget
// is broken after it, even in another data centre: after a large failure voluntary acts stop.
// A change that takes none always passes, so that VMs can return after failures.
func (s *State) checkChange(pool string, before, after poolCount) error {
	if after.active >= before.active {
		return nil
	}
	for _, svc := range s.Config.Fleet.Services {
		if svc.Pool != pool {
			continue
		}
		for _, b := range append(bounds(svc.Budget, after), dcBounds(svc.Budget, after)...) {
			if b.slack < 0 {
				return fmt.Errorf("budget of service %q: %s would be broken, %d of %d VMs active",
					svc.Name, b.name, after.active, after.total)
			}
		}
	}
	return nil
}

// checkDrainBudget checks the pool while the VM is out and, for a move, after it is gone.
func (s *State) checkDrainBudget(vm *VM, move bool) error {
	before := s.count(vm.Pool)
	gone := before.without(vm)
	if err := s.checkChange(vm.Pool, before, gone.with(vm, false)); err != nil {
		return err
	}
	if move {
		return s.checkChange(vm.Pool, before, gone)
	}
	return nil
}

func (s *State) checkAssignBudget(vm *VM, to string) error {
	if to == vm.Pool {
		return nil
	}
	source, target := s.count(vm.Pool), s.count(to)
	if err := s.checkChange(vm.Pool, source, source.without(vm)); err != nil {
		return err
	}
	return s.checkChange(to, target, target.with(vm, true))
}

// CanDrain reports whether a voluntary drain of the VM would be accepted now, or why not.
func (s *State) CanDrain(id string) (bool, string) { return s.CanDrainAfter(id, nil) }

// CanDrainAfter is like CanDrain after the drains of the VMs in out, which are
// decided but not folded yet.
func (s *State) CanDrainAfter(id string, out []string) (bool, string) {
	vm := s.VMs[id]
	if vm == nil {
		return false, fmt.Sprintf("VM %q does not exist", id)
	}
	if vm.Phase != Active && vm.Phase != Failed && vm.Phase != Unknown {
		return false, fmt.Sprintf("VM %q is %s", id, vm.Phase)
	}
	before := s.count(vm.Pool)
	for _, o := range out {
		if w := s.VMs[o]; w != nil && o != id && w.Pool == vm.Pool && w.Phase == Active {
			before = before.without(w).with(w, false)
		}
	}
	if err := s.checkChange(vm.Pool, before, before.without(vm).with(vm, false)); err != nil {
		return false, err.Error()
	}
	return true, ""
}

// BudgetStatus is the standing of a service's budget.
type BudgetStatus struct {
	Service     string
	Pool        string
	Budget      spec.Budget
	Total       int // VMs in the pool
	Available   int
	Unavailable int
	AllowedNow  int // VMs that may be drained now, over all data centres
	DCs         []DCBudget
	Broken      []string // limits that failures have broken
}

// DCBudget is the part of a budget in one data centre.
type DCBudget struct {
	DC          string
	Unavailable int
	AllowedNow  int
}

// Budgets returns the standing of all services in the order of the configuration.
func (s *State) Budgets() []BudgetStatus {
	out := make([]BudgetStatus, 0, len(s.Config.Fleet.Services))
	for _, svc := range s.Config.Fleet.Services {
		out = append(out, s.budgetStatus(svc))
	}
	return out
}

// Budget returns the standing of one service.
func (s *State) Budget(service string) (BudgetStatus, bool) {
	for _, svc := range s.Config.Fleet.Services {
		if svc.Name == service {
			return s.budgetStatus(svc), true
		}
	}
	return BudgetStatus{}, false
}

func (s *State) budgetStatus(svc spec.Service) BudgetStatus {
	c := s.count(svc.Pool)
	st := BudgetStatus{
		Service: svc.Name, Pool: svc.Pool, Budget: svc.Budget,
		Total: c.total, Available: c.active, Unavailable: c.total - c.active,
	}
	st.AllowedNow = c.active
	for _, b := range bounds(svc.Budget, c) {
		st.AllowedNow = min(st.AllowedNow, max(b.slack, 0))
		if b.slack < 0 {
			st.Broken = append(st.Broken, b.name)
		}
	}
	for _, b := range dcBounds(svc.Budget, c) {
		if b.slack < 0 {
			st.Broken = append(st.Broken, b.name)
		}
	}
	if len(st.Broken) > 0 {
		st.AllowedNow = 0
	}
	st.addDCs(s.activeByDC(svc.Pool), c)
	return st
}

// addDCs adds the part of each data centre and limits AllowedNow to their sum.
func (st *BudgetStatus) addDCs(active map[string]int, c poolCount) {
	sum := 0
	for _, dc := range sortedKeys(active) {
		allowed := min(active[dc], st.AllowedNow)
		if limit := st.Budget.MaxUnavailablePerDC; limit > 0 {
			allowed = min(allowed, max(limit-c.outDC[dc], 0))
		}
		sum += allowed
		st.DCs = append(st.DCs, DCBudget{DC: dc, Unavailable: c.outDC[dc], AllowedNow: allowed})
	}
	st.AllowedNow = min(st.AllowedNow, sum)
}

// activeByDC counts the active VMs of a pool in each data centre that holds any of its VMs.
func (s *State) activeByDC(pool string) map[string]int {
	out := map[string]int{}
	for _, vm := range s.pools[pool] {
		if vm.Phase == Active {
			out[vm.DC]++
		} else {
			out[vm.DC] += 0
		}
	}
	return out
}
