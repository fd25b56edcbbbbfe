package shard

import (
	"cmp"

	"sassafrasvalve/core/jobs"
)

// Allowances tells what client accounts may start in this shard. It is asked for jobs that belong to an account only.
type Allowances interface {
	// MayStart reports whether an account may start an item while it uses an amount in this shard. used includes what it may use
	// without the engine's knowledge. If an item is refused, so is each item that needs as much or more of every resource.
	MayStart(account string, used, item jobs.Amount) bool
}

// Rooms is an optional interface of Allowances. With it, work that its account may not start is no demand for VMs.
type Rooms interface {
	// Room returns what an account may start while it uses an amount in this shard, and false if the account has no limit. A
	// resource without a limit has NoLimit.
	Room(account string, used jobs.Amount) (room jobs.Amount, limited bool)
}

// NoLimit is an amount of a resource that stands for any amount. Sums of waiting work are cut to it, so that they stay within the
// range of int64.
const NoLimit = 1 << 50

// AccountUse is what a client account uses and wants in a shard.
type AccountUse struct {
	// Used is the sum over all items that are or may be on a VM: planned, started, being stopped, or behind a start that may still
	// be executed. An item that may run on two VMs counts twice.
	Used jobs.Amount
	// Unknown is what the account may use beside that, by what an earlier owner may have started without recording it.
	Unknown jobs.Amount
	Want    jobs.Amount // Used and the items that may start now, at most NoLimit of each resource
	Item    jobs.Amount // the smallest of these items by its CPU and memory, zero if there is none
	Running int         // runs that Used counts
	Waiting int         // items that may start now
	AtLimit int         // those of them that the last placement left out because of the allowance
}

// accountUse is what the engine counts for an account with jobs in this shard.
type accountUse struct {
	name    string
	jobs    int // jobs in memory
	used    jobs.Amount
	running int // runs that used counts
	rate    arrivalRate

	round   int64 // placement that the following fields belong to
	atLimit int   // items that it left out
	refused []jobs.Amount
}

// amountOf returns what an item of a step uses. The CPU of a fill item counts, although it needs no free CPU.
func amountOf(s *jobs.Step) jobs.Amount { return jobs.Amount{CPU: s.CPU, MemMB: s.MemMB, GPU: s.GPU} }

// capacity returns the resources of the VM.
func (v *vm) capacity() jobs.Amount { return jobs.Amount{CPU: v.CPU, MemMB: v.MemMB, GPU: v.GPU} }

// plus returns the sum of a and n times b.
func plus(a, b jobs.Amount, n int64) jobs.Amount {
	return jobs.Amount{CPU: a.CPU + n*b.CPU, MemMB: a.MemMB + n*b.MemMB, GPU: a.GPU + n*b.GPU}
}

// within returns an amount with each resource between 0 and NoLimit.
func within(a jobs.Amount) jobs.Amount {
	return jobs.Amount{CPU: min(max(a.CPU, 0), NoLimit), MemMB: min(max(a.MemMB, 0), NoLimit), GPU: min(max(a.GPU, 0), NoLimit)}
}

// atLeast reports whether a has as much as b of each resource.
func atLeast(a, b jobs.Amount) bool { return a.CPU >= b.CPU && a.MemMB >= b.MemMB && a.GPU >= b.GPU }

// useOf returns the count of an account, nil for no account.
func (e *Engine) useOf(account string) *accountUse {
	if account == "" {
		return nil
	}
	u := e.accounts[account]
	if u == nil {
		u = &accountUse{name: account}
		e.accounts[account] = u
	}
	return u
}

// addJob counts a job that was added for its account.
func (e *Engine) addJob(j *job, now int64) {
	if j.use = e.useOf(j.Account); j.use == nil {
		return
	}
	j.use.jobs++
	if e.rooms != nil && j.isArrival(now) {
		j.use.rate.add(j.arrivingWork(), now)
	}
}

// removeJob removes a job from the count of its account.
func (j *job) removeJob() {
	if j.use != nil {
		j.use.jobs--
	}
}

// forgetAccounts deletes the counts of accounts without jobs and runs.
func (e *Engine) forgetAccounts() {
	for name, u := range e.accounts {
		if u.jobs == 0 && u.running == 0 {
			delete(e.accounts, name)
		}
	}
}

// countRuns returns the number of runs of the item that may exist: one on the VM that it is assigned to, one by its open start if
// that is on another VM, and those that belong to it no more.
func (it *item) countRuns() int {
	n := 0
	if it.vm != nil {
		n++
	}
	if it.open.vm != "" && !it.isOn(it.open.vm) {
		n++
	}
	for i := range it.late {
		l := &it.late[i]
		if !it.isOn(l.vm) && it.open.vm != l.vm || l.run != 0 && l.run != it.run {
			n++
		}
	}
	return n
}

