package jobs

import (
	"os"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
)

// excludeCase is one case of testdata/exclude.toml.
type excludeCase struct {
	Name      string
	Records   []string
	Found     bool // the shard has the job
	Cancelled bool // it is shown as cancelled
	Excluded  bool // the shard refuses the job
	Stale     bool // the last record has to be deleted
	Empty     bool // nothing is left of it
}

// TestExcludedJobIsRefused guards against a job that runs in two shards: an entry that still uses an earlier configuration
// stores it in its queue's earlier shard after another entry has stored it in the present one. It also guards against a
// cancellation that comes before its job and is forgotten, and against one of a job that never comes and is kept for good.
func TestExcludedJobIsRefused(t *testing.T) {
	data, err := os.ReadFile("testdata/exclude.toml")
	assert.NilError(t, err)
	var script struct{ Case []excludeCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	const id = "0000000000000001"
	job, err := (&Job{ID: id, Queue: "q", Steps: []Step{{Count: 1, CPU: 1, MemMB: 1}}}).MarshalMsg(nil)
	assert.NilError(t, err)
	final, err := (&Progress{Rev: 1, State: Complete}).MarshalMsg(nil)
	assert.NilError(t, err)
	records := map[string]Record{
		"job": {Key: JobKey(id), Value: job}, "final": {Key: ProgressKey(id), Value: final}, "exclude": ExcludeRecord(id),
		"cancel": {Key: CancelKey(id), Value: []byte{1}},
	}
	for _, c := range script.Case {
		t.Run(c.Name, func(t *testing.T) {
			table := NewJobTable()
			var last Change
			for _, name := range c.Records {
				name, deleted := strings.CutPrefix(name, "-")
				rec := records[name]
				if deleted {
					rec.Value = nil
				}
				last, err = table.Apply(rec)
				assert.NilError(t, err)
			}
			state, found := table.Find(id)
			assert.Equal(t, found, c.Found)
			assert.Equal(t, found && state == Cancelled, c.Cancelled)
			assert.Equal(t, len(table.Jobs) == 0, c.Empty)
			assert.Equal(t, !c.Empty && table.Jobs[id].Excluded, c.Excluded)
			assert.Equal(t, last.Stale, c.Stale)
		})
	}
}

// TestRouteShardsAreKept guards against a route whose earlier shard is forgotten, so that repeated requests run again.
func TestRouteShardsAreKept(t *testing.T) {
	d := NewDirectory()
	long := strings.Repeat("x", maxRouteBytes)
	for _, r := range []Record{
		RouteRecord("h/a/", 2), RouteRecord("h/a/", 0), RouteRecord("h/a/", 2), RouteRecord("h/b/", 1), RouteRecord(long+"1", 3),
	} {
		assert.NilError(t, d.Apply(r))
		assert.Assert(t, len(r.Key) < 256, "the platform's longest key has 255 bytes")
	}
	assert.DeepEqual(t, d.RouteShards("h/a/"), []int{2, 0})
	assert.DeepEqual(t, d.RouteShards("h/b/"), []int{1})
	assert.Equal(t, len(d.RouteShards("h/c/")), 0)
	assert.DeepEqual(t, d.RouteShards(long+"2"), []int{3})
	assert.ErrorContains(t, d.Apply(Record{Key: "rx/h/a/", Value: []byte{1}}), "invalid shard number")
}
