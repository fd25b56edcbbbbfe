// Package claims runs the protocol of idempotency keys between the entries.
package claims

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/dedup"
	"sassafrasvalve/io/wire"
)

// Methods that members call at each other.
const (
	MethodClaim   = "Dedup.Claim"
	MethodFinish  = "Dedup.Finish"
	MethodHold    = "Dedup.Hold"
	MethodRebuild = "Dedup.Rebuild"
)

// Timing of the protocol.
const (
	defaultCallTimeout = 500 * time.Millisecond
	retryPause         = 100 * time.Millisecond // after a call that failed or that changed nothing
	expireEvery        = time.Second
	batch              = 256 // claims in one Finish or Hold
	earlyRounds        = 4   // most rounds of a hand-over before granting stops, for when claims come faster than they are handed over
)

// Caller calls a method at another member.
type Caller interface {
	Call(ctx context.Context, member, method string, params, result any) error
}

// Config sets up a Node. Peers is required; zero fields take defaults.
type Config struct {
	Peers       Caller
	Clock       clock.Clock
	Log         *zap.Logger
	CallTimeout time.Duration
	Dedup       dedup.Config
}

// Node is this entry's part in the protocol. It is safe for concurrent use.
type Node struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	member *dedup.Member
	links  map[string]*link
}

// New returns a node without members. It refuses all claims until SetMembers.
func New(cfg Config) *Node {
	cfg.CallTimeout = cmp.Or(cfg.CallTimeout, defaultCallTimeout)
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	n := &Node{cfg: cfg, member: dedup.NewMember(cfg.Dedup), links: map[string]*link{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.wg.Add(1)
	go n.run()
	return n
}

// Close stops all work of the node and waits for its goroutines.
func (n *Node) Close() {
	n.cancel()
	n.wg.Wait()
}

// run forgets claims whose retention is over.
func (n *Node) run() {
	defer n.wg.Done()
	t := time.NewTicker(expireEvery)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
			n.mu.Lock()
			n.member.Expire(n.now())
			n.mu.Unlock()
		}
	}
}

func (n *Node) now() time.Time { return n.cfg.Clock.Now() }

// SetMembers puts the membership as of a log offset in force. Live are the members of the region that are
// neither fenced nor left, self is this entry's member ID, and lost counts the members lost without a
// graceful leave within the retention. It is called for each folded change before work under it starts.
func (n *Node) SetMembers(offset int64, live []string, self string, lost int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return
	}
	n.member.SetView(n.now(), dedup.View{Offset: offset, Self: self, Live: live, Lost: lost})
	v := n.member.View()
	for m, l := range n.links {
		if m == v.Self || !slices.Contains(v.Live, m) {
			l.cancel()
			delete(n.links, m)
		}
	}
	for _, m := range v.Live {
		if m != v.Self && n.links[m] == nil {
			n.links[m] = n.newLink(m)
		}
	}
	n.wake()
}

