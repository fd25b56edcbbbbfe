package owner

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/io/tail"
	"sassafrasvalve/platform"
)

// claimLog holds renewals of one claim. It refuses reads while busy is set.
type claimLog struct {
	records []jobs.Record
	busy    bool
}

// renew adds a renewal of shard 0 by another process.
func (l *claimLog) renew(t *testing.T) {
	t.Helper()
	value, err := (&jobs.Claim{Epoch: 1, Owner: "e1#1", Addr: "10.0.0.1:7000"}).MarshalMsg(nil)
	assert.NilError(t, err)
	l.records = append(l.records, jobs.Record{Key: jobs.ClaimKey(0), Value: value})
}

func (l *claimLog) Read(r platform.Read) (platform.Page, error) {
	if l.busy {
		return platform.Page{}, &platform.CallError{Call: "read", Status: http.StatusTooManyRequests}
	}
	end := int64(len(l.records))
	return platform.Page{Records: l.records[r.From:], Next: end, End: end}, nil
}

func (l *claimLog) Newest(string, int, time.Time) (platform.Page, error) {
	return platform.Page{}, nil
}

func (l *claimLog) Append(platform.Append) (platform.AppendResult, error) {
	return platform.AppendResult{}, nil
}

// askedPeers counts the questions to owners, which all answer that they own their shard.
type askedPeers struct{ n int }

func (p *askedPeers) Owns(context.Context, string, int, string) bool {
	p.n++
	return true
}

// TestOwnerThatRenewsIsNotAsked guards against questions to owners after each refused read of the log: 999 entries asked
// 37,164 times in 14 s (own site), which took the owners' processors.
func TestOwnerThatRenewsIsNotAsked(t *testing.T) {
	l := &claimLog{}
	peers := &askedPeers{}
	r := tail.NewDirectory(l, false, zap.NewNop())
	o := New(Config{Member: "e2#1", Peers: peers, Store: l, Directory: r, OwnedCount: &atomic.Int64{}, ClaimMu: &sync.Mutex{}, Log: zap.NewNop()})
	l.renew(t)
	assert.NilError(t, r.CatchUp(t.Context()))
	assert.Equal(t, o.free(), "")
	assert.Equal(t, peers.n, 1, "an owner that was never heard is asked at once")
	for range 3 {
		time.Sleep(probeEvery * time.Millisecond)
		l.busy = true
		assert.Assert(t, r.CatchUp(t.Context()) != nil)
		assert.Equal(t, o.free(), "")
		l.busy = false
		l.renew(t)
		assert.NilError(t, r.CatchUp(t.Context()))
		assert.Equal(t, o.free(), "")
	}
	assert.Equal(t, peers.n, 1, "the owner has renewed its claim each time")
	l.busy = true
	assert.Assert(t, r.CatchUp(t.Context()) != nil)
	o.free()
	l.busy = false
	time.Sleep(probeAfter * time.Millisecond)
	assert.NilError(t, r.CatchUp(t.Context()))
	o.free()
	assert.Equal(t, peers.n, 2, "an owner that has not renewed is asked")
}
