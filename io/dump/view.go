package dump

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/platform"
)

// View is the state folded from the records.
type View struct {
	Shards []Shard
	Jobs   []Job
	VMs    []pools.VM
	Waves  []Wave
	Vacate []string // VMs that the machine controller has requested to be vacated
	Faults []string // errors of records that cannot be decoded
}

// Shard is the shard of a service with its owner's claim and demand report.
type Shard struct {
	Service string
	Part    int
	Claim   jobs.Claim
	Post    jobs.DemandReport
}

// Job is a job with the recorded progress of its items.
type Job struct {
	ID        string
	Part      int
	State     string
	Cancelled bool      // a cancel is recorded; State may not be cancelled yet
	Job       *jobs.Job // nil after the job has ended
	Progress  jobs.Progress
}

// Wave is a wave of upkeep with its progress as recorded by the machine controller.
type Wave struct {
	N        int
	MaxDown  int
	Machines []string
	Ordered  []string // machines whose upkeep was ordered and is not recorded as done
	Done     []string // machines whose upkeep is recorded as done
}

// folder folds records into a View.
type folder struct {
	view      View
	directory *jobs.Directory
	jobTables map[int]*jobs.JobTable
	waves     []pools.Wave
}

// Fold folds records into a View. The errors of records that cannot be decoded are listed in View.Faults.
func Fold(all []Record) *View {
	f := &folder{directory: jobs.NewDirectory(), jobTables: map[int]*jobs.JobTable{}}
	for i := range all {
		if err := f.apply(&all[i]); err != nil {
			f.view.Faults = append(f.view.Faults, fmt.Sprintf("%s/%d %q: %v", all[i].Topic, all[i].Part, all[i].Key, err))
		}
	}
	return f.finish()
}

func (f *folder) apply(s *Record) error {
	rec := jobs.Record{Key: s.Key, Value: s.Value}
	switch s.Topic {
	case platform.TopicShards:
		part, err := strconv.Atoi(string(s.Value))
		if err != nil {
			return fmt.Errorf("%q is not the number of a partition", s.Value)
		}
		f.view.Shards = append(f.view.Shards, Shard{Service: s.Key, Part: part})
		return nil
	case platform.TopicOwners:
		return f.directory.Apply(rec)
	case platform.TopicJobs:
		table := f.jobTables[s.Part]
		if table == nil {
			table = jobs.NewJobTable()
			f.jobTables[s.Part] = table
		}
		_, err := table.Apply(rec)
		return err
	case platform.TopicVMs:
		vm, err := platform.DecodeVM(rec)
		if err == nil && !vm.Removed {
			f.view.VMs = append(f.view.VMs, vm)
		}
		return err
	case platform.TopicOperator:
		w, ok, err := platform.DecodeWave(rec, 0)
		if ok {
			f.waves = append(f.waves, w)
		}
		return err
	default:
		return fmt.Errorf("unknown topic %q", s.Topic)
	}
}

func (f *folder) finish() *View {
	v := &f.view
	for i := range v.Shards {
		if s := f.directory.Shards[v.Shards[i].Part]; s != nil {
			v.Shards[i].Claim, v.Shards[i].Post = s.Claim, s.Demand
		}
	}
	for part, table := range f.jobTables {
		for id, j := range table.Jobs {
			v.Jobs = append(v.Jobs, Job{
				ID: id, Part: part, State: j.State().String(), Cancelled: j.Cancelled, Job: j.Job, Progress: j.FullProgress(),
			})
		}
	}
	for _, w := range f.waves {
		v.Waves = append(v.Waves, f.wave(w))
	}
	v.Vacate = f.directory.Vacate.VMs
	slices.SortFunc(v.Shards, func(a, b Shard) int { return cmp.Compare(a.Part, b.Part) })
	slices.SortFunc(v.Jobs, func(a, b Job) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(v.VMs, func(a, b pools.VM) int { return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID)) })
	slices.SortFunc(v.Waves, func(a, b Wave) int { return cmp.Compare(a.N, b.N) })
	return v
}

func (f *folder) wave(w pools.Wave) Wave {
	out := Wave{N: w.Number, MaxDown: w.MaxDown, Machines: w.Machines}
	for _, m := range w.Machines {
		switch done, ordered := f.directory.Upkeeps[jobs.Upkeep{Wave: w.Number, Machine: m}]; {
		case done:
			out.Done = append(out.Done, m)
		case ordered:
			out.Ordered = append(out.Ordered, m)
		}
	}
	return out
}

// Find returns the job with an ID, nil if there is no record of it.
func (v *View) Find(id string) *Job {
	for i := range v.Jobs {
		if v.Jobs[i].ID == id {
			return &v.Jobs[i]
		}
	}
	return nil
}

// Service returns the service that a partition of TopicJobs belongs to, empty if none is recorded.
func (v *View) Service(part int) string {
	for _, s := range v.Shards {
		if s.Part == part {
			return s.Service
		}
	}
	return ""
}
