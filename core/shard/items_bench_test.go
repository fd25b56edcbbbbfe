package shard

import (
	"fmt"
	"testing"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/fake/pool"
)

// Load of the benchmark, and the interval between two calls of Step.
const (
	benchTickMs      = 10
	benchItemsPerJob = 8
	benchItemMs      = 640
	benchItemCPU     = 8900
	benchItemMemMB   = 33_000
)

// benchPool is an engine with simulated VMs that execute its orders.
type benchPool struct {
	e            *Engine
	now          int64
	ids          []string
	vms          map[string]*pool.VM
	nextAt       map[string]int64 // time of the next poll
	dueMilliJobs int              // jobs due for submission, in thousandths of a job
	submitted    int              // submitted jobs
	ended        int
}

func newBenchPool(vms int) *benchPool {
	catalog := &jobs.Catalog{Queues: []jobs.Queue{{Name: "q", Service: "s", Stretch: 1.6, SLOMs: 600, MaxAttempts: 4}}}
	c := &benchPool{
		e:   New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, catalog, 1),
		now: 1, vms: map[string]*pool.VM{}, nextAt: map[string]int64{},
	}
	var list []pools.VM
	for i := range vms {
		v := pools.VM{
			ID: fmt.Sprintf("i-%06x", i*7919), Service: "s", Addr: "x", Labels: []string{"a", fmt.Sprintf("r1-%d", i/12)}, CPU: 64_000, MemMB: 262_144,
		}
		w := pool.New(v, 0)
		w.PlanRun = func(pools.Order) (int64, bool, jobs.Step) {
			return benchItemMs, false, jobs.Step{CPU: benchItemCPU, MemMB: benchItemMemMB}
		}
		w.OnEnd = func(*pool.VM, *pool.Run, pools.EndKind) { c.ended++ }
		c.vms[v.ID] = w
		c.ids = append(c.ids, v.ID)
		list = append(list, v)
	}
	c.e.SetVMs(list, c.now)
	return c
}

// tick submits jobs at a rate per second, calls Step, and lets the VMs execute orders and answer polls.
func (c *benchPool) tick(rate int) {
	c.now += benchTickMs
	for c.dueMilliJobs += rate * benchTickMs; c.dueMilliJobs >= 1000; c.dueMilliJobs -= 1000 {
		c.submitted++
		c.e.Submit(&jobs.StoredJob{Job: &jobs.Job{
			ID: fmt.Sprintf("%016x", c.submitted), Queue: "q", Spec: "x", AcceptedMs: c.now,
			Steps: []jobs.Step{
				{Count: benchItemsPerJob, CPU: benchItemCPU, MemMB: benchItemMemMB, EstimateMs: benchItemMs},
			},
		}}, c.now, c.now)
	}
	c.e.MarkOwnershipConfirmed(c.now)
	c.e.MarkStoreReachable(c.now)
	c.e.Advance(c.now, c.now)
	c.send(c.e.TakeOrders())
	if b, err := c.e.NextBatch(); err == nil && b != nil {
		c.send(c.e.HandleBatchStored(b, c.now))
	}
	for _, id := range c.ids {
		v := c.vms[id]
		if c.now < c.nextAt[id] && !v.Pending(c.e.vms[id].ackedSeq) {
			continue
		}
		call, ok := c.e.NextPoll(id, c.now)
		if !ok {
			continue
		}
		c.nextAt[id] = c.now + call.WaitMs
		c.e.HandlePollReply(id, v.Poll(call, c.now), c.now, c.now)
	}
	c.e.TakeEvents()
}

func (c *benchPool) send(orders []pools.Order) {
	for _, o := range orders {
		c.e.HandleOrderReply(o, c.vms[o.VM].Do(o, c.now), c.now)
	}
}

// BenchmarkItems measures the CPU time of an owner for each item that starts and ends. It guards against a cost per
// item that grows with the number of VMs or runs.
func BenchmarkItems(b *testing.B) {
	for _, s := range []struct{ vms, rate int }{{100, 80}, {400, 80}, {400, 320}, {1100, 80}, {1100, 800}, {400, 640}} {
		b.Run(fmt.Sprintf("vms=%d/jobs=%d", s.vms, s.rate), func(b *testing.B) {
			c := newBenchPool(s.vms)
			for range 200 {
				c.tick(s.rate)
			}
			endedBefore := c.ended
			for b.Loop() {
				c.tick(s.rate)
			}
			items := max(c.ended-endedBefore, 1)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(items), "ns/item")
			b.ReportMetric(float64(len(c.e.jobs)), "jobs")
			b.ReportMetric(float64(c.e.Counts(c.now).Runs), "runs")
		})
	}
}
