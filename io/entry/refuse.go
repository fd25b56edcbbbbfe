package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"sassafrasvalve/core/retry"
)

// headerReplayed marks an answer that repeats the stored outcome of an earlier request with the same key.
const headerReplayed = "Sassafrasvalve-Replayed"

// shortWait is what callers are told to wait where nothing better is known.
const shortWait = time.Second

// refusal is an answer that the entry gives itself.
type refusal struct {
	status  int
	verdict retry.Verdict
	reason  string // short word for counters
	text    string // for the caller
	retryAt time.Time
	stored  bool   // outcome of an earlier request with the same key
	job     string // ID of a job that the caller can ask about
}

func bad(status int, reason, format string, args ...any) *refusal {
	return &refusal{status: status, verdict: retry.NotRun, reason: reason, text: fmt.Sprintf(format, args...)}
}

func unavailable(now time.Time, reason, text string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, verdict: retry.NotRun, reason: reason, text: text, retryAt: now.Add(shortWait)}
}

// problem is the body of a refusal.
type problem struct {
	Status    int
	Verdict   retry.Verdict
	Reason    string
	Detail    string
	RequestID string
	Job       string `json:",omitempty"`
}

// refuse answers with the refusal. Retry-After is counted from this moment.
func (s *Server) refuse(w http.ResponseWriter, id string, f *refusal) {
	h := w.Header()
	h.Set(retry.HeaderVerdict, f.verdict.String())
	if !f.retryAt.IsZero() {
		h.Set("Retry-After", strconv.FormatInt(retryAfter(f.retryAt, s.now()), 10))
	}
	if f.stored {
		h.Set(headerReplayed, "1")
	}
	if f.job != "" {
		h.Set("Location", jobPath+f.job)
	}
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(f.status)
	_ = json.NewEncoder(w).Encode(problem{f.status, f.verdict, f.reason, f.text, id, f.job})
}

// retryAfter returns whole seconds until at, rounded up, at least 1.
func retryAfter(at, now time.Time) int64 {
	return max(1, int64((at.Sub(now)+time.Second-1)/time.Second))
}
