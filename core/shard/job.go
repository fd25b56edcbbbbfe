package shard

import (
	"sassafrasvalve/core/jobs"
)

// phase is the state of an item's present run.
type phase int

const (
	idle     phase = iota
	planned        // waits until its start is recorded
	sent           // the start order was sent
	running        // the VM has confirmed the start or listed the run
	adopted        // started by an earlier owner; not polled yet
	stopping       // a stop was sent, which also prevents a start that is not executed yet
)

// item is a work item of a job that has not ended. An item with a target latency (Step.TargetMs > 0) is a serving item.
// A fill item (Step.Fill) uses the CPU that other items leave.
type item struct {
	jobs.Item
	job     *job
	stepDef *jobs.Step
	name    string

	run        int
	failedRuns []int // numbers of the runs that failed; unused for persistent items
	done       bool
	checkpoint string
	// checkpointTooLarge is set once a VM has listed a checkpoint above jobs.MaxRefBytes.
	checkpointTooLarge bool

	phase           phase
	vm              *vm
	phaseSince      int64 // start of the present phase
	sentAt          int64 // time at which the present run was ordered or taken over
	startUnknown    bool  // an earlier owner ordered the present run
	startedAt       int64 // time at which the start was confirmed
	startDeadlineMs int64 // DeadlineMs of the start order, by the VM's clock; the VM refuses the start afterwards
	startFence      int64 // fence number of the start order, 0 if an earlier owner sent it
	unansweredAt    int64 // time at which the start order turned out to have no reply, 0 otherwise
	stopSentAt      int64
	stopAckedAt     int64
	notBefore       int64 // earliest time of the next start
	open            openStart
	late            []lateStart
	counted         int  // runs that the count of the account holds for the item
	repeats         int  // how often the start of the present run was repeated
	repeatWaits     bool // the next repeat waits for the record of the open start
	runSpent        bool // the present run was stopped, has ended or was refused as ended, so that its number can't be sent again
	runReused       bool // the present run was sent again after its VM was lost

	progressPercent   int      // work done, as last reported; 100 means that a persistent item is at work
	tailLatencyMs     int64    // as last reported for a serving item; unused for other items
	progressChangedAt int64    // time of the last change of progressPercent
	throttlePercent   int      // percentage of full speed that was ordered last
	throttleSentAt    int64    // time of the last throttle order, 0 if none was sent or it failed
	inNextLifetime    bool     // during endLifetime: the next lifetime has executed the start of the present run
	seenRunning       bool     // a poll reply has listed the present run
	seenInPoll        int64    // pollNum of the newest poll that listed it
	token             string   // policy token for the chosen VM
	failedVMs         []string // VMs on which it failed or stalled

	crashedRuns     []int   // numbers of the runs whose VM crashed
	lostRuns        []int   // numbers of the runs whose VM was lost for an unknown cause
	testNext        bool    // its next start is a test, as it started last on a VM that crashed
	testBy          int64   // time until which it waits for a VM to test it
	underTest       bool    // the present run is a test
	testCrashed     bool    // a VM crashed while it tested the item and nothing else explained it
	unansweredCrash bool    // a VM crashed before it confirmed the start of a run
	crashAgeMs      int64   // age of its oldest run whose VM crashed, 0 if unknown
	givenUp         bool    // a poison item of a persistent step, which does not start any more
	crashChance     float64 // chance that all VMs which crashed under it crashed for other reasons, 0 if none did
}

// failedOn reports whether the item failed or stalled on a VM.
func (it *item) failedOn(id string) bool {
	for _, a := range it.failedVMs {
		if a == id {
			return true
		}
	}
	return false
}

// remainingMs returns the time in milliseconds until the present run should have ended: by the estimate, or by its progress so
// far if that is slower.
func (it *item) remainingMs(now int64) int64 {
	switch {
	case it.phase == stopping:
		return 0
	case it.phase != running:
		return max(it.phaseSince+it.stepDef.EstimateMs-now, 0)
	}
	ranMs := now - it.startedAt
	ms := max(it.stepDef.EstimateMs-ranMs, 0)
	if p := int64(it.progressPercent); p > 0 {
		return max(ms, (it.progressChangedAt-it.startedAt)*100/p-ranMs)
	}
	return max(ms, ranMs-it.stepDef.EstimateMs) // without progress a late run is assumed to be as late again
}

// job is a job that has not ended, or of which something still runs.
type job struct {
	*jobs.Job
	use          *accountUse // count of its account, nil if it has none
	rev          int64
	parts        map[int][]byte // part records in the log by number: the encoded states, nil if unknown
	stepOffsets  []int          // as returned by stepOffsets
	state        jobs.State
	storedState  jobs.State // state in the last stored record
	base         int        // occurrences below it have ended and are deleted
	opened       int        // occurrences below it have items
	items        map[jobs.Item]*item
	orderedItems []*item        // sorted by occurrence, step and index
	remaining    map[[2]int]int // unfinished items, by occurrence and step
	arrivedAt    int64
	wallOffsetMs int64 // Unix time minus local time, at arrival
	begun        bool  // an item was started
	tooLarge     bool  // its next items fit on no VM of the pool, also on an empty one
	inherited    bool  // loaded at a takeover from an owner that may have started items without recording them
	chainMs      int64 // sum of the estimates on the longest chain of dependent steps
	tailMs       []int64
	readyCache   []*item // items that may start, valid while readyStale is false
	readyStale   bool    // an item changed since readyCache was computed
	nextReadyAt  int64   // earliest notBefore of the items that wait for it, 0 if none does
}

