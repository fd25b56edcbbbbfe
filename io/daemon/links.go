package daemon

import (
	"bytes"
	"context"
	"encoding/json"
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
	recordsPerCall = 128       // a call stays below the message limit with records of 4 KiB
	statePartBytes = 256 << 10 // before base64, a quarter of the message limit
)

// links are the calls between this entry and the others.
type links struct {
	d      *Daemon
	server *peer.Server
	pool   *peer.Pool
	packed packedState
}

// packedState is the newest packed state, kept while peers fetch its parts.
type packedState struct {
	mu       sync.Mutex
	id       string
	through  int64
	checksum uint64
	data     []byte
}

func newLinks(d *Daemon, server *peer.Server, pool *peer.Pool) *links {
	l := &links{d: d, server: server, pool: pool}
	server.Handle(methodPing, l.onPing)
	server.Handle(methodRecords, l.onRecords)
	server.Handle(methodState, l.onState)
	server.Handle(methodSlots, l.onSlots)
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
	l.pool.Reachable(p.Addr)
	promise := l.d.group.Pinged(p.Digest)
	return Pong{Digest: l.d.digest(), Promise: promise}, nil
}

func (l *links) onRecords(_ context.Context, _ string, params json.RawMessage) (any, error) {
	q, err := decode[RecordsRequest](params)
	if err != nil {
		return nil, err
	}
	records, ok := l.d.store.Records(q.From, recordsPerCall)
	return RecordsReply{Records: records, Gone: !ok}, nil
}

func (l *links) onState(_ context.Context, _ string, params json.RawMessage) (any, error) {
	q, err := decode[StateRequest](params)
	if err != nil {
		return nil, err
	}
	return l.packed.part(q, l.d.store)
}

// part returns one part of the packed state. Part 0 without a name packs it anew.
func (p *packedState) part(q StateRequest, store *Store) (StateReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.Snapshot == "" {
		if through := store.Offset(); p.data == nil || through != p.through {
			data, sum, at, err := store.Pack()
			if err != nil {
				return StateReply{}, err
			}
			p.id, p.data, p.checksum, p.through = newID(), data, sum, at
		}
	} else if q.Snapshot != p.id {
		return StateReply{}, &jsonrpc2.Error{Code: peer.CodeGone, Message: "the snapshot is no longer held"}
	}
	parts := max(1, (len(p.data)+statePartBytes-1)/statePartBytes)
	if q.Part < 0 || q.Part >= parts {
		return StateReply{}, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "the part is out of range"}
	}
	chunk := p.data[q.Part*statePartBytes : min((q.Part+1)*statePartBytes, len(p.data))]
	return StateReply{Snapshot: p.id, Through: p.through, Checksum: p.checksum, Part: q.Part, Parts: parts, Data: chunk}, nil
}

func (l *links) onSlots(_ context.Context, _ string, params json.RawMessage) (any, error) {
	q, err := decode[SlotsRequest](params)
	if err != nil {
		return nil, err
	}
	return SlotsReply{Replies: l.d.sched.HandleReports(q.Reports)}, nil
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

// loop pings all peers every member.Heartbeat until ctx ends.
func (l *links) loop(ctx context.Context) {
	tick := time.NewTicker(member.Heartbeat)
	defer tick.Stop()
	for {
		addrs := l.d.addrs.All()
		l.pool.Keep(addrs)
		for _, addr := range addrs {
			p := &ping{l: l, addr: addr}
			go p.run(ctx)
		}
		l.sponsor(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// ping is one heartbeat to one peer.
type ping struct {
	l    *links
	addr string
}

func (p *ping) run(ctx context.Context) {
	sent := p.l.d.cfg.Clock.Now()
	var pong Pong
	msg := Ping{Digest: p.l.d.digest(), Addr: p.l.d.cfg.Settings.Peer}
	ctx, cancel := context.WithTimeout(ctx, member.Silence)
	defer cancel()
	if err := p.l.pool.Call(ctx, p.addr, methodPing, msg, &pong); err != nil {
		return
	}
	if pong.Offset > p.l.d.store.Offset() {
		p.l.catchUp(ctx, p.addr, pong.Offset)
	}
	p.l.d.group.Ponged(sent, pong)
}

// catchUp fetches the records that a peer has and this entry lacks.
func (l *links) catchUp(ctx context.Context, addr string, to int64) {
	for ctx.Err() == nil {
		from := l.d.store.Offset() + 1
		if from > to {
			return
		}
		var reply RecordsReply
		if err := l.pool.Call(ctx, addr, methodRecords, RecordsRequest{From: from}, &reply); err != nil {
			return
		}
		if reply.Gone {
			if err := l.fetchState(ctx, addr); err != nil {
				l.d.log.Warn("cannot fetch the state of a peer", zap.String("Peer", addr), zap.Error(err))
			}
			return
		}
		if l.d.fold(reply.Records, time.Time{}) == 0 && l.d.store.Offset() < from {
			return
		}
	}
}

// fetchState replaces the own state by that of the peer at addr.
func (l *links) fetchState(ctx context.Context, addr string) error {
	var buf bytes.Buffer
	q := StateRequest{}
	for {
		var r StateReply
		if err := l.pool.Call(ctx, addr, methodState, q, &r); err != nil {
			return err
		}
		buf.Write(r.Data)
		q = StateRequest{Snapshot: r.Snapshot, Part: r.Part + 1}
		if q.Part < r.Parts {
			continue
		}
		st, err := fleet.Unpack(stateConfig(), buf.Bytes(), r.Checksum)
		if err != nil {
			return err
		}
		l.d.replace(st)
		return nil
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
	learned []string
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

// SetMembers replaces the addresses of members.
func (b *addrBook) SetMembers(addrs []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members = addrs
}
