package shard

import (
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Pauses between turns of duties that check everything, in milliseconds.
const (
	tickEveryMs = 40
	needEveryMs = 100
)

// Judgement of VMs and runs.
const (
	// badFails of the newest 8 ends on a VM make it suspect.
	badFails = 3
	// badMs is how long a suspect VM gets no new work.
	badMs = 3000
	// maxBadShare is the part of the pool that may be held suspect at once: one in maxBadShare.
	maxBadShare = 3
	// stuckMs and stuckFactor: a run without progress for this long, and for so many times its
	// estimate, is ended and goes elsewhere.
	stuckMs     = 1500
	stuckFactor = 1
	// freshLookMs is the age of a poll up to which runs are judged by it.
	freshLookMs = 1200
	// startupMs is how long an item that lasts may take until it is at work.
	startupMs = 4000
)

// Pacing of items that fill beside items that serve.
const (
	paceEveryMs  = 600 // between two orders to one VM's items; the figures are of the last half second
	paceOver     = 85  // percent of the target above which filling is cut
	paceUnder    = 55  // percent of the target under which it is raised
	paceStep     = 25  // percent of full speed
	paceDownPart = 3   // filling is cut to this part of its speed
)

// tick does what is due at a time: leases that are over, repeated stops, runs that stand still, pacing.
func (e *Engine) tick(now, wall int64) {
	if now < e.nextTick {
		return
	}
	e.nextTick = now + tickEveryMs
	e.flow.open = 0
	for _, v := range e.vms {
		e.tickVM(v, now)
	}
	e.flow.judge(now)
	e.tickVacate(now)
	if now >= e.nextNeed {
		e.nextNeed = now + needEveryMs
		e.tickNeed(now)
	}
	for _, j := range e.jobs {
		if j.Times > 0 && !j.state.Final() {
			j.open(wall, e.cfg.MaxEarlyStartMs)
		}
	}
	if now >= e.nextPace {
		e.nextPace = now + paceEveryMs
		for _, v := range e.vms {
			e.pace(v, now)
		}
	}
	keep := e.done[:0]
	for _, f := range e.done {
		if now >= f.drop {
			e.drops = append(e.drops, f.id)
			continue
		}
		keep = append(keep, f)
	}
	e.done = keep
}

func (e *Engine) tickVM(v *vm, now int64) {
	if len(v.runs) == 0 {
		return
	}
	for _, it := range v.runs {
		if it.phase == sent && it.unsureAt == 0 {
			e.flow.open++
		}
	}
	if (v.failing || !v.listed) && v.lapsed(now) {
		e.note(Event{VM: v.ID, Name: "lease over on silent vm", N: len(v.runs)})
		for _, it := range v.runs {
			if it.phase != planned {
				e.free(it, now)
			}
		}
		return
	}
	if v.failing {
		return
	}
	for _, it := range v.runs {
		switch {
		case it.phase == stopping && it.stopAcked == 0 && now-it.stopSent >= stopRetryMs:
			e.sendStop(it, now)
		case it.phase == running && it.step.Persistent && v.Draining:
			e.stop(it, "vm draining", now)
		case it.phase == running && e.stuck(it, now):
			it.avoid = append(it.avoid, v.ID)
			e.judge(v, v.result(true), now)
			e.stop(it, "run stands still", now)
		}
	}
}

// stuck reports whether a run makes no progress.
func (e *Engine) stuck(it *item, now int64) bool {
	if now-it.vm.lastLook > freshLookMs {
		return false // what the VM said is too old to judge by
	}
	// Polls are the evidence: between them this process, its link or the VM may only have been late.
	still := it.vm.lastLook - it.movedAt
	if it.step.Persistent {
		return it.percent < 100 && it.paced == 100 && now-it.startedAt > startupMs && still > startupMs && e.mayInterrupt(it, now)
	}
	return still > stuckMs && still > stuckFactor*it.step.EstimateMs && it.percent < 100
}

// judge keeps new work off a VM on which many of the newest runs failed, while enough others are left.
func (e *Engine) judge(v *vm, fails int, now int64) {
	if fails < badFails || now < v.badUntil {
		return
	}
	bad := 0
	for _, o := range e.vms {
		if now < o.badUntil {
			bad++
		}
	}
	if (bad+1)*maxBadShare > len(e.vms) {
		return
	}
	v.badUntil = now + badMs
	v.results = [8]bool{}
	e.note(Event{VM: v.ID, Name: "vm suspect", Reason: "runs fail or stand still", N: fails})
}

// pace slows the items that fill while an item that serves is near its target, and speeds them up again.
func (e *Engine) pace(v *vm, now int64) {
	if v.failing || !v.met {
		return
	}
	var worst int64 // percent of the target
	fills := false
	for _, it := range v.runs {
		if it.phase != running {
			continue
		}
		fills = fills || it.step.Fill
		if it.step.TargetMs > 0 && !it.step.Fill {
			worst = max(worst, 100*it.load/it.step.TargetMs)
		}
	}
	if !fills {
		return
	}
	for _, it := range v.runs {
		if it.phase != running || !it.step.Fill {
			continue
		}
		want := it.paced
		switch {
		case worst > paceOver:
			want = it.paced / paceDownPart
		case worst < paceUnder:
			want = min(it.paced+paceStep, 100)
		}
		if want != it.paced || it.paceSent == 0 && want < 100 {
			it.paced, it.paceSent = want, now
			e.orders = append(e.orders, pools.Order{
				Kind: pools.Throttle, VM: v.ID, JobID: it.job.ID, Item: it.name, Run: it.run, Percent: want, Fence: e.cfg.Epoch,
			})
		}
	}
}

// Counts of what the engine holds, for metrics and logs.
type Counts struct {
	Jobs, Waiting, Items, Runs, VMs, Usable int
	Want                                    int   // VMs that the pool can use
	FreeCPU                                 int64 // thousandths of a core, on usable VMs
	Starting, MostStarting                  int   // starts without an answer, and how many there may be
	Held                                    int   // jobs that wait until all VMs of an earlier owner were asked
	Unasked                                 int   // VMs that were not asked yet
	Unrecorded                              int   // starts that wait for their record
}

// Counts returns what the engine holds.
func (e *Engine) Counts(now int64) Counts {
	c := Counts{
		Jobs: len(e.jobs), VMs: len(e.vms), Want: e.need.want, Starting: e.flow.open, MostStarting: e.flow.window,
		Unasked: len(e.unmet), Unrecorded: len(e.waiting),
	}
	for _, j := range e.jobs {
		if j.inherited && c.Unasked > 0 && !j.state.Final() {
			c.Held++
		}
		if j.state == jobs.Queued {
			c.Waiting++
		}
		c.Items += len(j.order)
	}
	for _, v := range e.vms {
		c.Runs += len(v.runs)
		if v.usable(now) {
			c.Usable++
			c.FreeCPU += v.CPU - v.cpu
		}
	}
	return c
}
