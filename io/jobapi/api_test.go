package jobapi

import (
	"context"
	"errors"
	"net/http"
	"strings"
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

// quickOwners store a record within half of minStoreTime, if the context allows that long.
type quickOwners struct {
	Owners
	storeCalls int
}

func (o *quickOwners) Store(ctx context.Context, _ int, _ jobs.Record) owner.StoreResult {
	o.storeCalls++
	select {
	case <-time.After(minStoreTime / 2):
		return owner.StoreResult{Owner: true, Verdict: retry.Ran}
	case <-ctx.Done():
		return owner.StoreResult{Owner: true, Verdict: retry.MayHaveRun}
	}
}

// noStore refuses every append.
type noStore struct{ owner.Store }

func (noStore) Append(platform.AppendRequest) (platform.AppendResult, error) {
	return platform.AppendResult{}, &platform.CallError{Call: "append", Status: http.StatusServiceUnavailable, Verdict: retry.NotRun}
}

// oneShard maps all services to shard 0.
type oneShard struct {
	Shards
	Routes
}

func (oneShard) Part(string) (int, bool) { return 0, true }

func (oneShard) RouteShards(_ context.Context, _ *jobs.Queue, part int) ([]int, error) {
	return []int{part}, nil
}

// TestSubmitNearCallerDeadline guards against status 504 for a caller that retries shortly before its deadline, although
// nothing was sent or the time was enough to store the job. In the scripted day refused-reads (seed 772178764796) on the
// deployment kegel-live-grown, 67 of 178 answers were 504.
func TestSubmitNearCallerDeadline(t *testing.T) {
	owners := &quickOwners{}
	api := New(Config{Owners: owners, Store: noStore{}, Shards: oneShard{}, Routes: oneShard{}, Log: zap.NewNop(), Stats: stats.New()})
	submit := func(left time.Duration) int {
		ctx, cancel := context.WithTimeout(t.Context(), left)
		defer cancel()
		err := api.Submit(ctx, &jobs.Access{Queue: &jobs.Queue{Name: "q", Service: "s"}}, &jobs.Job{ID: "0000000000000001"})
		var refused *platform.Refusal
		if errors.As(err, &refused) {
			return refused.Status
		}
		assert.NilError(t, err)
		return http.StatusOK
	}
	assert.Equal(t, submit(minStoreTime/2), http.StatusServiceUnavailable)
	assert.Equal(t, owners.storeCalls, 0, "a record that cannot be stored in time is not sent to the owner")
	assert.Equal(t, submit(replyReserve/2), http.StatusOK)
}

// TestJobAboveTheRecordSizeIsRefused guards against a job that is accepted for the log, which refuses its record for good.
func TestJobAboveTheRecordSizeIsRefused(t *testing.T) {
	owners := &quickOwners{}
	api := New(Config{Owners: owners, Store: noStore{}, Shards: oneShard{}, Routes: oneShard{}, Log: zap.NewNop(), Stats: stats.New()})
	job := &jobs.Job{ID: "0000000000000001", Steps: []jobs.Step{{Count: 1, Label: strings.Repeat("x", 256<<10)}}}
	var refused *platform.Refusal
	assert.Assert(t, errors.As(api.Submit(t.Context(), &jobs.Access{Queue: &jobs.Queue{Name: "q", Service: "s"}}, job), &refused))
	assert.Equal(t, refused.Status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, owners.storeCalls, 0)
}
