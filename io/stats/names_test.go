package stats_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/io/stats"
)

// Guards against a series for each of thousands of client accounts, and against an account that changes its series.
func TestAccountLabelsAreBounded(t *testing.T) {
	s := stats.New()
	for range 2 {
		for i := range 1000 {
			name := fmt.Sprint("account-", i)
			want := name
			if i >= 50 {
				want = stats.Other
			}
			assert.Equal(t, s.AccountLabel(name), want)
		}
	}
}
