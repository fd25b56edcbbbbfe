package stats

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// ContentType is that of the text format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// quantiles that are written for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// WriteTo writes all metrics in the Prometheus text format, ordered by name.
// It returns an error if w does.
func (s *Stats) WriteTo(w io.Writer) (int64, error) {
	all := map[string]any{}
	names := []string{}
	s.registry.Each(func(name string, m any) {
		all[name] = m
		names = append(names, name)
	})
	slices.Sort(names)
	c := &counting{w: w}
	bw := bufio.NewWriter(c)
	last := ""
	for _, name := range names {
		base, labels, _ := strings.Cut(strings.TrimSuffix(name, "}"), "{")
		if base != last {
			_, _ = fmt.Fprintf(bw, "# TYPE %s %s\n", base, kind(all[name]))
			last = base
		}
		write(bw, base, labels, all[name])
	}
	err := bw.Flush()
	return c.n, err
}

func kind(m any) string {
	switch m.(type) {
	case metrics.Counter:
		return "counter"
	case *times:
		return "summary"
	}
	return "gauge"
}

func write(w io.Writer, base, labels string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		line(w, base, labels, float64(m.Count()))
	case metrics.GaugeFloat64:
		line(w, base, labels, m.Value())
	case *times:
		h := m.Snapshot()
		for i, v := range h.Percentiles(quantiles) {
			q := `quantile="` + strconv.FormatFloat(quantiles[i], 'g', -1, 64) + `"`
			line(w, base, labels+","+q, seconds(v))
		}
		line(w, base+"_sum", labels, seconds(float64(m.sum.Count())))
		line(w, base+"_count", labels, float64(h.Count()))
	}
}

func line(w io.Writer, name, labels string, v float64) {
	if labels != "" {
		name += "{" + labels + "}"
	}
	_, _ = fmt.Fprintf(w, "%s %s\n", name, strconv.FormatFloat(v, 'g', -1, 64))
}

func seconds(micro float64) float64 { return micro / float64(time.Second/time.Microsecond) }

// counting counts the bytes that pass.
type counting struct {
	w io.Writer
	n int64
}

// Write passes p on.
func (c *counting) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += int64(n)
	return n, err
}
