package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// newOneItemPool returns a pool that runs one item at a time, with a queue whose jobs have twice their run time and a second.
func newOneItemPool() *simPool {
	sim := newSimPool(newPolledEngine(1, 1000, 1000))
	sim.e.catalog = &jobs.Catalog{Queues: []jobs.Queue{{Name: "q", Service: "s", Stretch: 2, SLOMs: 1000}}}
	return sim
}

// submit submits a job now.
func (sim *simPool) submit(id string, steps ...jobs.Step) {
	sim.e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: id, Queue: "q", Steps: steps, AcceptedMs: sim.now}}, sim.now, sim.now)
}

// TestBegunJobsComeFirst guards against a pool under overload on which many jobs have begun and few are complete in time:
// the second step of each waits behind the first steps of jobs that have less slack left.
func TestBegunJobsComeFirst(t *testing.T) {
	const itemMs = 600
	sim := newOneItemPool()
	step := jobs.Step{Count: 1, CPU: 1000, MemMB: 10, EstimateMs: itemMs}
	second := step
	second.After = []int{0}
	sim.submit("begun", step, second)
	sim.tick(0)
	assert.Equal(t, len(sim.started), 1)
	sim.submit("waits", step) // has less slack than the job that has begun
	sim.now += itemMs
	sim.end("a", sim.started[0].Item, pools.EndDone, "")
	sim.pollAll()
	sim.tick(0)
	assert.Equal(t, len(sim.started), 2)
	assert.Equal(t, sim.started[1].JobID, "begun")
}

// TestJobsThatWouldBeLateYield guards against a pool under overload that starts each job when it can just be in time by
// its estimates. The orders, the end that is seen a little later and its record then make all of them late.
func TestJobsThatWouldBeLateYield(t *testing.T) {
	const itemMs, slackMs, leftMs = 600, 1600, 100 // objective 2,200 ms
	sim := newOneItemPool()
	step := jobs.Step{Count: 1, CPU: 1000, MemMB: 10, EstimateMs: itemMs}
	sim.submit("runs", step)
	sim.tick(0)
	sim.submit("old", step)
	sim.now += slackMs - leftMs
	sim.submit("new", step)
	sim.end("a", sim.started[0].Item, pools.EndDone, "")
	sim.pollAll()
	sim.tick(0)
	assert.Equal(t, len(sim.started), 2)
	assert.Equal(t, sim.started[1].JobID, "new")
}
