package retry

import "time"

// Limits of a retry budget.
const (
	successShare = 0.1 // tokens that a success adds
	minPerSecond = 1.0 // tokens added each second, whatever succeeds
	maxTokens    = 50  // retries that may come at once after a quiet time
)

// Budget is the token bucket that bounds the retries of one pool, so that
// retries do not multiply the load on workers that already fail.
// It is not safe for concurrent use.
type Budget struct {
	tokens float64
	at     time.Time // up to which time tokens counts the steady part
}

// NewBudget returns a budget with one second's worth of retries.
func NewBudget(now time.Time) *Budget { return &Budget{tokens: minPerSecond, at: now} }

// Success adds the share of a request that ran.
func (b *Budget) Success() { b.tokens = min(b.tokens+successShare, maxTokens) }

// Take takes the token of one retry. It returns false if there is none.
// A clock that steps back adds nothing and takes nothing away.
func (b *Budget) Take(now time.Time) bool {
	if d := now.Sub(b.at); d > 0 {
		b.tokens = min(b.tokens+d.Seconds()*minPerSecond, maxTokens)
		b.at = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
