package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/quota"
	"sassafrasvalve/core/shard"
	"sassafrasvalve/io/wire"
)

// Intervals and timeouts of reports about allowances.
const (
	// allowanceInterval is the pause between two checks whether a report is due.
	allowanceInterval = 50 * time.Millisecond
	// noLimitsInterval replaces it while no account of the configuration has a limit.
	noLimitsInterval = time.Second
	// allowanceTimeout bounds the wait for the answer to a report.
	allowanceTimeout = 500 * time.Millisecond
)

// Allocation calls the allocator of allowances.
type Allocation interface {
	// Allowance sends a report to the allocator. It returns a zero grant if no process is known to be the allocator.
	Allowance(ctx context.Context, r quota.Report) (quota.Grant, error)
	// AllocatorEpoch returns the newest epoch of the machine controller in the log, 0 if there is none.
	AllocatorEpoch() int64
}

// poolAllowances are the allowances of the accounts in a pool. Its methods are called with poolRun.mu held.
type poolAllowances struct {
	holder *quota.Holder
}

// newPoolAllowances returns the allowances of a new owner of a shard, which holds none.
func newPoolAllowances(a Allocation, o *Owner) *poolAllowances {
	return &poolAllowances{quota.NewHolder(quota.HolderConfig{
		Shard: o.cfg.Part, Epoch: o.Epoch(), Allocator: a.AllocatorEpoch(), UsedHoldsUnknown: true,
	})}
}

// MayStart implements shard.Allowances. used includes what may run without the engine's knowledge.
func (a *poolAllowances) MayStart(account string, used, item jobs.Amount) bool {
	return a.holder.MayStart(account, used, item)
}

// Room implements shard.Rooms.
func (a *poolAllowances) Room(account string, used jobs.Amount) (jobs.Amount, bool) {
	return a.holder.Room(account, used, shard.NoLimit)
}

// usesOf returns the accounts' use of a shard for a report in which the use by orphaned runs is separate.
func usesOf(uses map[string]shard.AccountUse, orphans jobs.Amount) map[string]quota.Use {
	list := make(map[string]quota.Use, len(uses))
	for name, u := range uses {
		unknown := jobs.Amount{
			CPU: max(u.Unknown.CPU-orphans.CPU, 0), MemMB: max(u.Unknown.MemMB-orphans.MemMB, 0), GPU: max(u.Unknown.GPU-orphans.GPU, 0),
		}
		list[name] = quota.Use{Used: u.Used, Unknown: unknown, Want: u.Want, Item: u.Item}
	}
	return list
}

// allowanceLoop reports what accounts use to the allocator, and applies its grants, until the run ends.
func (r *poolRun) allowanceLoop() {
	failed := false
	for ; r.ctx.Err() == nil; wire.Sleep(r.ctx, allowanceInterval) {
		if c := r.cfg.Catalog(); c == nil || !c.Accounts.HasLimits() {
			wire.Sleep(r.ctx, noLimitsInterval)
			continue
		}
		report, due := r.nextReport()
		if !due {
			continue
		}
		ctx, cancel := context.WithTimeout(r.ctx, allowanceTimeout)
		grant, err := r.cfg.Allocation.Allowance(ctx, report)
		cancel()
		if failed != (err != nil) && r.ctx.Err() == nil {
			// A nil error means that the allocator answers again.
			r.log.Info("availability of the allocator of allowances changed", zap.Bool("available", err == nil), zap.Error(err))
			failed = err != nil
		}
		if err != nil {
			continue
		}
		r.mu.Lock()
		applied := r.allowances.holder.Apply(grant)
		r.mu.Unlock()
		if applied {
			r.signal()
		}
	}
}

// nextReport returns the next report, and false if none is due.
func (r *poolRun) nextReport() (quota.Report, bool) {
	now := clock.BootMs()
	r.mu.Lock()
	defer r.mu.Unlock()
	orphans := r.engine.OrphanUse(now)
	uses := usesOf(r.engine.AccountUses(now), orphans)
	if !r.allowances.holder.Due(now, uses) {
		return quota.Report{}, false
	}
	report := r.allowances.holder.Report(uses, now)
	report.Unknown = orphans
	return report, true
}

// catchUpLoop reads the owners' partition up to the claim of this machine controller, so that all owners of shards are known. Without
// limits of accounts nothing is read.
func (r *controllerRun) catchUpLoop() {
	for r.ctx.Err() == nil {
		if c, _ := r.cfg.Accounts(); c == nil || !c.Accounts.HasLimits() {
			wire.Sleep(r.ctx, noLimitsInterval)
			continue
		}
		if r.o.cfg.Directory.CatchUp(r.ctx) == nil {
			r.allocatorMu.Lock()
			r.caughtUp = true
			r.allocatorMu.Unlock()
			return
		}
		wire.Sleep(r.ctx, loadRetryPause)
	}
}

// HandleAllowance answers the report of a shard's owner. The answer is zero if this process is not the machine controller.
func (o *Owner) HandleAllowance(report quota.Report) quota.Grant {
	c := o.controller.Load()
	if c == nil || !o.OwnershipConfirmed() {
		return quota.Grant{}
	}
	now := clock.BootMs()
	c.allocatorMu.Lock()
	defer c.allocatorMu.Unlock()
	catalog, fresh := c.cfg.Accounts()
	epochs, owned := c.cfg.ShardOwners()
	c.allocator.SetConfig(catalog, epochs, fresh && c.caughtUp, now)
	c.allocator.SetOwned(owned, now)
	return c.allocator.Handle(report, now)
}
