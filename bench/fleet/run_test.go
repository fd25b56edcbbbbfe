package fleet

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBounds guards against a planner that breaks a budget at some offset, or that takes more than 1.25 times the lower
// bound for a roll-out.
func TestBounds(t *testing.T) {
	s := Shapes()[0]
	e := contenders()[0]
	r := wave("rollout", s, e, Config{Seeds: 2}, runConfig{})
	assert.Equal(t, r.Faults, 0)
	assert.Equal(t, r.Unfinished, 0)
	assert.Assert(t, r.Ratio() <= 1.25, "%.2f", r.Ratio())
}

// TestOutput guards against CSV output that lacks rows of the table.
func TestOutput(t *testing.T) {
	var table, csv bytes.Buffer
	err := Run(&table, Config{Shapes: []string{"apvieniba"}, Experiments: []string{"image"}, Seeds: 1, CSV: &csv})
	assert.NilError(t, err)
	assert.Equal(t, bytes.Count(csv.Bytes(), []byte("\n")), 1+len(contenders()))
	assert.Assert(t, bytes.Contains(table.Bytes(), []byte("image, apvieniba")))
}
