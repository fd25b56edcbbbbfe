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

// Guards against a key that is granted by two owners, one of which has been fenced. An entry that folds several records at once may miss a
// membership in which another entry owned the key. It answered the rebuild of that entry all the same, whose grants it never learned of.
func TestRebuildOfAFencedOwnerIsNotAnswered(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	rest, all := []string{"a", "b", "c"}, []string{"a", "b", "c", "z"}
	nodes := map[string]*Member{}
	setView := func(name string, v View) {
		v.Self = name
		nodes[name].SetView(now, v)
	}
	exchangeRebuilds := func() {
		for range len(nodes) {
			for from := range nodes {
				for to := range nodes {
					if q, due := nodes[from].PendingRebuild(to); due {
						nodes[from].HandleRebuildReply(now, to, q, nodes[to].HandleRebuild(q))
					}
				}
			}
		}
	}
	for _, name := range all {
		nodes[name] = NewMember(Config{})
		setView(name, View{Offset: 10, Live: rest})
	}
	exchangeRebuilds()
	key, n := Key{}, 0
	for ; (View{Live: all}).owner(key) != "z" || (View{Live: rest}).owner(key) != "a"; n++ {
		key = NewKey("t", "s", fmt.Sprint(n))
	}
	setView("z", View{Offset: 11, Live: all}) // z joins
	setView("b", View{Offset: 11, Live: all})
	setView("a", View{Offset: 12, Live: rest, Lost: 1}) // z was fenced; a and c have folded both records at once
	setView("c", View{Offset: 12, Live: rest, Lost: 1})
	exchangeRebuilds()
	granted := 0
	for member, owner := range map[string]string{"b": "z", "c": "a"} {
		_, step := nodes[member].StartClaim(now, Claim{Key: key, Request: "by " + member})
		assert.Equal(t, step.To, owner)
		if nodes[owner].HandleClaim(now, step.Claim).Answer == Granted {
			granted++
		}
	}
	assert.Equal(t, granted, 1, "owners that grant the key")
}
