package shard

import (
	"slices"
	"sort"

	"sassafrasvalve/core/jobs"
)

// Demand of a pool, in milliseconds where not said otherwise.
const (
	// rateMs is the window over which arriving work is measured.
	rateMs = 1000
	// aheadMs is how far a rise of the demand is extrapolated: a machine joins about so long after it was asked for.
	aheadMs = 2300
	// aheadSteady bounds what is expected without a rise, in percent of what the jobs at hand can use.
	aheadSteady = 115
	// slopeMs is the time over which the rise of what jobs can use is measured.
	slopeMs = 700
	// trendJobs is the number of jobs in a window that make half of a trend believed.
	trendJobs = 6
	// clearMs is the time in which work that waits should be done.
	clearMs = 1500
	// fillShare is the part of the VMs' processors that can be filled, in percent.
	fillShare = 85
	// holdMs is how long a lower demand must last before VMs are offered.
	holdMs = 1200
	// postEvery is the shortest pause between two demand reports with another number of VMs only.
	postEvery = 250
	// memMargin is the memory that lasting items need together in whole VMs, in percent of their sum.
	memMargin = 115
	// spareVMs are kept beyond those that what lasts needs, so that it can restart elsewhere.
	spareVMs = 1 // while one of them is to be vacated
	// withoutRoomMs is how long a lasting item may wait for a VM before those that are being vacated are asked for once more.
	withoutRoomMs = 1000
	// blindMs is the time without a confirmation of the log after which jobs that callers hand in count as unseen. The claim is
	// renewed every 500 ms.
	blindMs = 1000
	// sightMs is the age of a confirmation up to which jobs are seen for certain: the pause between renewals, and an append.
	sightMs = 600
	// settleMs is how long the demand from before is held once jobs are seen again: refused callers come back after 1 s, and a rate
	// is measured over another.
	settleMs = 2000
	// minVMs are always kept.
	minVMs = 2
)

// arrival is work that came.
type arrival struct {
	at, coreMs int64
}

// need is the owner's view of its pool's demand.
type need struct {
	arrivals []arrival
	peaks    []arrival // newest wants: at, number
	usable   []arrival // newest figures of what the jobs could use: at, thousandths of a core
	posted   jobs.DemandReport
	postedAt int64
	want     int
	seen     int   // VMs that the pool could use when jobs were seen last
	held     int   // VMs that the pool could use before its jobs went unseen, 0 for none
	heldTill int64 // local ms
}

// arrived notes the work of a job that came.
func (n *need) arrived(j *jobs.Job, now int64) {
	n.arrivals = append(n.arrivals, arrival{now, j.CoreMs() * int64(j.Occurrences())})
}

// rates returns the core-milliseconds that came in the newest window and in the one before.
func (n *need) rates(now int64) (newest, before, count int64) {
	keep := n.arrivals[:0]
	for _, a := range n.arrivals {
		switch {
		case a.at > now-rateMs:
			newest += a.coreMs
			count++
		case a.at > now-2*rateMs:
			before += a.coreMs
		default:
			continue
		}
		keep = append(keep, a)
	}
	n.arrivals = keep
	return newest, before, count
}

// slope returns by how many thousandths of a core what the jobs can use rises in a second, 0 while it falls.
func (n *need) slope(usable, now int64) int64 {
	keep := n.usable[:0]
	for _, u := range n.usable {
		if u.at > now-slopeMs {
			keep = append(keep, u)
		}
	}
	keep = append(keep, arrival{now, usable})
	n.usable = keep
	first := n.usable[0]
	if now-first.at < slopeMs/3 {
		return 0
	}
	return max((usable-first.coreMs)*1000/(now-first.at), 0)
}

// tickNeed works out how many VMs the pool can use, and offers what it does not use.
func (e *Engine) tickNeed(now int64) {
	size, mem := e.vmSize()
	if size == 0 || mem == 0 {
		return
	}
	d := e.demand(now)
	floor := max(minVMs, d.widest, int((d.lastingCPU+size-1)/size), int((d.lastingMem*memMargin/100+mem-1)/mem))
	wait := e.lastingWait(now)
	if e.displaced(wait) {
		floor += spareVMs
	}
	if wait > withoutRoomMs {
		floor += e.vacatedVMs()
	}
	want := max(floor, int((d.cores*100/fillShare+d.lastingCPU+size-1)/size))
	e.need.want = max(e.steady(want, now), e.heldWant(now))
	e.offer(floor, now)
	e.preparePost(floor, now)
}

