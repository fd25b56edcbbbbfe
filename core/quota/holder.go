// Package quota keeps what client accounts have running over all shards within their limits. The owner of each shard holds
// allowances (Holder), and one Allocator divides the limits by the reports of the holders. Times are local milliseconds.
package quota

import (
	"sassafrasvalve/core/jobs"
)

// Times between two reports of a holder, in milliseconds.
const (
	urgentMs = 50  // while items wait for an allowance, or the allocator waits for a report
	activeMs = 250 // while there are jobs of accounts with limits
	// idleMs leaves time in each second for the report that confirms a lower allowance and for the grant to another shard.
	idleMs = 850
	// A report that is sent while another is on its way would void the answer to that one, so the holder waits for an answer
	// that may be slow, and longer each time. A lost report costs firstWaitMs.
	firstWaitMs = 250
	maxWaitMs   = 2000
	// The allocator counts a shard at nothing after silentMs without a report. A holder starts nothing from holdMs after the last
	// report that was answered, which is sent before the allocator counts from it.
	silentMs = 25_000
	holdMs   = silentMs - 1000
)

// HolderConfig holds the settings of a Holder.
type HolderConfig struct {
	Shard int
	Epoch int64 // of the shard's owner
	// Allocator is the highest epoch of the machine controller's shard in the log when this owner claimed its shard. Grants of
	// lower epochs are ignored.
	Allocator int64
	// UsedHoldsUnknown is true if the amounts handed to MayStart include Use.Unknown.
	UsedHoldsUnknown bool
}

// held is the allowance of a shard for one account.
type held struct {
	max     vector
	limit   vector // from which max was computed
	version int64  // of the allocator's configuration
	extra   bool
}

// Holder holds the allowances of one owner of a shard. It starts with none.
type Holder struct {
	cfg     HolderConfig
	catalog *jobs.Catalog
	limited bool // the configuration has an account with a limit
	fresh   bool
	held    map[string]held
	// since has the version of the configuration by which a limit of an account fell last, after the first version. Grants of
	// an allocator with an older one do not reckon with what is running from before.
	since   map[string]int64
	first   int64             // version of the first configuration
	unknown vector            // for each account
	hidden  map[string]vector // Use.Unknown of the newest report
	// seen is the highest epoch of an allocator that has answered, or that the log had when the shard was claimed.
	seen      int64
	seq       int64 // of the newest report
	sentAt    int64 // time of the newest report
	answered  bool  // the newest report was answered
	waitMs    int64 // time for which the next report waits for its answer
	retryAt   int64 // time at which the newest report counts as lost
	soon      bool  // a report is due as soon as possible
	expiresAt int64 // time at which the allocator may stop counting this shard; 0 before the first grant
	expired   bool
}

// NewHolder returns a holder without allowances.
func NewHolder(cfg HolderConfig) *Holder {
	return &Holder{
		cfg: cfg, held: map[string]held{}, hidden: map[string]vector{}, since: map[string]int64{}, seen: cfg.Allocator,
		answered: true, waitMs: firstWaitMs, soon: true,
	}
}

// SetConfig sets the operator's configuration. Unless it is fresh, nothing of an account with a limit may start. It costs little
// if the catalog is the same as before. No version may be left out that removes a limit which a later one sets again.
func (h *Holder) SetConfig(c *jobs.Catalog, fresh bool) {
	h.fresh = fresh
	if c == h.catalog || c == nil {
		return
	}
	if h.catalog == nil {
		h.first = c.Version
	}
	earlier := h.catalog
	h.catalog, h.limited, h.soon = c, false, true
	for i := range c.Accounts.All() {
		acc := &c.Accounts.All()[i]
		h.limited = h.limited || acc.Max != jobs.Amount{}
		if earlier != nil && toLimit(acc.Max).below(limitIn(earlier, acc.Name)) {
			h.since[acc.Name] = c.Version
		}
	}
	// What is held for an account without a limit is not reported, so it would not count once the account has a limit again.
	for name := range h.held {
		if !h.limit(name).hasLimit() {
			delete(h.held, name)
		}
	}
}

// SetUnknown sets what each account may use in addition to what is known and to Use.Unknown: the capacity of the VMs that were not
// polled since the takeover.
func (h *Holder) SetUnknown(a jobs.Amount) { h.unknown = toVector(a) }

// limit returns the limit of an account in the present configuration.
func (h *Holder) limit(account string) vector { return limitIn(h.catalog, account) }

// limitIn returns the limit of an account in a configuration, which may be nil.
func limitIn(c *jobs.Catalog, account string) vector {
	if c != nil {
		if a := c.Accounts.ByName(account); a != nil {
			return toLimit(a.Max)
		}
	}
	return toLimit(jobs.Amount{})
}

