package slots

import (
	"fmt"
	"strconv"
)

// Report is a holder's report to the owner of a pool.
type Report struct {
	Pool    string
	From    string   // member ID of the holder
	Seq     uint64   // increases with each report of the holder
	Behind  uint64   `json:",omitempty"` // Seq-1 minus the Seq of the reply in force from this owner
	Num     int      `json:",omitempty"` // Num of that reply
	List    int      // version of the holder's worker list
	Workers []string `json:",omitempty"` // the worker list, sent until the owner has confirmed it
	Held    Counts   // per worker: slots that the holder may have in use
	Use     Counts   `json:",omitempty"` // per worker: slots in use; empty means the same as Held
	Run     Counts   `json:",omitempty"` // per class: requests in progress
	Wait    Counts   `json:",omitempty"` // per class: requests queued
}

// ack returns the Seq of the report whose reply is in force at the holder.
func (r Report) ack() uint64 { return r.Seq - 1 - min(r.Behind, r.Seq-1) }

// Reply is the owner's answer to a report. Its limits are absolute numbers, so
// that applying a repeated or late reply is safe.
type Reply struct {
	Pool   string
	Seq    uint64 // Seq of the report that it answers
	Num    int    `json:",omitempty"` // 0 for the direct reply, 1 and up for later updates of it
	Limits Counts `json:",omitempty"` // per worker, in the order of the holder's list; empty means the report's Held
	Recall int    `json:",omitempty"` // slots in use to return as they become free
	Run    Counts `json:",omitempty"` // per class: requests in progress at all entries
	Wait   Counts `json:",omitempty"` // per class: requests queued at all entries
	Pace   int    `json:",omitempty"` // requested factor on the report intervals in tenths; 0 means a factor of 1
	Names  bool   `json:",omitempty"` // the owner needs the holder's worker list
	Stale  bool   `json:",omitempty"` // rejected: not the owner, holder not a member, or an old report
}

// trimZeros removes trailing zeros, which are equivalent to missing numbers.
func trimZeros(c Counts) Counts {
	for len(c) > 0 && c[len(c)-1] == 0 {
		c = c[:len(c)-1]
	}
	return c
}

// Counts is a list of small numbers. Its text form has one base-36 digit per
// number; numbers from 36 up are decimal in parentheses, as in "88(120)7".
type Counts []int

// MarshalText encodes the numbers. It returns an error for a negative one.
func (c Counts) MarshalText() ([]byte, error) {
	b := make([]byte, 0, len(c))
	for _, n := range c {
		switch {
		case n < 0:
			return nil, fmt.Errorf("count %d is negative", n)
		case n < 36:
			b = strconv.AppendInt(b, int64(n), 36)
		default:
			b = append(b, '(')
			b = strconv.AppendInt(b, int64(n), 10)
			b = append(b, ')')
		}
	}
	return b, nil
}

// UnmarshalText decodes the text form. It returns an error for any other text.
func (c *Counts) UnmarshalText(b []byte) error {
	out := make(Counts, 0, len(b))
	for i := 0; i < len(b); i++ {
		base, from, to := 36, i, i+1
		if b[i] == '(' {
			base, from, to = 10, i+1, i+1
			for to < len(b) && b[to] != ')' {
				to++
			}
			if to == len(b) {
				return fmt.Errorf("counts %q lack a closing parenthesis", b)
			}
			i = to
		}
		n, err := strconv.ParseUint(string(b[from:to]), base, 31)
		if err != nil {
			return fmt.Errorf("counts %q: %w", b, err)
		}
		out = append(out, int(n))
	}
	*c = out
	return nil
}

// at returns the number at i, or 0 beyond the end.
func (c Counts) at(i int) int {
	if i < 0 || i >= len(c) {
		return 0
	}
	return c[i]
}
