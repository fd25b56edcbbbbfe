package stats_test

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/retry"
	"sassafrasvalve/io/stats"
)

// Guards against wrong counts, times distorted by refusals, names from callers that
// create new series, and metrics of names that are no longer configured.
func TestRequests(t *testing.T) {
	s := stats.New()
	s.SetNames([]string{"holds"}, []string{"west", "gone"})
	s.Observe(stats.Observation{Class: "holds", Tenant: "west", Verdict: retry.Ran, Attempts: 2, Wait: time.Second, Total: 3 * time.Second})
	s.Observe(stats.Observation{Class: "holds", Tenant: "x1", Verdict: retry.NotRun, Reason: "queue-full"})
	s.Observe(stats.Observation{Tenant: "x2", Verdict: retry.NotRun, Reason: "queue-full"})
	s.SetNames([]string{"holds"}, []string{"west"})
	got := scrape(t, s)
	for series, want := range map[string]float64{
		`sassafrasvalve_class_requests_total{class="holds",verdict="ran"}`:            1,
		`sassafrasvalve_class_requests_total{class="holds",verdict="not-run"}`:        1,
		`sassafrasvalve_class_requests_total{class="none",verdict="not-run"}`:         1,
		`sassafrasvalve_tenant_requests_total{tenant="other",verdict="not-run"}`:      2,
		`sassafrasvalve_tenant_requests_total{tenant="west",verdict="may-have-run"}`:  0,
		`sassafrasvalve_class_wait_seconds{class="holds",quantile="0.999"}`:           1,
		`sassafrasvalve_class_wait_seconds_count{class="holds"}`:                      1,
		`sassafrasvalve_tenant_duration_seconds_sum{tenant="west"}`:                   3,
		`sassafrasvalve_tenant_duration_seconds{tenant="other",quantile="0.5"}`:       math.NaN(),
		`sassafrasvalve_refusals_total{reason="queue-full"}`:                          2,
		`sassafrasvalve_attempts_total`:                                               2,
		`sassafrasvalve_tenant_requests_total{tenant="gone",verdict="ran"} (dropped)`: 0,
	} {
		name, dropped := strings.CutSuffix(series, " (dropped)")
		v, ok := got[name]
		assert.Equal(t, ok, !dropped, name)
		assert.Assert(t, v == want || math.IsNaN(v) && math.IsNaN(want), "%s is %v, not %v", name, v, want)
	}
	assert.Assert(t, got["process_cpu_seconds_total"] > 0 && got["go_goroutines"] > 0 && got["go_heap_objects_bytes"] > 0)
}

// Guards against label values, help texts or names that make the page invalid, callbacks that are
// not called at the scrape, unbounded series, and repeated series or types of one name.
func TestText(t *testing.T) {
	s := stats.New()
	s.Describe("9 odd-name", "a \\ and\na line")
	s.Counter("9 odd-name", stats.Labels{{Name: "z", Value: "q\"\\\n\xff}"}, {Name: "a b", Value: "1"}}).Inc(3)
	value := 1.0
	s.Gauge("slots", stats.Labels{{Name: "pool", Value: "a"}}, func() float64 { return -1 })
	s.Gauge("slots", stats.Labels{{Name: "pool", Value: "a"}}, func() float64 { return value })
	s.Counter("slots", nil).Inc(5) // another type: dropped
	s.Gauges("vms", func(set func(stats.Labels, float64)) {
		set(stats.Labels{{Name: "vm", Value: "v1"}}, value)
		set(stats.Labels{{Name: "vm", Value: "v1"}}, 9) // twice: dropped
	})
	for i := range 600 {
		s.Counter("many", stats.Labels{{Name: "n", Value: strconv.Itoa(i)}}).Inc(1)
	}
	value = math.Inf(1)
	got := scrape(t, s)
	assert.Equal(t, got[`__odd_name{a_b="1",z="q\"\\\n`+"\uFFFD"+`}"}`], 3.0)
	assert.Assert(t, math.IsInf(got[`slots{pool="a"}`], 1) && math.IsInf(got[`vms{vm="v1"}`], 1))
	assert.Equal(t, got[`many{n="other"}`], 600.0-512)
	assert.Equal(t, got[`many{n="511"}`], 1.0)
	// Once for the other type, and once for the repeated VM at the first of the two scrapes.
	assert.Equal(t, scrape(t, s)[`sassafrasvalve_metrics_dropped_total`], 2.0)
}

