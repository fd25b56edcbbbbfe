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

// TestWaitingRecordsAreWithdrawn guards against callers that are told that a job may be stored, and cannot hand it in elsewhere,
// though its owner never came to append it (178 answers 504 on kegel-live-grown, refused-reads seed 772178764796, most of them by
// an overloaded owner), and against a job that is stored after its caller was told that it is not.
func TestWaitingRecordsAreWithdrawn(t *testing.T) {
	l := &claimLog{}
	o := New(Config{Member: "e1#1", Store: l, Directory: tail.NewDirectory(l, false, zap.NewNop()), Log: zap.NewNop(), Stats: stats.New()})
	o.owning.Store(true)
	o.health.confirmed.Store(clock.BootMs())
	store := func(taken bool) (StoreResult, *intake) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		answered := make(chan StoreResult, 1)
		go func() { answered <- o.Store(ctx, []jobs.Record{{Key: "j1"}}) }()
		in := <-o.inbox
		if taken {
			assert.Equal(t, len(take([]*intake{in})), 1, "the append begins in time")
		}
		return <-answered, in
	}
	s, in := store(false)
	assert.Equal(t, s, StoreResult{Owner: true, Verdict: retry.NotRun})
	assert.Equal(t, len(take([]*intake{in})), 0, "its records are stored though the caller was told otherwise")
	s, _ = store(true)
	assert.Equal(t, s, StoreResult{Owner: true, Verdict: retry.MayHaveRun})
}