// isOn reports whether the item is assigned to a VM.
func (it *item) isOn(id string) bool { return it.vm != nil && it.vm.ID == id }

// updateUse updates the count of the item's account. It is called after each change of the item's VM, open start and late starts.
func (it *item) updateUse() {
	u := it.job.use
	if u == nil {
		return
	}
	if n := it.countRuns(); n != it.counted {
		u.used = plus(u.used, amountOf(it.stepDef), int64(n-it.counted))
		u.running += n - it.counted
		it.counted = n
	}
}

// mayStart reports whether the account of a job may start a group of its items, all of one step. An item that may run already, whose
// start is sent again, must have room as well: the limit may have been lowered since.
func (e *Engine) mayStart(j *job, group ...*item) bool {
	u := j.use
	if u == nil || e.cfg.Allowances == nil {
		return true
	}
	amount := amountOf(group[0].stepDef)
	used := plus(u.used, e.unknown.of(u), 1)
	for _, it := range group {
		if it.vm != nil || it.open.vm != "" {
			used = plus(used, amount, -1)
		}
		if !e.cfg.Allowances.MayStart(u.name, used, amount) {
			return false
		}
		used = plus(used, amount, 1)
	}
	return true
}

// beginRound prepares the counts of accounts for a placement.
func (e *Engine) beginRound(now int64) {
	if e.cfg.Allowances == nil || len(e.accounts) == 0 {
		return
	}
	e.round++
	e.unknown = e.measureUnknown(now)
}

// admits reports to a placement whether the account of a job may start a group of its items, and counts those that it may not. A
// placement only adds to what an account uses, so that it asks once for items which need as much.
func (e *Engine) admits(j *job, group []*item) bool {
	u := j.use
	if u == nil || e.cfg.Allowances == nil {
		return true
	}
	if u.round != e.round {
		u.round, u.atLimit, u.refused = e.round, 0, u.refused[:0]
	}
	amount, fresh := amountOf(group[0].stepDef), group[0].open.vm == ""
	if fresh {
		for _, r := range u.refused {
			if atLeast(amount, r) {
				u.atLimit += len(group)
				return false
			}
		}
	}
	if e.mayStart(j, group...) {
		return true
	}
	u.atLimit += len(group)
	if fresh && len(group) == 1 { // there may be room for a smaller group
		u.refused = append(u.refused, amount)
	}
	return false
}

// itemsAtLimit returns the number of items that the last placement left out.
func (e *Engine) itemsAtLimit(u *accountUse) int {
	if u == nil || u.round != e.round {
		return 0
	}
	return u.atLimit
}

// AccountUses returns what the accounts with jobs or runs in this shard use and want, by name. Work of jobs that wait until VMs of an
// earlier owner are polled counts as wanted.
func (e *Engine) AccountUses(now int64) map[string]AccountUse {
	uses := make(map[string]AccountUse, len(e.accounts))
	if len(e.accounts) == 0 {
		return uses
	}
	unknown := e.measureUnknown(now)
	for name, u := range e.accounts {
		uses[name] = AccountUse{
			Used: u.used, Unknown: unknown.of(u), Want: u.used, Running: u.running, AtLimit: e.itemsAtLimit(u),
		}
	}
	for _, j := range e.jobs {
		if j.use == nil || j.state.Final() {
			continue
		}
		ready := j.readyItems(now)
		if len(ready) == 0 {
			continue
		}
		a := uses[j.use.name]
		a.Waiting += len(ready)
		a.Item = smallerItem(a.Item, ready)
		for _, it := range ready {
			if it.open.vm == "" { // otherwise it counts as used
				a.Want = within(plus(a.Want, amountOf(it.stepDef), 1))
			}
		}
		uses[j.use.name] = a
	}
	return uses
}

// smallerItem returns the smallest of an amount, unless it is zero, and those of items.
func smallerItem(smallest jobs.Amount, items []*item) jobs.Amount {
	for _, it := range items {
		a := amountOf(it.stepDef)
		if smallest == (jobs.Amount{}) || cmp.Or(cmp.Compare(a.CPU, smallest.CPU), cmp.Compare(a.MemMB, smallest.MemMB)) < 0 {
			smallest = a
		}
	}
	return smallest
}

// OrphanUse returns what any account may use in this shard in addition, also one without jobs here: VMs have listed runs of jobs that
// had ended before the takeover.
func (e *Engine) OrphanUse(now int64) jobs.Amount {
	u := e.measureUnknown(now)
	return within(u.orphans)
}
