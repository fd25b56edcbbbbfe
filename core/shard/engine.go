// Package shard schedules the jobs of one shard that this process owns: it decides which items run on which VM. The
// jobs of a service form one shard, and the VMs that run them form the service's pool. The package does no I/O, and
// the caller passes the current time. Times are local milliseconds of a clock that also advances while the host of
// this process is suspended, unless a name says otherwise.
package shard

import (
	"maps"
	"slices"
	"strings"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Leases, timeouts and retry intervals of orders.
const (
	// leaseMs is how long a VM keeps its runs after its last contact with the owner, unless the platform's longest lease is
	// shorter. It is longer than the detection of a lost owner and the takeover take together.
	leaseMs = 5000
	// startTimeoutMs is the time within which a start order must be executed. The VM refuses one that it would execute
	// later.
	startTimeoutMs = 1500
	// earlyStartConfirmationMs is the age of the last ownership confirmation up to which starts are sent before they are
	// recorded. Other processes claim a shard only after a longer silence. It may be longer than ownershipConfirmationMs
	// of io/owner, which decides whether answers to callers are final: a next owner polls the VMs, and so finds starts
	// that are not recorded.
	earlyStartConfirmationMs = 1200
	// maxStoreSilenceMs is the time since the last contact with the store up to which an owner extends leases and
	// starts items.
	maxStoreSilenceMs = 4000
	// earlierLeaseMs bounds the remaining lease that a VM may hold from an earlier owner, on a clock that is up to 2% slow. That
	// owner may have granted leaseMs until maxStoreSilenceMs after it lost contact with the store. It may also have started items
	// until earlyStartConfirmationMs after that, on a VM that holds a lease of maxLeaseMs from a call to its last lifetime.
	// With a shorter longest lease the wait is shorter, see bounds.
	earlierLeaseMs = 11_500
	// minClockRate is the rate of the slowest VM clock relative to true time.
	minClockRate = 0.98
	// vmSilenceMs is the time without a poll reply after which a VM gets no new work. Polls return within
	// PollWaitMs.
	vmSilenceMs = 2000
	// missingListingMs is how long a VM may be missing from the platform's list before it is treated as removed. VMs
	// whose listing expired during an outage are listed again within about 2 s.
	missingListingMs = 2500
	// stopRetryMs is the time after which an unanswered stop is sent again.
	stopRetryMs = 300
	// capacityRetryMs is how long a VM gets no new work after it refused a start for lack of capacity.
	capacityRetryMs = 150
	// unhealthyPauseMs is how long a VM gets no new work after it refused some as unhealthy.
	unhealthyPauseMs = 1000
	// rejectedRetryMs is the delay before an item that a VM refused as malformed is started again.
	rejectedRetryMs = 1000
)

// Config holds the identity of the owned shard and the time limits of the platform.
type Config struct {
	Service           string
	Epoch             int64 // epoch of the ownership, also the fence number of all orders
	StatusRetentionMs int64 // how long the state of an ended job is kept
	MaxEarlyStartMs   int64 // how long before its due time an occurrence may start; the engine uses half of it
	ThrottleEffectMs  int64 // time until a throttle order takes effect; the engine does not use it
	MaxOverTargetMs   int64 // how long a serving item may exceed its target latency; the engine does not use it
	MaxAbsenceMs      int64 // how long an item may be unavailable before this counts against its budget; the engine does not use it
	StopEffectMs      int64 // time until a VM executes a stop that it accepted; 0 means DefaultStopEffectMs
	HoldMaxMs         int64 // longest lease that a VM grants; 0 means DefaultHoldMaxMs, and no more than that is supported
	RestoreMs         int64 // time until an item has loaded its checkpoint, 0 if unknown
	// Allowances limits what client accounts start; nil means no limit. It may also implement Rooms.
	Allowances Allowances
}

// Engine holds the jobs, items and VMs of one owned shard, and the orders and records that are due. It is not safe for
// concurrent use.
type Engine struct {
	cfg         Config
	bounds      bounds
	catalog     *jobs.Catalog
	jobs        map[string]*job
	vms         map[string]*vm
	dirty       map[string]*job
	orders      []pools.Order
	staleJobs   []string // ended jobs whose job and cancel records have to be deleted
	expiredKeys []string // keys of progress records and exclusions that have to be deleted
	keptRecords []keptRecord
	fenced      bool
	// recording is true while a batch is being appended to the log.
	recording        bool
	createdAt        int64
	lastFence        int64   // highest fence number that a VM has got
	storeContactAt   int64   // time of the store's last answer to this owner
	confirmedAt      int64   // send time of the last append that the store accepted from this owner
	unrecordedStarts []start // starts that are sent only after they are recorded
	initialPolls     initialPolls
	events           []Event
	nextThrottleAt   int64
	nextTickAt       int64
	openItems        map[*item]bool         // items with an open start
	lateItems        map[*item]bool         // items with late starts
	accounts         map[string]*accountUse // accounts with jobs or runs here
	rooms            Rooms                  // nil if Allowances has none
	unknown          unknownUse             // as of the last placement
	round            int64                  // number of the last placement with accounts
	policies         map[stepKey]*stepPolicy
	policyQueries    []PolicyQuery
	openQueries      int   // policy queries without a reply
	pollNum          int64 // number of poll replies that were applied
	nextDemandAt     int64
	vmsRevision      int64    // revision of the listed VMs and their addresses
	sortedVMs        []*vm    // all VMs, sorted by ID; nil after a change
	vmsToVacate      []string // VMs to vacate, as last requested by the machine controller
	startWindow      startWindow
	crashes          []vmCrash // crashes of VMs within crashMemoryMs, as of the last one

	demand demandTracker
	shares poolShares
	idle   map[*accountUse]jobs.Amount // as of idleAt, see inheritedIdle
	idleAt int64
}

// keptRecord is a record that is kept until deleteAt: the state of an ended job, for callers, the exclusion of a job, or the
// cancellation of a job that the shard does not have.
type keptRecord struct {
	key      string
	deleteAt int64
}

// Event is a decision or observation that is logged and counted.
type Event struct {
	JobID  string // empty for an event of a VM or the pool
	VM     string // empty for an event of a job or the pool
	Name   string // also a metric label
	Reason string // why it happened, or the unit of N
	// N is a number that depends on Name: the run number for an event of one run; the number of runs on the VM for most
	// events of a VM; the failures for "vm suspect" and "job failed"; the items on VMs for "cancel"; the wanted VMs for
	// "demand held", "offer vm" and "use offered vm again"; milliseconds for "job starts" and "job complete".
	N int
}

// New returns an engine without jobs and VMs for a newly claimed shard.
func New(cfg Config, catalog *jobs.Catalog, now int64) *Engine {
	e := &Engine{
		cfg: cfg, bounds: newBounds(&cfg), catalog: catalog, jobs: map[string]*job{}, vms: map[string]*vm{},
		dirty: map[string]*job{}, createdAt: now, lastFence: cfg.Epoch * fenceNumbersPerEpoch, storeContactAt: now, policies: map[stepKey]*stepPolicy{},
		openItems:   map[*item]bool{},
		lateItems:   map[*item]bool{},
		accounts:    map[string]*accountUse{},
		startWindow: startWindow{size: initialWindow},
	}
	e.rooms, _ = cfg.Allowances.(Rooms)
	return e
}

// Fenced reports whether a VM has seen a higher fence number, which means that another process owns the shard.
func (e *Engine) Fenced() bool { return e.fenced }

// MarkOwnershipConfirmed records that the store accepted an append from this owner that was sent at the time at.
func (e *Engine) MarkOwnershipConfirmed(at int64) { e.confirmedAt = max(e.confirmedAt, at) }

// NeedsMachineList reports whether the machine list could show that a VM lifetime has ended: that of a silent VM with
// runs, of one with runs that is not listed, of one that an earlier owner may have used, or of one with an open start.
func (e *Engine) NeedsMachineList() bool {
	for _, v := range e.vms {
		if (v.silent || !v.listed) && len(v.runs) > 0 {
			return true
		}
	}
	return e.initialPolls.pending || e.needsMachinesForOpen() || e.needsMachinesForLate()
}

// SetMachines applies the platform's machine list, which was requested at requestedAt. The lifetime of a VM
// that is silent or not listed is treated as ended if the VM was known before the request and no machine has it any more.
func (e *Engine) SetMachines(machines []pools.Machine, requestedAt, now int64) {
	byVM := make(map[string]*pools.Machine, len(machines))
	byID := make(map[string]*pools.Machine, len(machines))
	for i := range machines {
		byVM[machines[i].VM] = &machines[i]
		byID[machines[i].ID] = &machines[i]
	}
	e.initialPolls.setMachines(e.cfg.Service, machines, requestedAt, func(id string) bool {
		v := e.vms[id]
		return v != nil && v.allEndsListed
	})
	for id, v := range e.vms {
		if (v.silent || !v.listed) && byVM[id] == nil && v.knownAt < requestedAt && (len(v.runs) > 0 || v.polled) {
			m := byID[v.Machine]
			e.endLifetime(v, lifetimeEnd{
				cause: v.causeByMachine(m, now), replaced: e.isReplaced(id, m), down: m != nil && m.State == pools.MachineDown,
			}, now)
		}
	}
	e.closeOpenByMachines(byID, byVM, requestedAt, now)
	e.dropLateByMachines(byID, byVM, requestedAt)
}

// MarkStoreReachable records that the store answered this owner.
func (e *Engine) MarkStoreReachable(now int64) { e.storeContactAt = max(e.storeContactAt, now) }

// SetCatalog sets the configuration of the queues.
func (e *Engine) SetCatalog(c *jobs.Catalog) { e.catalog = c }

// TakeOrders returns and clears the orders that are due.
func (e *Engine) TakeOrders() []pools.Order {
	o := e.orders
	e.orders = nil
	return o
}

// TakeEvents returns and clears the events since the last call.
func (e *Engine) TakeEvents() []Event {
	events := e.events
	e.events = nil
	return events
}

func (e *Engine) addEvent(ev Event) { e.events = append(e.events, ev) }

// LoadJob adds a job from the log, with its progress. wall is the Unix time in milliseconds.
func (e *Engine) LoadJob(id string, stored *jobs.StoredJob, now, wall int64) {
	if stored.Progress.State.Final() {
		e.keepRecord(jobs.ProgressKey(id), now)
		for n := range stored.Parts {
			e.expiredKeys = append(e.expiredKeys, jobs.PartKey(id, n))
		}
		if stored.Job != nil || stored.Cancelled {
			e.staleJobs = append(e.staleJobs, id)
		}
		return
	}
	if stored.Excluded {
		e.Exclude(id, now)
	}
	if stored.Job == nil && stored.Cancelled {
		e.Cancel(id, now)
	}
	if stored.Job == nil || e.jobs[id] != nil {
		return
	}
	j := newJob(stored.Job, now, wall)
	if j.isArrival(now) {
		e.demand.rate.add(j.arrivingWork(), now)
	}
	progress := stored.FullProgress()
	j.rev, j.base = progress.Rev, progress.Base
	j.state, j.storedState = progress.State, progress.State
	for n := range stored.Parts {
		j.parts[n] = nil
	}
	e.jobs[id] = j
	e.addJob(j, now)
	j.openDueOccurrences(wall, e.cfg.MaxEarlyStartMs)
	for _, s := range progress.Items {
		e.restoreItem(j, s, now)
	}
	j.restoreCrashes(progress.Crashes)
	e.restoreOpen(j, progress.Open, now)
	j.recountRemaining()
	if stored.Cancelled {
		e.Cancel(id, now)
		return
	}
	e.completeIfDone(j, now) // an earlier owner has recorded the last ends, but not the state that follows from them
}

// restoreItem restores the recorded state of one item that an earlier owner started.
func (e *Engine) restoreItem(j *job, s jobs.ItemState, now int64) {
	key := jobs.Item{K: s.K, Step: s.Step, Index: s.Index}
	if s.Step >= len(j.Steps) || s.K < j.base {
		return
	}
	j.openOccurrencesUpTo(s.K)
	it := j.items[key]
	if it == nil {
		return
	}
	it.run, it.failedRuns, it.done, it.checkpoint = s.Run, s.Failed, s.Done, s.Ref
	j.begun = true
	if s.VM == "" || s.Done {
		return
	}
	v := e.ensureVM(s.VM, now)
	if v.startedAtMs == 0 {
		v.startedAtMs = s.VMBorn
	}
	v.earlierLeaseUntil = max(v.earlierLeaseUntil, now+e.bounds.earlierLeaseMs)
	v.attach(it)
	it.phase = adopted
	it.phaseSince, it.sentAt, it.startUnknown = now, now, true
}

// Submit adds a newly submitted job. wall is the Unix time in milliseconds.
func (e *Engine) Submit(stored *jobs.StoredJob, now, wall int64) {
	if stored.Job != nil {
		e.LoadJob(stored.Job.ID, stored, now, wall)
	}
}

// Cancel cancels a job: its runs are stopped, and no item starts any more.
func (e *Engine) Cancel(id string, now int64) {
	j := e.jobs[id]
	if j == nil {
		e.keepRecord(jobs.CancelKey(id), now) // the job may still come, or never existed
		return
	}
	if j.state.Final() {
		return
	}
	j.state = jobs.Cancelled
	e.markDirty(j)
	e.stopJob(j, now)
	e.addEvent(Event{JobID: id, Name: "cancel", N: j.activeCount()})
}

// Exclude keeps the exclusion of a job, which may be stored in another shard, for as long as the state of an ended job.
func (e *Engine) Exclude(id string, now int64) { e.keepRecord(jobs.ExcludeKey(id), now) }

// keepRecord schedules the deletion of the record with a key for the end of the retention time.
func (e *Engine) keepRecord(key string, now int64) {
	e.keptRecords = append(e.keptRecords, keptRecord{key, now + e.cfg.StatusRetentionMs})
}

// DeleteJobRecords schedules the deletion of the job and cancel records of an ended job.
func (e *Engine) DeleteJobRecords(id string) { e.staleJobs = append(e.staleJobs, id) }

// stopJob stops the runs of an ended job, and deletes the job from memory once nothing runs.
func (e *Engine) stopJob(j *job, now int64) {
	for _, it := range j.orderedItems {
		switch it.phase {
		case idle, planned:
		default:
			e.stop(it, "job "+j.state.String(), now)
		}
	}
	e.deleteIfFinished(j, now)
}

// deleteIfFinished deletes an ended job from memory once nothing of it runs and its final state is recorded.
func (e *Engine) deleteIfFinished(j *job, now int64) {
	if !j.state.Final() || j.activeCount() > 0 {
		return
	}
	if j.storedState != j.state {
		return // its final state is not recorded yet
	}
	if e.jobs[j.ID] == j {
		delete(e.jobs, j.ID)
		j.removeJob()
		e.deletePolicies(j.Job)
		e.keepRecord(jobs.ProgressKey(j.ID), now)
	}
}

// stop orders the VM of an item to end its run, or never to start it.
func (e *Engine) stop(it *item, reason string, now int64) {
	if it.vm == nil || it.phase == stopping {
		return
	}
	it.phase, it.runSpent = stopping, true
	it.phaseSince = now
	it.stopAckedAt = 0
	e.addEvent(Event{JobID: it.job.ID, VM: it.vm.ID, Name: "stop run", Reason: reason, N: it.run})
	e.sendStop(it, now)
}

func (e *Engine) sendStop(it *item, now int64) {
	it.stopSentAt = now
	e.orders = append(e.orders, pools.Order{
		Kind: pools.Stop, VM: it.vm.ID, JobID: it.job.ID, Item: it.name, Run: it.run, Fence: it.vm.fence,
	})
}

// SetVMs applies the platform's VM list. A VM that has been missing from it for missingListingMs counts as removed. The start
// of a lifetime is taken from the VM's replies only: others can write to the list, and no lifetime is left for an earlier one.
func (e *Engine) SetVMs(listed []pools.VM, now int64) {
	listedIDs := make(map[string]bool, len(listed))
	for i := range listed {
		l := &listed[i]
		if l.Service != e.cfg.Service {
			continue
		}
		listedIDs[l.ID] = true
		v := e.ensureVM(l.ID, now)
		wasDraining := v.Draining
		if !v.listed || v.Addr != l.Addr {
			e.vmsRevision++
			e.vmsToVacate = nil // SetVMsToVacate must apply to this VM as well
		}
		v.VM, v.listed, v.missingSince = *l, true, 0
		v.rack = rackOf(l.Labels)
		if l.Draining && !wasDraining {
			e.stopPersistentRuns(v, now)
		}
	}
	for id, v := range e.vms {
		if v.listed && !listedIDs[id] {
			if v.missingSince == 0 {
				v.missingSince = now
			} else if now-v.missingSince > missingListingMs {
				v.listed = false
				e.vmsRevision++
				e.addEvent(Event{VM: id, Name: "vm gone", Reason: "its entry is missing"})
			}
		}
		if !v.listed && len(v.runs) == 0 && v.unknownRuns == 0 {
			delete(e.vms, id)
			e.sortedVMs = nil
		}
	}
}

// stopPersistentRuns stops the persistent items on a draining VM, so that they start elsewhere. Other items may finish there.
func (e *Engine) stopPersistentRuns(v *vm, now int64) {
	for _, it := range v.runs {
		if it.stepDef.Persistent && it.phase == running {
			e.stop(it, "vm draining", now)
		}
	}
	e.addEvent(Event{VM: v.ID, Name: "vm draining", N: len(v.runs)})
}

// ensureVM returns the VM with an ID, and adds it if it is unknown.
func (e *Engine) ensureVM(id string, now int64) *vm {
	v := e.vms[id]
	if v == nil {
		v = &vm{VM: pools.VM{ID: id}, runs: map[string]*item{}, knownAt: now}
		e.raiseFence(v, now-1) // it may have been known before
		if now-e.createdAt < e.bounds.earlierLeaseMs {
			v.staleDeadlineMs = unknownDeadlineMs
		}
		e.vms[id] = v
		e.sortedVMs = nil
	}
	return v
}

// vmsByID returns all VMs, sorted by ID.
func (e *Engine) vmsByID() []*vm {
	if e.sortedVMs == nil {
		e.sortedVMs = slices.SortedFunc(maps.Values(e.vms), func(a, b *vm) int { return strings.Compare(a.ID, b.ID) })
	}
	return e.sortedVMs
}

// release detaches an item from its VM, so that it may start again. That is recorded also if it cannot start yet: a next
// owner would wait for a run that has ended until the leases on its VM have expired.
func (e *Engine) release(it *item, now int64) {
	if it.vm != nil {
		it.vm.detach(it)
		if !it.done && !it.job.state.Final() {
			e.markDirty(it.job)
		}
	}
	it.phase, it.repeatWaits = idle, false
	it.phaseSince = now
	it.job.readyStale = true
	if it.job.state.Final() {
		e.deleteIfFinished(it.job, now)
	}
}

// VMsRevision returns a revision number that changes with the result of VMs.
func (e *Engine) VMsRevision() int64 { return e.vmsRevision }

// VMs returns the listed VMs, to which orders and polls are sent.
func (e *Engine) VMs() []pools.VM {
	list := make([]pools.VM, 0, len(e.vms))
	for _, v := range e.vms {
		if v.listed {
			list = append(list, v.VM)
		}
	}
	return list
}
