package owner

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/io/stats"
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
// callers got the answer 504. Seen on day mix of site kegel-live-grown, seed 903236234918.
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
