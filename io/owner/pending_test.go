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

// TestWaitingRecordsAreWithdrawn guards against two wrong answers to callers. One says that a job may be stored although
// its overloaded owner never appended it, so that the caller cannot submit it elsewhere: 178 callers got the answer 504.
// The other says that a job is not stored although it is stored later. The first was seen on day refused-reads of site
// kegel-live-grown, seed 772178764796.
func TestWaitingRecordsAreWithdrawn(t *testing.T) {
	l := &claimLog{}
	o := New(Config{Member: "e1#1", Store: l, Directory: tail.NewDirectory(l, false, zap.NewNop()), Log: zap.NewNop(), Stats: stats.New()})
	o.owning.Store(true)
	o.health.confirmedAtMs.Store(clock.BootMs())
	store := func(appending bool) (StoreResult, *pendingRecords) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		answered := make(chan StoreResult, 1)
		go func() { answered <- o.AppendRecords(ctx, []jobs.Record{{Key: "j1"}}) }()
		p := <-o.inbox
		if appending {
			assert.Equal(t, len(takeForAppend([]*pendingRecords{p})), 1, "the append begins before the caller stops waiting")
		}
		return <-answered, p
	}
	s, p := store(false)
	assert.Equal(t, s, StoreResult{Owner: true, Verdict: retry.NotRun})
	assert.Equal(t, len(takeForAppend([]*pendingRecords{p})), 0, "records are appended after the answer that they are not stored")
	s, _ = store(true)
	assert.Equal(t, s, StoreResult{Owner: true, Verdict: retry.MayHaveRun})
}
