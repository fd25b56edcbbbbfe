package tail

import (
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/platform"
)

// jobLogInterval is the pause between two reads of an owned shard. Submitted jobs reach the owner directly. The log adds
// only the records that an entry appended while it could not reach the owner.
const jobLogInterval = 120 * time.Millisecond

// jobLogMaxInterval is the longest pause between two reads, reached while the store refuses them. The answers of an owner
// are authoritative for 0.9 s after the store has confirmed its ownership, so a longer pause has no advantage.
const jobLogMaxInterval = 900 * time.Millisecond

// JobLog follows the job records of one shard for its owner.
type JobLog struct {
	*Tail
	table      *jobs.JobTable
	log        *zap.Logger
	changes    []jobs.Change   // since the last call of TakeChanges
	subscriber chan<- struct{} // signalled on changes, nil before Subscribe
}

// NewJobLog returns a job log that has read nothing yet.
func NewJobLog(store Reader, part int, log *zap.Logger) *JobLog {
	l := &JobLog{table: jobs.NewJobTable(), log: log}
	l.Tail = newTail(Config{
		Store: store, Topic: platform.TopicJobs, Part: part, Interval: jobLogInterval, MaxInterval: jobLogMaxInterval, Log: log,
	}, l.foldRecords, func() {})
	return l
}

// foldRecords applies records to the job table, collects the changes for the subscriber and signals it.
func (l *JobLog) foldRecords(records []jobs.Record) {
	for _, r := range records {
		c, err := l.table.Apply(r)
		if err != nil {
			l.log.Warn("record skipped", zap.Int("shard", l.cfg.Part), zap.Error(err))
			continue
		}
		if l.subscriber != nil && (c.Submitted || c.Cancelled || c.Stale || c.Excluded) {
			l.changes = append(l.changes, c)
		}
	}
	if l.subscriber != nil && len(l.changes) > 0 {
		select {
		case l.subscriber <- struct{}{}:
		default:
		}
	}
}

// Subscribe passes the job table to load and signals changed on all changes after it. load is called with the lock of the
// job log held.
func (l *JobLog) Subscribe(changed chan<- struct{}, load func(t *jobs.JobTable)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subscriber, l.changes = changed, nil
	load(l.table)
}

// TakeChanges calls take for each change since the last call, with the present state of the job. It skips jobs that are no
// longer in the table. take is called with the lock of the job log held.
func (l *JobLog) TakeChanges(take func(c jobs.Change, j *jobs.StoredJob)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.changes {
		if j := l.table.Jobs[c.ID]; j != nil {
			take(c, j)
		}
	}
	l.changes = nil
}

// JobState returns the state of a job, and false if the job table does not contain it.
func (l *JobLog) JobState(id string) (jobs.State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Find(id)
}

// FindJob returns the state of a job and its client account, which is empty if the job has none or has ended. It returns false if the
// job table does not contain the job.
func (l *JobLog) FindJob(id string) (s jobs.State, account string, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, found = l.table.Find(id)
	if j := l.table.Jobs[id]; found && j.Job != nil {
		account = j.Job.Account
	}
	return s, account, found
}

// Excluded reports whether the shard refuses a job, because it may be stored in another shard.
func (l *JobLog) Excluded(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.table.Jobs[id]
	return j != nil && j.Excluded
}

// QueueLength returns the number of jobs of a queue that have not started.
func (l *JobLog) QueueLength(q jobs.QueueID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.QueueLength(q)
}
