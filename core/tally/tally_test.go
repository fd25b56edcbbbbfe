package tally

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sassafrasvalve/core/jobs"
)

// acceptedJob is a job that waits for good.
type acceptedJob struct {
	shard int
	atMs  int64
}

// world is a queue whose jobs are stored in several shards over time. A shard is listed before its first job is accepted.
type world struct {
	listedMs map[int]int64 // time at which each shard was listed
	jobs     []acceptedJob
}

// list returns the shards that were listed until a time.
func (w *world) list(asOfMs int64) []int {
	var shards []int
	for shard, at := range w.listedMs {
		if at <= asOfMs {
			shards = append(shards, shard)
		}
	}
	return shards
}

// count returns the jobs of a shard, or of all shards if it is negative, that were accepted until a time.
func (w *world) count(shard int, asOfMs int64) int {
	n := 0
	for _, j := range w.jobs {
		if (shard < 0 || j.shard == shard) && j.atMs <= asOfMs {
			n++
		}
	}
	return n
}

// TestCompleteLengthLeavesNoOldJobOut guards against a length that is given as complete and leaves out jobs which were accepted over
// MaxAgeMs before, whichever owners answer and however old their counts and the lists of shards are.
func TestCompleteLengthLeavesNoOldJobOut(t *testing.T) {
	complete := 0
	rapid.Check(t, func(t *rapid.T) {
		const now = 20_000
		w := &world{listedMs: map[int]int64{}}
		for range rapid.IntRange(0, 12).Draw(t, "jobs") {
			j := acceptedJob{shard: rapid.IntRange(0, 3).Draw(t, "shard"), atMs: rapid.Int64Range(10_000, now).Draw(t, "acceptedMs")}
			w.jobs = append(w.jobs, j)
			if at, listed := w.listedMs[j.shard]; !listed || j.atMs < at {
				w.listedMs[j.shard] = j.atMs
			}
		}
		age := rapid.Int64Range(0, 3000)
		recent := NewRecent()
		q := jobs.QueueID{Name: "q"}
		for shard := range 4 {
			if rapid.Bool().Draw(t, "recent") {
				at := now - age.Draw(t, "recentAgeMs")
				recent.Add(q, map[int]Count{shard: {N: w.count(shard, at), AsOfMs: at}}, at)
			}
		}
		s := NewSum(recent.Counts(q))
		listedAt := now - age.Draw(t, "listAgeMs")
		s.AddShards(w.list(listedAt), listedAt)
		for ask := s.Unasked(rapid.IntRange(0, 3).Draw(t, "present")); len(ask) > 0; ask = s.Unasked() {
			for _, shard := range ask {
				if rapid.IntRange(0, 3).Draw(t, "silent") == 0 {
					continue
				}
				at := now - age.Draw(t, "countAgeMs")
				s.AddCount(shard, Count{N: w.count(shard, at), AsOfMs: at})
				listedAt := now - age.Draw(t, "ownersListAgeMs")
				s.AddShards(w.list(listedAt), listedAt)
			}
		}
		l := s.Length(now)
		if !l.Complete() {
			return
		}
		complete++
		assert.Assert(t, l.N >= w.count(-1, now-MaxAgeMs), "%d of %d jobs", l.N, w.count(-1, now-MaxAgeMs))
		assert.Assert(t, l.N <= len(w.jobs))
		assert.Assert(t, now-l.AsOfMs <= MaxAgeMs)
	})
	assert.Assert(t, complete > 0, "no length was complete")
}

// TestRecentDropsExpiredCounts guards against memory that grows with the queues that were ever asked for, and against a count that is
// used for as long as nobody gets another one.
func TestRecentDropsExpiredCounts(t *testing.T) {
	r := NewRecent()
	for i := range 100 {
		r.Add(jobs.QueueID{Name: fmt.Sprint(i)}, map[int]Count{1: {N: i, AsOfMs: 1000}}, 1000)
	}
	assert.Equal(t, len(r.counts), 100)
	q := jobs.QueueID{Name: "q"}
	r.Add(q, map[int]Count{1: {N: 7, AsOfMs: 3000}}, 3001)
	assert.Equal(t, len(r.counts), 1)
	r.Add(q, map[int]Count{1: {N: 5, AsOfMs: 2500}}, 3001)
	assert.Equal(t, r.Counts(q)[1].N, 7, "an answer that was overtaken by a newer one")
}
