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

// total is a gauge that only grows, as long as the process runs.
type total struct {
	metrics.GaugeFloat64
}

// quantiles are written of each sample.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// family is a metric with its lines of the text format.
type family struct {
	name string
	info info
	rows []row
}

// row is one or more lines that stay together.
type row struct {
	series string
	lines  []string
}

// WriteText writes all metrics in the Prometheus text format 0.0.4, ordered by name and labels.
// It returns the error of w.
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

// families returns all metrics that have a series, by name.
func (s *Stats) families() []family {
	rows := map[string][]row{}
	s.registry.Each(func(key string, m any) {
		name, _, _ := strings.Cut(key, "{")
		rows[name] = append(rows[name], rowOf(key, m))
	})
	// Read after the series, since a metric gets its type before its first series.
	s.mu.Lock()
	infos, sources := map[string]info{}, maps.Clone(s.sources)
	for name, i := range s.infos {
		infos[name] = *i
	}
	s.mu.Unlock()
	for name, source := range sources {
		rows[name] = s.sourceRows(name, source)
	}
	out := make([]family, 0, len(infos))
	for _, name := range slices.Sorted(maps.Keys(infos)) {
		list := rows[name]
		slices.SortFunc(list, func(a, b row) int { return strings.Compare(a.series, b.series) })
		if len(list) > 0 {
			out = append(out, family{name: name, info: infos[name], rows: list})
		}
	}
	return out
}

// sourceRows asks a source. A series that it sets twice keeps its first value,
// since a page with two would be refused as a whole.
func (s *Stats) sourceRows(name string, source Source) []row {
	var out []row
	seen := map[string]bool{}
	source(func(labels Labels, value float64) {
		key := seriesKey(name, labels)
		if seen[key] || len(out) >= maxSeries {
			s.dropped.Inc(1)
			return
		}
		seen[key] = true
		out = append(out, row{key, []string{line(key, value)}})
	})
	return out
}

// rowOf returns the lines of a registered series.
func rowOf(key string, m any) row {
	switch m := m.(type) {
	case *timer:
		return row{key, summaryLines(key, m)}
	case metrics.Counter:
		return row{key, []string{line(key, float64(m.Count()))}}
	case metrics.GaugeFloat64:
		return row{key, []string{line(key, m.Value())}}
	}
	return row{series: key}
}

// summaryLines returns the quantiles of the recent values, and the sum and count of all.
func summaryLines(key string, t *timer) []string {
	name, labels, _ := strings.Cut(strings.TrimSuffix(key, "}"), "{")
	sum, snapshot := t.sum.Count(), t.Snapshot()
	values := snapshot.Percentiles(quantiles)
	out := make([]string, 0, len(quantiles)+2)
	for i, q := range quantiles {
		seconds := values[i] / float64(time.Second)
		if snapshot.Count() == 0 {
			seconds = math.NaN() // the sample gives 0, which would read as very fast
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

// write writes the metric. The error of a bufio.Writer is kept until Flush.
func (f family) write(w *bufio.Writer) {
	_, _ = fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s %s\n", f.name, helpEscapes.Replace(f.info.help), f.name, f.info.kind)
	for _, r := range f.rows {
		for _, l := range r.lines {
			_, _ = w.WriteString(l)
		}
	}
}
