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

// machine is a region of entries with a network that delays, loses and repeats messages.
type machine struct {
	now     time.Time
	log     []View // by offset
	nodes   map[string]*node
	names   []string // in order of joining
	calls   []*call
	started []*job
	quiet   bool // no member went away while another was still asking it
}

// node is an entry process. A frozen one does nothing; a fenced one may wake up and go on with its old view,
// but its view lease has lapsed, so that it sends nothing to workers.
type node struct {
	name                    string
	m                       *Member
	folded                  int
	frozen, fenced, stopped bool
}

// job is a request with a key, on its way through a node.
type job struct {
	n       *node
	id      string
	key     Key
	ask     *PendingClaim
	granted bool
	ended   bool
	mayRun  bool // oracle: it was sent
	answer  *Decision
}

// call is a message and its reply.
type call struct {
	from, to string
	serve    func(*Member) any
	take     func(any)
	lost     func()
	reply    any
	over     bool
}

func newMachine(members int) *machine {
	x := &machine{now: time.UnixMilli(1_800_000_000_000), nodes: map[string]*node{}}
	for i := range members {
		x.add(fmt.Sprint("n", i))
	}
	x.log = []View{{Offset: 0, Live: slices.Clone(x.names)}}
	for _, n := range x.nodes {
		x.fold(n)
	}
	x.calm()
	x.quiet = true
	return x
}

func (x *machine) add(name string) *node {
	n := &node{name: name, m: NewMember(Config{}), folded: -1}
	x.nodes[name] = n
	x.names = append(x.names, name)
	return n
}

func (x *machine) last() View { return x.log[len(x.log)-1] }

func (x *machine) change(live []string, lost int) {
	for _, n := range x.nodes {
		x.quiet = x.quiet && n.m.owner.rebuild.asked != nil && len(n.m.owner.rebuild.asked) == 0 && n.folded == len(x.log)-1
	}
	x.quiet = x.quiet && x.last().Lost+lost <= 1
	x.log = append(x.log, View{Offset: int64(len(x.log)), Live: live, Lost: x.last().Lost + lost})
}

func (x *machine) fold(n *node) {
	if !n.fenced && n.folded < len(x.log)-1 {
		n.folded++
		v := x.log[n.folded]
		v.Self = n.name
		n.m.SetView(x.now, v)
	}
}

func (x *machine) without(name string) []string {
	return slices.DeleteFunc(slices.Clone(x.last().Live), func(s string) bool { return s == name })
}

func (x *machine) awake(name string) bool {
	n := x.nodes[name]
	return n != nil && !n.frozen && !n.stopped
}

// step does what the protocol asks for next.
func (x *machine) step(j *job, s Step) {
	switch s.Kind {
	case StepDecided:
		if s.Decision.Run {
			j.granted = true
			return
		}
		j.ended, j.answer = true, &s.Decision
	case StepClaim:
		x.call(j.n, s.To, func(m *Member) any { return m.HandleClaim(x.now, s.Claim) },
			func(r any) { x.step(j, j.n.m.HandleClaimReply(x.now, j.ask, r.(ClaimReply))) },
			func() { x.step(j, j.n.m.HandleTimeout(x.now, j.ask)) })
	case StepHold:
		x.call(j.n, s.To, func(m *Member) any { return m.HandleHold(s.Hold) },
			func(r any) { x.step(j, j.n.m.HandleCopyReply(x.now, j.ask, r.(HoldReply))) },
			func() { x.step(j, j.n.m.HandleTimeout(x.now, j.ask)) })
	case StepWait:
		x.call(j.n, j.n.name, func(*Member) any { return 0 },
			func(any) { x.step(j, j.n.m.RetryClaim(x.now, j.ask)) }, func() { x.step(j, j.n.m.RetryClaim(x.now, j.ask)) })
	}
}

func (x *machine) call(n *node, to string, serve func(*Member) any, take func(any), lost func()) {
	x.calls = append(x.calls, &call{from: n.name, to: to, serve: serve, take: take, lost: lost})
}

func (x *machine) start(n *node, k Key) *job {
	j := &job{n: n, id: fmt.Sprint("r", len(x.started)), key: k}
	x.started = append(x.started, j)
	var s Step
	j.ask, s = n.m.StartClaim(x.now, Claim{Key: k, Request: j.id})
	x.step(j, s)
	return j
}

// run sends a granted request, if the lease allows, and reports what became of it.
func (x *machine) run(j *job, v retry.Verdict) {
	if j.n.fenced {
		v = retry.NotRun
	}
	j.ended, j.mayRun = true, v != retry.NotRun
	j.n.m.Finish(x.now, j.key, j.id, Outcome{Verdict: v, Status: 200})
}

