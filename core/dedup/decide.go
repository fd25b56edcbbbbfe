package dedup

import (
	"net/http"
	"time"

	"sassafrasvalve/core/retry"
)

// Delays after which callers may retry a key that cannot be decided now.
const (
	busyRetryDelay    = time.Second
	unknownRetryDelay = 2 * time.Second
	fullRetryDelay    = 30 * time.Second
)

// Decision tells the executing entry to send a request with a key or how to answer it.
type Decision struct {
	Run     bool // the request may be sent; the other fields are unset
	Status  int  // HTTP status of the answer
	Verdict retry.Verdict
	Stored  bool // Status and Verdict are those of an earlier request with the key
	Reason  string
	RetryAt time.Time // earliest time of a retry; zero if a retry with the key cannot succeed
}

// Decide returns the decision for a reply of the owner.
//
// The verdict not-run means that this request was not sent. If another request with the same key is known
// to be running, the verdict is may-have-run, since the caller cannot tell the two requests apart.
func Decide(now time.Time, r ClaimReply) Decision {
	switch r.Answer {
	case Granted:
		return Decision{Run: true}
	case Busy:
		return Decision{
			Status: http.StatusConflict, Verdict: retry.MayHaveRun, RetryAt: now.Add(busyRetryDelay),
			Reason: "a request with this Idempotency-Key is running",
		}
	case Done:
		return decideDone(r.Outcome)
	case Conflict:
		return Decision{
			Status: http.StatusUnprocessableEntity, Verdict: retry.NotRun,
			Reason: "this Idempotency-Key was used for a different request",
		}
	case Full:
		return refuse(now.Add(fullRetryDelay), "no more idempotency keys can be kept at the moment")
	case NotOwner:
		return refuse(now.Add(unknownRetryDelay), "the entries do not agree yet on who keeps this Idempotency-Key")
	case Unknown:
	}
	return refuse(now.Add(unknownRetryDelay), "it is not known yet whether this Idempotency-Key was used")
}

// UnreachableDecision returns the decision for an owner that does not answer.
func UnreachableDecision(now time.Time) Decision {
	return refuse(now.Add(unknownRetryDelay), "the entry that keeps this Idempotency-Key does not answer")
}

func refuse(retryAt time.Time, reason string) Decision {
	return Decision{Status: http.StatusServiceUnavailable, Verdict: retry.NotRun, RetryAt: retryAt, Reason: reason}
}

func decideDone(o Outcome) Decision {
	if o.Verdict == retry.Ran && o.Status != 0 {
		return Decision{Status: o.Status, Verdict: retry.Ran, Stored: true, Reason: "the request with this Idempotency-Key has run"}
	}
	d := Decision{
		Status: http.StatusBadGateway, Verdict: retry.MayHaveRun, Stored: true,
		Reason: "the request with this Idempotency-Key may have run",
	}
	if o.Lost {
		d.Reason = "the entries that knew whether this Idempotency-Key was used are gone"
	}
	return d
}
