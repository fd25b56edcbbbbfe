package shard

import (
	"sassafrasvalve/core/jobs"
)

// phase is where an item stands between two of its runs.
type phase int

const (
	idle     phase = iota
	planned        // its start is being recorded
	sent           // its start is under way
	running        // the VM has confirmed the start or shown the run
	adopted        // an earlier owner started it; the VM has not been asked yet
	stopping       // it is being stopped, or kept from starting
)

// item is a work item of a job that is not over.
type item struct {
	jobs.Item
	job  *job
	step *jobs.Step
	name string

	run    int
	failed []int // runs that ended failed, of an item that does not last
	done   bool
	ref    string

	phase     phase
	vm        *vm
	since     int64 // of the phase
	startedAt int64 // the start was confirmed
	startBy   int64 // by the VM's clock: a start that is carried out later is refused
	unsureAt  int64 // the start turned out to have no answer, 0 otherwise
	stopSent  int64
	stopAcked int64
	notBefore int64

	percent  int
	load     int64
	movedAt  int64 // percent changed last
	paced    int   // share of its speed it was told to work at, in percent
	paceSent int64
	shown    bool     // a poll has shown the present run
	seenIn   int64    // number of the newest poll that showed it
	ticket   string   // of the policy, for the VM chosen
	avoid    []string // VMs on which it failed
}

func (it *item) avoids(id string) bool {
	for _, a := range it.avoid {
		if a == id {
			return true
		}
	}
	return false
}

// job is a job that is not over, or of which something still runs.
type job struct {
	*jobs.Job
	rev       int64
	state     jobs.State
	saved     jobs.State // as the log has it
	base      int        // occurrences below it are over
	opened    int        // occurrences below it have their items
	items     map[jobs.Item]*item
	order     []*item // in the order of occurrence, step and index
	left      map[[2]int]int
	arrivedAt int64
	clockDiff int64 // time of day minus local time, at arrival
	inherited bool  // it was there when the shard was taken over from an owner that was lost
	chainMs   int64 // longest chain of estimates
	tail      []int64
	ready     []*item // that may start, as of the last poll
	stale     bool    // an item changed since
	wakeAt    int64   // when an item's pause ends, 0 if none pauses
}

// startable returns the items that may start now.
func (j *job) startable(now int64) []*item {
	if !j.stale && (j.wakeAt == 0 || now < j.wakeAt) {
		return j.ready
	}
	j.stale, j.wakeAt, j.ready = false, 0, j.ready[:0]
	for _, it := range j.order {
		if it.phase != idle || it.done || !j.turn(it) {
			continue
		}
		if now < it.notBefore {
			if j.wakeAt == 0 || it.notBefore < j.wakeAt {
				j.wakeAt = it.notBefore
			}
			continue
		}
		j.ready = append(j.ready, it)
	}
	return j.ready
}

// newJob returns a job that arrived when its entry accepted it, by the time of day.
func newJob(j *jobs.Job, now, wall int64) *job {
	age := min(max(wall-j.AcceptedMs, 0), maxClockAge)
	n := &job{
		Job: j, items: map[jobs.Item]*item{}, left: map[[2]int]int{}, stale: true,
		arrivedAt: now - age, clockDiff: wall - now,
	}
	n.tail = chainTails(j.Steps)
	for _, t := range n.tail {
		n.chainMs = max(n.chainMs, t)
	}
	return n
}

// maxClockAge bounds the age that another machine's time of day may give a job, in milliseconds.
const maxClockAge = 60_000

// chainTails returns for each step the longest chain of estimates that begins with it.
func chainTails(steps []jobs.Step) []int64 {
	tails := make([]int64, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		tails[i] += steps[i].EstimateMs
		for _, a := range steps[i].After {
			tails[a] = max(tails[a], tails[i])
		}
	}
	return tails
}

// open creates the items of the occurrences that are due. wall is the time of day.
func (j *job) open(wall, earlyMs int64) {
	for j.opened < j.Occurrences() && j.DueMs(j.opened) <= wall+earlyMs/2 {
		j.openOccurrence(j.opened)
	}
}

// openOccurrence creates the items of all occurrences up to k.
func (j *job) openOccurrence(k int) {
	j.opened, j.stale = max(j.opened, j.base), true
	for ; j.opened <= k && j.opened < j.Occurrences(); j.opened++ {
		for s := range j.Steps {
			step := &j.Steps[s]
			for i := range step.Count {
				id := jobs.Item{K: j.opened, Step: s, Index: i}
				it := &item{Item: id, job: j, step: step, name: id.Name(j.ID), paced: 100}
				j.items[id] = it
				j.order = append(j.order, it)
			}
			j.left[[2]int{j.opened, s}] = step.Count
		}
	}
}

// recount derives how many items of each step are left, after a takeover.
func (j *job) recount() {
	for key := range j.left {
		j.left[key] = 0
	}
	for _, it := range j.order {
		if !it.done {
			j.left[[2]int{it.K, it.Step}]++
		}
	}
}

// turn reports whether the steps before an item's step are done.
func (j *job) turn(it *item) bool {
	for _, a := range it.step.After {
		if j.left[[2]int{it.K, a}] > 0 {
			return false
		}
	}
	return true
}

// complete reports whether all items of all occurrences are done.
func (j *job) complete() bool {
	if j.opened < j.Occurrences() {
		return false
	}
	for _, n := range j.left {
		if n > 0 {
			return false
		}
	}
	return true
}

// active returns the number of items that a VM has or may have.
func (j *job) active() int {
	n := 0
	for _, it := range j.order {
		if it.vm != nil {
			n++
		}
	}
	return n
}

// progress returns the record of the job.
func (j *job) progress() jobs.Progress {
	p := jobs.Progress{Rev: j.rev, State: j.state, Base: j.base}
	if j.state.Final() {
		return p
	}
	for _, it := range j.order {
		if it.run == 0 && !it.done {
			continue
		}
		s := jobs.ItemState{
			K: it.K, Step: it.Step, Index: it.Index, Run: it.run, Failed: it.failed, Done: it.done, Ref: it.ref,
		}
		if it.vm != nil && !it.done {
			s.VM, s.VMBorn = it.vm.ID, it.vm.born
		}
		p.Items = append(p.Items, s)
	}
	return p
}

// trim drops the items of occurrences that are done, so that records stay small.
func (j *job) trim() {
	if j.Times <= 1 {
		return
	}
	for j.base < j.opened && j.occurrenceOver(j.base) {
		for s := range j.Steps {
			delete(j.left, [2]int{j.base, s})
		}
		keep := j.order[:0]
		for _, it := range j.order {
			if it.K == j.base {
				delete(j.items, it.Item)
				continue
			}
			keep = append(keep, it)
		}
		j.order = keep
		j.base++
	}
}

func (j *job) occurrenceOver(k int) bool {
	for s := range j.Steps {
		if j.left[[2]int{k, s}] > 0 {
			return false
		}
	}
	for _, it := range j.order {
		if it.K == k && it.vm != nil {
			return false
		}
	}
	return true
}
