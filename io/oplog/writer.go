package oplog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/fleet"
)

const (
	defaultQueue     = 1024
	defaultInterval  = 20 * time.Millisecond
	defaultPerSecond = 30 // 9 entries take 270 of the platform's several hundred appends a second
	// defaultMaxRecord holds the largest record, a snapshot chunk of 64 KiB or a job of 48 KiB, in base64.
	defaultMaxRecord = 128 << 10 // bytes
	defaultMaxBatch  = 512 << 10 // bytes
	maxBatchRecords  = 256
	// repeatSpan bounds the offsets over which an ID is repeated. The fold forgets an ID after 100,000
	// offsets; half of that leaves room for records that are appended between the check and the repeat.
	repeatSpan        = 50_000
	boundsTimeout     = time.Second
	retryFirst        = 50 * time.Millisecond
	retryMax          = 500 * time.Millisecond
	unknownRetryFirst = 250 * time.Millisecond // a reader sees a record that took effect within that time
	unknownRetryMax   = 2 * time.Second
)

// ErrQueueFull says that too many records wait for the log. It comes with ErrNotAppended.
var ErrQueueFull = errors.New("append queue is full")

var (
	errStopped     = errors.New("writer has stopped")
	errForgotten   = errors.New("the record is too old to be repeated")
	errDuplicate   = errors.New("the record's first place in the log was not seen")
	errRecordLarge = errors.New("record is too large")
)

// Verdict says what became of an appended record.
type Verdict string

// The verdicts. Only Unknown leaves open whether the record is in the log.
const (
	Accepted    Verdict = "accepted"
	Rejected    Verdict = "rejected"
	Unknown     Verdict = "unknown"
	NotAppended Verdict = "not-appended"
)

// Outcome is the fate of a record. Offset and Reason are set for Accepted and Rejected.
type Outcome struct {
	ID      string
	Verdict Verdict
	Offset  int64
	Reason  string
}

// WriterConfig configures a Writer. Zero values get defaults.
type WriterConfig struct {
	Client    *Client
	Clock     clock.Clock
	Writer    string        // fills Record.Writer
	Queue     int           // records that wait for their outcome
	Interval  time.Duration // least time between two appends
	PerSecond int           // appends
	MaxRecord int           // bytes
	MaxBatch  int           // bytes
}

// WriterCounters are totals since the start of a writer.
type WriterCounters struct {
	Records  int64 // offered
	Resolved int64 // found in the fold
	Repeated int64 // sent again after an unknown outcome
	Refused  int64 // by the full queue or the platform
	Pending  int   // records that wait for their outcome now
}

// item is a record on its way to the fold.
type item struct {
	id      string
	data    []byte
	waiters int
	done    chan struct{} // closed when outcome and err are set
	outcome Outcome
	err     error

	queued  bool      // waits to be sent
	maybe   bool      // may be in the log
	alone   bool      // is sent in an append of its own
	tries   int       // appends without success
	after   time.Time // not sent before
	base    int64     // end of the log when the record was first sent
	sending bool
}

// Writer appends records in group commits. It is safe for concurrent use.
type Writer struct {
	cfg   WriterConfig
	limit *rate.Limiter
	wake  chan struct{}

	mu      sync.Mutex
	items   map[string]*item
	queue   []*item // oldest first
	end     int64   // highest known end of the log
	stopped bool

	records, resolved, repeated, refused atomic.Int64
}

// NewWriter returns a writer. Nothing is sent until Run is called.
func NewWriter(cfg WriterConfig) *Writer {
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.Queue == 0 {
		cfg.Queue = defaultQueue
	}
	if cfg.Interval == 0 {
		cfg.Interval = defaultInterval
	}
	if cfg.PerSecond == 0 {
		cfg.PerSecond = defaultPerSecond
	}
	if cfg.MaxRecord == 0 {
		cfg.MaxRecord = defaultMaxRecord
	}
	if cfg.MaxBatch == 0 {
		cfg.MaxBatch = defaultMaxBatch
	}
	return &Writer{
		cfg:   cfg,
		limit: rate.NewLimiter(rate.Limit(cfg.PerSecond), 1+cfg.PerSecond/10),
		wake:  make(chan struct{}, 1),
		items: map[string]*item{},
	}
}

// Counters returns the totals since the start.
func (w *Writer) Counters() WriterCounters {
	w.mu.Lock()
	defer w.mu.Unlock()
	return WriterCounters{
		Records: w.records.Load(), Resolved: w.resolved.Load(), Repeated: w.repeated.Load(),
		Refused: w.refused.Load(), Pending: len(w.items),
	}
}

