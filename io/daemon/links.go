package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"sassafrasvalve/core/dedup"
	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/member"
	"sassafrasvalve/core/slots"
	"sassafrasvalve/io/claims"
	"sassafrasvalve/io/peer"
)

// Limits of the records that entries fetch from each other.
const (
	recordsPerCall     = 128     // that this entry requests with one call
	maxBufferedRecords = 4096    // that this entry keeps for its peers
	maxBufferedBytes   = 4 << 20 // of these records
)

// links serves and sends the calls between this entry and the others.
type links struct {
	d           *Daemon
	server      *peer.Server
	pool        *peer.Pool
	heartbeater *peer.Heartbeater
}

func newLinks(d *Daemon, server *peer.Server, pool *peer.Pool) *links {
	l := &links{d: d, server: server, pool: pool}
	l.heartbeater = peer.NewHeartbeater(peer.HeartbeatConfig{Pool: pool, Peers: d.addrs.NextHeartbeat, Source: l, Sink: l, Clock: d.cfg.Clock})
	server.Handle(peer.MethodHeartbeat, l.onPing)
	server.Handle(peer.MethodGetRecords, d.recent.Handle)
	server.Handle(peer.MethodGetState, peer.NewStateServer(d.store, d.cfg.Clock).Handle)
	server.Handle(methodSlots, l.onSlots)
	server.Handle(methodSlotsPush, l.onSlotsPush)
	server.Handle(methodSponsor, l.onSponsor)
	for _, method := range []string{claims.MethodClaim, claims.MethodFinish, claims.MethodHold, claims.MethodRebuild} {
		server.Handle(method, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
			return l.onClaims(method, params)
		})
	}
	return l
}

