package shard

import "sassafrasvalve/core/jobs"

// unknownUse is what accounts may use without the engine's knowledge after a takeover.
type unknownUse struct {
	total      jobs.Amount // capacity of the VMs whose runs are not known
	incomplete bool        // there may be more of these VMs
	own        map[*accountUse]jobs.Amount
}

// of returns what an account may use beside what is counted, for decisions.
func (u *unknownUse) of(a *accountUse) jobs.Amount {
	if u.incomplete {
		return jobs.Amount{CPU: NoLimit, MemMB: NoLimit, GPU: NoLimit}
	}
	return u.known(a)
}

// known returns what an account may use on the known VMs beside what is counted there.
func (u *unknownUse) known(a *accountUse) jobs.Amount { return within(plus(u.total, u.own[a], -1)) }

// add adds a VM whose runs are not known.
func (u *unknownUse) add(v *vm) {
	u.total = plus(u.total, v.capacity(), 1)
	for _, it := range v.runs {
		if a := it.job.use; a != nil {
			if u.own == nil {
				u.own = map[*accountUse]jobs.Amount{}
			}
			u.own[a] = plus(u.own[a], amountOf(it.stepDef), 1)
		}
	}
}

// measureUnknown returns what accounts may use on VMs that have not listed their runs to this owner, and on VMs that have listed runs
// of jobs that had ended before the takeover. Nothing tells to which account these belong.
func (e *Engine) measureUnknown(now int64) unknownUse {
	var u unknownUse
	p := &e.initialPolls
	recent := now-e.createdAt < earlierLeaseMs
	if !p.pending && !recent {
		return u
	}
	u.incomplete = p.pending && p.vms == nil
	var largest jobs.Amount
	for _, v := range e.vms {
		c := v.capacity()
		largest = jobs.Amount{CPU: max(largest.CPU, c.CPU), MemMB: max(largest.MemMB, c.MemMB), GPU: max(largest.GPU, c.GPU)}
		if p.pending && (p.vms == nil || p.vms[v.ID]) || recent && v.strangerRuns > 0 {
			u.add(v)
		}
	}
	if !p.pending {
		return u
	}
	for id := range p.vms {
		if v := e.vms[id]; v == nil || v.CPU == 0 { // on a machine, but not in the VM list
			u.total = plus(u.total, largest, 1)
			u.incomplete = u.incomplete || largest.CPU == 0
		}
	}
	return u
}
