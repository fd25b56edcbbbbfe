package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeaseBothClocks guards against a lease that outlives a suspended monotonic clock
// or a wall clock that was set back.
func TestLeaseBothClocks(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var l Lease
	assert.Assert(t, !l.Valid(start), "the zero lease is not valid")
	l.Renew(start)
	in, out := start.Add(Term-1), start.Add(Term)
	for _, c := range []struct {
		mono, wall time.Time
		valid      bool
	}{{in, in, true}, {out, in, false}, {in, out, false}, {out, out, false}} {
		assert.Equal(t, l.validAt(c.mono, c.wall), c.valid, "%v", c)
	}
	l.Renew(start.Add(-time.Second))
	assert.Equal(t, l.Remaining(start), Term, "an older read must not shorten the lease")
	assert.Equal(t, RelayedRead(start, time.Second), start.Add(-time.Second))
}

// TestGuest guards against a VM that changes pool while a guest of this entry may send to it.
func TestGuest(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	g := NewGroup(GroupConfig{Self: "a#1", Region: "eu", Started: start})
	var own Lease
	_, ok := g.Sponsor("g", &own, start)
	assert.Assert(t, !ok, "an entry without a lease sponsors nobody")
	own.Renew(start)
	at := start.Add(time.Second)
	term, ok := g.Sponsor("g", &own, at)
	assert.Assert(t, ok)
	var guest GuestLease
	guest.Renew(at, term)
	end := start.Add(Term)
	assert.Assert(t, guest.Valid(end.Add(-1)) && !guest.Valid(end), "the guest's lease ends with its sponsor's")
	assert.Assert(t, !g.MayAck(end.Add(-1)) && g.MayAck(end))
}
