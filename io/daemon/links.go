package daemon

import (
	"context"
	"encoding/json"
	"errors"
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

const (
	recordsPerCall = 128
	tailRecords    = 4096
	tailBytes      = 4 << 20
)

// links are the calls between this entry and the others.
type links struct {
	d      *Daemon
	server *peer.Server
	pool   *peer.Pool
	heart  *peer.Heartbeater
}

func newLinks(d *Daemon, server *peer.Server, pool *peer.Pool) *links {
	l := &links{d: d, server: server, pool: pool}
	l.heart = peer.NewHeartbeater(peer.HeartbeatConfig{Pool: pool, Peers: d.addrs.Beat, Source: l, Sink: l, Clock: d.cfg.Clock})
	server.Handle(peer.MethodHeartbeat, l.onPing)
	server.Handle(peer.MethodGetRecords, d.tail.Handle)
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

// decode reads the parameters of a call. Its error is the response to a malformed one.
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
	promise := l.d.group.Pinged(p.Digest)
	return Pong{Digest: l.d.digest(), Promise: promise}, nil
}

func (l *links) onSlots(_ context.Context, _ string, params json.RawMessage) (any, error) {
	q, err := decode[SlotsRequest](params)
	if err != nil {
		return nil, err
	}
	return SlotsReply{Replies: l.d.sched.HandleReports(q.Reports)}, nil
}

// onSlotsPush takes what the owner of a pool sends without being asked.
func (l *links) onSlotsPush(_ context.Context, from string, params json.RawMessage) (any, error) {
	q, err := decode[SlotsReply](params)
	if err != nil {
		return nil, err
	}
	l.d.sched.HandleUpdates(from, q.Replies)
	return nil, nil
}

// onClaims answers a call about idempotency keys. Without a view lease this entry may no longer be
// the owner of a key, so that it grants nothing. The asking entry asks again for a while: an entry
// that has just joined, or is leaving, has no lease until all have folded that.
func (l *links) onClaims(method string, params json.RawMessage) (any, error) {
	if method == claims.MethodClaim && !l.d.group.Fresh() {
		return dedup.ClaimReply{Answer: dedup.Unknown}, nil
	}
	return l.d.claims.Handle(method, params)
}

func (l *links) onSponsor(_ context.Context, _ string, params json.RawMessage) (any, error) {
	q, err := decode[SponsorRequest](params)
	if err != nil {
		return nil, err
	}
	return SponsorReply{TermMS: l.d.group.Sponsor(q.Guest).Milliseconds()}, nil
}

// Exchange sends slot reports to the entry that owns the pools. It implements sched.Exchanger.
func (l *links) Exchange(ctx context.Context, owner string, reports []slots.Report) ([]slots.Reply, error) {
	addr := l.addrOf(owner)
	if addr == "" {
		return nil, eris.Errorf("owner %q is no member", owner)
	}
	var reply SlotsReply
	if err := l.pool.Call(ctx, addr, methodSlots, SlotsRequest{Reports: reports}, &reply); err != nil {
		return nil, err
	}
	return reply.Replies, nil
}

// Push sends an owner's updates to a holder's entry. It implements sched.Pusher.
func (l *links) Push(ctx context.Context, id string, updates []slots.Reply) error {
	addr := l.addrOf(id)
	if addr == "" {
		return eris.Errorf("%q is no member", id)
	}
	return l.pool.Notify(ctx, addr, methodSlotsPush, SlotsReply{Replies: updates})
}

// Call calls a member by its ID. It implements the caller of package claims.
func (l *links) Call(ctx context.Context, id, method string, params, result any) error {
	addr := l.addrOf(id)
	if addr == "" {
		return eris.Errorf("%q is no member", id)
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

// Heartbeat returns what a peer is told. It implements peer.HeartSource.
func (l *links) Heartbeat(string) (any, error) {
	return Ping{Digest: l.d.digest(), Addr: l.d.cfg.Settings.Peer}, nil
}

// HandleFailure takes note of a heartbeat without an answer. The silence of a peer is counted by the group.
func (l *links) HandleFailure(addr string, _ time.Time, err error) {
	l.d.log.Debug("heartbeat failed", zap.String("Peer", addr), zap.Error(err))
}

// HandleReply takes a peer's answer. It implements peer.HeartSink.
func (l *links) HandleReply(r peer.HeartbeatReply) {
	var pong Pong
	if err := json.Unmarshal(r.Body, &pong); err != nil {
		l.d.log.Warn("heartbeat answer is malformed", zap.String("Peer", r.Addr), zap.Error(err))
		return
	}
	if pong.Offset > l.d.store.Offset() {
		ctx, cancel := context.WithTimeout(l.d.ctx, member.SilenceTimeout)
		defer cancel()
		l.catchUp(ctx, r.Addr, pong.Offset)
	}
	l.d.group.Ponged(r.Sent, pong)
}

// catchUp fetches the records that a peer has and this entry lacks.
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
				l.d.log.Warn("cannot fetch the state of a peer", zap.String("Peer", addr), zap.Error(err))
			}
			return
		}
		if err != nil {
			return
		}
		// The lease is renewed by Ponged, once everything that the peer has is folded.
		if l.d.fold(b.Records, time.Time{}); l.d.store.Offset() < from {
			return
		}
	}
}

