// Package claims runs the protocol by which the entries claim idempotency keys, so that a request with a key runs once.
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

// Methods that members call on each other.
const (
	MethodClaim   = "Dedup.Claim"
	MethodFinish  = "Dedup.Finish"
	MethodHold    = "Dedup.Hold"
	MethodRebuild = "Dedup.Rebuild"
)

// Timeouts, intervals and limits of the protocol.
const (
	// defaultCallTimeout bounds a call if Config.CallTimeout is 0.
	defaultCallTimeout = 500 * time.Millisecond
	// retryPause is the pause after a round of calls that failed or changed nothing.
	retryPause = 100 * time.Millisecond
	// expireInterval is the interval at which expired claims are deleted.
	expireInterval = time.Second
	// maxBatch bounds the claims in one Finish or Hold.
	maxBatch = 256
	// maxEarlyRounds bounds the rounds of a hand-over before granting stops. Claims may arrive faster than they are handed
	// over.
	maxEarlyRounds = 4
)

// Caller calls methods of other members.
type Caller interface {
	// Call calls a method with params and decodes the reply into result.
	Call(ctx context.Context, member, method string, params, result any) error
}

// Config holds the settings and dependencies of a Node. Peers is required. Zero values of the other fields select
// defaults.
type Config struct {
	Peers       Caller
	Clock       clock.Clock
	Log         *zap.Logger
	CallTimeout time.Duration
	Dedup       dedup.Config
}

// Node runs the protocol for this entry. It is safe for concurrent use.
type Node struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex // guards the following
	member  *dedup.Member
	senders map[string]*sender // by member
}

