package oplog

import (
	"context"
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
	defaultPerSecond = 30 // 9 entries together use 270 of the several hundred appends per second that the platform allows
	// defaultMaxRecord allows the largest records, a snapshot chunk of 64 KiB and a job of 48 KiB, in base64.
	defaultMaxRecord = 128 << 10 // bytes
	defaultMaxBatch  = 512 << 10 // bytes
	maxBatchRecords  = 256
	// maxRepeatOffsets is the number of offsets after the first append of an ID within which it may be appended again. The
	// fold forgets an ID after 100,000 offsets. Half of that leaves a margin for records that are appended between the
	// check and the repeated append.
	maxRepeatOffsets  = 50_000
	boundsTimeout     = time.Second
	retryFirst        = 50 * time.Millisecond
	retryMax          = 500 * time.Millisecond
	unknownRetryFirst = 250 * time.Millisecond // within this time a reader sees a record that was appended
	unknownRetryMax   = 2 * time.Second
)

// ErrQueueFull is returned, wrapped with ErrNotAppended, if too many records wait for their outcome.
var ErrQueueFull = errors.New("append queue is full")

var (
	errStopped     = errors.New("writer has stopped")
	errTooOld      = errors.New("the record is too old to be repeated")
	errDuplicate   = errors.New("the record's first place in the log was not seen")
	errRecordLarge = errors.New("record is too large")
)

// Verdict is the result of appending a record.
type Verdict string

// The verdicts. Accepted and Rejected are results of the fold. After Unknown the record may or may not be in the log.
const (
	Accepted    Verdict = "accepted"
	Rejected    Verdict = "rejected"
	Unknown     Verdict = "unknown"
	NotAppended Verdict = "not-appended"
)

// Outcome is the result for one record. Offset and Reason are set for Accepted and Rejected.
type Outcome struct {
	ID      string
	Verdict Verdict
	Offset  int64
	Reason  string
}

// WriterConfig configures a Writer. All fields but Client and Writer have defaults for their zero values.
type WriterConfig struct {
	Client    *Client
	Clock     clock.Clock
	Writer    string        // value for Record.Writer
	Queue     int           // limit of the records that wait for their outcome
	Interval  time.Duration // shortest pause between two appends
	PerSecond int           // limit of the appends per second
	MaxRecord int           // limit of one encoded record, in bytes
	MaxBatch  int           // limit of the records of one append, in bytes
}

// WriterCounters are totals since the start of a writer.
type WriterCounters struct {
	Records  int64 // records passed to Append
	Resolved int64 // records whose result the fold has reported
	Repeated int64 // records sent again after an unknown outcome
	Refused  int64 // records refused by the writer or the platform
	Pending  int   // records that currently wait for their outcome
}

// item is a record without an outcome.
type item struct {
	id      string
	data    []byte
	waiters int           // callers of Append that wait for the outcome
	done    chan struct{} // closed when outcome and err are set
	outcome Outcome
	err     error

	queued         bool      // waits to be sent
	maybeAppended  bool      // may be in the log
	sendAlone      bool      // is sent in an append of its own
	tries          int       // failed appends
	notBefore      time.Time // earliest time of the next append
	endAtFirstSend int64     // end of the log when the record was first sent
	sending        bool      // an append of the record is in progress
}

// Writer appends records in group commits. It is safe for concurrent use.
type Writer struct {
	cfg   WriterConfig
	limit *rate.Limiter
	wake  chan struct{}

	mu      sync.Mutex
	items   map[string]*item
	queue   []*item // oldest first
	logEnd  int64   // highest known end of the log
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

// Append appends a record and waits until Observe reports the fold's result for it or ctx ends.
// It fills in a missing ID, Version, Writer or At. Records of concurrent calls may be appended in any order.
// With the verdict Unknown the error wraps ErrUnknown, with NotAppended it wraps ErrNotAppended; otherwise it is nil.
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

// fill sets the missing fields of a record.
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

// enqueue queues a record. If a record with the same ID is pending, it returns the item of that one.
func (w *Writer) enqueue(rec *fleet.Record) (*item, error) {
	data, err := fleet.Encode(*rec)
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

// abandon removes one waiter of a record. Without waiters the record is finished and not sent again.
func (w *Writer) abandon(it *item, cause error) (Outcome, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.items[it.id] != it {
		return it.outcome, it.err
	}
	it.waiters--
	if it.waiters == 0 {
		w.finishUnresolved(it, cause)
		return it.outcome, it.err
	}
	return Outcome{ID: it.id, Verdict: Unknown}, fmt.Errorf("%w: %w", ErrUnknown, cause) // other callers still wait
}

// finishUnresolved finishes a record without a result of the fold. It is called with mu held.
func (w *Writer) finishUnresolved(it *item, cause error) {
	if it.maybeAppended || it.sending {
		w.finish(it, Outcome{ID: it.id, Verdict: Unknown}, fmt.Errorf("%w: %w", ErrUnknown, cause))
		return
	}
	w.finish(it, Outcome{ID: it.id, Verdict: NotAppended}, fmt.Errorf("%w: %w", ErrNotAppended, cause))
}

// finish sets the outcome of a record, unless it is set already. It is called with mu held.
func (w *Writer) finish(it *item, outcome Outcome, err error) {
	if w.items[it.id] != it {
		return
	}
	delete(w.items, it.id)
	it.outcome, it.err, it.queued = outcome, err, false
	close(it.done)
}

// Observe takes the fold's result for a record of any writer. It must be called in offset order, and not for
// duplicates: the result of an ID is that of its first occurrence in the log.
func (w *Writer) Observe(id string, offset int64, accepted bool, reason string) {
	verdict := Rejected
	if accepted {
		verdict = Accepted
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logEnd = max(w.logEnd, offset+1)
	if it, ok := w.items[id]; ok {
		w.resolved.Add(1)
		w.finish(it, Outcome{ID: id, Verdict: verdict, Offset: offset, Reason: reason}, nil)
	}
}

// ObserveDuplicate reports a duplicate of an ID whose first result this process does not know, for example because it
// loaded a snapshot. A record that still waits gets the verdict Unknown.
func (w *Writer) ObserveDuplicate(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if it, ok := w.items[id]; ok {
		w.finish(it, Outcome{ID: id, Verdict: Unknown}, fmt.Errorf("%w: %w", ErrUnknown, errDuplicate))
	}
}