// readyItems returns the items that may start now.
func (j *job) readyItems(now int64) []*item {
	if !j.readyStale && (j.nextReadyAt == 0 || now < j.nextReadyAt) {
		return j.readyCache
	}
	j.readyStale, j.nextReadyAt, j.readyCache = false, 0, j.readyCache[:0]
	for _, it := range j.orderedItems {
		if it.phase != idle || it.done || it.givenUp || !j.predecessorsDone(it) {
			continue
		}
		if now < it.notBefore {
			if j.nextReadyAt == 0 || it.notBefore < j.nextReadyAt {
				j.nextReadyAt = it.notBefore
			}
			continue
		}
		j.readyCache = append(j.readyCache, it)
	}
	return j.readyCache
}

// newJob returns a job whose arrival time is that at which a process accepted it from its caller. wall is the Unix time
// in milliseconds.
func newJob(j *jobs.Job, now, wall int64) *job {
	age := min(max(wall-j.AcceptedMs, 0), maxClockAgeMs)
	n := &job{
		Job: j, items: map[jobs.Item]*item{}, remaining: map[[2]int]int{}, readyStale: true, parts: map[int][]byte{},
		arrivedAt: now - age, wallOffsetMs: wall - now,
	}
	n.stepOffsets = stepOffsets(j)
	n.tailMs = chainTails(j.Steps)
	for _, t := range n.tailMs {
		n.chainMs = max(n.chainMs, t)
	}
	return n
}

// maxClockAgeMs bounds the age of a job that is computed from another host's wall clock.
const maxClockAgeMs = 60_000

// chainTails returns for each step the sum of the estimates, in milliseconds, on the longest chain of dependent steps
// that begins with it.
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

// maxOpenItems is the number of items of a job beyond which no further occurrence is opened. A schedule of 100,000
// occurrences that are all due at once would take the memory of owner after owner.
const maxOpenItems = 2000

// openDueOccurrences creates the items of the occurrences that are due or start early: up to half of earlyMs before
// their due time. Those beyond maxOpenItems follow when earlier ones are done. wall is the Unix time in milliseconds.
func (j *job) openDueOccurrences(wall, earlyMs int64) {
	for j.opened < j.Occurrences() && j.DueMs(j.opened) <= wall+earlyMs/2 && len(j.orderedItems) < maxOpenItems {
		j.openOccurrencesUpTo(j.opened)
	}
}

// openOccurrencesUpTo creates the items of all occurrences up to and including k.
func (j *job) openOccurrencesUpTo(k int) {
	j.opened, j.readyStale = max(j.opened, j.base), true
	for ; j.opened <= k && j.opened < j.Occurrences(); j.opened++ {
		for s := range j.Steps {
			step := &j.Steps[s]
			for i := range step.Count {
				id := jobs.Item{K: j.opened, Step: s, Index: i}
				it := &item{Item: id, job: j, stepDef: step, name: id.Name(j.ID), throttlePercent: 100}
				j.items[id] = it
				j.orderedItems = append(j.orderedItems, it)
			}
			j.remaining[[2]int{j.opened, s}] = step.Count
		}
	}
}

// recountRemaining counts the unfinished items of each step after a takeover.
func (j *job) recountRemaining() {
	for key := range j.remaining {
		j.remaining[key] = 0
	}
	for _, it := range j.orderedItems {
		if !it.done {
			j.remaining[[2]int{it.K, it.Step}]++
		}
	}
}

// predecessorsDone reports whether all steps that the item's step depends on are done.
func (j *job) predecessorsDone(it *item) bool {
	for _, a := range it.stepDef.After {
		if j.remaining[[2]int{it.K, a}] > 0 {
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
	for _, n := range j.remaining {
		if n > 0 {
			return false
		}
	}
	return true
}

// activeCount returns the number of items that run or may run on a VM.
func (j *job) activeCount() int {
	n := 0
	for _, it := range j.orderedItems {
		if it.vm != nil {
			n++
		}
	}
	return n
}

// trimOccurrences deletes the items of the leading occurrences that are done, to keep records small.
func (j *job) trimOccurrences() {
	if j.Times <= 1 {
		return
	}
	for j.base < j.opened && j.occurrenceDone(j.base) {
		for s := range j.Steps {
			delete(j.remaining, [2]int{j.base, s})
		}
		kept := j.orderedItems[:0]
		for _, it := range j.orderedItems {
			if it.K == j.base {
				delete(j.items, it.Item)
				continue
			}
			kept = append(kept, it)
		}
		j.orderedItems = kept
		j.base++
	}
}

// occurrenceDone reports whether all items of an occurrence are done and none is on a VM.
func (j *job) occurrenceDone(k int) bool {
	for s := range j.Steps {
		if j.remaining[[2]int{k, s}] > 0 {
			return false
		}
	}
	for _, it := range j.orderedItems {
		if it.K == k && it.vm != nil {
			return false
		}
	}
	return true
}

// isArrival reports whether the job has just arrived, so that it counts for the forecast of the demand.
func (j *job) isArrival(now int64) bool { return !j.Persistent() && now-j.arrivedAt < rateWindowMs }

// arrivingWork returns the core-milliseconds of the job. The work of all occurrences counts at once, also of those that are due much
// later.
func (j *job) arrivingWork() int64 { return j.CoreMs() * int64(j.Occurrences()) }