// RestoreDemand takes over how many VMs the pool could use by the demand report of an earlier owner. The jobs at hand say little
// of that: callers were refused for want of an owner.
func (e *Engine) RestoreDemand(p jobs.DemandReport, now int64) { e.hold(p.Want, now) }

// hold keeps the demand from falling below a number of VMs for a while.
func (e *Engine) hold(want int, now int64) {
	e.need.held, e.need.heldTill = max(e.need.held, want), now+settleMs
}

// heldWant returns the demand from before the log stopped to take what callers hand in, 0 if none is held. What could not be
// recorded meanwhile does not show in the rates, and comes back.
func (e *Engine) heldWant(now int64) int {
	switch age := now - e.confirmed; {
	case age <= sightMs:
		e.need.seen = e.need.want
	case age > blindMs:
		// It has fallen since the last confirmation, as rates are measured over a second.
		want := max(e.need.seen, e.need.want)
		if e.need.held == 0 {
			e.note(Event{Name: "demand held", Reason: "the log confirms nothing", N: want})
		}
		e.hold(want, now)
	}
	if now >= e.need.heldTill {
		e.need.held = 0
	}
	return e.need.held
}

// vmSize returns the usual processor, in thousandths of a core, and memory, in MB, of a VM of the pool.
func (e *Engine) vmSize() (cpu, mem int64) {
	var n int64
	for _, v := range e.vms {
		if v.CPU > 0 {
			cpu += v.CPU
			mem += v.MemMB
			n++
		}
	}
	if n == 0 {
		return 0, 0
	}
	return cpu / n, mem / n
}

// demand is what the work of a pool can use.
type demand struct {
	cores      int64 // thousandths of a core, by jobs that come and go
	lastingCPU int64 // thousandths of a core, by items that last
	lastingMem int64 // MB, by items that last
	widest     int   // VMs that a lasting step needs by its limit of items on one
}

// demand returns what the work of the pool can use.
func (e *Engine) demand(now int64) demand {
	var d demand
	var waiting, usable int64
	for _, j := range e.jobs {
		switch {
		case j.state.Final():
		case j.Persistent():
			d.addLasting(j)
		default:
			work, cpu := e.openWork(j, now)
			waiting += work
			usable += cpu
		}
	}
	newest, before, count := e.need.rates(now)
	mean := (newest + before) / 2
	// A trend of few jobs is mostly chance.
	trend := (newest - mean) * count / (count + trendJobs)
	coming := max(mean+trend*(1+2*aheadMs/rateMs), 0)
	// Work in core-milliseconds over milliseconds is cores. What is here can use no more than its items ask for.
	// A rise by few jobs is mostly chance.
	rise := e.need.slope(usable, now) * aheadMs / 1000 * count / (count + trendJobs)
	ahead := usable*aheadSteady/100 + rise
	d.cores = max(min(waiting*1000/clearMs, usable), min(coming*1000/rateMs, ahead))
	return d
}

// addLasting adds what the items of a lasting job take.
func (d *demand) addLasting(j *job) {
	for i := range j.Steps {
		s := &j.Steps[i]
		d.lastingMem += int64(s.Count) * s.MemMB
		if !s.Fill {
			d.lastingCPU += int64(s.Count) * s.CPU
		}
		if s.MaxPerVM > 0 {
			d.widest = max(d.widest, (s.Count+s.MaxPerVM-1)/s.MaxPerVM)
		}
	}
}

// displaced reports whether lasting items need another VM than those they have, given their longest wait.
func (e *Engine) displaced(wait int64) bool {
	if wait >= 0 {
		return true
	}
	for _, v := range e.vms {
		if v.vacate && len(v.runs) > 0 {
			return true
		}
	}
	return false
}

// lastingWait returns for how long a lasting item has waited for a VM at most, in milliseconds; -1 if none waits.
func (e *Engine) lastingWait(now int64) int64 {
	wait := int64(-1)
	for _, j := range e.jobs {
		if j.state.Final() || !j.Persistent() {
			continue
		}
		for _, it := range j.order {
			if it.phase == idle && it.step.Persistent {
				wait = max(wait, now-max(it.since, j.arrivedAt), 0)
			}
		}
	}
	return wait
}

