package owner

import (
	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/shard"
)

// batch is what one append stores: the owner's own records, and those that entries handed in.
type batch struct {
	own     []jobs.Record
	intakes []*intake
}

// records returns all records of the batch.
func (b *batch) records() []jobs.Record {
	list := b.own
	for _, in := range b.intakes {
		list = append(list, in.records...)
	}
	return list
}

// appendLoop appends one batch at a time.
func (r *run) appendLoop(batches <-chan *batch, appended chan<- bool) {
	defer r.wg.Done()
	for b := range batches {
		ok := r.writer.write(r.ctx, b.records(), func() []jobs.Record {
			// The store refuses calls at present: the callers learn at once that nothing was stored.
			answer(b.intakes, StoreResult{Owner: true, Verdict: retry.NotRun})
			b.intakes = nil
			return b.own
		})
		if ok {
			for _, in := range b.intakes {
				r.ledger.Apply(in.records)
			}
			answer(b.intakes, StoreResult{Owner: true, Verdict: retry.Ran})
		} else {
			answer(b.intakes, StoreResult{Owner: true, Verdict: retry.MayHaveRun})
		}
		appended <- ok
	}
}

// begin starts the next batch, if there is something to record.
func (r *run) begin(batches chan<- *batch) {
	b, err := r.engine.NextBatch()
	if err != nil {
		r.log.Error("batch not encoded", zap.Error(err))
		return
	}
	var records []jobs.Record
	if b != nil {
		records = b.Records
	}
	r.waiting = take(append(r.waiting, r.o.takeIntakes()...))
	if len(records) == 0 && len(r.waiting) == 0 {
		return
	}
	if b == nil {
		b = &shard.Batch{}
	}
	b.Records = records
	r.batch = b
	batches <- &batch{own: records, intakes: r.waiting}
	r.waiting = nil
}

// committed sends the orders of the batch that was stored.
func (r *run) committed() {
	now := clock.BootMs()
	r.ledger.Apply(r.batch.Records)
	r.mu.Lock()
	defer r.mu.Unlock()
	orders := r.engine.HandleBatchStored(r.batch, now)
	r.batch = nil
	r.send(orders)
	for _, l := range r.links {
		l.nudge()
	}
}
