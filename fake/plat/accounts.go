package plat

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/fake/pool"
)

// Account is a client account of the configuration.
type Account struct {
	Name   string
	Keys   []string // API keys
	Weight float64
	CPU    int64 // limit on what its items use at once, in thousandths of a core; 0 for none
	MemMB  int64 // limit on their memory in MB, 0 for none
}

// Key is the state of an API key in the newest configuration.
type Key struct {
	Account   string
	Valid     bool
	ChangedAt time.Time // time at which the version that added or revoked it was written
}

// wireAccounts returns the account list of the configuration.
func wireAccounts(accounts []Account) []any {
	list := []any{}
	for _, a := range accounts {
		list = append(list, map[string]any{
			"name": a.Name, "api_keys": append([]string{}, a.Keys...), "weight": a.Weight,
			"max_count": map[string]any{"cpu": a.CPU, "mem_mb": a.MemMB, "gpu": 0},
		})
	}
	return list
}

// noteAccounts records the keys and limits of a version of the configuration that was just written. The caller holds mu, except in
// Start.
func (p *Platform) noteAccounts() {
	if len(p.accounts) == 0 {
		return
	}
	now := time.Now()
	present := map[string]string{}
	for _, a := range p.accounts {
		for _, k := range a.Keys {
			present[k] = a.Name
		}
	}
	for k, account := range present {
		if old := p.keys[k]; !old.Valid || old.Account != account {
			p.keys[k] = Key{Account: account, Valid: true, ChangedAt: now}
		}
	}
	for k, old := range p.keys {
		if _, found := present[k]; old.Valid && !found {
			p.keys[k] = Key{Account: old.Account, ChangedAt: now}
		}
	}
	p.limits.write(p.version, p.nowMs(), p.accounts)
}

// change changes an account and writes the next version of the configuration.
func (p *Platform) change(name string, edit func(a *Account)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.accounts {
		if a := &p.accounts[i]; a.Name == name {
			edit(a)
			p.configure()
		}
	}
}

// AddKey gives an account another API key.
func (p *Platform) AddKey(account, key string) {
	p.change(account, func(a *Account) { a.Keys = append(a.Keys, key) })
}

// RevokeKey takes an API key of an account away.
func (p *Platform) RevokeKey(account, key string) {
	p.change(account, func(a *Account) {
		a.Keys = slices.DeleteFunc(a.Keys, func(k string) bool { return k == key })
	})
}

// RevokeAllKeys takes all API keys of an account away. The account itself and its limit stay.
func (p *Platform) RevokeAllKeys(account string) {
	p.change(account, func(a *Account) { a.Keys = nil })
}

// SetLimit lowers or raises the limit of an account: thousandths of a core and MB, 0 for none.
func (p *Platform) SetLimit(account string, cpu, memMB int64) {
	p.change(account, func(a *Account) { a.CPU, a.MemMB = cpu, memMB })
}

// Account returns an account of the newest configuration, or a zero one if there is none of this name.
func (p *Platform) Account(name string) Account {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.accounts {
		if a.Name == name {
			a.Keys = slices.Clone(a.Keys)
			return a
		}
	}
	return Account{}
}

// Key returns the state of an API key, which is zero if no configuration has had it.
func (p *Platform) Key(key string) Key {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keys[key]
}

// SetAccount sets the account that a job belongs to. The runs of other jobs count for no account.
func (p *Platform) SetAccount(id, account string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobAccount[id] = account
}

// accountOf returns the account that an item belongs to, or "".
func (p *Platform) accountOf(item string) string {
	id, _, _ := jobs.ParseItem(item) // an empty ID has no account
	return p.jobAccount[id]
}

// checkLimit records a violation if a run that has just started brings its account above the limit. Runs that are being stopped and
// those that were started late count; runs that are due to end by now don't.
func (p *Platform) checkLimit(v *pool.VM, r *pool.Run) {
	account := p.accountOf(r.Item)
	if account == "" {
		return
	}
	now := p.nowMs()
	var used jobs.Amount
	var running []string
	for _, m := range p.machines {
		if m.vm == nil {
			continue
		}
		if m.vm != v {
			m.vm.Advance(now)
		}
		for item, other := range m.vm.Runs {
			if p.accountOf(item) != account {
				continue
			}
			used = sum(used, amountOf(other.Step))
			running = append(running, fmt.Sprintf("%s run %d on %s since %s", item, other.Run, m.vm.ID, p.clock(other.StartedAtMs)))
		}
	}
	excess := p.limits.excess(account, used, amountOf(r.Step), now)
	if excess == "" {
		return
	}
	slices.Sort(running)
	p.violations = append(p.violations, fmt.Sprintf("QUOTA %s %s run %d on %s with fence %d: ordered %s, late %t, start %s: %s; %s; running %s",
		account, r.Item, r.Run, v.ID, p.arrival.fence, p.clock(p.arrival.atMs), p.arrival.late, p.clock(now), excess,
		p.limits.describe(account, min(p.arrival.atMs, now), p.clock), strings.Join(running, ", ")))
}

