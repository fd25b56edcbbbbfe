package dedup

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sassafrasvalve/core/retry"
)

// testRegion is a region of entries with a network that delays, loses and repeats messages.
type testRegion struct {
	now          time.Time
	log          []View // indexed by offset
	nodes        map[string]*node
	joined       []string // in order of joining
	calls        []*call
	requests     []*testRequest
	expectGrants bool // unused keys must be granted at the end, see appendView and serve
}

// node is an entry process. A frozen node does nothing. A fenced node may wake up and continue with its old view, but
// sends nothing to workers, since its view lease has lapsed.
type node struct {
	name                    string
	m                       *Member
	folded                  int
	frozen, fenced, stopped bool
}

// testRequest is a request with a key that a node handles.
type testRequest struct {
	node    *node
	id      string
	key     Key
	claim   *PendingClaim
	granted bool
	ended   bool
	mayRun  bool // used by the oracle: the request was sent
	answer  *Decision
}

// call is a message and its reply.
type call struct {
	from, to    string
	serve       func(*Member) any
	handleReply func(any)
	handleLoss  func()
	reply       any
	done        bool
}

func newTestRegion(members int) *testRegion {
	x := &testRegion{now: time.UnixMilli(1_800_000_000_000), nodes: map[string]*node{}}
	for i := range members {
		x.add(fmt.Sprint("n", i))
	}
	x.log = []View{{Offset: 0, Live: slices.Clone(x.joined)}}
	for _, n := range x.nodes {
		x.fold(n)
	}
	x.deliverAll()
	x.expectGrants = true
	return x
}

func (x *testRegion) add(name string) *node {
	n := &node{name: name, m: NewMember(Config{}), folded: -1}
	x.nodes[name] = n
	x.joined = append(x.joined, name)
	return n
}

func (x *testRegion) lastView() View { return x.log[len(x.log)-1] }

// appendView appends a view with the given live members. Unused keys need not be granted any more if the view arrives
// while a node is still rebuilding or has not folded the last view, or after the loss of more than one member.
func (x *testRegion) appendView(live []string, lost int) {
	for _, n := range x.nodes {
		x.expectGrants = x.expectGrants &&
			n.m.owner.rebuild.pending != nil && len(n.m.owner.rebuild.pending) == 0 && n.folded == len(x.log)-1
	}
	x.expectGrants = x.expectGrants && x.lastView().Lost+lost <= 1
	x.log = append(x.log, View{Offset: int64(len(x.log)), Live: live, Lost: x.lastView().Lost + lost})
}

func (x *testRegion) fold(n *node) {
	if !n.fenced && n.folded < len(x.log)-1 {
		n.folded++
		v := x.log[n.folded]
		v.Self = n.name
		n.m.SetView(x.now, v)
	}
}

func (x *testRegion) liveWithout(name string) []string {
	return slices.DeleteFunc(slices.Clone(x.lastView().Live), func(s string) bool { return s == name })
}

func (x *testRegion) awake(name string) bool {
	n := x.nodes[name]
	return n != nil && !n.frozen && !n.stopped
}

// step carries out a step of the protocol.
func (x *testRegion) step(req *testRequest, s Step) {
	switch s.Kind {
	case StepDecided:
		if s.Decision.Run {
			req.granted = true
			return
		}
		req.ended, req.answer = true, &s.Decision
	case StepClaim:
		x.call(req.node, s.To, func(m *Member) any { return m.HandleClaim(x.now, s.Claim) },
			func(r any) { x.step(req, req.node.m.HandleClaimReply(x.now, req.claim, r.(ClaimReply))) },
			func() { x.step(req, req.node.m.HandleTimeout(x.now, req.claim)) })
	case StepHold:
		x.call(req.node, s.To, func(m *Member) any { return m.HandleHold(s.Hold) },
			func(r any) { x.step(req, req.node.m.HandleCopyReply(x.now, req.claim, r.(HoldReply))) },
			func() { x.step(req, req.node.m.HandleTimeout(x.now, req.claim)) })
	case StepWait:
		x.call(req.node, req.node.name, func(*Member) any { return 0 },
			func(any) { x.step(req, req.node.m.RetryClaim(x.now, req.claim)) }, func() { x.step(req, req.node.m.RetryClaim(x.now, req.claim)) })
	}
}

