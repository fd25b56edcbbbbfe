// Package retry holds the verdict of an attempt, the rules for repeating it and the retry budget.
package retry

import "fmt"

// Verdict says whether a request may have run on an upstream.
type Verdict int

// The verdicts. The zero value is the cautious one, so that a forgotten
// assignment never reports a request that ran as not run.
const (
	MayHaveRun Verdict = iota // sent at least in part, and no whole answer was received
	NotRun                    // proved that no upstream started it
	Ran                       // a whole answer was received
)

// HeaderVerdict is the response header that tells the caller the verdict.
const HeaderVerdict = "Sassafrasvalve-Verdict"

// HeaderNotRun is set to "1" by an upstream that refuses a request before it starts it.
const HeaderNotRun = "Sassafrasvalve-Not-Run"

// String returns the header form of the verdict.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	case MayHaveRun:
		return "may-have-run"
	default:
		return fmt.Sprintf("verdict(%d)", int(v))
	}
}

// MarshalText encodes the verdict in its header form.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText decodes the header form. It returns an error for an unknown word.
func (v *Verdict) UnmarshalText(b []byte) error {
	switch string(b) {
	case "not-run":
		*v = NotRun
	case "ran":
		*v = Ran
	case "may-have-run":
		*v = MayHaveRun
	default:
		return fmt.Errorf("unknown verdict %q", b)
	}
	return nil
}
