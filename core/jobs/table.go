package jobs

import (
	"fmt"
	"maps"
	"slices"
)

// StoredJob is the state of one job, folded from its records.
type StoredJob struct {
	Job       *Job // nil if only cancel or progress records were read, or if the job record was deleted after the end
	Progress  Progress
	Parts     map[int]*Progress // part records by number, nil for a job without any
	Cancelled bool
	// CancelledBy is the client account whose job was cancelled before the job record was read; empty if it may be any.
	CancelledBy string
	Excluded    bool // the shard refuses the job, because it may be stored in another shard
}

// State returns the state that is reported to callers. A final state takes precedence over a cancellation.
func (s *StoredJob) State() State {
	if s.Progress.State.Final() {
		return s.Progress.State
	}
	if s.Cancelled {
		return Cancelled
	}
	return s.Progress.State
}

// FullProgress returns the progress with the items of all part records, and the highest Rev of all records.
func (s *StoredJob) FullProgress() Progress {
	p := s.Progress
	if len(s.Parts) == 0 {
		return p
	}
	p.Items, p.Crashes, p.Open = slices.Clone(p.Items), slices.Clone(p.Crashes), slices.Clone(p.Open)
	for _, n := range slices.Sorted(maps.Keys(s.Parts)) {
		part := s.Parts[n]
		p.Rev = max(p.Rev, part.Rev)
		p.Items, p.Crashes, p.Open = append(p.Items, part.Items...), append(p.Crashes, part.Crashes...), append(p.Open, part.Open...)
	}
	return p
}

// Record is one keyed record of a partition. A nil value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// JobTable holds the jobs of one shard, folded from its partition. It is not safe for concurrent use.
type JobTable struct {
	Jobs    map[string]*StoredJob // by job ID
	waiting map[QueueID]int       // jobs that have not started, by the queue that they were submitted to
}

// NewJobTable returns an empty table.
func NewJobTable() *JobTable {
	return &JobTable{Jobs: map[string]*StoredJob{}, waiting: map[QueueID]int{}}
}

// Change is the effect of one record on a JobTable.
type Change struct {
	ID        string
	Submitted bool
	Cancelled bool
	Stale     bool // the record belongs to a job in a final state or to an excluded one and should be deleted
	Excluded  bool // the shard refuses the job from now on
}

// Apply folds one record. A record may be applied twice or, after a reread, after a newer one with the same key.
// A record that cannot be decoded has no effect and returns an error.
func (t *JobTable) Apply(r Record) (Change, error) {
	if len(r.Key) < 2 {
		return Change{}, fmt.Errorf("unknown record key %q", r.Key)
	}
	id := r.Key[1:]
	if r.Key[0] == keyPart {
		return Change{}, t.applyPart(id, r.Value)
	}
	q, waits := t.waitsIn(id)
	defer func() { t.updateWaiting(id, q, waits) }()
	if len(r.Value) == 0 {
		t.deleteRecord(r.Key[0], id)
		return Change{}, nil
	}
	switch r.Key[0] {
	case keyJob:
		return t.applyJob(id, r.Value)
	case keyProgress:
		return t.applyProgress(id, r.Value)
	case keyCancel:
		s := t.storedJob(id)
		if s.Progress.State.Final() {
			return Change{ID: id, Stale: true}, nil
		}
		account := string(r.Value[1:])
		if s.Job != nil && !mayCancel(account, s.Job) {
			return Change{}, nil // the record is deleted with the job
		}
		first := !s.Cancelled
		s.Cancelled, s.CancelledBy = true, account
		return Change{ID: id, Cancelled: first}, nil
	case keyExclude:
		s := t.storedJob(id)
		if s.Job != nil || s.Progress.State.Final() {
			return Change{}, nil // the shard has the job already, and keeps it
		}
		first := !s.Excluded
		s.Excluded = true
		return Change{ID: id, Excluded: first}, nil
	default:
		return Change{}, fmt.Errorf("unknown record key %q", r.Key)
	}
}

func (t *JobTable) applyJob(id string, value []byte) (Change, error) {
	s := t.storedJob(id)
	switch {
	case s.Job != nil:
		return Change{}, nil // the same job was submitted at two entries
	case s.Progress.State.Final(), s.Excluded:
		return Change{ID: id, Stale: true}, nil
	}
	j := &Job{}
	if _, err := j.UnmarshalMsg(value); err != nil {
		return Change{}, fmt.Errorf("decode job %s: %w", id, err)
	}
	// Entries validate submitted jobs. The check is repeated here because a damaged record would otherwise crash every
	// owner that reads it.
	if j.ID != id {
		return Change{}, fmt.Errorf("record of job %s holds job %q", id, j.ID)
	}
	if err := j.Check(); err != nil {
		return Change{}, fmt.Errorf("record of job %s: %w", id, err)
	}
	s.Job = j
	if s.Cancelled && !mayCancel(s.CancelledBy, j) {
		s.Cancelled = false
	}
	return Change{ID: id, Submitted: true}, nil
}

