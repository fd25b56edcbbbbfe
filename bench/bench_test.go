package bench

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func runTrial(t *testing.T, name, policyName string) Result {
	t.Helper()
	rs, err := Load(Options{
		Fleets: []string{"trial"}, Scenarios: []string{name}, Policies: []string{policyName},
		Spreads: []string{string(Skewed)}, Seeds: 1, Parallel: 1,
	})
	assert.NilError(t, err)
	return rs[0]
}

func classRow(r Result, class string) Row {
	for _, x := range r.Rows {
		if x.Class == class && x.Tenant == allTenants {
			return x
		}
	}
	return Row{}
}

// Guards against decision code that misses the required bounds under bursts and message loss: urgent work within its
// share keeps 99% of its goodput and starts within 2.5 s, deferrable work is neither lost nor late, and control
// traffic stays within 28 KB/s.
func TestBounds(t *testing.T) {
	for _, name := range []string{"mean", "turns-loss", "flood-least"} {
		r := runTrial(t, name, "exact")
		hold, recalc := classRow(r, "hold"), classRow(r, "recalc")
		assert.Assert(t, hold.CalmDone*100 >= hold.CalmOffered*99, "%s: %d of %d", name, hold.CalmDone, hold.CalmOffered)
		assert.Assert(t, hold.CalmMax <= 2500*time.Millisecond, "%s: %v", name, hold.CalmMax)
		assert.Equal(t, recalc.Done, recalc.Offered, name)
		assert.Equal(t, recalc.Late, 0, name)
		assert.Assert(t, r.Bytes <= 28*1024, "%s: %.0f B/s", name, r.Bytes)
		assert.Equal(t, r.OverMax, 0, name)
	}
}

// Guards against runs that differ under the same seed, for example because of map order.
func TestSameSeedSameFigures(t *testing.T) {
	var a, b bytes.Buffer
	assert.NilError(t, WriteCSV(&a, []Result{runTrial(t, "entry", "exact")}))
	assert.NilError(t, WriteCSV(&b, []Result{runTrial(t, "entry", "exact")}))
	assert.Equal(t, a.String(), b.String())
	assert.NilError(t, WriteTable(&a, []Result{runTrial(t, "entry", "static")}, true))
	assert.Assert(t, strings.Contains(a.String(), "trial, entry, skewed arrivals"))
}

// Guards against a misspelled name that is ignored, so that other runs than the selected ones are made.
func TestUnknownNamesAreErrors(t *testing.T) {
	for _, o := range []Options{
		{Fleets: []string{"x"}},
		{Scenarios: []string{"x"}},
		{Policies: []string{"x"}},
		{Spreads: []string{"x"}},
	} {
		_, err := Load(o)
		assert.ErrorContains(t, err, `"x" does not exist`)
	}
}
