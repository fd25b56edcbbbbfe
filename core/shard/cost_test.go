package shard

import (
	"fmt"
	"testing"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/fake/pool"
)

// Load of the benchmark: the jobs of a pool in its turn, and the pace at which its owner follows them.
const (
	costTurnMs  = 10
	costItems   = 8
	costItemMs  = 640
	costItemCPU = 8900
	costItemMB  = 33_000
)

// loadedPool is an engine with a pool of VMs that carry its orders out.
type loadedPool struct {
	e      *Engine
	now    int64
	ids    []string
	vms    map[string]*pool.VM
	nextAt map[string]int64 // of the next poll
	owed   int              // jobs in thousandths
	n      int              // jobs handed in
	ended  int
}

func newLoadedPool(vms int) *loadedPool {
	catalog := &jobs.Catalog{Queues: []jobs.Queue{{Name: "q", Service: "s", Stretch: 1.6, SLOMs: 600, Attempts: 4}}}
	c := &loadedPool{
		e:   New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, catalog, 1),
		now: 1, vms: map[string]*pool.VM{}, nextAt: map[string]int64{},
	}
	var list []pools.VM
	for i := range vms {
		v := pools.VM{
			ID: fmt.Sprintf("i-%06x", i*7919), Service: "s", Addr: "x", Labels: []string{"a", fmt.Sprintf("r1-%d", i/12)}, CPU: 64_000, MemMB: 262_144,
		}
		w := pool.New(v, 0)
		w.Outlook = func(pools.Order) (int64, bool, jobs.Step) {
			return costItemMs, false, jobs.Step{CPU: costItemCPU, MemMB: costItemMB}
		}
		w.OnEnd = func(*pool.VM, *pool.Run, pools.EndKind) { c.ended++ }
		c.vms[v.ID] = w
		c.ids = append(c.ids, v.ID)
		list = append(list, v)
	}
	c.e.SetVMs(list, c.now)
	return c
}

// turn has jobs come at a rate a second, and lets the engine and the VMs do what is due.
func (c *loadedPool) turn(rate int) {
	c.now += costTurnMs
	for c.owed += rate * costTurnMs; c.owed >= 1000; c.owed -= 1000 {
		c.n++
		c.e.Submit(&jobs.StoredJob{Job: &jobs.Job{
			ID: fmt.Sprintf("%016x", c.n), Queue: "q", Spec: "x", AcceptedMs: c.now,
			Steps: []jobs.Step{
				{Count: costItems, CPU: costItemCPU, MemMB: costItemMB, EstimateMs: costItemMs},
			},
		}}, c.now, c.now)
	}
	c.e.MarkOwnershipConfirmed(c.now)
	c.e.MarkStoreReachable(c.now)
	c.e.Step(c.now, c.now)
	c.send(c.e.TakeOrders())
	if b, err := c.e.NextBatch(); err == nil && b != nil {
		c.send(c.e.HandleBatchStored(b, c.now))
	}
	for _, id := range c.ids {
		v := c.vms[id]
		if c.now < c.nextAt[id] && !v.Pending(c.e.vms[id].acked) {
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

func (c *loadedPool) send(orders []pools.Order) {
	for _, o := range orders {
		c.e.HandleOrderReply(o, c.vms[o.VM].Do(o, c.now), c.now)
	}
}

// BenchmarkItems measures the processor time of an owner for each item that is started and ended. It guards against
// work for an item that grows with the number of VMs or of runs.
func BenchmarkItems(b *testing.B) {
	for _, s := range []struct{ vms, rate int }{{100, 80}, {400, 80}, {400, 320}, {1100, 80}, {1100, 800}} {
		b.Run(fmt.Sprintf("vms=%d/jobs=%d", s.vms, s.rate), func(b *testing.B) {
			c := newLoadedPool(s.vms)
			for range 200 {
				c.turn(s.rate)
			}
			begun := c.ended
			for b.Loop() {
				c.turn(s.rate)
			}
			items := max(c.ended-begun, 1)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(items), "ns/item")
			b.ReportMetric(float64(len(c.e.jobs)), "jobs")
			b.ReportMetric(float64(c.e.Counts(c.now).Runs), "runs")
		})
	}
}