// pump sends the messages that are due to a member.
func (x *machine) pump(n *node, to string) {
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

func (x *machine) serve(c *call) {
	if x.awake(c.to) {
		// A call that is served twice may claim a key for nobody. Members do not repeat calls; the
		// protocol must only stay safe then.
		x.quiet = x.quiet && c.reply == nil
		c.reply = c.serve(x.nodes[c.to].m)
	}
}

func (x *machine) finish(c *call, lost bool) {
	if c.over || !x.awake(c.from) || (!lost && c.reply == nil) {
		return
	}
	c.over = true
	if lost {
		c.lost()
		return
	}
	c.take(c.reply)
}

// handOver hands the claims of a member that is about to leave to those that rank after it.
func (x *machine) handOver(n *node, last bool) {
	for to, hs := range n.m.Handover(x.now, last) {
		if !x.nodes[to].stopped && x.nodes[to].m.HandleHold(Hold{Held: hs}).Kept {
			n.m.MarkHandedOver(to, hs)
		}
	}
}

// check is the oracle: a key's request runs at most once, and what is told is true.
func (x *machine) check(t *rapid.T) {
	ran := map[Key]int{}
	for _, j := range x.started {
		if j.mayRun {
			ran[j.key]++
		}
	}
	for k, n := range ran {
		if n > 1 {
			t.Fatalf("key %s ran %d times", k, n)
		}
	}
	for _, j := range x.started {
		switch {
		case j.answer == nil:
		case j.answer.Verdict == retry.NotRun && j.mayRun:
			t.Fatalf("request %s was reported as not run, but ran", j.id)
		case j.answer.Verdict == retry.Ran && ran[j.key] == 0:
			t.Fatalf("request %s was reported as run, but its key never ran", j.id)
		}
	}
}

// calm lets all messages through and all members catch up.
func (x *machine) calm() {
	for _, n := range x.nodes {
		n.frozen = false
		for range x.log {
			x.fold(n)
		}
	}
	for range 6 {
		for _, name := range x.last().Live {
			for _, to := range x.last().Live {
				x.pump(x.nodes[name], to)
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

// Guards against a second run of a key's request, and a false not-run, whatever entries are lost, join, leave,
// freeze and wake, and whatever messages are late, lost or repeated.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newMachine(rapid.IntRange(2, 4).Draw(t, "members"))
		losses := rapid.IntRange(0, 3).Draw(t, "losses") // few of them, since after two most keys are refused
		keys := []Key{NewKey("t", "s", "a"), NewKey("t", "s", "b")}
		anyNode := func() *node { return x.nodes[rapid.SampledFrom(x.names).Draw(t, "node")] }
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
			for _, j := range x.started {
				if j.granted && !j.ended && x.awake(j.n.name) && rapid.Bool().Draw(t, "this") {
					x.run(j, rapid.SampledFrom([]retry.Verdict{retry.Ran, retry.NotRun, retry.MayHaveRun}).Draw(t, "verdict"))
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
				x.pump(n, rapid.SampledFrom(x.last().Live).Draw(t, "to"))
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
			"fence": func(*rapid.T) { // the member froze or was cut off; its lease has lapsed
				n := anyNode()
				if live := x.without(n.name); x.last().Lost < losses && len(live) < len(x.last().Live) && len(live) > 0 {
					n.fenced = true
					n.stopped = rapid.Bool().Draw(t, "crashed")
					x.change(live, 1)
				}
			},
			"join": func(t *rapid.T) {
				if len(x.names) < 7 {
					n := x.add(fmt.Sprint("n", len(x.names)))
					x.change(append(x.without(n.name), n.name), 0)
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
				live := x.without(n.name)
				if !x.awake(n.name) || len(live) == len(x.last().Live) || len(live) == 0 ||
					slices.ContainsFunc(x.started, func(j *job) bool { return j.n == n && !j.ended }) {
					return
				}
				x.handOver(n, true)
				n.fenced, n.stopped = true, true
				x.change(live, 0)
			},
			"": func(t *rapid.T) {
				x.now = x.now.Add(time.Millisecond)
				x.check(t)
			},
		})
		// Guards against a protocol that is safe because it grants nothing any more.
		x.calm()
		for _, j := range x.started {
			if j.granted && !j.ended && !j.n.stopped {
				x.run(j, rapid.SampledFrom([]retry.Verdict{retry.Ran, retry.NotRun}).Draw(t, "verdict"))
			}
		}
		x.calm()
		for _, k := range append(keys, NewKey("t", "s", "fresh")) {
			j := x.start(x.nodes[x.last().Live[0]], k)
			x.calm()
			x.check(t)
			used := slices.ContainsFunc(x.started, func(j *job) bool { return j.key == k && (j.mayRun || j.n.stopped || j.n.fenced) })
			if x.quiet && !used && !j.granted {
				t.Fatalf("key %s was never used and is not granted in calm: %+v", k, j.answer)
			}
		}
	})
}

// Guards against a whole retention of refusals after the loss of a single member, whose claims others know.
func TestOneLossLeavesKeysUsable(t *testing.T) {
	x := newMachine(3)
	used, fresh := NewKey("t", "s", "used"), NewKey("t", "s", "fresh")
	first := x.start(x.nodes["n1"], used)
	x.calm()
	assert.Assert(t, first.granted)
	x.run(first, retry.Ran)
	x.calm()
	lost := x.nodes[x.last().Live[0]]
	if lost.name == "n1" {
		lost = x.nodes["n2"]
	}
	lost.fenced, lost.stopped = true, true
	x.change(x.without(lost.name), 1)
	x.calm()
	again, other := x.start(x.nodes["n1"], used), x.start(x.nodes["n1"], fresh)
	x.calm()
	assert.Equal(t, again.answer.Verdict, retry.Ran)
	assert.Assert(t, other.granted)
}

// pair returns two members of one region, and a key that the first owns.
func pair(now time.Time) (a, b *Member, k Key) {
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

// Guards against a claim that arrives after its release and is granted to nobody, also if
// another request was granted and released in between.
func TestLateClaimIsNotGranted(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	owner, other, k := pair(now)
	ask, s := other.StartClaim(now, Claim{Key: k, Request: "slow"})
	assert.Equal(t, s.Kind, StepClaim)
	assert.Equal(t, other.HandleTimeout(now, ask).Kind, StepWait)
	assert.Equal(t, other.HandleTimeout(now.Add(askFor), ask).Decision.Verdict, retry.NotRun)
	_, next := other.StartClaim(now, Claim{Key: k, Request: "next"})
	assert.Equal(t, owner.HandleClaim(now, next.Claim).Answer, Granted)
	f, _ := other.PendingMessages("a", 10)
	f.Held = append(f.Held, HeldClaim{Key: k, Executor: "b", Request: "next", State: Released, Ended: now})
	assert.Equal(t, len(owner.HandleFinish(now, f).Refused), 0)
	assert.Equal(t, owner.HandleClaim(now, s.Claim).Answer, Busy)
	_, last := other.StartClaim(now, Claim{Key: k, Request: "last"})
	assert.Equal(t, owner.HandleClaim(now, last.Claim).Answer, Granted)
}

// Guards against a request that starts on a grant from before a change of members, although the new owner
// was told that nothing runs under the key.
func TestGrantFromBeforeAChangeIsIgnored(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	owner, other, k := pair(now)
	ask, s := other.StartClaim(now, Claim{Key: k, Request: "r"})
	grant := owner.HandleClaim(now, s.Claim)
	assert.Equal(t, grant.Answer, Granted)
	other.SetView(now, View{Offset: 1, Self: "b", Live: []string{"a", "b", "c"}})
	told := other.HandleRebuild(Rebuild{Owner: other.view.owner(k), Offset: 1, Live: other.view.Live})
	assert.Equal(t, len(told.Held), 0)
	after := other.HandleClaimReply(now, ask, grant)
	assert.Equal(t, after.Kind, StepWait)
	f, _ := other.PendingMessages(other.view.owner(k), 10)
	assert.Equal(t, f.Held[0].State, Released)
}

// Guards against a key that stays busy for ever after its executor was lost, and against an outcome that is made up.
func TestLostExecutorEndsAsMayHaveRun(t *testing.T) {
	x := newMachine(3)
	for i := range 20 { // some of the keys are the executor's own, some are another's
		j := x.start(x.nodes["n0"], NewKey("t", "s", fmt.Sprint(i)))
		x.calm()
		assert.Assert(t, j.granted)
	}
	x.nodes["n0"].fenced, x.nodes["n0"].stopped = true, true
	x.change(x.without("n0"), 1)
	x.calm()
	for i := range 20 {
		j := x.start(x.nodes["n1"], NewKey("t", "s", fmt.Sprint(i)))
		x.calm()
		assert.Equal(t, j.answer.Status, 502)
		assert.Equal(t, j.answer.Verdict, retry.MayHaveRun)
	}
}

// Guards against a memory that forgets early, keeps outcomes for ever, or grows past its bound.
func TestRetentionAndBound(t *testing.T) {
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

// Guards against refusing keys that are provably new after two losses, and against trusting a caller's clock.
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
