package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// poolOf returns an engine with n VMs that have answered.
func poolOf(n int, cpu, mem int64) *Engine {
	e := New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
	var list []pools.VM
	for i := range n {
		list = append(list, pools.VM{ID: string(rune('a' + i)), Service: "s", Addr: "x", CPU: cpu, MemMB: mem})
	}
	e.SetVMs(list, 0)
	for _, v := range list {
		e.HandlePollReply(v.ID, pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: 1}, 0, 0)
	}
	return e
}

// TestLastingItemsGetTheirVMs guards against a pool that offers the VMs which its lasting items need: by
// memory, and one more while a VM is to be vacated (LOST on dna-renewals, quiet-1 seed 1072310200108, where
// two of eleven items found no memory for 17 s).
func TestLastingItemsGetTheirVMs(t *testing.T) {
	e := poolOf(3, 32_000, 128_000)
	e.LoadJob("j", &jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{
		{Count: 6, CPU: 1000, MemMB: 35_000, Persistent: true, Budget: 1},
	}}}, 0, 0)
	e.Step(100, 100) // places the items
	e.need.peaks = nil
	e.tickNeed(150)
	assert.Equal(t, e.need.want, 2, "210 GB and a margin need two VMs of 128 GB")
	e.SetVMsToVacate([]string{"a"})
	e.need.peaks = nil
	e.tickNeed(5000)
	assert.Equal(t, e.need.want, 3, "a VM that is vacated needs another in its place")
}

// TestPoolGetsVMsForThoseBeingVacated guards against a wave that stands still: VMs that are being emptied give no room, an item
// that lasts waits for some, and while it is away the budget of its step lets no other VM be emptied (LOST 5 on
// kegel-live-large, quiet-1 seed 354968618660, where an item waited from 7.3 s to the end of the wave at 26.5 s).
func TestPoolGetsVMsForThoseBeingVacated(t *testing.T) {
	e := poolOf(4, 32_000, 128_000)
	e.MarkOwnershipConfirmed(100)
	e.LoadJob("j", &jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{
		{Count: 5, CPU: 1000, MemMB: 100_000, Persistent: true, Budget: 1},
	}}}, 0, 0)
	e.SetVMsToVacate([]string{"b", "c"})
	e.Step(100, 100) // two items find room
	assert.Equal(t, len(e.TakeOrders()), 2)
	e.need.peaks = nil
	e.tickNeed(500)
	before := e.need.want
	e.need.peaks = nil
	e.tickNeed(500 + withoutRoomMs)
	assert.Equal(t, e.need.want, before+2, "the VMs that are being vacated give no room")
}

// TestUnseenDemandIsHeld guards against a pool that gives its VMs away while the log takes no jobs: callers who are refused come
// back, and a machine needs seconds to join again (SHORT on kegel-live-grown, mix seed 903236234918: the want fell from 170 to 56
// in the turn of the pool, and 110 of 173 VMs were offered).
func TestUnseenDemandIsHeld(t *testing.T) {
	e := poolOf(20, 10_000, 100_000)
	now := int64(0)
	pass := func(ms int64, confirmed bool) {
		for until := now + ms; now < until; {
			now += needEveryMs
			if confirmed {
				e.MarkOwnershipConfirmed(now)
			}
			e.tickNeed(now)
		}
	}
	for i := range 6 { // their work is over by the time of the outage
		id := string(rune('a' + i))
		e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: id, Steps: []jobs.Step{{Count: 8, CPU: 2000, MemMB: 10, EstimateMs: 1000}}}}, now, now)
	}
	pass(500, true)
	before := e.need.want
	assert.Assert(t, before >= 8, "%d VMs", before)
	pass(blindMs, false)
	clear(e.jobs)
	pass(4000, false)
	assert.Assert(t, e.need.want >= before, "%d VMs are wanted in the outage, %d before it", e.need.want, before)
	assert.Equal(t, len(e.DemandReport().Offers), 20-e.need.want)
	pass(settleMs-needEveryMs, true)
	assert.Assert(t, e.need.want >= before, "%d VMs are wanted right behind the outage, %d before it", e.need.want, before)
	pass(settleMs+holdMs, true)
	assert.Assert(t, e.need.want < before, "%d VMs are wanted long behind the outage, %d before it", e.need.want, before)
}

// TestDemandIsHeldFromTheLastConfirmation guards against a demand that is held only once it has fallen: in an outage at the start
// of a turn the want fell from 22 to 9 VMs before it was noticed that nothing is confirmed (riga-quote at 0.19 on dna-renewals,
// trouble-3 --seed 717989166888).
func TestDemandIsHeldFromTheLastConfirmation(t *testing.T) {
	e := poolOf(20, 10_000, 100_000)
	for i := range 6 {
		id := string(rune('a' + i))
		e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: id, Steps: []jobs.Step{{Count: 8, CPU: 2000, MemMB: 10, EstimateMs: 1000}}}}, 0, 0)
	}
	e.MarkOwnershipConfirmed(0)
	e.tickNeed(needEveryMs)
	before := e.need.want
	assert.Assert(t, before >= 8, "%d VMs", before)
	clear(e.jobs) // a lull, in which the pool keeps its VMs, and then the outage
	for now := int64(2 * needEveryMs); now < 5000; now += needEveryMs {
		if now <= holdMs/2 {
			e.MarkOwnershipConfirmed(now)
		}
		e.tickNeed(now)
	}
	assert.Assert(t, e.need.want >= before, "%d VMs are wanted in the outage, %d before it", e.need.want, before)
}

// TestNewOwnerHoldsDemand guards against an owner that takes over in the turn of a pool and gives VMs away since few jobs are
// recorded yet (alley-hold on kegel-live-grown, refused-reads seed 772178764796).
func TestNewOwnerHoldsDemand(t *testing.T) {
	e := poolOf(20, 10_000, 100_000)
	e.MarkOwnershipConfirmed(0)
	e.RestoreDemand(jobs.DemandReport{Want: 12}, 0)
	e.tickNeed(100)
	assert.Equal(t, e.need.want, 12)
	assert.Equal(t, len(e.DemandReport().Offers), 20-12)
	e.MarkOwnershipConfirmed(settleMs)
	e.need.peaks = nil
	e.tickNeed(settleMs)
	assert.Equal(t, e.need.want, minVMs)
}
