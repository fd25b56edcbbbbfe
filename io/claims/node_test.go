package claims

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"sassafrasvalve/core/dedup"
	"sassafrasvalve/core/retry"
)

// network calls nodes in this process and encodes parameters and replies as JSON. It loses some calls, before or after
// they took effect.
type network struct {
	mu    sync.Mutex // guards nodes, rnd, loss and onHold
	nodes map[string]*Node
	rnd   *rand.Rand
	loss  float64 // probability that a request, or a reply, is lost
	calls atomic.Int64

	onHold func(to string) // called before each Hold if set
}

func (w *network) Call(_ context.Context, member, method string, params, result any) error {
	w.calls.Add(1)
	w.mu.Lock()
	n, before, after := w.nodes[member], w.rnd.Float64() < w.loss, w.rnd.Float64() < w.loss
	onHold := w.onHold
	w.mu.Unlock()
	if onHold != nil && method == MethodHold {
		onHold(member)
	}
	if n == nil || before {
		return errors.New("request lost")
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	r, err := n.Handle(method, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(r); err != nil || after {
		return errors.New("reply lost")
	}
	return json.Unmarshal(raw, result)
}

func newNetwork(t *testing.T, members int) (*network, []string) {
	t.Helper()
	w := &network{nodes: map[string]*Node{}, rnd: rand.New(rand.NewPCG(1, 1))}
	live := make([]string, 0, members)
	for i := range members {
		name := fmt.Sprint("n", i)
		w.nodes[name] = New(Config{Peers: w, CallTimeout: 100 * time.Millisecond})
		live = append(live, name)
		t.Cleanup(w.nodes[name].Close)
	}
	w.set(1, live, 0)
	return w, live
}

func (w *network) set(offset int64, live []string, lost int) {
	for _, m := range live {
		w.nodes[m].SetMembers(offset, live, m, lost)
	}
}

// requests numbers the requests of all tests.
var requests atomic.Int64

// eventually repeats a claim until the request may run or its stored outcome is returned. It finishes a request that may
// run.
func eventually(t *testing.T, n *Node, key string) dedup.Decision {
	t.Helper()
	var d dedup.Decision
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		id := fmt.Sprint("r", requests.Add(1))
		d = n.Claim(context.Background(), dedup.Claim{Key: dedup.NewKey("t", "s", key), Request: id})
		if !d.Run && !d.Stored {
			return poll.Continue("%+v", d)
		}
		if d.Run {
			n.Finish(dedup.NewKey("t", "s", key), id, dedup.Outcome{Verdict: retry.Ran, Status: 201})
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	return d
}

// Guards against outcomes that are lost because calls or one member are lost, and against keys that stay unusable once
// calls succeed again.
func TestOutcomesSurviveLostCallsAndOneLostMember(t *testing.T) {
	w, live := newNetwork(t, 4)
	w.mu.Lock()
	w.loss = 0.2
	w.mu.Unlock()
	for i := range 40 {
		assert.Assert(t, eventually(t, w.nodes[live[i%4]], fmt.Sprint("key", i)).Run)
	}
	w.mu.Lock()
	w.loss = 0
	gone := w.nodes[live[0]]
	delete(w.nodes, live[0])
	w.mu.Unlock()
	gone.Close()
	w.set(2, live[1:], 1)
	for i := range 40 {
		d := eventually(t, w.nodes[live[1+i%3]], fmt.Sprint("key", i))
		assert.Assert(t, d.Stored, "key%d: %+v", i, d)
	}
	assert.Assert(t, eventually(t, w.nodes[live[2]], "fresh").Run)
}

// Guards against claims that are lost when the members that hold them leave gracefully.
func TestLeaveHandsClaimsOver(t *testing.T) {
	w, live := newNetwork(t, 4)
	for i := range 40 {
		assert.Assert(t, eventually(t, w.nodes[live[i%2]], fmt.Sprint("key", i)).Run)
	}
	for i := range 2 {
		assert.NilError(t, w.nodes[live[i]].Leave(context.Background()))
		w.set(int64(2+i), live[1+i:], 0)
	}
	for i := range 40 {
		assert.Equal(t, eventually(t, w.nodes[live[3]], fmt.Sprint("key", i)).Status, 201)
	}
}

// Guards against keys that no member grants while a leaving member hands thousands of claims over.
func TestHandoverGrantsUntilItsLastRound(t *testing.T) {
	w, live := newNetwork(t, 3)
	leaver := w.nodes[live[0]]
	for i := range 1500 {
		assert.Assert(t, eventually(t, leaver, fmt.Sprint("key", i)).Run)
	}
	time.Sleep(3 * retryPause) // until all copies are acknowledged, so that only Leave calls Hold
	holds, refused := 0, 0
	var mu sync.Mutex
	w.mu.Lock()
	w.onHold = func(to string) {
		mu.Lock()
		defer mu.Unlock()
		holds++
		for i := range 100 {
			c := dedup.Claim{Key: dedup.NewKey("t", "s", fmt.Sprint("new", holds, "-", i)), Request: "r", Executor: to}
			raw, err := json.Marshal(c)
			assert.NilError(t, err)
			r, err := leaver.Handle(MethodClaim, raw)
			assert.NilError(t, err)
			switch r.(dedup.ClaimReply).Answer {
			case dedup.Unknown:
				refused++
				return
			case dedup.Granted:
				return
			default: // another member owns the key
			}
		}
	}
	w.mu.Unlock()
	assert.NilError(t, leaver.Leave(context.Background()))
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, holds >= 2*1500/maxBatch, "%d calls", holds)
	assert.Assert(t, refused <= 2, "%d of %d calls were made without granting", refused, holds)
	w.mu.Lock()
	w.onHold = nil
	w.mu.Unlock()
	w.set(2, live[1:], 0)
	for i := range 1500 {
		assert.Equal(t, eventually(t, w.nodes[live[1+i%2]], fmt.Sprint("key", i)).Status, 201)
	}
}

// Guards against messages that are still sent after everything was acknowledged.
func TestNoCallsAfterAllIsAcknowledged(t *testing.T) {
	w, live := newNetwork(t, 3)
	for i := range 20 {
		eventually(t, w.nodes[live[i%3]], fmt.Sprint("key", i))
	}
	time.Sleep(3 * retryPause)
	before := w.calls.Load()
	time.Sleep(3 * retryPause)
	assert.Equal(t, w.calls.Load(), before)
}

// Guards against a claim that is granted by a node that is not a member, or although the key's owner does not answer.
func TestUnreachableOwnerRefusesAsNotRun(t *testing.T) {
	w, live := newNetwork(t, 2)
	alone := New(Config{Peers: w})
	t.Cleanup(alone.Close)
	d := alone.Claim(context.Background(), dedup.Claim{Key: dedup.NewKey("t", "s", "k"), Request: "r"})
	assert.Equal(t, d.Run, false)
	eventually(t, w.nodes[live[0]], "settled")
	w.mu.Lock()
	w.loss = 1
	w.mu.Unlock()
	for i := range 20 {
		d = w.nodes[live[0]].Claim(context.Background(), dedup.Claim{Key: dedup.NewKey("t", "s", fmt.Sprint(i)), Request: "r"})
		assert.Equal(t, d.Status, 503)
		assert.Equal(t, d.Verdict, retry.NotRun)
		assert.Assert(t, !d.RetryAt.IsZero())
	}
}
