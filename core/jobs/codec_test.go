package jobs

import (
	"encoding/hex"
	"testing"

	"github.com/tinylib/msgp/msgp"
	"gotest.tools/v3/assert"
)

// TestMalformedRecordsAreRefused guards against running out of memory on a record whose array header claims billions of
// elements.
func TestMalformedRecordsAreRefused(t *testing.T) {
	huge := []byte{0xdd, 0xff, 0xff, 0xff, 0xff}
	for name, c := range map[string]struct {
		field string
		m     msgp.Unmarshaler
	}{
		"steps of a job": {"t", &Job{}}, "items of its progress": {"i", &Progress{}}, "crashes of its items": {"c", &Progress{}},
		"offers of a pool": {"o", &DemandReport{}}, "VMs to vacate": {"v", &VacateRequest{}},
	} {
		b := append(msgp.AppendString(msgp.AppendMapHeader(nil, 1), c.field), huge...)
		_, err := c.m.UnmarshalMsg(b)
		assert.ErrorIs(t, err, msgp.ErrLimitExceeded, "%s", name)
	}
}

// TestProgressOfEarlierVersionIsRead guards against an owner that cannot read the progress records of a version that recorded
// no crashes.
func TestProgressOfEarlierVersionIsRead(t *testing.T) {
	b, err := hex.DecodeString("84a17203a17301a16201a169919901000204a1619101c2a17207")
	assert.NilError(t, err)
	var p Progress
	_, err = p.UnmarshalMsg(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, p, Progress{Rev: 3, State: Running, Base: 1, Items: []ItemState{
		{K: 1, Index: 2, Run: 4, VM: "a", Failed: []int{1}, Ref: "r", VMBorn: 7},
	}})
}

// TestDamagedJobIsSkipped guards against a damaged job record that crashes every owner that reads it: a step that depends
// on a step that does not exist, more items than fit into memory, or a record under the key of another job.
func TestDamagedJobIsSkipped(t *testing.T) {
	for name, j := range map[string]Job{
		"after a missing step": {ID: "0000000000000001", Steps: []Step{{Count: 1, After: []int{7}}}},
		"after itself":         {ID: "0000000000000001", Steps: []Step{{Count: 1, After: []int{0}}}},
		"too many items":       {ID: "0000000000000001", Steps: []Step{{Count: 1 << 40}}},
		"no steps":             {ID: "0000000000000001"},
		"another job":          {ID: "0000000000000002", Steps: []Step{{Count: 1}}},
	} {
		value, err := j.MarshalMsg(nil)
		assert.NilError(t, err)
		table := NewJobTable()
		_, err = table.Apply(Record{Key: JobKey("0000000000000001"), Value: value})
		assert.Assert(t, err != nil, "%s", name)
		_, known := table.Find("0000000000000001")
		assert.Assert(t, !known, "%s", name)
	}
}

// FuzzRecords guards against a panic on a record with arbitrary bytes.
func FuzzRecords(f *testing.F) {
	job := Job{ID: "0000000000000001", Queue: "q", Steps: []Step{{Count: 2, CPU: 1}, {Count: 1, After: []int{0}}}}
	progress := Progress{Rev: 2, Items: []ItemState{{Run: 1, VM: "vm"}}}
	for key, m := range map[string]msgp.Marshaler{
		JobKey(job.ID): &job, ProgressKey(job.ID): &progress, ClaimKey(3): &Claim{Epoch: 1, Owner: "e"},
		DemandKey(3): &DemandReport{Want: 2, Offers: []string{"vm"}}, VacateKey: &VacateRequest{VMs: []string{"vm"}},
	} {
		b, err := m.MarshalMsg(nil)
		assert.NilError(f, err)
		f.Add(key, b)
	}
	f.Add("", []byte{})
	f.Add("u1/m", []byte{1})
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		table, dir := NewJobTable(), NewDirectory()
		rec := Record{Key: key, Value: value}
		for range 2 {
			_, _ = table.Apply(rec) // an error is allowed, a panic is not
			_ = dir.Apply(rec)
		}
		table.QueueLength(QueueID{Name: "q"})
	})
}
