package owner

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
)

// TestExcludedJobIsNotAccepted guards against a caller who is told that a job is accepted although the shard drops it: another
// entry has excluded it, because it may be stored in the queue's new shard.
func TestExcludedJobIsNotAccepted(t *testing.T) {
	const kept, excluded = "0000000000000001", "0000000000000002"
	job := func(id string) []jobs.Record {
		value, err := (&jobs.Job{ID: id, Queue: "q", Steps: []jobs.Step{{Count: 1, CPU: 1, MemMB: 1}}}).MarshalMsg(nil)
		assert.NilError(t, err)
		return []jobs.Record{{Key: jobs.JobKey(id), Value: value}}
	}
	r := newTestRun(&sharedLog{}, &singleVMRegistry{}, func() *jobs.Catalog { return &jobs.Catalog{} })
	r.o.owning.Store(true)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan bool, 1)
	go func() { ended <- r.serve(ctx) }()
	for until := time.Now().Add(5 * time.Second); r.o.run.Load() == nil; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the shard is not taken over")
	}
	assert.Equal(t, r.o.AppendRecords(ctx, job(kept)).Verdict, retry.Ran)
	found, known := r.o.ExcludeJob(ctx, kept)
	assert.Assert(t, found && known, "the shard has the job")
	found, known = r.o.ExcludeJob(ctx, excluded)
	assert.Assert(t, !found && known, "the shard does not have the job")
	assert.Equal(t, r.o.AppendRecords(ctx, job(excluded)).Verdict, retry.NotRun)
	stop()
	<-ended
}