func (x *testRegion) call(n *node, to string, serve func(*Member) any, handleReply func(any), handleLoss func()) {
	x.calls = append(x.calls, &call{from: n.name, to: to, serve: serve, handleReply: handleReply, handleLoss: handleLoss})
}

func (x *testRegion) start(n *node, k Key) *testRequest {
	req := &testRequest{node: n, id: fmt.Sprint("r", len(x.requests)), key: k}
	x.requests = append(x.requests, req)
	var s Step
	req.claim, s = n.m.StartClaim(x.now, Claim{Key: k, Request: req.id})
	x.step(req, s)
	return req
}

// run sends a granted request unless the node's lease has lapsed, and records its outcome.
func (x *testRegion) run(req *testRequest, v retry.Verdict) {
	if req.node.fenced {
		v = retry.NotRun
	}
	req.ended, req.mayRun = true, v != retry.NotRun
	req.node.m.Finish(x.now, req.key, req.id, Outcome{Verdict: v, Status: 200})
}

// sendPending sends a node's pending messages to a member.
func (x *testRegion) sendPending(n *node, to string) {
	if q, ok := n.m.PendingRebuild(to); ok {
		x.call(n, to, func(m *Member) any { return m.HandleRebuild(q) },
			func(r any) { n.m.HandleRebuildReply(x.now, to, q, r.(RebuildReply)) }, func() {})
	}
	f, h := n.m.PendingMessages(to, 10)
	if len(f.Held) > 0 {
		x.call(n, to, func(m *Member) any { return m.HandleFinish(x.now, f) },
			func(r any) { n.m.HandleFinishReply(f, r.(FinishReply)) }, func() {})
	}
	if len(h.Held) > 0 {
		x.call(n, to, func(m *Member) any { return m.HandleHold(h) }, func(r any) { n.m.HandleHoldReply(h, r.(HoldReply)) }, func() {})
	}
}

func (x *testRegion) serve(c *call) {
	if x.awake(c.to) {
		// A call that is served twice may claim a key without a waiting request. Members do not repeat calls, so
		// the test then requires safety, but not that unused keys are granted.
		x.expectGrants = x.expectGrants && c.reply == nil
		c.reply = c.serve(x.nodes[c.to].m)
	}
}

func (x *testRegion) finish(c *call, lost bool) {
	if c.done || !x.awake(c.from) || (!lost && c.reply == nil) {
		return
	}
	c.done = true
	if lost {
		c.handleLoss()
		return
	}
	c.handleReply(c.reply)
}

// handOver sends the claims of a member that is about to leave to the members that rank after it.
func (x *testRegion) handOver(n *node, last bool) {
	for to, hs := range n.m.Handover(x.now, last) {
		if !x.nodes[to].stopped && x.nodes[to].m.HandleHold(Hold{Held: hs}).Kept {
			n.m.MarkHandedOver(to, hs)
		}
	}
}

// check is the oracle: a key's request runs at most once, and each reported verdict is true.
func (x *testRegion) check(t *rapid.T) {
	ran := map[Key]int{}
	for _, req := range x.requests {
		if req.mayRun {
			ran[req.key]++
		}
	}
	for k, n := range ran {
		if n > 1 {
			t.Fatalf("key %s ran %d times", k, n)
		}
	}
	for _, req := range x.requests {
		switch {
		case req.answer == nil:
		case req.answer.Verdict == retry.NotRun && req.mayRun:
			t.Fatalf("request %s was reported as not run, but ran", req.id)
		case req.answer.Verdict == retry.Ran && ran[req.key] == 0:
			t.Fatalf("request %s was reported as run, but its key never ran", req.id)
		}
	}
}

