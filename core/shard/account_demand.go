package shard

import (
	"math"

	"sassafrasvalve/core/jobs"
)

// batchDemand is the work of jobs that end by themselves, in core-milliseconds, and the thousandths of a core that their items
// request. That of jobs without value counts apart.
type batchDemand struct {
	work, cpu, overdueWork, overdueCPU int64
}

// add adds the outstanding work of a job.
func (b *batchDemand) add(work, cpu int64, overdue bool) {
	if overdue {
		b.overdueWork, b.overdueCPU = b.overdueWork+work, b.overdueCPU+cpu
	} else {
		b.work, b.cpu = b.work+work, b.cpu+cpu
	}
}

// demandLimit collects the demand of an account with a limit.
type demandLimit struct {
	admitted   jobs.Amount // what the account uses and may start
	arrivals   int64       // forecast of its arriving work, in core-milliseconds per second
	persistent requiredResources
	batch      batchDemand
	// persistentAmount and batchAmount are what all its items request that run or may start. Persistent jobs count as a whole.
	persistentAmount, batchAmount jobs.Amount
}

// demandLimits returns the limits of the accounts that have one.
func (e *Engine) demandLimits(now int64) map[*accountUse]*demandLimit {
	if e.rooms == nil || len(e.accounts) == 0 {
		return nil
	}
	limits := map[*accountUse]*demandLimit{}
	for name, u := range e.accounts {
		arrivals := u.rate.forecast(now, e.forecastMs()) // this also deletes old arrivals
		room, limited := e.rooms.Room(name, plus(u.used, e.unknown.of(u), 1))
		if limited {
			limits[u] = &demandLimit{admitted: within(plus(u.used, within(room), 1)), arrivals: arrivals}
		}
	}
	return limits
}

// addPersistent adds the demand of a persistent job.
func (l *demandLimit) addPersistent(j *job) {
	l.persistent.addPersistent(j)
	for i := range j.Steps {
		l.persistentAmount = within(plus(l.persistentAmount, amountOf(&j.Steps[i]), int64(j.Steps[i].Count)))
	}
}

// addBatch adds the demand of a job that ends by itself, whose outstanding work was measured.
func (l *demandLimit) addBatch(j *job, work, cpu int64, overdue bool) {
	l.batch.add(work, cpu, overdue)
	for _, it := range j.orderedItems {
		if !it.done && j.predecessorsDone(it) {
			l.batchAmount = within(plus(l.batchAmount, amountOf(it.stepDef), 1))
		}
	}
}

// addTo adds the admitted part of the account's demand to that of the pool. It returns how much the forecast of arriving work exceeds
// what the account is admitted, in core-milliseconds per second. Persistent items come first, as VMs that they run on can't be given away.
func (l *demandLimit) addTo(d *requiredResources, b *batchDemand) int64 {
	share := admittedShare(l.admitted, l.persistentAmount)
	d.persistentCPU += scale(l.persistent.persistentCPU, share)
	d.persistentMemMB += scale(l.persistent.persistentMemMB, share)
	d.spreadVMs = max(d.spreadVMs, int(scale(int64(l.persistent.spreadVMs), share)))
	p := l.persistentAmount
	left := within(plus(l.admitted, jobs.Amount{CPU: scale(p.CPU, share), MemMB: scale(p.MemMB, share), GPU: scale(p.GPU, share)}, -1))
	share = admittedShare(left, l.batchAmount)
	if share >= 1 {
		b.add(l.batch.work, l.batch.cpu, false)
		b.add(l.batch.overdueWork, l.batch.overdueCPU, true)
		return 0
	}
	// More work would raise the demand by the CPU that others request.
	cpu, overdueCPU := scale(l.batch.cpu, share), scale(l.batch.overdueCPU, share)
	b.add(min(l.batch.work, cpu*backlogDrainMs/1000), cpu, false)
	b.add(min(l.batch.overdueWork, overdueCPU*overdueDrainMs/1000), overdueCPU, true)
	return max(l.arrivals-cpu, 0)
}

// admittedShare returns the part of a requested amount, at most 1, that an admitted amount holds.
func admittedShare(admitted, requested jobs.Amount) float64 {
	share := 1.0
	for _, r := range [][2]int64{{admitted.CPU, requested.CPU}, {admitted.MemMB, requested.MemMB}, {admitted.GPU, requested.GPU}} {
		if r[0] < r[1] {
			share = min(share, float64(r[0])/float64(r[1]))
		}
	}
	return share
}

// scale returns a part of n, rounded up.
func scale(n int64, share float64) int64 {
	if share >= 1 {
		return n
	}
	return int64(math.Ceil(float64(n) * share))
}

// heldByLimit reports whether nothing of a job runs and the account may start none of its next items.
func (e *Engine) heldByLimit(j *job, now int64) bool {
	if e.itemsAtLimit(j.use) == 0 || j.activeCount() > 0 {
		return false
	}
	ready := j.readyItems(now)
	return len(ready) > 0 && !e.mayStart(j, ready[0])
}
