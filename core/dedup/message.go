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
	Executor    string    // member that wants to run it
	Request     string    // request ID; a repeated claim carries the same
	Offset      int64     // folded offset of the executor
	Issued      time.Time // time in a UUIDv7 key, else zero
}

// Answer is the owner's decision on a claim.
type Answer int

// The answers. The zero value lets nothing run.
const (
	Unknown  Answer = iota // the owner does not know yet; ask again
	Granted                // the executor may run the request
	Busy                   // another request with the key is running
	Done                   // the key's request has ended with Outcome
	Conflict               // the key was used for a request with another fingerprint
	NotOwner               // by the view at Offset
	Full                   // the owner's memory is full
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

// UnmarshalText decodes the name. It returns an error for an unknown one.
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
	Status  int  // HTTP status that the caller got, 0 without one
	Lost    bool `json:",omitempty"` // inferred, because the members that knew more are gone
}

// ClaimReply answers a Claim.
type ClaimReply struct {
	Answer  Answer
	Outcome Outcome // for Done
	Offset  int64   // folded offset of the answering member

	UnsettledMs int64 // for Unknown: how long the owner has not been able to tell, in ms
}

// HeldClaim is a claim with its state, as one member knows it.
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
	Running  State = iota // granted, outcome not known
	Ended                 // ended with an outcome other than not-run
	Released              // ended without having run; the key may be used again
)

// Finish tells the owner how claims ended.
type Finish struct {
	Held []HeldClaim
}

// FinishReply acknowledges a Finish.
type FinishReply struct {
	Refused []Key // not taken over, because the receiver does not own them; the sender tries again
}

// Hold asks a member to keep a copy of a claim.
type Hold struct {
	Held []HeldClaim
}

// HoldReply acknowledges a Hold.
type HoldReply struct {
	Kept bool // false: the receiver has no room
}

// Rebuild asks a member for the claims that it holds of the keys that Owner owns among Live.
type Rebuild struct {
	Owner  string
	Offset int64 // view that Live belongs to
	Live   []string
	Part   int // which part of the keys, counted from 0
	Parts  int // number of parts; 0 means 1
}

// RebuildReply answers a Rebuild.
type RebuildReply struct {
	Member string    // that answers: a later process at the address of the one asked knows none of its claims
	Blind  time.Time // claims from before this time may be unknown to the member; zero if none are
	Offset int64     // folded offset of the member; below the one asked for, the reply does not count
	Parts  int       // above 0: too many claims for one message, ask again in this many parts
	Held   []HeldClaim
}
