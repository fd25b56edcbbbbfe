package jobs

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestCancelOfAnotherAccount guards against a job that is cancelled with a key of another client account: an entry that cannot ask the
// job's owner stores the cancel without knowing whose job it is.
func TestCancelOfAnotherAccount(t *testing.T) {
	const id = "0000000000000001"
	for _, c := range []struct {
		name, job, cancel string
		cancelled         bool
	}{
		{"own job", "a", "a", true},
		{"another account's job", "a", "b", false},
		{"a job of no account", "", "b", true},
		{"without accounts", "", "", true},
		{"an account that the configuration no longer has", "a", "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := &Job{ID: id, Account: c.job, Steps: []Step{{Count: 1}}}
			value, err := j.MarshalMsg(nil)
			assert.NilError(t, err)
			records := []Record{{Key: JobKey(id), Value: value}, CancelRecord(id, c.cancel)}
			for range 2 { // a reread may list the cancel first
				table := NewJobTable()
				for _, r := range records {
					change, err := table.Apply(r)
					assert.NilError(t, err)
					assert.Assert(t, !change.Stale, "the job record would be deleted")
				}
				state, found := table.Find(id)
				assert.Assert(t, found)
				assert.Equal(t, state == Cancelled, c.cancelled)
				records[0], records[1] = records[1], records[0]
			}
		})
	}
}
