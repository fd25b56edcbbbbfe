package jobapi

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/shard"
	"sassafrasvalve/io/owner"
	"sassafrasvalve/io/stats"
	"sassafrasvalve/platform"
)

// jobOwners are Owners that may refuse a job for the backlog of its client account.
type jobOwners interface {
	// StoreJob is Store for the record of a job with a load. If the job is refused, RetryAfterMs of the result is above 0.
	StoreJob(ctx context.Context, part int, rec jobs.Record, load *shard.Load) owner.StoreResult
}

// storeAtOwner sends a record to the owner of a shard to be stored, with the load of a job that may be refused, nil for other records.
func (a *API) storeAtOwner(ctx context.Context, part int, rec jobs.Record, load *shard.Load) owner.StoreResult {
	if o, ok := a.cfg.Owners.(jobOwners); ok && load != nil {
		return o.StoreJob(ctx, part, rec, load)
	}
	return a.cfg.Owners.Store(ctx, part, rec)
}

// Reason of a refusal in the log and as a label value, and metric of the refusals.
const (
	reasonBacklog = "backlog of its account"
	metricRefused = "sassafrasvalve_jobs_refused_total"
)

// refuseForBacklog logs and counts the refusal of a job for the backlog of its account, and returns it.
func (a *API) refuseForBacklog(j *jobs.Job, retryAfterMs int64) *platform.Refusal {
	a.cfg.Log.Info("job refused", zap.String("job", j.ID), zap.String("account", j.Account), zap.String("reason", reasonBacklog),
		zap.Int64("retryAfterMs", retryAfterMs))
	a.cfg.Stats.Count(metricRefused,
		stats.Labels{{Name: "account", Value: a.cfg.Stats.AccountLabel(j.Account)}, {Name: "reason", Value: reasonBacklog}}, 1)
	return &platform.Refusal{
		Status: http.StatusTooManyRequests, RetryAfter: time.Duration(retryAfterMs) * time.Millisecond,
		Reason: "the job's account has more work than its share can finish in time; nothing was stored",
	}
}
