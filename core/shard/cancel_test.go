package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
)

// TestCancellationOfUnknownJobIsDeleted guards against a log that grows with each cancellation of a job that never existed, and
// against the deletion of a cancellation while its job may still come.
func TestCancellationOfUnknownJobIsDeleted(t *testing.T) {
	const retentionMs = 1000
	cancelled := &jobs.StoredJob{Cancelled: true}
	for name, learn := range map[string]func(e *Engine){
		"cancelled now":          func(e *Engine) { e.Cancel("j", 0) },
		"loaded at the takeover": func(e *Engine) { e.LoadJob("j", cancelled, 0, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			e := New(Config{Service: "s", Epoch: 1, StatusRetentionMs: retentionMs}, &jobs.Catalog{}, 0)
			learn(e)
			e.Advance(retentionMs-1, retentionMs-1)
			b, err := e.NextBatch()
			assert.NilError(t, err)
			assert.Assert(t, b == nil)
			e.Advance(retentionMs+tickIntervalMs, retentionMs+tickIntervalMs)
			b, err = e.NextBatch()
			assert.NilError(t, err)
			assert.Assert(t, b != nil, "the cancellation is kept for good")
			assert.DeepEqual(t, b.Records, []jobs.Record{{Key: jobs.CancelKey("j")}})
		})
	}
}
