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

// Appends of an owner.
const (
	// appendTimeout bounds one append. An append whose answer is lost is repeated.
	appendTimeout = 700 * time.Millisecond
	// slowAppendTimeout replaces it after a timeout, for a store that is slow.
	slowAppendTimeout = 2 * time.Second
	// patienceTimes is how many times as long as the last append the next one may take.
	patienceTimes = 3
	// slowAppend is the time above which an append is logged.
	slowAppend = 200 * time.Millisecond
	// appendPause is the pause before an append is repeated.
	appendPause = 60 * time.Millisecond
	// maxFirstSeq bounds the first sequence number of an epoch.
	maxFirstSeq = 1 << 40
)

// metricAppend is the histogram of appends.
const metricAppend = "sassafrasvalve_append_seconds"

// health is what an owner knows of the store: whether it takes this epoch's records.
type health struct {
	refused   atomic.Bool  // the last append that failed was refused, and not merely unanswered
	failing   atomic.Int64 // local ms since when appends bring no success, 0 while they do
	confirmed atomic.Int64 // local ms at which the last append that succeeded was sent
}

// doubtful reports whether the store has taken none of the owner's records for so long that another process may do better.
func (h *health) doubtful() bool {
	f := h.failing.Load()
	limit := int64(unansweredAfter)
	if h.refused.Load() {
		limit = refusedAfter
	}
	return f != 0 && clock.BootMs()-f >= limit
}

// writer appends to one partition as the owner of an epoch. The store fences earlier epochs. It is not safe
// for concurrent use.
type writer struct {
	store    Store
	topic    string
	part     int
	producer string
	epoch    int64
	seq      int64 // of the last append
	patience time.Duration
	pace     time.Duration // of the last answer, times patienceTimes
	health   *health
	log      *zap.Logger
	stats    *stats.Stats
	timed    func(time.Duration) // takes the duration of each append
}

// write appends records until their fate is known. It returns false once the epoch is over or ctx has ended.
// Once the store refuses the records, and no earlier attempt may have stored them, refused, if given, returns
// those that are still to be written. Without records, write makes the epoch known to the store.
func (w *writer) write(ctx context.Context, records []jobs.Record, refused func() []jobs.Record) bool {
	w.seq++
	begun, begunAt := time.Now(), clock.BootMs()
	timeout := w.patience
	unknown := false
	for ctx.Err() == nil {
		sent := time.Now()
		res, took, err := Hedge(w.store, platform.Append{
			Topic: w.topic, Part: w.part, Records: records, At: -1,
			Producer: w.producer, Epoch: w.epoch, Seq: w.seq, Deadline: sent.Add(timeout),
		}, w.pace)
		if err == nil {
			// The next append waits as long as this one suggests, so that a slow store is not asked twice.
			w.pace = patienceTimes * took
			w.patience = min(max(appendTimeout, w.pace), slowAppendTimeout)
			return w.answered(res, begun, begunAt, len(records), unknown || time.Since(sent) > took+hedgeAfter)
		}
		w.health.failing.CompareAndSwap(0, begunAt)
		w.health.refused.Store(platform.VerdictOf(err) == retry.NotRun)
		w.stats.Count("sassafrasvalve_appends_failed_total", nil, 1)
		if platform.VerdictOf(err) != retry.NotRun {
			unknown = true
			timeout = slowAppendTimeout
		} else if !unknown && refused != nil {
			if records = refused(); len(records) == 0 {
				w.seq--
				return true
			}
			refused = nil
		}
		wire.Sleep(ctx, appendPause)
	}
	return false
}

// answered takes over the answer to an append.
func (w *writer) answered(res platform.AppendResult, begun time.Time, begunAt int64, n int, unknown bool) bool {
	w.health.failing.Store(0)
	if res.Outcome != platform.Appended {
		w.log.Info("shard lost to another owner", zap.String("topic", w.topic), zap.Int64("epoch", w.epoch),
			zap.Int("outcome", int(res.Outcome)))
		return false
	}
	if n > 0 {
		w.health.confirmed.Store(max(begunAt, w.health.confirmed.Load()))
	}
	took := time.Since(begun)
	w.timed(took)
	if took > slowAppend {
		w.log.Info("append slow", zap.String("topic", w.topic), zap.Duration("took", took), zap.Int("records", n),
			zap.Bool("unanswered", unknown))
	}
	return true
}
