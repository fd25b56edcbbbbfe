package owner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/io/stats"
	"sassafrasvalve/io/tail"
	"sassafrasvalve/platform"
)

// appendTakes is the time of an append on a busy entry.
const appendTakes = 60 * time.Millisecond

// sharedLog is an owners' partition that several processes write to and read from.
type sharedLog struct {
	mu sync.Mutex
	claimLog
}

func (l *sharedLog) Read(r platform.Read) (platform.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.claimLog.Read(r)
}

func (l *sharedLog) Append(a platform.Append) (platform.AppendResult, error) {
	time.Sleep(appendTakes)
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.At >= 0 && a.At != int64(len(l.records)) {
		return platform.AppendResult{Outcome: platform.EndMismatch}, nil
	}
	l.records = append(l.records, a.Records...)
	return platform.AppendResult{Outcome: platform.Appended}, nil
}

// idleRunner has no work.
type idleRunner struct{}

func (idleRunner) Serve(ctx context.Context, _ *Owner) bool {
	<-ctx.Done()
	return true
}

// process is the owners of all shards in one entry.
type process struct {
	owned  atomic.Int64
	owners []*Owner
}

func startProcess(t *testing.T, l *sharedLog, name string, shards int) *process {
	t.Helper()
	p := &process{}
	claiming := &sync.Mutex{}
	roster := tail.NewDirectory(l, false, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for part := range shards {
		o := New(Config{
			Member: name, Service: fmt.Sprint(part), Part: part, Store: l, Directory: roster, Peers: &askedPeers{}, Runner: idleRunner{},
			OwnedCount: &p.owned, ClaimMu: claiming, ClaimDelay: func(owned int64) time.Duration { return 2 * time.Duration(owned) * claimSpread }, Log: zap.NewNop(), Stats: stats.New(),
		})
		p.owners = append(p.owners, o)
		wg.Add(1)
		go func() {
			defer wg.Done()
			o.Run(ctx)
		}()
	}
	go roster.Run(ctx)
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return p
}

// TestFreeShardsSpread guards against a process that claims several shards at once since none of its claims sees the others: an
// entry with a fifth of a core owned three shards in a turn, though others owned none (kegel-live-grown, refused-reads seed
// 772178764796).
func TestFreeShardsSpread(t *testing.T) {
	const processes, shards = 3, 3
	l := &sharedLog{}
	var list []*process
	for i := range processes {
		list = append(list, startProcess(t, l, fmt.Sprintf("e%d#1", i), shards))
	}
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		var all int64
		for _, p := range list {
			all += p.owned.Load()
		}
		if all == shards {
			break
		}
	}
	for i, p := range list {
		assert.Equal(t, p.owned.Load(), int64(1), "process %d", i)
	}
}

// TestHandedOverShardGoesToWhoAsked guards against a shard that is released for a process with more processor and goes to another
// one, or back, or stays without an owner for longer than a claim takes.
func TestHandedOverShardGoesToWhoAsked(t *testing.T) {
	const most = 400 * time.Millisecond // a caller's objective is 600 ms
	l := &sharedLog{}
	first := startProcess(t, l, "e1#1", 1)
	eventually(t, func() bool { return first.owned.Load() == 1 })
	second := startProcess(t, l, "e2#1", 1)
	third := startProcess(t, l, "e3#1", 1)
	time.Sleep(termLeast * time.Millisecond)
	assert.Assert(t, !second.owners[0].HandOver(t.Context()), "it does not own the shard")
	assert.Assert(t, first.owners[0].HandOver(t.Context()))
	released := time.Now()
	second.owners[0].ClaimNow()
	eventually(t, func() bool { return second.owned.Load() == 1 })
	assert.Assert(t, time.Since(released) < most, "the shard had no owner for %v", time.Since(released))
	assert.Assert(t, !second.owners[0].HandOver(t.Context()), "it owns the shard only since")
	time.Sleep(leaveFor)
	assert.Equal(t, first.owned.Load()+third.owned.Load(), int64(0))
}

// eventually waits until check holds.
func eventually(t *testing.T, check func() bool) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); !check(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "not within 5 s")
	}
}

// TestClaimHasItsOwnReason guards against a new owner that takes the shard for released since it was when it began to wait: another
// process that owned it in between and released it in haste may have started items without a record, which would then run twice.
func TestClaimHasItsOwnReason(t *testing.T) {
	l := &sharedLog{}
	add := func(epoch int64, member, reason string) {
		value, err := (&jobs.Claim{Epoch: epoch, Owner: member, Addr: "10.0.0.1:7000", Reason: reason}).MarshalMsg(nil)
		assert.NilError(t, err)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.records = append(l.records, jobs.Record{Key: jobs.ClaimKey(0), Value: value})
	}
	add(1, "", reasonReleased)
	roster := tail.NewDirectory(l, false, zap.NewNop())
	o := New(Config{
		Member: "e1#1", Store: l, Directory: roster, Peers: &askedPeers{}, OwnedCount: &atomic.Int64{}, ClaimMu: &sync.Mutex{}, Log: zap.NewNop(),
		Stats: stats.New(), ClaimDelay: func(int64) time.Duration { return 2 * claimSpread },
	})
	assert.NilError(t, roster.CatchUp(t.Context()))
	assert.Equal(t, o.free(), reasonReleased)
	time.AfterFunc(claimSpread, func() {
		add(2, "e2#1", reasonReleased)
		add(2, "", reasonHaste)
	})
	assert.Assert(t, o.compete(t.Context()))
	assert.Equal(t, o.reason, reasonHaste)
	assert.Assert(t, !o.clean())
}
