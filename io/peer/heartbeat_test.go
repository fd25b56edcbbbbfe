package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/io/oplog"
)

// heartbeatRecorder is a source and a sink that records the results of heartbeats.
type heartbeatRecorder struct {
	mu       sync.Mutex
	replies  map[string][]HeartbeatReply
	failures map[string]int
}

// sample is a heartbeat body of realistic size: offset, age of the log read, promise and load digest.
type sample struct {
	Offset  int64
	AgeMS   int64
	Promise time.Time
	Load    map[string]int
}

func (b *heartbeatRecorder) Heartbeat(string) (any, error) {
	return sample{123456, 250, time.Now().UTC(), map[string]int{"urgent": 12, "normal": 340}}, nil
}

func (b *heartbeatRecorder) HandleReply(r HeartbeatReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replies[r.Addr] = append(b.replies[r.Addr], r)
}

func (b *heartbeatRecorder) HandleFailure(addr string, _ time.Time, _ error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures[addr]++
}

// Guards against a hung or cut-off peer that delays the heartbeats of others. It also logs the bytes of a heartbeat.
func TestHeartbeatsUnaffectedByHungPeer(t *testing.T) {
	stats, faults := NewStats(), NewFaults(true)
	addrs := make([]string, 0, 4)
	for range 3 {
		s := startServer(t, ServerConfig{}, func(s *Server) {
			s.Handle(MethodHeartbeat, func(context.Context, string, json.RawMessage) (any, error) {
				return new(heartbeatRecorder).Heartbeat("")
			})
		})
		addrs = append(addrs, s.Addr())
	}
	faults.Set(addrs[2:])
	addrs = append(addrs, hungPeer(t))
	b := &heartbeatRecorder{replies: map[string][]HeartbeatReply{}, failures: map[string]int{}}
	h := NewHeartbeater(HeartbeatConfig{
		Pool: newTestPool(t, PoolConfig{Stats: stats, Cut: faults}), Peers: func() []string { return addrs },
		Source: b, Sink: b, Interval: 50 * time.Millisecond,
	})
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	h.Run(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, addr := range addrs[:2] {
		assert.Assert(t, len(b.replies[addr]) >= 15, "%d heartbeats in 1.5 s", len(b.replies[addr]))
		for _, r := range b.replies[addr] {
			assert.Assert(t, !r.Received.Before(r.Sent) && json.Valid(r.Body))
		}
	}
	for _, addr := range addrs[2:] {
		assert.Assert(t, len(b.replies[addr]) == 0 && b.failures[addr] > 0)
	}
	n := len(b.replies[addrs[0]]) + len(b.replies[addrs[1]])
	c := stats.Counts()[MethodHeartbeat]
	t.Logf("%d heartbeats: %d bytes sent and %d received each", n, c.Sent/(c.Messages-int64(n)), int(c.Received)/n)
}

// Guards against fault injection in production, and against a peer that is cut off in one direction only.
func TestFaultsNeedInjectionAndCutBothDirections(t *testing.T) {
	off := NewFaults(false)
	off.Set([]string{"*"})
	assert.Assert(t, !off.Cut("b#1"))
	rec := httptest.NewRecorder()
	off.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/fault/peers", strings.NewReader(`{"Peers":["*"]}`)))
	assert.Equal(t, rec.Code, 404)

	faults := NewFaults(true)
	s := startServer(t, ServerConfig{Cut: faults}, nil)
	p := newTestPool(t, PoolConfig{Cut: faults})
	for _, peer := range []string{"a", "a#1", s.Addr(), "*"} { // the caller is a#1
		faults.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader(`{"Peers":["`+peer+`"]}`)))
		_, err := echo(p, s.Addr(), "x")
		var call *CallError
		assert.Assert(t, errors.As(err, &call) && call.NotRun, "%s: %v", peer, err)
	}
	faults.Set([]string{"a#2", "b"})
	_, err := echo(p, s.Addr(), "x")
	assert.NilError(t, err)
}

type fixedState []byte

func (s fixedState) State(context.Context) (int64, []byte, error) { return 77, s, nil }

// Guards against accepting a state that is truncated, damaged or mixed from two snapshots.
func TestStateTransfer(t *testing.T) {
	for _, size := range []int{0, 1, stateChunkBytes, 5*stateChunkBytes + 1} {
		data := make([]byte, size)
		_, _ = rand.NewChaCha8([32]byte{1}).Read(data)
		s := startServer(t, ServerConfig{}, func(s *Server) {
			s.Handle(MethodGetState, NewStateServer(fixedState(data), clock.System{}).Handle)
		})
		through, got, err := FetchState(context.Background(), newTestPool(t, PoolConfig{}), s.Addr())
		assert.NilError(t, err)
		assert.Assert(t, through == 77 && bytes.Equal(got, data))
	}
	good := StateChunk{Snapshot: "s", Count: 2, Checksum: xxhash.Sum64String("ab"), Data: []byte("a")}
	second := good
	second.Index, second.Data = 1, []byte("b")
	for name, bad := range map[string]func(*StateChunk){
		"damaged": func(c *StateChunk) { c.Data = []byte("c") }, "repeated": func(c *StateChunk) { c.Index = 0 },
		"of another snapshot": func(c *StateChunk) { c.Snapshot = "t" }, "short": func(c *StateChunk) { c.Data = nil },
	} {
		var a assembly
		assert.NilError(t, a.add(good))
		c := second
		bad(&c)
		assert.Check(t, a.add(c) != nil, "%s chunk was accepted", name)
	}
}

