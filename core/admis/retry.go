package admis

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the time after which a refused caller should return, in milliseconds.
const (
	// usableMs is the longest time that a caller can use: callers wait 3 s in all, the header has whole seconds, and the last attempt
	// needs some time itself.
	usableMs = 2000
	// maxRetryMs bounds the time for a backlog that no caller waits for.
	maxRetryMs = 60_000
)

// RetryAfterMs returns the time in milliseconds after which the caller of a refused job should return, at least 1. It is not before
// waitMs, as returned by Admit, and spread by the job's ID, so that callers who were refused together do not return together: up to
// usableMs if the caller can still use that, otherwise over a further half of the wait.
func RetryAfterMs(waitMs float64, id string) int64 {
	ms := max(waitMs, 0)
	if ms <= usableMs {
		ms += (usableMs - ms) * fraction(id)
	} else {
		ms *= 1 + fraction(id)/2
	}
	return max(int64(math.Ceil(min(ms, maxRetryMs))), 1)
}

// fraction maps a job's ID to a number from 0 to below 1.
func fraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }
