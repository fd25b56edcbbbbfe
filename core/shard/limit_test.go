package shard

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// TestPoolOverItsLimitGivesVMsUp guards against a pool that keeps all its VMs while others lack machines, because it
// starts new work on each VM before the last run there has ended.
func TestPoolOverItsLimitGivesVMsUp(t *testing.T) {
	const vms, limit, perVM, itemMs = 10, 4, 2, 600
	sim := newSimPool(newPolledEngine(vms, 1000, 1000))
	e := sim.e
	e.catalog = &jobs.Catalog{Queues: []jobs.Queue{{Name: "q", Service: "s", Stretch: 2, SLOMs: 1000}}}
	for n := range 6 * vms * perVM {
		id := fmt.Sprintf("%016x", n)
		e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: id, Queue: "q", Steps: []jobs.Step{
			{Count: 1, CPU: 1000 / perVM, MemMB: 10, EstimateMs: itemMs},
		}}}, 0, 0)
	}
	used := func() (n int) {
		for _, v := range e.vms {
			if len(v.runs) > 0 {
				n++
			}
		}
		return n
	}
	run := func(until int64) {
		for sim.now < until {
			sim.tick(0)
			if sim.now%itemMs != 0 {
				continue
			}
			for vm, runs := range sim.runs {
				for item := range runs {
					sim.end(vm, item, pools.EndDone, "")
				}
			}
		}
	}
	run(500)
	assert.Equal(t, used(), vms)
	e.SetVMLimit(limit)
	run(1500)
	assert.Equal(t, used(), limit, "the pool uses more VMs than its limit")
	assert.Equal(t, len(e.DemandReport().Offers), vms-limit)
	assert.Assert(t, e.DemandReport().Want > limit, "the report says what the pool could use")
	e.SetVMLimit(0)
	run(1700)
	assert.Equal(t, used(), vms, "the VMs are used again if no other pool took them")
}

// TestClosedVMsKeepPersistentItems guards against a limit that interrupts persistent items or has them start elsewhere.
func TestClosedVMsKeepPersistentItems(t *testing.T) {
	e := newPolledEngine(3, 1000, 1000)
	e.MarkOwnershipConfirmed(100)
	e.LoadJob("j", &jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{
		{Count: 3, CPU: 300, MemMB: 300, Persistent: true, Budget: 1, MaxPerVM: 1},
	}}}, 0, 0)
	e.Advance(100, 100)
	for _, o := range e.TakeOrders() {
		assert.Equal(t, o.Kind, pools.Start)
		e.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, 110)
	}
	e.SetVMLimit(1)
	for now := int64(200); now < 2000; now += 100 {
		e.Advance(now, now)
	}
	assert.Equal(t, len(e.TakeOrders()), 0)
	assert.Equal(t, len(e.DemandReport().Offers), 0)
	for _, v := range e.vms {
		assert.Assert(t, !v.closed, "VM %s runs a persistent item", v.ID)
	}
}
