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
	// hedgeTolerance is the time beyond its wait after which a read without a response is hedged by another one. The end
	// of an outage in which the platform does not answer requests is so noticed within a second.
	hedgeTolerance = 300 * time.Millisecond
	// maxReads bounds the reads in progress. At the bound the oldest is cancelled, at an age of 6.4 s with the
	// default wait, so reads never succeed on a platform that is slower than that.
	maxReads         = 8
	readBackoffFirst = 50 * time.Millisecond
	readBackoffMax   = 500 * time.Millisecond
)

// Batch is the result of one read of the log.
type Batch struct {
	SentAt  time.Time // when the read was sent
	Records []Entry   // consecutive; empty if there are no new records
	Next    int64     // offset after the last record
	End     int64     // end of the log according to the platform
}

// Fresh reports whether the batch reaches the end of the log: a reader that has folded it knows all records that were in
// the log at SentAt.
func (b Batch) Fresh() bool { return b.Next >= b.End }

// Sink receives the results of a Reader. Its methods are called in order by one goroutine, and may block.
type Sink interface {
	// Batch receives the records that follow the previous batch.
	Batch(ctx context.Context, b Batch)
	// Expired is called when the next offset is no longer in the log, which holds [first, next). It returns the
	// offset to continue from. After an error the read is repeated, which can call Expired again.
	Expired(ctx context.Context, first, next int64) (from int64, err error)
	// Failed is called for each read without a response or with an invalid one.
	Failed(err error)
}

// ReaderConfig configures a Reader. Clock, Max and Wait have defaults for their zero values.
type ReaderConfig struct {
	Client *Client
	Sink   Sink
	Clock  clock.Clock
	From   int64         // first offset to read
	Max    int           // records per read
	Wait   time.Duration // how long the platform holds a read at the end of the log back
}

// Reader follows the log and passes its records to a sink in offset order, each offset once. Next and Advance are safe for
// concurrent use.
type Reader struct {
	cfg   ReaderConfig
	next  atomic.Int64
	limit int // records per read; reduced while responses are too large
}

// NewReader returns a reader that starts at cfg.From. Nothing is read until Run is called.
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

// Next returns the next offset to pass to the sink.
func (r *Reader) Next() int64 { return r.next.Load() }

// Advance skips the offsets below next, whose records came from another source, such as a peer.
// The sink may still receive a batch that is being delivered.
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

// recover handles a failed read and reports whether the next one may follow without a pause.
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

// deliver passes a page to the sink, without the records that Advance has skipped meanwhile.
func (r *Reader) deliver(ctx context.Context, page Page, from int64, sent time.Time) {
	r.limit = min(r.cfg.Max, r.limit+1)
	b := Batch{SentAt: sent, Records: page.Records, Next: from + int64(len(page.Records)), End: page.Next}
	now := r.next.Load()
	if now > from {
		b.Records = b.Records[min(now-from, int64(len(b.Records))):]
		b.Next = max(b.Next, now)
	}
	r.Advance(b.Next)
	r.cfg.Sink.Batch(ctx, b)
}

// attempt is one of the concurrent reads of an offset.
type attempt struct {
	began  time.Time
	cancel context.CancelFunc
	page   Page
	err    error
}

// read reads from an offset on and hedges the read while responses are overdue. It returns the first successful response
// with the time at which that attempt was sent. It returns an error that is permanent, or that of the last attempt left. If
// the previous read failed, the platform is not asked to hold the read, so that the end of an outage is noticed at once.
func (r *Reader) read(ctx context.Context, from int64, failed bool) (Page, time.Time, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan *attempt)
	wait := r.cfg.Wait
	if failed {
		wait = 0
	}
	open := []*attempt{r.start(ctx, from, wait, results)}
	overdue := time.NewTicker(r.cfg.Wait + hedgeTolerance)
	defer overdue.Stop()
	for {
		select {
		case a := <-results:
			i := slices.Index(open, a)
			if i < 0 {
				continue // this attempt was cancelled as the oldest one
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

// start starts an attempt, which sends itself to results when it ends.
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

// permanent reports whether other reads of the same offset would fail with the same error.
func permanent(err error) bool {
	var expired *ErrExpired
	var ahead *ErrAhead
	return errors.As(err, &expired) || errors.As(err, &ahead) || errors.Is(err, ErrTooLarge)
}
