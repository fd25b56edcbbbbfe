package owner

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/io/stats"
)

// maxLoggedAccounts bounds the accounts in the summary of a pool: those with most waiting items.
const maxLoggedAccounts = 8

// AccountState is what one client account has in a pool.
type AccountState struct {
	Account                   string
	Running, Waiting, AtLimit int // items; AtLimit of the waiting ones were left out because of the account's allowance
	Used                      jobs.Amount
	Allowance                 jobs.Amount // what it may use in this pool, zero if it has no limit
}

// AccountStates holds the accounts of the pools that this process owns. It is safe for concurrent use.
type AccountStates struct {
	mu     sync.Mutex
	byPool map[string][]AccountState
}

// set replaces the accounts of a pool. A nil list removes the pool.
func (s *AccountStates) set(pool string, list []AccountState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if list == nil {
		delete(s.byPool, pool)
		return
	}
	if s.byPool == nil {
		s.byPool = map[string][]AccountState{}
	}
	s.byPool[pool] = list
}

// visit calls f for each account of each pool.
func (s *AccountStates) visit(f func(pool string, a *AccountState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for pool, list := range s.byPool {
		for i := range list {
			f(pool, &list[i])
		}
	}
}

// itemLabels returns the labels of the number of an account's items in a state.
func itemLabels(account, pool, state string) stats.Labels {
	return stats.Labels{{Name: "account", Value: account}, {Name: "pool", Value: pool}, {Name: "state", Value: state}}
}

// AddGauges registers the gauges of the accounts.
func (s *AccountStates) AddGauges(st *stats.Stats) {
	st.Gauges("sassafrasvalve_account_items", func(set func(stats.Labels, float64)) {
		s.visit(func(pool string, a *AccountState) {
			name := st.AccountLabel(a.Account)
			set(itemLabels(name, pool, "running"), float64(a.Running))
			set(itemLabels(name, pool, "waiting"), float64(a.Waiting))
			set(itemLabels(name, pool, "at-limit"), float64(a.AtLimit))
		})
	})
	resources := func(name string, of func(a *AccountState) jobs.Amount) {
		st.Gauges(name, func(set func(stats.Labels, float64)) {
			s.visit(func(pool string, a *AccountState) {
				labels := stats.Labels{{Name: "account", Value: st.AccountLabel(a.Account)}, {Name: "pool", Value: pool}, {Name: "resource", Value: "cpu"}}
				set(labels, float64(of(a).CPU))
				labels = slices.Clone(labels)
				labels[2].Value = "memMB"
				set(labels, float64(of(a).MemMB))
			})
		})
	}
	resources("sassafrasvalve_account_used", func(a *AccountState) jobs.Amount { return a.Used })
	resources("sassafrasvalve_account_allowance", func(a *AccountState) jobs.Amount { return a.Allowance })
}

// updateAccounts renews the states of the pool's accounts, and returns those with most waiting items for the summary. It is called
// with mu held.
func (r *poolRun) updateAccounts(now int64) []AccountState {
	if c := r.cfg.Catalog(); c == nil || c.Accounts.Len() == 0 {
		return nil
	}
	uses := r.engine.AccountUses(now)
	list := make([]AccountState, 0, len(uses))
	for _, name := range slices.Sorted(maps.Keys(uses)) {
		u := uses[name]
		list = append(list, AccountState{
			Account: name, Running: u.Running, Waiting: u.Waiting, AtLimit: u.AtLimit, Used: u.Used, Allowance: r.allowances.holder.Held(name).Max,
		})
	}
	r.cfg.AccountStates.set(r.cfg.Service, list)
	logged := slices.Clone(list)
	slices.SortStableFunc(logged, func(a, b AccountState) int { return cmp.Compare(b.Waiting, a.Waiting) })
	return logged[:min(len(logged), maxLoggedAccounts)]
}

// Explain says why a job waits, as far as this process knows. It returns "" if this process doesn't run the shard or has no such job.
func (o *Owner) Explain(id string) string {
	r := o.run.Load()
	if r == nil {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engine.Explain(id, clock.BootMs())
}