// vacatedVMs returns the number of VMs that the machine controller asks to be emptied. They give no room, and those whose items
// may not be interrupted stay so while an item of the same step waits for room.
func (e *Engine) vacatedVMs() int {
	n := 0
	for _, v := range e.vms {
		if v.listed && v.vacate {
			n++
		}
	}
	return n
}

// openWork returns the core-milliseconds of a job whose turn has come and which may still earn something,
// and the thousandths of a core that it can use at once.
func (e *Engine) openWork(j *job, now int64) (work, cpu int64) {
	if now > j.arrivedAt+lateFactor*e.objective(j) {
		return 0, 0
	}
	for _, it := range j.order {
		if it.done || !j.turn(it) {
			continue
		}
		left := it.step.EstimateMs
		if it.phase == running {
			left = max(left-(now-it.startedAt), left/10)
		}
		work += left * it.step.CPU / 1000
		cpu += it.step.CPU
	}
	return work, cpu
}

// steady returns the greatest of the newest wants, so that a short lull gives nothing away.
func (e *Engine) steady(want int, now int64) int {
	keep := e.need.peaks[:0]
	for _, p := range e.need.peaks {
		if p.at > now-holdMs {
			keep = append(keep, p)
		}
	}
	keep = append(keep, arrival{now, int64(want)})
	e.need.peaks = keep
	for _, p := range e.need.peaks {
		want = max(want, int(p.coreMs))
	}
	return want
}

// offer gives VMs without runs away while there are more than wanted, and takes them back when there are fewer.
func (e *Engine) offer(floor int, now int64) {
	inUse := 0
	var free, offered []*vm
	for _, v := range e.vms {
		switch {
		case !v.listed || v.Draining || v.missing != 0:
		case v.offered:
			offered = append(offered, v)
		default:
			inUse++
			if len(v.runs) == 0 && v.met {
				free = append(free, v)
			}
		}
	}
	keep := max(e.need.want, floor)
	sort.Slice(free, func(a, b int) bool {
		if free[a].vacate != free[b].vacate {
			return free[a].vacate
		}
		return free[a].ID < free[b].ID
	})
	for i := 0; i < len(free) && inUse > keep; i++ {
		free[i].offered = true
		e.note(Event{VM: free[i].ID, Name: "offer vm", N: e.need.want})
		inUse--
	}
	for i := 0; i < len(offered) && inUse < keep; i++ {
		offered[i].offered = false
		offered[i].returnedAt = now
		e.note(Event{VM: offered[i].ID, Name: "use offered vm again", N: e.need.want})
		inUse++
	}
}

// preparePost has the owner's view recorded when it changed.
func (e *Engine) preparePost(floor int, now int64) {
	p := jobs.DemandReport{Epoch: e.cfg.Epoch, Want: e.need.want, Min: floor, Rev: e.need.posted.Rev, Urgent: e.urgency()}
	for id, v := range e.vms {
		if !v.listed || v.Draining {
			continue
		}
		if v.offered {
			p.Offers = append(p.Offers, id)
		}
		if v.vacate && len(v.runs) == 0 {
			p.Clear = append(p.Clear, id)
		}
	}
	sort.Strings(p.Offers)
	sort.Strings(p.Clear)
	old := &e.need.posted
	lists := !slices.Equal(p.Offers, old.Offers) || !slices.Equal(p.Clear, old.Clear)
	if !lists && (p.Want == old.Want && p.Min == old.Min || now-e.need.postedAt < postEvery) {
		return
	}
	p.Rev++
	e.need.posted, e.need.postedAt = p, now
}

// DemandReport returns what the machine controller is told.
func (e *Engine) DemandReport() jobs.DemandReport { return e.need.posted }

// urgency returns the priority of the pool's most urgent queue with waiting work; higher goes first.
func (e *Engine) urgency() int64 {
	var best int64
	for _, j := range e.jobs {
		if q := e.catalog.Queue(j.Queue); q != nil && !j.Persistent() {
			best = max(best, int64(maxPriority-q.Priority))
		}
	}
	return best
}

// maxPriority is above every priority of a queue.
const maxPriority = 100
