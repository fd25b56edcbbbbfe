package owner

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/shard"
)

// admitCase is a case of testdata/admit.toml.
type admitCase struct {
	Name                  string
	Stored, Load, Refused bool
	Direct                bool // another entry has just appended the job, and the owner has not read it
}

// TestRefusedJobsAreNotAppended guards against the answer that a job is refused although it is stored and runs, and against a job that
// is refused although it was accepted before, so that its caller hands it in elsewhere.
func TestRefusedJobsAreNotAppended(t *testing.T) {
	data, err := os.ReadFile("testdata/admit.toml")
	assert.NilError(t, err)
	var script struct{ Case []admitCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	accounts, err := jobs.NewAccounts([]jobs.Account{{Name: "a", Weight: 1}})
	assert.NilError(t, err)
	queue := jobs.Queue{Name: "q", Service: "s", Stretch: 1.6, SLOMs: 600}
	l := &limitedLog{sharedLog{took: time.Millisecond}}
	r := newTestRun(l, &startedVMRegistry{}, func() *jobs.Catalog { return &jobs.Catalog{Queues: []jobs.Queue{queue}, Accounts: accounts} })
	r.cfg.JoinMs = func() int64 { return 1 } // the pool is known not to grow soon
	r.cfg.VMLimit = func(string) int { return 1 }
	r.o.owning.Store(true)
	r.o.reason = reasonReleased
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan bool, 1)
	go func() { ended <- r.serve(ctx) }()
	for until := time.Now().Add(5 * time.Second); r.o.run.Load() == nil; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the shard is not taken over")
	}
	handIn := func(n int, withLoad bool) StoreResult {
		j, rec := admitJob(n), jobRecord(t, n)
		if !withLoad {
			return r.o.AppendRecords(ctx, []jobs.Record{rec})
		}
		return r.o.AppendJob(ctx, rec, shard.LoadOf(j, &queue))
	}
	// Jobs are accepted until the owner knows that the pool does not grow. The last one fills the backlog again if the first have ended.
	n := 0
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "%d jobs are accepted", n)
		if s := handIn(n, true); s.RetryAfterMs > 0 {
			break
		}
		n++
	}
	assert.Assert(t, !l.recorded(jobs.JobKey(fmt.Sprintf("%016x", n)), 0), "the refused job is appended")
	for i, c := range script.Case {
		t.Run(c.Name, func(t *testing.T) {
			id := 1000 + i
			if c.Stored {
				id = n - 1
			}
			if c.Direct {
				l.mu.Lock()
				l.records = append(l.records, jobRecord(t, id))
				l.mu.Unlock()
			}
			s := handIn(id, c.Load)
			if !c.Refused {
				assert.Equal(t, s, StoreResult{Owner: true, Verdict: retry.Ran})
				return
			}
			assert.Assert(t, s.Owner && s.Verdict == retry.NotRun && s.RetryAfterMs > 0, "%+v", s)
			time.Sleep(3 * appendDuration)
			assert.Assert(t, !l.recorded(jobs.JobKey(fmt.Sprintf("%016x", id)), 0), "the refused job is appended")
		})
	}
	stop()
	r.cancel()
	<-ended
}

// admitJob returns a job of the account.
func admitJob(n int) *jobs.Job {
	return &jobs.Job{
		ID: fmt.Sprintf("%016x", n), Queue: "q", Account: "a", AcceptedMs: time.Now().UnixMilli(),
		Steps: []jobs.Step{{Count: 5, CPU: 1000, MemMB: 10, EstimateMs: 1000}},
	}
}

// jobRecord returns the record of a job of the account.
func jobRecord(t *testing.T, n int) jobs.Record {
	t.Helper()
	j := admitJob(n)
	value, err := j.MarshalMsg(nil)
	assert.NilError(t, err)
	return jobs.Record{Key: jobs.JobKey(j.ID), Value: value}
}
