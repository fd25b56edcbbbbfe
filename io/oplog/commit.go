package oplog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sassafrasvalve/io/wire"
)

// Run sends the queued records until ctx ends. Records that wait then end as Unknown or NotAppended.
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

func (w *Writer) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	for _, it := range w.items {
		w.finishUndecided(it, errStopped)
	}
}

// awaitDue blocks until a record may be sent and reports whether ctx is still alive.
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

// nextDue returns the time until a queued record may be sent, or true if one may be sent now.
func (w *Writer) nextDue() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, pause := w.cfg.Clock.Now(), time.Minute
	for _, it := range w.queue {
		if !it.queued {
			continue
		}
		wait := it.after.Sub(now)
		if wait <= 0 {
			return 0, true
		}
		pause = min(pause, wait)
	}
	return pause, false
}

// collect takes the records of the next append off the queue.
func (w *Writer) collect() []*item {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, size := w.cfg.Clock.Now(), 0
	var batch, rest []*item
	for _, it := range w.queue {
		full := len(batch) == maxBatchRecords || (len(batch) > 0 && (size+len(it.data) > w.cfg.MaxBatch || it.alone || batch[0].alone))
		switch {
		case !it.queued: // ended meanwhile
		case full || it.after.After(now):
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

// commit sends one append and settles or requeues its records.
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
		w.appended(batch, span)
	case errors.Is(err, ErrUnknown):
		w.requeue(batch, true, unknownRetryFirst, unknownRetryMax)
	case errors.Is(err, ErrRefused):
		w.refuse(batch, err)
	default:
		w.requeue(batch, false, retryFirst, retryMax)
	}
}

// checkRepeats returns the records of a batch that may be sent. It ends those that are too old to be sent
// again, and puts repeats back while the end of the log, and so their age, cannot be read.
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
	w.end = max(w.end, bounds.Next)
	for _, it := range repeats {
		if it.base == 0 {
			it.base = w.end // the end was not known at the first try
		}
		if w.end-it.base > repeatSpan {
			w.finishUndecided(it, errForgotten)
			continue
		}
		w.repeated.Add(1)
		fresh = append(fresh, it)
	}
	return fresh
}

// split sorts the records that still wait into those that are certainly not in the log and the others.
func (w *Writer) split(batch []*item) (fresh, repeats []*item) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, it := range batch {
		switch {
		case w.items[it.id] != it: // ended meanwhile
		case it.maybe:
			repeats = append(repeats, it)
		default:
			it.base = w.end
			fresh = append(fresh, it)
		}
	}
	return fresh, repeats
}

// appended notes that the records are in the log. They wait for Observe.
func (w *Writer) appended(batch []*item, span Span) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end = max(w.end, span.Next)
	for _, it := range batch {
		it.maybe, it.sending = true, false
	}
}

// requeue puts records back on the queue. Maybe says that they may be in the log.
func (w *Writer) requeue(batch []*item, maybe bool, first, limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Clock.Now()
	for _, it := range batch {
		it.sending = false
		it.maybe = it.maybe || maybe
		if w.items[it.id] != it {
			continue
		}
		it.after = now.Add(wire.Backoff(first, limit, it.tries))
		it.tries++
		it.queued = true
		w.queue = append(w.queue, it)
	}
}

// refuse ends a record that the platform does not take. The records of a larger batch are tried one by one.
func (w *Writer) refuse(batch []*item, cause error) {
	if len(batch) > 1 {
		w.requeue(batch, false, 0, 0)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(batch) > 1 {
		for _, it := range batch {
			it.alone = true
		}
		return
	}
	it := batch[0]
	it.sending = false
	w.refused.Add(1)
	if it.maybe {
		w.finishUndecided(it, cause)
		return
	}
	w.finish(it, Outcome{ID: it.id, Verdict: NotAppended}, fmt.Errorf("%w: %w", ErrNotAppended, cause))
}
