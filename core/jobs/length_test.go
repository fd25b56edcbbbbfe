package jobs

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// lengthCase is one case of testdata/length.toml. A queue is written as its name and its route, separated by a space.
type lengthCase struct {
	Name   string
	Jobs   []string // queues to which the waiting jobs were submitted
	Queue  string   // queue whose length is asked for
	Length int
}

func parseQueueID(s string) QueueID {
	name, route, _ := strings.Cut(s, " ")
	return QueueID{Name: name, Route: route}
}

// TestLengthOfARenamedQueue guards against a length of 0 for a queue whose jobs wait, as the operator has given the queue another
// name or another route since they were submitted.
func TestLengthOfARenamedQueue(t *testing.T) {
	data, err := os.ReadFile("testdata/length.toml")
	assert.NilError(t, err)
	var script struct{ Case []lengthCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		t.Run(c.Name, func(t *testing.T) {
			table := NewJobTable()
			for i, q := range c.Jobs {
				_, err := table.Apply(waitingJob(t, fmt.Sprintf("%016x", i), parseQueueID(q)))
				assert.NilError(t, err)
			}
			assert.Equal(t, table.QueueLength(parseQueueID(c.Queue)), c.Length)
		})
	}
}

// waitingJob returns the record of a job of one item in a queue.
func waitingJob(t assert.TestingT, id string, q QueueID) Record {
	value, err := (&Job{ID: id, Queue: q.Name, Route: q.Route, Steps: []Step{{Count: 1, CPU: 1, MemMB: 1}}}).MarshalMsg(nil)
	assert.NilError(t, err)
	return Record{Key: JobKey(id), Value: value}
}

// lengthRecord draws a record of one of a few jobs, or the deletion of one.
func lengthRecord(t *rapid.T) Record {
	id := fmt.Sprintf("%016x", rapid.IntRange(0, 3).Draw(t, "job"))
	var rec Record
	switch rapid.SampledFrom([]string{"job", "progress", "part", "cancel", "exclude", "broken"}).Draw(t, "kind") {
	case "job":
		q := QueueID{Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), Route: rapid.SampledFrom([]string{"", "h/a/", "h/b/"}).Draw(t, "route")}
		rec = waitingJob(t, id, q)
	case "progress", "part":
		p := Progress{Rev: rapid.Int64Range(0, 4).Draw(t, "rev"), State: State(rapid.IntRange(int(Queued), int(Cancelled)).Draw(t, "state"))}
		value, err := p.MarshalMsg(nil)
		assert.NilError(t, err)
		rec = Record{Key: rapid.SampledFrom([]string{ProgressKey(id), PartKey(id, 1)}).Draw(t, "key"), Value: value}
	case "cancel":
		rec = CancelRecord(id, "")
	case "exclude":
		rec = ExcludeRecord(id)
	case "broken":
		rec = Record{Key: JobKey(id), Value: []byte{0xc1}}
	}
	if rapid.IntRange(0, 3).Draw(t, "deleted") == 0 {
		rec.Value = nil
	}
	return rec
}

// TestQueueLengthMatchesTheTable guards against a count of waiting jobs that drifts from the jobs in the table: after repeated,
// outdated or malformed records, deletions, and a reread of the newest record of each key on a table that has read some.
func TestQueueLengthMatchesTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, newest := NewJobTable(), map[string]Record{}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			if rapid.IntRange(0, 19).Draw(t, "reread") == 0 {
				if rapid.Bool().Draw(t, "takeover") {
					table = NewJobTable()
				}
				for _, rec := range newest {
					_, _ = table.Apply(rec) // malformed records stay in the log
					checkLengths(t, table)
				}
				continue
			}
			rec := lengthRecord(t)
			newest[rec.Key] = rec
			_, _ = table.Apply(rec)
			checkLengths(t, table)
		}
	})
}

// checkLengths compares the lengths of all queues with the jobs in the table.
func checkLengths(t *rapid.T, table *JobTable) {
	for _, q := range []QueueID{{"a", "h/a/"}, {"b", "h/b/"}, {"a", ""}, {"b", "h/a/"}, {"c", "h/b/"}} {
		n := 0
		for _, s := range table.Jobs {
			if s.Job != nil && s.State() == Queued && q.has(QueueID{Name: s.Job.Queue, Route: s.Job.Route}) {
				n++
			}
		}
		assert.Equal(t, table.QueueLength(q), n, "queue %v", q)
	}
}

// BenchmarkQueueLength measures a count whose time must not grow with the number of jobs.
func BenchmarkQueueLength(b *testing.B) {
	for _, n := range []int{100, 100_000} {
		b.Run(fmt.Sprint(n, " jobs"), func(b *testing.B) {
			table := NewJobTable()
			for i := range n {
				_, err := table.Apply(waitingJob(b, fmt.Sprintf("%016x", i), QueueID{Name: fmt.Sprint("q", i%5), Route: fmt.Sprint("h/", i%5)}))
				assert.NilError(b, err)
			}
			for b.Loop() {
				table.QueueLength(QueueID{Name: "q1", Route: "h/1"})
			}
		})
	}
}
