// Package tail follows one shard's partition of the log and keeps its fold.
package tail

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/platform"
)

// Pace of the reads.
const (
	// ownEvery is the pause between two reads of an owned shard. What callers hand in comes to the owner
	// directly; the log brings only what an entry appended while it did not reach the owner.
	ownEvery = 120 * time.Millisecond
	// followEvery is the pause between two reads of a shard that another process owns. It bounds
	// how late a lost owner is noticed, and the age of the number of waiting jobs.
	followEvery = 400 * time.Millisecond
	// weakEvery replaces it on a weak machine, which leaves the watch to others.
	weakEvery = 1100 * time.Millisecond
	// readSlack bounds a read.
	readSlack = 800 * time.Millisecond
	// retryPause is the pause after a failed read.
	retryPause = 150 * time.Millisecond
	// loadTimeout bounds a reload of the whole fold.
	loadTimeout = 4 * time.Second
)

// Reader is what a tail reads from.
type Reader interface {
	Read(r platform.Read) (platform.Page, error)
	Newest(topic string, part int, deadline time.Time) (platform.Page, error)
}

// Config is what a tail needs.
type Config struct {
	Store Reader
	Part  int
	Weak  bool // the machine is not meant to own shards while others can
	Log   *zap.Logger
}

// Tail keeps the fold of one partition.
type Tail struct {
	cfg Config

	mu      sync.Mutex
	book    *jobs.Book
	cursor  int64 // -1 before the first load
	freshAt int64 // local ms at which the newest answered read was sent
	failed  bool
	changes []jobs.Change
	watcher chan<- struct{} // signalled on changes while an owner is attached
	owned   bool

	catchMu sync.Mutex
	running *catch // the read in progress
	next    *catch // the read that starts after it

	moved chan struct{} // signalled after each read, for the owner's election
}

// catch is one shared read.
type catch struct {
	done chan struct{}
	err  error
}

// New returns a tail that has read nothing yet.
func New(cfg Config) *Tail {
	return &Tail{cfg: cfg, book: jobs.NewBook(), cursor: -1, moved: make(chan struct{}, 1)}
}

// Part returns the number of the partition.
func (t *Tail) Part() int { return t.cfg.Part }

// Moved is signalled after each read, answered or not.
func (t *Tail) Moved() <-chan struct{} { return t.moved }

// Run follows the partition until ctx ends.
func (t *Tail) Run(ctx context.Context) { t.loop(ctx) }

func (t *Tail) loop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := t.pausing()
		if err := t.read(); err != nil {
			pause = retryPause
		}
		select {
		case t.moved <- struct{}{}:
		default:
		}
		if pause > 0 {
			sleep(ctx, pause)
		}
	}
}

func (t *Tail) pausing() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.owned {
		return ownEvery
	}
	if t.cfg.Weak {
		return weakEvery
	}
	return followEvery
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// read brings the fold up to the end of the partition.
func (t *Tail) read() error {
	t.mu.Lock()
	from := t.cursor
	t.mu.Unlock()
	begun := clock.BootMs()
	if from < 0 {
		return t.load(begun)
	}
	page, err := t.cfg.Store.Read(platform.Read{
		Topic: platform.TopicJobs, Part: t.cfg.Part, From: from, Deadline: time.Now().Add(readSlack),
	})
	if err != nil {
		t.fail(err)
		return err
	}
	if page.Lost {
		return t.load(begun)
	}
	t.apply(from, page.Records, begun, page.Next >= page.End)
	if page.Next < page.End && len(page.Records) > 0 {
		return t.read()
	}
	return nil
}

// load reads the newest record of each key, and goes on from there.
func (t *Tail) load(begun int64) error {
	page, err := t.cfg.Store.Newest(platform.TopicJobs, t.cfg.Part, time.Now().Add(loadTimeout))
	if err != nil {
		t.fail(err)
		return err
	}
	t.mu.Lock()
	t.fold(page.Records)
	t.cursor = max(t.cursor, page.Next)
	t.mu.Unlock()
	t.cfg.Log.Info("shard loaded", zap.Int("shard", t.cfg.Part), zap.Int("records", len(page.Records)),
		zap.Int64("offset", page.Next))
	return t.readOn(begun)
}

