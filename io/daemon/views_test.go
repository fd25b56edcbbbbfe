package daemon

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/fleet"
	"sassafrasvalve/io/config"
	"sassafrasvalve/io/oplog"
)

// lockUsers calls the methods of a daemon that use both the store and the group until stopped, and counts the calls.
type lockUsers struct {
	d       *Daemon
	stopped atomic.Bool
	calls   [3]atomic.Int64
	wg      sync.WaitGroup
}

func (u *lockUsers) run(i int, call func(n int64)) {
	defer u.wg.Done()
	for !u.stopped.Load() {
		call(u.calls[i].Add(1))
	}
}

// counts returns the numbers of calls so far.
func (u *lockUsers) counts() (c [3]int64) {
	for i := range u.calls {
		c[i] = u.calls[i].Load()
	}
	return c
}

// TestViewsAndHeartbeatsDoNotBlockFolds guards against a daemon that hangs within seconds of its start: a view is read,
// a digest for a heartbeat is taken and records are folded at once, and two of them take the locks of store and group
// in opposite orders.
func TestViewsAndHeartbeatsDoNotBlockFolds(t *testing.T) {
	store := NewStore(zap.NewNop(), func(fleet.Result) {})
	d := &Daemon{cfg: Config{Settings: config.Settings{VM: "entry-1", Region: "west"}}, store: store}
	d.group = newGroup(groupConfig{
		Member: fleet.Member{VM: "entry-1", Region: "west"}, Clock: clock.System{}, Store: store,
		ListOK: func() bool { return true }, RoutedOffset: func() int64 { return -1 },
	})
	u := &lockUsers{d: d}
	u.wg.Add(3)
	go u.run(0, func(int64) { d.readView() })
	go u.run(1, func(int64) { d.group.Digest() })
	go u.run(2, func(n int64) { store.Fold([]oplog.Entry{{Offset: n - 1, Data: fmt.Appendf(nil, "record %d", n)}}) })
	const checks, interval = 6, 500 * time.Millisecond
	for range checks {
		before := u.counts()
		time.Sleep(interval)
		after := u.counts()
		for i, name := range []string{"readView", "Digest", "Fold"} {
			assert.Assert(t, after[i] > before[i], "%s has not returned for %v", name, interval)
		}
	}
	u.stopped.Store(true)
	u.wg.Wait()
}
