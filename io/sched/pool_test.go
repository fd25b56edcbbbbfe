package sched

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/hash"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/slots"
	"sassafrasvalve/core/spec"
)

// testExchanger passes reports between the sets of a test and loses some of them.
type testExchanger struct {
	sets     map[string]*Set
	lose     func() bool
	owner    string
	maxBatch atomic.Int64 // largest number of reports in one message
}

func (f *testExchanger) Exchange(ctx context.Context, owner string, reports []slots.Report) ([]slots.Reply, error) {
	if f.lose != nil && f.lose() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	f.maxBatch.Store(max(f.maxBatch.Load(), int64(len(reports))))
	return f.sets[owner].HandleReports(reports), nil
}

func (f *testExchanger) Push(_ context.Context, member string, updates []slots.Reply) error {
	if f.lose == nil || !f.lose() {
		f.sets[member].HandleUpdates(f.owner, updates)
	}
	return nil
}

var testClasses = []spec.Class{
	{Name: "hold", Rank: 0, Share: 0.5, MaxWait: spec.Duration(2500 * time.Millisecond)},
	{Name: "list", Rank: 1, Share: 0.2, MaxWait: spec.Duration(5 * time.Second)},
}

func testView(self string, members []string, workers int) View {
	v := View{Self: self, Members: members, Classes: testClasses, Tenants: []spec.Tenant{{Name: "slow", Rate: 2, Burst: 2}}}
	for i := range workers {
		v.Workers = append(v.Workers, Worker{VM: fmt.Sprint("w", i), Addr: fmt.Sprintf("10.0.0.%d:80", i), DC: "a"})
	}
	return v
}

// startEntries starts n entries that share a pool with the given number of workers.
func startEntries(t *testing.T, n, workers int, lose func() bool) []*Pool {
	t.Helper()
	f := &testExchanger{sets: map[string]*Set{}, lose: lose}
	members := make([]string, 0, n)
	for i := range n {
		members = append(members, fmt.Sprint("e", i))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	f.owner = hash.Owner("p", members)
	pools := make([]*Pool, 0, n)
	for _, m := range members {
		p := New(Config{Name: "p"})
		f.sets[m] = NewSet(SetConfig{Exchanger: f, Pools: []*Pool{p}, Self: func() string { return m }})
		pools = append(pools, p)
	}
	for i, m := range members {
		pools[i].SetView(testView(m, members, workers))
		wg.Go(func() { f.sets[m].Run(ctx) })
	}
	return pools
}

// Guards against more requests on a worker than it has slots, lost wake-ups and data
// races. Many callers with short deadlines run while one message in 20 is lost.
func TestPoolKeepsSlotsUnderConcurrentCallers(t *testing.T) {
	var messages atomic.Int64
	pools := startEntries(t, 3, 2, func() bool { return messages.Add(1)%20 == 0 })
	var mu sync.Mutex
	use := map[string]int{}
	var wg sync.WaitGroup
	var ran atomic.Int64
	for i := range 150 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(i), 1))
			for range 4 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+r.IntN(1500))*time.Millisecond)
				g, err := pools[i%3].Acquire(ctx, Request{Class: testClasses[i%2].Name, Tenant: "t"})
				if err == nil {
					mu.Lock()
					use[g.VM]++
					over := use[g.VM] > 8
					mu.Unlock()
					if over {
						t.Errorf("more than 8 requests on %s", g.VM)
					}
					time.Sleep(time.Duration(1+r.IntN(20)) * time.Millisecond)
					mu.Lock()
					use[g.VM]--
					mu.Unlock()
					g.Done(Outcome{Verdict: retry.Ran, Status: 200})
					g.Done(Outcome{Verdict: retry.Ran, Status: 200})
					ran.Add(1)
				}
				cancel()
			}
		})
	}
	wg.Wait()
	assert.Assert(t, ran.Load() > 300, "only %d of 600 ran", ran.Load())
	for _, p := range pools {
		assert.Equal(t, p.InProgress("w0")+p.InProgress("w1"), 0)
		s := p.Status()
		assert.Equal(t, s.Counts.Started, s.Counts.Done)
	}
}

