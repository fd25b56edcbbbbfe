package shard

import (
	"fmt"
	"slices"

	"sassafrasvalve/core/pools"
)

// endCause is the reason for which a VM lifetime has ended.
type endCause int

// The causes of an end. Only a crash speaks against the items that ran on the VM.
const (
	endUnknown  endCause = iota
	endDrain             // the VM was draining
	endUpkeep            // the machine is in its upkeep, or the VM was vacated for it
	endMove              // the machine moves to another pool, or the VM was offered for a move
	endCrash             // nobody ordered the end: the machine is down, or the VM restarted by itself
	endReplaced          // another VM has the address, and the cause is not known
	endLapsed            // the VM was silent until its leases expired, and may still exist
)

// endNames holds the names of the causes in logs.
var endNames = map[endCause]string{
	endUnknown: "unknown", endDrain: "drain", endUpkeep: "upkeep", endMove: "move", endCrash: "crash", endReplaced: "replaced",
	endLapsed: "lease expired",
}

// lifetimeEnd describes the end of a VM lifetime.
type lifetimeEnd struct {
	cause endCause
	// next is the reply of the VM's next lifetime under the same ID to a poll by which it refuses all earlier calls. It is nil if
	// no such reply is known.
	next *pools.PollReply
	// replaced is true if the VM can't start again under its ID, down if its machine is known to be down.
	replaced, down bool
}

// suspectRestart makes the next poll tell what runs on a VM that has restarted under its ID. Until then nothing on it is
// released: calls that were meant for the last lifetime may have been executed in this one, and further ones may arrive.
func (e *Engine) suspectRestart(v *vm, now int64) {
	e.addEvent(Event{VM: v.ID, Name: "vm restarted", N: len(v.runs)})
	v.silent, v.silentSince, v.restartSuspected = true, now, true
	v.earlierLeaseUntil = now + pools.LateCallMs + e.bounds.maxSlowLeaseMs
	e.raiseFence(v, now)
}

// mayStartAgain reports whether a start of an item that was on a VM may still be executed in the VM's next lifetime. The start of an
// adopted item may just have been sent. It does not wait for a VM whose machine is not known, and a lasting one for none that is down,
// as they have most likely been at work.
func (it *item) mayStartAgain(end *lifetimeEnd) bool {
	if end.replaced {
		return false
	}
	return it.startUnconfirmed() || it.phase == adopted && (end.next != nil || end.down && !it.stepDef.Persistent)
}

// listedIn reports whether a reply lists the present run of an item, or may do so with the ends that follow.
func (it *item) listedIn(reply *pools.PollReply) bool {
	return reply.MoreEnds ||
		slices.ContainsFunc(reply.Running, func(r pools.RunStatus) bool { return r.Item == it.name && r.Run == it.run }) ||
		slices.ContainsFunc(reply.Ended, func(r pools.RunEnd) bool { return r.Item == it.name && r.Run == it.run })
}

// endLifetime releases the items on a VM whose lifetime has ended. The VM keeps its ID and is in its next lifetime then. Items
// whose start was executed there stay.
func (e *Engine) endLifetime(v *vm, end lifetimeEnd, now int64) {
	e.initialPolls.remove(v.ID)
	if v.polled || len(v.runs) > 0 { // the answers of a VM that is gone say so again and again
		e.addEvent(Event{VM: v.ID, Name: "vm lifetime ended", Reason: endNames[end.cause], N: len(v.runs)})
	}
	for _, it := range v.runs {
		it.inNextLifetime = end.next != nil && it.listedIn(end.next)
	}
	poison := e.recordLostVM(v, end.cause, now)
	for _, it := range v.runs {
		if it.inNextLifetime {
			it.inNextLifetime = false
			continue
		}
		e.reportLostRun(it, end.cause, now)
		if it.mayStartAgain(&end) {
			e.markLastCallOpen(it, now)
		} else if !end.replaced {
			e.addLateOfEarlierOwner(it, now)
		}
		e.release(it, now)
	}
	if end.replaced {
		e.closeOpenOn(v.ID, "its vm is gone", now)
		e.dropLate(func(l *lateStart) bool { return l.vm == v.ID })
	}
	for _, it := range poison {
		e.giveUp(it, v, now)
	}
	if end.next != nil {
		v.startLifetime(end.next.StartedAtMs)
		return
	}
	v.startLifetime(0)
	e.raiseFence(v, now)
	v.silent = true // it must be polled again before use
}

// reportLostRun logs that a run ended with its VM.
func (e *Engine) reportLostRun(it *item, cause endCause, now int64) {
	if it.phase == planned {
		return // its start was not sent
	}
	e.addEvent(Event{
		JobID: it.job.ID, VM: it.vm.ID, Name: "run lost",
		Reason: fmt.Sprintf("%s of its vm, %s was %s for %d ms", endNames[cause], it.name, phaseNames[it.phase], it.ageAtContact(now)), N: it.run,
	})
}

// ageAtContact returns how long ago the start of an item's run was sent when its VM was last known to exist, in
// milliseconds.
func (it *item) ageAtContact(now int64) int64 {
	at := now
	if it.vm.silentSince > 0 {
		at = it.vm.silentSince
	}
	return max(at-it.sentAt, 0)
}

// orderedEnd returns the cause of an end that this system or the platform announced, or endUnknown if none was.
func (v *vm) orderedEnd(now int64) endCause {
	switch {
	case v.Draining:
		return endDrain
	case v.vacate:
		return endUpkeep
	case v.offered, v.offerWithdrawnAt > 0 && now-v.offerWithdrawnAt < withdrawnOfferMs:
		return endMove
	default:
		return endUnknown
	}
}

// causeOfRestart returns why a VM has restarted under its ID. A lifetime that this owner never polled may have ended by an
// order that it does not know.
func (v *vm) causeOfRestart(now int64) endCause {
	if cause := v.orderedEnd(now); cause != endUnknown || !v.polled {
		return cause
	}
	return endCrash
}

// causeOfReplacement returns why another VM answers at a VM's address.
func (v *vm) causeOfReplacement(now int64) endCause {
	if cause := v.orderedEnd(now); cause != endUnknown {
		return cause
	}
	return endReplaced
}

// causeByMachine returns why a VM is no longer that of its machine m, which is nil if it is unknown or no longer listed.
func (v *vm) causeByMachine(m *pools.Machine, now int64) endCause {
	ordered := v.orderedEnd(now)
	switch {
	case m == nil:
		return ordered
	case m.State == pools.MachineDown && ordered != endDrain:
		return endCrash
	case m.Pool != v.Service:
		return endMove
	case ordered != endUnknown:
		return ordered
	case m.State == pools.MachineBusy:
		return endUpkeep
	case m.VM != "" && v.polled:
		return endCrash // it runs a new VM in the same pool, and no upkeep was announced
	default:
		return endUnknown
	}
}