// Guards against a transfer that cannot be restarted after its snapshot was dropped: the server must answer CodeGone.
func TestStateExpiry(t *testing.T) {
	clk := clock.NewFake(time.Now())
	s := NewStateServer(fixedState("x"), clk)
	h, err := s.state(context.Background(), "")
	assert.NilError(t, err)
	clk.Advance(stateRetention + 1)
	_, err = s.state(context.Background(), h.id)
	var gone *jsonrpc2.Error
	assert.Assert(t, errors.As(err, &gone) && gone.Code == CodeGone)
}

// Guards against fetched records that renew a lease for longer than the peer's own read allows, or that have a gap.
func TestFetchedRecordsKeepTheirAge(t *testing.T) {
	clk := clock.NewFake(time.Now())
	buffer := NewRecordBuffer(clk, 10, 3, 1000)
	s := startServer(t, ServerConfig{}, func(s *Server) { s.Handle(MethodGetRecords, buffer.Handle) })
	p := newTestPool(t, PoolConfig{})
	fetch := func(from int64) (oplog.Batch, error) {
		return FetchRecords(context.Background(), p, clk, s.Addr(), from, 2)
	}
	b, err := fetch(10)
	assert.NilError(t, err)
	assert.Assert(t, !b.Fresh(), "a peer that never reached the end of the log made the view fresh")

	began := clk.Now()
	buffer.Add(oplog.Batch{SentAt: began, Next: 14, End: 14, Records: []oplog.Entry{{Offset: 10}, {Offset: 11}, {Offset: 12}, {Offset: 13}}})
	clk.Advance(2 * time.Second)
	_, err = fetch(10) // the buffer keeps 3 records
	var gone *jsonrpc2.Error
	assert.Assert(t, errors.As(err, &gone) && gone.Code == CodeGone, "%v", err)
	b, err = fetch(11)
	assert.NilError(t, err)
	assert.Assert(t, len(b.Records) == 2 && b.Next == 13 && !b.Fresh())
	b, err = fetch(13)
	assert.NilError(t, err)
	assert.Assert(t, len(b.Records) == 1 && b.Fresh() && !b.SentAt.After(began))
	b, err = fetch(20) // this entry is ahead of the peer
	assert.NilError(t, err)
	assert.Assert(t, !b.Fresh())
}

// Guards against bytes of a peer that crash the server or leak a connection.
func FuzzServerBytes(f *testing.F) {
	hello := frameOf(`{"jsonrpc":"2.0","method":"Hello","params":{"From":"a#1"}}`)
	f.Add([]byte(hello + frameOf(`{"jsonrpc":"2.0","id":1,"method":"Echo","params":{"Text":"x"}}`)))
	f.Add([]byte(hello + frameOf(`[{"id":"","method":"Echo","params":null}]`)))
	f.Add([]byte(frameOf(`{"id":1,"result":null}`) + frameOf(`{"id":1,"error":{"code":1}}`)))
	s := NewServer(ServerConfig{MaxMessage: 1 << 16})
	s.Handle("Echo", func(_ context.Context, _ string, params json.RawMessage) (any, error) { return params, nil })
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		s.accept(t.Context(), far)
		go func() {
			_, _ = near.Write(data)
			_ = near.Close()
		}()
		buf := make([]byte, 1024)
		for {
			if _, err := near.Read(buf); err != nil {
				break
			}
		}
		s.wg.Wait()
		assert.Equal(t, len(s.conns), 0)
	})
}

// Guards against replies of a peer that crash this entry or are accepted with a gap.
func FuzzReplies(f *testing.F) {
	f.Add([]byte(`{"Records":[{"Offset":5,"Data":""}],"End":6,"AgeMS":3}`), []byte(`{"Snapshot":"s","Count":1}`))
	f.Fuzz(func(t *testing.T, records, chunk []byte) {
		var r RecordsReply
		if json.Unmarshal(records, &r) == nil {
			sent := time.Now()
			if b, err := r.batch(5, 3, sent); err == nil {
				assert.Assert(t, b.Next == 5+int64(len(b.Records)) && len(b.Records) <= 3 && !b.SentAt.After(sent))
			}
		}
		var c StateChunk
		var a assembly
		if json.Unmarshal(chunk, &c) == nil && a.add(c) == nil && a.complete() {
			assert.Equal(t, xxhash.Sum64(a.data), c.Checksum)
		}
	})
}
