package sim

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestScenariosKeepTheRules guards against owner decisions that break a rule of the platform under the users' load and
// faults: items that run twice, overloaded VMs, steps that start out of order, and wrong final states of jobs.
func TestScenariosKeepTheRules(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		for _, spec := range Scenarios(seed) {
			r := New(spec).Run()
			t.Log(r)
			assert.Equal(t, len(r.Faults), 0, "%s, seed %d: %v", spec.Name, seed, firstFew(r.Faults))
		}
	}
}

func firstFew(list []string) []string { return list[:min(len(list), 5)] }
