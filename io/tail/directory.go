package tail

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/platform"
)

// Timing of the directory.
const (
	// rosterEvery is the pause between two reads of the directory. It bounds how late a lost owner is noticed.
	rosterEvery = 300 * time.Millisecond
	// weakEvery replaces it on a weak machine, which leaves the watch to others.
	weakEvery = 900 * time.Millisecond
	// rosterMost is the pause that refused reads lead to. It is short of the 2 s after which an owner counts as silent,
	// since the log may also refuse the reads of single machines only, and a pause takes ten reads to recover.
	rosterMost = 1200 * time.Millisecond
)

// Directory follows the owners' partition: who owns which shard, and what the owners and the machine controller tell.
type Directory struct {
	*Tail
	fold *jobs.Directory
	log  *zap.Logger

	subMu sync.Mutex
	subs  []chan struct{}
}

// NewDirectory returns a directory that has read nothing yet. weak is set on a machine that is not meant to own
// shards while others can.
func NewDirectory(store Reader, weak bool, log *zap.Logger) *Directory {
	r := &Directory{fold: jobs.NewDirectory(), log: log}
	every := rosterEvery
	if weak {
		every = weakEvery
	}
	r.Tail = newTail(Config{Store: store, Topic: platform.TopicOwners, Interval: every, MaxInterval: rosterMost, Log: log}, r.take, r.moved)
	return r
}

func (r *Directory) take(records []jobs.Record) {
	for _, rec := range records {
		if err := r.fold.Apply(rec); err != nil {
			r.log.Warn("record skipped", zap.String("topic", platform.TopicOwners), zap.Error(err))
		}
	}
}

// ReadDone returns a channel that is signalled after each read, answered or not.
func (r *Directory) ReadDone() <-chan struct{} {
	c := make(chan struct{}, 1)
	r.subMu.Lock()
	defer r.subMu.Unlock()
	r.subs = append(r.subs, c)
	return c
}

func (r *Directory) moved() {
	r.subMu.Lock()
	defer r.subMu.Unlock()
	for _, c := range r.subs {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Shard returns what is known of a shard.
func (r *Directory) Shard(part int) jobs.Shard {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.fold.Shards[part]; s != nil {
		return *s
	}
	return jobs.Shard{}
}

// VMsToVacate returns the VMs that the machine controller asks to be emptied.
func (r *Directory) VMsToVacate() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fold.Vacate.VMs
}

// Upkeeps returns the upkeeps that are recorded: true for those that are done.
func (r *Directory) Upkeeps() map[jobs.Upkeep]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	over := make(map[jobs.Upkeep]bool, len(r.fold.Upkeeps))
	for u, done := range r.fold.Upkeeps {
		over[u] = done
	}
	return over
}
