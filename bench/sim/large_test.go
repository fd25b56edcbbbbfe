package sim

import "testing"

// largePool is a scenario with 250 VMs and, in the turn of its class, 120 jobs per second.
func largePool(seed uint64) Spec {
	c := small(30)
	c.TurnMs, c.PeriodMs, c.Width, c.CPU = 8000, 34_000, 8, 6200
	return Spec{
		Name: "turn of a large pool", Seed: seed, VMs: 250, CPU: poolCPU, MemMB: poolMemMB, Rack: 12, ForMs: 9000,
		Classes: []Class{c}, Serving: 2,
	}
}

// BenchmarkLargePool measures the owner's decisions in a large pool. The time includes that of the simulated VMs.
func BenchmarkLargePool(b *testing.B) {
	for range b.N {
		New(largePool(1)).Run()
	}
}
