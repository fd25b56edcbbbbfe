package sim

import "testing"

// largePool is a grown pool in the turn of its queue: 250 VMs and 120 jobs a second.
func largePool(seed uint64) Spec {
	c := small(30)
	c.TurnMs, c.PeriodMs, c.Width, c.CPU = 8000, 34_000, 8, 6200
	return Spec{
		Name: "turn of a large pool", Seed: seed, VMs: 250, CPU: poolCPU, MemMB: poolMemMB, Rack: 12, ForMs: 9000,
		Classes: []Class{c}, Serving: 2,
	}
}

// BenchmarkLargePool measures the owner's decisions in a grown pool, with the stand-ins' share.
func BenchmarkLargePool(b *testing.B) {
	for range b.N {
		New(largePool(1)).Run()
	}
}
