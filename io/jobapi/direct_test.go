package jobapi

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
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

// serialStore is a partition that is appended to one call at a time, like the platform's. It refuses calls while
// calls of more than maxQueued wait.
type serialStore struct {
	owner.Store
	took      time.Duration // of an append
	maxQueued time.Duration

	mu      sync.Mutex
	freeAt  time.Time
	records map[string]int // number of times that each record was stored, by key
	appends int
}

func (s *serialStore) Append(a platform.AppendRequest) (platform.AppendResult, error) {
	s.mu.Lock()
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	if s.freeAt.Sub(now) > s.maxQueued {
		s.mu.Unlock()
		return platform.AppendResult{}, &platform.CallError{Call: "append", Status: 503, Verdict: retry.NotRun}
	}
	s.freeAt = s.freeAt.Add(s.took)
	end := s.freeAt
	s.appends++
	for _, r := range a.Records {
		s.records[r.Key]++
	}
	s.mu.Unlock()
	if end.After(a.Deadline) {
		time.Sleep(time.Until(a.Deadline))
		return platform.AppendResult{}, &platform.CallError{Call: "append", Verdict: retry.MayHaveRun}
	}
	time.Sleep(time.Until(end))
	return platform.AppendResult{Outcome: platform.Appended}, nil
}

// counts returns how often each record was stored, and the number of appends.
func (s *serialStore) counts() (records map[string]int, appends int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.records), s.appends
}

// refuse makes the store refuse all appends.
func (s *serialStore) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxQueued = -1
}

// noOwners has no owner of any shard.
type noOwners struct{ Owners }

func (noOwners) Store(context.Context, int, jobs.Record) owner.StoreResult {
	return owner.StoreResult{Verdict: retry.NotRun}
}

func newSerialStore(took time.Duration) *serialStore {
	return &serialStore{took: took, maxQueued: 2 * time.Second, records: map[string]int{}}
}

// TestNewOwnerGetsThroughBesideDirectAppends guards against a shard that stays without an owner for as long as the store is
// slow: the entries append the jobs of many callers themselves, each with copies, and the append by which a new owner
// announces itself waits behind them. That took 3.0 to 4.8 s (docs/incidents/2026-12-05-takeover-slow-store.md).
func TestNewOwnerGetsThroughBesideDirectAppends(t *testing.T) {
	const entries, callers = 4, 25
	store := newSerialStore(50 * time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var accepted atomic.Int64
	for e := range entries {
		api := New(Config{Owners: noOwners{}, Store: store, Shards: oneShard{}, Routes: oneShard{}, Log: zap.NewNop(), Stats: stats.New()})
		for c := range callers {
			wg.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					id := fmt.Sprintf("%04x%04x%08x", e, c, n)
					if api.Submit(ctx, &jobs.Access{Queue: &jobs.Queue{Name: "q", Service: "s"}}, &jobs.Job{ID: id}) == nil {
						accepted.Add(1)
					}
				}
			})
		}
	}
	time.Sleep(time.Second)
	startedAt := time.Now()
	var err error
	for done := false; !done && time.Since(startedAt) < 5*time.Second; done = err == nil {
		announcement := platform.AppendRequest{Producer: "owner-0", Epoch: 2, Deadline: time.Now().Add(time.Second)}
		_, _, err = owner.Hedge(store, announcement, time.Second)
	}
	took := time.Since(startedAt)
	cancel()
	wg.Wait()
	assert.NilError(t, err)
	assert.Assert(t, took < 2*entries*store.took, "the announcement took %v", took)
	assert.Assert(t, accepted.Load() > callers, "%d jobs accepted", accepted.Load())
}

// TestDirectAppendVerdicts guards against a caller that is told that its record is not stored although it may be, and against
// a record that is appended again behind the answer.
func TestDirectAppendVerdicts(t *testing.T) {
	store := newSerialStore(100 * time.Millisecond)
	w := newDirectWriter(store, 0)
	within := func(d time.Duration, key string, verdict retry.Verdict) retry.Verdict {
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		return w.Append(ctx, jobs.Record{Key: key}, verdict)
	}
	var wg sync.WaitGroup
	wg.Go(func() { assert.Check(t, within(time.Second, "first", retry.NotRun) == retry.Ran) })
	time.Sleep(20 * time.Millisecond)
	wg.Go(func() { assert.Check(t, within(2*time.Second, "second", retry.NotRun) == retry.Ran) })
	wg.Go(func() { assert.Check(t, within(2*time.Second, "third", retry.NotRun) == retry.Ran) })
	assert.Equal(t, within(20*time.Millisecond, "withdrawn", retry.NotRun), retry.NotRun)
	assert.Equal(t, within(20*time.Millisecond, "withdrawn before", retry.MayHaveRun), retry.MayHaveRun)
	wg.Wait()
	records, appends := store.counts()
	assert.DeepEqual(t, records, map[string]int{"first": 1, "second": 1, "third": 1})
	assert.Equal(t, appends, 2, "the second and the third record share an append")

	time.Sleep((answerTimeFactor + 1) * store.took) // the pause behind the last append
	assert.Equal(t, within(50*time.Millisecond, "in progress", retry.NotRun), retry.MayHaveRun)
	time.Sleep((answerTimeFactor + 2) * store.took)
	records, _ = store.counts()
	assert.Equal(t, records["in progress"], 1, "a withdrawn record is not appended again")

	store.refuse()
	assert.Equal(t, within(time.Second, "refused", retry.NotRun), retry.NotRun)
	assert.Equal(t, within(200*time.Millisecond, "refused later", retry.MayHaveRun), retry.MayHaveRun)
}
