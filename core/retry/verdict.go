// Package retry defines the verdict of an attempt, the rules for retries and the retry budget.
package retry

import "fmt"

// Verdict tells whether a request ran on an upstream, did not run, or may have run.
type Verdict int

// Verdicts of an attempt. The zero value is MayHaveRun, so that a verdict that
// is not set never reports a request that ran as not run.
const (
	MayHaveRun Verdict = iota // sent at least in part, and no complete response was received
	NotRun                    // it is certain that no upstream started it
	Ran                       // a complete response was received
)

// HeaderVerdict is the response header that carries the verdict to the caller.
const HeaderVerdict = "Sassafrasvalve-Verdict"

// HeaderNotRun is set to "1" by an upstream that refuses a request before starting it.
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

// UnmarshalText decodes the header form. It returns an error for any other text.
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
