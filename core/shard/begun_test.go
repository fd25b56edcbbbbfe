package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// TestBegunJobsComeFirst guards against a pool under overload on which many jobs have begun and few are complete in time:
// the second step of each waits behind the first steps of jobs that have less slack left.
func TestBegunJobsComeFirst(t *testing.T) {
	const itemMs = 600
	sim := newSimPool(newPolledEngine(1, 1000, 1000))
	e := sim.e
	e.catalog = &jobs.Catalog{Queues: []jobs.Queue{{Name: "q", Service: "s", Stretch: 2, SLOMs: 1000}}}
	submit := func(id string, steps ...jobs.Step) {
		e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: id, Queue: "q", Steps: steps, AcceptedMs: sim.now}}, sim.now, sim.now)
	}
	step := jobs.Step{Count: 1, CPU: 1000, MemMB: 10, EstimateMs: itemMs}
	second := step
	second.After = []int{0}
	submit("begun", step, second)
	sim.tick(0)
	assert.Equal(t, len(sim.started), 1)
	submit("waits", step) // has less slack than the job that has begun
	sim.now += itemMs
	sim.end("a", sim.started[0].Item, pools.EndDone, "")
	sim.pollAll()
	sim.tick(0)
	assert.Equal(t, len(sim.started), 2)
	assert.Equal(t, sim.started[1].JobID, "begun")
}
