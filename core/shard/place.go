package shard

import (
	"sort"

	"sassafrasvalve/core/jobs"
)

// candidate is a job of which items may start now.
type candidate struct {
	job   *job
	ready []*item
	tier  int
	slack int64 // until its latest start that is still in time
}

// The tiers of candidates, in the order in which they are placed.
const (
	tierLasting = iota // what lasts earns all the time
	tierInTime
	tierLate // may still earn the smaller benefit
	tierLost
)

// lateFactor is how many times its objective a job may take and still earn something.
const lateFactor = 3

// place chooses items and VMs for them. The items chosen are planned, and their jobs are due to be recorded.
func (e *Engine) place(now int64) []start {
	if e.catalog == nil || now-e.contact > contactMs {
		return nil
	}
	list := e.candidates(now)
	if len(list) == 0 {
		return nil
	}
	usable := make([]*vm, 0, len(e.vms))
	for _, v := range e.sorted() {
		if v.usable(now) {
			usable = append(usable, v)
		}
	}
	e.room.measure(usable)
	var starts []start
	for _, c := range list {
		if len(starts) >= e.flow.room() {
			break
		}
		starts = append(starts, e.placeJob(c, usable, now)...)
	}
	return starts
}

func (e *Engine) candidates(now int64) []candidate {
	var list []candidate
	settled := e.settled(now)
	for _, j := range e.jobs {
		if j.state.Final() || j.inherited && !settled {
			continue
		}
		ready := j.startable(now)
		if len(ready) > 0 {
			list = append(list, e.rank(j, ready, now))
		}
	}
	sort.Slice(list, func(a, b int) bool {
		x, y := &list[a], &list[b]
		if x.tier != y.tier {
			return x.tier < y.tier
		}
		if x.slack != y.slack {
			return x.slack < y.slack
		}
		return x.job.ID < y.job.ID
	})
	return list
}

// rank places a job among the candidates: by the latest time at which its next items must start.
func (e *Engine) rank(j *job, ready []*item, now int64) candidate {
	c := candidate{job: j, ready: ready}
	if j.Persistent() {
		c.tier = tierLasting
		return c
	}
	var rest int64
	for _, it := range ready {
		rest = max(rest, j.tail[it.Step])
	}
	slo := e.objective(j)
	begin := j.arrivedAt
	if j.Times > 0 {
		begin = j.DueMs(ready[0].K) - j.clockDiff
	}
	c.slack = begin + slo - rest - now
	if c.slack >= 0 {
		c.tier = tierInTime
		return c
	}
	c.slack = begin + lateFactor*slo - rest - now
	c.tier = tierLate
	if c.slack < 0 {
		c.tier = tierLost
	}
	return c
}

// objective returns the time in which a job should be complete, in milliseconds.
func (e *Engine) objective(j *job) int64 {
	q := e.catalog.Queue(j.Queue)
	if q == nil {
		return j.chainMs
	}
	return int64(q.Stretch*float64(j.chainMs)) + q.SLOMs
}

// placeJob plans the ready items of one job. A gang is planned whole or not at all.
func (e *Engine) placeJob(c candidate, usable []*vm, now int64) []start {
	var starts []start
	for i := 0; i < len(c.ready); {
		it := c.ready[i]
		group := c.ready[i : i+1]
		if it.step.Gang {
			group = sameStep(c.ready[i:])
			if len(group) < it.step.Count {
				i += len(group)
				continue // a member still runs or is being stopped
			}
		}
		i += len(group)
		starts = append(starts, e.placeGroup(c.job, group, usable, now)...)
	}
	return starts
}

// sameStep returns the items at the start of list that belong to the step of the first.
func sameStep(list []*item) []*item {
	n := 1
	for n < len(list) && list[n].K == list[0].K && list[n].Step == list[0].Step {
		n++
	}
	return list[:n]
}

func (e *Engine) placeGroup(j *job, group []*item, usable []*vm, now int64) []start {
	tickets, advised := e.advisedOnly(j, group[0], now)
	if advised && len(tickets) == 0 {
		return nil
	}
	j.stale = true
	run := 0
	for _, it := range group {
		run = max(run, it.run)
	}
	var starts []start
	for _, it := range group {
		if !e.room.mayFit(it.step) {
			undo(starts)
			return nil
		}
		v := e.choose(j, it, allowedBy(usable, tickets), now)
		if v == nil {
			undo(starts)
			return nil
		}
		it.ticket = tickets[v.ID]
		v.attach(it)
		e.room.took(v, it, usable)
		it.phase, it.since = planned, now
		starts = append(starts, start{it, run + 1, v})
	}
	for _, s := range starts {
		s.it.run, s.it.paced, s.it.stopAcked, s.it.paceSent, s.it.shown = run+1, 100, 0, 0, false
	}
	e.touch(j)
	return starts
}

