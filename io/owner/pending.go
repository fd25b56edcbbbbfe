package owner

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/shard"
)

// maxPending bounds the calls of Store that wait in the inbox of a shard.
const maxPending = 512

// refusalCheckInterval is the interval at which waiting callers check whether the store turns this process away.
const refusalCheckInterval = 50 * time.Millisecond

// StoreResult is the outcome of Store.
type StoreResult struct {
	Owner   bool // this process is the owner; otherwise nothing was stored
	Verdict retry.Verdict
	// RetryAfterMs is above 0 if the owner refuses a job for the backlog of its client account: the time in ms after which the caller
	// should return. The verdict is NotRun then.
	RetryAfterMs int64 `json:",omitempty"`
}

// pendingRecords are records that an entry submitted and that wait for the owner's next append.
type pendingRecords struct {
	records []jobs.Record
	done    chan StoreResult // receives the result; its capacity is 1
	state   atomic.Int32
}

// States of pending records. The first compare-and-swap from pendingOpen decides between append and withdrawal.
const (
	pendingOpen int32 = iota
	pendingAppending
	pendingWithdrawn // the caller stopped waiting and got the answer that nothing is stored
)

// takeForAppend marks the open records of a list as being appended and returns them without the withdrawn ones.
func takeForAppend(list []*pendingRecords) []*pendingRecords {
	return slices.DeleteFunc(list, func(p *pendingRecords) bool { return !p.state.CompareAndSwap(pendingOpen, pendingAppending) })
}

// AppendRecords appends records with the owner's next append call. The records must be safe to store twice. If ctx ends before an
// append includes them, they are withdrawn and the verdict is NotRun.
func (o *Owner) AppendRecords(ctx context.Context, records []jobs.Record) StoreResult {
	return o.appendRecords(ctx, records, nil)
}

// appendRecords does what AppendRecords says. The records of a job with a load are appended only if the job is admitted.
func (o *Owner) appendRecords(ctx context.Context, records []jobs.Record, load *shard.Load) StoreResult {
	if !o.owning.Load() {
		return StoreResult{Verdict: retry.NotRun}
	}
	if o.lost.Load() || o.health.refusing() || o.health.unavailable() {
		return StoreResult{Verdict: retry.NotRun} // the store may still accept appends of the calling entry
	}
	for _, rec := range records {
		if err := o.cfg.Limits.CheckRecord(rec); err != nil {
			o.log.Warn("records refused", zap.String("key", rec.Key), zap.Error(err))
			return StoreResult{Owner: true, Verdict: retry.NotRun}
		}
	}
	if r := o.run.Load(); r != nil {
		switch {
		case r.isStored(records):
			return StoreResult{Owner: true, Verdict: retry.Ran}
		case r.excludes(records):
			return StoreResult{Owner: true, Verdict: retry.NotRun}
		}
		if load != nil {
			return o.appendAdmitted(ctx, r, records, load)
		}
	}
	return o.awaitAppend(ctx, records)
}

// awaitAppend passes records to the owner's next append and waits for the result.
func (o *Owner) awaitAppend(ctx context.Context, records []jobs.Record) StoreResult {
	p := &pendingRecords{records: records, done: make(chan StoreResult, 1)}
	select {
	case o.inbox <- p:
	default:
		return StoreResult{Owner: true, Verdict: retry.NotRun}
	}
	ticker := time.NewTicker(refusalCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case s := <-p.done:
			return s
		case <-ctx.Done():
			if p.state.CompareAndSwap(pendingOpen, pendingWithdrawn) {
				return StoreResult{Owner: true, Verdict: retry.NotRun}
			}
			return StoreResult{Owner: true, Verdict: retry.MayHaveRun}
		case <-ticker.C:
			if !o.health.refusing() {
				continue
			}
			// The calling entry appends the records itself.
			if p.state.CompareAndSwap(pendingOpen, pendingWithdrawn) {
				return StoreResult{Verdict: retry.NotRun}
			}
			return StoreResult{Owner: true, Verdict: retry.MayHaveRun}
		}
	}
}

