// Package feed follows a keyed topic that others write.
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

// Timing of the reads.
const (
	// readSlack is how long an answer may take beyond the wait asked for.
	readSlack = 800 * time.Millisecond
	// retryPause is the pause after a failed read.
	retryPause = 150 * time.Millisecond
	// slowest is the pause that refused reads lead to. Shorter waits make up for it.
	slowest = 800 * time.Millisecond
	// loadTimeout bounds a reload of the topic.
	loadTimeout = 4 * time.Second
)

// Reader is what a feed reads from.
type Reader interface {
	Read(r platform.Read) (platform.Page, error)
	Newest(topic string, part int, deadline time.Time) (platform.Page, error)
}

// Config is what a feed needs.
type Config struct {
	Store Reader
	Topic string
	Wait  time.Duration // how long the store holds a read back
	Pause time.Duration // between two reads
	Log   *zap.Logger
	// Apply gets the records in order. whole is set if they are all that the topic holds.
	Apply func(records []jobs.Record, whole bool)
}

// Feed follows partition 0 of a topic.
type Feed struct {
	cfg     Config
	cursor  int64
	freshAt atomic.Int64
	failed  atomic.Bool
}

// New returns a feed that has read nothing yet.
func New(cfg Config) *Feed { return &Feed{cfg: cfg, cursor: -1} }

// ReadAtMs returns the local ms at which the newest answered read was sent, 0 before the first.
func (f *Feed) ReadAtMs() int64 { return f.freshAt.Load() }

// Failed reports whether the last read brought no answer.
func (f *Feed) Failed() bool { return f.failed.Load() }

// NextOffset returns the offset of the next read. It may be called by Apply only.
func (f *Feed) NextOffset() int64 { return f.cursor }

// Run follows the topic until ctx ends.
func (f *Feed) Run(ctx context.Context) { f.loop(ctx) }

func (f *Feed) loop(ctx context.Context) {
	pace := wire.ReadPacer{Interval: f.cfg.Pause, RetryInterval: retryPause, MaxInterval: slowest}
	wait := f.cfg.Wait
	for ctx.Err() == nil {
		err := f.ReadOnce(wait)
		pause := pace.Next(err != nil, platform.IsRateLimited(err))
		// What was read gets as old as two waits and the pause between them.
		wait = max(f.cfg.Wait-max(pause-f.cfg.Pause, 0)/2, 0)
		if was := f.failed.Swap(err != nil); was != (err != nil) {
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

// ReadOnce reads once. It must not run beside Run.
func (f *Feed) ReadOnce(wait time.Duration) error {
	begun := clock.BootMs()
	if f.cursor >= 0 {
		page, err := f.cfg.Store.Read(platform.Read{
			Topic: f.cfg.Topic, From: f.cursor, WaitMs: wait.Milliseconds(), Deadline: time.Now().Add(wait + readSlack),
		})
		if err != nil {
			return err
		}
		if !page.Lost {
			f.cursor = page.Next
			if len(page.Records) > 0 {
				f.cfg.Apply(page.Records, false)
			}
			if page.Next >= page.End {
				f.freshAt.Store(begun)
			}
			return nil
		}
		f.cfg.Log.Info("topic reloaded: the records at the offset are no longer kept",
			zap.String("topic", f.cfg.Topic), zap.Int64("offset", f.cursor))
	}
	page, err := f.cfg.Store.Newest(f.cfg.Topic, 0, time.Now().Add(loadTimeout))
	if err != nil {
		return err
	}
	f.cursor = page.Next
	f.cfg.Apply(page.Records, true)
	f.freshAt.Store(begun)
	return nil
}
