package jobs

import "fmt"

// StoredJob is one job of a shard as the log tells it.
type StoredJob struct {
	Job       *Job // nil while only a cancel or a progress record of it was seen
	Progress  Progress
	Cancelled bool
}

// State returns what a caller is told of the job.
func (e *StoredJob) State() State {
	if e.Progress.State.Final() {
		return e.Progress.State
	}
	if e.Cancelled {
		return Cancelled
	}
	return e.Progress.State
}

// Record is one keyed record of a shard's partition. A nil value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// JobTable is the fold of one shard's partition. It is not safe for concurrent use.
type JobTable struct {
	Jobs map[string]*StoredJob
}

// NewJobTable returns an empty fold.
func NewJobTable() *JobTable { return &JobTable{Jobs: map[string]*StoredJob{}} }

// Change says what a record changed.
type Change struct {
	ID        string
	Submitted bool
	Cancelled bool
	Stale     bool // a record of a job that is over; it is to be dropped again
}

// Apply folds one record. A record may come twice or, after a reread, behind a newer one of its key.
// It returns an error for a record that cannot be read; such a record has no effect.
func (b *JobTable) Apply(r Record) (Change, error) {
	if len(r.Key) < 2 {
		return Change{}, fmt.Errorf("record key %q is not known", r.Key)
	}
	id := r.Key[1:]
	if len(r.Value) == 0 {
		b.drop(r.Key[0], id)
		return Change{}, nil
	}
	switch r.Key[0] {
	case keyJob:
		return b.applyJob(id, r.Value)
	case keyProgress:
		return b.applyProgress(id, r.Value)
	case keyCancel:
		e := b.entry(id)
		if e.Progress.State.Final() {
			return Change{ID: id, Stale: true}, nil
		}
		first := !e.Cancelled
		e.Cancelled = true
		return Change{ID: id, Cancelled: first}, nil
	default:
		return Change{}, fmt.Errorf("record key %q is not known", r.Key)
	}
}

func (b *JobTable) applyJob(id string, value []byte) (Change, error) {
	e := b.entry(id)
	switch {
	case e.Job != nil:
		return Change{}, nil // the same job handed in at two entries
	case e.Progress.State.Final():
		return Change{ID: id, Stale: true}, nil
	}
	j := &Job{}
	if _, err := j.UnmarshalMsg(value); err != nil {
		return Change{}, fmt.Errorf("decode job %s: %w", id, err)
	}
	// Entries check what callers hand in; a damaged record must not end every owner that reads it.
	if j.ID != id {
		return Change{}, fmt.Errorf("record of job %s holds job %q", id, j.ID)
	}
	if err := j.Check(); err != nil {
		return Change{}, fmt.Errorf("record of job %s: %w", id, err)
	}
	e.Job = j
	return Change{ID: id, Submitted: true}, nil
}

func (b *JobTable) applyProgress(id string, value []byte) (Change, error) {
	var p Progress
	if _, err := p.UnmarshalMsg(value); err != nil {
		return Change{}, fmt.Errorf("decode progress of job %s: %w", id, err)
	}
	if e := b.entry(id); p.Rev >= e.Progress.Rev {
		e.Progress = p
	}
	return Change{}, nil
}

// drop forgets a job: its body once it is over, all of it with its progress.
func (b *JobTable) drop(kind byte, id string) {
	e := b.Jobs[id]
	if e == nil {
		return
	}
	switch kind {
	case keyJob:
		if e.Progress.State.Final() {
			e.Job = nil
		} else {
			delete(b.Jobs, id)
		}
	case keyProgress:
		delete(b.Jobs, id)
	}
}

// Find returns the state of a job, and false if the fold does not hold it.
func (b *JobTable) Find(id string) (State, bool) {
	e := b.Jobs[id]
	if e == nil || e.Job == nil && !e.Progress.State.Final() {
		return Queued, false
	}
	return e.State(), true
}

func (b *JobTable) entry(id string) *StoredJob {
	e := b.Jobs[id]
	if e == nil {
		e = &StoredJob{}
		b.Jobs[id] = e
	}
	return e
}

// QueueLength returns the number of accepted jobs of a queue of which no item was started.
func (b *JobTable) QueueLength(queue string) int {
	n := 0
	for _, e := range b.Jobs {
		if e.Job != nil && e.Job.Queue == queue && e.State() == Queued {
			n++
		}
	}
	return n
}
