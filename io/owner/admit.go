package owner

import (
	"context"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/shard"
)

// admissionIntervalMs is the interval at which the engine's backlog is passed to the admission of jobs.
const admissionIntervalMs = 100

// updateAdmission passes the backlog of the engine to the admission of jobs. It is called with mu held.
func (r *poolRun) updateAdmission(now int64) {
	if now-r.admissionAtMs >= admissionIntervalMs {
		r.admissionAtMs = now
		r.admission.Update(r.engine, now)
	}
}

// AppendJob appends the record of a job as AppendRecords does, unless the share of the job's client account cannot finish the job
// while its end has value. A job that is stored already is answered as stored. A nil load means that the job is never refused.
func (o *Owner) AppendJob(ctx context.Context, rec jobs.Record, load *shard.Load) StoreResult {
	return o.appendRecords(ctx, []jobs.Record{rec}, load)
}

// appendAdmitted appends the records of a job if the job is admitted.
func (o *Owner) appendAdmitted(ctx context.Context, r *poolRun, records []jobs.Record, load *shard.Load) StoreResult {
	if retryAfterMs, ok := r.admission.Admit(load, clock.BootMs()); !ok {
		// Another entry may have appended the job directly, as this owner did not answer an earlier attempt.
		switch {
		case r.jobLog.CatchUp(ctx) != nil:
			return StoreResult{Owner: true, Verdict: retry.NotRun}
		case r.isStored(records):
			return StoreResult{Owner: true, Verdict: retry.Ran}
		}
		return StoreResult{Owner: true, Verdict: retry.NotRun, RetryAfterMs: retryAfterMs}
	}
	s := o.awaitAppend(ctx, records)
	if s.Verdict == retry.NotRun {
		r.admission.Withdraw(load.ID)
	}
	return s
}
