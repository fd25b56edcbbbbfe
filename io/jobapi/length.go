package jobapi

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/tally"
	"sassafrasvalve/io/owner"
	"sassafrasvalve/io/stats"
	"sassafrasvalve/platform"
)

// lengthTimeout bounds the time for which the owners of a queue's shards are asked for its length, however many there are.
const lengthTimeout = 500 * time.Millisecond

// Values of label result of the metric sassafrasvalve_queue_lengths_total.
const (
	lengthCounted = "counted" // all owners have answered
	lengthRecent  = "recent"  // the count of a silent owner is an earlier one that is young enough
	lengthRefused = "refused"
)

// QueueLength returns the number of jobs of a queue that have not started, over all shards in which its jobs may be stored. It returns
// a *platform.Refusal if one of these may hold jobs that it cannot count. Other shards are not asked.
func (a *API) QueueLength(ctx context.Context, q *jobs.Queue) (int, error) {
	ctx, cancel := withReplyReserve(ctx, time.Now().Add(lengthTimeout))
	defer cancel()
	id := q.ID()
	a.mu.Lock()
	sum := tally.NewSum(a.lengths.Counts(id))
	a.mu.Unlock()
	sum.AddShards(a.cfg.Routes.QueueShards(id))
	var others, silent []int
	if sum.Outdated(clock.BootMs()) {
		// This entry cannot read the owners' partition at present. An owner that answers tells which shards it has read there.
		if part, ok := a.cfg.Shards.Part(q.Service); ok {
			others = []int{part}
		}
	}
	for ask := sum.Unasked(others...); len(ask) > 0; ask = sum.Unasked() {
		silent = append(silent, a.askLengths(ctx, sum, id, ask)...)
	}
	now := clock.BootMs()
	a.mu.Lock()
	a.lengths.Add(id, sum.Counts(), now)
	a.mu.Unlock()
	return a.answerLength(id, sum.Length(now), silent, now)
}

// lengthQuery asks the owner of one shard for the length of a queue.
type lengthQuery struct {
	shard     int
	askedAtMs int64 // local ms
	answer    owner.LengthAnswer
}

// run asks the owner.
func (l *lengthQuery) run(ctx context.Context, owners Owners, q jobs.QueueID) {
	l.askedAtMs = clock.BootMs()
	l.answer = owners.QueueLength(ctx, l.shard, q)
}

// askLengths asks the owners of shards at the same time, and adds their answers to sum. It returns the shards without an answer.
func (a *API) askLengths(ctx context.Context, sum *tally.Sum, q jobs.QueueID, shards []int) (silent []int) {
	queries := make([]lengthQuery, len(shards))
	var wg sync.WaitGroup
	for i, shard := range shards {
		queries[i].shard = shard
		wg.Go(func() { queries[i].run(ctx, a.cfg.Owners, q) })
	}
	wg.Wait()
	for i := range queries {
		l := &queries[i]
		if !l.answer.Sure {
			silent = append(silent, l.shard)
			continue
		}
		sum.AddCount(l.shard, tally.Count{N: l.answer.N, AsOfMs: l.askedAtMs - l.answer.AgeMs})
		if len(l.answer.Shards) > 0 {
			sum.AddShards(l.answer.Shards, l.askedAtMs-l.answer.ShardsAgeMs)
		}
	}
	return silent
}

// answerLength returns the answer to the caller, and logs one that is a refusal or that includes earlier counts.
func (a *API) answerLength(q jobs.QueueID, l tally.Length, silent []int, now int64) (int, error) {
	result := lengthCounted
	switch {
	case !l.Complete():
		result = lengthRefused
	case len(silent) > 0:
		result = lengthRecent
	}
	a.cfg.Stats.Count("sassafrasvalve_queue_lengths_total",
		stats.Labels{{Name: "queue", Value: q.Name}, {Name: "result", Value: result}}, 1)
	if result == lengthCounted {
		return l.N, nil
	}
	var nextOwnerMs int64
	for _, shard := range l.Missing {
		nextOwnerMs = max(nextOwnerMs, a.cfg.Owners.NextOwnerMs(shard))
	}
	a.cfg.Log.Info("queue length without answers of some owners", zap.String("queue", q.Name), zap.String("result", result),
		zap.Int("length", l.N), zap.Int64("ageMs", now-l.AsOfMs), zap.Ints("silent", silent), zap.Ints("missing", l.Missing),
		zap.Bool("shardsOutdated", l.Outdated), zap.Int64("nextOwnerMs", nextOwnerMs))
	switch {
	case result == lengthRecent:
		return l.N, nil
	case l.Outdated:
		return 0, errShardsUnknown
	}
	return 0, &platform.Refusal{
		Status: http.StatusServiceUnavailable, RetryAfter: max(time.Duration(nextOwnerMs)*time.Millisecond, retryAfter),
		Reason: "the owner of a shard with jobs of the queue does not answer at present",
	}
}
