package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
)

// TestDemandWithoutWeight guards against a flood of an account without a weight that counts as work within the shares of the pool, and
// so takes machines from work within the shares in other pools, because no account with a weight has work here.
func TestDemandWithoutWeight(t *testing.T) {
	const vms, perVM = 10, 10
	sim := newSimPool(newPolledEngine(vms, shareVMCPU, shareVMMem))
	sim.e.catalog = &jobs.Catalog{Queues: []jobs.Queue{{Name: "q", Service: "s", Stretch: 1.6, SLOMs: 600}}}
	sim.e.catalog.Accounts, _ = jobs.NewAccounts([]jobs.Account{{Name: "free"}, {Name: "calm", Weight: 1}})
	sim.e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "free", Queue: "q", Account: "free", Steps: []jobs.Step{
		{Count: 40 * perVM, CPU: shareItemCPU, MemMB: 10, EstimateMs: shareItemMs},
	}}}, 0, 0)
	for sim.now < 4000 {
		sim.tick(0)
	}
	p := sim.e.DemandReport()
	assert.Assert(t, p.Want > vms && p.WantWithinShare() <= max(p.Min, 1), "%+v: %d VMs within the shares", p, p.WantWithinShare())
}
