package stats

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/retry"
)

func text(t *testing.T, s *Stats) string {
	t.Helper()
	var b strings.Builder
	n, err := s.WriteTo(&b)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(b.Len()))
	return b.String()
}

// Guards against output that Prometheus does not read: a type line repeated or missing, unescaped
// label values, or a sum over the sample only.
func TestTextFormat(t *testing.T) {
	s := New()
	for range 3000 { // more than the sample holds
		s.Observe(Observation{Class: "urgent", Tenant: `a"b`, Verdict: retry.Ran, Status: 200, Attempts: 1, Wait: time.Millisecond, Total: 2 * time.Millisecond})
	}
	s.Observe(Observation{Class: "urgent", Verdict: retry.NotRun, Status: 503, Reason: "admission"})
	s.Gauge("sassafrasvalve_offset", 7)
	got := text(t, s)
	for _, want := range []string{
		"# TYPE sassafrasvalve_requests_total counter\n",
		`sassafrasvalve_requests_total{verdict="ran",status="2xx",class="urgent"} 3000` + "\n",
		`sassafrasvalve_refused_total{reason="admission",class="urgent"} 1` + "\n",
		`sassafrasvalve_wait_seconds{tenant="a\"b",quantile="0.5"} 0.001` + "\n",
		`sassafrasvalve_request_seconds_sum{class="urgent"} 6` + "\n",
		`sassafrasvalve_request_seconds_count{class="urgent"} 3000` + "\n",
		"# TYPE sassafrasvalve_offset gauge\nsassafrasvalve_offset 7\n",
	} {
		assert.Assert(t, strings.Contains(got, want), "%s is missing in\n%s", want, got)
		assert.Assert(t, strings.Count(got, want) == 1)
	}
}

// Guards against output that grows with what callers send.
func TestLabelValuesAreBounded(t *testing.T) {
	s := New()
	for i := range 1000 {
		s.Observe(Observation{Class: "c", Tenant: fmt.Sprint("t", i), Verdict: retry.Ran, Status: 200, Attempts: 1})
	}
	got := text(t, s)
	assert.Equal(t, strings.Count(got, "sassafrasvalve_wait_seconds_count{tenant="), maxValues+1)
	assert.Assert(t, strings.Contains(got, `sassafrasvalve_wait_seconds_count{tenant="other"} 936`))
}
