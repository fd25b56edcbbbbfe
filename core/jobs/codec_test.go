package jobs

import (
	"testing"

	"github.com/tinylib/msgp/msgp"
	"gotest.tools/v3/assert"
)

// TestMalformedRecordsAreRefused guards against a record that claims billions of entries and takes the process down with the
// memory that is reserved for them.
func TestMalformedRecordsAreRefused(t *testing.T) {
	huge := []byte{0xdd, 0xff, 0xff, 0xff, 0xff}
	for name, c := range map[string]struct {
		field string
		m     msgp.Unmarshaler
	}{
		"steps of a job": {"t", &Job{}}, "items of its progress": {"i", &Progress{}},
		"offers of a pool": {"o", &Post{}}, "VMs to be emptied": {"v", &Vacate{}},
	} {
		b := append(msgp.AppendString(msgp.AppendMapHeader(nil, 1), c.field), huge...)
		_, err := c.m.UnmarshalMsg(b)
		assert.ErrorIs(t, err, msgp.ErrLimitExceeded, "%s", name)
	}
}
