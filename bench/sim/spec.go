// Package sim runs the owner's decisions against fake VMs on a simulated clock, without a network.
package sim

import (
	"math"
	"math/rand/v2"

	"sassafrasvalve/core/jobs"
)

// Class describes a class of jobs by the distributions of their sizes. A spread is a relative standard deviation.
type Class struct {
	Name            string
	Service         string  // empty for the only service of a scenario
	PerS            float64 // mean arrivals per second
	TurnFactor      float64 // factor on PerS at the height of a turn of the class; 0 means a constant rate
	TurnMs          int64   // length of a turn
	PeriodMs        int64   // time from the start of a turn to the start of the next
	PhaseMs         int64   // start of the first turn
	Steps           float64 // mean number of steps, at most MaxSteps
	MaxSteps        int
	Width           float64 // mean number of items of a step, at most MaxWidth
	MaxWidth        int
	WorkMs          float64 // mean run time of a step's items, at most MaxWorkMs
	MaxWorkMs       float64
	CPU             float64 // mean, in thousandths of a core, at most jobs.MaxMilliCPU
	MaxCPU          float64
	MemMB           float64 // mean, at most MaxMemMB
	MaxMemMB        float64
	ItemSpread      float64 // spread of the run times within a step
	EstimateSpread  float64 // spread of the estimates around the run time
	Spread          float64 // spread of the run times between steps
	LongShare       float64 // fraction of steps whose run time is multiplied by LongFactor
	LongFactor      float64
	CheckpointShare float64 // fraction of jobs with checkpoints
	Stretch         float64 // factor on the run time of the job's longest items in the objective
	SLOMs           int64   // constant part of the objective
	Worth           float64 // of a job that is complete within its objective
	LateWorth       float64 // of a job that is complete later, up to maxLateFactor objectives
	Priority        int
	Attempts        int
	Poison          float64 // fraction of jobs whose runs always fail
	Cancelled       float64 // fraction of jobs that are cancelled soon after the submission
}

// Burst multiplies the arrival rate of a class by Factor from FromMs to ToMs.
type Burst struct {
	Class  string
	Factor float64
	FromMs int64
	ToMs   int64
}

// Spec is a scenario.
type Spec struct {
	Name    string
	Seed    uint64
	VMs     int
	CPU     int64
	MemMB   int64
	Rack    int   // VMs per rack
	ForMs   int64 // time in which jobs arrive
	Classes []Class
	Bursts  []Burst
	Dark    []Outage
	Slow    []Slow
	Grey    []Grey
	Serving int // number of persistent jobs of each service, with lastingCount items each
	// LastingCPU, LastingMemMB and LastingPerVM describe an item of these jobs; 0 stands for the defaults.
	LastingCPU, LastingMemMB int64
	LastingPerVM             int
	// OwnersLost are the times in ms at which the owner is lost without notice. The next owner takes over takeoverMs
	// later.
	OwnersLost  []int64
	LostOrders  float64 // fraction of orders without a reply; half of them are executed late
	StoreDown   []Span  // times in which the store refuses all calls
	StopDelayMs int64   // time that a VM takes to stop a run, 0 for that of the fake
	Site        *Site   // machines that change their pool; nil if all VMs serve the only service
}

// Span is a time from FromMs to ToMs.
type Span struct {
	FromMs, ToMs int64
}

// Outage makes VMs unavailable from FromMs to ToMs. They come back with a new lifetime.
type Outage struct {
	VMs          []int
	FromMs, ToMs int64
}

// Slow multiplies the run times of runs that start on the VMs from FromMs to ToMs by Factor.
type Slow struct {
	VMs          []int
	Factor       float64
	FromMs, ToMs int64
}

// Grey makes the runs that start on the VMs from FromMs to ToMs fail, or hang if Hang is set.
type Grey struct {
	VMs          []int
	Hang         bool
	FromMs, ToMs int64
}

// generator generates random jobs.
type generator struct {
	rng *rand.Rand
}

// around draws a value from a log-normal distribution with a mean and a relative spread, at most limit.
func (g generator) around(mean, spread, limit float64) float64 {
	if mean <= 0 {
		return 0
	}
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	x := mean * math.Exp(sigma*g.rng.NormFloat64()-sigma*sigma/2)
	return min(x, limit)
}

// generatedJob is a job with its actual run times, which the caller does not know, and its result.
type generatedJob struct {
	job     *jobs.Job
	class   *Class
	work    map[jobs.Item]int64 // run time in ms by item
	poison  bool                // all its runs fail
	chainMs int64               // sum over the steps of the run time of the longest item
	coreMs  int64               // core-milliseconds of all items
	worth   float64
	atMs    int64 // time of the submission
	cancel  int64 // time of the cancellation in ms, or 0
	doneMs  int64 // time at which callers see the final state, or 0
	failed  bool
	refused bool // all requests of its caller were refused
}

// objective returns the time in ms within which the job should be complete.
func (d *generatedJob) objective() int64 {
	return int64(d.class.Stretch*float64(d.chainMs)) + d.class.SLOMs
}

// job generates a job of a class that is submitted at time at in ms.
func (g generator) job(id string, c *Class, at int64) *generatedJob {
	steps := int(math.Round(g.around(c.Steps, 0.4, float64(c.MaxSteps))))
	steps = max(steps, 1)
	d := &generatedJob{class: c, work: map[jobs.Item]int64{}, atMs: at, poison: g.rng.Float64() < c.Poison}
	j := &jobs.Job{ID: id, Queue: c.Name, Service: c.Service, Spec: "x", AcceptedMs: at}
	saves := g.rng.Float64() < c.CheckpointShare
	cpu := math.Round(g.around(c.CPU, 0.45, c.MaxCPU))
	mem := math.Round(g.around(c.MemMB, 0.6, c.MaxMemMB))
	for s := range steps {
		width := max(int(math.Round(g.around(c.Width, 0.6, float64(c.MaxWidth)))), 1)
		work := g.around(c.WorkMs, c.Spread, c.MaxWorkMs)
		if c.LongShare > 0 && g.rng.Float64() < c.LongShare {
			work = min(work*c.LongFactor, c.MaxWorkMs)
		}
		step := jobs.Step{
			Count: width, CPU: int64(cpu), MemMB: int64(mem), Checkpoint: saves,
			EstimateMs: int64(g.around(work, c.EstimateSpread, 10*work)),
		}
		if s > 0 {
			step.After = []int{s - 1}
		}
		var longest int64
		for i := range width {
			w := int64(max(g.around(work, c.ItemSpread, 3*work), 1))
			d.work[jobs.Item{Step: s, Index: i}] = w
			longest = max(longest, w)
			d.coreMs += w * step.CPU / 1000
		}
		d.chainMs += longest
		j.Steps = append(j.Steps, step)
	}
	d.job = j
	if g.rng.Float64() < c.Cancelled {
		d.cancel = at + 100 + g.rng.Int64N(1500)
	}
	return d
}
