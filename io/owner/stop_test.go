package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/core/shard"
	"sassafrasvalve/io/stats"
	"sassafrasvalve/io/tail"
)

// patientVM holds looks back as long as they allow, as a VM does of which nothing ends.
type patientVM struct {
	silentVM
	asked atomic.Int64
}

func (v *patientVM) Poll(l pools.PollRequest, _ time.Time) (pools.PollReply, error) {
	v.asked.Add(1)
	time.Sleep(time.Duration(l.WaitMs) * time.Millisecond)
	return pools.PollReply{Kind: pools.Done, ClockMs: clock.BootMs()}, nil
}

// onePool is a pool of one VM.
type onePool struct{ vm patientVM }

func (p *onePool) Watch(chan<- struct{}) func() { return func() {} }

func (p *onePool) VMs() ([]pools.VM, int64) {
	return []pools.VM{{ID: "a", Service: "s", Addr: "x", CPU: 1000, MemMB: 1000}}, 1
}

func (p *onePool) Client(pools.VM) VMClient { return &p.vm }

// TestReleaseDoesNotWaitForLooks guards against a pool that stands still at a planned stop: the shard was released only once all
// polls and questions under way were answered, which takes up to 1.2 s for a poll and 4 s for a question to the policy.
func TestReleaseDoesNotWaitForLooks(t *testing.T) {
	const most = 200 * time.Millisecond // beside the append of the last records; a caller's objective is 600 ms
	l := &sharedLog{}
	pool := &onePool{}
	roster := tail.NewDirectory(l, false, zap.NewNop())
	o := New(Config{Member: "e1#1", Service: "s", Store: l, Directory: roster, Log: zap.NewNop(), Stats: stats.New()})
	o.health.confirmed.Store(clock.BootMs())
	r := newRun(PoolConfig{
		Service: "s", Registry: pool, Catalog: func() *jobs.Catalog { return &jobs.Catalog{} }, Stats: stats.New(),
		ListMachines: func(time.Time) ([]pools.Machine, error) { return nil, nil },
		ReportDemand: func(string, jobs.DemandReport) {}, VMsToVacate: func() []string { return nil }, Engine: shard.Config{StatusRetentionMs: 1000},
	}, o)
	r.writer.store = l
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan time.Time, 1)
	go func() {
		r.serve(ctx)
		ended <- time.Now()
	}()
	for until := time.Now().Add(5 * time.Second); pool.vm.asked.Load() < 2; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the VM is not asked")
	}
	stop()
	stopped := time.Now()
	assert.Assert(t, (<-ended).Sub(stopped) < most+appendTakes, "the work goes on for %v", time.Since(stopped))
}
