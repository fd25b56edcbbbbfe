package shard

import (
	"sync"

	"sassafrasvalve/core/admis"
	"sassafrasvalve/core/jobs"
)

// Times of the decision whether jobs are accepted, in milliseconds.
const (
	// admittedMs is how long an admitted job counts in the backlog of its account before the engine has it. Callers wait 3 s for its
	// record to be stored, and the log may confirm it a little later.
	admittedMs = 4000
	// arrivalPeriodMs is the time over which the work that arrives for an account is measured. A peak phase lasts about 4 s.
	arrivalPeriodMs = 2000
	// maxBacklogAgeMs is the age of the engine's figures from which on nothing is refused. They are renewed each demandIntervalMs, and
	// a pool with thousands of runs may pause for some ticks.
	maxBacklogAgeMs = 1000
)

// Load is what the admission of a job depends on. Entries pass it to the owner beside the job's record.
type Load struct {
	ID          string
	Account     string
	CoreMs      float64 // work of all items, in core-milliseconds
	MBMs        float64 // memory of all items, in MB-milliseconds
	ChainMs     int64   // sum of the estimates on the longest chain of dependent steps
	ObjectiveMs int64   // time from now within which the job should be complete
}

// LoadOf returns the load of a job of a queue, or nil if the job is not to be refused for the backlog of its account: it has none, it
// is persistent or scheduled, or its longest chain is too long for it ever to end while that has value.
func LoadOf(j *jobs.Job, q *jobs.Queue) *Load {
	if j.Account == "" || j.Times > 0 || j.Persistent() {
		return nil
	}
	l := &Load{ID: j.ID, Account: j.Account}
	for _, ms := range chainTails(j.Steps) {
		l.ChainMs = max(l.ChainMs, ms)
	}
	if l.ObjectiveMs = int64(q.Stretch*float64(l.ChainMs)) + q.SLOMs; lateFactor*l.ObjectiveMs < l.ChainMs {
		return nil
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		itemsMs := float64(s.Count) * float64(min(s.EstimateMs, maxItemWorkMs))
		l.MBMs += itemsMs * float64(s.MemMB)
		if !s.Fill {
			l.CoreMs += itemsMs * float64(s.CPU) / 1000
		}
	}
	return l
}

func (l *Load) work() admis.Amount { return admis.Amount{admis.CPU: l.CoreMs, admis.Memory: l.MBMs} }

// Admission decides whether jobs of client accounts are accepted, by the backlog of an engine as of the last update and by what it has
// admitted since. It is safe for concurrent use, so that callers need not wait for the tick of an engine.
type Admission struct {
	mu       sync.Mutex // guards the following
	backlog  *backlog   // nil while nothing is refused
	admitted map[string]admittedJob
	arrivals map[string]*accountArrivals // of the accounts that had jobs lately

	growth poolGrowth // used by Update only
}

// accountArrivals measures the work that is admitted for an account.
type accountArrivals struct {
	periodAt      int64 // start of the present period
	present, last admis.Amount
}

// add adds work that is admitted now.
func (a *accountArrivals) add(work admis.Amount, now int64) {
	a.advance(now)
	for r, n := range work {
		a.present[r] += n
	}
}

// advance begins a new period if the present one is over.
func (a *accountArrivals) advance(now int64) {
	switch periods := (now - a.periodAt) / arrivalPeriodMs; {
	case periods <= 0:
		return
	case periods == 1:
		a.last, a.periodAt = a.present, a.periodAt+arrivalPeriodMs
	default:
		a.last, a.periodAt = admis.Amount{}, now
	}
	a.present = admis.Amount{}
}

// perMs returns the work that arrives per millisecond: that of the present period, and of the last one the part that completes it.
func (a *accountArrivals) perMs(now int64) admis.Amount {
	a.advance(now)
	part := 1 - float64(now-a.periodAt)/arrivalPeriodMs
	var rate admis.Amount
	for r := range rate {
		rate[r] = (a.present[r] + a.last[r]*part) / arrivalPeriodMs
	}
	return rate
}

// admittedJob is a job that was admitted and that the engine does not have yet.
type admittedJob struct {
	load  Load
	at    int64
	again bool // admitted more than once, so that one of its records may be stored although another is not
}

