package dedup

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/retry"
)

// Guards against an outcome that is taken for lost although its executor handed it over: the owner had the claim as
// running, since the executor left before it had told the owner of the end (seen once in 1,500 runs of
// TestLeaveHandsClaimsOver).
func TestHandoverEndsTheOwnersClaim(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	live := []string{"a", "b", "c"}
	nodes := map[string]*Member{}
	for _, name := range live {
		nodes[name] = NewMember(Config{})
		nodes[name].SetView(now, View{Offset: 1, Self: name, Live: live})
	}
	settle := func() {
		for _, from := range live {
			for _, to := range live {
				if q, due := nodes[from].PendingRebuild(to); due {
					nodes[from].HandleRebuildReply(now, to, q, nodes[to].HandleRebuild(q))
				}
			}
		}
	}
	settle()
	leaver, owner := nodes["a"], nodes["b"]
	var ask *PendingClaim
	var step Step
	for i := 0; step.Kind != StepClaim || step.To != "b"; i++ {
		ask, step = leaver.StartClaim(now, Claim{Key: NewKey("t", "s", fmt.Sprint(i)), Request: "r"})
	}
	key := step.Claim.Key
	assert.Assert(t, leaver.HandleClaimReply(now, ask, owner.HandleClaim(now, step.Claim)).Decision.Run)
	leaver.Finish(now, key, "r", Outcome{Verdict: retry.Ran, Status: 201})
	for to, hs := range leaver.Handover(now, true) {
		assert.Assert(t, nodes[to].HandleHold(Hold{Held: hs}).Kept)
	}
	live = []string{"b", "c"}
	for _, name := range live {
		nodes[name].SetView(now, View{Offset: 2, Self: name, Live: live})
	}
	settle()
	r := owner.HandleClaim(now, Claim{Key: key, Request: "again", Executor: "c"})
	assert.Equal(t, r.Answer, Done)
	assert.Equal(t, r.Outcome, Outcome{Verdict: retry.Ran, Status: 201})
}
