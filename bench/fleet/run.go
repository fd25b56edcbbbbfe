package fleet

import (
	"fmt"
	"io"
	"slices"
	"time"

	fold "sassafrasvalve/core/fleet"
	"sassafrasvalve/core/plan"
)

// Config selects the experiments.
type Config struct {
	Shapes      []string // names; empty or "all" means all
	Experiments []string // rollout, buffer, baseline, image, days; empty or "all" means all
	Planners    []string // names; empty or "all" means all
	Spares      int      // VMs of the spare pool of a region; 0 means as the installation has
	Seeds       int      // runs of each line, from seed 1
	Days        int      // length of the experiment days
	CSV         io.Writer
}

// Row is a line of results, summed up over the seeds.
type Row struct {
	Experiment string
	Shape      string
	Planner    string
	Spares     int
	Minutes    float64 // mean duration of the roll-out
	Worst      float64 // longest, in minutes
	Bound      float64 // lower bound, in minutes
	Moves      float64 // moves a run, or a day
	Lost       float64 // VMs that failed, a run
	MaxOut     int     // most VMs out by plan at once
	OutHours   float64 // VMs out by plan, times hours
	Below      float64 // minutes below a budget because of failures, summed over the pools
	Rejected   float64 // records that the fold rejected
	Undone     int     // moves undone within a minute
	Faults     int     // budget broken by a voluntary record, or VM not in one pool
	Unfinished int     // runs that did not end
}

// Ratio returns the mean duration over the lower bound.
func (r Row) Ratio() float64 {
	if r.Bound == 0 {
		return 0
	}
	return r.Minutes / r.Bound
}

// entrant is a planner under comparison.
type entrant struct {
	name            string
	cfg             plan.Config
	batch, maxBatch int
	swept           bool // takes part in the curve over spare VMs
}

// noLimit is a batch that only the budgets bound.
const noLimit = 1_000

func entrants() []entrant {
	return []entrant{
		{"double", plan.Config{Growth: plan.GrowDouble}, 1, noLimit, true},
		{"double+lend", plan.Config{Growth: plan.GrowDouble, WaveSpares: 3, SpareReserve: 1}, 1, noLimit, true},
		{"double-4+lend", plan.Config{Growth: plan.GrowDouble, WaveSpares: 3, SpareReserve: 1}, 4, noLimit, true},
		{"quad-4+lend", plan.Config{Growth: plan.GrowDouble, GrowthFactor: 4, WaveSpares: 3, SpareReserve: 1}, 4, noLimit, false},
		{"none+lend", plan.Config{Growth: plan.GrowNone, WaveSpares: 3, SpareReserve: 1}, 1, noLimit, false},
		{"none", plan.Config{Growth: plan.GrowNone}, 1, noLimit, false},
		{"constant-4", plan.Config{Growth: plan.GrowConstant}, 4, 4, false},
		{"one", plan.Config{Growth: plan.GrowSerial}, 1, noLimit, false},
		{"percent", plan.Config{Growth: plan.GrowPercent}, 1, noLimit, false},
	}
}

func chosen(all []string, name string) bool {
	return len(all) == 0 || slices.Contains(all, "all") || slices.Contains(all, name)
}

// Run writes the results of the experiments as a table to w and as CSV to cfg.CSV if set.
// It returns an error if a budget was broken by a voluntary record at any offset.
func Run(w io.Writer, cfg Config) error {
	rows := Rows(cfg)
	if err := writeTable(w, rows); err != nil {
		return err
	}
	if cfg.CSV != nil {
		if err := writeCSV(cfg.CSV, rows); err != nil {
			return err
		}
	}
	for _, r := range rows {
		if r.Faults > 0 {
			return fmt.Errorf("%s, %s, planner %s: %d records broke a budget or the pools", r.Experiment, r.Shape, r.Planner, r.Faults)
		}
	}
	return nil
}

// Rows runs the experiments.
func Rows(cfg Config) []Row {
	var rows []Row
	for _, s := range Shapes() {
		if !chosen(cfg.Shapes, s.Name) {
			continue
		}
		if cfg.Spares > 0 {
			s.Spares = cfg.Spares
		}
		for _, x := range []struct {
			name string
			run  func(Shape, Config) []Row
		}{{"rollout", rollout}, {"buffer", buffer}, {"image", image}, {"days", days}} {
			if chosen(cfg.Experiments, x.name) {
				rows = append(rows, x.run(s, cfg)...)
			}
		}
	}
	return rows
}

// rollout compares the planners on a wave over all pools.
func rollout(s Shape, cfg Config) []Row {
	rows := make([]Row, 0, len(entrants()))
	for _, e := range entrants() {
		if chosen(cfg.Planners, e.name) {
			rows = append(rows, wave("rollout", s, e, cfg, runConfig{}))
		}
	}
	return rows
}