// wake makes all links look for messages that are due. It is called with mu held.
func (n *Node) wake() {
	for _, l := range n.links {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// Claim asks for the right to run a request. It returns after a few seconds at most, and soon after the end of ctx.
func (n *Node) Claim(ctx context.Context, c dedup.Claim) dedup.Decision {
	n.mu.Lock()
	ask, step := n.member.StartClaim(n.now(), c)
	n.mu.Unlock()
	for step.Kind != dedup.StepDecided {
		step = n.step(ctx, ask, step)
	}
	return step.Decision
}

// step does what the protocol asks for and returns what it asks for next.
func (n *Node) step(ctx context.Context, ask *dedup.PendingClaim, s dedup.Step) dedup.Step {
	var granted dedup.ClaimReply
	var copied dedup.HoldReply
	var err error
	switch s.Kind {
	case dedup.StepClaim:
		err = n.call(ctx, s.To, MethodClaim, s.Claim, &granted)
	case dedup.StepHold:
		err = n.call(ctx, s.To, MethodHold, s.Hold, &copied)
	case dedup.StepWait:
		if !wire.Sleep(ctx, s.Pause) {
			err = ctx.Err()
		}
	case dedup.StepDecided:
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.wake() // a release may be due
	switch {
	case err != nil:
		return n.member.HandleTimeout(n.now(), ask)
	case s.Kind == dedup.StepClaim:
		return n.member.HandleClaimReply(n.now(), ask, granted)
	case s.Kind == dedup.StepHold:
		return n.member.HandleCopyReply(n.now(), ask, copied)
	}
	return n.member.RetryClaim(n.now(), ask)
}

// Finish records how a granted request ended. The owner is told until it acknowledges.
func (n *Node) Finish(key dedup.Key, request string, o dedup.Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.member.Finish(n.now(), key, request, o)
	n.wake()
}

// Leave hands all claims to the members that take over, and stops granting for the last of them only.
// It is called before the Leave record is written, once the requests in progress have ended.
// It returns an error if a member did not take its part.
func (n *Node) Leave(ctx context.Context) error {
	began, rounds := n.now(), 0
	for ; rounds < earlyRounds; rounds++ {
		if handed, err := n.handOver(ctx, false); err != nil || handed <= batch {
			break // the last round tries again and tells
		}
	}
	stopped := n.now()
	handed, err := n.handOver(ctx, true)
	n.cfg.Log.Info("handed idempotency keys over", zap.Int("EarlyRounds", rounds), zap.Duration("Early", stopped.Sub(began)),
		zap.Int("Last", handed), zap.Duration("WithoutGrants", n.now().Sub(stopped)), zap.Error(err))
	return err
}

// handOver runs a round of the hand-over and returns the number of claims that it was for.
func (n *Node) handOver(ctx context.Context, last bool) (int, error) {
	n.mu.Lock()
	parts := n.member.Handover(n.now(), last)
	n.mu.Unlock()
	var errs []error
	total := 0
	for _, to := range slices.Sorted(maps.Keys(parts)) {
		total += len(parts[to])
		for hs := range slices.Chunk(parts[to], batch) {
			var r dedup.HoldReply
			err := n.call(ctx, to, MethodHold, dedup.Hold{Held: hs}, &r)
			if err == nil && !r.Kept {
				err = errors.New("no room")
			}
			if err != nil {
				errs = append(errs, fmt.Errorf("hand %d claims to %q: %w", len(hs), to, err))
				break
			}
			n.mu.Lock()
			n.member.MarkHandedOver(to, hs)
			n.mu.Unlock()
		}
	}
	return total, errors.Join(errs...)
}

// ClaimCount returns how many claims are kept here.
func (n *Node) ClaimCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.member.ClaimCount()
}

// Handle answers a call of another member. It returns an error for parameters that do not
// decode and for methods that are not this package's.
func (n *Node) Handle(method string, params json.RawMessage) (any, error) {
	switch method {
	case MethodClaim:
		return handle(n, params, func(m *dedup.Member, c dedup.Claim) dedup.ClaimReply { return m.HandleClaim(n.now(), c) })
	case MethodFinish:
		return handle(n, params, func(m *dedup.Member, f dedup.Finish) dedup.FinishReply { return m.HandleFinish(n.now(), f) })
	case MethodHold:
		return handle(n, params, (*dedup.Member).HandleHold)
	case MethodRebuild:
		return handle(n, params, (*dedup.Member).HandleRebuild)
	}
	return nil, fmt.Errorf("unknown method %q", method)
}

func handle[P, R any](n *Node, params json.RawMessage, f func(*dedup.Member, P) R) (any, error) {
	var p P
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, fmt.Errorf("decode %T: %w", p, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return f(n.member, p), nil
}

func (n *Node) call(ctx context.Context, to, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	return n.cfg.Peers.Call(ctx, to, method, params, result)
}
