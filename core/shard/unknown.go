package shard

import "sassafrasvalve/core/jobs"

// idleIntervalMs is how long the sums of the items that an earlier owner may have started are used.
const idleIntervalMs = 100

// unknownUse is what accounts may use without the engine's knowledge after a takeover. An earlier owner may have started any item
// that it had not recorded as started, but each of them once at most, and only on a VM that has not listed its runs since.
type unknownUse struct {
	unpolled   jobs.Amount                 // capacity of the VMs that have not listed their runs
	incomplete bool                        // there may be more of these VMs
	own        map[*accountUse]jobs.Amount // what is counted on these VMs
	idle       map[*accountUse]jobs.Amount // inherited items that are not counted
	// orphans is the capacity of the VMs that have listed runs of jobs which had ended before the takeover. Nothing tells to which
	// account these belong.
	orphans      jobs.Amount
	countedThere map[*accountUse]jobs.Amount // what is counted there
}

// of returns what an account may use beside what is counted.
func (u *unknownUse) of(a *accountUse) jobs.Amount {
	started := u.idle[a]
	if !u.incomplete {
		started = least(started, within(plus(u.unpolled, u.own[a], -1)))
	}
	return within(plus(within(plus(u.orphans, u.countedThere[a], -1)), started, 1))
}

// least returns the lower amount of each resource.
func least(a, b jobs.Amount) jobs.Amount {
	return jobs.Amount{CPU: min(a.CPU, b.CPU), MemMB: min(a.MemMB, b.MemMB), GPU: min(a.GPU, b.GPU)}
}

// addVM adds the capacity of a VM to a sum, and what is counted there to the accounts.
func addVM(sum *jobs.Amount, counted map[*accountUse]jobs.Amount, v *vm) {
	*sum = plus(*sum, v.capacity(), 1)
	for _, it := range v.runs {
		if a := it.job.use; a != nil {
			counted[a] = plus(counted[a], amountOf(it.stepDef), 1)
		}
	}
}

// measureUnknown returns what accounts may use on VMs that have not listed their runs to this owner, and on VMs that have listed runs
// of jobs that had ended before the takeover.
func (e *Engine) measureUnknown(now int64) unknownUse {
	var u unknownUse
	p := &e.initialPolls
	recent := now-e.createdAt < e.bounds.earlierLeaseMs
	if !p.pending && !recent {
		return u
	}
	u.own, u.countedThere = map[*accountUse]jobs.Amount{}, map[*accountUse]jobs.Amount{}
	u.incomplete = p.pending && p.vms == nil
	var largest jobs.Amount
	for _, v := range e.vms {
		c := v.capacity()
		largest = jobs.Amount{CPU: max(largest.CPU, c.CPU), MemMB: max(largest.MemMB, c.MemMB), GPU: max(largest.GPU, c.GPU)}
		switch {
		case recent && v.orphanRuns > 0:
			addVM(&u.orphans, u.countedThere, v)
		case p.pending && p.vms[v.ID]:
			addVM(&u.unpolled, u.own, v)
		}
	}
	if !p.pending {
		return u
	}
	for id := range p.vms {
		if v := e.vms[id]; v == nil || v.CPU == 0 { // on a machine, but not in the VM list
			u.unpolled = plus(u.unpolled, largest, 1)
			u.incomplete = u.incomplete || largest.CPU == 0
		}
	}
	u.idle = e.inheritedIdle(now)
	return u
}

// inheritedIdle returns for each account the sum of the items that an earlier owner may have started without recording it.
func (e *Engine) inheritedIdle(now int64) map[*accountUse]jobs.Amount {
	if e.idle != nil && now < e.idleAt+idleIntervalMs {
		return e.idle
	}
	e.idle, e.idleAt = map[*accountUse]jobs.Amount{}, now
	for _, j := range e.jobs {
		if j.use == nil || !j.inherited {
			continue
		}
		for _, it := range j.orderedItems {
			if !it.done && it.counted == 0 {
				e.idle[j.use] = plus(e.idle[j.use], amountOf(it.stepDef), 1)
			}
		}
	}
	return e.idle
}
