package owner

import (
	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/shard"
	"sassafrasvalve/platform"
)

// appendCall holds the records of one append.
type appendCall struct {
	own     []jobs.Record     // of the engine
	pending []*pendingRecords // submitted by entries
}

// records returns all records of the append.
func (b *appendCall) records() []jobs.Record {
	list := b.own
	for _, p := range b.pending {
		list = append(list, p.records...)
	}
	return list
}

// appendLoop makes the append calls one at a time, answers the callers of the pending records and sends to appended
// whether the shard is still owned. It ends once calls is closed.
func (r *poolRun) appendLoop(calls <-chan *appendCall, appended chan<- bool) {
	defer r.wg.Done()
	for b := range calls {
		ok := r.writer.write(r.ctx, b.records(), func() []jobs.Record {
			// The store refuses calls at present. The callers of Store are answered at once that nothing was stored.
			answerAll(b.pending, StoreResult{Owner: true, Verdict: retry.NotRun})
			b.pending = nil
			return b.own
		})
		if ok {
			for _, p := range b.pending {
				r.jobLog.Apply(p.records)
			}
			for _, p := range b.pending {
				s := StoreResult{Owner: true, Verdict: retry.Ran}
				if r.excludes(p.records) {
					s.Verdict = retry.NotRun // the exclusion came first
				}
				p.done <- s
			}
		} else {
			answerAll(b.pending, StoreResult{Owner: true, Verdict: retry.MayHaveRun})
		}
		appended <- ok
	}
}

// startAppend passes the engine's next batch and the pending records to appendLoop if there is something to record. It
// is called with mu held.
func (r *poolRun) startAppend(calls chan<- *appendCall) {
	b, err := r.engine.NextBatch()
	if err != nil {
		r.log.Error("encode batch of records failed", zap.Error(err))
		return
	}
	if b == nil {
		b = &shard.Batch{}
	}
	r.sendAppend(calls, b)
}

// appendInPause passes the pending records to appendLoop between two ticks, unless an append is in progress. The engine's
// batch goes with them if the last tick could not start its append.
func (r *poolRun) appendInPause(calls chan<- *appendCall) {
	switch {
	case r.engineBatch != nil:
	case r.batchDue:
		r.batchDue = false
		r.mu.Lock()
		r.startAppend(calls)
		r.mu.Unlock()
	default:
		r.sendAppend(calls, &shard.Batch{})
	}
}

// sendAppend passes a batch of the engine and the pending records to appendLoop if there is something to record.
func (r *poolRun) sendAppend(calls chan<- *appendCall, b *shard.Batch) {
	r.pending = append(r.pending, r.o.drainInbox()...)
	n := countWithin(r.pending, r.writer.limits.MaxCallBytes()-platform.CallBytes(b.Records))
	pending := takeForAppend(r.pending[:n])
	r.pending = r.pending[n:]
	if len(b.Records) == 0 && len(pending) == 0 {
		return
	}
	r.engineBatch = b
	calls <- &appendCall{own: b.Records, pending: pending}
}

// countWithin returns how many pending records at the start of a list have at most maxBytes together, and at least 1 unless the
// list is empty.
func countWithin(list []*pendingRecords, maxBytes int) int {
	n := 0
	for size := 0; n < len(list); n++ {
		if size += platform.CallBytes(list[n].records); size > maxBytes && n > 0 {
			break
		}
	}
	return n
}

// handleBatchStored applies the stored batch, sends the orders that waited for it and notifies the sessions, whose next
// polls acknowledge the recorded ends.
func (r *poolRun) handleBatchStored() {
	now := clock.BootMs()
	r.jobLog.Apply(r.engineBatch.Records)
	r.mu.Lock()
	defer r.mu.Unlock()
	orders := r.engine.HandleBatchStored(r.engineBatch, now)
	stored := len(r.engineBatch.Records) > 0
	r.engineBatch = nil
	r.send(orders)
	if !stored {
		return
	}
	for _, s := range r.sessions {
		s.notifyEndsRecorded()
	}
}
