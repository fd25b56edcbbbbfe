// Package stats counts requests, measures their times, and writes all
// metrics of an entry in the Prometheus text format.
package stats

import (
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// maxSeries bounds the label combinations of one metric. Prometheus and this process
// keep each one in memory, and label values may come from callers.
const maxSeries = 512

// Other is the label value that replaces all label values beyond a bound.
const Other = "other"

// Label is a name and a value that identify a series of a metric.
type Label struct {
	Name, Value string
}

// Labels are the labels of a series. Their order does not matter.
type Labels []Label

// kind is the type of a metric in the text format.
type kind string

// The kinds of metrics.
const (
	counter kind = "counter"
	gauge   kind = "gauge"
	summary kind = "summary"
)

// info holds the data of a metric that the registry does not store.
type info struct {
	kind   kind
	help   string
	series int
}

// Stats holds all metrics of an entry. It is safe for concurrent use.
type Stats struct {
	registry      metrics.Registry // series, keyed by their name and labels in the text format
	dropped       metrics.Counter
	attempts      metrics.Counter
	requestGroups atomic.Pointer[requestGroups]
	accounts      Names

	mu      sync.Mutex
	infos   map[string]*info  // by metric
	sources map[string]Source // by metric
}

// New returns metrics with the series of the runtime and no requests.
func New() *Stats {
	s := &Stats{registry: metrics.NewRegistry(), accounts: Names{Max: maxAccountNames}, infos: map[string]*info{}, sources: map[string]Source{}}
	s.Describe(metricDropped, "Series left out because their metric has too many, or another type.")
	s.dropped = s.Counter(metricDropped, nil)
	s.describeRequests()
	s.attempts = s.Counter(metricAttempts, nil)
	s.SetNames(nil, nil)
	s.addRuntime()
	return s
}

const metricDropped = "sassafrasvalve_metrics_dropped_total"

// Describe sets the help text of a metric.
func (s *Stats) Describe(name, help string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.infoOf(metricName(name)).help = help
}

// infoOf returns the info of a metric, which it creates if needed. The caller must hold mu.
func (s *Stats) infoOf(name string) *info {
	if s.infos[name] == nil {
		s.infos[name] = &info{help: strings.ReplaceAll(name, "_", " ")}
	}
	return s.infos[name]
}

// Counter returns the counter of a series. Beyond maxSeries, all label values are replaced by Other.
func (s *Stats) Counter(name string, labels Labels) metrics.Counter {
	m, ok := s.register(counter, name, labels, metrics.NewCounter()).(metrics.Counter)
	if !ok {
		return metrics.NewCounter() // dropped
	}
	return m
}

// Gauge registers read as the callback that returns the value of a series at each scrape. It replaces an earlier callback
// of the same series. New series beyond maxSeries are dropped, since gauges cannot be merged.
func (s *Stats) Gauge(name string, labels Labels, read func() float64) {
	s.Remove(name, labels)
	s.register(gauge, name, labels, metrics.NewFunctionalGaugeFloat64(read))
}

// Source calls set for each series of a gauge that exists at the time of the scrape.
type Source func(set func(labels Labels, value float64))

// Gauges registers source as the callback that sets the series of a gauge at each scrape. It is for series that come
// and go, such as those of VMs. It replaces an earlier source of the same metric. Series beyond maxSeries are dropped.
func (s *Stats) Gauges(name string, source Source) {
	name = metricName(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.infoOf(name)
	if i.kind != "" && i.kind != gauge || i.series > 0 {
		s.dropped.Inc(1)
		return
	}
	i.kind = gauge
	s.sources[name] = source
}

// Remove removes a series.
func (s *Stats) Remove(name string, labels Labels) {
	name = metricName(name)
	key := seriesKey(name, labels)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registry.Get(key) != nil {
		s.registry.Unregister(key)
		s.infos[name].series--
	}
}

// register returns the registered metric of a series. It registers m if the series is new, and returns nil if the
// series is dropped.
func (s *Stats) register(k kind, name string, labels Labels, m any) any {
	name = metricName(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.infoOf(name)
	if i.kind != "" && i.kind != k || s.sources[name] != nil {
		s.dropped.Inc(1)
		return nil
	}
	i.kind = k
	key := seriesKey(name, labels)
	if old := s.registry.Get(key); old != nil {
		return old
	}
	if i.series >= maxSeries {
		if k == gauge {
			s.dropped.Inc(1)
			return nil
		}
		if key = seriesKey(name, allOther(labels)); s.registry.Get(key) != nil {
			return s.registry.Get(key)
		}
	}
	if err := s.registry.Register(key, m); err != nil {
		return nil // not reached: the lookups above have excluded a duplicate key
	}
	i.series++
	return m
}

func allOther(labels Labels) Labels {
	out := slices.Clone(labels)
	for i := range out {
		out[i].Value = Other
	}
	return out
}

// Characters that the text format does not allow in names of metrics and labels.
var (
	badMetricChars = regexp.MustCompile(`[^a-zA-Z0-9_:]|^[0-9]`)
	badLabelChars  = regexp.MustCompile(`[^a-zA-Z0-9_]|^[0-9]`)
)

// labelEscapes are the escapes of a label value in the text format.
var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// metricName replaces the characters that are not allowed in the name of a metric.
func metricName(name string) string { return badMetricChars.ReplaceAllString(name, "_") }

// seriesKey returns the name and the sorted labels of a series in the text format.
func seriesKey(name string, labels Labels) string {
	if len(labels) == 0 {
		return name
	}
	parts := make([]string, 0, len(labels))
	for _, l := range labels {
		parts = append(parts, labelText(l))
	}
	slices.Sort(parts)
	return name + "{" + strings.Join(parts, ",") + "}"
}

func labelText(l Label) string {
	return badLabelChars.ReplaceAllString(l.Name, "_") + `="` + escapeLabel(l.Value) + `"`
}

func escapeLabel(value string) string {
	return labelEscapes.Replace(strings.ToValidUTF8(value, "\uFFFD"))
}

// Count adds n to the counter of a series.
func (s *Stats) Count(name string, labels Labels, n int64) { s.Counter(name, labels).Inc(n) }

// Timer returns a function that adds a duration to the histogram of a series. Beyond maxSeries, all label
// values are replaced by Other. Frequent callers should keep the function, since the lookup of the series takes
// microseconds.
func (s *Stats) Timer(name string, labels Labels) func(d time.Duration) {
	t, ok := s.register(summary, name, labels, newTimer()).(*timer)
	if !ok {
		return func(time.Duration) {} // dropped
	}
	return t.add
}
