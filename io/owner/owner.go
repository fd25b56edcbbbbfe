// Package owner claims a shard, runs its engine while the claim holds, and hands it over.
package owner

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/io/tail"
	"sassafrasvalve/platform"
)

// Ownership, in milliseconds and as durations.
const (
	// beatEvery is the pause between two renewals of a claim.
	beatEvery = 500
	// lapseAfter is how long the others wait for a renewal. It spans two of them, and a slow answer of the store.
	lapseAfter = 2000
	// claimSpread spreads the claims of processes that see a free shard at the same time.
	claimSpread = 120 * time.Millisecond
	// claimPerShard is the handicap for each shard that a process owns already.
	claimPerShard = 250 * time.Millisecond
	// claimTries is how often a claim is repeated when another record came in between.
	claimTries = 6
	// appendTimeout bounds one append. An append whose answer is lost is repeated.
	appendTimeout = 600 * time.Millisecond
	// slowAppendTimeout replaces it after a timeout, for a store that is slow.
	slowAppendTimeout = 2 * time.Second
	// appendPause is the pause before an append is repeated.
	appendPause = 60 * time.Millisecond
	// maxFirstSeq bounds the first sequence number of an epoch.
	maxFirstSeq = 1 << 40
	// tickEvery is the pause between two turns without an event.
	tickEvery = 100 * time.Millisecond
	// releaseTimeout bounds the release of a shard at a stop.
	releaseTimeout = 1500 * time.Millisecond
)

// producer is the name under which owners write, so that the store fences earlier ones.
const producer = "owner"

// Store is what an owner writes to.
type Store interface {
	Append(a platform.Append) (platform.AppendResult, error)
}

// Runner does the work of a shard while this process owns it.
type Runner interface {
	// Serve runs until the shard is lost (true) or ctx ends (false).
	Serve(ctx context.Context, o *Owner) bool
}

// Config is what an owner needs.
type Config struct {
	Member  string // of this process and its lifetime
	Service string
	Part    int
	Store   Store
	Tail    *tail.Tail
	Runner  Runner
	Owned   *atomic.Int64 // shards owned by this process
	Log     *zap.Logger
	Stats   *Stats
}

// Owner takes part in the election of one shard.
type Owner struct {
	cfg   Config
	log   *zap.Logger
	epoch int64
	seq   int64 // of the last append of the epoch

	claims int   // renewals seen
	beatAt int64 // local ms at which the last renewal was seen
	owner  string
	owning atomic.Bool
}

// New returns an owner that does not run yet.
func New(cfg Config) *Owner {
	return &Owner{
		cfg: cfg,
		log: cfg.Log.With(zap.Int("shard", cfg.Part), zap.String("service", cfg.Service)),
	}
}

// Run takes part in the election until ctx ends. At the end it hands over what it owns.
func (o *Owner) Run(ctx context.Context) { o.loop(ctx) }

func (o *Owner) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.cfg.Tail.Moved():
		}
		if reason := o.free(); reason != "" && o.pause(ctx) && o.free() != "" && o.claim(ctx, reason) {
			o.own(ctx)
			o.beatAt = 0
		}
	}
}

// Epoch returns the number of the present ownership. It is the fence number of all orders.
func (o *Owner) Epoch() int64 { return o.epoch }

// Renewal returns the record that renews the claim.
func (o *Owner) Renewal() (jobs.Record, error) {
	return claimRecord(jobs.Claim{Epoch: o.epoch, Owner: o.cfg.Member, Reason: "renewed"})
}

// Owns reports whether this process owns the shard.
func (o *Owner) Owns() bool { return o.owning.Load() }

// free returns why the shard may be claimed, empty if it may not.
func (o *Owner) free() string {
	v := o.cfg.Tail.View()
	now := clock.BootMs()
	if v.Failed || v.Cursor < 0 {
		o.beatAt = 0 // silence counts only while this process can hear
		return ""
	}
	if v.Claims != o.claims || o.beatAt == 0 {
		o.claims, o.beatAt, o.owner = v.Claims, now, v.Claim.Owner
	}
	switch {
	case v.Claim.Epoch == 0:
		return "no owner yet"
	case v.Claim.Owner == "":
		return "released"
	case v.Claim.Owner == o.cfg.Member:
		return "own claim left over"
	case now-o.beatAt > lapseAfter:
		return "owner silent"
	}
	return ""
}

