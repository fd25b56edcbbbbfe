package quota

import (
	"cmp"
	"maps"
	"slices"

	"sassafrasvalve/core/jobs"
)

// Times after which the allocator no longer reckons with something, in milliseconds.
const (
	// recentMs is the age of a report from which a shard is not expected to give up or take anything soon. Holders report each
	// second, and again 250 ms after a lost report.
	recentMs = 2500
	// waitingMs is the age of a report from which the turn of a shard for the extra item is passed over. A shard that waits
	// for an allowance reports each 50 ms, and 250 ms after a lost report.
	waitingMs = 500
	// recordMs is the age of the right to the extra item up to which an item that was planned by it may still start. It allows for a
	// slow append of the item's record.
	recordMs = 1000
	// spreadMs is the time after the last use of an account for which shards without use get parts of its limit. It is longer
	// than the 16 s in which each pool has its peak phase. Without it, reports would grow with the idle accounts.
	spreadMs = 20_000
)

// AllocatorConfig holds the settings of an Allocator.
type AllocatorConfig struct {
	Epoch int64 // of the owner of the machine controller's shard
}

// source is a shard with allowances.
type source struct {
	shard     int
	epoch     int64  // of its owner, by the list of shards or the newest report
	reported  int64  // epoch of the owner that sent the newest report
	seq       int64  // of the newest report
	version   int64  // of the configuration that the newest report was made with
	confirmed bool   // its owner ignores the grants of earlier allocators
	unknown   vector // for each account
	reportAt  int64  // time of the newest report, 0 if there is none
	silentAt  int64  // time at which the shard counts as nothing unless it reports
	owned     bool   // it has an owner, by the log
}

// silent reports whether a shard counts as nothing. One whose owner is known to be in office counts on: its items run although its
// reports don't arrive.
func (s *source) silent(now int64) bool { return !s.owned && now >= s.silentAt }

// part is what one shard holds and uses of an account.
type part struct {
	held, use, want, item, grant vector
	extra                        bool  // may have the right to the extra item
	raisedAt                     int64 // time at which the allowance last rose
	extraAt                      int64 // time at which the shard last got the extra item
}

// heard reports whether the newest report of a shard is younger than an age in milliseconds.
func (s *source) heard(ageMs, now int64) bool { return s.reportAt != 0 && now < s.reportAt+ageMs }

// clear forgets what a report said. The turns of the shard remain.
func (p *part) clear() { *p = part{raisedAt: p.raisedAt, extraAt: p.extraAt} }

// unmet reports whether the next waiting item needs more than an allowance.
func (p *part) unmet(allowance, limit vector) bool {
	next := p.want
	if p.item != (vector{}) && p.want != p.use {
		next = p.use.add(p.item)
	}
	return p.want != p.use && !next.within(allowance, limit)
}

// account is an account that is in use, or was lately.
type account struct {
	parts   []part // by the index of the shard
	idleAt  int64  // time from which shards without use get nothing
	targets []vector
}

// limit is the limit of an account in the present configuration.
type limit struct {
	max vector
	// since is the version of the configuration by which a resource without a limit got one. Owners with an older one may have
	// started any number of items that they don't report.
	since int64
}

// Allocator divides the limits of accounts among the shards. Its state is rebuilt from reports.
type Allocator struct {
	cfg        AllocatorConfig
	catalog    *jobs.Catalog
	fresh      bool
	superseded bool  // a higher epoch was seen
	handledAt  int64 // time of the newest report of any shard
	limits     map[string]limit
	sources    []*source
	index      map[int]int // of sources by shard
	accounts   map[string]*account
	open       []claimant // scratch space of a division
}

// NewAllocator returns an allocator that raises nothing before each shard has reported.
func NewAllocator(cfg AllocatorConfig) *Allocator {
	return &Allocator{cfg: cfg, limits: map[string]limit{}, index: map[int]int{}, accounts: map[string]*account{}}
}

// SetConfig sets the operator's configuration, and the epochs of the owners of all shards that have or had an owner. The first
// call must list the owners as of the allocator's own claim or later. Unless the configuration is fresh, nothing is granted. It
// costs little if the catalog is the same as before. No version may be left out that removes a limit which a later one sets again.
func (a *Allocator) SetConfig(c *jobs.Catalog, owners map[int]int64, fresh bool, now int64) {
	a.fresh = fresh && (c != nil || a.catalog != nil)
	for _, shard := range slices.Sorted(maps.Keys(owners)) {
		s := a.source(shard, now)
		s.epoch = max(s.epoch, owners[shard])
	}
	if c == a.catalog || c == nil {
		return
	}
	a.catalog = c
	limits := make(map[string]limit, c.Accounts.Len())
	for i := range c.Accounts.All() {
		acc := &c.Accounts.All()[i]
		l := limit{max: toLimit(acc.Max), since: c.Version}
		if !l.max.hasLimit() {
			continue
		}
		if old, found := a.limits[acc.Name]; found && !newlyLimited(old.max, l.max) {
			l.since = old.since
		}
		limits[acc.Name] = l
	}
	a.limits = limits
}

