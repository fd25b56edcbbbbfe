package plays

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestFindings guards against a randomly drawn day without findings on which a kind of job or some time windows earned
// almost nothing. No rule is broken on such a day, so the collapse of the class deposit-req was noticed a day late.
func TestFindings(t *testing.T) {
	list, err := Load("testdata/journal")
	assert.NilError(t, err)
	var b strings.Builder
	assert.NilError(t, Write(&b, list, list))
	golden.Assert(t, b.String(), "findings.txt")
}