// New starts a node without members. It refuses all claims until the first call of SetMembers.
func New(cfg Config) *Node {
	cfg.CallTimeout = cmp.Or(cfg.CallTimeout, defaultCallTimeout)
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	n := &Node{cfg: cfg, member: dedup.NewMember(cfg.Dedup), senders: map[string]*sender{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.wg.Add(1)
	go n.run()
	return n
}

// Close stops the node and waits for its goroutines.
func (n *Node) Close() {
	n.cancel()
	n.wg.Wait()
}

// run deletes claims whose retention has ended, until the node is closed.
func (n *Node) run() {
	defer n.wg.Done()
	t := time.NewTicker(expireInterval)
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

// SetMembers applies the membership as of a log offset. live lists the members of the region that are neither fenced nor
// left, self is this entry's member ID, and lost is the number of members lost within the retention without a graceful
// leave. It must be called for each folded change of the membership before requests are handled under it.
func (n *Node) SetMembers(offset int64, live []string, self string, lost int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return
	}
	n.member.SetView(n.now(), dedup.View{Offset: offset, Self: self, Live: live, Lost: lost})
	v := n.member.View()
	for m, s := range n.senders {
		if m == v.Self || !slices.Contains(v.Live, m) {
			s.cancel()
			delete(n.senders, m)
		}
	}
	for _, m := range v.Live {
		if m != v.Self && n.senders[m] == nil {
			n.senders[m] = n.newSender(m)
		}
	}
	n.wakeSenders()
}

// wakeSenders makes all senders check for pending messages. It is called with mu held.
func (n *Node) wakeSenders() {
	for _, s := range n.senders {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// Claim claims the key of a request and returns the decision whether the request may run here. It takes a few seconds at
// most, and returns soon after ctx ends.
func (n *Node) Claim(ctx context.Context, c dedup.Claim) dedup.Decision {
	n.mu.Lock()
	pending, step := n.member.StartClaim(n.now(), c)
	n.mu.Unlock()
	for step.Kind != dedup.StepDecided {
		step = n.step(ctx, pending, step)
	}
	return step.Decision
}

// step carries out one step of a claim and returns the next one.
func (n *Node) step(ctx context.Context, pending *dedup.PendingClaim, s dedup.Step) dedup.Step {
	var claimReply dedup.ClaimReply
	var holdReply dedup.HoldReply
	var err error
	switch s.Kind {
	case dedup.StepClaim:
		err = n.call(ctx, s.To, MethodClaim, s.Claim, &claimReply)
	case dedup.StepHold:
		err = n.call(ctx, s.To, MethodHold, s.Hold, &holdReply)
	case dedup.StepWait:
		if !wire.Sleep(ctx, s.RetryDelay) {
			err = ctx.Err()
		}
	case dedup.StepDecided:
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.wakeSenders() // the step may have made messages pending, such as a release
	switch {
	case err != nil:
		return n.member.HandleTimeout(n.now(), pending)
	case s.Kind == dedup.StepClaim:
		return n.member.HandleClaimReply(n.now(), pending, claimReply)
	case s.Kind == dedup.StepHold:
		return n.member.HandleCopyReply(n.now(), pending, holdReply)
	}
	return n.member.RetryClaim(n.now(), pending)
}

// Finish records how a granted request ended. The outcome is sent to the owner of the key until it is acknowledged.
func (n *Node) Finish(key dedup.Key, request string, o dedup.Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.member.Finish(n.now(), key, request, o)
	n.wakeSenders()
}

// Leave hands all claims over to the members that hold them once this one has left. It stops granting claims only for the
// last round, so that keys stay usable meanwhile. It must be called once the requests in progress have ended and before
// the Leave record is written. It returns an error if a member did not accept its claims.
func (n *Node) Leave(ctx context.Context) error {
	startedAt, rounds := n.now(), 0
	for ; rounds < maxEarlyRounds; rounds++ {
		if handed, err := n.handOver(ctx, false); err != nil || handed <= maxBatch {
			break // the last round repeats what failed and returns the error
		}
	}
	grantsStoppedAt := n.now()
	handed, err := n.handOver(ctx, true)
	n.cfg.Log.Info("idempotency keys handed over", zap.Int("EarlyRounds", rounds),
		zap.Duration("Early", grantsStoppedAt.Sub(startedAt)), zap.Int("Last", handed), zap.Duration("WithoutGrants", n.now().Sub(grantsStoppedAt)), zap.Error(err))
	return err
}

// handOver runs one round of the hand-over and returns the number of claims that were due in it. last stops granting.
func (n *Node) handOver(ctx context.Context, last bool) (int, error) {
	n.mu.Lock()
	parts := n.member.Handover(n.now(), last)
	n.mu.Unlock()
	var errs []error
	total := 0
	for _, to := range slices.Sorted(maps.Keys(parts)) {
		total += len(parts[to])
		for hs := range slices.Chunk(parts[to], maxBatch) {
			var r dedup.HoldReply
			err := n.call(ctx, to, MethodHold, dedup.Hold{Held: hs}, &r)
			if err == nil && !r.Kept {
				err = errors.New("the member holds the maximum number of claims")
			}
			if err != nil {
				errs = append(errs, fmt.Errorf("hand %d claims over to member %q: %w", len(hs), to, err))
				break
			}
			n.mu.Lock()
			n.member.MarkHandedOver(to, hs)
			n.mu.Unlock()
		}
	}
	return total, errors.Join(errs...)
}

// ClaimCount returns the number of claims that this node holds.
func (n *Node) ClaimCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.member.ClaimCount()
}

// Handle answers a call of another member. It returns an error if the parameters cannot be decoded or the method is not
// one of this package.
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

// handle decodes the parameters and calls f with mu held.
func handle[P, R any](n *Node, params json.RawMessage, f func(*dedup.Member, P) R) (any, error) {
	var p P
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, fmt.Errorf("decode %T: %w", p, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return f(n.member, p), nil
}

// call calls a method of another member within Config.CallTimeout.
func (n *Node) call(ctx context.Context, to, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	return n.cfg.Peers.Call(ctx, to, method, params, result)
}