// NewAdmission returns an admission that refuses nothing until it is updated.
func NewAdmission() *Admission {
	return &Admission{admitted: map[string]admittedJob{}, arrivals: map[string]*accountArrivals{}}
}

// Admit reports whether a job is accepted. If it is not, retryAfterMs is the time after which its caller should return. A job that was
// admitted before and may be on its way into the log is admitted again.
func (a *Admission) Admit(l *Load, now int64) (retryAfterMs int64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old, found := a.admitted[l.ID]; found && now-old.at < admittedMs {
		old.again = true
		a.admitted[l.ID] = old
		return 0, true
	}
	if b := a.backlog; b != nil && now-b.at < maxBacklogAgeMs {
		if i, known := b.accountIndex(l.Account); known {
			waitMs, fits := b.pool.Admit(&admis.Job{
				Account: i, Work: l.work(), ChainMs: float64(l.ChainMs), LimitMs: float64(lateFactor * l.ObjectiveMs),
			})
			if !fits {
				return admis.RetryAfterMs(waitMs, l.ID), false
			}
			b.add(l)
		}
	}
	a.admitted[l.ID] = admittedJob{load: *l, at: now}
	arrivals := a.arrivals[l.Account]
	if arrivals == nil {
		arrivals = &accountArrivals{periodAt: now}
		a.arrivals[l.Account] = arrivals
	}
	arrivals.add(l.work(), now)
	return 0, true
}

// Withdraw forgets an admitted job whose record was not stored, unless it was admitted again.
func (a *Admission) Withdraw(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	admitted, found := a.admitted[id]
	if !found || admitted.again {
		return
	}
	delete(a.admitted, id)
	if a.backlog != nil {
		a.backlog.remove(&admitted.load)
	}
}

