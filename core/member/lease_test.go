package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/fleet"
)

// TestLeaseExpiresOnEitherClock guards against a lease that stays valid too long because the monotonic clock was
// suspended or the wall clock was set back.
func TestLeaseExpiresOnEitherClock(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var l Lease
	assert.Assert(t, !l.Valid(start), "the zero lease is not valid")
	l.Renew(start)
	in, out := start.Add(LeaseTerm-1), start.Add(LeaseTerm)
	for _, c := range []struct {
		mono, wall time.Time
		valid      bool
	}{{in, in, true}, {out, in, false}, {in, out, false}, {out, out, false}} {
		assert.Equal(t, l.validAt(c.mono, c.wall), c.valid, "%v", c)
	}
	l.Renew(start.Add(-time.Second))
	assert.Equal(t, l.Remaining(start), LeaseTerm, "an older read must not shorten the lease")
	assert.Equal(t, RelayedReadTime(start, time.Second), start.Add(-time.Second))
}

// TestLapseTimerClosesAfterDelay guards against attempts that continue after the other entries have fenced this one,
// and against attempts that are closed because of a short pause.
func TestLapseTimerClosesAfterDelay(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var l LapseTimer
	assert.Assert(t, !l.MustClose(start, true))
	at := start.Add(time.Hour) // the process did not run in between
	assert.Assert(t, !l.MustClose(at, false), "the delay must count from the first call without a lease")
	assert.Assert(t, !l.MustClose(at.Add(CloseDelay-1), false))
	assert.Assert(t, l.MustClose(at.Add(CloseDelay), false))
	assert.Assert(t, !l.MustClose(at.Add(2*CloseDelay), true))
	assert.Assert(t, !l.MustClose(at.Add(2*CloseDelay), false), "a renewed lease must restart the delay")
	assert.Assert(t, CloseDelay+time.Second/4 < FenceDelay-LeaseTerm, "attempts must be closed before the fence")
}

// TestGuestLeaseBlocksAck guards against a VM that changes its pool while a guest of this entry may still send to it.
func TestGuestLeaseBlocksAck(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	st := twoVoters(t)
	g := NewGroup(GroupConfig{Self: "a#1", Region: "eu", StartedAt: start})
	var own Lease
	_, ok := g.Sponsor("g", st.Offset, st, &own, start)
	assert.Assert(t, !ok, "an entry without a lease must not sponsor a guest")
	own.Renew(start)
	at := start.Add(time.Second)
	term, ok := g.Sponsor("g", st.Offset, st, &own, at)
	assert.Assert(t, ok)
	var guest GuestLease
	guest.Renew(at, term)
	end := start.Add(LeaseTerm)
	assert.Assert(t, guest.Valid(end.Add(-1)) && !guest.Valid(end), "the guest's lease ends with its sponsor's")
	assert.Assert(t, !g.MayAck(end.Add(-1)) && g.MayAck(end))
}

// TestGuestWithAnOldViewGetsNoLease guards against a guest that sends work to a VM for the pool that it has left: the guest's
// view is older than its sponsor's Join or than a drain that the sponsor has acknowledged.
func TestGuestWithAnOldViewGetsNoLease(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	st := twoVoters(t)
	joined := st.Members["b#1"].Joined
	g := NewGroup(GroupConfig{Self: "b#1", Region: "eu", StartedAt: start})
	var own Lease
	own.Renew(start)
	sponsors := func(viewOffset int64) bool {
		_, ok := g.Sponsor("g", viewOffset, st, &own, start)
		return ok
	}
	assert.Assert(t, !sponsors(joined-1) && sponsors(joined))
	g.RecordAck(st.Offset + 5)
	assert.Assert(t, !sponsors(st.Offset+4) && g.MayAck(start.Add(LeaseTerm)))
	assert.Assert(t, sponsors(st.Offset+5))
}

// twoVoters returns a state in which the members a#1 and b#1 have votes.
func twoVoters(t *testing.T) *fleet.State {
	t.Helper()
	st := fleet.NewState(fleet.StateConfig{})
	for _, r := range []fleet.Record{
		{ID: "1", Kind: fleet.KindJoin, Join: &fleet.Join{Member: fleet.Member{ID: "a#1", VM: "a", Epoch: 1, Region: "eu"}}},
		{ID: "2", Kind: fleet.KindJoin, Join: &fleet.Join{Member: fleet.Member{ID: "b#1", VM: "b", Epoch: 1, Region: "eu"}}},
		{ID: "3", Kind: fleet.KindAck, Writer: "a#1", Ack: &fleet.Ack{Member: "a#1", Through: 1}},
	} {
		res := st.Apply(st.Offset+1, r)
		assert.Assert(t, res.Accepted, "%+v", res)
	}
	return st
}

// TestPromisesHoldBackSuspects guards against a Suspect that is written before a promise has expired, a promise that
// is given after a Suspect, and a promise that counts although the peer has folded records that the receiver has not.
func TestPromisesHoldBackSuspects(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	st := twoVoters(t)
	g := NewGroup(GroupConfig{Self: "a#1", Region: "eu", StartedAt: start.Add(-LeaseTerm)})
	g.HandleState(st, start)
	_, ok := g.Promise("b#1", st, start)
	assert.Assert(t, ok)
	for now := start; now.Before(start.Add(LeaseTerm)); now = now.Add(HeartbeatInterval) {
		assert.Equal(t, len(g.DueSuspects(st, now)), 0, "the promise has not expired at %v", now.Sub(start))
	}
	end := start.Add(LeaseTerm)
	assert.Equal(t, len(g.DueSuspects(st, end)), 1)
	_, ok = g.Promise("b#1", st, end)
	assert.Assert(t, !ok, "a suspected member gets no promise")
	g.RecordSuspect("b#1", st.Offset) // the fold does not contain it, as after a rejection
	g.HandleState(st, end)
	_, ok = g.Promise("b#1", st, end)
	assert.Assert(t, ok, "a rejected Suspect must not block promises")

	assert.Assert(t, !g.HandlePromise(Promise{From: "b#1", To: "a#1", Offset: st.Offset + 1}, st, end))
	_, ok = g.Renewal(st, end)
	assert.Assert(t, !ok, "the peer has folded records that the receiver has not")
	assert.Assert(t, g.HandlePromise(Promise{From: "b#1", To: "a#1", Offset: st.Offset}, st, end.Add(1)))
	since, ok := g.Renewal(st, end.Add(2))
	assert.Assert(t, ok && since.Equal(end.Add(1)))
}

// TestPendingVoterCountsAgainstMajority guards against a sole voter that renews its lease by its own promise although
// another member may already have a vote. The fold could then evict and fence a lease holder.
func TestPendingVoterCountsAgainstMajority(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	st := fleet.NewState(fleet.StateConfig{})
	g := NewGroup(GroupConfig{Self: "a#1", Region: "eu", StartedAt: start})
	for i, vm := range []string{"a", "b"} {
		m := fleet.Member{ID: vm + "#1", VM: vm, Epoch: 1, Region: "eu"}
		st.Apply(int64(i), fleet.Record{ID: vm, Kind: fleet.KindJoin, Join: &fleet.Join{Member: m}})
		_, ok := g.Renewal(st, start)
		assert.Equal(t, ok, vm == "a", "after the join of %s", vm)
	}
	g.HandlePromise(Promise{From: "b#1", To: "a#1", Offset: st.Offset}, st, start)
	_, ok := g.Renewal(st, start)
	assert.Assert(t, ok, "the promise of b must complete the majority whether b votes or not")
}
