package shard

import (
	"strings"

	"sassafrasvalve/core/pools"
)

// vm is a VM of the pool, with the items that run on it and the state of its polls.
type vm struct {
	pools.VM
	rack         string
	listed       bool
	missingSince int64 // since when it is missing from the VM list, 0 while it is listed
	startedAtMs  int64 // start of the present lifetime, Unix milliseconds; 0 if unknown
	knownAt      int64 // time at which the owner first learned of it

	fence         int64 // fence number of the calls to it
	fenceRaisedAt int64 // time before the first call with that number

	polled        bool  // it replied to a poll with the present fence number, so that it refuses all earlier calls
	firstPolledAt int64 // time of the first such reply; orders that it accepted from an earlier owner may take effect later
	allEndsListed bool  // such a reply has listed all ends of the lifetime, so that every run there is known
	moreEnds      bool  // the last one has not
	clockMs       int64 // the VM's clock at its last reply
	clockReadAt   int64 // local time of that reply
	leaseEndMs    int64 // latest end of a lease that it may hold, by its clock
	// staleDeadlineMs is the latest deadline in calls that were meant for an earlier lifetime, by the clock of that lifetime, or
	// unknownDeadlineMs. A VM takes it from a call that reaches its next lifetime, where the clock begins anew.
	staleDeadlineMs int64
	// earlierLeaseUntil is the local time until which a lease may last that was not granted in answer to a poll of this owner.
	earlierLeaseUntil int64

	seenSeq, ackedSeq int64 // sequence numbers of its ends: last processed, last acknowledged
	listedSeq         int64 // highest one that the last reply listed, 0 for none
	heldAcks          []heldAck
	lastPollAt        int64   // time of the last poll reply
	pollWaitMs        int64   // wait time of the newest poll
	silent            bool    // the last poll had no reply, or the VM must be polled again before use
	restartSuspected  bool    // it answered from a lifetime that is not known yet
	answeredSentAt    int64   // send time of the newest poll that it replied to
	silentSince       int64   // time of the first poll without a reply since the last reply, 0 if there was none
	suspectUntil      int64   // no new work before this time: suspect or unhealthy
	noCapacityUntil   int64   // no new work before this time: it refused a start for lack of capacity
	recentFailures    [8]bool // ring of the newest outcomes of runs, true for a failure or a stall
	outcomeCount      int     // number of recorded outcomes, which determines the write position of the ring
	unknownRuns       int     // runs listed in the last poll that belong to no item here
	orphanRuns        int     // those of them that belong to no job here

	runs                        map[string]*item
	usedCPU, usedMemMB, usedGPU int64 // used by attached items; CPU in thousandths of a core
	freeShare                   int64 // free CPU in thousandths of the VM's CPU, as of the last update of freeIndex
	persistentRuns              int   // number of attached persistent items
	vacate                      bool  // the machine controller requests that it be vacated
	vacateSince                 int64 // since when it is to be vacated, 0 if it is not
	offered                     bool  // offered to other pools
	closed                      bool  // gets only work that ends before its present runs, so that it can be offered
	offerWithdrawnAt            int64 // time at which the last offer was withdrawn
	testedJob                   *job  // job whose suspects it tests, nil if it tests none; it takes no other work then
}

// rackPrefix is the prefix of the label that names a VM's rack, such as "r1-3".
const rackPrefix = "r"

// rackOf returns the label that names the rack, empty if there is none: the first one that begins with rackPrefix and
// contains a hyphen.
func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.HasPrefix(l, rackPrefix) && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}

// attach assigns an item to the VM. The item uses the VM's capacity until it is detached.
func (v *vm) attach(it *item) {
	it.vm = v
	v.runs[it.name] = it
	if it.underTest {
		v.testedJob = it.job
	}
	v.addUsage(it, 1)
	it.updateUse()
}

func (v *vm) detach(it *item) {
	if v.runs[it.name] == it {
		delete(v.runs, it.name)
		v.addUsage(it, -1)
		if it.underTest {
			v.endTest(it)
		}
	}
	it.vm = nil
	it.updateUse()
}

func (v *vm) addUsage(it *item, sign int64) {
	if it.stepDef.Persistent {
		v.persistentRuns += int(sign)
	}
	if !it.stepDef.Fill {
		v.usedCPU += sign * it.stepDef.CPU
	}
	v.usedMemMB += sign * it.stepDef.MemMB
	v.usedGPU += sign * it.stepDef.GPU
}

