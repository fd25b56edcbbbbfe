package owner

import (
	"context"
	"slices"
	"sync/atomic"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
)

// maxIntakes bounds the records that wait for the next append of a shard.
const maxIntakes = 512

// StoreResult says what became of records that were handed to an owner.
type StoreResult struct {
	Owner   bool // the process is the owner; otherwise nothing was done
	Verdict retry.Verdict
}

// intake is records that an entry hands in, to be stored with the owner's next batch.
type intake struct {
	records []jobs.Record
	done    chan StoreResult // of size 1
	fate    atomic.Int32
}

// The fates of an intake. Whoever moves it from open decides.
const (
	intakeOpen int32 = iota
	intakeTaken
	intakeWithdrawn // its caller has gone, and was told that nothing is stored
)

// take keeps the intakes whose callers still wait, for an append that begins now.
func take(list []*intake) []*intake {
	return slices.DeleteFunc(list, func(in *intake) bool { return !in.fate.CompareAndSwap(intakeOpen, intakeTaken) })
}

// Store has records stored with the owner's next batch. Records may be stored twice without harm. At the end of ctx they are
// withdrawn if no append has them yet.
func (o *Owner) Store(ctx context.Context, records []jobs.Record) StoreResult {
	if !o.owning.Load() {
		return StoreResult{Verdict: retry.NotRun}
	}
	if o.lost.Load() || o.health.failing.Load() != 0 && o.health.refused.Load() || o.health.doubtful() {
		return StoreResult{Verdict: retry.NotRun} // the store may still serve the entry that asks
	}
	if r := o.run.Load(); r != nil && r.knows(records) {
		return StoreResult{Owner: true, Verdict: retry.Ran}
	}
	in := &intake{records: records, done: make(chan StoreResult, 1)}
	select {
	case o.inbox <- in:
	default:
		return StoreResult{Owner: true, Verdict: retry.NotRun}
	}
	select {
	case s := <-in.done:
		return s
	case <-ctx.Done():
		if in.fate.CompareAndSwap(intakeOpen, intakeWithdrawn) {
			return StoreResult{Owner: true, Verdict: retry.NotRun}
		}
		return StoreResult{Owner: true, Verdict: retry.MayHaveRun}
	}
}

// takeIntakes returns what waits in the inbox.
func (o *Owner) takeIntakes() []*intake {
	var list []*intake
	for {
		select {
		case in := <-o.inbox:
			list = append(list, in)
		default:
			return list
		}
	}
}

// endIntakes answers those whose records no batch has taken.
func (o *Owner) endIntakes(waiting []*intake) {
	answer(append(waiting, o.takeIntakes()...), StoreResult{Verdict: retry.NotRun})
}

// JobState returns the state of a job, and whether the answer is sure: whether this process certainly owns the
// shard and, for a job that is not known, has read all that other entries appended.
func (o *Owner) JobState(ctx context.Context, id string) (s jobs.State, known, sure bool) {
	r := o.run.Load()
	if r == nil || !o.OwnershipConfirmed() {
		return jobs.Queued, false, false
	}
	if s, known = r.ledger.JobState(id); known {
		return s, true, true
	}
	if r.ledger.CatchUp(ctx) != nil {
		return jobs.Queued, false, false
	}
	s, known = r.ledger.JobState(id)
	return s, known, o.OwnershipConfirmed()
}

// QueueLength returns the number of jobs of a queue of which nothing was started, and false without a sure answer.
func (o *Owner) QueueLength(queue string) (int, bool) {
	r := o.run.Load()
	if r == nil || !o.OwnershipConfirmed() {
		return 0, false
	}
	return r.ledger.QueueLength(queue), true
}

// answer ends a list of intakes.
func answer(list []*intake, s StoreResult) {
	for _, in := range list {
		in.done <- s
	}
}
