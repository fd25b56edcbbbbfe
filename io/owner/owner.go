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
	// probeAfter is the silence after which an owner is asked whether it still is one. An owner that this
	// process has never heard of is asked at once.
	probeAfter = 900
	// probeEvery is the pause between two such questions.
	probeEvery = 300
	// probeTimeout bounds such a question.
	probeTimeout = 250 * time.Millisecond
	// refusedAfter is how long the store may take none of an owner's records until the owner says that it is none.
	// The store may refuse single machines; another one can then own the shard.
	refusedAfter = 700
	// currentMs is the age of the last confirmation up to which an owner answers for its shard. Others claim
	// it after a longer silence only.
	currentMs = 800
	// claimSpread spreads the claims of processes that see a free shard at the same time.
	claimSpread = 120 * time.Millisecond
	// claimPerShard is the handicap for each shard that a process owns already.
	claimPerShard = 250 * time.Millisecond
	// claimTries is how often a claim is repeated when another record came in between.
	claimTries = 6
	// appendTimeout bounds one append. An append whose answer is lost is repeated.
	appendTimeout = 700 * time.Millisecond
	// slowAppendTimeout replaces it after a timeout, for a store that is slow.
	slowAppendTimeout = 2 * time.Second
	// patienceTimes is how many times as long as the last append the next one may take.
	patienceTimes = 3
	// slowAppend is the time above which an append is logged.
	slowAppend = 200 * time.Millisecond
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

// Peers reaches the owners of shards in other entries.
type Peers interface {
	// Owns asks the process at addr whether it is the owner of a shard. It returns false only if that
	// process is gone or says so itself.
	Owns(ctx context.Context, addr string, part int, owner string) bool
}

// Config is what an owner needs.
type Config struct {
	Member  string // of this process and its lifetime
	Addr    string // IP:port at which other entries reach this process
	Peers   Peers
	Service string
	Part    int
	Store   Store
	Tail    *tail.Tail
	Runner  Runner
	Owned   *atomic.Int64 // shards owned by this process
	// Handicap delays the claims of a process on a weak machine, so that strong ones own the shards.
	Handicap time.Duration
	Log      *zap.Logger
	Stats    *Stats
}

// The reasons of claims that matter to the next owner.
const (
	reasonFirst    = "no owner yet"
	reasonReleased = "released"
	reasonSilent   = "owner silent" // it may still be at work
)

// Owner takes part in the election of one shard.
type Owner struct {
	cfg   Config
	log   *zap.Logger
	epoch int64
	seq   int64 // of the last append of the epoch

	claims    int   // renewals seen
	beatAt    int64 // local ms at which the last renewal was seen
	owning    atomic.Bool
	reason    string        // of the present claim
	patience  time.Duration // with the next append
	confirmed atomic.Int64  // local ms at which the last append that succeeded was sent
	failing   atomic.Int64  // local ms since when appends bring no success, 0 while they do
	inbox     chan *intake  // records that entries hand in
	gone      int           // number of claims seen when the owner turned out to be gone, 0 before
	probeAt   int64         // local ms of the next question to a silent owner
}

