package dedup

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/retry"
)

// Guards against wrong answers to callers, such as not-run for a key whose request may have run, by a table of all
// replies of the owner.
func TestDecideAnswersEachReply(t *testing.T) {
	text, err := os.ReadFile("testdata/decide.txt")
	assert.NilError(t, err)
	now := time.Unix(1_800_000_000, 0)
	yes := map[bool]string{true: "yes", false: "no"}
	for line := range strings.Lines(string(text)) {
		left, want, ok := strings.Cut(line, " -> ")
		f := strings.Fields(left)
		if !ok || f[0] == "#" {
			continue
		}
		var r ClaimReply
		assert.NilError(t, r.Answer.UnmarshalText([]byte(f[0])))
		if f[1] != "-" {
			assert.NilError(t, r.Outcome.Verdict.UnmarshalText([]byte(f[1])))
		}
		_, err := fmt.Sscan(f[2], &r.Outcome.Status)
		assert.NilError(t, err)
		r.Outcome.Lost = f[3] == "yes"
		d := Decide(now, r)
		got := "run"
		if !d.Run {
			got = fmt.Sprint(d.Status, " ", d.Verdict, " ", yes[d.Stored], " ", yes[d.RetryAt.After(now)])
			assert.Assert(t, d.Reason != "")
		}
		assert.Equal(t, got, strings.Join(strings.Fields(want), " "), line)
	}
	assert.Equal(t, Decide(now, ClaimReply{Answer: 99}).Verdict, retry.NotRun)
	assert.Equal(t, Decide(now, ClaimReply{Answer: 99}).Run, false)
}
