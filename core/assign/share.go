package assign

import (
	"maps"
	"math"
	"slices"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Parameters of the division of the machines among pools that together want more than there are.
const (
	// maxUrgencySteps bounds the differences of urgency that count: each step doubles the weight of what a pool wants.
	maxUrgencySteps = 4
	// shareTolerancePercent is the part of its share by which a pool may exceed it before its owner is told, and the
	// change of a share that is recorded.
	shareTolerancePercent = 5
)

// divideMachines returns the number of machines that each pool may have while the pools together want more than there
// are, and nil otherwise. What a pool needs for its persistent items comes first. The rest is divided by what the pools
// want beyond that, so that no kind of work goes without while another has all it asks for. Work beyond the shares of its
// accounts gets what all work within the shares leaves. A pool without a report keeps the machines that it has, and has no share.
func (c *Controller) divideMachines(have map[string]int) map[string]int {
	available, wanted := c.countAvailable(), 0
	shares := map[string]int{}
	for i := range c.view.Pools {
		p := &c.view.Pools[i]
		if p.Spare {
			continue
		}
		if p.Unreported {
			wanted += have[p.Pool]
			available -= have[p.Pool]
			continue
		}
		wanted += max(p.Report.Want, p.Report.Min)
		shares[p.Pool] = p.Report.Min
		available -= p.Report.Min
	}
	if wanted <= c.countAvailable() {
		return nil
	}
	available = c.divideRest(shares, (*jobs.DemandReport).WantWithinShare, available)
	c.divideRest(shares, func(r *jobs.DemandReport) int { return r.Want }, available)
	return shares
}

// divideRest adds the available machines to the shares of the pools that want more, in proportion to how much more, weighted by
// urgency. A pool gets no more than it wants, and the others get what it leaves. It returns the number of machines that no pool
// wants.
func (c *Controller) divideRest(shares map[string]int, want func(*jobs.DemandReport) int, available int) int {
	open := map[string]float64{} // weighted wants of the pools that get less than they want
	least := c.leastUrgency()
	for i := range c.view.Pools {
		p := &c.view.Pools[i]
		if more := want(&p.Report) - shares[p.Pool]; more > 0 && !p.Spare {
			open[p.Pool] = float64(more) * math.Exp2(float64(min(p.Report.Urgent-least, maxUrgencySteps)))
		}
	}
	for available > 0 && len(open) > 0 {
		var sum float64
		for _, w := range open {
			sum += w
		}
		satisfied, rest := false, available
		for pool, w := range open {
			if more := want(&c.poolDemand(pool).Report) - shares[pool]; float64(more) <= float64(available)*w/sum {
				shares[pool] += more
				rest -= more
				delete(open, pool)
				satisfied = true
			}
		}
		if !satisfied {
			for pool, w := range open {
				shares[pool] += int(float64(available) * w / sum)
			}
			return 0
		}
		available = rest
	}
	return available
}

// countAvailable returns the number of machines that have a VM or will soon have one.
func (c *Controller) countAvailable() int {
	n := 0
	for _, m := range c.machines {
		if m.listed && m.upkeepWave == 0 && (m.State != pools.MachineDown || m.targetPool != "") {
			n++
		}
	}
	return n
}

// leastUrgency returns the lowest urgency of the pools that have jobs which end by themselves, 0 if none has.
func (c *Controller) leastUrgency() int64 {
	var least int64
	for i := range c.view.Pools {
		if u := c.view.Pools[i].Report.Urgent; u > 0 && (least == 0 || u < least) {
			least = u
		}
	}
	return least
}

// updateLimits divides the machines, and has the shares of the pools that hold more than theirs recorded, so that their
// owners give machines up.
func (c *Controller) updateLimits(have map[string]int) {
	c.shares = c.divideMachines(have)
	var limits []jobs.PoolLimit
	for _, pool := range slices.Sorted(maps.Keys(c.shares)) {
		share := c.shares[pool]
		if have[pool] > share+share*shareTolerancePercent/100 {
			limits = append(limits, jobs.PoolLimit{Service: pool, VMs: share})
		}
	}
	if !slices.EqualFunc(limits, c.limits, similarLimits) {
		c.limits, c.vacateDirty = limits, true
	}
}

// similarLimits reports whether two limits are so close that the change need not be recorded.
func similarLimits(a, b jobs.PoolLimit) bool {
	diff := max(a.VMs-b.VMs, b.VMs-a.VMs)
	return a.Service == b.Service && diff*100 <= max(a.VMs, b.VMs)*shareTolerancePercent
}
