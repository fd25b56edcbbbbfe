package owner

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/io/stats"
	"sassafrasvalve/io/tail"
	"sassafrasvalve/platform"
)

// objective is the part of a caller's objective that does not depend on the job's run time. Appends must fit into it.
const objective = 600 * time.Millisecond

// lossyLog stores appends, and loses the answers to some and refuses others.
type lossyLog struct {
	claimLog
	mu     sync.Mutex
	lose   int // number of next answers to lose
	refuse int // number of next appends to refuse
	calls  int
	seqs   map[int64]int // number of records stored, by sequence number
}

func (l *lossyLog) Append(a platform.AppendRequest) (platform.AppendResult, error) {
	l.mu.Lock()
	l.calls++
	if l.refuse > 0 {
		l.refuse--
		l.mu.Unlock()
		return platform.AppendResult{}, &platform.CallError{Call: "append", Status: http.StatusServiceUnavailable, Verdict: retry.NotRun}
	}
	l.seqs[a.Seq] = len(a.Records) // a copy of an append has the same sequence number
	lost := l.lose > 0
	if lost {
		l.lose--
	}
	l.mu.Unlock()
	if lost {
		time.Sleep(time.Until(a.Deadline))
		return platform.AppendResult{}, &platform.CallError{Call: "append", Verdict: retry.MayHaveRun}
	}
	return platform.AppendResult{Outcome: platform.Appended}, nil
}

// TestLostAnswersDoNotStopAShard guards against a shard that stalls after lost answers of the store. Only one append is
// sent at a time, so with timeouts of 0.7 s and then 2 s nothing was accepted, recorded or started meanwhile, and 88
// callers got the answer 504.
func TestLostAnswersDoNotStopAShard(t *testing.T) {
	for _, lost := range []int{0, 1, 2} {
		l := &lossyLog{lose: lost, seqs: map[int64]int{}}
		w := writer{
			store: l, topic: platform.TopicJobs, producer: "p", epoch: 1, timeout: appendTimeout, health: &storeHealth{},
			log: zap.NewNop(), stats: stats.New(), observe: func(time.Duration) {},
		}
		startedAt := time.Now()
		assert.Assert(t, w.write(t.Context(), []jobs.Record{{Key: "k"}}, nil))
		took := time.Since(startedAt)
		assert.Assert(t, took < objective, "with %d lost answers an append took %v", lost, took)
		assert.Equal(t, len(l.seqs), 1, "copies carry one sequence number")
		assert.Equal(t, w.health.failingSinceMs.Load(), int64(0))
	}
}

// TestRefusedAppendIsNotCopied guards against copies of an append that the store has refused, which add load to the store
// and delay the report of the refusal.
func TestRefusedAppendIsNotCopied(t *testing.T) {
	l := &lossyLog{refuse: 1, seqs: map[int64]int{}}
	_, _, err := Hedge(l, platform.AppendRequest{Seq: 1, Deadline: time.Now().Add(time.Second)}, 0)
	assert.Equal(t, platform.VerdictOf(err), retry.NotRun)
	assert.Equal(t, l.calls, 1)
}

// TestCopyDecidesVerdict guards against the verdict NotRun for records that an earlier, unanswered call may have stored.
func TestCopyDecidesVerdict(t *testing.T) {
	l := &lossyLog{lose: 1, seqs: map[int64]int{}}
	go func() {
		time.Sleep(hedgeAfter / 2)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.refuse = maxHedgeCalls
	}()
	_, _, err := Hedge(l, platform.AppendRequest{Seq: 1, Deadline: time.Now().Add(2 * hedgeAfter)}, 0)
	assert.Equal(t, platform.VerdictOf(err), retry.MayHaveRun)
}

// resettingLog resets the connection of every append.
type resettingLog struct{ claimLog }

func (*resettingLog) Append(platform.AppendRequest) (platform.AppendResult, error) {
	return platform.AppendResult{}, &platform.CallError{Call: "append", Verdict: retry.MayHaveRun}
}

// TestResetsAreRefusals guards against callers that wait for an owner whose host the store turns away by resets until
// their time is over (504): their records may be stored, but another entry can store them at once.
func TestResetsAreRefusals(t *testing.T) {
	o := New(Config{
		Member: "e1#1", Store: &resettingLog{}, Directory: tail.NewDirectory(&claimLog{}, false, zap.NewNop()), Log: zap.NewNop(), Stats: stats.New(),
	})
	o.owning.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	taken := make(chan *pendingRecords, 1)
	go func() {
		p := <-o.inbox
		takeForAppend([]*pendingRecords{p})
		taken <- p
		w := writer{
			store: o.cfg.Store, topic: platform.TopicJobs, producer: "p", epoch: 1, timeout: appendTimeout, health: &o.health,
			log: zap.NewNop(), stats: o.cfg.Stats, observe: func(time.Duration) {},
		}
		w.write(ctx, p.records, nil)
	}()
	startedAt := time.Now()
	assert.Equal(t, o.AppendRecords(ctx, []jobs.Record{{Key: "k"}}), StoreResult{Owner: true, Verdict: retry.MayHaveRun})
	assert.Assert(t, time.Since(startedAt) < objective, "the caller waited %v", time.Since(startedAt))
	<-taken
	assert.Equal(t, o.AppendRecords(ctx, []jobs.Record{{Key: "l"}}), StoreResult{Verdict: retry.NotRun}, "the next records are not taken")
	time.Sleep(time.Until(startedAt.Add((maxRefusedMs + 200) * time.Millisecond)))
	assert.Assert(t, !o.Owns(), "another process may own the shard after maxRefusedMs")
}