// deliverAll unfreezes all nodes, folds the whole log and delivers all messages.
func (x *testRegion) deliverAll() {
	for _, n := range x.nodes {
		n.frozen = false
		for range x.log {
			x.fold(n)
		}
	}
	for range 6 {
		for _, name := range x.lastView().Live {
			for _, to := range x.lastView().Live {
				x.sendPending(x.nodes[name], to)
			}
		}
		for i := 0; i < len(x.calls) && i < 10_000; i++ {
			c := x.calls[i]
			if c.reply == nil {
				x.serve(c)
			}
			x.finish(c, c.reply == nil)
		}
		x.calls = nil
		x.now = x.now.Add(time.Second)
	}
}

// Guards against a second run of a key's request and a false verdict not-run while entries are lost, join, leave,
// freeze and wake up, and messages are late, lost or repeated.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newTestRegion(rapid.IntRange(2, 4).Draw(t, "members"))
		losses := rapid.IntRange(0, 3).Draw(t, "losses") // at most 3, since most keys are refused after two
		keys := []Key{NewKey("t", "s", "a"), NewKey("t", "s", "b")}
		anyNode := func() *node { return x.nodes[rapid.SampledFrom(x.joined).Draw(t, "node")] }
		anyCall := func() *call {
			if len(x.calls) == 0 {
				t.Skip("no calls")
			}
			i := rapid.IntRange(0, len(x.calls)-1).Draw(t, "call")
			return x.calls[len(x.calls)-1-i]
		}
		request := func(t *rapid.T) {
			if n := anyNode(); x.awake(n.name) {
				x.start(n, rapid.SampledFrom(keys).Draw(t, "key"))
			}
		}
		run := func(t *rapid.T) {
			for _, req := range x.requests {
				if req.granted && !req.ended && x.awake(req.node.name) && rapid.Bool().Draw(t, "this") {
					x.run(req, rapid.SampledFrom([]retry.Verdict{retry.Ran, retry.NotRun, retry.MayHaveRun}).Draw(t, "verdict"))
				}
			}
		}
		exchange := func(*rapid.T) {
			c := anyCall()
			x.serve(c)
			x.finish(c, false)
		}
		fold := func(*rapid.T) {
			if n := anyNode(); x.awake(n.name) {
				x.fold(n)
			}
		}
		pump := func(t *rapid.T) {
			if n := anyNode(); x.awake(n.name) {
				x.sendPending(n, rapid.SampledFrom(x.lastView().Live).Draw(t, "to"))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": request, "request2": request, "run": run,
			"exchange": exchange, "exchange2": exchange, "exchange3": exchange,
			"serve": func(*rapid.T) { x.serve(anyCall()) },
			"reply": func(*rapid.T) { x.finish(anyCall(), false) },
			"lose":  func(*rapid.T) { x.finish(anyCall(), true) },
			"fold":  fold, "fold2": fold, "pump": pump, "pump2": pump,
			"freeze": func(*rapid.T) { anyNode().frozen = true },
			"wake":   func(*rapid.T) { anyNode().frozen = false },
			"fence": func(*rapid.T) { // the member was frozen or partitioned, and its lease has lapsed
				n := anyNode()
				if live := x.liveWithout(n.name); x.lastView().Lost < losses && len(live) < len(x.lastView().Live) && len(live) > 0 {
					n.fenced = true
					n.stopped = rapid.Bool().Draw(t, "crashed")
					x.appendView(live, 1)
				}
			},
			"join": func(t *rapid.T) {
				if len(x.joined) < 7 {
					n := x.add(fmt.Sprint("n", len(x.joined)))
					x.appendView(append(x.liveWithout(n.name), n.name), 0)
					n.folded = len(x.log) - 2
					x.fold(n)
				}
			},
			"hand over early": func(*rapid.T) {
				if n := anyNode(); x.awake(n.name) {
					x.handOver(n, false)
				}
			},
			"leave": func(*rapid.T) {
				n := anyNode()
				live := x.liveWithout(n.name)
				if !x.awake(n.name) || len(live) == len(x.lastView().Live) || len(live) == 0 ||
					slices.ContainsFunc(x.requests, func(req *testRequest) bool { return req.node == n && !req.ended }) {
					return
				}
				x.handOver(n, true)
				n.fenced, n.stopped = true, true
				x.appendView(live, 0)
			},
			"": func(t *rapid.T) {
				x.now = x.now.Add(time.Millisecond)
				x.check(t)
			},
		})
		// Guards against a protocol that stays safe only because it no longer grants any key.
		x.deliverAll()
		for _, req := range x.requests {
			if req.granted && !req.ended && !req.node.stopped {
				x.run(req, rapid.SampledFrom([]retry.Verdict{retry.Ran, retry.NotRun}).Draw(t, "verdict"))
			}
		}
		x.deliverAll()
		for _, k := range append(keys, NewKey("t", "s", "fresh")) {
			req := x.start(x.nodes[x.lastView().Live[0]], k)
			x.deliverAll()
			x.check(t)
			used := slices.ContainsFunc(x.requests,
				func(req *testRequest) bool {
					return req.key == k && (req.mayRun || req.node.stopped || req.node.fenced)
				})
			if x.expectGrants && !used && !req.granted {
				t.Fatalf("key %s was never used and is not granted once all messages are delivered: %+v", k, req.answer)
			}
		}
	})
}

