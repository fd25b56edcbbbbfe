package fleet

import (
	"fmt"
	"maps"

	"sassafrasvalve/core/spec"
)

// poolCount counts the VMs of a pool. Only active VMs are available.
type poolCount struct {
	total           int
	active          int
	unavailableByDC map[string]int // by data centre
}

func (s *State) countPool(pool string) poolCount {
	c := poolCount{unavailableByDC: map[string]int{}}
	for _, vm := range s.pools[pool] {
		c.total++
		if vm.Phase == Active {
			c.active++
		} else {
			c.unavailableByDC[vm.DC]++
		}
	}
	return c
}

// without returns the counts of the pool without the VM.
func (c poolCount) without(vm *VM) poolCount {
	c.unavailableByDC = maps.Clone(c.unavailableByDC)
	c.total--
	if vm.Phase == Active {
		c.active--
	} else {
		c.unavailableByDC[vm.DC]--
	}
	return c
}

// with returns the counts of the pool with the VM added, as active or unavailable.
func (c poolCount) with(vm *VM, active bool) poolCount {
	c.unavailableByDC = maps.Clone(c.unavailableByDC)
	c.total++
	if active {
		c.active++
	} else {
		c.unavailableByDC[vm.DC]++
	}
	return c
}

// limitRoom is one limit of a budget and the number of VMs that may still become unavailable under it.
// The number is negative if the limit is broken.
type limitRoom struct {
	name string
	room int
}

func poolLimits(b spec.Budget, c poolCount) []limitRoom {
	var out []limitRoom
	if b.MinAvailable > 0 {
		out = append(out, limitRoom{fmt.Sprintf("MinAvailable %d", b.MinAvailable), c.active - b.MinAvailable})
	}
	if b.MinAvailablePercent > 0 {
		minActive := (c.total*b.MinAvailablePercent + 99) / 100
		out = append(out, limitRoom{fmt.Sprintf("MinAvailablePercent %d", b.MinAvailablePercent), c.active - minActive})
	}
	if b.MaxUnavailable > 0 {
		out = append(out, limitRoom{fmt.Sprintf("MaxUnavailable %d", b.MaxUnavailable), b.MaxUnavailable - (c.total - c.active)})
	}
	return out
}

func dcLimits(b spec.Budget, c poolCount) []limitRoom {
	var out []limitRoom
	for _, dc := range sortedKeys(c.unavailableByDC) {
		if b.MaxUnavailablePerDC > 0 {
			name := fmt.Sprintf("MaxUnavailablePerDC %d in %s", b.MaxUnavailablePerDC, dc)
			out = append(out, limitRoom{name, b.MaxUnavailablePerDC - c.unavailableByDC[dc]})
		}
	}
	return out
}

// checkBudgets returns an error if a voluntary change leaves the pool with fewer active VMs and a budget
// is broken after it. The limits of all data centres count, so that voluntary changes stop after a large failure.
// A change that does not reduce the active VMs is always allowed, so that VMs can return after failures.
func (s *State) checkBudgets(pool string, before, after poolCount) error {
	if after.active >= before.active {
		return nil
	}
	for _, svc := range s.Config.Fleet.Services {
		if svc.Pool != pool {
			continue
		}
		for _, b := range append(poolLimits(svc.Budget, after), dcLimits(svc.Budget, after)...) {
			if b.room < 0 {
				return fmt.Errorf("budget of service %q: %s would be broken, %d of %d VMs active",
					svc.Name, b.name, after.active, after.total)
			}
		}
	}
	return nil
}

// checkDrainBudget checks the budgets of the pool with the VM unavailable and, for a move, without the VM.
func (s *State) checkDrainBudget(vm *VM, move bool) error {
	before := s.countPool(vm.Pool)
	removed := before.without(vm)
	if err := s.checkBudgets(vm.Pool, before, removed.with(vm, false)); err != nil {
		return err
	}
	if move {
		return s.checkBudgets(vm.Pool, before, removed)
	}
	return nil
}

