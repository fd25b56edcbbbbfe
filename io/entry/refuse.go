package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"sassafrasvalve/core/retry"
	"sassafrasvalve/platform"
)

// headerReplayed marks an answer that repeats the stored outcome of an earlier request with the same idempotency key.
const headerReplayed = "Sassafrasvalve-Replayed"

// defaultRetryDelay is the delay in Retry-After where no better estimate is known.
const defaultRetryDelay = time.Second

// refusal is an answer that the entry generates without a worker's response.
type refusal struct {
	status  int
	verdict retry.Verdict
	reason  string // short word, also a metric label value
	detail  string // for the caller
	retryAt time.Time
	stored  bool   // repeats the outcome of an earlier request with the same idempotency key
	job     string // ID of a job whose status the caller can query
	keyless bool   // the caller has sent no known API key
}

func newRefusal(status int, reason, format string, args ...any) *refusal {
	return &refusal{status: status, verdict: retry.NotRun, reason: reason, detail: fmt.Sprintf(format, args...)}
}

func unavailable(now time.Time, reason, text string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, verdict: retry.NotRun, reason: reason, detail: text, retryAt: now.Add(defaultRetryDelay)}
}

// problem is the JSON body of a refusal.
type problem struct {
	Status    int
	Verdict   retry.Verdict
	Reason    string
	Detail    string
	RequestID string
	Job       string `json:",omitempty"`
}

// refuse answers with a refusal. Retry-After is relative to the time of the call.
func (s *Server) refuse(w http.ResponseWriter, id string, ref *refusal) {
	h := w.Header()
	h.Set(retry.HeaderVerdict, ref.verdict.String())
	if !ref.retryAt.IsZero() {
		h.Set("Retry-After", strconv.FormatInt(retryAfter(ref.retryAt, s.now()), 10))
	}
	if ref.stored {
		h.Set(headerReplayed, "1")
	}
	if ref.job != "" {
		h.Set("Location", jobPath+ref.job)
	}
	if ref.keyless {
		h.Set("WWW-Authenticate", platform.KeyScheme)
	}
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(ref.status)
	_ = json.NewEncoder(w).Encode(problem{ref.status, ref.verdict, ref.reason, ref.detail, id, ref.job})
}

// retryAfter returns the seconds from now until at, rounded up and at least 1.
func retryAfter(at, now time.Time) int64 {
	return max(1, int64((at.Sub(now)+time.Second-1)/time.Second))
}
