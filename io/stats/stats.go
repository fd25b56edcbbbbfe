// Package stats counts answered requests and writes the counts as Prometheus text.
package stats

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasvalve/core/retry"
)

// Names of the metrics of requests.
const (
	nameRequests = "sassafrasvalve_requests_total"
	nameRefused  = "sassafrasvalve_refused_total"
	nameRetries  = "sassafrasvalve_retries_total"
	nameWait     = "sassafrasvalve_wait_seconds"
	nameTotal    = "sassafrasvalve_request_seconds"
)

const (
	maxValues  = 64      // distinct values of one label; further ones count as otherValue
	otherValue = "other" // so that no caller can make the output grow without bound
	sampleSize = 1028    // with decay 0.015, the quantiles are those of about the last 5 minutes
	sampleBias = 0.015
)

// Observation is one answered request.
type Observation struct {
	Service, Class, Tenant string
	Verdict                retry.Verdict
	Status                 int
	Reason                 string        // of a refusal, a short word
	Attempts               int           // sent or tried
	Wait                   time.Duration // from arrival to the first slot, 0 without one
	Total                  time.Duration
}

// Stats holds the counts in a go-metrics registry. It is safe for concurrent use.
type Stats struct {
	registry metrics.Registry

	mu     sync.Mutex
	values map[string]map[string]bool // by label
}

// New returns empty counts.
func New() *Stats {
	return &Stats{registry: metrics.NewRegistry(), values: map[string]map[string]bool{}}
}

// Observe counts an answered request.
func (s *Stats) Observe(o Observation) {
	class, tenant := s.value("class", o.Class), s.value("tenant", o.Tenant)
	s.Count(nameRequests, 1, Label{"verdict", o.Verdict.String()}, Label{"status", strconv.Itoa(o.Status/100) + "xx"}, Label{"class", class})
	if o.Reason != "" {
		s.Count(nameRefused, 1, Label{"reason", s.value("reason", o.Reason)}, Label{"class", class})
	}
	if o.Attempts > 1 {
		s.Count(nameRetries, int64(o.Attempts-1), Label{"class", class})
	}
	if o.Attempts > 0 {
		s.time(nameWait, o.Wait, class, tenant)
		s.time(nameTotal, o.Total, class, tenant)
	}
}

// Label is a name and value that distinguish metrics of the same name.
type Label struct{ Name, Value string }

// Count adds n to a counter. Values of labels must come from a bounded set.
func (s *Stats) Count(name string, n int64, labels ...Label) {
	metrics.GetOrRegisterCounter(full(name, labels), s.registry).Inc(n)
}

// Gauge sets a gauge. Values of labels must come from a bounded set.
func (s *Stats) Gauge(name string, v float64, labels ...Label) {
	metrics.GetOrRegisterGaugeFloat64(full(name, labels), s.registry).Update(v)
}

// time adds a duration to the histograms of a class and of a tenant.
func (s *Stats) time(name string, d time.Duration, class, tenant string) {
	for _, l := range []Label{{"class", class}, {"tenant", tenant}} {
		h, _ := s.registry.GetOrRegister(full(name, []Label{l}), newTimes).(*times)
		h.add(d)
	}
}

// value returns v, or otherValue once a label has too many values.
func (s *Stats) value(label, v string) string {
	if v == "" {
		return "none"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.values[label]
	if known == nil {
		known = map[string]bool{}
		s.values[label] = known
	}
	if !known[v] && len(known) >= maxValues {
		return otherValue
	}
	known[v] = true
	return v
}

// times is a histogram in microseconds with the sum of all values, which go-metrics keeps only for its sample.
type times struct {
	metrics.Histogram
	sum metrics.Counter
}

func newTimes() *times {
	return &times{
		Histogram: metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleBias)),
		sum:       metrics.NewCounter(),
	}
}

func (t *times) add(d time.Duration) {
	t.Update(d.Microseconds())
	t.sum.Inc(d.Microseconds())
}

var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// full returns the name with its labels in Prometheus form.
func full(name string, labels []Label) string {
	if len(labels) == 0 {
		return name
	}
	parts := make([]string, len(labels))
	for i, l := range labels {
		parts[i] = l.Name + `="` + escaper.Replace(l.Value) + `"`
	}
	return name + "{" + strings.Join(parts, ",") + "}"
}
