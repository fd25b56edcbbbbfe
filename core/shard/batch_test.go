package shard

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
)

// TestStartsWaitForTheirRecords guards against a start that is sent as recorded although the record of its job was left
// to a later batch because of its size. After a crash of the owner, the next one would start that item again.
func TestStartsWaitForTheirRecords(t *testing.T) {
	e := newPolledEngine(3, 1000, 1000)
	ref := strings.Repeat("x", maxBatchBytes+1)
	for _, id := range []string{"a", "b", "c"} {
		e.LoadJob(id, &jobs.StoredJob{
			Job:      &jobs.Job{ID: id, Steps: []jobs.Step{{Count: 1, CPU: 800, MemMB: 10, EstimateMs: 600}}},
			Progress: jobs.Progress{Rev: 1, State: jobs.Running, Items: []jobs.ItemState{{Run: 1, Ref: ref}}},
		}, 0, 0)
	}
	e.confirmedAt = -10 * earlyStartConfirmationMs // so that starts wait to be recorded
	e.Advance(10, 10)
	assert.Equal(t, len(e.unrecordedStarts), 3)
	started := map[string]bool{}
	for n := range 3 {
		b, err := e.NextBatch()
		assert.NilError(t, err)
		assert.Equal(t, len(b.jobStates), 1, "one record fills a batch")
		for _, o := range e.HandleBatchStored(b, 20) {
			assert.Equal(t, o.JobID, b.jobStates[0].job.ID, "the batch does not record this start")
			started[o.JobID] = true
		}
		assert.Equal(t, len(started), n+1)
	}
}
