package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/shard"
)

// TestReportHoldsUnknownUse guards against an account above its limit after a takeover, because the report leaves out what the earlier
// owner may have started without recording it, so that other shards get that part of the limit.
func TestReportHoldsUnknownUse(t *testing.T) {
	accounts, err := jobs.NewAccounts([]jobs.Account{{Name: "a", Weight: 1, Max: jobs.Amount{CPU: 10_000}}})
	assert.NilError(t, err)
	catalog := &jobs.Catalog{Version: 1, Queues: []jobs.Queue{{Name: "q", Service: "s"}}, Accounts: accounts}
	r := newTestRun(&sharedLog{}, &startedVMRegistry{}, func() *jobs.Catalog { return catalog })
	r.allowances = newPoolAllowances(r.cfg.Allocation, r.o)
	r.allowances.holder.SetConfig(catalog, true)
	now := clock.BootMs()
	r.engine = shard.New(shard.Config{Service: "s", Epoch: 2, Allowances: r.allowances}, catalog, now)
	job := &jobs.Job{ID: "0000000000000001", Queue: "q", Account: "a", Steps: []jobs.Step{{Count: 5, CPU: 1000, MemMB: 10, EstimateMs: 1000}}}
	r.engine.LoadJob(job.ID, &jobs.StoredJob{Job: job}, now, time.Now().UnixMilli())
	r.engine.RequireInitialPolls(now)
	unknown := r.engine.AccountUses(now)["a"].Unknown
	assert.Equal(t, unknown.CPU, int64(5000), "the engine knows that the items may run")
	report, due := r.nextReport()
	assert.Assert(t, due)
	assert.Equal(t, report.Unknown.CPU+report.Accounts["a"].Unknown.CPU, unknown.CPU, "%+v", report)
}
