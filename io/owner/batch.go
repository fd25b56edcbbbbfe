package owner

import (
	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/shard"
)

// batch holds the records of one append.
type batch struct {
	own     []jobs.Record     // of the engine
	pending []*pendingRecords // submitted by entries
}

// records returns all records of the batch.
func (b *batch) records() []jobs.Record {
	list := b.own
	for _, p := range b.pending {
		list = append(list, p.records...)
	}
	return list
}

// appendLoop appends batches one at a time, answers the callers of the pending records and sends to appended whether the
// shard is still owned. It ends once batches is closed.
func (r *poolRun) appendLoop(batches <-chan *batch, appended chan<- bool) {
	defer r.wg.Done()
	for b := range batches {
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
			answerAll(b.pending, StoreResult{Owner: true, Verdict: retry.Ran})
		} else {
			answerAll(b.pending, StoreResult{Owner: true, Verdict: retry.MayHaveRun})
		}
		appended <- ok
	}
}

// startBatch passes the next batch to appendLoop if there is something to record. It is called with mu held.
func (r *poolRun) startBatch(batches chan<- *batch) {
	b, err := r.engine.NextBatch()
	if err != nil {
		r.log.Error("encode batch failed", zap.Error(err))
		return
	}
	var records []jobs.Record
	if b != nil {
		records = b.Records
	}
	r.pending = takeForAppend(append(r.pending, r.o.drainInbox()...))
	if len(records) == 0 && len(r.pending) == 0 {
		return
	}
	if b == nil {
		b = &shard.Batch{}
	}
	b.Records = records
	r.batch = b
	batches <- &batch{own: records, pending: r.pending}
	r.pending = nil
}

// handleBatchStored applies the stored batch, sends the orders that waited for it and triggers the next polls, which
// acknowledge the recorded ends.
func (r *poolRun) handleBatchStored() {
	now := clock.BootMs()
	r.jobLog.Apply(r.batch.Records)
	r.mu.Lock()
	defer r.mu.Unlock()
	orders := r.engine.HandleBatchStored(r.batch, now)
	r.batch = nil
	r.send(orders)
	for _, s := range r.sessions {
		s.triggerPoll()
	}
}
