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
	"sassafrasvalve/core/quota"
	"sassafrasvalve/core/shard"
	"sassafrasvalve/io/stats"
	"sassafrasvalve/io/tail"
)

// waitingVM replies to each poll after the full requested wait, as a VM does when no run ends.
type waitingVM struct {
	silentVM
	polls atomic.Int64
}

func (v *waitingVM) Poll(l pools.PollRequest, _ time.Time) (pools.PollReply, error) {
	v.polls.Add(1)
	time.Sleep(time.Duration(l.WaitMs) * time.Millisecond)
	return pools.PollReply{Kind: pools.Done, ClockMs: clock.BootMs()}, nil
}

// singleVMRegistry lists one VM.
type singleVMRegistry struct{ vm waitingVM }

func (p *singleVMRegistry) Watch(chan<- struct{}) func() { return func() {} }

func (p *singleVMRegistry) VMs() ([]pools.VM, int64) {
	return []pools.VM{{ID: "a", Service: "s", Addr: "x", CPU: 1000, MemMB: 1000}}, 1
}

func (p *singleVMRegistry) Client(pools.VM) VMClient { return &p.vm }

// noAllocation is an Allocation without an allocator.
type noAllocation struct{}

func (noAllocation) Allowance(context.Context, quota.Report) (quota.Grant, error) {
	return quota.Grant{}, nil
}

func (noAllocation) AllocatorEpoch() int64 { return 0 }

// newTestRun returns a run of a pool whose shard this process owns.
func newTestRun(l Store, registry VMRegistry, catalog func() *jobs.Catalog) *poolRun {
	directory := tail.NewDirectory(l, false, zap.NewNop())
	o := New(Config{Member: "e1#1", Service: "s", Store: l, Directory: directory, Log: zap.NewNop(), Stats: stats.New()})
	o.health.confirmedAtMs.Store(clock.BootMs())
	r := newPoolRun(PoolConfig{
		Service: "s", Registry: registry, Catalog: catalog, Stats: stats.New(),
		ListMachines: func(time.Time) ([]pools.Machine, error) { return nil, nil },
		ReportDemand: func(string, jobs.DemandReport) {}, VMsToVacate: func() []string { return nil }, JoinMs: func() int64 { return 0 },
		VMLimit: func(string) int { return 0 }, FleetVMs: func() int { return 0 },
		AccountStates: &AccountStates{}, CatalogFresh: func() bool { return true }, Allocation: noAllocation{},
		Engine: shard.Config{StatusRetentionMs: 1000},
	}, o)
	r.writer.store = l
	return r
}

// TestReleaseDoesNotWaitForPolls guards against a pool that stalls at a planned stop because its shard is released only
// after all polls and policy queries in progress have ended. A poll takes up to 1.2 s and a policy query up to 4 s.
func TestReleaseDoesNotWaitForPolls(t *testing.T) {
	const maxStop = 200 * time.Millisecond // without the append of the last records; a caller's objective is 600 ms
	l := &sharedLog{}
	pool := &singleVMRegistry{}
	r := newTestRun(l, pool, func() *jobs.Catalog { return &jobs.Catalog{} })
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan time.Time, 1)
	go func() {
		r.serve(ctx)
		ended <- time.Now()
	}()
	for until := time.Now().Add(5 * time.Second); pool.vm.polls.Load() < 2; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the VM is not polled")
	}
	stop()
	stopped := time.Now()
	assert.Assert(t, (<-ended).Sub(stopped) < maxStop+appendDuration, "the pool still runs %v after the stop", time.Since(stopped))
}
