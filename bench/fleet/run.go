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
	Spares      int      // VMs in the spare pool of a region; 0 means the number of the shape
	Seeds       int      // runs per row, with seeds from 1
	Days        int      // simulated days of the experiment days
	CSV         io.Writer
}

// Row is the result of a planner in an experiment over all seeds.
type Row struct {
	Experiment   string
	Shape        string
	Planner      string
	Spares       int
	Minutes      float64 // mean duration of the roll-out
	WorstMinutes float64 // longest duration of the roll-out in minutes
	BoundMinutes float64 // lower bound of the duration in minutes
	Moves        float64 // mean moves per run, or per day
	Failed       float64 // mean VMs that failed per run, or per day
	MaxOut       int     // maximum number of VMs out by plan at the same time
	VMHoursOut   float64 // mean VM-hours out by plan per run, or per day
	MinutesBelow float64 // mean pool-minutes below a budget because of failures per run, or per day
	Rejected     float64 // mean records that the fold rejected per run, or per day
	Undone       int     // moves undone within a minute
	Faults       int     // violations: a voluntary record broke a budget, or a VM was not in exactly one pool
	Unfinished   int     // runs that did not end as expected
}

// Ratio returns the mean duration divided by the lower bound, or 0 without a bound.
func (r Row) Ratio() float64 {
	if r.BoundMinutes == 0 {
		return 0
	}
	return r.Minutes / r.BoundMinutes
}

// contender is a planner configuration in the comparison.
type contender struct {
	name            string
	cfg             plan.Config
	batch, maxBatch int
	inBuffer        bool // takes part in the experiment buffer
}

// noLimit is a maximum batch size that is never reached, so that only the budgets limit a batch.
const noLimit = 1_000

func contenders() []contender {
	return []contender{
		{"double", plan.Config{Growth: plan.GrowDouble}, 1, noLimit, true},
		{"double+lend", plan.Config{Growth: plan.GrowDouble, WaveSpares: 3, SpareReserve: 1}, 1, noLimit, true},
		{"double-4+lend", plan.Config{Growth: plan.GrowDouble, WaveSpares: 3, SpareReserve: 1}, 4, noLimit, true},
		{"quad-4+lend", plan.Config{Growth: plan.GrowDouble, GrowthFactor: 4, WaveSpares: 3, SpareReserve: 1}, 4, noLimit, false},
		{"none+lend", plan.Config{Growth: plan.GrowImmediate, WaveSpares: 3, SpareReserve: 1}, 1, noLimit, false},
		{"none", plan.Config{Growth: plan.GrowImmediate}, 1, noLimit, false},
		{"constant-4", plan.Config{Growth: plan.GrowConstant}, 4, 4, false},
		{"one", plan.Config{Growth: plan.GrowSerial}, 1, noLimit, false},
		{"percent", plan.Config{Growth: plan.GrowPercent}, 1, noLimit, false},
	}
}

// selected reports whether a list of names selects a name.
func selected(all []string, name string) bool {
	return len(all) == 0 || slices.Contains(all, "all") || slices.Contains(all, name)
}

// Run runs the experiments and writes the results as a table to w, and as CSV to cfg.CSV if set. It returns an error if
// a voluntary record broke a budget, or if a VM was not in exactly one pool, at any offset.
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

// Rows runs the selected experiments and returns their rows.
func Rows(cfg Config) []Row {
	var rows []Row
	for _, s := range Shapes() {
		if !selected(cfg.Shapes, s.Name) {
			continue
		}
		if cfg.Spares > 0 {
			s.Spares = cfg.Spares
		}
		for _, x := range []struct {
			name string
			run  func(Shape, Config) []Row
		}{{"rollout", rollout}, {"buffer", buffer}, {"image", image}, {"days", days}} {
			if selected(cfg.Experiments, x.name) {
				rows = append(rows, x.run(s, cfg)...)
			}
		}
	}
	return rows
}

// rollout compares the planners by the duration of a wave over all pools.
func rollout(s Shape, cfg Config) []Row {
	rows := make([]Row, 0, len(contenders()))
	for _, e := range contenders() {
		if selected(cfg.Planners, e.name) {
			rows = append(rows, wave("rollout", s, e, cfg, runConfig{}))
		}
	}
	return rows
}

