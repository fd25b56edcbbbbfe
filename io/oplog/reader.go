package oplog

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/io/wire"
)

const (
	defaultReadMax  = 512
	defaultReadWait = 500 * time.Millisecond
	// A read without a response for hedgeSlack beyond its wait is joined by another one, so that the end of
	// an outage in which the platform swallows requests is noticed within a second.
	hedgeSlack = 300 * time.Millisecond
	// maxReads bounds the reads in progress. Above it the oldest is cancelled, at an age of 6.4 s with the
	// default wait; a platform slower than that yields no reads.
	maxReads         = 8
	readBackoffFirst = 50 * time.Millisecond
	readBackoffMax   = 500 * time.Millisecond
)

// Batch is what one read of the log has shown.
type Batch struct {
	Began   time.Time // when the read was sent
	Records []Entry   // consecutive; empty if there was nothing new
	Next    int64     // offset after the last record
	End     int64     // end of the log that the platform stated
}

// Fresh reports whether a reader that has folded the batch knows all that was in the log at Began.
func (b Batch) Fresh() bool { return b.Next >= b.End }

// Sink takes what a Reader reads. Its methods are called by one goroutine, in order, and may block.
type Sink interface {
	// Batch takes the records that follow the batch before.
	Batch(ctx context.Context, b Batch)
	// Expired is told that the next offset has left the log, which holds [first, next).
	// It returns the offset to go on from. After an error the read is repeated and Expired called again.
	Expired(ctx context.Context, first, next int64) (from int64, err error)
	// Failed is told of each read that brought no response or a bad one.
	Failed(err error)
}

// ReaderConfig configures a Reader. Zero values get defaults.
type ReaderConfig struct {
	Client *Client
	Sink   Sink
	Clock  clock.Clock
	From   int64         // first offset to read
	Max    int           // records a read
	Wait   time.Duration // for which the platform holds a read at the end of the log
}

// Reader follows the log and hands its records to a sink in offset order, each offset once.
type Reader struct {
	cfg   ReaderConfig
	next  atomic.Int64
	limit int // records a read; falls while responses are too large
}

// NewReader returns a reader that starts at cfg.From.
func NewReader(cfg ReaderConfig) *Reader {
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.Max == 0 {
		cfg.Max = defaultReadMax
	}
	if cfg.Wait == 0 {
		cfg.Wait = defaultReadWait
	}
	r := &Reader{cfg: cfg, limit: cfg.Max}
	r.next.Store(cfg.From)
	return r
}

// Next returns the next offset to be handed over.
func (r *Reader) Next() int64 { return r.next.Load() }

// Advance tells the reader that the offsets below next were taken from another source, such as a peer.
// The sink may still get a batch that was being handed over.
func (r *Reader) Advance(next int64) {
	for {
		old := r.next.Load()
		if next <= old || r.next.CompareAndSwap(old, next) {
			return
		}
	}
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		began, from := r.cfg.Clock.Now(), r.next.Load()
		page, sent, err := r.read(ctx, from, failures > 0)
		if err == nil {
			failures = 0
			r.deliver(ctx, page, from, sent)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if r.recover(ctx, err) {
			failures = 0
			continue
		}
		// The pause counts from the start of the read, so that a slow failure does not delay the next read.
		pause := wire.Backoff(readBackoffFirst, readBackoffMax, failures) - r.cfg.Clock.Now().Sub(began)
		failures++
		wire.Sleep(ctx, max(pause, readBackoffFirst/2))
	}
}

// recover handles a failed read and reports whether the next one may follow at once.
func (r *Reader) recover(ctx context.Context, err error) bool {
	var expired *ErrExpired
	switch {
	case errors.As(err, &expired):
		from, err := r.cfg.Sink.Expired(ctx, expired.First, expired.Next)
		if err != nil {
			r.cfg.Sink.Failed(err)
			return false
		}
		r.next.Store(from)
		return from >= expired.First && from <= expired.Next
	case errors.Is(err, ErrTooLarge) && r.limit > 1:
		r.limit /= 2
		r.cfg.Sink.Failed(err)
		return true
	}
	r.cfg.Sink.Failed(err)
	return false
}

// deliver hands a page over, without the records that Advance has overtaken.
func (r *Reader) deliver(ctx context.Context, page Page, from int64, sent time.Time) {
	r.limit = min(r.cfg.Max, r.limit+1)
	b := Batch{Began: sent, Records: page.Records, Next: from + int64(len(page.Records)), End: page.Next}
	now := r.next.Load()
	if now > from {
		b.Records = b.Records[min(now-from, int64(len(b.Records))):]
		b.Next = max(b.Next, now)
	}
	r.Advance(b.Next)
	r.cfg.Sink.Batch(ctx, b)
}

// attempt is one of several concurrent reads of the same offset.
type attempt struct {
	began  time.Time
	cancel context.CancelFunc
	page   Page
	err    error
}

// read reads once and repeats the read while responses are overdue. The first useful response wins.
// After a failure the platform is not asked to hold the read, so that the end of an outage shows at once.
func (r *Reader) read(ctx context.Context, from int64, failed bool) (Page, time.Time, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan *attempt)
	wait := r.cfg.Wait
	if failed {
		wait = 0
	}
	open := []*attempt{r.start(ctx, from, wait, results)}
	overdue := time.NewTicker(r.cfg.Wait + hedgeSlack)
	defer overdue.Stop()
	for {
		select {
		case a := <-results:
			i := slices.Index(open, a)
			if i < 0 {
				continue // cancelled for its age
			}
			open = slices.Delete(open, i, i+1)
			if a.err == nil || len(open) == 0 || permanent(a.err) {
				return a.page, a.began, a.err
			}
		case <-overdue.C:
			r.cfg.Sink.Failed(errOverdue)
			if len(open) == maxReads {
				open[0].cancel()
				open = slices.Delete(open, 0, 1)
			}
			open = append(open, r.start(ctx, from, 0, results))
		case <-ctx.Done():
			return Page{}, time.Time{}, ctx.Err()
		}
	}
}

func (r *Reader) start(ctx context.Context, from int64, wait time.Duration, results chan<- *attempt) *attempt {
	one, cancel := context.WithCancel(ctx)
	a := &attempt{began: r.cfg.Clock.Now(), cancel: cancel}
	limit := r.limit
	go func() {
		defer cancel()
		a.page, a.err = r.cfg.Client.Read(one, from, limit, wait)
		select {
		case results <- a:
		case <-ctx.Done():
		}
	}()
	return a
}

var errOverdue = errors.New("response to a log read is overdue")

// permanent reports whether other reads of the same offset would fail alike.
func permanent(err error) bool {
	var expired *ErrExpired
	var ahead *ErrAhead
	return errors.As(err, &expired) || errors.As(err, &ahead) || errors.Is(err, ErrTooLarge)
}