// Guards against refusals for a whole retention after the loss of a single member, whose claims others hold as well.
func TestOneLossLeavesKeysUsable(t *testing.T) {
	x := newTestRegion(3)
	used, fresh := NewKey("t", "s", "used"), NewKey("t", "s", "fresh")
	first := x.start(x.nodes["n1"], used)
	x.deliverAll()
	assert.Assert(t, first.granted)
	x.run(first, retry.Ran)
	x.deliverAll()
	lost := x.nodes[x.lastView().Live[0]]
	if lost.name == "n1" {
		lost = x.nodes["n2"]
	}
	lost.fenced, lost.stopped = true, true
	x.appendView(x.liveWithout(lost.name), 1)
	x.deliverAll()
	again, other := x.start(x.nodes["n1"], used), x.start(x.nodes["n1"], fresh)
	x.deliverAll()
	assert.Equal(t, again.answer.Verdict, retry.Ran)
	assert.Assert(t, other.granted)
}

// newPair returns two members of one region and a key that the first one owns.
func newPair(now time.Time) (a, b *Member, k Key) {
	a, b = NewMember(Config{}), NewMember(Config{})
	live := []string{"a", "b"}
	a.SetView(now, View{Self: "a", Live: live})
	b.SetView(now, View{Self: "b", Live: live})
	for _, m := range []*Member{a, b} {
		for _, to := range live {
			if q, ok := m.PendingRebuild(to); ok {
				m.HandleRebuildReply(now, to, q, map[string]*Member{"a": a, "b": b}[to].HandleRebuild(q))
			}
		}
	}
	for i := 0; a.view.owner(k) != "a"; i++ {
		k = NewKey("t", "s", fmt.Sprint(i))
	}
	return a, b, k
}

// Guards against a claim that is granted although it arrives after its release, also if another request was granted
// and released in between. No request would wait for that grant.
func TestLateClaimIsNotGranted(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	owner, other, k := newPair(now)
	pending, s := other.StartClaim(now, Claim{Key: k, Request: "slow"})
	assert.Equal(t, s.Kind, StepClaim)
	assert.Equal(t, other.HandleTimeout(now, pending).Kind, StepWait)
	assert.Equal(t, other.HandleTimeout(now.Add(claimRetryTimeout), pending).Decision.Verdict, retry.NotRun)
	_, next := other.StartClaim(now, Claim{Key: k, Request: "next"})
	assert.Equal(t, owner.HandleClaim(now, next.Claim).Answer, Granted)
	f, _ := other.PendingMessages("a", 10)
	f.Held = append(f.Held, HeldClaim{Key: k, Executor: "b", Request: "next", State: Released, Ended: now})
	assert.Equal(t, len(owner.HandleFinish(now, f).Refused), 0)
	assert.Equal(t, owner.HandleClaim(now, s.Claim).Answer, Busy)
	_, last := other.StartClaim(now, Claim{Key: k, Request: "last"})
	assert.Equal(t, owner.HandleClaim(now, last.Claim).Answer, Granted)
}

