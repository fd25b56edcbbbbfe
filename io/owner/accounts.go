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

// sums returns the accounts of each pool by their labels. Accounts that share a label are summed up, since a series that is set twice
// keeps its first value.
func (s *AccountStates) sums(st *stats.Stats) map[[2]string]*AccountState {
	sums := map[[2]string]*AccountState{}
	s.visit(func(pool string, a *AccountState) {
		key := [2]string{pool, st.AccountLabel(a.Account)}
		sum := sums[key]
		if sum == nil {
			sum = &AccountState{Account: key[1]}
			sums[key] = sum
		}
		sum.Running, sum.Waiting, sum.AtLimit = sum.Running+a.Running, sum.Waiting+a.Waiting, sum.AtLimit+a.AtLimit
		sum.Used.CPU, sum.Used.MemMB = sum.Used.CPU+a.Used.CPU, sum.Used.MemMB+a.Used.MemMB
		sum.Allowance.CPU, sum.Allowance.MemMB = sum.Allowance.CPU+a.Allowance.CPU, sum.Allowance.MemMB+a.Allowance.MemMB
	})
	return sums
}

// AddGauges registers the gauges of the accounts.
func (s *AccountStates) AddGauges(st *stats.Stats) {
	st.Gauges("sassafrasvalve_account_items", func(set func(stats.Labels, float64)) {
		for key, a := range s.sums(st) {
			set(itemLabels(key[1], key[0], "running"), float64(a.Running))
			set(itemLabels(key[1], key[0], "waiting"), float64(a.Waiting))
			set(itemLabels(key[1], key[0], "at-limit"), float64(a.AtLimit))
		}
	})
	resources := func(name string, of func(a *AccountState) jobs.Amount) {
		st.Gauges(name, func(set func(stats.Labels, float64)) {
			for key, a := range s.sums(st) {
				labels := stats.Labels{{Name: "account", Value: key[1]}, {Name: "pool", Value: key[0]}, {Name: "resource", Value: "cpu"}}
				set(labels, float64(of(a).CPU))
				labels = slices.Clone(labels)
				labels[2].Value = "memMB"
				set(labels, float64(of(a).MemMB))
			}
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
