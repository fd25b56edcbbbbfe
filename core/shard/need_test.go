package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// poolOf returns an engine with n VMs that have answered.
func poolOf(n int, cpu, mem int64) *Engine {
	e := New(Config{Service: "s", Epoch: 1, StatusMs: 1000}, &jobs.Catalog{}, 0)
	var list []pools.VM
	for i := range n {
		list = append(list, pools.VM{ID: string(rune('a' + i)), Service: "s", Addr: "x", CPU: cpu, MemMB: mem})
	}
	e.SetVMs(list, 0)
	for _, v := range list {
		e.Looked(v.ID, pools.Look{Kind: pools.Done, ClockMs: 1, Born: 1}, 0, 0)
	}
	return e
}

// TestLastingItemsGetTheirVMs guards against a pool that offers the VMs which its lasting items need: by
// memory, and one more while a VM is to be vacated (LOST on dna-renewals, quiet-1 seed 1072310200108, where
// two of eleven items found no memory for 17 s).
func TestLastingItemsGetTheirVMs(t *testing.T) {
	e := poolOf(3, 32_000, 128_000)
	e.Load("j", &jobs.Entry{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{
		{Count: 6, CPU: 1000, MemMB: 35_000, Persistent: true, Budget: 1},
	}}}, 0, 0)
	e.Step(100, 100) // places the items
	e.need.peaks = nil
	e.tickNeed(150)
	assert.Equal(t, e.need.want, 2, "210 GB and a margin need two VMs of 128 GB")
	e.SetVacate([]string{"a"})
	e.need.peaks = nil
	e.tickNeed(5000)
	assert.Equal(t, e.need.want, 3, "a VM that is vacated needs another in its place")
}

// TestLaterOccurrencesCountAsDemand guards against a pool that asks for no VMs for the later occurrences of a schedule:
// they were taken for work that is too late, by the time at which the job was handed in (own site with schedules on a
// quarter of the jobs: 10 VMs at work where 3 were asked for).
func TestLaterOccurrencesCountAsDemand(t *testing.T) {
	const every, times = 3000, 6
	e := poolOf(8, 1000, 100_000)
	q := jobs.Queue{Name: "q", Stretch: 1.5, SLOMs: 600}
	e.SetCatalog(&jobs.Catalog{Queues: []jobs.Queue{q}})
	wall := int64(1_000_000)
	e.Submit(&jobs.Entry{Job: &jobs.Job{
		ID: "j", Queue: "q", Times: times, FirstMs: wall, EveryMs: every, AcceptedMs: wall,
		Steps: []jobs.Step{{Count: 5, CPU: 1000, MemMB: 10, EstimateMs: 1000}},
	}}, 0, wall)
	due := int64(every * (times - 1))
	for now := int64(0); now < due; now += 50 { // nothing runs: the VMs refuse all starts
		e.Step(now, wall+now)
		e.TakeOrders()
	}
	e.need.peaks, e.need.arrivals = nil, nil
	e.Step(due, wall+due)
	e.tickNeed(due)
	assert.Assert(t, e.need.want >= 5, "an occurrence that is just due can use 5 VMs, not %d", e.need.want)
}