// buffer is the curve of the roll-out time over the number of spare VMs.
func buffer(s Shape, cfg Config) []Row {
	steps := []int{0, 1, 2, 3, 4, 6, 8, 12}
	if s.workers() > 100 {
		steps = []int{0, 4, 8, 12, 16, 24, 32}
	}
	rows := make([]Row, 0, len(entrants())*len(steps))
	for _, n := range steps {
		s.Spares = n
		for _, e := range entrants() {
			if e.swept && chosen(cfg.Planners, e.name) {
				rows = append(rows, wave("buffer", s, e, cfg, runConfig{}))
			}
		}
	}
	return rows
}

// image counts the VMs that a bad maintenance takes before the wave stops.
func image(s Shape, cfg Config) []Row {
	rows := make([]Row, 0, len(entrants()))
	for _, e := range entrants() {
		if !chosen(cfg.Planners, e.name) {
			continue
		}
		rows = append(rows, wave("image", s, e, cfg, runConfig{badImage: true}))
	}
	return rows
}

// longestWave bounds a run.
const longestWave = 10 * 24 * time.Hour

// imageTail is longer than the deadlines of a drain and a reboot together.
const imageTail = 30 * time.Minute

func wave(experiment string, s Shape, e entrant, cfg Config, rc runConfig) Row {
	row := Row{Experiment: experiment, Shape: s.Name, Planner: e.name, Spares: s.Spares}
	row.Bound = s.lowerBound(e.maxBatch, e.cfg.WaveSpares).Minutes()
	for seed := range cfg.Seeds {
		rc.shape, rc.planner, rc.seed, rc.batch, rc.maxBatch = s, e.cfg, uint64(seed+1), e.batch, e.maxBatch
		w := newWorld(rc)
		w.startWave()
		w.run(longestWave, func() bool { return w.st.Waves[waveID].Phase != fold.Running })
		if rc.badImage {
			// Also the VMs that were rebooting when the wave stopped do not come back.
			w.run(w.now.Sub(w.start)+imageTail, func() bool { return false })
		}
		row.add(w, cfg.Seeds)
		if rc.badImage == (w.st.Waves[waveID].Phase == fold.Done) {
			row.Unfinished++
		}
	}
	return row
}

const waveID = "w"

func (w *world) startWave() {
	pools := make([]string, 0, len(w.st.Config.Fleet.Pools))
	for _, p := range w.st.Config.Fleet.Pools {
		pools = append(pools, p.Name)
	}
	w.apply(fold.Record{Kind: fold.KindWave, Wave: &fold.WaveChange{
		ID: waveID, Action: fold.WavePlan, Pools: pools, Batch: w.cfg.batch, MaxBatch: w.cfg.maxBatch,
	}})
	w.apply(fold.Record{Kind: fold.KindWave, Wave: &fold.WaveChange{ID: waveID, Action: fold.WaveStart}})
}

// days counts the moves under ordinary failures and rotating floods.
func days(s Shape, cfg Config) []Row {
	planners := []entrant{
		{name: "at-once", cfg: plan.Config{ReplaceAfter: time.Second, ReplaceUrgent: time.Second}},
		{name: "after-2m", cfg: plan.Config{ReplaceAfter: 2 * time.Minute}},
		{name: "after-5m", cfg: plan.Config{}},
		{name: "after-5m-patient", cfg: plan.Config{ReplaceUrgent: 5 * time.Minute}},
		{name: "after-15m", cfg: plan.Config{ReplaceAfter: 15 * time.Minute}},
	}
	rows := make([]Row, 0, len(planners))
	for _, e := range planners {
		if !chosen(cfg.Planners, e.name) {
			continue
		}
		row := Row{Experiment: "days", Shape: s.Name, Planner: e.name, Spares: s.Spares}
		n := cfg.Seeds * max(cfg.Days, 1)
		for seed := range cfg.Seeds {
			w := newWorld(runConfig{shape: s, planner: e.cfg, seed: uint64(seed + 1), trouble: true, floods: true})
			w.run(time.Duration(max(cfg.Days, 1))*24*time.Hour, func() bool { return false })
			row.add(w, n)
		}
		row.Minutes, row.Worst = 0, 0
		rows = append(rows, row)
	}
	return rows
}

// add sums a run up; the means are over n.
func (r *Row) add(w *world, n int) {
	f := 1 / float64(n)
	took := w.now.Sub(w.start).Minutes()
	r.Minutes += took * f
	r.Worst = max(r.Worst, took)
	r.Moves += float64(w.audit.moves) * f
	r.Lost += float64(w.audit.failed) * f
	r.MaxOut = max(r.MaxOut, w.audit.maxOut)
	r.OutHours += w.audit.outTime.Hours() * f
	r.Below += w.audit.below.Minutes() * f
	for _, n := range w.audit.rejected {
		r.Rejected += float64(n) * f
	}
	r.Undone += w.audit.undone
	r.Faults += len(w.audit.faults)
}
