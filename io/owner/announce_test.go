package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/io/stats"
	"sassafrasvalve/io/tail"
	"sassafrasvalve/platform"
)

// announcementLog counts the appends without records, by which owners announce their epoch.
type announcementLog struct {
	sharedLog
	announcements atomic.Int64
}

func (l *announcementLog) Append(a platform.AppendRequest) (platform.AppendResult, error) {
	if len(a.Records) == 0 {
		l.announcements.Add(1)
	}
	a.Producer += " of " + a.Topic // the sequence of a producer applies to one partition
	return l.sharedLog.Append(a)
}

// announcingRunner announces the epoch of its owner, as a pool's run does at a takeover.
type announcingRunner struct {
	announced chan bool
}

func (a *announcingRunner) Serve(ctx context.Context, o *Owner) bool {
	r := newPoolRun(PoolConfig{Service: "s", Stats: stats.New()}, o)
	a.announced <- r.writer.write(ctx, nil, nil)
	<-ctx.Done()
	return true
}

// TestNewOwnerSendsNoNeedlessCopies guards against a takeover that is slowed down by its own calls while the store is slow: the
// store appends to a partition one call at a time, and each copy of the announcement delays the next records.
func TestNewOwnerSendsNoNeedlessCopies(t *testing.T) {
	l := &announcementLog{sharedLog: sharedLog{took: 3 * hedgeAfter}}
	runner := &announcingRunner{announced: make(chan bool, 1)}
	directory := tail.NewDirectory(l, false, zap.NewNop())
	o := New(Config{
		Member: "e1#1", Service: "s", Store: l, Directory: directory, Peers: &countingPeers{}, Runner: runner,
		OwnedCount: &atomic.Int64{}, ClaimMu: &sync.Mutex{}, Log: zap.NewNop(), Stats: stats.New(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { directory.Run(ctx) })
	wg.Go(func() { o.Run(ctx) })
	select {
	case ok := <-runner.announced:
		assert.Assert(t, ok)
	case <-time.After(5 * time.Second):
		t.Fatal("the owner has not announced itself")
	}
	cancel()
	wg.Wait()
	assert.Equal(t, l.announcements.Load(), int64(1))
}