// amountOf returns what an item of a step uses by the rules of the VMs, which don't count the CPU of steps with Fill.
func amountOf(s jobs.Step) jobs.Amount {
	a := jobs.Amount{CPU: s.CPU, MemMB: s.MemMB}
	if s.Fill {
		a.CPU = 0
	}
	return a
}

func sum(a, b jobs.Amount) jobs.Amount {
	return jobs.Amount{CPU: a.CPU + b.CPU, MemMB: a.MemMB + b.MemMB, GPU: a.GPU + b.GPU}
}

// inForceMs is the time in ms for which a version of the configuration may be in force after its successor was written.
const inForceMs = 3000

// limitTolerancePercent is the percentage of its limit that an account may have running, to which one work item is added.
const limitTolerancePercent = 110

// limitVersion holds the limits in one version of the configuration.
type limitVersion struct {
	version      int
	writtenAtMs  int64
	replacedAtMs int64 // time at which its successor was written; 0 for the newest version
	limits       map[string]jobs.Amount
}

// limitHistory holds the limits in all versions of the configuration, in their order.
type limitHistory struct{ versions []limitVersion }

// write adds a version that is written at now.
func (h *limitHistory) write(version int, now int64, accounts []Account) {
	if n := len(h.versions); n > 0 {
		h.versions[n-1].replacedAtMs = now
	}
	v := limitVersion{version: version, writtenAtMs: now, limits: map[string]jobs.Amount{}}
	for _, a := range accounts {
		v.limits[a.Name] = jobs.Amount{CPU: a.CPU, MemMB: a.MemMB}
	}
	h.versions = append(h.versions, v)
}

// inForce returns the versions of which one may be in force at now or later.
func (h *limitHistory) inForce(now int64) []limitVersion {
	for i, v := range h.versions {
		if v.replacedAtMs == 0 || now-v.replacedAtMs < inForceMs {
			return h.versions[i:]
		}
	}
	return nil
}

// highest returns the highest limit of an account in the versions that may be in force at now. 0 of a resource means no limit.
func (h *limitHistory) highest(account string, now int64) jobs.Amount {
	var highest jobs.Amount
	for i, v := range h.inForce(now) {
		l := v.limits[account]
		if i == 0 {
			highest = l
			continue
		}
		highest.CPU, highest.MemMB = higher(highest.CPU, l.CPU), higher(highest.MemMB, l.MemMB)
	}
	return highest
}

// higher returns the higher one of two limits, of which 0 means none.
func higher(a, b int64) int64 {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// excess describes how far the start of an item brings an account above its limit at now, or returns "" if it doesn't. used includes
// the item.
func (h *limitHistory) excess(account string, used, item jobs.Amount, now int64) string {
	limit := h.highest(account, now)
	var over []string
	for _, r := range []struct {
		name              string
		limit, used, item int64
	}{{"cpu", limit.CPU, used.CPU, item.CPU}, {"mem_mb", limit.MemMB, used.MemMB, item.MemMB}} {
		if r.limit > 0 && 100*(r.used-r.item) > limitTolerancePercent*r.limit {
			over = append(over, fmt.Sprintf("%s %d above %d x 1.1 + %d", r.name, r.used, r.limit, r.item))
		}
	}
	return strings.Join(over, ", ")
}

// describe lists the versions that may be in force since a time, with the limits of an account.
func (h *limitHistory) describe(account string, since int64, clock func(ms int64) string) string {
	var list []string
	for _, v := range h.inForce(since) {
		l := v.limits[account]
		text := fmt.Sprintf("version %d of %s with cpu %d and mem_mb %d", v.version, clock(v.writtenAtMs), l.CPU, l.MemMB)
		if v.replacedAtMs > 0 {
			text += " until " + clock(v.replacedAtMs)
		}
		list = append(list, text)
	}
	return strings.Join(list, ", ")
}
