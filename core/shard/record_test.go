package shard

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// maxRecordBytes is the platform's largest record.
const maxRecordBytes = 262_144

// recordedTable applies batches of records to a table as the log does, and checks their sizes.
type recordedTable struct {
	*jobs.JobTable
	keys map[string]bool // keys that the log has
}

func newRecordedTable(j *jobs.Job) *recordedTable {
	t := &recordedTable{jobs.NewJobTable(), map[string]bool{}}
	t.Jobs[j.ID] = &jobs.StoredJob{Job: j}
	return t
}

// record stores all batches of an engine that are due, and returns their size.
func (r *recordedTable) record(t *testing.T, e *Engine) (size int) {
	t.Helper()
	for {
		b, err := e.NextBatch()
		assert.NilError(t, err)
		if b == nil {
			return size
		}
		for _, rec := range b.Records {
			n := 1 + len(rec.Key) + len(rec.Value)
			assert.Assert(t, n <= maxRecordBytes, "record %s has %d bytes", rec.Key, n)
			size += n
			if r.keys[rec.Key] = true; len(rec.Value) == 0 {
				delete(r.keys, rec.Key)
			}
			_, err := r.Apply(rec)
			assert.NilError(t, err)
		}
		e.HandleBatchStored(b, 0)
	}
}

// newWideEngine returns an engine with a job whose items all run, with the longest checkpoints.
func newWideEngine(t *testing.T, j *jobs.Job) *Engine {
	t.Helper()
	e := New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
	e.SetVMs([]pools.VM{{ID: "a", Service: "s", Addr: "x", CPU: 1 << 20, MemMB: 1 << 20}}, 0)
	e.LoadJob(j.ID, &jobs.StoredJob{Job: j}, 0, 0)
	v := e.vms["a"]
	v.startedAtMs = 1_796_584_000_000
	for i, it := range e.jobs[j.ID].orderedItems {
		it.run, it.phase, it.failedRuns = 7, running, []int{1, 2, 3}
		it.checkpoint = fmt.Sprintf("%0*d", jobs.MaxRefBytes, i)
		it.crashedRuns = []int{4, 5}
		v.attach(it)
	}
	e.markDirty(e.jobs[j.ID])
	return e
}

// TestWideJobIsRecordedInParts guards against a progress record that is larger than the log takes: the append was repeated for
// good, and neither this owner nor the next one recorded anything of the shard any more.
func TestWideJobIsRecordedInParts(t *testing.T) {
	j := &jobs.Job{ID: "0000000000000001", Steps: []jobs.Step{{Count: 6000, CPU: 1, MemMB: 1}, {Count: jobs.MaxItems - 6000, CPU: 1, MemMB: 1}}}
	assert.NilError(t, j.Check())
	e := newWideEngine(t, j)
	table := newRecordedTable(j)
	full := table.record(t, e)
	next := New(Config{Service: "s", Epoch: 2, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
	next.LoadJob(j.ID, table.Jobs[j.ID], 0, 0)
	for i, it := range next.jobs[j.ID].orderedItems {
		assert.DeepEqual(t, it.state(), e.jobs[j.ID].orderedItems[i].state())
		assert.DeepEqual(t, it.crashRecord(), e.jobs[j.ID].orderedItems[i].crashRecord())
	}

	end := pools.RunEnd{Seq: 1, Item: j.ID + ".0.1.17", Run: 7, Kind: pools.EndDone}
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: 1_796_584_000_000, Ended: []pools.RunEnd{end}, MoreEnds: true}, 1, 1)
	size := table.record(t, e)
	assert.Assert(t, size > 0 && size < full/10, "%d bytes of %d are recorded for one end", size, full)
	assert.Assert(t, table.Jobs[j.ID].FullProgress().Items[6017].Done)

	e.Cancel(j.ID, 2)
	table.record(t, e)
	assert.DeepEqual(t, slices.Collect(maps.Keys(table.keys)), []string{jobs.ProgressKey(j.ID)})
}

// TestRecordOfAnEarlierVersionIsSplit guards against the loss of the states that one large record of an earlier version holds.
func TestRecordOfAnEarlierVersionIsSplit(t *testing.T) {
	j := &jobs.Job{ID: "0000000000000001", Steps: []jobs.Step{{Count: 1000, CPU: 1, MemMB: 1}}}
	stored := &jobs.StoredJob{Job: j, Progress: jobs.Progress{Rev: 5, State: jobs.Running}}
	for i := range 1000 {
		stored.Progress.Items = append(stored.Progress.Items, jobs.ItemState{Index: i, Run: 2, Done: i != 999})
	}
	e := New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
	e.LoadJob(j.ID, stored, 0, 0)
	table := newRecordedTable(j)
	e.markDirty(e.jobs[j.ID])
	table.record(t, e)
	assert.Equal(t, len(table.Jobs[j.ID].Progress.Items), 0)
	assert.DeepEqual(t, table.Jobs[j.ID].FullProgress().Items, stored.Progress.Items)
}

// TestPartsOfEndedOccurrencesAreDeleted guards against a log that grows with each occurrence of a schedule.
func TestPartsOfEndedOccurrencesAreDeleted(t *testing.T) {
	const occurrences, items = 40, 100
	j := &jobs.Job{ID: "0000000000000001", Times: occurrences, EveryMs: 1, Steps: []jobs.Step{{Count: items, CPU: 1, MemMB: 1}}}
	e := New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
	table := newRecordedTable(j)
	e.LoadJob(j.ID, &jobs.StoredJob{Job: j}, 0, 0)
	most := 0
	for k := range occurrences {
		e.jobs[j.ID].openOccurrencesUpTo(k)
		for _, it := range slices.Clone(e.jobs[j.ID].orderedItems) {
			it.run = 1
			e.markDone(e.jobs[j.ID], it, 0)
		}
		table.record(t, e)
		most = max(most, len(table.keys))
	}
	assert.Assert(t, most <= 3, "%d records", most)
	assert.DeepEqual(t, slices.Collect(maps.Keys(table.keys)), []string{jobs.ProgressKey(j.ID)})
}

// TestLargeCheckpointIsIgnored guards against checkpoints of a VM that make a record larger than the log takes.
func TestLargeCheckpointIsIgnored(t *testing.T) {
	e := newPolledEngine(1, 1000, 1000)
	e.MarkOwnershipConfirmed(10)
	e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 600}}}}, 10, 10)
	e.Advance(10, 10)
	o := e.TakeOrders()[0]
	e.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, 12)
	for i, ref := range []string{"x", strings.Repeat("y", jobs.MaxRefBytes+1), strings.Repeat("z", jobs.MaxRefBytes+2)} {
		at := int64(20 + i)
		replyToPoll(e, at, at, pools.RunStatus{Item: o.Item, Run: o.Run, ProgressPercent: 30, Ref: ref})
	}
	assert.Equal(t, e.vms["a"].runs[o.Item].checkpoint, "x")
	ignored := 0
	for _, ev := range e.TakeEvents() {
		if ev.Name == "checkpoint ignored" {
			ignored++
		}
	}
	assert.Equal(t, ignored, 1, "it is logged once")
}