// startLifetime resets the state that belongs to the lifetime that ended.
func (v *vm) startLifetime(startedAtMs int64) {
	v.startedAtMs = startedAtMs
	v.staleDeadlineMs = max(v.staleDeadlineMs, v.leaseEndMs)
	v.polled, v.allEndsListed, v.moreEnds, v.silent, v.silentSince = false, false, false, false, 0
	v.clockMs, v.clockReadAt, v.leaseEndMs, v.earlierLeaseUntil = 0, 0, 0, 0
	v.seenSeq, v.ackedSeq, v.listedSeq, v.lastPollAt, v.suspectUntil, v.noCapacityUntil, v.unknownRuns = 0, 0, 0, 0, 0, 0, 0
	v.recentFailures, v.heldAcks, v.orphanRuns = [8]bool{}, nil, 0
}

// estimateClock returns the present reading of the VM's clock, extrapolated from its last reply.
func (v *vm) estimateClock(now int64) int64 { return v.clockMs + now - v.clockReadAt }

// measureFreeShare returns the free CPU in thousandths of the VM's CPU.
func (v *vm) measureFreeShare() int64 {
	if v.CPU <= 0 {
		return 0
	}
	return 1000 * (v.CPU - v.usedCPU) / v.CPU
}

// remainingMs returns the time in milliseconds until the runs on the VM should have ended.
func (v *vm) remainingMs(now int64) int64 {
	var ms int64
	for _, it := range v.runs {
		ms = max(ms, it.remainingMs(now))
	}
	return ms
}

// startsPersistentItem reports whether a persistent item on the VM was started recently and is not at work yet.
func (v *vm) startsPersistentItem(now int64) bool {
	for _, it := range v.runs {
		if it.stepDef.Persistent && it.phase == running && it.progressPercent < 100 && now-it.startedAt < maxStartupMs {
			return true
		}
	}
	return false
}

// leasesExpired reports whether all leases that the VM may hold have certainly expired, also on the slowest clock.
func (v *vm) leasesExpired(now int64) bool {
	if now < v.earlierLeaseUntil {
		return false
	}
	if v.clockReadAt == 0 {
		return true
	}
	return v.clockMs+int64(float64(now-v.clockReadAt)*minClockRate) > v.leaseEndMs
}

// usable reports whether the VM may get any new work.
func (v *vm) usable(now int64) bool { return !v.closed && v.takesStarts(now) }

// takesStarts reports whether the VM may get new work, which on a closed VM is only what ends before its present runs.
func (v *vm) takesStarts(now int64) bool {
	return v.listed && v.missingSince == 0 && !v.Draining && !v.vacate && !v.offered && v.polled && !v.silent &&
		now-v.lastPollAt < vmSilenceMs+max(v.pollWaitMs-PollWaitMs, 0) && now >= v.suspectUntil && now >= v.noCapacityUntil
}

// fits reports whether the VM has free capacity for an item, and takes it beside the suspects that it tests.
func (v *vm) fits(it *item) bool {
	s := it.stepDef
	if v.testedJob != nil && (v.testedJob != it.job || !it.suspected()) {
		return false
	}
	if !s.Fill && v.usedCPU+s.CPU > v.CPU {
		return false
	}
	return v.usedMemMB+s.MemMB <= v.MemMB && v.usedGPU+s.GPU <= v.GPU
}

// roomFor returns the number of items like one of a job that the VM can take, at most most.
func (v *vm) roomFor(j *job, it *item, most int) int {
	if !v.fits(it) || !allowedOn(j, it, v) {
		return 0
	}
	s := it.stepDef
	n := int64(most)
	if most := maxPerVM(s); most > 0 {
		n = min(n, int64(most))
	}
	if s.CPU > 0 && !s.Fill {
		n = min(n, (v.CPU-v.usedCPU)/s.CPU)
	}
	if s.MemMB > 0 {
		n = min(n, (v.MemMB-v.usedMemMB)/s.MemMB)
	}
	if s.GPU > 0 {
		n = min(n, (v.GPU-v.usedGPU)/s.GPU)
	}
	return int(n)
}

// recordOutcome records whether a run failed or stalled, and returns the number of failures among the newest outcomes.
func (v *vm) recordOutcome(failed bool) int {
	v.recentFailures[v.outcomeCount%len(v.recentFailures)] = failed
	v.outcomeCount++
	failures := 0
	for _, f := range v.recentFailures {
		if f {
			failures++
		}
	}
	return failures
}
