package dedup

import (
	"fmt"
	"time"

	"sassafrasvalve/core/retry"
)

// Claim asks the owner of a key for the right to run its request.
type Claim struct {
	Key         Key
	Fingerprint Fingerprint
	Executor    string    // member that will run the request
	Request     string    // request ID with the attempt number; a repeated message carries the same
	Offset      int64     // log offset up to which the executor has folded
	Issued      time.Time // creation time from a UUIDv7 key, zero for other keys
}

// Answer is the owner's decision on a claim.
type Answer int

// The answers. The zero value does not allow a request to run.
const (
	Unknown  Answer = iota // the owner cannot decide yet; retry
	Granted                // the executor may run the request
	Busy                   // another request with the key is running
	Done                   // the key's request has ended with Outcome
	Conflict               // the key was used for a request with another fingerprint
	NotOwner               // the receiver does not own the key in its view at Offset
	Full                   // the owner holds MaxClaims claims
)

var answerNames = [...]string{"Unknown", "Granted", "Busy", "Done", "Conflict", "NotOwner", "Full"}

// String returns the name of the answer.
func (a Answer) String() string {
	if a < 0 || int(a) >= len(answerNames) {
		return fmt.Sprintf("Answer(%d)", int(a))
	}
	return answerNames[a]
}

// MarshalText encodes the name of the answer.
func (a Answer) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText decodes the name of an answer. It returns an error for an unknown name.
func (a *Answer) UnmarshalText(b []byte) error {
	for i, name := range answerNames {
		if name == string(b) {
			*a = Answer(i)
			return nil
		}
	}
	return fmt.Errorf("unknown answer %q", b)
}

// Outcome is how the request of a key ended.
type Outcome struct {
	Verdict retry.Verdict
	Status  int  // HTTP status that was sent to the caller, 0 if none was
	Lost    bool `json:",omitempty"` // inferred, since the members that knew the outcome were lost
}

// ClaimReply answers a Claim.
type ClaimReply struct {
	Answer  Answer
	Outcome Outcome // for Done
	Offset  int64   // log offset up to which the answering member has folded

	UnsettledMs int64 // for Unknown: time in ms for which the owner has been unable to decide
}

// HeldClaim is a claim and its state as stored by one member.
type HeldClaim struct {
	Key         Key
	Fingerprint Fingerprint
	Executor    string
	Request     string
	State       State
	Outcome     Outcome   // for Ended
	Ended       time.Time // for Ended and Released
}

// State is the state of a claim.
type State int

// The states of a claim.
const (
	Running  State = iota // granted, without an outcome yet
	Ended                 // ended with an outcome other than not-run
	Released              // ended without having run; the key may be used again
)

// Finish reports ended claims to the owner of their keys.
type Finish struct {
	Held []HeldClaim
}

// FinishReply acknowledges a Finish.
type FinishReply struct {
	Refused []Key // not accepted, since the receiver does not own them or is leaving; the sender retries
}

// Hold asks a member to store copies of claims.
type Hold struct {
	Held []HeldClaim
}

// HoldReply acknowledges a Hold.
type HoldReply struct {
	Kept bool // false if the copies would exceed the receiver's MaxClaims
}

// Rebuild asks a member for its claims of all keys that Owner owns in the membership Live.
type Rebuild struct {
	Owner  string
	Offset int64 // log offset of the view with these live members
	Live   []string
	Part   int // requested part of the keys, counted from 0
	Parts  int // number of parts of the keys; 0 means 1
}

// RebuildReply answers a Rebuild.
type RebuildReply struct {
	Member string    // answering member, since a later process at the same address does not know the claims
	Blind  time.Time // claims from before this time may be unknown to the member; zero if it knows all
	Offset int64     // log offset folded by the member; the reply is ignored if it is below the requested one
	Parts  int       // above 0 if the claims exceed one message and must be requested in this many parts
	Held   []HeldClaim
}
