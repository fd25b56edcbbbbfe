package shard

import (
	"maps"
	"slices"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/share"
)

const (
	// minShareItemMs is the shortest time that an item counts for, in milliseconds. Estimates are the callers', and items without one
	// would all be within the share of their account.
	minShareItemMs = 100
	// shareMemoryMs is how long an account takes part in the division of the demand after its last work, in milliseconds: a whole cycle
	// of demand (16 s) and a turn. Otherwise the backlog of a flood would be within the share once the others' turn is over.
	shareMemoryMs = 20_000
)

// poolShares tracks the work of the client accounts in a pool. Work is an amount of an item's dominant resource, which is the one of
// which it takes the largest part of the pool, times milliseconds. It is measured as the CPU that is the same part of the pool's, in
// thousandths of a core. The zero value tracks none.
type poolShares struct {
	accounts  map[string]*accountWork // of accounts with work within shareMemoryMs
	elsewhere map[string]float64
	capacity  jobs.Amount // of the pool's VMs
	vms       int
	sampledAt int64
	demand    shareDemand
}

// accountWork is the work of one account in a pool.
type accountWork struct {
	served share.Window
	seenAt int64 // time at which it last had work

	// Values that are computed anew whenever they are used.
	running, waiting, left int64
	demand                 int64 // thousandths of a core
}

// SetServedElsewhere sets the work that accounts got in other pools within the last share.WindowMs, in thousandths of a core times
// milliseconds. An account that got more than its share over all pools yields here. nil means that none got any.
func (e *Engine) SetServedElsewhere(work map[string]float64) { e.shares.elsewhere = work }

// hasAccounts reports whether the configuration has client accounts.
func (e *Engine) hasAccounts() bool { return e.catalog != nil && e.catalog.Accounts.Len() > 0 }

// account returns the work of an account, which has some now.
func (s *poolShares) account(name string, now int64) *accountWork {
	a := s.accounts[name]
	if a == nil {
		if s.accounts == nil {
			s.accounts = map[string]*accountWork{}
		}
		a = &accountWork{}
		s.accounts[name] = a
	}
	a.seenAt = now
	return a
}

// rate returns the amount of its dominant resource that an item of a step uses.
func (s *poolShares) rate(step *jobs.Step) int64 {
	var rate int64
	if !step.Fill {
		rate = step.CPU
	}
	c := &s.capacity
	if c.MemMB > 0 {
		rate = max(rate, step.MemMB*c.CPU/c.MemMB)
	}
	if c.GPU > 0 {
		rate = max(rate, step.GPU*c.CPU/c.GPU)
	}
	return rate
}

// shareMs returns the time that an item of a step counts for. Persistent items count for a whole window.
func shareMs(step *jobs.Step) int64 {
	if step.Persistent {
		return share.WindowMs
	}
	return min(max(step.EstimateMs, minShareItemMs), share.WindowMs)
}

// sampleShares adds the work since the last sample, by what runs now.
func (e *Engine) sampleShares(now int64) {
	s := &e.shares
	if !e.hasAccounts() {
		*s = poolShares{elsewhere: s.elsewhere}
		return
	}
	s.capacity, s.vms = jobs.Amount{}, 0
	for _, v := range e.vms {
		if v.listed && v.polled {
			s.capacity.CPU, s.capacity.MemMB, s.capacity.GPU = s.capacity.CPU+v.CPU, s.capacity.MemMB+v.MemMB, s.capacity.GPU+v.GPU
			s.vms++
		}
	}
	elapsed := min(now-s.sampledAt, share.WindowMs)
	s.sampledAt = now
	for _, v := range e.vms {
		for _, it := range v.runs {
			if it.job.Account != "" {
				s.account(it.job.Account, now).served.Add(s.rate(it.stepDef)*elapsed, now)
			}
		}
	}
	maps.DeleteFunc(s.accounts, func(_ string, a *accountWork) bool { return now-a.seenAt > shareMemoryMs })
}