// drainInbox removes and returns all records that wait in the inbox.
func (o *Owner) drainInbox() []*pendingRecords {
	var list []*pendingRecords
	for {
		select {
		case p := <-o.inbox:
			list = append(list, p)
		default:
			return list
		}
	}
}

// rejectPending answers all records that no append includes, those of waiting and those in the inbox, as not stored.
func (o *Owner) rejectPending(waiting []*pendingRecords) {
	answerAll(append(waiting, o.drainInbox()...), StoreResult{Verdict: retry.NotRun})
}

// JobAnswer is an owner's answer to a query for the state of a job. It is passed between entries.
type JobAnswer struct {
	Known   bool // the job was found
	Sure    bool // the answer is authoritative: the process certainly owns the shard
	State   jobs.State
	Account string `json:",omitempty"` // client account of the job, empty if it has none or has ended
}

// JobState returns the state of a job. The answer is authoritative if this process's ownership is confirmed and, for a job that was
// not found, the job log has been read to its end, so that jobs which other entries appended are included.
func (o *Owner) JobState(ctx context.Context, id string) JobAnswer {
	r := o.run.Load()
	if r == nil || !o.OwnershipConfirmed() {
		return JobAnswer{}
	}
	if s, account, found := r.jobLog.FindJob(id); found {
		return JobAnswer{Known: true, Sure: true, State: s, Account: account}
	}
	if r.jobLog.CatchUp(ctx) != nil {
		return JobAnswer{}
	}
	s, account, found := r.jobLog.FindJob(id)
	return JobAnswer{Known: found, Sure: o.OwnershipConfirmed(), State: s, Account: account}
}

// ExcludeJob makes the shard refuse a job from now on, unless it has the job already. It returns whether the shard has the
// job, and false for known if that could not be determined; the shard may refuse the job then all the same.
func (o *Owner) ExcludeJob(ctx context.Context, id string) (found, known bool) {
	r := o.run.Load()
	if r == nil {
		return false, false
	}
	if _, found = r.jobLog.JobState(id); found {
		return true, o.OwnershipConfirmed()
	}
	s := o.AppendRecords(ctx, []jobs.Record{jobs.ExcludeRecord(id)})
	if s.Verdict != retry.Ran {
		return false, false
	}
	// Another entry may have appended the job directly before the exclusion.
	if r.jobLog.CatchUp(ctx) != nil {
		return false, false
	}
	_, found = r.jobLog.JobState(id)
	return found, true
}

// LengthAnswer is an owner's answer to a query for the length of a queue. It is passed between entries; those of earlier versions send
// Sure and N only.
type LengthAnswer struct {
	Sure bool // the process certainly owns the shard
	N    int  // jobs of the queue in this shard that have not started
	// AgeMs is the time in ms since the end of the shard's records was read. Jobs that another entry appended later may be left out.
	AgeMs int64 `json:",omitempty"`
	// Shards are all shards in which jobs of the queue may be stored, as this process read them ShardsAgeMs ago.
	Shards      []int `json:",omitempty"`
	ShardsAgeMs int64 `json:",omitempty"`
}

// QueueLength returns the number of jobs of a queue that have not started.
func (o *Owner) QueueLength(q jobs.QueueID) LengthAnswer {
	r := o.run.Load()
	if r == nil || !o.OwnershipConfirmed() {
		return LengthAnswer{}
	}
	readAtMs := r.jobLog.Position().ReadAtMs
	shards, shardsAsOfMs := o.cfg.Directory.QueueShards(q)
	a := LengthAnswer{Sure: true, N: r.jobLog.QueueLength(q), Shards: shards}
	now := clock.BootMs() // taken last, so that a suspension before it counts
	a.AgeMs, a.ShardsAgeMs = now-readAtMs, now-shardsAsOfMs
	return a
}

// answerAll sends the same result to the callers of all pending records of a list.
func answerAll(list []*pendingRecords, s StoreResult) {
	for _, p := range list {
		p.done <- s
	}
}
