// Package tail follows partitions of the log and keeps their folds.
package tail

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/io/wire"
	"sassafrasvalve/platform"
)

// Timing of the reads.
const (
	// readSlack bounds a read.
	readSlack = 1500 * time.Millisecond
	// retryPause is the pause after a failed read.
	retryPause = 150 * time.Millisecond
	// loadTimeout bounds a reload of the whole fold.
	loadTimeout = 5 * time.Second
)

// Reader is what a tail reads from.
type Reader interface {
	Read(r platform.Read) (platform.Page, error)
	Newest(topic string, part int, deadline time.Time) (platform.Page, error)
}

// Config is what a tail needs.
type Config struct {
	Store       Reader
	Topic       string
	Part        int
	Interval    time.Duration // pause between two reads
	MaxInterval time.Duration // pause that refused reads lead to
	Log         *zap.Logger
}

// Tail follows one partition.
type Tail struct {
	cfg  Config
	take func(records []jobs.Record) // folds; mu is held

	mu      sync.Mutex
	cursor  int64 // -1 before the first load
	freshAt int64 // local ms at which the newest answered read was sent
	failed  bool

	catchMu sync.Mutex
	running *catch // the read in progress
	next    *catch // the read that starts after it

	after func() // called after each read, answered or not
}

// catch is one shared read.
type catch struct {
	done chan struct{}
	err  error
}

// newTail returns a tail that has read nothing yet. take folds records, and after is called behind each read.
func newTail(cfg Config, take func(records []jobs.Record), after func()) *Tail {
	return &Tail{cfg: cfg, take: take, after: after, cursor: -1}
}

// Part returns the number of the partition.
func (t *Tail) Part() int { return t.cfg.Part }

// Run follows the partition until ctx ends.
func (t *Tail) Run(ctx context.Context) { t.loop(ctx) }

func (t *Tail) loop(ctx context.Context) {
	pace := wire.ReadPacer{Interval: t.cfg.Interval, RetryInterval: retryPause, MaxInterval: t.cfg.MaxInterval}
	for ctx.Err() == nil {
		err := t.read()
		t.after()
		wire.Sleep(ctx, pace.Next(err != nil, platform.IsRateLimited(err)))
	}
}

// read brings the fold up to the end of the partition.
func (t *Tail) read() error {
	for {
		t.mu.Lock()
		from := t.cursor
		t.mu.Unlock()
		begun := clock.BootMs()
		if from < 0 {
			return t.load(begun)
		}
		page, err := t.cfg.Store.Read(platform.Read{
			Topic: t.cfg.Topic, Part: t.cfg.Part, From: from, Deadline: time.Now().Add(readSlack),
		})
		if err != nil {
			t.fail(err)
			return err
		}
		if page.Lost {
			return t.load(begun)
		}
		t.apply(from, page.Records, begun, page.Next >= page.End)
		if page.Next >= page.End || len(page.Records) == 0 {
			return nil
		}
	}
}

// load reads the newest record of each key, and what came meanwhile.
func (t *Tail) load(begun int64) error {
	page, err := t.cfg.Store.Newest(t.cfg.Topic, t.cfg.Part, time.Now().Add(loadTimeout))
	if err != nil {
		t.fail(err)
		return err
	}
	t.mu.Lock()
	t.take(page.Records)
	t.cursor = max(t.cursor, page.Next)
	from := t.cursor
	t.mu.Unlock()
	t.cfg.Log.Info("partition loaded", zap.String("topic", t.cfg.Topic), zap.Int("part", t.cfg.Part),
		zap.Int("records", len(page.Records)), zap.Int64("offset", page.Next))
	page, err = t.cfg.Store.Read(platform.Read{
		Topic: t.cfg.Topic, Part: t.cfg.Part, From: from, Deadline: time.Now().Add(readSlack),
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
		t.cfg.Log.Warn("partition cannot be read", zap.String("topic", t.cfg.Topic), zap.Int("part", t.cfg.Part), zap.Error(err))
	}
}

func (t *Tail) apply(from int64, records []jobs.Record, begun int64, atEnd bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failed {
		t.cfg.Log.Info("partition can be read again", zap.String("topic", t.cfg.Topic), zap.Int("part", t.cfg.Part))
	}
	t.failed = false
	if skip := t.cursor - from; skip > 0 { // another read was faster
		records = records[min(skip, int64(len(records))):]
	}
	t.take(records)
	t.cursor += int64(len(records))
	if atEnd {
		t.freshAt = max(t.freshAt, begun)
	}
}

// Apply folds records that this process has just stored, ahead of the next read.
func (t *Tail) Apply(records []jobs.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.take(records)
}

// CatchUp reads up to the present end. The read begins after the call, and is shared between callers.
func (t *Tail) CatchUp(ctx context.Context) error {
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

// Position is how far a tail is.
type Position struct {
	NextOffset int64 // -1 before the first load
	ReadAtMs   int64 // local ms
	Failed     bool
}

// Position returns how far the tail is.
func (t *Tail) Position() Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Position{t.cursor, t.freshAt, t.failed}
}