// Guards against new work for a worker that left the view, and against a drain
// that is acknowledged while a request is still in progress on the worker.
func TestWorkerOutOfViewGetsNoWork(t *testing.T) {
	p := startEntries(t, 1, 2, nil)[0]
	g, err := p.Acquire(t.Context(), Request{Class: "hold", Exclude: []string{"w1"}})
	assert.NilError(t, err)
	assert.Equal(t, g.VM, "w0")
	v := testView("e0", []string{"e0"}, 2)
	v.Workers = v.Workers[1:]
	p.SetView(v)
	for range 8 {
		h, err := p.Acquire(t.Context(), Request{Class: "hold"})
		assert.NilError(t, err)
		assert.Equal(t, h.VM, "w1")
	}
	assert.Assert(t, p.Busy("w0"))
	g.Done(Outcome{Verdict: retry.Ran})
	assert.Assert(t, !p.Busy("w0"))
}

// Guards against refusals with a wrong status, and against requests that are queued
// although the pool has no worker.
func TestRefusalStatuses(t *testing.T) {
	p := startEntries(t, 1, 1, nil)[0]
	status := func(r Request) int {
		g, err := p.Acquire(t.Context(), r)
		var refusal *Refusal
		if errors.As(err, &refusal) {
			assert.Assert(t, refusal.RetryAt.After(time.Now()))
			return refusal.Status
		}
		assert.NilError(t, err)
		g.Done(Outcome{Verdict: retry.Ran})
		return 0
	}
	assert.Equal(t, status(Request{Class: "hold", Tenant: "slow"}), 0)
	assert.Equal(t, status(Request{Class: "hold", Tenant: "slow"}), 0)
	assert.Equal(t, status(Request{Class: "hold", Tenant: "slow"}), http.StatusTooManyRequests)
	assert.Equal(t, status(Request{Class: "none"}), http.StatusServiceUnavailable)
	p.SetView(testView("e0", []string{"e0"}, 0))
	assert.Equal(t, status(Request{Class: "hold"}), http.StatusServiceUnavailable)
}

// Guards against a cancelled request that keeps its place in the queue or its slot.
func TestCancelFreesThePlaceAtOnce(t *testing.T) {
	p := startEntries(t, 1, 1, nil)[0]
	grants := make([]*Grant, 0, 8)
	for range 8 {
		g, err := p.Acquire(t.Context(), Request{Class: "list"})
		assert.NilError(t, err)
		grants = append(grants, g)
	}
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error)
	go func() {
		_, err := p.Acquire(ctx, Request{Class: "list"})
		failed <- err
	}()
	for p.Status().Classes[1].Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	assert.ErrorIs(t, <-failed, context.Canceled)
	assert.Equal(t, p.Status().Classes[1].Waiting, 0)
	for _, g := range grants {
		g.Done(Outcome{Verdict: retry.Ran})
	}
	assert.Equal(t, p.InProgress("w0"), 0)
}

// Guards against one message per pool instead of one per owner, and against reports
// that reach the owner of another pool.
func TestSetBatchesPoolsOfOneOwner(t *testing.T) {
	f := &testExchanger{sets: map[string]*Set{}}
	members := []string{"e0", "e1"}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	names := []string{"p0", "p1", "p2", "p3"}
	pools := map[string][]*Pool{}
	for _, m := range members {
		for i, name := range names {
			p := New(Config{Name: name, Policy: slots.Policy{NoPush: true}})
			p.SetView(testView(m, members, i+1))
			pools[m] = append(pools[m], p)
		}
		f.sets[m] = NewSet(SetConfig{Exchanger: f, Pools: pools[m], Self: func() string { return m }})
	}
	for _, s := range f.sets {
		wg.Go(func() { s.Run(ctx) })
	}
	for _, m := range members {
		for i, p := range pools[m] {
			for p.Status().Mode != slots.ModeLeased {
				time.Sleep(time.Millisecond)
			}
			g, err := p.Acquire(t.Context(), Request{Class: "hold"})
			assert.NilError(t, err)
			assert.Assert(t, g.VM <= fmt.Sprint("w", i))
			g.Done(Outcome{Verdict: retry.Ran})
		}
	}
	for f.maxBatch.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, f.sets["e0"].ControlBytesPerS() > 0)
}
