package owner

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/io/stats"
	"sassafrasvalve/io/tail"
)

// waitingJob returns the records of a job that no VM can run.
func waitingJob(t *testing.T, id string) []jobs.Record {
	t.Helper()
	value, err := (&jobs.Job{ID: id, Queue: "q", Route: "h/q/", Steps: []jobs.Step{{Count: 1, CPU: 1, Label: "none"}}}).MarshalMsg(nil)
	assert.NilError(t, err)
	return []jobs.Record{{Key: jobs.JobKey(id), Value: value}}
}

// TestLengthHasTheAgeOfTheRecords guards against a length that leaves out jobs which other entries have appended, and is taken for the
// present one: the owner cannot read its shard's records, or it does not own the shard any more.
func TestLengthHasTheAgeOfTheRecords(t *testing.T) {
	const blindFor = 400 * time.Millisecond
	l, q := &sharedLog{}, jobs.QueueID{Name: "q", Route: "h/q/"}
	r := newTestRun(l, &singleVMRegistry{}, func() *jobs.Catalog { return &jobs.Catalog{} })
	assert.Assert(t, !r.o.QueueLength(q).Sure, "the shard is not taken over yet")
	r.o.owning.Store(true)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan bool, 1)
	go func() { ended <- r.serve(ctx) }()
	eventually(t, "takeover", func() bool { return r.o.run.Load() != nil })
	assert.Equal(t, r.o.AppendRecords(ctx, waitingJob(t, "0000000000000001")).Verdict, retry.Ran)
	a := r.o.QueueLength(q)
	assert.Assert(t, a.Sure && a.N == 1, "%v", a)
	assert.Assert(t, a.AgeMs < blindFor.Milliseconds(), "%v", a)

	l.mu.Lock()
	l.busy = true
	l.records = append(l.records, waitingJob(t, "0000000000000002")...) // by another entry
	l.mu.Unlock()
	refusedAt := clock.BootMs()
	time.Sleep(blindFor)
	r.o.health.confirmedAtMs.Store(clock.BootMs())
	a = r.o.QueueLength(q)
	assert.Assert(t, a.Sure && a.N == 1, "%v", a)
	assert.Assert(t, a.AgeMs >= clock.BootMs()-refusedAt-1, "an answer without the job is as old as the last read: %v", a)

	stop()
	<-ended
	r.o.health.confirmedAtMs.Store(clock.BootMs())
	assert.Assert(t, !r.o.QueueLength(q).Sure, "the shard is given up")
}

// TestNextOwnerIsExpectedByTheElection guards against callers that are told to return before another process can own the shard.
func TestNextOwnerIsExpectedByTheElection(t *testing.T) {
	l := &claimLog{}
	directory := tail.NewDirectory(l, false, zap.NewNop())
	o := New(Config{Member: "e2#1", Store: l, Directory: directory, Peers: &countingPeers{}, Log: zap.NewNop(), Stats: stats.New()})
	assert.Equal(t, o.NextOwnerMs(), int64(0), "nothing was read yet")
	l.renew(t)
	assert.NilError(t, directory.CatchUp(t.Context()))
	assert.Equal(t, o.claimReason(), "")
	assert.Assert(t, near(o.NextOwnerMs(), probeAfterMs+takeoverMs), "%d", o.NextOwnerMs())
	o.renewedAtMs -= probeAfterMs // time passes without a renewal
	assert.Equal(t, o.claimReason(), "")
	assert.Assert(t, near(o.NextOwnerMs(), maxLapseMs-probeAfterMs+takeoverMs), "%d", o.NextOwnerMs())
	o.renewedAtMs -= maxLapseMs
	assert.Equal(t, o.claimReason(), reasonSilent)
	assert.Assert(t, near(o.NextOwnerMs(), takeoverMs), "%d", o.NextOwnerMs())
	l.busy = true
	assert.Assert(t, directory.CatchUp(t.Context()) != nil)
	assert.Equal(t, o.claimReason(), "")
	assert.Equal(t, o.NextOwnerMs(), int64(0), "renewals cannot be read")
}

// near reports whether a time in ms is at most 200 below another.
func near(ms, want int64) bool { return ms <= want && ms > want-200 }
