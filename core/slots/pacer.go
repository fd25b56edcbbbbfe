package slots

import (
	"math"
	"time"
)

// MessageOverhead is the bytes around the reports or replies of one message:
// JSON-RPC envelope and length prefix (75), TCP and IP headers (40).
const MessageOverhead = 115

// Size returns about how many bytes the report takes as JSON.
func (r Report) Size() int {
	const names = 60 // field names, quotes and numbers
	n := names + len(r.Pool) + len(r.From) + len(r.Held) + len(r.Use) + len(r.Run) + len(r.Wait)
	for _, w := range r.Workers {
		n += len(w) + 3
	}
	return n
}

// Size returns about how many bytes the reply takes as JSON.
func (r Reply) Size() int {
	const names = 70 // field names, quotes and numbers
	return names + len(r.Pool) + len(r.Limits) + len(r.Run) + len(r.Wait)
}

// Pacer slows the exchange of one entry down as its control traffic nears the
// budget. Short floods pass at full speed. It is not safe for concurrent use.
type Pacer struct {
	budget float64 // bytes per second
	rate   float64 // moving average
	at     time.Time
}

// Times and shares of the pacer.
const (
	// DefaultBudget leaves the other control traffic of an entry, heartbeats above all, half of its 28 KB/s.
	DefaultBudget = 0.5 * 28 * 1024
	paceWindow    = 20 * time.Second // longer than a flood of some seconds
	paceFrom      = 0.8
	maxStretch    = 10
)

// NewPacer returns a pacer for the given bytes per second, or the default for 0.
func NewPacer(budget float64) *Pacer {
	if budget <= 0 {
		budget = DefaultBudget
	}
	return &Pacer{budget: budget}
}

// Add counts n bytes sent or received.
func (p *Pacer) Add(now time.Time, n int) {
	p.decay(now)
	p.rate += float64(n) / paceWindow.Seconds()
}

func (p *Pacer) decay(now time.Time) {
	if d := now.Sub(p.at); d > 0 {
		p.rate *= math.Exp(-d.Seconds() / paceWindow.Seconds())
		p.at = now
	}
}

// IntervalFactor returns the factor on the times between messages: 1 at up to 80% of
// the budget, growing with the third power of what is spent beyond.
func (p *Pacer) IntervalFactor(now time.Time) float64 {
	p.decay(now)
	x := p.rate / (paceFrom * p.budget)
	return min(max(1, x*x*x), maxStretch)
}

// Rate returns the control bytes per second, averaged over the last 20 s or so.
func (p *Pacer) Rate(now time.Time) float64 {
	p.decay(now)
	return p.rate
}
