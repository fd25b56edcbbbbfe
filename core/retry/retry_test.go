package retry

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_800_000_000, 0)

// TestPolicyScript guards against wrong decisions in the cases of testdata/policy.txt, and against taking a token without a
// retry.
func TestPolicyScript(t *testing.T) {
	text, err := os.ReadFile("testdata/policy.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(text)) {
		left, want, ok := strings.Cut(strings.TrimSpace(line), " -> ")
		f := strings.Fields(left)
		if !ok || f[0] == "#" {
			continue
		}
		attempt := Attempt{Idempotent: f[1] != "no", Keyed: f[1] == "keyed", Replayable: f[2] == "yes"}
		assert.NilError(t, attempt.Verdict.UnmarshalText([]byte(f[0])))
		attempt.Count, err = strconv.Atoi(f[3])
		assert.NilError(t, err)
		d, err := time.ParseDuration(f[4])
		assert.NilError(t, err)
		attempt.Deadline = start.Add(d)
		tokens, err := strconv.ParseFloat(f[5], 64)
		assert.NilError(t, err)
		b := &Budget{tokens: tokens, refilledAt: start}
		got := string(Policy{}.Decide(start, attempt, b))
		if got == "" {
			got = "again"
			tokens--
		}
		assert.Equal(t, got, want, line)
		assert.Equal(t, b.tokens, tokens, "a token was taken without a retry: %s", line)
	}
}

// TestBudgetIsAShareOfSuccessesAndOnePerSecond guards against retries that multiply the load on failing workers, and against
// a pool without successes that gets no retries.
func TestBudgetIsAShareOfSuccessesAndOnePerSecond(t *testing.T) {
	b := NewBudget(start)
	assert.Equal(t, b.Take(start), true)
	assert.Equal(t, b.Take(start), false)
	assert.Equal(t, b.Take(start.Add(-time.Hour)), false)
	assert.Equal(t, b.Take(start.Add(time.Second)), true)
	for range 100 {
		b.Success()
	}
	n := 0
	for b.Take(start.Add(time.Second)) {
		n++
	}
	assert.Assert(t, n == 9 || n == 10, "%d retries after 100 successes", n)
	n = 0
	for b.Take(start.Add(time.Hour)) {
		n++
	}
	assert.Equal(t, n, maxTokens)
}

// TestVerdictText guards against a verdict that decodes as another one, and against a zero value that means not-run.
func TestVerdictText(t *testing.T) {
	for _, v := range []Verdict{NotRun, Ran, MayHaveRun} {
		text, err := v.MarshalText()
		assert.NilError(t, err)
		var back Verdict
		assert.NilError(t, back.UnmarshalText(text))
		assert.Equal(t, back, v)
	}
	var zero Verdict
	assert.Equal(t, zero, MayHaveRun)
	assert.ErrorContains(t, zero.UnmarshalText([]byte("Ran")), "unknown verdict")
}
