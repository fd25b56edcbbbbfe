package jobapi

import (
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/tally"
	"sassafrasvalve/io/owner"
	"sassafrasvalve/io/stats"
	"sassafrasvalve/platform"
)

// movedJob is the ID of the job that the cases of testdata/moved.toml hand in or cancel.
const movedJob = "0000000000000001"

// The shards of those cases: the queue's service has newShard, and an earlier configuration sent the queue to oldShard.
const (
	oldShard = 1
	newShard = 2
)

// movedCase is one case of testdata/moved.toml.
type movedCase struct {
	Name     string
	Cancel   bool  // the job is cancelled
	Query    bool  // the state of the job is asked for; without Cancel and Query the job is handed in
	Unmapped []int // shards that the entry has not read in the map yet
	Outdated bool  // the entry has not read for long in which shards the queue's jobs may be
	Has      []int // shards that have the job
	Arriving []int // shards that store it between the query for it and its exclusion
	Silent   []int // shards whose owners do not answer
	Full     []int // shards whose owners answer but cannot append
	Unknown  bool  // the shards of the route cannot be recorded
	Stored   []int // shards in which a record is stored
	Exclude  []int // shards that refuse the job from then on
	Status   int   // of the answer
}

// movedOwners are the owners of the shards in a case.
type movedOwners struct {
	c        *movedCase
	stored   []int
	excluded []int
}

func (o *movedOwners) Store(_ context.Context, part int, _ jobs.Record) owner.StoreResult {
	o.stored = append(o.stored, part)
	return owner.StoreResult{Owner: true, Verdict: retry.Ran}
}

func (o *movedOwners) JobState(_ context.Context, part int, _ string) owner.JobAnswer {
	return owner.JobAnswer{State: jobs.Running, Known: slices.Contains(o.c.Has, part), Sure: !slices.Contains(o.c.Silent, part)}
}

func (o *movedOwners) ExcludeJob(_ context.Context, part int, _ string) (found, known bool) {
	if slices.Contains(o.c.Silent, part) || slices.Contains(o.c.Full, part) {
		return false, false
	}
	if slices.Contains(o.c.Has, part) || slices.Contains(o.c.Arriving, part) {
		return true, true
	}
	o.excluded = append(o.excluded, part)
	return false, true
}

func (o *movedOwners) QueueLength(context.Context, int, jobs.QueueID) owner.LengthAnswer {
	return owner.LengthAnswer{}
}

func (o *movedOwners) NextOwnerMs(int) int64 { return 0 }

// QueueShards returns the queue's earlier shard and the present one.
func (o *movedOwners) QueueShards(jobs.QueueID) ([]int, int64) {
	if o.c.Outdated {
		return nil, clock.BootMs() - 2*tally.MaxAgeMs
	}
	return []int{oldShard, newShard}, clock.BootMs()
}

// Part returns the shard of the queue's present service.
func (o *movedOwners) Part(string) (int, bool) { return newShard, true }

// Parts returns the shards that the entry knows, with one that the queue never had.
func (o *movedOwners) Parts() []int {
	return slices.DeleteFunc([]int{0, oldShard, newShard}, func(part int) bool { return slices.Contains(o.c.Unmapped, part) })
}

// RouteShards returns the queue's earlier shard and the present one.
func (o *movedOwners) RouteShards(context.Context, *jobs.Queue, int) ([]int, error) {
	if o.c.Unknown {
		return nil, errors.New("the log does not answer")
	}
	return []int{oldShard, newShard}, nil
}

// TestJobsOfAMovedQueue guards against an accepted job that is answered with 410, as its shard is not known to the entry, against a job
// that runs twice, as its request is repeated after a configuration has sent its
// queue to another service, against a cancel that is acknowledged but reaches only the queue's new shard, and against a job that
// runs although its cancel was answered with 410, because it was on its way into the log.
func TestJobsOfAMovedQueue(t *testing.T) {
	data, err := os.ReadFile("testdata/moved.toml")
	assert.NilError(t, err)
	var script struct{ Case []movedCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		t.Run(c.Name, func(t *testing.T) {
			o := &movedOwners{c: &c}
			api := New(Config{Owners: o, Store: noStore{}, Shards: o, Routes: o, Log: zap.NewNop(), Stats: stats.New()})
			access := &jobs.Access{Queue: &jobs.Queue{Name: "q", Service: "s", Host: "h", Prefix: "/p/"}}
			var err error
			switch {
			case c.Cancel:
				err = api.Cancel(t.Context(), access, movedJob)
			case c.Query:
				_, err = api.JobState(t.Context(), access, movedJob)
			default:
				err = api.Submit(t.Context(), access, &jobs.Job{ID: movedJob})
			}
			status := http.StatusOK
			var refused *platform.Refusal
			if errors.As(err, &refused) {
				status = refused.Status
			} else {
				assert.NilError(t, err)
			}
			assert.Equal(t, status, c.Status)
			assert.DeepEqual(t, o.stored, c.Stored)
			assert.DeepEqual(t, o.excluded, c.Exclude)
		})
	}
}
