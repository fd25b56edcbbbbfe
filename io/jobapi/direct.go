package jobapi

import (
	"context"
	"slices"
	"sync"
	"time"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/io/owner"
	"sassafrasvalve/platform"
)

const (
	// maxDirectBytes bounds the records of one append. A larger record is appended alone.
	maxDirectBytes = 256 << 10
	// answerTimeFactor is the time without an answer, as a multiple of the last answer time, after which an append is sent
	// again. It is also the pause behind an append, as a multiple of the time that it took, up to maxDirectPause.
	answerTimeFactor = 3
	// maxDirectPause leaves the callers that wait in the pause, for maxStoreTime at most, the time for another append.
	maxDirectPause = time.Second
	// firstHedgePause is the time without an answer after which the first append of a writer is sent again. It allows for a
	// slow store, in which the copies of all entries would wait before the appends of a new owner.
	firstHedgePause = 500 * time.Millisecond
)

// directWriter appends records to the partition of a shard whose owner does not answer. The store appends to a partition
// one call at a time, and a new owner's appends must not wait for those of many callers while the store is slow. So the
// writer has one append in progress, which includes all records that waited for it, and pauses behind each.
// It is safe for concurrent use.
type directWriter struct {
	store owner.Appender
	part  int

	mu         sync.Mutex
	waiting    []*directRecord
	running    bool
	hedgePause time.Duration // the time without an answer after which an append is sent again
}

// directRecord is a record that a caller waits for.
type directRecord struct {
	record    jobs.Record
	verdict   retry.Verdict // of the attempts so far
	appending bool
	withdrawn bool               // the caller waits no longer
	done      chan retry.Verdict // receives the final verdict; its capacity is 1
}

func newDirectWriter(store owner.Appender, part int) *directWriter {
	return &directWriter{store: store, part: part, hedgePause: firstHedgePause}
}

// Append appends a record and repeats that until ctx ends, unless the store refuses it. verdict is the verdict of the
// caller's earlier attempts.
func (w *directWriter) Append(ctx context.Context, rec jobs.Record, verdict retry.Verdict) retry.Verdict {
	r := &directRecord{record: rec, verdict: verdict, done: make(chan retry.Verdict, 1)}
	w.mu.Lock()
	w.waiting = append(w.waiting, r)
	if !w.running {
		w.running = true
		go w.run()
	}
	w.mu.Unlock()
	select {
	case v := <-r.done:
		return v
	case <-ctx.Done():
		return w.withdraw(r)
	}
}

// withdraw returns the verdict for a caller that waits no longer. Later appends do not include its record.
func (w *directWriter) withdraw(r *directRecord) retry.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = slices.DeleteFunc(w.waiting, func(o *directRecord) bool { return o == r })
	select {
	case v := <-r.done:
		return v
	default:
	}
	r.withdrawn = true
	if r.appending {
		return retry.MayHaveRun
	}
	return r.verdict
}

// run appends the waiting records until there are none.
func (w *directWriter) run() {
	for batch := w.take(); len(batch) > 0; batch = w.take() {
		records := make([]jobs.Record, len(batch))
		for i, r := range batch {
			records[i] = r.record
		}
		startedAt := time.Now()
		res, took, err := owner.Hedge(w.store, platform.AppendRequest{
			Topic: platform.TopicJobs, Part: w.part, Records: records, At: -1, Deadline: startedAt.Add(appendTimeout),
		}, w.hedgePause)
		switch {
		case err == nil && res.Outcome == platform.Appended:
			w.hedgePause = answerTimeFactor * took
			w.finish(batch, retry.Ran)
			time.Sleep(min(answerTimeFactor*time.Since(startedAt), maxDirectPause))
		case err != nil && platform.VerdictOf(err) != retry.NotRun:
			w.finish(batch, retry.MayHaveRun)
			time.Sleep(appendRetryInterval)
		default:
			w.finish(batch, retry.NotRun)
			time.Sleep(appendRetryInterval)
		}
	}
}

// take removes the records of the next append from those that wait. Without any, it ends the run.
func (w *directWriter) take() []*directRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	size, n := 0, 0
	for n < len(w.waiting) && (n == 0 || size+len(w.waiting[n].record.Value) <= maxDirectBytes) {
		w.waiting[n].appending = true
		size += len(w.waiting[n].record.Value)
		n++
	}
	batch := slices.Clone(w.waiting[:n])
	w.waiting = slices.Delete(w.waiting, 0, n)
	w.running = n > 0
	return batch
}

// finish answers the callers of an append's records. Those whose record may be stored wait for a further append.
func (w *directWriter) finish(batch []*directRecord, v retry.Verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range batch {
		r.appending = false
		if v == retry.MayHaveRun {
			r.verdict = v
		}
		if v == retry.Ran || r.verdict == retry.NotRun {
			r.done <- v
			continue
		}
		if r.withdrawn {
			continue
		}
		w.waiting = append(w.waiting, r)
	}
}
