package retry

import "time"

// Parameters of a retry budget.
const (
	tokensPerSuccess = 0.1 // tokens added by each successful request
	tokensPerSecond  = 1.0 // tokens added per second, regardless of successes
	maxTokens        = 50  // size of the bucket: the largest burst of retries
)

// Budget is the token bucket that bounds the retries of one pool, so that
// retries do not multiply the load on workers that already fail.
// It is not safe for concurrent use.
type Budget struct {
	tokens     float64
	refilledAt time.Time // time up to which tokensPerSecond is included in tokens
}

// NewBudget returns a budget with the tokens of one second.
func NewBudget(now time.Time) *Budget { return &Budget{tokens: tokensPerSecond, refilledAt: now} }

// Success adds the tokens of a successful request.
func (b *Budget) Success() { b.tokens = min(b.tokens+tokensPerSuccess, maxTokens) }

// Take takes the token for one retry. It returns false if there is none.
// A clock that steps back neither adds nor removes tokens.
func (b *Budget) Take(now time.Time) bool {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens = min(b.tokens+d.Seconds()*tokensPerSecond, maxTokens)
		b.refilledAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
