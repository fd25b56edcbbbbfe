package slots

import (
	"math"
	"time"
)

// MessageOverhead is the number of bytes that a message adds to its reports or
// replies: JSON-RPC envelope and length prefix (75), TCP and IP headers (40).
const MessageOverhead = 115

// Size returns the approximate size of the report as JSON in bytes.
func (r Report) Size() int {
	const fieldBytes = 60 // field names, quotes and numbers
	n := fieldBytes + len(r.Pool) + len(r.From) + len(r.Held) + len(r.Use) + len(r.Run) + len(r.Wait)
	for _, w := range r.Workers {
		n += len(w) + 3
	}
	return n
}

// Size returns the approximate size of the reply as JSON in bytes.
func (r Reply) Size() int {
	const fieldBytes = 70 // field names, quotes and numbers
	return fieldBytes + len(r.Pool) + len(r.Limits) + len(r.Run) + len(r.Wait)
}

// Pacer lengthens the intervals between the messages of one entry as its
// control traffic approaches the budget. Short bursts are not slowed down.
// It is not safe for concurrent use.
type Pacer struct {
	budget    float64 // bytes per second
	rate      float64 // moving average in bytes per second as of updatedAt
	updatedAt time.Time
}

// Budget and averaging of the pacer.
const (
	// DefaultBudget is in bytes per second. It leaves half of an entry's 28 KB/s to its other control traffic, which is
	// mainly heartbeats.
	DefaultBudget     = 0.5 * 28 * 1024
	rateWindow        = 20 * time.Second // averaging time, longer than a burst of some seconds
	slowdownShare     = 0.8              // share of the budget above which intervals grow
	maxIntervalFactor = 10
)

// NewPacer returns a pacer for budget bytes per second, or for DefaultBudget if budget is not positive.
func NewPacer(budget float64) *Pacer {
	if budget <= 0 {
		budget = DefaultBudget
	}
	return &Pacer{budget: budget}
}

// Add records n bytes sent or received.
func (p *Pacer) Add(now time.Time, n int) {
	p.decay(now)
	p.rate += float64(n) / rateWindow.Seconds()
}

// decay updates the moving average to now.
func (p *Pacer) decay(now time.Time) {
	if d := now.Sub(p.updatedAt); d > 0 {
		p.rate *= math.Exp(-d.Seconds() / rateWindow.Seconds())
		p.updatedAt = now
	}
}

// IntervalFactor returns the factor on the intervals between messages. It is 1
// up to 80% of the budget, grows with the third power of the rate beyond it,
// and is at most 10.
func (p *Pacer) IntervalFactor(now time.Time) float64 {
	p.decay(now)
	x := p.rate / (slowdownShare * p.budget)
	return min(max(1, x*x*x), maxIntervalFactor)
}

// Rate returns the control traffic in bytes per second, as a moving average over about 20 s.
func (p *Pacer) Rate(now time.Time) float64 {
	p.decay(now)
	return p.rate
}