// orderByShare returns sorted candidates so that, in each tier, work beyond the share of its account comes after all other work. A
// job whose items are partly within the share is in the result twice. Without accounts, or if there is room for all, the order is
// unchanged.
func (e *Engine) orderByShare(list []candidate, p *placement, now int64) []candidate {
	if !e.hasAccounts() || !e.divideRoom(list, p, now) {
		return list
	}
	out := make([]candidate, 0, len(list)+len(e.shares.accounts))
	var beyond []candidate
	for i, c := range list {
		if i > 0 && c.tier != list[i-1].tier {
			out, beyond = append(out, beyond...), beyond[:0]
		}
		n := len(c.ready)
		if c.job.Account != "" {
			n = e.shares.takeShare(e.shares.accounts[c.job.Account], c.ready)
		}
		if n > 0 {
			within := c
			within.ready = c.ready[:n]
			out = append(out, within)
		}
		if n < len(c.ready) {
			c.ready = c.ready[n:]
			beyond = append(beyond, c)
		}
	}
	return append(out, beyond...)
}

// takeShare returns how many of the first items are within what is left of the share of an account, and takes them from it. The last
// one may exceed it, and a gang is not divided.
func (s *poolShares) takeShare(a *accountWork, ready []*item) int {
	n := 0
	for n < len(ready) && a.left > 0 {
		step := sameStep(ready[n:])
		cost := s.rate(step[0].stepDef) * shareMs(step[0].stepDef)
		count := int64(len(step))
		if !step[0].stepDef.Gang && cost > 0 {
			count = min(count, (a.left+cost-1)/cost)
		}
		a.left -= count * cost
		n += int(count)
	}
	return n
}

// divideRoom computes for each account the work that may start within its share. It returns false if there is room for all
// candidates.
func (e *Engine) divideRoom(list []candidate, p *placement, now int64) bool {
	s := &e.shares
	for _, a := range s.accounts {
		a.running, a.waiting = 0, 0
	}
	var all waitingItems
	unowned := int64(0) // work of no account
	for _, c := range list {
		work := &unowned
		if c.job.Account != "" {
			work = &s.account(c.job.Account, now).waiting
		}
		for ready := c.ready; len(ready) > 0; {
			step := sameStep(ready)
			ready = ready[len(step):]
			*work += all.add(step[0].stepDef, int64(len(step)), s)
		}
	}
	count := all.countRoom(p.usable)
	if count >= all.count {
		return false
	}
	for _, v := range e.vms {
		for _, it := range v.runs {
			if it.job.Account != "" {
				s.account(it.job.Account, now).running += s.rate(it.stepDef) * shareRemainingMs(it, now)
			}
		}
	}
	names := slices.Sorted(maps.Keys(s.accounts))
	accounts := make([]share.Account, len(names))
	for i, name := range names {
		a := s.accounts[name]
		accounts[i] = share.Account{
			Weight: e.accountWeight(name), Served: float64(a.served.Sum(now)) + s.elsewhere[name], Running: float64(a.running),
			Waiting: float64(a.waiting),
		}
	}
	room := max(count*(all.work/all.count)-unowned, 0)
	for i, work := range share.Startable(accounts, float64(room)) {
		s.accounts[names[i]].left = int64(work)
	}
	return true
}

// accountWeight returns the weight of an account. Jobs of an account that the configuration no longer has get what others leave.
func (e *Engine) accountWeight(name string) float64 {
	if a := e.catalog.Accounts.ByName(name); a != nil {
		return a.Weight
	}
	return 0
}

// shareRemainingMs returns the time that a running item still counts for.
func shareRemainingMs(it *item, now int64) int64 {
	if it.stepDef.Persistent {
		return max(share.WindowMs-(now-it.phaseSince), 0)
	}
	return min(it.remainingMs(now), share.WindowMs)
}

// waitingItems is the sum over items that wait.
type waitingItems struct {
	count, cpu, memMB, work int64
}

// add adds items of a step and returns their work.
func (w *waitingItems) add(step *jobs.Step, count int64, s *poolShares) int64 {
	if !step.Fill {
		w.cpu += count * step.CPU
	}
	w.memMB += count * step.MemMB
	work := count * s.rate(step) * shareMs(step)
	w.count, w.work = w.count+count, w.work+work
	return work
}

// countRoom returns for how many items of the mean size VMs have room, at most for all.
func (w *waitingItems) countRoom(usable []*vm) int64 {
	cpu, memMB := max(w.cpu/max(w.count, 1), 1), max(w.memMB/max(w.count, 1), 1)
	var n int64
	for _, v := range usable {
		n += max(min((v.CPU-v.usedCPU)/cpu, (v.MemMB-v.usedMemMB)/memMB), 0)
	}
	return min(n, w.count)
}