// decode reads the parameters of a call. Its error is the JSON-RPC response to malformed parameters.
func decode[T any](params json.RawMessage) (T, error) {
	var v T
	if err := json.Unmarshal(params, &v); err != nil {
		return v, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return v, nil
}

func (l *links) onPing(_ context.Context, _ string, params json.RawMessage) (any, error) {
	p, err := decode[Ping](params)
	if err != nil {
		return nil, err
	}
	l.d.addrs.Learn(p.Addr)
	l.pool.ResetBackoff(p.Addr)
	promise := l.d.group.HandlePing(p.Digest)
	return Pong{Digest: l.d.digest(), Promise: promise}, nil
}

func (l *links) onSlots(_ context.Context, _ string, params json.RawMessage) (any, error) {
	q, err := decode[SlotsRequest](params)
	if err != nil {
		return nil, err
	}
	return SlotsReply{Replies: l.d.sched.HandleReports(q.Reports)}, nil
}

// onSlotsPush applies the updates that the owner of a pool sends without a request.
func (l *links) onSlotsPush(_ context.Context, from string, params json.RawMessage) (any, error) {
	q, err := decode[SlotsReply](params)
	if err != nil {
		return nil, err
	}
	l.d.sched.HandleUpdates(from, q.Replies)
	return nil, nil
}

// onClaims answers a call about idempotency keys. An entry without a view lease may no longer be the owner of a
// key, so it answers a claim with dedup.Unknown. The caller retries for a while, since an entry that has just
// joined, or is leaving, has no lease until all have folded that.
func (l *links) onClaims(method string, params json.RawMessage) (any, error) {
	if method == claims.MethodClaim && !l.d.group.MayStart() {
		return dedup.ClaimReply{Answer: dedup.Unknown}, nil
	}
	return l.d.claims.Handle(method, params)
}

func (l *links) onSponsor(_ context.Context, _ string, params json.RawMessage) (any, error) {
	q, err := decode[SponsorRequest](params)
	if err != nil {
		return nil, err
	}
	viewOffset := q.Records - 1
	if q.Records == 0 {
		viewOffset = math.MaxInt64
	}
	return SponsorReply{TermMS: l.d.group.Sponsor(q.Guest, viewOffset).Milliseconds()}, nil
}

// Exchange sends slot reports to the entry that owns the pools and returns its replies.
// It implements sched.Exchanger.
func (l *links) Exchange(ctx context.Context, owner string, reports []slots.Report) ([]slots.Reply, error) {
	addr := l.addrOf(owner)
	if addr == "" {
		return nil, eris.Errorf("slot owner %q is not a member", owner)
	}
	var reply SlotsReply
	if err := l.pool.Call(ctx, addr, methodSlots, SlotsRequest{Reports: reports}, &reply); err != nil {
		return nil, err
	}
	return reply.Replies, nil
}

// Push sends updates of slots that this entry owns to the member that holds them. It implements sched.Pusher.
func (l *links) Push(ctx context.Context, id string, updates []slots.Reply) error {
	addr := l.addrOf(id)
	if addr == "" {
		return eris.Errorf("%q is not a member", id)
	}
	return l.pool.Notify(ctx, addr, methodSlotsPush, SlotsReply{Replies: updates})
}

// Call calls a method of the member with the given ID. Package claims uses it for its calls.
func (l *links) Call(ctx context.Context, id, method string, params, result any) error {
	addr := l.addrOf(id)
	if addr == "" {
		return eris.Errorf("%q is not a member", id)
	}
	return l.pool.Call(ctx, addr, method, params, result)
}

func (l *links) addrOf(id string) string {
	addr := ""
	l.d.store.View(func(st *fleet.State) {
		if m := st.Members[id]; m != nil {
			addr = m.Addr
		}
	})
	return addr
}

// Heartbeat returns the Ping for a peer. It implements peer.HeartbeatSource.
func (l *links) Heartbeat(string) (any, error) {
	return Ping{Digest: l.d.digest(), Addr: l.d.cfg.Settings.Peer}, nil
}

// HandleFailure logs a heartbeat without an answer. It changes no state: the group measures the silence of a peer.
func (l *links) HandleFailure(addr string, _ time.Time, err error) {
	l.d.log.Debug("heartbeat failed", zap.String("Peer", addr), zap.Error(err))
}

// HandleReply applies a peer's Pong, after the records that this entry lacks have been fetched from that peer.
// It implements peer.HeartbeatSink.
func (l *links) HandleReply(r peer.HeartbeatReply) {
	var pong Pong
	if err := json.Unmarshal(r.Body, &pong); err != nil {
		l.d.log.Warn("heartbeat reply is malformed", zap.String("Peer", r.Addr), zap.Error(err))
		return
	}
	if pong.Offset > l.d.store.Offset() {
		ctx, cancel := context.WithTimeout(l.d.ctx, member.SilenceTimeout)
		defer cancel()
		l.catchUp(ctx, r.Addr, pong.Offset)
	}
	l.d.group.HandlePong(r.Sent, pong)
}

// catchUp fetches the records up to offset to from a peer, or its state if the peer no longer has the records.
func (l *links) catchUp(ctx context.Context, addr string, to int64) {
	for ctx.Err() == nil {
		from := l.d.store.Offset() + 1
		if from > to {
			return
		}
		b, err := peer.FetchRecords(ctx, l.pool, l.d.cfg.Clock, addr, from, recordsPerCall)
		var answer *jsonrpc2.Error
		if errors.As(err, &answer) && answer.Code == peer.CodeGone {
			if err := l.fetchState(ctx, addr); err != nil {
				l.d.log.Warn("fetch of a peer's state failed", zap.String("Peer", addr), zap.Error(err))
			}
			return
		}
		if err != nil {
			return
		}
		// HandlePong renews the lease once all records of the peer are folded.
		if l.d.fold(b.Records, time.Time{}); l.d.store.Offset() < from {
			return
		}
	}
}

// fetchState replaces the state of this entry by that of the peer at addr, if that is newer.
func (l *links) fetchState(ctx context.Context, addr string) error {
	_, data, err := peer.FetchState(ctx, l.pool, addr)
	if err != nil {
		return err
	}
	st, err := unpack(data)
	if err != nil {
		return eris.Wrapf(err, "state of peer %s", addr)
	}
	l.d.replaceState(st)
	return nil
}

// loop closes the connections to former peers, and requests a guest lease while this process is not a member.
func (l *links) loop(ctx context.Context) {
	tick := time.NewTicker(member.HeartbeatInterval)
	defer tick.Stop()
	for {
		l.pool.CloseExcept(l.d.addrs.All())
		l.sponsor(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// sponsor requests a guest lease from all peers unless this process is a member or routing has no view yet. With a guest
// lease it can start work although its Join is not in the log yet, as while the log is down.
func (l *links) sponsor(ctx context.Context) {
	view := l.d.routedOffset.Load()
	if l.d.group.Joined() || view < 0 {
		return
	}
	for _, addr := range l.d.addrs.All() {
		s := &sponsorship{l: l, addr: addr, viewOffset: view}
		go s.run(ctx)
	}
}

// sponsorship is one request for a guest lease.
type sponsorship struct {
	l          *links
	addr       string
	viewOffset int64 // of the view that routing uses
}

func (s *sponsorship) run(ctx context.Context) {
	sent := s.l.d.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var reply SponsorReply
	err := s.l.pool.Call(ctx, s.addr, methodSponsor, SponsorRequest{Guest: s.l.d.group.Self(), Records: s.viewOffset + 1}, &reply)
	if err != nil || reply.TermMS <= 0 {
		return
	}
	s.l.d.group.HandleGrant(sent, time.Duration(reply.TermMS)*time.Millisecond)
}

// addrBook is the set of peer addresses: those from the settings, of members and of callers.
// It is safe for concurrent use.
type addrBook struct {
	own        string
	configured []string

	mu         sync.Mutex
	members    []string // of members of all regions
	remote     []string // those of members of other regions
	learned    []string // of callers, oldest first
	heartbeats int      // number of calls of NextHeartbeat
}

// NextHeartbeat returns the addresses for the next heartbeat. Members of other regions get only every second one,
// since no promise depends on them.
func (b *addrBook) NextHeartbeat() []string {
	all := b.All()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heartbeats++
	if b.heartbeats%2 == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(a string) bool { return slices.Contains(b.remote, a) })
}

// maxLearnedAddrs bounds the addresses that are known only from calls to this entry.
const maxLearnedAddrs = 32

// All returns all addresses except that of this entry, sorted.
func (b *addrBook) All() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := slices.Concat(b.configured, b.members, b.learned)
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(a string) bool { return a == b.own || a == "" })
}

// Learn adds the address of a caller. The oldest learned address is removed if there are maxLearnedAddrs.
func (b *addrBook) Learn(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Contains(b.learned, addr) {
		return
	}
	if len(b.learned) >= maxLearnedAddrs {
		b.learned = b.learned[1:]
	}
	b.learned = append(b.learned, addr)
}

// SetMembers replaces the addresses of members; remote are those among them that are of other regions.
func (b *addrBook) SetMembers(addrs, remote []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members, b.remote = addrs, remote
}
