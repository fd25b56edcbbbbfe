package owner

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// startedVM counts the starts that it carries out.
type startedVM struct {
	waitingVM
	starts atomic.Int64
}

func (v *startedVM) Start(pools.Order, time.Time) (pools.Reply, error) {
	v.starts.Add(1)
	return pools.Reply{Kind: pools.Done, ClockMs: clock.BootMs()}, nil
}

// startedVMRegistry lists one such VM.
type startedVMRegistry struct {
	singleVMRegistry
	started startedVM
}

func (p *startedVMRegistry) Client(pools.VM) VMClient { return &p.started }

// TestLastRecordsTakeSeveralBatches guards against a shard that is released as complete while starts are not recorded: at a stop
// by plan one batch was appended, and jobs beyond its size were left out. The next owner would start their items again.
func TestLastRecordsTakeSeveralBatches(t *testing.T) {
	const count = 4
	l := &sharedLog{}
	registry := &startedVMRegistry{}
	r := newTestRun(l, registry, func() *jobs.Catalog {
		return &jobs.Catalog{Queues: []jobs.Queue{{Name: "q", Service: "s"}}, Pools: []jobs.Pool{{Service: "s", EnforcesCapacity: true}}}
	})
	r.o.owning.Store(true)
	r.o.reason = reasonReleased
	ref := strings.Repeat("x", 1<<20) // as large as a batch
	r.writer.limits.RecordBytes = 2 * len(ref)
	for i := range count {
		id := fmt.Sprintf("%016x", i+1)
		job, err := (&jobs.Job{ID: id, Queue: "q", Steps: []jobs.Step{{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 60_000}}}).MarshalMsg(nil)
		assert.NilError(t, err)
		progress, err := (&jobs.Progress{Rev: 1, State: jobs.Running, Items: []jobs.ItemState{{Run: 1, Ref: ref}}}).MarshalMsg(nil)
		assert.NilError(t, err)
		l.records = append(l.records, jobs.Record{Key: jobs.JobKey(id), Value: job}, jobs.Record{Key: jobs.ProgressKey(id), Value: progress})
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan bool, 1)
	go func() { ended <- r.serve(ctx) }()
	for until := time.Now().Add(10 * time.Second); registry.started.starts.Load() < count; time.Sleep(time.Millisecond) {
		r.o.health.confirmedAtMs.Store(clock.BootMs())
		assert.Assert(t, time.Now().Before(until), "%d of %d items start", registry.started.starts.Load(), count)
	}
	stop()
	assert.Assert(t, <-ended, "the records are complete")
	recorded := map[string]string{}
	for _, rec := range l.records {
		var p jobs.Progress
		if rec.Key[0] == jobs.ProgressKey("")[0] {
			_, err := p.UnmarshalMsg(rec.Value)
			assert.NilError(t, err)
			recorded[rec.Key] = p.Items[0].VM
		}
	}
	for key, vm := range recorded {
		assert.Equal(t, vm, "a", "the start of %s is not recorded", key)
	}
}
