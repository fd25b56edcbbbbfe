package shard

import (
	"maps"
	"slices"

	"sassafrasvalve/core/jobs"
)

// shareDemand is the part of a pool's demand that is within the shares of its accounts.
type shareDemand struct {
	total    int64    // thousandths of a core that the jobs of all accounts, and of none, ask for
	unowned  int64    // those of jobs of no account
	recent   []sample // newest numbers of VMs
	vms      int      // VMs wanted for work within the shares, 0 if these are all wanted VMs
	largest  [2]int   // largest number of VMs of the pool in the present and in the last shareMemoryMs
	nextAt   int64    // end of the present shareMemoryMs
	fleetVMs int      // as set by SetFleetVMs
}

// SetFleetVMs sets the number of VMs of all pools, which is what the pool could get at most, 0 if unknown. If it is unknown, the pool's
// own size within the last turns stands for it.
func (e *Engine) SetFleetVMs(n int) { e.shares.demand.fleetVMs = n }

// resetDemand begins a new measurement of the accounts' demand.
func (s *poolShares) resetDemand() {
	s.demand.total, s.demand.unowned = 0, 0
	for _, a := range s.accounts {
		a.demand = 0
	}
}

// addShareDemand adds the outstanding work of a job, in core-milliseconds, and the CPU that its items request, in thousandths of a
// core.
func (e *Engine) addShareDemand(j *job, work, cpu, now int64) {
	if !e.hasAccounts() {
		return
	}
	s := &e.shares
	cpu = min(work*1000/backlogDrainMs, cpu)
	s.demand.total += cpu
	if j.Account == "" {
		s.demand.unowned += cpu
		return
	}
	s.account(j.Account, now).demand += cpu
}

// updateShareDemand computes the number of VMs wanted for work within the shares, after the number of all wanted VMs. An account's
// share is the part of the largest pool that its weight is of the weights of all accounts that had work here within shareMemoryMs.
// What others leave of their shares is not added: the machine controller divides that among all pools.
func (e *Engine) updateShareDemand(d requiredResources, floor int, vmCPU, now int64) {
	s := &e.shares
	s.demand.updateLargest(s.vms, now)
	if !e.hasAccounts() || s.demand.total == 0 {
		s.demand.vms, s.demand.recent = 0, nil
		return
	}
	largest := s.demand.fleetVMs
	if largest == 0 {
		largest = max(s.demand.largest[0], s.demand.largest[1])
	}
	var weights float64
	names := slices.Sorted(maps.Keys(s.accounts)) // sums of floating-point numbers depend on the order
	for _, name := range names {
		weights += e.accountWeight(name)
	}
	perWeight := 0.0
	if weights > 0 {
		perWeight = float64(int64(largest)*vmCPU) * targetUsePercent / 100 / weights
	}
	// The whole demand includes a forecast, which is attributed to the accounts in proportion.
	scale := float64(d.batchCPU) / float64(s.demand.total)
	within := float64(s.demand.unowned) * scale
	for _, name := range names {
		within += min(float64(s.accounts[name].demand)*scale, e.accountWeight(name)*perWeight)
	}
	vms := max(floor, 1, int((int64(within)*100/targetUsePercent+d.persistentCPU+vmCPU-1)/vmCPU)) // 0 stands for all
	if e.demand.heldVMs > 0 {
		vms = max(vms, s.demand.vms) // as the held demand
	}
	s.demand.vms = addRecent(&s.demand.recent, vms, now)
	if s.demand.vms >= e.demand.wantedVMs {
		s.demand.vms = 0
	}
}

// updateLargest records the number of VMs of the pool.
func (d *shareDemand) updateLargest(vms int, now int64) {
	if now >= d.nextAt {
		d.largest, d.nextAt = [2]int{0, d.largest[0]}, now+shareMemoryMs
	}
	d.largest[0] = max(d.largest[0], vms)
}

// wantsChanged reports whether the numbers of VMs of two demand reports differ.
func wantsChanged(a, b *jobs.DemandReport) bool {
	return a.Want != b.Want || a.Min != b.Min || a.WithinShare != b.WithinShare
}
