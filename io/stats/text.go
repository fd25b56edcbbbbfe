package stats

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// monotonicGauge is a gauge that only grows while the process runs, so it is written as a counter.
type monotonicGauge struct {
	metrics.GaugeFloat64
}

// quantiles are the quantiles that are written for each summary.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// family is a metric with the lines of its series in the text format.
type family struct {
	name   string
	info   info
	series []seriesLines
}

// seriesLines holds the lines of one series, which is several for a summary.
type seriesLines struct {
	series string
	lines  []string
}

// WriteText writes all metrics in the Prometheus text format 0.0.4, sorted by name and labels.
// It returns an error if writing to w fails.
func (s *Stats) WriteText(w io.Writer) error {
	out := bufio.NewWriter(w)
	for _, f := range s.families() {
		f.write(out)
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("write the metrics: %w", err)
	}
	return nil
}

// families returns all metrics that have at least one series, sorted by name.
func (s *Stats) families() []family {
	series := map[string][]seriesLines{}
	s.registry.Each(func(key string, m any) {
		name, _, _ := strings.Cut(key, "{")
		series[name] = append(series[name], linesOf(key, m))
	})
	// Read after the series: a metric gets its type before its first series, so each series read above has a type here.
	s.mu.Lock()
	infos, sources := map[string]info{}, maps.Clone(s.sources)
	for name, i := range s.infos {
		infos[name] = *i
	}
	s.mu.Unlock()
	for name, source := range sources {
		series[name] = s.sourceLines(name, source)
	}
	out := make([]family, 0, len(infos))
	for _, name := range slices.Sorted(maps.Keys(infos)) {
		list := series[name]
		slices.SortFunc(list, func(a, b seriesLines) int { return strings.Compare(a.series, b.series) })
		if len(list) > 0 {
			out = append(out, family{name: name, info: infos[name], series: list})
		}
	}
	return out
}

// sourceLines returns the lines of the series that a source sets. A series that is set twice keeps its first value,
// since scrapers reject a page with a repeated series as a whole.
func (s *Stats) sourceLines(name string, source Source) []seriesLines {
	var out []seriesLines
	seen := map[string]bool{}
	source(func(labels Labels, value float64) {
		key := seriesKey(name, labels)
		if seen[key] || len(out) >= maxSeries {
			s.dropped.Inc(1)
			return
		}
		seen[key] = true
		out = append(out, seriesLines{key, []string{line(key, value)}})
	})
	return out
}

// linesOf returns the lines of a registered series.
func linesOf(key string, m any) seriesLines {
	switch m := m.(type) {
	case *timer:
		return seriesLines{key, summaryLines(key, m)}
	case metrics.Counter:
		return seriesLines{key, []string{line(key, float64(m.Count()))}}
	case metrics.GaugeFloat64:
		return seriesLines{key, []string{line(key, m.Value())}}
	}
	return seriesLines{series: key}
}

// summaryLines returns the lines of the quantiles of recent values, and of the sum and count of all values.
func summaryLines(key string, t *timer) []string {
	name, labels, _ := strings.Cut(strings.TrimSuffix(key, "}"), "{")
	sum, snapshot := t.sum.Count(), t.Snapshot()
	values := snapshot.Percentiles(quantiles)
	out := make([]string, 0, len(quantiles)+2)
	for i, q := range quantiles {
		seconds := values[i] / float64(time.Second)
		if snapshot.Count() == 0 {
			seconds = math.NaN() // an empty sample returns 0, which would look like very short times
		}
		quantile := labelText(Label{"quantile", formatFloat(q)})
		out = append(out, line(name+"{"+labels+","+quantile+"}", seconds))
	}
	return append(
		out,
		line(name+"_sum{"+labels+"}", float64(sum)/float64(time.Second)),
		line(name+"_count{"+labels+"}", float64(snapshot.Count())),
	)
}

func line(series string, value float64) string { return series + " " + formatFloat(value) + "\n" }

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// helpEscapes are the escapes of a help text in the text format.
var helpEscapes = strings.NewReplacer(`\`, `\\`, "\n", `\n`)

// write writes the metric. Errors are ignored, since a bufio.Writer returns them again at Flush.
func (f family) write(w *bufio.Writer) {
	_, _ = fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s %s\n", f.name, helpEscapes.Replace(f.info.help), f.name, f.info.kind)
	for _, r := range f.series {
		for _, l := range r.lines {
			_, _ = w.WriteString(l)
		}
	}
}
