package dedup

import (
	"net/http"
	"time"

	"sassafrasvalve/core/retry"
)

// Waits that callers are told when a key cannot be decided now.
const (
	busyWait    = time.Second
	unknownWait = 2 * time.Second
	fullWait    = 30 * time.Second
)

// Decision is what the executing entry does with a request that has a key.
type Decision struct {
	Run     bool // the request may be sent; the fields below are unset
	Status  int  // HTTP status of the answer
	Verdict retry.Verdict
	Stored  bool // Status and Verdict are those of an earlier request with the key
	Reason  string
	RetryAt time.Time // zero: a repeat of the key will not help
}

// Decide returns what the caller is told for each reply of the owner.
//
// A verdict not-run says that this request was not sent. If another request with the
// same key is known to be running, the caller is told may-have-run, since to it both are the same.
func Decide(now time.Time, r ClaimReply) Decision {
	switch r.Answer {
	case Granted:
		return Decision{Run: true}
	case Busy:
		return Decision{
			Status: http.StatusConflict, Verdict: retry.MayHaveRun, RetryAt: now.Add(busyWait),
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
		return refuse(now.Add(fullWait), "no more idempotency keys can be kept at the moment")
	case NotOwner:
		return refuse(now.Add(unknownWait), "the entries do not agree yet on who keeps this Idempotency-Key")
	case Unknown:
	}
	return refuse(now.Add(unknownWait), "it is not known yet whether this Idempotency-Key was used")
}

// Unreachable returns what the caller is told if the owner does not answer.
func Unreachable(now time.Time) Decision {
	return refuse(now.Add(unknownWait), "the entry that keeps this Idempotency-Key does not answer")
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
