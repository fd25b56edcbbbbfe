package shard

import (
	"strings"

	"sassafrasvalve/core/pools"
)

// vm is a VM of the pool, as the owner knows it.
type vm struct {
	pools.VM
	rack    string
	listed  bool
	missing int64 // since when its entry is missing, 0 when it is listed
	born    int64
	knownAt int64 // since when the owner knows it

	met     bool  // it answered a poll that raised its fence number
	metAt   int64 // since when: orders of an earlier owner that it accepted before may still take effect
	clock   int64 // its clock when it last answered
	clockAt int64 // local time of that answer
	lease   int64 // latest end of a lease sent, by its clock
	// riskUntil is the local time until which a lease given by an earlier owner may run.
	riskUntil int64

	seen, acked int64 // numbers of its ends: processed, recorded
	lastLook    int64
	wait        int64 // that the newest poll asked for
	failing     bool  // the last poll brought no answer
	badUntil    int64
	fullUntil   int64
	results     [8]bool // newest ends, true for a failure
	resultAt    int
	foreign     int // runs on it that belong to no item here

	runs          map[string]*item
	cpu, mem, gpu int64 // taken by runs
	vacate        bool  // the machine controller asks for it to be emptied
	vacateAt      int64 // since when, 0 if it does not
	offered       bool  // the pool has no use for it
	returnedAt    int64 // the offer was withdrawn
}

// rackPrefix begins the label that names a VM's rack.
const rackPrefix = "r"

func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.HasPrefix(l, rackPrefix) && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}

// attach gives the VM an item, whose room it takes until it is detached.
func (v *vm) attach(it *item) {
	it.vm = v
	v.runs[it.name] = it
	v.add(it, 1)
}

func (v *vm) detach(it *item) {
	if v.runs[it.name] == it {
		delete(v.runs, it.name)
		v.add(it, -1)
	}
	it.vm = nil
}

func (v *vm) add(it *item, sign int64) {
	if !it.step.Fill {
		v.cpu += sign * it.step.CPU
	}
	v.mem += sign * it.step.MemMB
	v.gpu += sign * it.step.GPU
}

// newLife forgets what belongs to the lifetime that ended.
func (v *vm) newLife(born int64) {
	v.born = born
	v.met, v.failing = false, false
	v.clock, v.clockAt, v.lease, v.riskUntil = 0, 0, 0, 0
	v.seen, v.acked, v.lastLook, v.badUntil, v.fullUntil, v.foreign = 0, 0, 0, 0, 0, 0
	v.results = [8]bool{}
}

// clockNow estimates the VM's clock.
func (v *vm) clockNow(now int64) int64 { return v.clock + now - v.clockAt }

// lapsed reports whether every lease that was given to the VM is surely over.
func (v *vm) lapsed(now int64) bool {
	if now < v.riskUntil {
		return false
	}
	if v.clockAt == 0 {
		return true
	}
	return v.clock+int64(float64(now-v.clockAt)*clockSlow) > v.lease
}

// usable reports whether new work may go to the VM.
func (v *vm) usable(now int64) bool {
	return v.listed && v.missing == 0 && !v.Draining && !v.vacate && !v.offered && v.met && !v.failing &&
		now-v.lastLook < silentMs+max(v.wait-PollWaitMs, 0) && now >= v.badUntil && now >= v.fullUntil
}

// fits reports whether an item's room is free.
func (v *vm) fits(it *item) bool {
	s := it.step
	if !s.Fill && v.cpu+s.CPU > v.CPU {
		return false
	}
	return v.mem+s.MemMB <= v.MemMB && v.gpu+s.GPU <= v.GPU
}

// result notes how a run ended and returns the share of failures among the newest ends.
func (v *vm) result(failed bool) int {
	v.results[v.resultAt%len(v.results)] = failed
	v.resultAt++
	n := 0
	for _, f := range v.results {
		if f {
			n++
		}
	}
	return n
}