// New returns an owner that does not run yet.
func New(cfg Config) *Owner {
	return &Owner{
		cfg: cfg, inbox: make(chan *intake, maxIntakes),
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
	return claimRecord(jobs.Claim{Epoch: o.epoch, Owner: o.cfg.Member, Addr: o.cfg.Addr, Reason: "renewed"})
}

// Current reports whether the store has confirmed the ownership so lately that no other process can have
// recorded anything since.
func (o *Owner) Current() bool {
	return o.owning.Load() && o.failing.Load() == 0 && clock.BootMs()-o.confirmed.Load() < currentMs
}

// Job returns the state of a job as recorded, and false if it is not known.
func (o *Owner) Job(id string) (jobs.State, bool) { return o.cfg.Tail.Job(id) }

// clean reports whether the earlier owner recorded all that it did before it left.
func (o *Owner) clean() bool { return o.reason == reasonReleased || o.reason == reasonFirst }

// Owns reports whether this process owns the shard and the store has taken its records lately.
func (o *Owner) Owns() bool {
	f := o.failing.Load()
	return o.owning.Load() && (f == 0 || clock.BootMs()-f < refusedAfter)
}

// free returns why the shard may be claimed, empty if it may not.
func (o *Owner) free() string {
	v := o.cfg.Tail.View()
	now := clock.BootMs()
	if v.Failed || v.Cursor < 0 {
		o.beatAt = 0 // silence counts only while this process can hear
		return ""
	}
	if v.Claims != o.claims || o.beatAt == 0 {
		if o.beatAt != 0 {
			o.probeAt = now + probeAfter
		}
		o.claims, o.beatAt = v.Claims, now
	}
	switch {
	case v.Claim.Epoch == 0:
		return reasonFirst
	case v.Claim.Owner == "":
		return reasonReleased
	case v.Claim.Owner == o.cfg.Member:
		return "own claim left over"
	case now-o.beatAt > lapseAfter:
		return reasonSilent
	case o.gone == v.Claims:
		return "owner gone"
	case now >= o.probeAt && v.Claim.Addr != "":
		o.probeAt = now + probeEvery
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if !o.cfg.Peers.Owns(ctx, v.Claim.Addr, o.cfg.Part, v.Claim.Owner) {
			o.gone = v.Claims
			return "owner gone"
		}
	}
	return ""
}

// pause waits a random time, longer for a process that owns more. It returns false at the end of ctx.
func (o *Owner) pause(ctx context.Context) bool {
	wait(ctx, rand.N(claimSpread))
	// Counted after the random wait, since claims of other shards may have succeeded meanwhile.
	wait(ctx, time.Duration(o.cfg.Owned.Load())*claimPerShard+o.cfg.Handicap)
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
		rec, err := claimRecord(jobs.Claim{Epoch: epoch, Owner: o.cfg.Member, Addr: o.cfg.Addr, Reason: reason})
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
			o.epoch, o.seq, o.reason, o.patience = epoch, seq, reason, appendTimeout
			o.failing.Store(0)
			o.confirmed.Store(clock.BootMs() - appendTimeout.Milliseconds())
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
	return o.write(ctx, records, nil)
}

// write is Write. Once the store refuses the records, and no earlier attempt may have stored them, refused
// returns those that are still to be written.
func (o *Owner) write(ctx context.Context, records []jobs.Record, refused func() []jobs.Record) bool {
	o.seq++
	timeout := o.patience
	begun, begunAt := time.Now(), clock.BootMs()
	unknown := false
	for ctx.Err() == nil {
		sent := time.Now()
		res, err := o.cfg.Store.Append(platform.Append{
			Topic: platform.TopicJobs, Part: o.cfg.Part, Records: records, At: -1,
			Producer: producer, Epoch: o.epoch, Seq: o.seq, Deadline: time.Now().Add(timeout),
		})
		if err == nil {
			o.failing.Store(0)
			o.confirmed.Store(begunAt)
			if res.Outcome != platform.Appended {
				o.log.Info("shard lost to another owner", zap.Int64("epoch", o.epoch), zap.Int("outcome", int(res.Outcome)))
				return false
			}
			took := time.Since(begun)
			// The next append waits as long as this one suggests, so that a slow store is not asked twice.
			o.patience = min(max(appendTimeout, patienceTimes*time.Since(sent)), slowAppendTimeout)
			o.cfg.Stats.Time("append", took)
			if took > slowAppend {
				o.log.Info("append slow", zap.Duration("took", took), zap.Int("records", len(records)), zap.Bool("unanswered", unknown))
			}
			return true
		}
		o.failing.CompareAndSwap(0, begunAt)
		o.cfg.Stats.Count("append.failed", 1)
		if platform.VerdictOf(err) != retry.NotRun {
			unknown = true
			timeout = slowAppendTimeout
		} else if !unknown && refused != nil {
			if records = refused(); len(records) == 0 {
				o.seq--
				return true
			}
			refused = nil
		}
		wait(ctx, appendPause)
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
