package shard

import "sassafrasvalve/core/pools"

// DefaultHoldMaxMs is the longest lease that a VM grants if Config.HoldMaxMs is 0, in milliseconds. DefaultStopEffectMs stands for
// Config.StopEffectMs in the same way.
const (
	DefaultHoldMaxMs    = maxLeaseMs
	DefaultStopEffectMs = defaultStopEffectMs
)

// Parameters of the times that follow from the platform's bounds.
const (
	// leaseSharePercent bounds the granted lease by a share of the longest one, so that no grant is cut.
	leaseSharePercent = 84
	// slowClockPercent is minClockRate as a percentage.
	slowClockPercent = 98
	// leaseRoundMs is the unit to which the wait for the leases of an earlier owner is rounded up.
	leaseRoundMs = 100
	// startupRestores is the number of restores of a checkpoint that a persistent item may take until it is at work.
	startupRestores = 2
)

// bounds holds the times in milliseconds that follow from the platform's bounds in a Config. With HoldMaxMs 0 or 10,000 they are
// the constants of the same names.
type bounds struct {
	maxLeaseMs     int64 // longest lease that a VM grants, whatever the deadline in the call
	maxSlowLeaseMs int64 // the same by a local clock, if the VM's clock is slow
	leaseMs        int64 // lease that the owner grants
	earlierLeaseMs int64 // remaining lease that a VM may hold from an earlier owner
	openStartMs    int64 // how long after a start without a reply its run may hold a lease, if the VM has restarted unseen
	maxStartupMs   int64 // how long a persistent item may take until it is at work
}

// newBounds returns the times for a Config.
func newBounds(cfg *Config) bounds {
	b := bounds{maxLeaseMs: maxLeaseMs}
	if cfg.HoldMaxMs > 0 {
		b.maxLeaseMs = cfg.HoldMaxMs
	}
	b.maxSlowLeaseMs = slowLease(b.maxLeaseMs)
	b.leaseMs = min(leaseMs, b.maxLeaseMs*leaseSharePercent/100)
	b.earlierLeaseMs = min(b.longestEarlierLease(), earlierLeaseMs)
	b.openStartMs = orderTimeoutMs + pools.LateCallMs + b.maxSlowLeaseMs
	b.maxStartupMs = max(maxStartupMs, startupRestores*cfg.RestoreMs)
	return b
}

// longestEarlierLease returns the remaining lease that a VM may hold from an earlier owner, as earlierLeaseMs explains. The longer
// one of two counts: leases granted until maxStoreSilenceMs after the contact was lost, and starts on a VM with the longest lease.
func (b *bounds) longestEarlierLease() int64 {
	ms := max(maxStoreSilenceMs+slowLease(b.leaseMs), earlyStartConfirmationMs+b.maxSlowLeaseMs)
	return (ms + leaseRoundMs - 1) / leaseRoundMs * leaseRoundMs
}

// slowLease returns how long a lease may last by a local clock, if the VM's clock is slow.
func slowLease(ms int64) int64 { return ms*100/slowClockPercent + 1 }
