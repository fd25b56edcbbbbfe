package dedup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that fail because the owner of their key briefly cannot answer after a membership change,
// and against requests that wait although the owner has been unable to answer for longer than the retry time.
func TestClaimIsRetriedWhileOwnerIsUnsettled(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	unsettled := func(ago time.Duration) (*Member, *PendingClaim, Step) {
		m := NewMember(Config{})
		m.SetView(start, View{Offset: 1, Self: "a", Live: []string{"a", "b"}})
		for i := 0; ; i++ {
			p, s := m.StartClaim(start, Claim{Key: NewKey("t", "s", string(rune('a'+i))), Request: "r"})
			if s.Kind == StepClaim && s.To == "b" {
				return m, p, m.HandleClaimReply(start, p, ClaimReply{Answer: Unknown, UnsettledMs: ago.Milliseconds()})
			}
		}
	}
	m, p, s := unsettled(0)
	now := start
	for ; s.Kind == StepWait; now = now.Add(claimRetryInterval) {
		s = m.HandleClaimReply(now, p, ClaimReply{Answer: Unknown, UnsettledMs: now.Sub(start).Milliseconds()})
	}
	assert.Equal(t, s.Decision.Status, 503)
	assert.Assert(t, now.Sub(start) > claimRetryTimeout-claimRetryInterval &&
		now.Sub(start) <= claimRetryTimeout+2*claimRetryInterval, "%v", now.Sub(start))
	_, _, s = unsettled(claimRetryTimeout + time.Second)
	assert.Equal(t, s.Kind, StepDecided)
	assert.Assert(t, !s.Decision.Run && s.Decision.RetryAt.After(start))
}
