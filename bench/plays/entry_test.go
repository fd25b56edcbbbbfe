package plays

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestFindings guards against a drawn day that passes as "no rule broken" though one kind of job or some seconds earned next to
// nothing: the collapse of deposit-req stood in the journal for a day before it was looked at.
func TestFindings(t *testing.T) {
	list, err := Load("testdata/journal")
	assert.NilError(t, err)
	var b strings.Builder
	assert.NilError(t, Write(&b, list, list))
	golden.Assert(t, b.String(), "findings.txt")
}
