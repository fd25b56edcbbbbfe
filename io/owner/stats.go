package owner

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// Stats counts what owners do.
type Stats struct {
	registry metrics.Registry
}

// NewStats returns stats that register in r.
func NewStats(r metrics.Registry) *Stats { return &Stats{registry: r} }

// Count adds n to a counter.
func (s *Stats) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, s.registry).Inc(n)
}

// sampleSize and sampleAlpha are the usual ones of an exponentially decaying sample.
const (
	sampleSize  = 256
	sampleAlpha = 0.015
)

// Time adds a duration to a histogram, in microseconds.
func (s *Stats) Time(name string, d time.Duration) {
	h := s.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
	h.Update(d.Microseconds())
}