// buffer measures the duration of a roll-out by the number of spare VMs.
func buffer(s Shape, cfg Config) []Row {
	steps := []int{0, 1, 2, 3, 4, 6, 8, 12}
	if s.workers() > 100 {
		steps = []int{0, 4, 8, 12, 16, 24, 32}
	}
	rows := make([]Row, 0, len(contenders())*len(steps))
	for _, n := range steps {
		s.Spares = n
		for _, e := range contenders() {
			if e.inBuffer && selected(cfg.Planners, e.name) {
				rows = append(rows, wave("buffer", s, e, cfg, runConfig{}))
			}
		}
	}
	return rows
}

// image counts the VMs that are lost to a bad image, with which no VM comes back, before the wave stops.
func image(s Shape, cfg Config) []Row {
	rows := make([]Row, 0, len(contenders()))
	for _, e := range contenders() {
		if !selected(cfg.Planners, e.name) {
			continue
		}
		rows = append(rows, wave("image", s, e, cfg, runConfig{badImage: true}))
	}
	return rows
}

// longestWave is the maximum simulated duration of a run.
const longestWave = 10 * 24 * time.Hour

// imageTail is the time for which a run with a bad image continues after the wave has stopped. It is longer than the
// deadlines of a drain and a reboot together.
const imageTail = 30 * time.Minute

// wave runs a wave with each seed and returns the row.
func wave(experiment string, s Shape, e contender, cfg Config, rc runConfig) Row {
	row := Row{Experiment: experiment, Shape: s.Name, Planner: e.name, Spares: s.Spares}
	row.BoundMinutes = s.lowerBound(e.maxBatch, e.cfg.WaveSpares).Minutes()
	for seed := range cfg.Seeds {
		rc.shape, rc.planner, rc.seed, rc.batch, rc.maxBatch = s, e.cfg, uint64(seed+1), e.batch, e.maxBatch
		w := newWorld(rc)
		w.startWave()
		w.run(longestWave, func() bool { return w.st.Waves[waveID].Phase != fold.Running })
		if rc.badImage {
			// The VMs that were rebooting when the wave stopped do not come back either and must be counted.
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

// days counts the moves per day under ordinary failures and under bursts that rotate over the pools.
func days(s Shape, cfg Config) []Row {
	planners := []contender{
		{name: "at-once", cfg: plan.Config{ReplaceAfter: time.Second, ReplaceUrgentAfter: time.Second}},
		{name: "after-2m", cfg: plan.Config{ReplaceAfter: 2 * time.Minute}},
		{name: "after-5m", cfg: plan.Config{}},
		{name: "after-5m-patient", cfg: plan.Config{ReplaceUrgentAfter: 5 * time.Minute}},
		{name: "after-15m", cfg: plan.Config{ReplaceAfter: 15 * time.Minute}},
	}
	rows := make([]Row, 0, len(planners))
	for _, e := range planners {
		if !selected(cfg.Planners, e.name) {
			continue
		}
		row := Row{Experiment: "days", Shape: s.Name, Planner: e.name, Spares: s.Spares}
		n := cfg.Seeds * max(cfg.Days, 1)
		for seed := range cfg.Seeds {
			w := newWorld(runConfig{shape: s, planner: e.cfg, seed: uint64(seed + 1), failures: true, ejections: true})
			w.run(time.Duration(max(cfg.Days, 1))*24*time.Hour, func() bool { return false })
			row.add(w, n)
		}
		row.Minutes, row.WorstMinutes = 0, 0
		rows = append(rows, row)
	}
	return rows
}

// add adds the results of a run. n is the number of runs, or of days, over which the means are taken.
func (r *Row) add(w *world, n int) {
	f := 1 / float64(n)
	took := w.now.Sub(w.start).Minutes()
	r.Minutes += took * f
	r.WorstMinutes = max(r.WorstMinutes, took)
	r.Moves += float64(w.audit.moves) * f
	r.Failed += float64(w.audit.failed) * f
	r.MaxOut = max(r.MaxOut, w.audit.maxOut)
	r.VMHoursOut += w.audit.outTime.Hours() * f
	r.MinutesBelow += w.audit.belowTime.Minutes() * f
	for _, n := range w.audit.rejected {
		r.Rejected += float64(n) * f
	}
	r.Undone += w.audit.undone
	r.Faults += len(w.audit.faults)
}
