package shard

import "math"

// fenceNumbersPerEpoch is how many fence numbers an owner has. Those of a later owner are higher than all of an earlier one.
const fenceNumbersPerEpoch = 1 << 28

// Bounds on what calls of an earlier lifetime of a VM can do in the next one.
const (
	// maxLeaseMs is the longest lease that a VM grants, whatever the deadline in the call, if the settings name none.
	maxLeaseMs = 10_000
	// maxSlowLeaseMs is the same by a local clock, if the VM's clock is slow.
	maxSlowLeaseMs = maxLeaseMs*100/98 + 1
	// unknownRunPauseMs is the time after a VM has listed an earlier run of an item in which the item does not start: the run is
	// being stopped, and the next poll tells whether it has ended.
	unknownRunPauseMs = 1000
	// maxRepeats is how often a start without a reply is sent again. Each takes some 0.3 s.
	maxRepeats = 8
	// refusedRepeatMs is the delay before an item with an open start is sent again to the VM that has refused it.
	refusedRepeatMs = 200
	// orderTimeoutMs is the time within which an order is given up. It may be executed until pools.LateCallMs later.
	orderTimeoutMs = 500
	// maxClockLagMs is how far the clock in the reply to an order may be behind that in the reply to a later poll.
	maxClockLagMs = 3000
	// unknownDeadlineMs stands for the deadlines that an earlier owner has sent.
	unknownDeadlineMs = math.MaxInt64
)

// raiseFence gives a VM a fence number that is higher than all earlier ones, so that it refuses all earlier calls from its reply
// to the next poll on. A VM that starts again under its ID has forgotten the fence numbers and can't tell calls that were meant
// for its last lifetime. They would start what runs elsewhere by now, refuse later starts, or set a lease by a clock that is over.
func (e *Engine) raiseFence(v *vm, now int64) {
	e.lastFence++
	v.fence, v.fenceRaisedAt = e.lastFence, now
}

// fencedBy reports whether a poll that was sent at sentAt has the VM's present fence number.
func (v *vm) fencedBy(sentAt int64) bool { return sentAt > v.fenceRaisedAt }

// limitLease sets the latest end of the lease that the VM may hold at its first reply to a poll with the present fence number.
// Earlier calls may have set one up to longestMs from then on, the longest lease that a VM grants. No call has done so to a VM that is new to all owners.
func (v *vm) limitLease(clockMs, longestMs int64) {
	if v.staleDeadlineMs > 0 {
		v.leaseEndMs = max(v.leaseEndMs, min(v.staleDeadlineMs, clockMs+longestMs))
	}
	v.earlierLeaseUntil = 0
}

// startUnconfirmed reports whether the start of an item's run may not be executed yet.
func (it *item) startUnconfirmed() bool {
	switch it.phase {
	case sent:
		return true
	case stopping:
		return it.startedAt < it.sentAt && !it.seenRunning
	default:
		return false
	}
}
