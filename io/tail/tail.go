// Package tail follows partitions of the log and folds their records.
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

// Timeouts and intervals of the reads.
const (
	// readTimeout bounds one read.
	readTimeout = 1500 * time.Millisecond
	// retryPause is the pause after a failed read.
	retryPause = 150 * time.Millisecond
	// loadTimeout bounds the read of the newest record of each key.
	loadTimeout = 5 * time.Second
)

// Reader reads the log. Read returns the records from an offset on, Newest the newest record of each key.
type Reader interface {
	Read(r platform.ReadRequest) (platform.Page, error)
	Newest(topic string, part int, deadline time.Time) (platform.Page, error)
}

// Config configures a Tail.
type Config struct {
	Store       Reader
	Topic       string
	Part        int
	Interval    time.Duration // pause between two reads
	MaxInterval time.Duration // longest pause, reached while the store refuses reads for their rate
	Log         *zap.Logger
}

// Tail follows one partition of a topic. It is safe for concurrent use.
type Tail struct {
	cfg       Config
	onRecords func(records []jobs.Record) // folds records; called with mu held

	mu         sync.Mutex
	nextOffset int64 // -1 before the first load
	readAtMs   int64 // local ms at which the newest read that reached the end was sent
	failed     bool  // the last read failed

	sharedMu sync.Mutex
	running  *sharedRead // the read in progress, nil for none
	queued   *sharedRead // the read that starts after it, nil for none

	onRead func() // called after each read of Run, also after a failed one
}

// sharedRead is a read whose result all waiting callers of CatchUp share. err is set before done is closed.
type sharedRead struct {
	done chan struct{}
	err  error
}

// newTail returns a tail that has read nothing yet. onRecords folds records, with the lock of the tail held. onRead is
// called after each read of Run.
func newTail(cfg Config, onRecords func(records []jobs.Record), onRead func()) *Tail {
	return &Tail{cfg: cfg, onRecords: onRecords, onRead: onRead, nextOffset: -1}
}

// Part returns the number of the partition.
func (t *Tail) Part() int { return t.cfg.Part }

// Run follows the partition until ctx ends.
func (t *Tail) Run(ctx context.Context) { t.loop(ctx) }

func (t *Tail) loop(ctx context.Context) {
	pacer := wire.ReadPacer{Interval: t.cfg.Interval, RetryInterval: retryPause, MaxInterval: t.cfg.MaxInterval}
	for ctx.Err() == nil {
		err := t.read()
		t.onRead()
		wire.Sleep(ctx, pacer.Next(err != nil, platform.IsRateLimited(err)))
	}
}

// read reads and folds the records up to the end of the partition. It loads the newest record of each key instead if nothing
// was loaded yet or the next offset is no longer in the log.
func (t *Tail) read() error {
	for {
		t.mu.Lock()
		from := t.nextOffset
		t.mu.Unlock()
		sentAtMs := clock.BootMs()
		if from < 0 {
			return t.load(sentAtMs)
		}
		page, err := t.cfg.Store.Read(platform.ReadRequest{
			Topic: t.cfg.Topic, Part: t.cfg.Part, From: from, Deadline: time.Now().Add(readTimeout),
		})
		if err != nil {
			t.fail(err)
			return err
		}
		if page.Lost {
			return t.load(sentAtMs)
		}
		t.apply(from, page.Records, sentAtMs, page.Next >= page.End)
		if page.Next >= page.End || len(page.Records) == 0 {
			return nil
		}
	}
}

// load folds the newest record of each key, then the records that were appended meanwhile.
func (t *Tail) load(sentAtMs int64) error {
	page, err := t.cfg.Store.Newest(t.cfg.Topic, t.cfg.Part, time.Now().Add(loadTimeout))
	if err != nil {
		t.fail(err)
		return err
	}
	t.mu.Lock()
	t.onRecords(page.Records)
	t.nextOffset = max(t.nextOffset, page.Next)
	from := t.nextOffset
	t.mu.Unlock()
	t.cfg.Log.Info("partition loaded", zap.String("topic", t.cfg.Topic), zap.Int("part", t.cfg.Part),
		zap.Int("records", len(page.Records)), zap.Int64("offset", page.Next))
	page, err = t.cfg.Store.Read(platform.ReadRequest{
		Topic: t.cfg.Topic, Part: t.cfg.Part, From: from, Deadline: time.Now().Add(readTimeout),
	})
	if err != nil {
		t.fail(err)
		return err
	}
	t.apply(from, page.Records, sentAtMs, !page.Lost && page.Next >= page.End)
	return nil
}

// fail records a failed read. Only the first of several in a row is logged.
func (t *Tail) fail(err error) {
	t.mu.Lock()
	first := !t.failed
	t.failed = true
	t.mu.Unlock()
	if first {
		t.cfg.Log.Warn("partition cannot be read", zap.String("topic", t.cfg.Topic), zap.Int("part", t.cfg.Part), zap.Error(err))
	}
}

// apply folds the records of a read from an offset on that was sent at sentAtMs. atEnd says that they reach the end of the
// partition.
func (t *Tail) apply(from int64, records []jobs.Record, sentAtMs int64, atEnd bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failed {
		t.cfg.Log.Info("partition can be read again", zap.String("topic", t.cfg.Topic), zap.Int("part", t.cfg.Part))
	}
	t.failed = false
	if skip := t.nextOffset - from; skip > 0 { // a concurrent read has applied these records
		records = records[min(skip, int64(len(records))):]
	}
	t.onRecords(records)
	t.nextOffset += int64(len(records))
	if atEnd {
		t.readAtMs = max(t.readAtMs, sentAtMs)
	}
}

// Apply folds records that this process has just stored, without waiting for the next read.
func (t *Tail) Apply(records []jobs.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onRecords(records)
}

// CatchUp reads up to the current end of the partition. The read starts after the call, so that it returns all that was
// stored before. Concurrent callers share a read. It returns the error of the read or of ctx.
func (t *Tail) CatchUp(ctx context.Context) error {
	t.sharedMu.Lock()
	c := t.queued
	if c == nil {
		c = &sharedRead{done: make(chan struct{})}
		if t.running == nil {
			t.running = c
			go t.runShared(c)
		} else {
			t.queued = c
		}
	}
	t.sharedMu.Unlock()
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runShared performs a shared read, and then the one that was queued meanwhile, until none is queued.
func (t *Tail) runShared(c *sharedRead) {
	for c != nil {
		c.err = t.read()
		close(c.done)
		t.sharedMu.Lock()
		t.running, t.queued = t.queued, nil
		c = t.running
		t.sharedMu.Unlock()
	}
}

// Position tells how far a tail has read.
type Position struct {
	NextOffset int64 // -1 before the first load
	ReadAtMs   int64 // local ms at which the newest read that reached the end was sent
	Failed     bool  // the last read failed
}

// Position returns how far the tail has read.
func (t *Tail) Position() Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Position{t.nextOffset, t.readAtMs, t.failed}
}
