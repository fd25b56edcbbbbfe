package sim

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestScenariosKeepTheRules guards against a policy that breaks a rule of the platform under the
// users' demand and troubles: double runs, overfull VMs, steps out of order, false answers.
func TestScenariosKeepTheRules(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		for _, spec := range Scenarios(seed) {
			r := New(spec).Run()
			t.Log(r)
			assert.Equal(t, len(r.Faults), 0, "%s, seed %d: %v", spec.Name, seed, first(r.Faults))
		}
	}
}

func first(list []string) []string { return list[:min(len(list), 5)] }
