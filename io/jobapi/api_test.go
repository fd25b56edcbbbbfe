package jobapi

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/io/owner"
	"sassafrasvalve/io/stats"
	"sassafrasvalve/platform"
)

// quickOwners store what they get within a few milliseconds, if they are given as long.
type quickOwners struct {
	Owners
	asked int
}

func (o *quickOwners) Store(ctx context.Context, _ int, _ jobs.Record) owner.StoreResult {
	o.asked++
	select {
	case <-time.After(leastTime / 2):
		return owner.StoreResult{Owner: true, Verdict: retry.Ran}
	case <-ctx.Done():
		return owner.StoreResult{Owner: true, Verdict: retry.MayHaveRun}
	}
}

// noStore refuses every append.
type noStore struct{ owner.Store }

func (noStore) Append(platform.Append) (platform.AppendResult, error) {
	return platform.AppendResult{}, &platform.CallError{Call: "append", Status: http.StatusServiceUnavailable, Verdict: retry.NotRun}
}

// oneShard has all services in shard 0.
type oneShard struct{ Shards }

func (oneShard) Part(string) (int, bool) { return 0, true }

// TestCallersWithLittleTime guards against 504 for callers that come back with little of their time left: nothing had been sent, or
// there was time enough to store the job (67 of 178 answers 504 on kegel-live-grown, refused-reads seed 772178764796).
func TestCallersWithLittleTime(t *testing.T) {
	owners := &quickOwners{}
	d := New(Config{Owners: owners, Store: noStore{}, Shards: oneShard{}, Log: zap.NewNop(), Stats: stats.New()})
	submit := func(left time.Duration) int {
		ctx, cancel := context.WithTimeout(t.Context(), left)
		defer cancel()
		err := d.Submit(ctx, &jobs.Queue{Name: "q", Service: "s"}, &jobs.Job{ID: "0000000000000001"})
		var refused *platform.Refusal
		if errors.As(err, &refused) {
			return refused.Status
		}
		assert.NilError(t, err)
		return http.StatusOK
	}
	assert.Equal(t, submit(leastTime/2), http.StatusServiceUnavailable)
	assert.Equal(t, owners.asked, 0, "what cannot be stored in time is not handed on")
	assert.Equal(t, submit(answerReserve/2), http.StatusOK)
}