// Guards against data races between scrapes, observations and SetNames; run with -race.
func TestConcurrent(t *testing.T) {
	s := stats.New()
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for j := range 200 {
				s.SetNames([]string{"a", strconv.Itoa(j % 3)}, nil)
				s.Observe(stats.Observation{Class: "a", Reason: strconv.Itoa(i), Attempts: 1})
			}
		})
	}
	for range 5 {
		scrape(t, s)
	}
	wg.Wait()
	assert.Equal(t, scrape(t, s)[`sassafrasvalve_attempts_total`], 800.0)
}

// TestNewMetricsWhileScraped guards against a page that has the first series of a metric but not its type, which
// scrapers reject as a whole. It comes about if a metric is created during a scrape.
func TestNewMetricsWhileScraped(t *testing.T) {
	s := stats.New()
	names := make([]string, 4000)
	for i := range names {
		names[i] = "sassafrasvalve_test_" + strconv.Itoa(i) + "_total"
		s.Describe(names[i], "Metrics that get their first series during a scrape.")
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, name := range names {
			s.Count(name, nil, 1)
		}
	}()
	for adding := true; adding; {
		select {
		case <-done:
			adding = false
		default:
		}
		scrape(t, s)
	}
}

// scrape returns the value of each series of a page, after checking the format of the page.
func scrape(t *testing.T, s *stats.Stats) map[string]float64 {
	t.Helper()
	var page strings.Builder
	assert.NilError(t, s.WriteText(&page))
	got, err := parse(page.String())
	assert.NilError(t, err, page.String())
	return got
}

var (
	head   = regexp.MustCompile(`^# HELP ([a-zA-Z_:][a-zA-Z0-9_:]*) (?:[^\\]|\\[\\n])*$`)
	kind   = regexp.MustCompile(`^# TYPE (\S+) (counter|gauge|summary)$`)
	sample = regexp.MustCompile(`^([a-zA-Z_:][a-zA-Z0-9_:]*)(\{[a-zA-Z_][a-zA-Z0-9_]*="(?:[^"\\\n]|\\["\\n])*"(?:,[a-zA-Z_][a-zA-Z0-9_]*="(?:[^"\\\n]|\\["\\n])*")*\})? (\S+)$`)
)

// parse returns the value of each series. It returns an error unless each metric has one HELP and one TYPE line,
// followed by all its series, each once.
func parse(page string) (map[string]float64, error) {
	out, seen := map[string]float64{}, map[string]bool{}
	name, typ := "", ""
	lines := strings.Split(page, "\n")
	if lines[len(lines)-1] != "" {
		return nil, errors.New("the last line is not ended")
	}
	for i, l := range lines[:len(lines)-1] {
		h, k, m := head.FindStringSubmatch(l), kind.FindStringSubmatch(l), sample.FindStringSubmatch(l)
		switch {
		case h != nil && !seen[h[1]]:
			name, typ = h[1], ""
			seen[name] = true
		case k != nil && k[1] == name && typ == "":
			typ = k[2]
		case m != nil && typ != "" && (m[1] == name || typ == "summary" && (m[1] == name+"_sum" || m[1] == name+"_count")):
			v, err := strconv.ParseFloat(m[3], 64)
			if _, twice := out[m[1]+m[2]]; err != nil || twice || typ == "counter" && v < 0 {
				return nil, fmt.Errorf("line %d: bad or repeated sample %q", i+1, l)
			}
			out[m[1]+m[2]] = v
		default:
			return nil, fmt.Errorf("line %d does not belong here: %q", i+1, l)
		}
	}
	return out, nil
}