// Guards against a request that starts on a grant from before a membership change, although its executor has
// reported to the new owner that nothing runs under the key.
func TestGrantFromBeforeMembershipChangeIsIgnored(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	owner, other, k := newPair(now)
	pending, s := other.StartClaim(now, Claim{Key: k, Request: "r"})
	grant := owner.HandleClaim(now, s.Claim)
	assert.Equal(t, grant.Answer, Granted)
	other.SetView(now, View{Offset: 1, Self: "b", Live: []string{"a", "b", "c"}})
	reported := other.HandleRebuild(Rebuild{Owner: other.view.owner(k), Offset: 1, Live: other.view.Live})
	assert.Equal(t, len(reported.Held), 0)
	after := other.HandleClaimReply(now, pending, grant)
	assert.Equal(t, after.Kind, StepWait)
	f, _ := other.PendingMessages(other.view.owner(k), 10)
	assert.Equal(t, f.Held[0].State, Released)
}

// Guards against a key that stays busy forever after its executor was lost, and against an invented outcome for it.
func TestLostExecutorEndsAsMayHaveRun(t *testing.T) {
	x := newTestRegion(3)
	for i := range 20 { // the executor owns some of the keys, other members own the rest
		req := x.start(x.nodes["n0"], NewKey("t", "s", fmt.Sprint(i)))
		x.deliverAll()
		assert.Assert(t, req.granted)
	}
	x.nodes["n0"].fenced, x.nodes["n0"].stopped = true, true
	x.appendView(x.liveWithout("n0"), 1)
	x.deliverAll()
	for i := range 20 {
		req := x.start(x.nodes["n1"], NewKey("t", "s", fmt.Sprint(i)))
		x.deliverAll()
		assert.Equal(t, req.answer.Status, 502)
		assert.Equal(t, req.answer.Verdict, retry.MayHaveRun)
	}
}

// Guards against outcomes that are deleted before their retention ends or never, and against more claims than MaxClaims.
func TestOutcomesAreKeptForRetentionUpToMaxClaims(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	m := NewMember(Config{MaxClaims: 2})
	m.SetView(now, View{Self: "n0", Live: []string{"n0"}})
	claim := func(key string) Decision {
		_, s := m.StartClaim(now, Claim{Key: NewKey("t", "s", key), Request: key + now.String()})
		return s.Decision
	}
	for _, key := range []string{"a", "b"} {
		assert.Assert(t, claim(key).Run)
		m.Finish(now, NewKey("t", "s", key), key+now.String(), Outcome{Verdict: retry.Ran, Status: 200})
	}
	full := claim("c")
	assert.Equal(t, full.Status, 503)
	assert.Equal(t, full.Verdict, retry.NotRun)
	now = now.Add(DefaultRetention)
	m.Expire(now)
	assert.Equal(t, m.ClaimCount(), 4) // as owner and as executor
	now = now.Add(time.Second)
	m.Expire(now)
	assert.Equal(t, m.ClaimCount(), 0)
	assert.Assert(t, claim("a").Run)
}

// Guards against refusing keys that were created after two losses, and against trusting a creation time that is
// ahead of the clock.
func TestKeysIssuedAfterTheLossAreTrusted(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	m := NewMember(Config{})
	m.SetView(now, View{Self: "n0", Live: []string{"n0"}, Lost: 2})
	for issued, run := range map[time.Duration]bool{-time.Hour: false, 0: false, 30 * time.Second: true, 2 * time.Minute: false} {
		_, s := m.StartClaim(now.Add(time.Minute), Claim{Key: NewKey("t", "s", issued.String()), Request: "r", Issued: now.Add(issued)})
		assert.Equal(t, s.Decision.Run, run, issued)
	}
	_, s := m.StartClaim(now.Add(DefaultRetention+time.Second), Claim{Key: NewKey("t", "s", "x"), Request: "r"})
	assert.Assert(t, s.Decision.Run)
}