// SetOwned sets which shards have an owner by the log.
func (a *Allocator) SetOwned(owned map[int]bool, now int64) {
	for i, s := range a.sources {
		was := s.owned
		if s.owned = owned[s.shard]; was && !s.owned {
			a.sources[i].silentAt = max(s.silentAt, now+silentMs)
		}
	}
}

// newlyLimited reports whether a resource that had no limit has one.
func newlyLimited(old, l vector) bool {
	for r := range l {
		if old[r] == unlimited && l[r] != unlimited {
			return true
		}
	}
	return false
}

// source returns the source of a shard, which it adds if necessary.
func (a *Allocator) source(shard int, now int64) *source {
	i, found := a.index[shard]
	if !found {
		i = len(a.sources)
		a.index[shard] = i
		a.sources = append(a.sources, &source{shard: shard, silentAt: now + silentMs})
	}
	return a.sources[i]
}

// version returns the version of the configuration.
func (a *Allocator) version() int64 {
	if a.catalog == nil {
		return 0
	}
	return a.catalog.Version
}

// limitOf returns the limit of an account.
func (a *Allocator) limitOf(name string) vector {
	if l, found := a.limits[name]; found {
		return l.max
	}
	return toLimit(jobs.Amount{})
}

// ready reports whether allowances may change: each shard that counts has confirmed that it ignores earlier allocators.
func (a *Allocator) ready(now int64) bool {
	for _, s := range a.sources {
		if !s.confirmed && !s.silent(now) {
			return false
		}
	}
	return a.fresh
}

// Handle returns the grant that answers a report. It is the zero Grant if the report is older than another one, or if an allocator
// of a higher epoch was seen.
func (a *Allocator) Handle(r Report, now int64) Grant {
	a.superseded = a.superseded || r.Allocator > a.cfg.Epoch
	s := a.source(r.Shard, now)
	if a.superseded || r.Epoch < s.epoch || r.Epoch == s.reported && r.Seq <= s.seq {
		return Grant{}
	}
	s.epoch, s.reported, s.seq, s.version = r.Epoch, r.Epoch, r.Seq, r.Version
	s.confirmed, s.reportAt, s.silentAt, s.unknown = r.Allocator == a.cfg.Epoch, now, now+silentMs, toVector(r.Unknown)
	self := a.index[r.Shard]
	a.excuseSilence(now)
	a.forgetSilent(now)
	a.store(self, r, now)
	g := Grant{Shard: r.Shard, Owner: r.Epoch, Seq: r.Seq, Epoch: a.cfg.Epoch, Version: a.version(), Accounts: map[string]Allowance{}}
	if !a.ready(now) {
		g.Keep, g.Soon = true, !s.confirmed
		return g
	}
	for name, acc := range a.accounts {
		if a.undivided(name, now) {
			if _, found := r.Accounts[name]; found {
				g.Accounts[name] = Allowance{Keep: true}
			}
			continue
		}
		l := a.limitOf(name)
		allowance, soon := a.grant(acc, self, l, now)
		if allowance != nil {
			g.Accounts[name] = *allowance
		}
		g.Soon = g.Soon || soon
	}
	return g
}

// store keeps the content of a report, and forgets accounts of which nothing is left.
func (a *Allocator) store(self int, r Report, now int64) {
	for name, acc := range a.accounts {
		for len(acc.parts) < len(a.sources) {
			acc.parts = append(acc.parts, part{})
		}
		acc.parts[self].clear()
		if now >= acc.idleAt && !slices.ContainsFunc(acc.parts, func(p part) bool {
			return p.extra || p.use.max(p.held).max(p.grant).max(p.want) != vector{}
		}) {
			delete(a.accounts, name)
		}
	}
	for name, u := range r.Accounts {
		acc := a.accounts[name]
		if acc == nil {
			acc = &account{parts: make([]part, len(a.sources))}
			a.accounts[name] = acc
		}
		p := &acc.parts[self]
		p.held, p.item, p.extra = toVector(u.Held), toVector(u.Item), u.Extra
		unknown := toVector(u.Unknown).add(a.sources[self].unknown)
		p.use = toVector(u.Used).add(unknown)
		p.want = p.use.max(toVector(u.Want).add(unknown))
		if u.Used != (jobs.Amount{}) || u.Unknown != (jobs.Amount{}) || u.Want != (jobs.Amount{}) {
			acc.idleAt = now + spreadMs
		}
	}
}

// excuseSilence gives the shards more time after a pause in which no report at all was handled: the allocator stood still, or its
// ownership was not confirmed, for example during an outage of the log. The items of the shards may have run on.
func (a *Allocator) excuseSilence(now int64) {
	if pause := now - a.handledAt; a.handledAt != 0 && pause > recentMs {
		for _, s := range a.sources {
			if !s.silent(a.handledAt) && s.silentAt != now+silentMs {
				s.silentAt += pause
			}
		}
	}
	a.handledAt = now
}

