// Package sim plays the owner's decisions against stand-in VMs on a simulated clock, without a network.
package sim

import (
	"math"
	"math/rand/v2"

	"sassafrasvalve/core/jobs"
)

// Class is a kind of request.
type Class struct {
	Name      string
	PerS      float64 // mean arrivals a second
	Turn      float64 // times its mean while it is this class's turn; 0 means steady arrivals
	TurnMs    int64   // length of a turn
	PeriodMs  int64   // from one turn to the next
	PhaseMs   int64
	Steps     float64 // mean, at most MaxSteps
	MaxSteps  int
	Width     float64 // work items of a step, mean
	MaxWidth  int
	WorkMs    float64
	MaxWorkMs float64
	CPU       float64
	MaxCPU    float64
	MemMB     float64
	MaxMemMB  float64
	Uneven    float64 // spread between the items of a step
	EstOff    float64 // spread of the estimates
	Spread    float64
	Saves     float64 // share of jobs with checkpoints
	Stretch   float64
	SLOMs     int64
	Worth     float64
	LateWorth float64
	Priority  int
	Attempts  int
	Poison    float64 // share of jobs that can never be done
	Cancelled float64 // share of jobs that are cancelled soon
}

// Burst multiplies a class's arrivals for a time.
type Burst struct {
	Class  string
	Times  float64
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
	Rack    int // VMs a rack
	ForMs   int64
	Classes []Class
	Bursts  []Burst
	Dark    []Outage // VMs that are lost
	Slow    []Slow
	Grey    []Grey
	Serving int // lasting jobs of 5 items
	// OwnersLost are times at which the owner is gone without a word; the next one takes over TakeoverMs later.
	OwnersLost []int64
	LostOrders float64 // share of orders that bring no answer; half of them are carried out, late
}

// Outage takes VMs away for a time; they come back as new lifetimes.
type Outage struct {
	VMs          []int
	FromMs, ToMs int64
}

// Slow makes VMs slow for a time.
type Slow struct {
	VMs          []int
	Times        float64
	FromMs, ToMs int64
}

// Grey makes VMs fail or hang all that they start for a time.
type Grey struct {
	VMs          []int
	Hang         bool
	FromMs, ToMs int64
}

// gen draws jobs.
type gen struct {
	rng *rand.Rand
}

// around draws a positive number with a mean and a relative spread, at most limit.
func (g gen) around(mean, spread, limit float64) float64 {
	if mean <= 0 {
		return 0
	}
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	x := mean * math.Exp(sigma*g.rng.NormFloat64()-sigma*sigma/2)
	return min(x, limit)
}

// drawn is a job with what is true of it and the caller does not know.
type drawn struct {
	job     *jobs.Job
	class   *Class
	work    map[jobs.Item]int64
	poison  bool
	chainMs int64
	coreMs  int64
	worth   float64
	atMs    int64 // handed in
	cancel  int64 // 0 unless it will be cancelled then
	doneMs  int64 // 0 until it is shown as over
	failed  bool
}

// objective is the time in which the job should be complete.
func (d *drawn) objective() int64 { return int64(d.class.Stretch*float64(d.chainMs)) + d.class.SLOMs }

// job draws one job of a class.
func (g gen) job(id string, c *Class, at int64) *drawn {
	steps := int(math.Round(g.around(c.Steps, 0.4, float64(c.MaxSteps))))
	steps = max(steps, 1)
	d := &drawn{class: c, work: map[jobs.Item]int64{}, atMs: at, poison: g.rng.Float64() < c.Poison}
	j := &jobs.Job{ID: id, Queue: c.Name, Service: "pool", Spec: "x", AcceptedMs: at}
	saves := g.rng.Float64() < c.Saves
	cpu := math.Round(g.around(c.CPU, 0.45, c.MaxCPU))
	mem := math.Round(g.around(c.MemMB, 0.6, c.MaxMemMB))
	for s := range steps {
		width := max(int(math.Round(g.around(c.Width, 0.6, float64(c.MaxWidth)))), 1)
		work := g.around(c.WorkMs, c.Spread, c.MaxWorkMs)
		step := jobs.Step{
			Count: width, CPU: int64(cpu), MemMB: int64(mem), Checkpoint: saves,
			EstimateMs: int64(g.around(work, c.EstOff, 10*work)),
		}
		if s > 0 {
			step.After = []int{s - 1}
		}
		var longest int64
		for i := range width {
			w := int64(max(g.around(work, c.Uneven, 3*work), 1))
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