func (s *State) checkAssignBudget(vm *VM, to string) error {
	if to == vm.Pool {
		return nil
	}
	source, target := s.countPool(vm.Pool), s.countPool(to)
	if err := s.checkBudgets(vm.Pool, source, source.without(vm)); err != nil {
		return err
	}
	return s.checkBudgets(to, target, target.with(vm, true))
}

// CanDrain reports whether a voluntary drain of the VM would be accepted now. If not, it returns the reason.
func (s *State) CanDrain(id string) (bool, string) { return s.CanDrainAfter(id, nil) }

// CanDrainAfter is like CanDrain, but counts the VMs in out as unavailable:
// their drains or failures are decided but not folded yet.
func (s *State) CanDrainAfter(id string, out []string) (bool, string) {
	vm := s.VMs[id]
	if vm == nil {
		return false, fmt.Sprintf("VM %q does not exist", id)
	}
	if vm.Phase != Active && vm.Phase != Failed && vm.Phase != Unknown {
		return false, fmt.Sprintf("VM %q is %s", id, vm.Phase)
	}
	before := s.countPool(vm.Pool)
	for _, o := range out {
		if other := s.VMs[o]; other != nil && o != id && other.Pool == vm.Pool && other.Phase == Active {
			before = before.without(other).with(other, false)
		}
	}
	if err := s.checkBudgets(vm.Pool, before, before.without(vm).with(vm, false)); err != nil {
		return false, err.Error()
	}
	return true, ""
}

// BudgetStatus is the current use of a service's budget.
type BudgetStatus struct {
	Service     string
	Pool        string
	Budget      spec.Budget
	Total       int // VMs in the pool
	Available   int
	Unavailable int
	AllowedNow  int // VMs of all data centres that may be drained now
	DCs         []DCBudget
	Broken      []string // limits that failures have broken
}

// DCBudget is the use of a budget in one data centre.
type DCBudget struct {
	DC          string
	Unavailable int
	AllowedNow  int
}

// Budgets returns the budget status of all services in the order of the configuration.
func (s *State) Budgets() []BudgetStatus {
	out := make([]BudgetStatus, 0, len(s.Config.Fleet.Services))
	for _, svc := range s.Config.Fleet.Services {
		out = append(out, s.budgetStatus(svc))
	}
	return out
}

// Budget returns the budget status of one service, and false if the service does not exist.
func (s *State) Budget(service string) (BudgetStatus, bool) {
	for _, svc := range s.Config.Fleet.Services {
		if svc.Name == service {
			return s.budgetStatus(svc), true
		}
	}
	return BudgetStatus{}, false
}

func (s *State) budgetStatus(svc spec.Service) BudgetStatus {
	c := s.countPool(svc.Pool)
	st := BudgetStatus{
		Service: svc.Name, Pool: svc.Pool, Budget: svc.Budget,
		Total: c.total, Available: c.active, Unavailable: c.total - c.active,
	}
	st.AllowedNow = c.active
	for _, b := range poolLimits(svc.Budget, c) {
		st.AllowedNow = min(st.AllowedNow, max(b.room, 0))
		if b.room < 0 {
			st.Broken = append(st.Broken, b.name)
		}
	}
	for _, b := range dcLimits(svc.Budget, c) {
		if b.room < 0 {
			st.Broken = append(st.Broken, b.name)
		}
	}
	if len(st.Broken) > 0 {
		st.AllowedNow = 0
	}
	st.addDCBudgets(s.activeByDC(svc.Pool), c)
	return st
}

// addDCBudgets adds the status of each data centre and limits AllowedNow to the sum of theirs.
func (st *BudgetStatus) addDCBudgets(active map[string]int, c poolCount) {
	sum := 0
	for _, dc := range sortedKeys(active) {
		allowed := min(active[dc], st.AllowedNow)
		if limit := st.Budget.MaxUnavailablePerDC; limit > 0 {
			allowed = min(allowed, max(limit-c.unavailableByDC[dc], 0))
		}
		sum += allowed
		st.DCs = append(st.DCs, DCBudget{DC: dc, Unavailable: c.unavailableByDC[dc], AllowedNow: allowed})
	}
	st.AllowedNow = min(st.AllowedNow, sum)
}

// activeByDC returns the number of active VMs of a pool for each data centre with any VM of the pool.
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
