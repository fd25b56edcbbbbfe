package owner

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/platform"
)

// limitedLog refuses appends above the platform's limits, as the platform does.
type limitedLog struct{ sharedLog }

func (l *limitedLog) Append(a platform.AppendRequest) (platform.AppendResult, error) {
	var limits platform.Limits
	tooLarge := platform.CallBytes(a.Records) > limits.MaxCallBytes()
	for _, r := range a.Records {
		tooLarge = tooLarge || limits.CheckRecord(r) != nil
	}
	if tooLarge {
		return platform.AppendResult{}, &platform.CallError{Call: "append", Status: http.StatusBadRequest, Verdict: retry.NotRun}
	}
	return l.sharedLog.Append(a)
}

// recorded reports whether a record with a key was appended after the first n records.
func (l *limitedLog) recorded(key string, n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.records[n:] {
		if r.Key == key {
			return true
		}
	}
	return false
}

// runLimited serves a shard whose log has the given limits until the test ends.
func runLimited(t *testing.T, l *limitedLog) *poolRun {
	t.Helper()
	r := newTestRun(l, &startedVMRegistry{}, func() *jobs.Catalog {
		return &jobs.Catalog{Queues: []jobs.Queue{{Name: "q", Service: "s"}}, Pools: []jobs.Pool{{Service: "s", EnforcesCapacity: true}}}
	})
	r.o.owning.Store(true)
	r.o.reason = reasonReleased
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan bool, 1)
	go func() { ended <- r.serve(ctx) }()
	t.Cleanup(func() {
		stop()
		r.cancel() // the writer repeats a refused append until then
		<-ended
	})
	for until := time.Now().Add(5 * time.Second); r.o.run.Load() == nil; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the shard is not taken over")
	}
	return r
}

// TestOversizedRecordDoesNotHoldUpOthers guards against a shard in which nothing is recorded any more, since the append of one
// record that the log refuses for its size was repeated for good, with the records of all other jobs.
func TestOversizedRecordDoesNotHoldUpOthers(t *testing.T) {
	l := &limitedLog{}
	for i, ref := range []string{strings.Repeat("x", 1<<20), ""} {
		id := fmt.Sprintf("%016x", i+1)
		job, err := (&jobs.Job{ID: id, Queue: "q", Steps: []jobs.Step{{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 60_000}}}).MarshalMsg(nil)
		assert.NilError(t, err)
		progress, err := (&jobs.Progress{Rev: 1, State: jobs.Running, Items: []jobs.ItemState{{Run: 1, Ref: ref}}}).MarshalMsg(nil)
		assert.NilError(t, err)
		l.records = append(l.records, jobs.Record{Key: jobs.JobKey(id), Value: job}, jobs.Record{Key: jobs.ProgressKey(id), Value: progress})
	}
	loaded := len(l.records)
	r := runLimited(t, l)
	for until := time.Now().Add(5 * time.Second); !l.recorded(jobs.ProgressKey("0000000000000002"), loaded); time.Sleep(time.Millisecond) {
		r.o.health.confirmedAtMs.Store(clock.BootMs())
		assert.Assert(t, time.Now().Before(until), "the progress of the other job is not recorded")
	}
	res := r.o.AppendRecords(t.Context(), []jobs.Record{{Key: jobs.JobKey("x"), Value: make([]byte, 1<<20)}})
	assert.Equal(t, res, StoreResult{Owner: true, Verdict: retry.NotRun}, "a job above the limit is refused")
}

// TestSubmissionsFillSeveralAppends guards against the refusal of all jobs that wait for an append, as they are larger together
// than an append may be.
func TestSubmissionsFillSeveralAppends(t *testing.T) {
	const count, size = 12, 200 << 10
	r := runLimited(t, &limitedLog{sharedLog{took: 50 * time.Millisecond}})
	results := make(chan StoreResult, count)
	for i := range count {
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			value, err := (&jobs.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", Steps: []jobs.Step{{Count: 1, Label: strings.Repeat("x", size)}}}).MarshalMsg(nil)
			if err != nil {
				panic(err) // a literal can be encoded
			}
			results <- r.o.AppendRecords(ctx, []jobs.Record{{Key: jobs.JobKey(fmt.Sprintf("%016x", i)), Value: value}})
		}()
	}
	for range count {
		assert.Equal(t, <-results, StoreResult{Owner: true, Verdict: retry.Ran})
	}
}