// MayStart reports whether an item of an account may start while the account is known to use an amount in this shard. What may
// run without being known counts in addition, as of the newest report.
func (h *Holder) MayStart(account string, used, item jobs.Amount) bool {
	if account == "" {
		return true
	}
	limit := h.limit(account)
	if !limit.hasLimit() {
		return h.catalog != nil
	}
	a, found := h.held[account]
	if !found || !h.fresh || h.expired || h.void(account, a, limit) {
		return false
	}
	use := toVector(used).add(h.unknown).add(h.hidden[account])
	return use.add(toVector(item)).within(a.max, limit) || a.extra && use.within(a.max, limit)
}

// void reports whether the limit of an account has fallen since its allowance was computed. The limit of an allocator with a later
// configuration may be higher than that of the holder.
func (h *Holder) void(account string, a held, limit vector) bool {
	return a.version < h.since[account] || a.version <= h.catalog.Version && limit.below(a.limit)
}

// Due reports whether the holder is to send a report. It is called often, also to notice that the allocator is silent.
func (h *Holder) Due(now int64, uses map[string]Use) bool {
	h.expired = h.expiresAt != 0 && now >= h.expiresAt
	switch {
	case !h.limited:
		return false
	case h.seq == 0:
		return true
	case now < h.sentAt+urgentMs || !h.answered && now < h.retryAt:
		return false
	case h.soon || now >= h.sentAt+idleMs:
		return true
	}
	interval := int64(idleMs)
	for name, u := range uses {
		if u == (Use{}) {
			continue
		}
		limit := h.limit(name)
		if !limit.hasLimit() {
			continue
		}
		interval = min(interval, activeMs)
		a, found := h.held[name]
		if u.Want != u.Used && (!found || h.void(name, a, limit) || !toVector(u.Want).add(toVector(u.Unknown)).add(h.unknown).within(a.max, limit)) {
			return true
		}
	}
	return now >= h.sentAt+interval
}

// Report returns the next report, which voids the answers to all earlier ones.
func (h *Holder) Report(uses map[string]Use, now int64) Report {
	h.seq++
	if h.answered {
		h.waitMs = firstWaitMs
	} else {
		h.waitMs = min(2*h.waitMs, maxWaitMs)
	}
	h.sentAt, h.retryAt, h.answered, h.soon = now, now+h.waitMs, false, false
	r := Report{
		Shard: h.cfg.Shard, Epoch: h.cfg.Epoch, Seq: h.seq, Allocator: h.seen, Unknown: h.unknown.amount(), Accounts: map[string]AccountReport{},
	}
	if h.catalog != nil {
		r.Version = h.catalog.Version
	}
	clear(h.hidden)
	for name, u := range uses {
		if u.Unknown != (jobs.Amount{}) && !h.cfg.UsedHoldsUnknown {
			h.hidden[name] = toVector(u.Unknown)
		}
		if u != (Use{}) && h.limit(name).hasLimit() {
			r.Accounts[name] = h.reportAccount(name, u)
		}
	}
	for name := range h.held {
		if _, found := r.Accounts[name]; !found {
			r.Accounts[name] = h.reportAccount(name, Use{})
		}
	}
	return r
}

// reportAccount returns the part of a report for an account with a limit.
func (h *Holder) reportAccount(name string, u Use) AccountReport {
	a := h.held[name]
	p := AccountReport{Held: a.max.amount(), Used: u.Used, Unknown: u.Unknown, Item: u.Item, Extra: a.extra}
	if u.Want != u.Used {
		p.Want = u.Want
	}
	return p
}

// Apply replaces the allowances by those of a grant. It returns false and changes nothing if the grant does not answer the newest
// report, or comes from an allocator of a lower epoch than another that has answered.
func (h *Holder) Apply(g Grant) bool {
	if g.Shard != h.cfg.Shard || g.Owner != h.cfg.Epoch || g.Seq == 0 || g.Epoch < h.seen {
		return false
	}
	h.seen = g.Epoch
	if g.Seq != h.seq || h.answered {
		return false
	}
	h.answered, h.soon = true, h.soon || g.Soon
	h.expiresAt, h.expired = h.sentAt+holdMs, false
	if g.Keep {
		return true
	}
	for name := range h.held {
		if !g.Accounts[name].Keep {
			delete(h.held, name)
		}
	}
	for name, a := range g.Accounts {
		if !a.Keep && h.limit(name).hasLimit() && g.Version >= max(h.first, h.since[name]) {
			h.held[name] = held{max: toVector(a.Max), limit: toLimit(a.Limit), version: g.Version, extra: a.Extra}
		}
	}
	return true
}

// Held returns the allowance for an account.
func (h *Holder) Held(account string) Allowance {
	a, found := h.held[account]
	if !found {
		return Allowance{}
	}
	return Allowance{Max: a.max.amount(), Limit: a.limit.limitAmount(), Extra: a.extra}
}

// HeldAccounts calls visit for each account with an allowance, in no order.
func (h *Holder) HeldAccounts(visit func(account string, a Allowance)) {
	for name := range h.held {
		visit(name, h.Held(name))
	}
}
