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

// claimLog is a log that holds renewals of one claim. It refuses reads while busy is set.
type claimLog struct {
	records []jobs.Record
	busy    bool
}

// renew adds a renewal of the claim of shard 0 by another process.
func (l *claimLog) renew(t *testing.T) {
	t.Helper()
	value, err := (&jobs.Claim{Epoch: 1, Owner: "e1#1", Addr: "10.0.0.1:7000"}).MarshalMsg(nil)
	assert.NilError(t, err)
	l.records = append(l.records, jobs.Record{Key: jobs.ClaimKey(0), Value: value})
}

func (l *claimLog) Read(r platform.ReadRequest) (platform.Page, error) {
	if l.busy {
		return platform.Page{}, &platform.CallError{Call: "read", Status: http.StatusTooManyRequests}
	}
	end := int64(len(l.records))
	return platform.Page{Records: l.records[r.From:], Next: end, End: end}, nil
}

func (l *claimLog) Newest(string, int, time.Time) (platform.Page, error) {
	return platform.Page{}, nil
}

func (l *claimLog) Append(platform.AppendRequest) (platform.AppendResult, error) {
	return platform.AppendResult{}, nil
}

// countingPeers counts the probes of owners. All probes are answered with true.
type countingPeers struct{ n int }

func (p *countingPeers) Owns(context.Context, string, int, string) bool {
	p.n++
	return true
}

// TestRenewingOwnerIsNotProbed guards against a probe of each owner after every refused read of the log. 999 entries sent
// 37,164 probes in 14 s, which used up the owners' CPU. Seen on our own site.
func TestRenewingOwnerIsNotProbed(t *testing.T) {
	l := &claimLog{}
	peers := &countingPeers{}
	r := tail.NewDirectory(l, false, zap.NewNop())
	o := New(Config{Member: "e2#1", Peers: peers, Store: l, Directory: r, OwnedCount: &atomic.Int64{}, ClaimMu: &sync.Mutex{}, Log: zap.NewNop()})
	l.renew(t)
	assert.NilError(t, r.CatchUp(t.Context()))
	assert.Equal(t, o.claimReason(), "")
	assert.Equal(t, peers.n, 1, "an owner of which no renewal was seen is probed at once")
	for range 3 {
		time.Sleep(probeIntervalMs * time.Millisecond)
		l.busy = true
		assert.Assert(t, r.CatchUp(t.Context()) != nil)
		assert.Equal(t, o.claimReason(), "")
		l.busy = false
		l.renew(t)
		assert.NilError(t, r.CatchUp(t.Context()))
		assert.Equal(t, o.claimReason(), "")
	}
	assert.Equal(t, peers.n, 1, "an owner that renews its claim is not probed")
	l.busy = true
	assert.Assert(t, r.CatchUp(t.Context()) != nil)
	o.claimReason()
	l.busy = false
	time.Sleep(probeAfterMs * time.Millisecond)
	assert.NilError(t, r.CatchUp(t.Context()))
	o.claimReason()
	assert.Equal(t, peers.n, 2, "an owner that has not renewed its claim is probed")
}

// TestRegularOwnerLapsesSooner guards against two failures: a shard that stays for 2 s without the owner that was
// suspended, although all its renewals had come in time, and a live owner that is replaced because a slow store delays
// its renewals.
func TestRegularOwnerLapsesSooner(t *testing.T) {
	l := &claimLog{}
	directory := tail.NewDirectory(l, false, zap.NewNop())
	o := New(Config{
		Member: "e2#1", Peers: &countingPeers{}, Store: l, Directory: directory, OwnedCount: &atomic.Int64{}, ClaimMu: &sync.Mutex{}, Log: zap.NewNop(),
	})
	renewAfter := func(pause time.Duration) {
		time.Sleep(pause)
		l.renew(t)
		assert.NilError(t, directory.CatchUp(t.Context()))
		assert.Equal(t, o.claimReason(), "")
	}
	renewAfter(0)
	assert.Equal(t, o.lapseMs(), int64(maxLapseMs), "nothing is known of the owner's renewals yet")
	for range observedRenewals {
		renewAfter(20 * time.Millisecond)
	}
	assert.Equal(t, o.lapseMs(), int64(minLapseMs))
	renewAfter((minLapseMs - lapseMarginMs + 200) * time.Millisecond)
	assert.Assert(t, o.lapseMs() >= minLapseMs+200, "a renewal was late, lapse after %d ms", o.lapseMs())
	l.busy = true
	assert.Assert(t, directory.CatchUp(t.Context()) != nil)
	assert.Equal(t, o.claimReason(), "")
	assert.Equal(t, o.lapseMs(), int64(maxLapseMs), "this process could not read the renewals")
}
