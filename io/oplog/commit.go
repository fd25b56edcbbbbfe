package oplog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sassafrasvalve/io/wire"
)

// Run sends the queued records until ctx ends. The records that still wait then get the verdict Unknown or NotAppended.
func (w *Writer) Run(ctx context.Context) {
	defer w.stop()
	for w.awaitDue(ctx) {
		if w.limit.Wait(ctx) != nil {
			return
		}
		if batch := w.collect(); len(batch) > 0 {
			w.commit(ctx, batch)
		}
		if !wire.Sleep(ctx, w.cfg.Interval) {
			return
		}
	}
}

// stop ends all waiting records and refuses later ones.
func (w *Writer) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	for _, it := range w.items {
		w.finishUnresolved(it, errStopped)
	}
}

// awaitDue blocks until a record may be sent. It returns false if ctx has ended.
func (w *Writer) awaitDue(ctx context.Context) bool {
	for {
		pause, due := w.nextDue()
		if due {
			return ctx.Err() == nil
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-w.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// nextDue returns the time until a queued record may be sent. It returns true if one may be sent now.
func (w *Writer) nextDue() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, pause := w.cfg.Clock.Now(), time.Minute
	for _, it := range w.queue {
		if !it.queued {
			continue
		}
		wait := it.notBefore.Sub(now)
		if wait <= 0 {
			return 0, true
		}
		pause = min(pause, wait)
	}
	return pause, false
}

// collect removes the records of the next append from the queue and returns them.
func (w *Writer) collect() []*item {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, size := w.cfg.Clock.Now(), 0
	var batch, rest []*item
	for _, it := range w.queue {
		full := len(batch) == maxBatchRecords || (len(batch) > 0 && (size+len(it.data) > w.cfg.MaxBatch || it.sendAlone || batch[0].sendAlone))
		switch {
		case !it.queued: // finished meanwhile
		case full || it.notBefore.After(now):
			rest = append(rest, it)
		default:
			batch = append(batch, it)
			size += len(it.data)
			it.queued, it.sending = false, true
		}
	}
	w.queue = rest
	return batch
}

// commit sends one append. Its records then wait for Observe, are queued again, or are finished.
func (w *Writer) commit(ctx context.Context, batch []*item) {
	batch = w.checkRepeats(ctx, batch)
	if len(batch) == 0 {
		return
	}
	data := make([][]byte, len(batch))
	for i, it := range batch {
		data[i] = it.data
	}
	span, err := w.cfg.Client.Append(ctx, data)
	switch {
	case err == nil:
		w.markAppended(batch, span)
	case errors.Is(err, ErrUnknown):
		w.requeue(batch, true, unknownRetryFirst, unknownRetryMax)
	case errors.Is(err, ErrRefused):
		w.refuse(batch, err)
	default:
		w.requeue(batch, false, retryFirst, retryMax)
	}
}

// checkRepeats returns the records of a batch that may be sent. It finishes those that are too old to be sent
// again. If the end of the log cannot be read, the age of repeated records is unknown, and it queues them again.
func (w *Writer) checkRepeats(ctx context.Context, batch []*item) []*item {
	fresh, repeats := w.split(batch)
	if len(repeats) == 0 {
		return fresh
	}
	ctx, cancel := context.WithTimeout(ctx, boundsTimeout)
	defer cancel()
	bounds, err := w.cfg.Client.Bounds(ctx)
	if err != nil {
		w.requeue(repeats, false, retryFirst, retryMax)
		return fresh
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logEnd = max(w.logEnd, bounds.Next)
	for _, it := range repeats {
		if it.endAtFirstSend == 0 {
			it.endAtFirstSend = w.logEnd // the end of the log was not known when the record was first sent
		}
		if w.logEnd-it.endAtFirstSend > maxRepeatOffsets {
			w.finishUnresolved(it, errTooOld)
			continue
		}
		w.repeated.Add(1)
		fresh = append(fresh, it)
	}
	return fresh
}

// split divides the records that still wait into fresh ones, which are certainly not in the log, and repeats, which may be.
func (w *Writer) split(batch []*item) (fresh, repeats []*item) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, it := range batch {
		switch {
		case w.items[it.id] != it: // finished meanwhile
		case it.maybeAppended:
			repeats = append(repeats, it)
		default:
			it.endAtFirstSend = w.logEnd
			fresh = append(fresh, it)
		}
	}
	return fresh, repeats
}

// markAppended marks records as appended. They then wait for Observe.
func (w *Writer) markAppended(batch []*item, span Span) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logEnd = max(w.logEnd, span.Next)
	for _, it := range batch {
		it.maybeAppended, it.sending = true, false
	}
}

// requeue queues records again with a backoff from first to limit. maybeAppended says that they may be in the log.
func (w *Writer) requeue(batch []*item, maybeAppended bool, first, limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Clock.Now()
	for _, it := range batch {
		it.sending = false
		it.maybeAppended = it.maybeAppended || maybeAppended
		if w.items[it.id] != it {
			continue
		}
		it.notBefore = now.Add(wire.Backoff(first, limit, it.tries))
		it.tries++
		it.queued = true
		w.queue = append(w.queue, it)
	}
}

// refuse finishes a record that the platform refuses. The records of a larger batch are sent again one by one, since only
// some of them may be refused.
func (w *Writer) refuse(batch []*item, cause error) {
	if len(batch) > 1 {
		w.requeue(batch, false, 0, 0)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(batch) > 1 {
		for _, it := range batch {
			it.sendAlone = true
		}
		return
	}
	it := batch[0]
	it.sending = false
	w.refused.Add(1)
	if it.maybeAppended {
		w.finishUnresolved(it, cause)
		return
	}
	w.finish(it, Outcome{ID: it.id, Verdict: NotAppended}, fmt.Errorf("%w: %w", ErrNotAppended, cause))
}
