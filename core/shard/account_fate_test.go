package shard

import (
	"sassafrasvalve/core/jobs"
)

// checkUses guards against a run that is not counted for its account: the counts differ from a count of all items, or a VM runs more
// items of an account than the owner counts. A late run of a job that had ended before the takeover is left out, as no record tells its
// account.
func (p *fatePool) checkUses() {
	counts := map[*accountUse]*accountUse{}
	for _, u := range p.e.accounts {
		counts[u] = &accountUse{}
	}
	seen := map[*item]bool{}
	add := func(it *item) {
		if n := it.countRuns(); !seen[it] && it.job.use != nil && n > 0 {
			c := counts[it.job.use]
			if c == nil {
				p.violate("account %s of %s is forgotten", it.job.use.name, it.name)
				return
			}
			c.used, c.running = plus(c.used, amountOf(it.stepDef), int64(n)), c.running+n
		}
		seen[it] = true
	}
	for _, j := range p.e.jobs {
		for _, it := range j.orderedItems {
			add(it)
		}
	}
	for _, v := range p.e.vms {
		for _, it := range v.runs {
			add(it)
		}
	}
	for _, set := range []map[*item]bool{p.e.openItems, p.e.lateItems} {
		for it := range set {
			add(it)
		}
	}
	for u, c := range counts {
		if u.used != c.used || u.running != c.running {
			p.violate("account %s: %d runs with %+v are counted as %d with %+v", u.name, c.running, c.used, u.running, u.used)
		}
	}
	p.checkRunsOfAccounts()
}

// checkRunsOfAccounts compares what the VMs run with what the owner counts.
func (p *fatePool) checkRunsOfAccounts() {
	executed := map[string]jobs.Amount{}
	for _, v := range p.vms {
		if v.life == nil {
			continue
		}
		for r := range p.runsOf(v) {
			if run := v.life.Runs[r.item]; run != nil && run.Run == r.run && r.endAt == 0 && (!r.late || p.e.jobs[r.jobID] != nil || r.epoch == p.epoch) {
				j := p.jobs[r.jobID]
				executed[j.Account] = plus(executed[j.Account], amountOf(&j.Steps[0]), 1)
			}
		}
	}
	uses := p.e.AccountUses(p.now)
	for account, amount := range executed {
		if u := uses[account]; account != "" && !atLeast(plus(u.Used, u.Unknown, 1), amount) {
			p.violate("account %s runs %+v, the owner counts %+v and %+v unknown", account, amount, u.Used, u.Unknown)
		}
	}
}
