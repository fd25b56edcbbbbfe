package dedup

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/retry"
)

// Guards against an outcome that is recorded as lost although its executor handed it over. The owner still holds the
// claim as running if the executor leaves before it has reported the end; this happened once in 1,500 runs of
// TestLeaveHandsClaimsOver in io/claims.
func TestHandoverEndsClaimOfOwner(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	live := []string{"a", "b", "c"}
	nodes := map[string]*Member{}
	for _, name := range live {
		nodes[name] = NewMember(Config{})
		nodes[name].SetView(now, View{Offset: 1, Self: name, Live: live})
	}
	exchangeRebuilds := func() {
		for _, from := range live {
			for _, to := range live {
				if q, due := nodes[from].PendingRebuild(to); due {
					nodes[from].HandleRebuildReply(now, to, q, nodes[to].HandleRebuild(q))
				}
			}
		}
	}
	exchangeRebuilds()
	leaver, owner := nodes["a"], nodes["b"]
	var claim *PendingClaim
	var step Step
	for i := 0; step.Kind != StepClaim || step.To != "b"; i++ {
		claim, step = leaver.StartClaim(now, Claim{Key: NewKey("t", "s", fmt.Sprint(i)), Request: "r"})
	}
	key := step.Claim.Key
	assert.Assert(t, leaver.HandleClaimReply(now, claim, owner.HandleClaim(now, step.Claim)).Decision.Run)
	leaver.Finish(now, key, "r", Outcome{Verdict: retry.Ran, Status: 201})
	for to, hs := range leaver.Handover(now, true) {
		assert.Assert(t, nodes[to].HandleHold(Hold{Held: hs}).Kept)
	}
	live = []string{"b", "c"}
	for _, name := range live {
		nodes[name].SetView(now, View{Offset: 2, Self: name, Live: live})
	}
	exchangeRebuilds()
	r := owner.HandleClaim(now, Claim{Key: key, Request: "again", Executor: "c"})
	assert.Equal(t, r.Answer, Done)
	assert.Equal(t, r.Outcome, Outcome{Verdict: retry.Ran, Status: 201})
}
