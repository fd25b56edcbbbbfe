package tail

import (
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/platform"
)

// ledgerEvery is the pause between two reads of an owned shard. What callers hand in comes to the owner
// directly; the log brings only what an entry appended while it did not reach the owner.
const ledgerEvery = 120 * time.Millisecond

// ledgerMost is the pause that refused reads of it lead to. An owner answers for its shard for 0.9 s after the store
// has confirmed it, so longer pauses gain nothing.
const ledgerMost = 900 * time.Millisecond

// JobLog follows the jobs of one shard, for its owner.
type JobLog struct {
	*Tail
	book    *jobs.JobTable
	log     *zap.Logger
	changes []jobs.Change
	watcher chan<- struct{} // signalled on changes, nil before Subscribe
}

// NewJobLog returns a job log that has read nothing yet.
func NewJobLog(store Reader, part int, log *zap.Logger) *JobLog {
	l := &JobLog{book: jobs.NewJobTable(), log: log}
	l.Tail = newTail(Config{Store: store, Topic: platform.TopicJobs, Part: part, Interval: ledgerEvery, MaxInterval: ledgerMost, Log: log}, l.take, func() {})
	return l
}

func (l *JobLog) take(records []jobs.Record) {
	for _, r := range records {
		c, err := l.book.Apply(r)
		if err != nil {
			l.log.Warn("record skipped", zap.Int("shard", l.cfg.Part), zap.Error(err))
			continue
		}
		if l.watcher != nil && (c.Submitted || c.Cancelled || c.Stale) {
			l.changes = append(l.changes, c)
		}
	}
	if l.watcher != nil && len(l.changes) > 0 {
		select {
		case l.watcher <- struct{}{}:
		default:
		}
	}
}

// Subscribe signals w on changes from now on, and hands the fold to load.
func (l *JobLog) Subscribe(w chan<- struct{}, load func(b *jobs.JobTable)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watcher, l.changes = w, nil
	load(l.book)
}

// TakeChanges hands over the jobs that changed since the last call, as the fold has them now.
func (l *JobLog) TakeChanges(take func(c jobs.Change, e *jobs.StoredJob)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.changes {
		if e := l.book.Jobs[c.ID]; e != nil {
			take(c, e)
		}
	}
	l.changes = nil
}

// JobState returns the state of a job, and false if the fold does not hold it.
func (l *JobLog) JobState(id string) (jobs.State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.Find(id)
}

// QueueLength returns the number of jobs of a queue of which nothing was started.
func (l *JobLog) QueueLength(queue string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.QueueLength(queue)
}
