// Package shard decides, for one shard that this process owns, what runs on which VM.
// It is pure: no I/O, and the clock is handed in. Times are local milliseconds that also
// count a suspension of the machine, unless a name says otherwise.
package shard

import (
	"maps"
	"slices"
	"strings"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Timing of the orders, in milliseconds.
const (
	// leaseMs is how long a VM keeps its runs without word from the owner. It outlives the
	// detection of a lost owner and the takeover, and ends before the platform's longest lease.
	leaseMs = 5000
	// startLeaseMs is how long a start may be under way. One that is carried out later is refused by the VM.
	startLeaseMs = 1500
	// freshMs is the age of the last confirmation up to which starts need not wait for their record. Other
	// processes claim a shard after a longer silence only.
	freshMs = 1200
	// contactMs is how long after its last contact with the store an owner prolongs leases.
	contactMs = 4000
	// adoptMs bounds the lease that an earlier owner may have given: contactMs + leaseMs, on a
	// clock that is up to 2% slow, and the time between two polls.
	adoptMs = 9500
	// clockSlow is the rate of the slowest VM clock against a true one.
	clockSlow = 0.98
	// silentMs without an answered poll ends new work on a VM; polls come back within PollWaitMs.
	silentMs = 2000
	// missingMs is how long the entry of a VM may be missing before the VM is given no work.
	// The platform restores entries that lapsed during an outage within about 2 s.
	missingMs = 2500
	// stopRetryMs is the pause before an unanswered stop is repeated.
	stopRetryMs = 300
	// roomRetryMs is the pause after a VM refused a start for want of room.
	roomRetryMs = 150
	// unwellMs is the pause after a VM refused work as unhealthy.
	unwellMs = 1000
	// rejectedMs is the pause before an item that was refused as malformed is sent again.
	rejectedMs = 1000
)

// Config is what an engine needs.
type Config struct {
	Service           string
	Epoch             int64 // of the ownership, and the fence number of all orders
	StatusRetentionMs int64 // how long a finished job stays known
	MaxEarlyStartMs   int64 // how much before its time an occurrence may start
	ThrottleEffectMs  int64 // until an order to pace takes effect
	MaxOverTargetMs   int64 // how long a serving item may be over its target
	MaxAbsenceMs      int64 // how long an item may be away before it counts against its budget
	StopEffectMs      int64 // until a stop that a VM has accepted is carried out; 0 stands for defaultStopMs
}

// Engine is the state of one owned shard. It is not safe for concurrent use.
type Engine struct {
	cfg     Config
	catalog *jobs.Catalog
	jobs    map[string]*job
	vms     map[string]*vm
	dirty   map[string]*job
	orders  []pools.Order
	stale   []string // jobs that are over, of which a record came again
	drops   []string // finished jobs to drop from the log
	done    []finished
	lost    bool
	// recording is set while a batch is being appended.
	recording bool
	contact   int64   // last time the store answered this owner
	confirmed int64   // when the last append that the log took as this owner's was sent
	waiting   []start // starts whose record is to be written first
	// unmet are VMs on which an earlier owner may have started items that it did not record, with the time
	// until which such runs can live.
	unmet     map[string]int64
	notes     []Event
	nextPace  int64
	nextTick  int64
	room      room
	advice    map[stepKey]*advice
	questions []PolicyQuery
	asking    int   // questions under way
	mark      int64 // number of polls taken over
	nextNeed  int64
	vmsRev    int64    // changes with the listed VMs and their addresses
	byID      []*vm    // all VMs in the order of their IDs, nil when it has to be made anew
	vacated   []string // as the machine controller asked last
	flow      flow

	need need
}

// finished is a job that is kept for callers' questions until a time.
type finished struct {
	id   string
	drop int64
}

// Event is a decision for the log of the process.
type Event struct {
	JobID  string
	VM     string
	Name   string
	Reason string
	N      int
}

// New returns an engine for a shard that was just claimed.
func New(cfg Config, catalog *jobs.Catalog, now int64) *Engine {
	return &Engine{
		cfg: cfg, catalog: catalog, jobs: map[string]*job{}, vms: map[string]*vm{},
		dirty: map[string]*job{}, contact: now, advice: map[stepKey]*advice{}, flow: flow{window: windowFirst},
	}
}

// Fenced reports whether a VM has seen a higher fence number: another process owns the shard.
func (e *Engine) Fenced() bool { return e.lost }

// MarkOwnershipConfirmed notes that the log took an append as this owner's that was sent at a time.
func (e *Engine) MarkOwnershipConfirmed(at int64) { e.confirmed = max(e.confirmed, at) }

// RequireInitialPolls has every VM asked before items that came before the takeover are started: the earlier owner was
// lost without a word, and may have started some of them.
func (e *Engine) RequireInitialPolls(listed []pools.VM, now int64) {
	e.unmet = map[string]int64{}
	if listed == nil {
		e.unmet[""] = now + adoptMs // any VM may run something
	}
	for i := range listed {
		if listed[i].Service == e.cfg.Service {
			e.unmet[listed[i].ID] = now + adoptMs
		}
	}
	for _, j := range e.jobs {
		j.inherited = true
	}
}

// settled reports whether all VMs were asked that an earlier owner may have used.
func (e *Engine) settled(now int64) bool {
	for id, until := range e.unmet {
		if v := e.vms[id]; now >= until || v != nil && v.met {
			delete(e.unmet, id)
		}
	}
	return len(e.unmet) == 0
}

// NeedsMachineList reports whether the list of machines could tell that a lifetime is over: of a VM that is silent
// with runs on it, or of one that an earlier owner may have used.
func (e *Engine) NeedsMachineList() bool {
	for _, v := range e.vms {
		if v.failing && len(v.runs) > 0 {
			return true
		}
	}
	return len(e.unmet) > 0
}

// SetMachines takes over the platform's list of machines, which was asked for at a time. A VM that was known before
// and belongs to no machine any more is over.
func (e *Engine) SetMachines(machines []pools.Machine, asked, now int64) {
	current := make(map[string]bool, len(machines))
	for i := range machines {
		current[machines[i].VM] = true
	}
	for id := range e.unmet {
		if id != "" && !current[id] {
			delete(e.unmet, id)
		}
	}
	for id, v := range e.vms {
		if v.failing && !current[id] && v.knownAt < asked && len(v.runs) > 0 {
			e.endLife(v, 0, now)
			v.failing = true
		}
	}
}

// MarkStoreReachable notes that the store answered this owner.
func (e *Engine) MarkStoreReachable(now int64) { e.contact = max(e.contact, now) }

// SetCatalog puts a configuration in force.
func (e *Engine) SetCatalog(c *jobs.Catalog) { e.catalog = c }

// TakeOrders returns the orders that are due at once, and forgets them.
func (e *Engine) TakeOrders() []pools.Order {
	o := e.orders
	e.orders = nil
	return o
}

// TakeEvents returns the decisions since the last call.
func (e *Engine) TakeEvents() []Event {
	n := e.notes
	e.notes = nil
	return n
}

func (e *Engine) note(n Event) { e.notes = append(e.notes, n) }

// LoadJob takes a job over from the log. wall is the time of day in unix milliseconds.
func (e *Engine) LoadJob(id string, entry *jobs.StoredJob, now, wall int64) {
	if entry.Progress.State.Final() {
		e.done = append(e.done, finished{id, now + e.cfg.StatusRetentionMs})
		if entry.Job != nil || entry.Cancelled {
			e.stale = append(e.stale, id)
		}
		return
	}
	if entry.Job == nil || e.jobs[id] != nil {
		return
	}
	j := newJob(entry.Job, now, wall)
	if !j.Persistent() && now-j.arrivedAt < rateMs {
		e.need.arrived(entry.Job, now)
	}
	j.rev, j.base = entry.Progress.Rev, entry.Progress.Base
	j.state, j.saved = entry.Progress.State, entry.Progress.State
	e.jobs[id] = j
	j.open(wall, e.cfg.MaxEarlyStartMs)
	for _, s := range entry.Progress.Items {
		e.adopt(j, s, now)
	}
	j.recount()
	if entry.Cancelled {
		e.Cancel(id, now)
	}
}

// adopt restores one item of a job that an earlier owner started.
func (e *Engine) adopt(j *job, s jobs.ItemState, now int64) {
	key := jobs.Item{K: s.K, Step: s.Step, Index: s.Index}
	if s.Step >= len(j.Steps) || s.K < j.base {
		return
	}
	j.openOccurrence(s.K)
	it := j.items[key]
	if it == nil {
		return
	}
	it.run, it.failed, it.done, it.ref = s.Run, s.Failed, s.Done, s.Ref
	if s.VM == "" || s.Done {
		return
	}
	v := e.vm(s.VM, now)
	if v.born == 0 {
		v.born = s.VMBorn
	}
	v.riskUntil = max(v.riskUntil, now+adoptMs)
	v.attach(it)
	it.phase = adopted
	it.since = now
}

// Submit adds a job that was just handed in.
func (e *Engine) Submit(entry *jobs.StoredJob, now, wall int64) {
	if entry.Job != nil {
		e.LoadJob(entry.Job.ID, entry, now, wall)
	}
}

// Cancel ends a job. Its runs are stopped, and none starts from now on.
func (e *Engine) Cancel(id string, now int64) {
	j := e.jobs[id]
	if j == nil || j.state.Final() {
		return
	}
	j.state = jobs.Cancelled
	e.touch(j)
	e.retire(j, now)
	e.note(Event{JobID: id, Name: "cancel", N: j.active()})
}

// DeleteJobRecords has the records of a job that is over dropped again.
func (e *Engine) DeleteJobRecords(id string) { e.stale = append(e.stale, id) }

// retire stops what runs of a job that is over, and forgets the job once nothing runs.
func (e *Engine) retire(j *job, now int64) {
	for _, it := range j.order {
		switch it.phase {
		case idle, planned:
		default:
			e.stop(it, "job "+j.state.String(), now)
		}
	}
	e.forgetIfOver(j, now)
}

func (e *Engine) forgetIfOver(j *job, now int64) {
	if !j.state.Final() || j.active() > 0 {
		return
	}
	if j.saved != j.state {
		return // its last record is not written yet
	}
	if e.jobs[j.ID] == j {
		delete(e.jobs, j.ID)
		e.forgetAdvice(j.Job)
		e.done = append(e.done, finished{j.ID, now + e.cfg.StatusRetentionMs})
	}
}

// stop asks the VM of an item to end its run, or never to begin it.
func (e *Engine) stop(it *item, reason string, now int64) {
	if it.vm == nil || it.phase == stopping {
		return
	}
	it.phase = stopping
	it.since = now
	it.stopAcked = 0
	e.note(Event{JobID: it.job.ID, VM: it.vm.ID, Name: "stop run", Reason: reason, N: it.run})
	e.sendStop(it, now)
}

func (e *Engine) sendStop(it *item, now int64) {
	it.stopSent = now
	e.orders = append(e.orders, pools.Order{
		Kind: pools.Stop, VM: it.vm.ID, JobID: it.job.ID, Item: it.name, Run: it.run, Fence: e.cfg.Epoch,
	})
}

// SetVMs takes the VMs over as the platform lists them. A VM that is no longer listed gets no new work after a while.
func (e *Engine) SetVMs(listed []pools.VM, now int64) {
	seen := make(map[string]bool, len(listed))
	for i := range listed {
		l := &listed[i]
		if l.Service != e.cfg.Service {
			continue
		}
		seen[l.ID] = true
		v := e.vm(l.ID, now)
		if l.StartedAtMs != 0 && v.born != 0 && l.StartedAtMs > v.born {
			e.endLife(v, l.StartedAtMs, now)
		}
		if v.born == 0 {
			v.born = l.StartedAtMs
		}
		wasDraining := v.Draining
		if !v.listed || v.Addr != l.Addr {
			e.vmsRev++
			e.vacated = nil // what the machine controller asks is to be applied to this VM as well
		}
		v.VM, v.listed, v.missing = *l, true, 0
		v.rack = rackOf(l.Labels)
		if l.Draining && !wasDraining {
			e.evacuate(v, now)
		}
	}
	for id, v := range e.vms {
		if v.listed && !seen[id] {
			if v.missing == 0 {
				v.missing = now
			} else if now-v.missing > missingMs {
				v.listed = false
				e.vmsRev++
				e.note(Event{VM: id, Name: "vm gone", Reason: "its entry is missing"})
			}
		}
		if !v.listed && len(v.runs) == 0 && v.foreign == 0 {
			delete(e.vms, id)
			e.byID = nil
		}
	}
}

// evacuate moves what lasts off a VM that is leaving; the rest may finish there.
func (e *Engine) evacuate(v *vm, now int64) {
	for _, it := range v.runs {
		if it.step.Persistent && it.phase == running {
			e.stop(it, "vm draining", now)
		}
	}
	e.note(Event{VM: v.ID, Name: "vm draining", N: len(v.runs)})
}

// endLife frees everything on a VM whose lifetime ended. born is the start of its next one, 0 if unknown.
func (e *Engine) endLife(v *vm, born, now int64) {
	delete(e.unmet, v.ID)
	e.note(Event{VM: v.ID, Name: "vm lifetime ended", N: len(v.runs)})
	for _, it := range v.runs {
		e.free(it, now)
	}
	v.newLife(born)
}

func (e *Engine) vm(id string, now int64) *vm {
	v := e.vms[id]
	if v == nil {
		v = &vm{VM: pools.VM{ID: id}, runs: map[string]*item{}, knownAt: now}
		e.vms[id] = v
		e.byID = nil
	}
	return v
}

// sorted returns all VMs in the order of their IDs.
func (e *Engine) sorted() []*vm {
	if e.byID == nil {
		e.byID = slices.SortedFunc(maps.Values(e.vms), func(a, b *vm) int { return strings.Compare(a.ID, b.ID) })
	}
	return e.byID
}

// free takes an item off its VM, so that it may run elsewhere.
func (e *Engine) free(it *item, now int64) {
	if it.vm != nil {
		it.vm.detach(it)
	}
	it.phase = idle
	it.since = now
	it.job.stale = true
	if it.job.state.Final() {
		e.forgetIfOver(it.job, now)
	}
}

// VMsRev returns a number that changes with what VMs returns.
func (e *Engine) VMsRev() int64 { return e.vmsRev }

// VMs returns the listed VMs, for the loops that talk to them.
func (e *Engine) VMs() []pools.VM {
	list := make([]pools.VM, 0, len(e.vms))
	for _, v := range e.vms {
		if v.listed {
			list = append(list, v.VM)
		}
	}
	return list
}
