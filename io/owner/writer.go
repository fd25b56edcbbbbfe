package owner

import (
	"context"
	"sync/atomic"
	"time"

	"sassafrasvalve/io/stats"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/io/wire"
	"sassafrasvalve/platform"
)

// Timeouts, pauses and limits of an owner's appends.
const (
	// appendTimeout bounds one append. An append whose answer is lost is repeated.
	appendTimeout = 700 * time.Millisecond
	// slowAppendTimeout replaces appendTimeout after an unanswered append, in case the store is slow.
	slowAppendTimeout = 2 * time.Second
	// answerTimeFactor is the time that an append may take as a multiple of the last answer time.
	answerTimeFactor = 3
	// slowAppend is the duration above which an append is logged.
	slowAppend = 200 * time.Millisecond
	// appendRetryPause is the pause before a failed append is repeated.
	appendRetryPause = 60 * time.Millisecond
	// maxFirstSeq bounds the first sequence number of an epoch.
	maxFirstSeq = 1 << 40
)

// metricAppend is the name of the histogram of append durations.
const metricAppend = "sassafrasvalve_append_seconds"

// storeHealth tracks whether the store accepts the records of this process's epoch.
type storeHealth struct {
	lastRefused    atomic.Bool  // the last failed append was refused or its connection reset, rather than left unanswered
	failingSinceMs atomic.Int64 // local ms of the first failed append since the last success, 0 if none failed
	confirmedAtMs  atomic.Int64 // local ms at which the last successful append was sent
}

// refusing reports whether the store turns the records of this process away at present, though it may accept those of
// other entries.
func (h *storeHealth) refusing() bool { return h.failingSinceMs.Load() != 0 && h.lastRefused.Load() }

// unavailable reports whether the store has accepted none of the owner's records for so long that another process may
// reach the store better.
func (h *storeHealth) unavailable() bool {
	f := h.failingSinceMs.Load()
	limit := int64(maxUnansweredMs)
	if h.lastRefused.Load() {
		limit = maxRefusedMs
	}
	return f != 0 && clock.BootMs()-f >= limit
}

// writer appends to one partition under an epoch. The store fences earlier epochs of the same producer. A writer is not
// safe for concurrent use.
type writer struct {
	store      Store
	topic      string
	part       int
	producer   string
	epoch      int64
	seq        int64         // of the last append
	timeout    time.Duration // of the next append
	hedgePause time.Duration // answerTimeFactor times the last answer time; Hedge waits for it before the first copy
	limits     platform.Limits
	health     *storeHealth
	log        *zap.Logger
	stats      *stats.Stats
	observe    func(time.Duration) // observes the duration of each append
}

// setAnswerTime sets the times of the next append by how long the store took for the last answer, so that a slow store does
// not get needless copies.
func (w *writer) setAnswerTime(took time.Duration) {
	w.hedgePause = answerTimeFactor * took
	w.timeout = min(max(appendTimeout, w.hedgePause), slowAppendTimeout)
}

// write appends records and repeats the append until its outcome is known. It returns false if ctx ends or the outcome is
// not Appended, mostly because the store has seen a higher epoch. If the store refuses a call and no earlier attempt may
// have stored the records, write calls refused, if not nil, once and continues with the records that it returns. Without
// records, write announces the epoch to the store. Records that the log refuses for their size are left out.
func (w *writer) write(ctx context.Context, records []jobs.Record, refused func() []jobs.Record) bool {
	records = w.dropOversized(records)
	w.seq++
	startedAt, startedAtMs := time.Now(), clock.BootMs()
	timeout := w.timeout
	maybeStored := false // an earlier attempt may have stored the records
	for ctx.Err() == nil {
		sentAt := time.Now()
		res, took, err := Hedge(w.store, platform.AppendRequest{
			Topic: w.topic, Part: w.part, Records: records, At: -1,
			Producer: w.producer, Epoch: w.epoch, Seq: w.seq, Deadline: sentAt.Add(timeout),
		}, w.hedgePause)
		if err == nil {
			w.setAnswerTime(took)
			return w.handleResult(res, startedAt, startedAtMs, len(records), maybeStored || time.Since(sentAt) > took+hedgeAfter)
		}
		w.health.failingSinceMs.CompareAndSwap(0, startedAtMs)
		// A store that resets connections turns this host away, while a slow one lets calls wait.
		w.health.lastRefused.Store(platform.VerdictOf(err) == retry.NotRun || time.Since(sentAt) < hedgeAfter)
		w.stats.Count("sassafrasvalve_appends_failed_total", nil, 1)
		if platform.VerdictOf(err) != retry.NotRun {
			maybeStored = true
			timeout = slowAppendTimeout
		} else if !maybeStored && refused != nil {
			if records = refused(); len(records) == 0 {
				w.seq--
				return true
			}
			refused = nil
		}
		wire.Sleep(ctx, appendRetryPause)
	}
	return false
}

// dropOversized returns the records without those that the log would refuse for their size. One of these would hold up all other
// records of the partition for good, also those of the next owner.
func (w *writer) dropOversized(records []jobs.Record) []jobs.Record {
	kept := make([]jobs.Record, 0, len(records))
	for _, r := range records {
		if err := w.limits.CheckRecord(r); err != nil {
			w.log.Error("record left out", zap.String("topic", w.topic), zap.Int("part", w.part), zap.String("key", r.Key), zap.Error(err))
			w.stats.Count("sassafrasvalve_records_left_out_total", nil, 1)
			continue
		}
		kept = append(kept, r)
	}
	return kept
}

// outcomeNames holds the names of append outcomes in logs.
var outcomeNames = map[platform.Outcome]string{
	platform.Appended: "appended", platform.Fenced: "fenced", platform.EndMismatch: "end mismatch", platform.OutOfSeq: "sequence mismatch",
}

// handleResult updates the store's health from the answer to an append of n records. unanswered tells whether an earlier
// attempt or copy brought no answer. It returns false for any outcome but Appended, and the caller then treats the shard
// as lost. Only the outcome Fenced proves that another process owns it.
func (w *writer) handleResult(res platform.AppendResult, startedAt time.Time, startedAtMs int64, n int, unanswered bool) bool {
	w.health.failingSinceMs.Store(0)
	if res.Outcome != platform.Appended {
		w.log.Info("shard lost to another owner", zap.String("topic", w.topic), zap.Int64("epoch", w.epoch),
			zap.String("outcome", outcomeNames[res.Outcome]))
		return false
	}
	if n > 0 {
		w.health.confirmedAtMs.Store(max(startedAtMs, w.health.confirmedAtMs.Load()))
	}
	took := time.Since(startedAt)
	w.observe(took)
	if took > slowAppend {
		w.log.Info("append slow", zap.String("topic", w.topic), zap.Duration("took", took), zap.Int("records", n),
			zap.Bool("unanswered", unanswered))
	}
	return true
}