// readOn reads what came while the pages of a load were read.
func (t *Tail) readOn(begun int64) error {
	t.mu.Lock()
	from := t.cursor
	t.mu.Unlock()
	page, err := t.cfg.Store.Read(platform.Read{
		Topic: platform.TopicJobs, Part: t.cfg.Part, From: from, Deadline: time.Now().Add(readSlack),
	})
	if err != nil {
		t.fail(err)
		return err
	}
	t.apply(from, page.Records, begun, !page.Lost && page.Next >= page.End)
	return nil
}

func (t *Tail) fail(err error) {
	t.mu.Lock()
	first := !t.failed
	t.failed = true
	t.mu.Unlock()
	if first {
		t.cfg.Log.Warn("shard cannot be read", zap.Int("shard", t.cfg.Part), zap.Error(err))
	}
}

func (t *Tail) apply(from int64, records []jobs.Record, begun int64, atEnd bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failed {
		t.cfg.Log.Info("shard can be read again", zap.Int("shard", t.cfg.Part))
	}
	t.failed = false
	if skip := t.cursor - from; skip > 0 { // another read was faster
		records = records[min(skip, int64(len(records))):]
	}
	t.fold(records)
	t.cursor += int64(len(records))
	if atEnd {
		t.freshAt = max(t.freshAt, begun)
	}
}

// fold applies records to the book and tells the owner about changes. mu is held.
func (t *Tail) fold(records []jobs.Record) {
	for _, r := range records {
		c, err := t.book.Apply(r)
		if err != nil {
			t.cfg.Log.Warn("record skipped", zap.Int("shard", t.cfg.Part), zap.Error(err))
			continue
		}
		if t.watcher != nil && (c.Submitted || c.Cancelled) {
			t.changes = append(t.changes, c)
		}
	}
	if t.watcher != nil && len(t.changes) > 0 {
		select {
		case t.watcher <- struct{}{}:
		default:
		}
	}
}

// Put folds records that this process has just stored, ahead of the next read.
func (t *Tail) Put(records []jobs.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fold(records)
}

// Catch reads up to the present end. The read begins after the call, and is shared between callers.
func (t *Tail) Catch(ctx context.Context) error {
	t.catchMu.Lock()
	c := t.next
	if c == nil {
		c = &catch{done: make(chan struct{})}
		if t.running == nil {
			t.running = c
			go t.runCatch(c)
		} else {
			t.next = c
		}
	}
	t.catchMu.Unlock()
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runCatch makes a shared read, then the one that was asked for meanwhile.
func (t *Tail) runCatch(c *catch) {
	for c != nil {
		c.err = t.read()
		close(c.done)
		t.catchMu.Lock()
		t.running, t.next = t.next, nil
		c = t.running
		t.catchMu.Unlock()
	}
}

// Attach signals w on changes from now on, hands the fold to load and has the partition read more often.
func (t *Tail) Attach(w chan<- struct{}, load func(b *jobs.Book)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watcher, t.owned, t.changes = w, true, nil
	load(t.book)
}

// Detach ends Attach.
func (t *Tail) Detach() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watcher, t.owned, t.changes = nil, false, nil
}

// Changes returns the jobs that changed since the last call, as the fold has them now.
func (t *Tail) Changes(take func(c jobs.Change, e *jobs.Entry)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.changes {
		if e := t.book.Entries[c.ID]; e != nil {
			take(c, e)
		}
	}
	t.changes = nil
}

// View is what a tail knows at a time.
type View struct {
	Claim   jobs.Claim
	Claims  int
	Cursor  int64 // -1 before the first load
	FreshAt int64 // local ms
	Failed  bool
}

// View returns what the tail knows.
func (t *Tail) View() View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return View{t.book.Claim, t.book.Claims, t.cursor, t.freshAt, t.failed}
}

// Job returns the state of a job, and false if the fold does not hold it.
func (t *Tail) Job(id string) (jobs.State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.book.Entries[id]
	if e == nil || e.Job == nil {
		return jobs.Queued, false
	}
	return e.State(), true
}

// Post returns what the owner of the shard's pool told last, and false before the first time.
func (t *Tail) Post() (jobs.Post, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.book.Post, t.book.Post.Rev > 0
}

// Vacate returns the VMs that the keeper asks to be emptied.
func (t *Tail) Vacate() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.book.Vacate.VMs
}

// Upkeeps adds the upkeeps that are recorded to over: true for those that are done.
func (t *Tail) Upkeeps(over map[jobs.Upkeep]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for u, done := range t.book.Upkeeps {
		over[u] = over[u] || done
	}
}

// Waiting returns the number of jobs of a queue of which nothing was started.
func (t *Tail) Waiting(queue string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.book.Waiting(queue)
}