// Update takes over the present backlog of an engine. It is called with the engine guarded.
func (a *Admission) Update(e *Engine, now int64) {
	b := e.measureBacklog(&a.growth, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.backlog = b
	for id, j := range a.admitted {
		if e.jobs[id] != nil || now-j.at >= admittedMs {
			delete(a.admitted, id)
			continue
		}
		if b != nil {
			b.add(&j.load)
		}
	}
	for account, arrivals := range a.arrivals {
		rate := arrivals.perMs(now)
		if rate == (admis.Amount{}) {
			delete(a.arrivals, account)
		} else if b != nil {
			if i, known := b.accountIndex(account); known {
				b.pool.Accounts[i].Arriving = rate
			}
		}
	}
}

// poolGrowth tracks whether a pool still grows while it wants more VMs than it has.
type poolGrowth struct {
	startedAt int64 // time of the first update
	most      int   // most VMs that the pool has had since it has wanted more
	grownAt   int64 // time at which it had them first, or last had as many as it wanted
	fellAt    int64 // since when it has had fewer, 0 if it has not
	mostSince int   // most VMs since then
}

// update takes the numbers of VMs that a pool has and wants. A pool that has had fewer VMs for arriveMs does not get the others back.
func (g *poolGrowth) update(have, wanted int, arriveMs, now int64) {
	if g.startedAt == 0 {
		g.startedAt = now
	}
	switch {
	case wanted <= have || have > g.most || g.grownAt == 0:
		g.most, g.grownAt, g.fellAt = have, now, 0
	case have == g.most:
		g.fellAt = 0
	case g.fellAt == 0:
		g.fellAt, g.mostSince = now, have
	default:
		g.mostSince = max(g.mostSince, have)
		if now-g.fellAt >= arriveMs {
			g.most, g.fellAt = g.mostSince, 0
		}
	}
}

// backlog holds the unfinished work of a pool by client account, of the accounts that have any.
type backlog struct {
	at       int64
	pool     admis.Pool
	accounts *jobs.Accounts
	index    map[string]int // in pool.Accounts, by account
}

// accountIndex returns the index of an account in the pool, which it adds if needed. It returns false for an account that the
// configuration does not have.
func (b *backlog) accountIndex(account string) (int, bool) {
	if i, found := b.index[account]; found {
		return i, true
	}
	acc := b.accounts.ByName(account)
	if acc == nil {
		return 0, false
	}
	i := len(b.pool.Accounts)
	b.index[account] = i
	b.pool.Accounts = append(b.pool.Accounts, admis.Account{Weight: acc.Weight})
	return i, true
}

// workOf returns where the work of an account is summed up. That of no account, and of one that the configuration no longer has, is
// done before that of the accounts.
func (b *backlog) workOf(account string) *admis.Amount {
	if account != "" {
		if i, known := b.accountIndex(account); known {
			return &b.pool.Accounts[i].Backlog
		}
	}
	return &b.pool.First.Backlog
}

func (b *backlog) add(l *Load) {
	sum := b.workOf(l.Account)
	sum[admis.CPU] += l.CoreMs
	sum[admis.Memory] += l.MBMs
}

func (b *backlog) remove(l *Load) {
	sum := b.workOf(l.Account)
	sum[admis.CPU] = max(sum[admis.CPU]-l.CoreMs, 0)
	sum[admis.Memory] = max(sum[admis.Memory]-l.MBMs, 0)
}

// measureBacklog returns the unfinished work and the capacity that the pool may get for it. It returns nil if nothing is to be refused:
// the configuration has no accounts, the pool may still grow as its demand does, or the state of the pool is not known.
func (e *Engine) measureBacklog(g *poolGrowth, now int64) *backlog {
	if e.catalog == nil || e.catalog.Accounts.Len() == 0 {
		return nil
	}
	vms := e.possibleVMs(g, now)
	if vms == 0 || e.initialPolls.pending || now-e.confirmedAt > unconfirmedMs {
		return nil
	}
	vmCPU, vmMemMB := e.vmSize()
	if vmCPU == 0 || vmMemMB == 0 {
		return nil
	}
	b := &backlog{at: now, accounts: &e.catalog.Accounts, index: map[string]int{}}
	var lasting requiredResources
	for _, j := range e.jobs {
		switch {
		case j.state.Final():
		case j.Persistent():
			lasting.addPersistent(j)
		default:
			j.addUnfinished(b.workOf(j.Account), vmCPU, j.Times == 0 && now > j.arrivedAt+lateFactor*e.objectiveMs(j), now)
		}
	}
	b.pool.Capacity[admis.CPU] = float64(int64(vms)*vmCPU-lasting.persistentCPU) / 1000 * targetUsePercent / 100
	b.pool.Capacity[admis.Memory] = float64(int64(vms)*vmMemMB-lasting.persistentMemMB) * targetUsePercent / 100
	if b.pool.Capacity[admis.CPU] <= 0 || b.pool.Capacity[admis.Memory] <= 0 {
		return nil // what persistent items request says nothing about the capacity for others
	}
	return b
}

// possibleVMs returns the number of VMs that the pool may have, or 0 if that is not known: the machine controller has set no limit and
// may still give the pool more. The controller tells an owner its limit only while its pool has more VMs than that, so without one the
// pool has all that it gets once it has wanted more for as long as a machine takes to come.
func (e *Engine) possibleVMs(g *poolGrowth, now int64) int {
	have := 0
	for _, v := range e.vms {
		if v.listed && v.missingSince == 0 && !v.Draining && !v.vacate {
			have++ // also if it is offered or was not polled yet
		}
	}
	arriveMs := e.forecastMs() + offerDelayMs // the VMs of another pool are offered first
	g.update(have, e.demand.wantedVMs, arriveMs, now)
	if now-g.startedAt < arriveMs {
		return 0
	}
	if now-g.grownAt < arriveMs {
		return e.demand.limitVMs
	}
	if e.demand.limitVMs > 0 {
		return min(g.most, e.demand.limitVMs)
	}
	return g.most
}

// addUnfinished adds the work that is left in the items of a job. Of a job without value only what runs counts, as nothing else of it
// starts before the work of others.
func (j *job) addUnfinished(sum *admis.Amount, vmCPU int64, noValue bool, now int64) {
	for _, it := range j.orderedItems {
		if it.done || it.givenUp || noValue && it.vm == nil {
			continue
		}
		ms := min(it.stepDef.EstimateMs, maxItemWorkMs)
		if it.phase == running {
			ms = max(ms-(now-it.startedAt), ms/10)
		}
		sum[admis.Memory] += float64(ms * it.stepDef.MemMB)
		if !it.stepDef.Fill {
			sum[admis.CPU] += float64(ms*min(it.stepDef.CPU, vmCPU)) / 1000
		}
	}
}
