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

// View is what the records say together.
type View struct {
	Shards []Shard
	Jobs   []Job
	VMs    []pools.VM
	Waves  []Wave
	Vacate []string // VMs that the machine controller asks to be emptied
	Faults []string // records that cannot be read
}

// Shard is who owns the jobs of a service, and what the owner tells about its pool.
type Shard struct {
	Service string
	Part    int
	Claim   jobs.Claim
	Post    jobs.DemandReport
}

// Job is a job with what is recorded of its items.
type Job struct {
	ID        string
	Part      int
	State     string
	Cancelled bool      // the cancel is recorded, which the state may not show yet
	Job       *jobs.Job // nil once it is over
	Progress  jobs.Progress
}

// Wave is a wave of upkeep, and how far it is by the machine controller's records.
type Wave struct {
	N        int
	MaxDown  int
	Machines []string
	Ordered  []string // whose upkeep was ordered and is not recorded as done
	Done     []string
}

// folds are the records by what they are about.
type folds struct {
	view   View
	roster *jobs.Directory
	books  map[int]*jobs.JobTable
	waves  []pools.Wave
}

// Fold works out what the records say together. Records that cannot be read are listed as faults.
func Fold(all []Stored) *View {
	f := &folds{roster: jobs.NewDirectory(), books: map[int]*jobs.JobTable{}}
	for i := range all {
		if err := f.apply(&all[i]); err != nil {
			f.view.Faults = append(f.view.Faults, fmt.Sprintf("%s/%d %q: %v", all[i].Topic, all[i].Part, all[i].Key, err))
		}
	}
	return f.finish()
}

func (f *folds) apply(s *Stored) error {
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
		return f.roster.Apply(rec)
	case platform.TopicJobs:
		b := f.books[s.Part]
		if b == nil {
			b = jobs.NewJobTable()
			f.books[s.Part] = b
		}
		_, err := b.Apply(rec)
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
		return fmt.Errorf("topic %q is not known", s.Topic)
	}
}

func (f *folds) finish() *View {
	v := &f.view
	for i := range v.Shards {
		if s := f.roster.Shards[v.Shards[i].Part]; s != nil {
			v.Shards[i].Claim, v.Shards[i].Post = s.Claim, s.Demand
		}
	}
	for part, b := range f.books {
		for id, e := range b.Jobs {
			v.Jobs = append(v.Jobs, Job{
				ID: id, Part: part, State: e.State().String(), Cancelled: e.Cancelled, Job: e.Job, Progress: e.Progress,
			})
		}
	}
	for _, w := range f.waves {
		v.Waves = append(v.Waves, f.wave(w))
	}
	v.Vacate = f.roster.Vacate.VMs
	slices.SortFunc(v.Shards, func(a, b Shard) int { return cmp.Compare(a.Part, b.Part) })
	slices.SortFunc(v.Jobs, func(a, b Job) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(v.VMs, func(a, b pools.VM) int { return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID)) })
	slices.SortFunc(v.Waves, func(a, b Wave) int { return cmp.Compare(a.N, b.N) })
	return v
}

func (f *folds) wave(w pools.Wave) Wave {
	out := Wave{N: w.N, MaxDown: w.MaxDown, Machines: w.Machines}
	for _, m := range w.Machines {
		switch done, ordered := f.roster.Upkeeps[jobs.Upkeep{Wave: w.N, Machine: m}]; {
		case done:
			out.Done = append(out.Done, m)
		case ordered:
			out.Ordered = append(out.Ordered, m)
		}
	}
	return out
}

// Find returns the job with an ID, nil if no record is about it.
func (v *View) Find(id string) *Job {
	for i := range v.Jobs {
		if v.Jobs[i].ID == id {
			return &v.Jobs[i]
		}
	}
	return nil
}

// Service returns the service whose jobs are in a partition, empty if none is recorded.
func (v *View) Service(part int) string {
	for _, s := range v.Shards {
		if s.Part == part {
			return s.Service
		}
	}
	return ""
}