// fetchState replaces the own state by that of the peer at addr.
func (l *links) fetchState(ctx context.Context, addr string) error {
	_, data, err := peer.FetchState(ctx, l.pool, addr)
	if err != nil {
		return err
	}
	st, err := unpack(data)
	if err != nil {
		return eris.Wrapf(err, "state of peer %s", addr)
	}
	l.d.replace(st)
	return nil
}

// loop keeps the connections to the present peers only, and asks for a guest's lease
// while this process is no member.
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

// sponsor asks members for a guest's lease while this process cannot join.
func (l *links) sponsor(ctx context.Context) {
	if l.d.group.Joined() || l.d.store.Offset() < 0 {
		return
	}
	for _, addr := range l.d.addrs.All() {
		s := &sponsorship{l: l, addr: addr}
		go s.run(ctx)
	}
}

// sponsorship is one request for a guest's lease.
type sponsorship struct {
	l    *links
	addr string
}

func (s *sponsorship) run(ctx context.Context) {
	sent := s.l.d.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var reply SponsorReply
	err := s.l.pool.Call(ctx, s.addr, methodSponsor, SponsorRequest{Guest: s.l.d.group.Self()}, &reply)
	if err != nil || reply.TermMS <= 0 {
		return
	}
	s.l.d.group.Sponsored(sent, time.Duration(reply.TermMS)*time.Millisecond)
}

// addrBook is the set of peer addresses: those of the settings, of members and of callers.
type addrBook struct {
	own   string
	fixed []string

	mu      sync.Mutex
	members []string
	distant []string // members of other regions
	learned []string
	beats   int
}

// Beat returns the addresses for the next heartbeat. Members of other regions get every second one: no promise
// depends on them.
func (b *addrBook) Beat() []string {
	all := b.All()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.beats++
	if b.beats%2 == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(a string) bool { return slices.Contains(b.distant, a) })
}

// maxLearned bounds the addresses known only because they called.
const maxLearned = 32

// All returns all addresses but the own one, sorted.
func (b *addrBook) All() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := slices.Concat(b.fixed, b.members, b.learned)
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(a string) bool { return a == b.own || a == "" })
}

// Learn adds the address of a caller.
func (b *addrBook) Learn(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Contains(b.learned, addr) {
		return
	}
	if len(b.learned) >= maxLearned {
		b.learned = b.learned[1:]
	}
	b.learned = append(b.learned, addr)
}

// SetMembers replaces the addresses of members; distant are those of other regions among them.
func (b *addrBook) SetMembers(addrs, distant []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members, b.distant = addrs, distant
}
