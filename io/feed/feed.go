// Package feed follows a keyed topic that other processes write.
package feed

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/io/wire"
	"sassafrasvalve/platform"
)

// Timeouts and pauses of the reads.
const (
	// readTolerance is the extra time that an answer may take beyond the requested wait.
	readTolerance = 800 * time.Millisecond
	// retryPause is the pause after a failed read.
	retryPause = 150 * time.Millisecond
	// maxPause is the longest pause between two reads, reached while the store refuses them. Shorter waits compensate for
	// it.
	maxPause = 800 * time.Millisecond
	// loadTimeout bounds the read of the newest record of each key.
	loadTimeout = 4 * time.Second
)

// Reader reads the log. Read returns the records from an offset on, Newest the newest record of each key.
type Reader interface {
	Read(r platform.ReadRequest) (platform.Page, error)
	Newest(topic string, part int, deadline time.Time) (platform.Page, error)
}

// Config configures a Feed.
type Config struct {
	Store Reader
	Topic string
	Wait  time.Duration // how long the store holds a read back that has no new records
	Pause time.Duration // between two reads
	Log   *zap.Logger
	// Apply receives the records in order. whole is true if they are the complete content of the topic.
	Apply func(records []jobs.Record, whole bool)
}

// Feed follows partition 0 of a topic. ReadAtMs and Failed are safe for concurrent use.
type Feed struct {
	cfg        Config
	nextOffset int64 // -1 before the first load
	readAtMs   atomic.Int64
	failed     atomic.Bool
}

// New returns a feed that has read nothing yet.
func New(cfg Config) *Feed { return &Feed{cfg: cfg, nextOffset: -1} }

// ReadAtMs returns the local ms at which the newest read that reached the end of the topic was sent, or 0 before the first.
func (f *Feed) ReadAtMs() int64 { return f.readAtMs.Load() }

// Failed reports whether the last read of Run failed.
func (f *Feed) Failed() bool { return f.failed.Load() }

// NextOffset returns the offset of the next read. Only Config.Apply may call it, since it is not synchronized.
func (f *Feed) NextOffset() int64 { return f.nextOffset }

// Run follows the topic until ctx ends.
func (f *Feed) Run(ctx context.Context) { f.loop(ctx) }

func (f *Feed) loop(ctx context.Context) {
	pacer := wire.ReadPacer{Interval: f.cfg.Pause, RetryInterval: retryPause, MaxInterval: maxPause}
	wait := f.cfg.Wait
	for ctx.Err() == nil {
		err := f.ReadOnce(wait)
		pause := pacer.Next(err != nil, platform.IsRateLimited(err))
		// The age of the newest read can reach two waits plus the pause between them, so a longer pause shortens the wait.
		wait = max(f.cfg.Wait-max(pause-f.cfg.Pause, 0)/2, 0)
		if wasFailed := f.failed.Swap(err != nil); wasFailed != (err != nil) {
			if err != nil {
				f.cfg.Log.Warn("topic cannot be read", zap.String("topic", f.cfg.Topic), zap.Error(err))
			} else {
				f.cfg.Log.Info("topic can be read again", zap.String("topic", f.cfg.Topic))
			}
		}
		if pause == 0 {
			continue
		}
		wire.Sleep(ctx, pause)
	}
}

// ReadOnce reads and applies the records after the last read; at the end of the topic it waits up to wait for new ones. It
// loads the whole topic if nothing was read yet or the next offset is no longer in the log. It must not be called while Run
// is running.
func (f *Feed) ReadOnce(wait time.Duration) error {
	sentAtMs := clock.BootMs()
	if f.nextOffset >= 0 {
		page, err := f.cfg.Store.Read(platform.ReadRequest{
			Topic: f.cfg.Topic, From: f.nextOffset, WaitMs: wait.Milliseconds(), Deadline: time.Now().Add(wait + readTolerance),
		})
		if err != nil {
			return err
		}
		if !page.Lost {
			f.nextOffset = page.Next
			if len(page.Records) > 0 {
				f.cfg.Apply(page.Records, false)
			}
			if page.Next >= page.End {
				f.readAtMs.Store(sentAtMs)
			}
			return nil
		}
		f.cfg.Log.Info("reloading topic: the next offset is no longer in the log",
			zap.String("topic", f.cfg.Topic), zap.Int64("offset", f.nextOffset))
	}
	page, err := f.cfg.Store.Newest(f.cfg.Topic, 0, time.Now().Add(loadTimeout))
	if err != nil {
		return err
	}
	f.nextOffset = page.Next
	f.cfg.Apply(page.Records, true)
	f.readAtMs.Store(sentAtMs)
	return nil
}
