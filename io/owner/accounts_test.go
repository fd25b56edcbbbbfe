package owner

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/io/stats"
)

// TestGaugesOfManyAccounts guards against gauges that show one of the accounts without a name of their own instead of their sum.
func TestGaugesOfManyAccounts(t *testing.T) {
	st, states := stats.New(), &AccountStates{}
	states.AddGauges(st)
	var list []AccountState
	for i := range 60 {
		list = append(list, AccountState{Account: fmt.Sprint("account", i), Running: 1})
	}
	states.set("p", list)
	var out bytes.Buffer
	assert.NilError(t, st.WriteText(&out))
	for _, line := range strings.Split(out.String(), "\n") {
		if strings.Contains(line, `account="other"`) && strings.Contains(line, `state="running"`) {
			assert.Assert(t, strings.HasSuffix(line, " 10"), line)
			return
		}
	}
	t.Fatal("no line for the other accounts")
}