// forgetSilent drops what silent shards held.
func (a *Allocator) forgetSilent(now int64) {
	for i, s := range a.sources {
		if !s.silent(now) || s.unknown == (vector{}) && s.reportAt == 0 {
			continue
		}
		s.unknown, s.reportAt, s.confirmed = vector{}, 0, false
		for _, acc := range a.accounts {
			if i < len(acc.parts) {
				acc.parts[i].clear()
			}
		}
	}
}

// undivided reports whether owners may have items of an account from before it had its limit, which they have not reported.
func (a *Allocator) undivided(name string, now int64) bool {
	since := a.limits[name].since
	return slices.ContainsFunc(a.sources, func(s *source) bool { return s.version < since && !s.silent(now) })
}

// ceiling returns the most that a shard may have running of an account, apart from the extra item.
func (a *Allocator) ceiling(acc *account, i int) vector {
	p := &acc.parts[i]
	return p.held.max(p.grant).max(p.use).max(a.sources[i].unknown)
}

// grant returns the allowance of a shard for an account, and whether another shard waits for what this one gives up. The allowance
// is nil if nothing may start: the others are above the limit already, or the account is not in use here and nothing is left.
func (a *Allocator) grant(acc *account, self int, limit vector, now int64) (*Allowance, bool) {
	p := &acc.parts[self]
	others := vector{}
	for i := range acc.parts {
		if i != self {
			others = others.add(a.ceiling(acc, i))
		}
	}
	a.divide(acc, limit, now)
	most := limit.sub(others).max(vector{})
	allowance := acc.targets[self].min(most)
	for r := range allowance {
		if limit[r] == unlimited { // the holder may still have a limit
			allowance[r] = p.want[r]
		}
	}
	if p.held.below(allowance) {
		p.raisedAt = now
	}
	fits := others.within(limit, limit)
	extra := fits && a.mayExceed(acc, self, allowance, limit, now)
	gaveUp := allowance.below(p.held) || p.extra && !extra
	if extra && !p.extra {
		p.extraAt = now
	}
	p.grant, p.extra = allowance, p.extra || extra
	soon := gaveUp && a.othersWait(acc, self, limit, now)
	// An account in use is granted nothing explicitly: items may need none of the resources that have a limit.
	if !fits || !extra && allowance == (vector{}) && p.want == (vector{}) {
		return nil, soon
	}
	return &Allowance{Max: allowance.amount(), Limit: limit.limitAmount(), Extra: extra}, soon
}

// mayExceed reports whether a shard is to have the right to the extra item. It passes on the right once it has used it, or has not
// used it for waitingMs, if others need it.
func (a *Allocator) mayExceed(acc *account, self int, allowance, limit vector, now int64) bool {
	p := &acc.parts[self]
	// An item that exceeds the allowance by this right may wait for its record yet. It starts only while the right lasts.
	if p.extra && !p.use.within(allowance, limit) && now < p.extraAt+recordMs {
		return true
	}
	if !p.unmet(allowance, limit) {
		return false
	}
	if p.extra && p.use.within(allowance, limit) && now < p.extraAt+waitingMs {
		return true
	}
	for i := range acc.parts {
		if i == self {
			continue
		}
		o := &acc.parts[i]
		if o.extra {
			return false
		}
		waits := a.sources[i].heard(waitingMs, now) && o.unmet(acc.targets[i], limit)
		if waits && cmp.Or(cmp.Compare(o.extraAt, p.extraAt), cmp.Compare(i, self)) < 0 {
			return false
		}
	}
	return true
}

// othersWait reports whether another shard needs more of an account than it is granted.
func (a *Allocator) othersWait(acc *account, self int, limit vector, now int64) bool {
	for i := range acc.parts {
		p := &acc.parts[i]
		if i != self && a.sources[i].heard(recentMs, now) && p.unmet(p.held.min(p.grant), limit) {
			return true
		}
	}
	return false
}

// Status is the state of one account at the allocator.
type Status struct {
	Account string
	Limit   jobs.Amount // 0 means no limit
	Counted jobs.Amount // what all shards together may have running
}

// Statuses returns the state of each account that is or was lately in use, by name.
func (a *Allocator) Statuses() []Status {
	list := make([]Status, 0, len(a.accounts))
	for _, name := range slices.Sorted(maps.Keys(a.accounts)) {
		var sum vector
		for i := range a.accounts[name].parts {
			sum = sum.add(a.ceiling(a.accounts[name], i))
		}
		list = append(list, Status{name, a.limitOf(name).limitAmount(), sum.amount()})
	}
	return list
}

// Missing returns the shards whose reports the allocator waits for before it raises an allowance.
func (a *Allocator) Missing(now int64) []int {
	var list []int
	for _, s := range a.sources {
		if !s.confirmed && !s.silent(now) {
			list = append(list, s.shard)
		}
	}
	return list
}