// pause waits a random time, longer for a process that owns more. It returns false at the end of ctx.
func (o *Owner) pause(ctx context.Context) bool {
	wait(ctx, rand.N(claimSpread))
	// Counted after the random wait, since claims of other shards may have succeeded meanwhile.
	wait(ctx, time.Duration(o.cfg.Owned.Load())*claimPerShard)
	return ctx.Err() == nil && o.cfg.Tail.Catch(ctx) == nil
}

// claim writes the next claim behind all records that this process has seen.
func (o *Owner) claim(ctx context.Context, reason string) bool {
	for range claimTries {
		if ctx.Err() != nil || o.cfg.Tail.Catch(ctx) != nil {
			return false
		}
		v := o.cfg.Tail.View()
		if o.free() == "" {
			return false
		}
		epoch := v.Claim.Epoch + 1
		rec, err := claimRecord(jobs.Claim{Epoch: epoch, Owner: o.cfg.Member, Reason: reason})
		if err != nil {
			o.log.Error("claim not encoded", zap.Error(err))
			return false
		}
		// The store answers a repeat of an epoch and a sequence number as it answered the first call, whoever
		// sends it. A random first number keeps the claims of two processes apart.
		seq := rand.Int64N(maxFirstSeq)
		res, err := o.cfg.Store.Append(platform.Append{
			Topic: platform.TopicJobs, Part: o.cfg.Part, Records: []jobs.Record{rec}, At: v.Cursor,
			Producer: producer, Epoch: epoch, Seq: seq, Deadline: time.Now().Add(appendTimeout),
		})
		switch {
		case err != nil:
			o.log.Warn("claim not confirmed", zap.Int64("epoch", epoch), zap.Error(err))
			return false
		case res.Outcome == platform.Appended:
			o.epoch, o.seq = epoch, seq
			o.log.Info("shard claimed", zap.Int64("epoch", epoch), zap.String("reason", reason),
				zap.String("previous", v.Claim.Owner), zap.Int64("offset", v.Cursor))
			return true
		case res.Outcome != platform.Moved:
			o.log.Info("claim refused", zap.Int64("epoch", epoch), zap.Int("outcome", int(res.Outcome)))
			return false
		}
	}
	return false
}

func claimRecord(c jobs.Claim) (jobs.Record, error) {
	value, err := c.MarshalMsg(nil)
	return jobs.Record{Key: jobs.KeyClaim, Value: value}, err
}

// Write appends records of this epoch until their fate is known. It returns false once the epoch is over.
func (o *Owner) Write(ctx context.Context, records []jobs.Record) bool {
	o.seq++
	timeout := appendTimeout
	begun := time.Now()
	for ctx.Err() == nil {
		res, err := o.cfg.Store.Append(platform.Append{
			Topic: platform.TopicJobs, Part: o.cfg.Part, Records: records, At: -1,
			Producer: producer, Epoch: o.epoch, Seq: o.seq, Deadline: time.Now().Add(timeout),
		})
		if err != nil {
			o.cfg.Stats.Count("append.failed", 1)
			if platform.VerdictOf(err) != retry.NotRun {
				timeout = slowAppendTimeout
			}
			wait(ctx, appendPause)
			continue
		}
		if res.Outcome != platform.Appended {
			o.log.Info("shard lost to another owner", zap.Int64("epoch", o.epoch), zap.Int("outcome", int(res.Outcome)))
			return false
		}
		o.cfg.Stats.Time("append", time.Since(begun))
		return true
	}
	return false
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// own runs the engine until the shard is lost or ctx ends.
func (o *Owner) own(ctx context.Context) {
	o.cfg.Owned.Add(1)
	defer o.cfg.Owned.Add(-1)
	o.owning.Store(true)
	defer o.owning.Store(false)
	if o.cfg.Runner.Serve(ctx, o) {
		return
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	rec, err := claimRecord(jobs.Claim{Epoch: o.epoch, Reason: "stop"})
	if err == nil && o.Write(c, []jobs.Record{rec}) {
		o.log.Info("shard released", zap.Int64("epoch", o.epoch))
		return
	}
	o.log.Warn("shard not released", zap.Int64("epoch", o.epoch), zap.Error(err))
}
