package sim

// small returns a class of short jobs with a tight objective, such as lane holds and fee quotes.
func small(perS float64) Class {
	return Class{
		Name: "small", PerS: perS, TurnFactor: 4, TurnMs: 1000, PeriodMs: 4000,
		Steps: 1.6, MaxSteps: 4, Width: 6, MaxWidth: 24, WorkMs: 800, MaxWorkMs: 2000, Spread: 0.5,
		CPU: 3500, MaxCPU: 11_000, MemMB: 7200, MaxMemMB: 22_000, ItemSpread: 0.3, EstimateSpread: 0.2,
		Stretch: 1.6, SLOMs: 600, Worth: 0.477, LateWorth: 0.0337, Attempts: 4,
	}
}

// large returns a class of few jobs with many items, such as draws and renewals.
func large() Class {
	return Class{
		Name: "large", PerS: 0.921, TurnFactor: 4, TurnMs: 1000, PeriodMs: 4000, PhaseMs: 1000,
		Steps: 2, MaxSteps: 5, Width: 8, MaxWidth: 32, WorkMs: 2100, MaxWorkMs: 5200, Spread: 0.5,
		CPU: 7700, MaxCPU: 23_000, MemMB: 22_000, MaxMemMB: 66_000, ItemSpread: 0.3, EstimateSpread: 0.5, CheckpointShare: 0.8,
		Stretch: 1.6, SLOMs: 600, Worth: 4.59, LateWorth: 0.324, Priority: 1, Attempts: 3, Poison: 0.01, Cancelled: 0.05,
	}
}

const (
	poolCPU    = 64_000  // thousandths of a core
	poolMemMB  = 262_144 // 256 GB
	scenarioMs = 34_000  // time of the arrivals
	rackSize   = 4
)

// Scenarios returns the standard scenarios with a seed. Their load and their faults are those in the users' sheets.
func Scenarios(seed uint64) []Spec {
	base := func(name string, vms int, c ...Class) Spec {
		return Spec{Name: name, Seed: seed, VMs: vms, CPU: poolCPU, MemMB: poolMemMB, Rack: rackSize, ForMs: scenarioMs, Classes: c, Serving: 2}
	}
	turns := base("turns of small jobs", 8, small(7.86))
	wide := base("turns of large jobs", 9, large())
	flood := base("burst of small jobs", 8, small(7.86))
	flood.Bursts = []Burst{{Class: "small", Factor: 2, FromMs: 8000, ToMs: 13_000}}
	heavy := base("burst of large jobs", 9, large())
	heavy.Bursts = []Burst{{Class: "large", Factor: 2.6, FromMs: 4000, ToMs: 9000}}
	dark := base("rack dark", 8, small(7.86))
	dark.Dark = []Outage{{VMs: []int{0, 1, 2, 3}, FromMs: 9000, ToMs: 15_000}}
	slow := base("slow VMs", 8, small(7.86))
	slow.Slow = []Slow{{VMs: []int{2, 5}, Factor: 6, FromMs: 6000, ToMs: 13_000}}
	grey := base("VMs that fail all they start", 8, small(7.86))
	grey.Grey = []Grey{{VMs: []int{1}, FromMs: 6000, ToMs: 13_000}}
	hang := base("VMs on which work stands still", 9, large())
	hang.Grey = []Grey{{VMs: []int{1}, Hang: true, FromMs: 6000, ToMs: 12_000}}
	lost := base("owner lost three times", 8, small(7.86))
	lost.OwnersLost = []int64{5000, 9000, 17_000}
	late := base("orders without an answer", 8, small(7.86))
	late.LostOrders = 0.05
	both := base("orders without an answer, owner lost, VMs dark", 9, large(), small(4))
	both.LostOrders = 0.04
	both.OwnersLost = []int64{4000, 9300, 21_000}
	both.Dark = []Outage{{VMs: []int{1, 2}, FromMs: 8800, ToMs: 13_000}, {VMs: []int{5}, FromMs: 20_000, ToMs: 24_000}}
	return []Spec{lost, late, both, turns, wide, flood, heavy, dark, slow, grey, hang}
}