// mayCancel reports whether callers of an account may cancel a job.
func mayCancel(account string, j *Job) bool {
	return account == "" || j.Account == "" || account == j.Account
}

func (t *JobTable) applyProgress(id string, value []byte) (Change, error) {
	var p Progress
	if _, err := p.UnmarshalMsg(value); err != nil {
		return Change{}, fmt.Errorf("decode progress of job %s: %w", id, err)
	}
	if s := t.storedJob(id); p.Rev >= s.Progress.Rev {
		s.Progress = p
	}
	return Change{}, nil
}

// applyPart applies a part record with the key part after its prefix, or its deletion if value is empty.
func (t *JobTable) applyPart(key string, value []byte) error {
	id, n, err := parsePart(key)
	if err != nil {
		return err
	}
	if len(value) == 0 {
		if s := t.Jobs[id]; s != nil {
			delete(s.Parts, n)
		}
		return nil
	}
	var p Progress
	if _, err := p.UnmarshalMsg(value); err != nil {
		return fmt.Errorf("decode part %d of the progress of job %s: %w", n, id, err)
	}
	s := t.storedJob(id)
	if last := s.Parts[n]; last != nil && p.Rev < last.Rev {
		return nil
	}
	if s.Parts == nil {
		s.Parts = map[int]*Progress{}
	}
	s.Parts[n] = &p
	return nil
}

// deleteRecord applies the deletion of a record. Deleting the job record of a job in a final state keeps its progress.
// Otherwise deleting the job record or the progress record removes the job. An exclusion, or the cancellation of a job that the
// shard does not have, lasts until its own record is deleted.
func (t *JobTable) deleteRecord(kind byte, id string) {
	s := t.Jobs[id]
	if s == nil {
		return
	}
	switch kind {
	case keyJob:
		if s.Progress.State.Final() || s.Excluded {
			s.Job = nil
		} else {
			delete(t.Jobs, id)
		}
	case keyProgress:
		delete(t.Jobs, id)
	case keyCancel:
		if s.Job == nil && !s.Progress.State.Final() { // otherwise the job is cancelled, and its own end deletes it
			if s.Cancelled = false; !s.Excluded {
				delete(t.Jobs, id)
			}
		}
	case keyExclude:
		if s.Excluded = false; s.Job == nil && !s.Progress.State.Final() {
			delete(t.Jobs, id)
		}
	}
}

// Find returns the state of a job. It returns false if the table has neither the job record nor a final state of it.
func (t *JobTable) Find(id string) (State, bool) {
	s := t.Jobs[id]
	if s == nil || s.Job == nil && !s.Progress.State.Final() {
		return Queued, false
	}
	return s.State(), true
}

// storedJob returns the job with the given ID and adds it if it is new.
func (t *JobTable) storedJob(id string) *StoredJob {
	s := t.Jobs[id]
	if s == nil {
		s = &StoredJob{}
		t.Jobs[id] = s
	}
	return s
}

// waitsIn returns the queue to which a job that has not started was submitted. It returns false for other jobs.
func (t *JobTable) waitsIn(id string) (QueueID, bool) {
	s := t.Jobs[id]
	if s == nil || s.Job == nil || s.State() != Queued {
		return QueueID{}, false
	}
	return QueueID{Name: s.Job.Queue, Route: s.Job.Route}, true
}

// updateWaiting counts a job after a record of it was applied. before is the queue in which it waited until then, if it did.
func (t *JobTable) updateWaiting(id string, before QueueID, waited bool) {
	after, waits := t.waitsIn(id)
	if waits {
		t.waiting[after]++
	}
	if !waited {
		return
	}
	if t.waiting[before]--; t.waiting[before] == 0 {
		delete(t.waiting, before)
	}
}

// QueueLength returns the number of jobs of a queue that have not started. Its cost does not depend on the number of jobs.
func (t *JobTable) QueueLength(q QueueID) int {
	n := 0
	for id, count := range t.waiting {
		if q.has(id) {
			n += count
		}
	}
	return n
}