// Append appends a record and waits until the fold's result for it is reported through Observe or ctx ends.
// A missing ID, Version, Writer and At are filled in. Records appended at the same time may change their order.
// An error comes with the verdict Unknown, or with NotAppended, in which case it wraps ErrNotAppended.
func (w *Writer) Append(ctx context.Context, rec fleet.Record) (Outcome, error) {
	w.records.Add(1)
	w.fill(&rec)
	it, err := w.enqueue(&rec)
	if err != nil {
		w.refused.Add(1)
		return Outcome{ID: rec.ID, Verdict: NotAppended}, fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	select {
	case <-it.done:
		return it.outcome, it.err
	case <-ctx.Done():
		return w.abandon(it, ctx.Err())
	}
}

func (w *Writer) fill(rec *fleet.Record) {
	if rec.ID == "" {
		// NewV7 fails only if the system has no randomness, which uuid.New treats as fatal.
		rec.ID = uuid.Must(uuid.NewV7()).String()
	}
	if rec.Version == 0 {
		rec.Version = fleet.RecordVersion
	}
	if rec.Writer == "" {
		rec.Writer = w.cfg.Writer
	}
	if rec.At.IsZero() {
		rec.At = w.cfg.Clock.Now().UTC()
	}
}

// enqueue queues a record, or joins the one with the same ID that is on its way.
func (w *Writer) enqueue(rec *fleet.Record) (*item, error) {
	data, err := json.Marshal(rec)
	if err != nil {
		return nil, err
	}
	if len(data) > w.cfg.MaxRecord {
		return nil, fmt.Errorf("%w: %d bytes of at most %d", errRecordLarge, len(data), w.cfg.MaxRecord)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if it, ok := w.items[rec.ID]; ok {
		it.waiters++
		return it, nil
	}
	if w.stopped {
		return nil, errStopped
	}
	if len(w.items) >= w.cfg.Queue {
		return nil, ErrQueueFull
	}
	it := &item{id: rec.ID, data: data, waiters: 1, done: make(chan struct{}), queued: true}
	w.items[it.id] = it
	w.queue = append(w.queue, it)
	w.signal()
	return it, nil
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// abandon gives a record up for one waiter. Without a waiter it is not sent again.
func (w *Writer) abandon(it *item, cause error) (Outcome, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.items[it.id] != it {
		return it.outcome, it.err
	}
	it.waiters--
	if it.waiters == 0 {
		w.finishUndecided(it, cause)
		return it.outcome, it.err
	}
	return Outcome{ID: it.id, Verdict: Unknown}, fmt.Errorf("%w: %w", ErrUnknown, cause) // others still try
}

// finishUndecided ends a record without a result of the fold. It is called with mu held.
func (w *Writer) finishUndecided(it *item, cause error) {
	if it.maybe || it.sending {
		w.finish(it, Outcome{ID: it.id, Verdict: Unknown}, fmt.Errorf("%w: %w", ErrUnknown, cause))
		return
	}
	w.finish(it, Outcome{ID: it.id, Verdict: NotAppended}, fmt.Errorf("%w: %w", ErrNotAppended, cause))
}

// finish sets the outcome of a record once. It is called with mu held.
func (w *Writer) finish(it *item, outcome Outcome, err error) {
	if w.items[it.id] != it {
		return
	}
	delete(w.items, it.id)
	it.outcome, it.err, it.queued = outcome, err, false
	close(it.done)
}

// Observe reports the fold's result for a record of any writer. It is called in offset order, and not for
// a duplicate: the result that counts is the one at the first place of an ID.
func (w *Writer) Observe(id string, offset int64, accepted bool, reason string) {
	verdict := Rejected
	if accepted {
		verdict = Accepted
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end = max(w.end, offset+1)
	if it, ok := w.items[id]; ok {
		w.resolved.Add(1)
		w.finish(it, Outcome{ID: id, Verdict: verdict, Offset: offset, Reason: reason}, nil)
	}
}

// ObserveDuplicate reports that the fold met an ID again whose first result is not known here, as after
// a snapshot was loaded. A record that still waits ends as Unknown.
func (w *Writer) ObserveDuplicate(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if it, ok := w.items[id]; ok {
		w.finish(it, Outcome{ID: id, Verdict: Unknown}, fmt.Errorf("%w: %w", ErrUnknown, errDuplicate))
	}
}
