package owner

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
)

// TestCallersDoNotWaitForATick guards against callers who wait for the pause behind a long tick until their job is accepted. An
// owner with thousands of runs took 50 ms for a tick and paused for 150 ms, and callers waited 0.7 s, which is more time
// than a short job has.
func TestCallersDoNotWaitForATick(t *testing.T) {
	const (
		tick    = 100 * time.Millisecond
		maxWait = 2*tick + appendDuration // without the pause, which is tickPauseFactor times as long as a tick
		callers = 12
	)
	l := &sharedLog{}
	r := newTestRun(l, &singleVMRegistry{}, func() *jobs.Catalog {
		time.Sleep(tick)
		return &jobs.Catalog{}
	})
	r.o.owning.Store(true)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan bool, 1)
	go func() { ended <- r.serve(ctx) }()
	var total time.Duration
	for range callers {
		sentAt := time.Now()
		s := r.o.AppendRecords(ctx, []jobs.Record{{Key: "j1"}})
		total += time.Since(sentAt)
		assert.Equal(t, s.Verdict, retry.Ran)
	}
	stop()
	<-ended
	assert.Assert(t, total/callers < maxWait, "a caller waits %v", total/callers)
}