// allowedBy returns the VMs that have a ticket, all of them if none is needed.
func allowedBy(usable []*vm, tickets map[string]string) []*vm {
	if tickets == nil {
		return usable
	}
	list := make([]*vm, 0, len(tickets))
	for _, v := range usable {
		if _, ok := tickets[v.ID]; ok {
			list = append(list, v)
		}
	}
	return list
}

// undo gives back what was planned of a gang that has no room as a whole.
func undo(starts []start) {
	for _, s := range starts {
		s.it.vm.detach(s.it)
		s.it.phase = idle
	}
}

// room is the most that is free on one VM, so that items that fit nowhere cost no search.
type room struct {
	cpu, mem int64
}

// mayFit reports whether a VM could have room for an item of a step.
func (r *room) mayFit(s *jobs.Step) bool { return (s.Fill || s.CPU <= r.cpu) && s.MemMB <= r.mem }

// measure finds the most that is free.
func (r *room) measure(usable []*vm) {
	r.cpu, r.mem = 0, 0
	for _, v := range usable {
		r.cpu, r.mem = max(r.cpu, v.CPU-v.cpu), max(r.mem, v.MemMB-v.mem)
	}
}

// took notes that room on a VM was taken.
func (r *room) took(v *vm, it *item, usable []*vm) {
	free := v.CPU - v.cpu
	if !it.step.Fill {
		free += it.step.CPU
	}
	if free >= r.cpu || v.MemMB-v.mem+it.step.MemMB >= r.mem {
		r.measure(usable)
	}
}

// Weights of the choice of a VM, in thousandths of the VM's processor.
const (
	weightRemote = 1500 // data on another rack costs more than any packing gains
	weightFailed = 4000 // the item failed there before
	weightSame   = 700  // items of one lasting step share the fate of their VM
	weightRack   = 200  // and of their rack
	weightFresh  = 600  // a VM with lasting items cannot be given away, so they keep to few
	weightBeside = 400  // an item that fills disturbs each item that serves
)

// choose returns the VM for an item, nil if none has room.
func (e *Engine) choose(j *job, it *item, usable []*vm, now int64) *vm {
	var best *vm
	var bestCost int64
	for _, v := range usable {
		if !v.fits(it) || !allowed(j, it, v) || it.step.Persistent && v.returnedAt > 0 && now-v.returnedAt < returnMs {
			continue
		}
		if cost := e.cost(j, it, v); best == nil || cost < bestCost {
			best, bestCost = v, cost
		}
	}
	return best
}

// allowed checks the label and the number of items of the step on the VM.
func allowed(j *job, it *item, v *vm) bool {
	s := it.step
	if s.Label != "" && !v.HasLabel(s.Label) {
		return false
	}
	if s.MaxPerVM <= 0 {
		return true
	}
	n := 0
	for _, o := range v.runs {
		if o.job == j && o.K == it.K && o.Step == it.Step {
			n++
		}
	}
	return n < s.MaxPerVM
}

func (e *Engine) cost(j *job, it *item, v *vm) int64 {
	s := it.step
	// The fullest VM that fits goes first, so that others become empty and can serve another pool.
	var cost int64
	if v.CPU > 0 {
		cost = 1000 * (v.CPU - v.cpu) / v.CPU
	}
	if s.DataRack != "" && s.DataRack != v.rack {
		cost += weightRemote
	}
	if it.avoids(v.ID) {
		cost += weightFailed
	}
	if !s.Persistent && !s.Fill {
		return cost
	}
	lasting := false
	for _, o := range v.runs {
		lasting = lasting || o.step.Persistent
		if o.job == j && o.Step == it.Step {
			cost += weightSame
		}
		if (s.Fill && o.step.TargetMs > 0) || (o.step.Fill && s.TargetMs > 0) {
			cost += weightBeside
		}
	}
	if !lasting {
		cost += weightFresh
	}
	for _, o := range j.order {
		if o.vm != nil && o.Step == it.Step && o.vm.rack == v.rack {
			cost += weightRack
		}
	}
	return cost
}
