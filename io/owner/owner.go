// Package owner claims shards, runs what belongs to them while the claim holds, and hands them over.
package owner

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasvalve/io/stats"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/io/tail"
	"sassafrasvalve/io/wire"
	"sassafrasvalve/platform"
)

// Ownership, in milliseconds and as durations.
const (
	// beatEvery is the pause between two renewals of a claim.
	beatEvery = 500 * time.Millisecond
	// lapseAfter is how long the others wait for a renewal. It spans three of them, and a slow answer of the store.
	lapseAfter = 2000
	// probeAfter is the silence after which an owner is asked whether it still is one. An owner that this
	// process has never heard of is asked at once.
	probeAfter = 900
	// probeEvery is the pause between two such questions.
	probeEvery = 300
	// probeTimeout bounds such a question.
	probeTimeout = 250 * time.Millisecond
	// refusedAfter is how long the store may refuse an owner's records until the owner says that it is none.
	// The store may refuse single machines; another one can then own the shard.
	refusedAfter = 700
	// unansweredAfter replaces it while appends bring no answer, as a slow store may need a second for one.
	unansweredAfter = 1500
	// currentMs is the age of the last confirmation up to which an owner answers for its shard. Others claim
	// it after a longer silence only.
	currentMs = 900
	// claimSpread spreads the claims of processes that see a free shard at the same time.
	claimSpread = 120 * time.Millisecond
	// claimTries is how often a claim is repeated when another record came in between.
	claimTries = 8
	// tickEvery is the pause between two turns without an event.
	tickEvery = 100 * time.Millisecond
	// releaseTimeout bounds the release of a shard at a stop.
	releaseTimeout = 1500 * time.Millisecond
)

// producerOf is the name under which the owners of a shard write, so that the store fences earlier ones.
func producerOf(part int) string { return "owner-" + strconv.Itoa(part) }

// Store is what an owner writes to and reads from.
type Store interface {
	tail.Reader
	Appender
}

// Runner does the work of a shard while this process owns it.
type Runner interface {
	// Serve runs until ctx ends. It returns whether all that was done is recorded.
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
	Member     string // of this process and its lifetime
	Addr       string // IP:port at which other entries reach this process
	Peers      Peers
	Service    string
	Part       int
	Store      Store
	Directory  *tail.Directory
	Runner     Runner
	OwnedCount *atomic.Int64 // shards owned by this process
	// ClaimMu is held while this process claims a shard, so that each claim waits for what it owns already.
	ClaimMu  *sync.Mutex
	CPUShare float64 // of a core that this process has, 0 if it is not known
	// ClaimDelay returns by how much a process that owns some shards delays its claims, so that others have them that can do more
	// for them; nil for none.
	ClaimDelay func(owned int64) time.Duration
	Log        *zap.Logger
	Stats      *stats.Stats
}

// Owner takes part in the election of one shard.
type Owner struct {
	cfg    Config
	log    *zap.Logger
	moved  <-chan struct{}
	claims writer // of the claim and what goes with it
	reason string // of the present claim
	health health
	owning atomic.Bool
	lost   atomic.Bool  // another process owns the shard
	inbox  chan *intake // records that entries hand in
	run    atomic.Pointer[run]
	post   atomic.Pointer[jobs.DemandReport] // to be written with the next renewal
	term   atomic.Pointer[term]              // of the present ownership, nil without one
	// invited is signalled when the shard was released for this process; of size 1.
	invited    chan struct{}
	claimAfter time.Time // other processes claim first

	seen    int   // renewals seen
	beatAt  int64 // local ms at which the last renewal was seen
	gone    int   // number of claims seen when the owner turned out to be gone, 0 before
	probeAt int64 // local ms of the next question to a silent owner
}

// New returns an owner that does not run yet.
func New(cfg Config) *Owner {
	return &Owner{
		cfg: cfg, inbox: make(chan *intake, maxIntakes), moved: cfg.Directory.ReadDone(), invited: make(chan struct{}, 1),
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
		case <-o.moved:
		case <-o.invited:
			o.claimAfter = time.Time{}
			if o.cfg.Directory.CatchUp(ctx) == nil && o.free() == reasonReleased && o.claimNow(ctx) {
				o.own(ctx)
				o.beatAt = 0
			}
			continue
		}
		if o.free() != "" && o.compete(ctx) {
			o.own(ctx)
			o.beatAt = 0
		}
	}
}

// Epoch returns the number of the present ownership. It is the fence number of all orders.
func (o *Owner) Epoch() int64 { return o.claims.epoch }

// OwnershipConfirmed reports whether the store has confirmed the ownership so lately that no other process can have
// recorded anything since.
func (o *Owner) OwnershipConfirmed() bool {
	return o.owning.Load() && !o.lost.Load() && o.health.failing.Load() == 0 &&
		clock.BootMs()-o.health.confirmed.Load() < currentMs
}

// Owns reports whether this process owns the shard and the store has taken its records lately.
func (o *Owner) Owns() bool {
	return o.owning.Load() && !o.lost.Load() && !o.health.doubtful()
}

// clean reports whether the earlier owner recorded all that it did before it left.
func (o *Owner) clean() bool { return o.reason == reasonReleased || o.reason == reasonFirst }

// The reasons of claims that matter to the next owner.
const (
	reasonFirst    = "no owner yet"
	reasonReleased = "released"
	reasonHaste    = "released in haste" // not all that was done is recorded
	reasonSilent   = "owner silent"      // it may still be at work
	reasonGone     = "owner gone"
)

// free returns why the shard may be claimed, empty if it may not.
func (o *Owner) free() string {
	v, s := o.cfg.Directory.Position(), o.cfg.Directory.Shard(o.cfg.Part)
	now := clock.BootMs()
	if v.Failed || v.NextOffset < 0 {
		o.beatAt = 0 // silence counts only while this process can hear
		return ""
	}
	if s.ClaimCount != o.seen || o.beatAt == 0 {
		if s.ClaimCount != o.seen && o.seen != 0 {
			o.probeAt = now + probeAfter // it has renewed its claim since it was heard last
		}
		o.seen, o.beatAt = s.ClaimCount, now
	}
	switch {
	case s.Claim.Epoch == 0:
		return reasonFirst
	case s.Claim.Owner == "":
		return s.Claim.Reason
	case s.Claim.Owner == o.cfg.Member:
		return "own claim left over"
	case now-o.beatAt > lapseAfter:
		return reasonSilent
	case o.gone == s.ClaimCount:
		return reasonGone
	case now >= o.probeAt && s.Claim.Addr != "":
		o.probeAt = now + probeEvery
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if !o.cfg.Peers.Owns(ctx, s.Claim.Addr, o.cfg.Part, s.Claim.Owner) {
			o.gone = s.ClaimCount
			return reasonGone
		}
	}
	return ""
}

// compete claims the shard, which is free, unless another process is faster. It returns whether this process owns it.
func (o *Owner) compete(ctx context.Context) bool {
	free := time.Now()
	o.cfg.ClaimMu.Lock()
	defer o.cfg.ClaimMu.Unlock()
	if !o.pause(ctx, free) || !o.claim(ctx) {
		return false
	}
	o.cfg.OwnedCount.Add(1)
	return true
}

// claimNow claims a shard that was handed over to this process.
func (o *Owner) claimNow(ctx context.Context) bool {
	o.cfg.ClaimMu.Lock()
	defer o.cfg.ClaimMu.Unlock()
	if !o.claim(ctx) {
		return false
	}
	o.cfg.OwnedCount.Add(1)
	return true
}

// pause waits from the time at which the shard was free for a random time, longer in a process that owns more. It returns false at
// the end of ctx.
func (o *Owner) pause(ctx context.Context, free time.Time) bool {
	wait := rand.N(claimSpread)
	if o.cfg.ClaimDelay != nil {
		wait += o.cfg.ClaimDelay(o.cfg.OwnedCount.Load())
	}
	wire.Sleep(ctx, max(time.Until(free.Add(wait)), time.Until(o.claimAfter)))
	return ctx.Err() == nil && o.cfg.Directory.CatchUp(ctx) == nil
}

// claim writes the next claim behind all records that this process has seen, if the shard is free by them.
func (o *Owner) claim(ctx context.Context) bool {
	for range claimTries {
		if ctx.Err() != nil || o.cfg.Directory.CatchUp(ctx) != nil {
			return false
		}
		// Records that come after the view has its cursor make the append fail, so the reason holds for the claim.
		v := o.cfg.Directory.Position()
		reason, s := o.free(), o.cfg.Directory.Shard(o.cfg.Part)
		if reason == "" {
			return false
		}
		// The store answers a repeat of an epoch and a sequence number as it answered the first call, whoever
		// sends it. A random first number keeps the claims of two processes apart.
		w := writer{
			store: o.cfg.Store, topic: platform.TopicOwners, producer: producerOf(o.cfg.Part), epoch: s.Claim.Epoch + 1,
			seq: rand.Int64N(maxFirstSeq), patience: appendTimeout, health: &o.health, log: o.log, stats: o.cfg.Stats,
			timed: o.cfg.Stats.Timer(metricAppend, nil),
		}
		rec, err := o.claimRecord(w.epoch, o.cfg.Member, reason)
		if err != nil {
			o.log.Error("claim not encoded", zap.Error(err))
			return false
		}
		sent := clock.BootMs()
		res, _, err := Hedge(o.cfg.Store, platform.Append{
			Topic: w.topic, Records: []jobs.Record{rec}, At: v.NextOffset,
			Producer: w.producer, Epoch: w.epoch, Seq: w.seq, Deadline: time.Now().Add(appendTimeout),
		}, 0)
		switch {
		case err != nil:
			o.log.Warn("claim not confirmed", zap.Int64("epoch", w.epoch), zap.Error(err))
			return false
		case res.Outcome == platform.Appended:
			o.claims, o.reason = w, reason
			o.health.failing.Store(0)
			o.health.confirmed.Store(sent)
			o.log.Info("shard claimed", zap.Int64("epoch", w.epoch), zap.String("reason", reason),
				zap.String("previous", s.Claim.Owner), zap.Int64("offset", v.NextOffset))
			return true
		case res.Outcome != platform.EndMismatch:
			o.log.Info("claim refused", zap.Int64("epoch", w.epoch), zap.Int("outcome", int(res.Outcome)))
			return false
		}
	}
	return false
}

func (o *Owner) claimRecord(epoch int64, member, reason string) (jobs.Record, error) {
	c := jobs.Claim{Epoch: epoch, Owner: member, Addr: o.cfg.Addr, Reason: reason, Share: o.cfg.CPUShare}
	value, err := c.MarshalMsg(nil)
	return jobs.Record{Key: jobs.ClaimKey(o.cfg.Part), Value: value}, err
}

// own runs the shard until it is lost or ctx ends.
func (o *Owner) own(ctx context.Context) {
	defer o.cfg.OwnedCount.Add(-1)
	o.lost.Store(false)
	o.owning.Store(true)
	defer o.owning.Store(false)
	work, stop := context.WithCancel(ctx)
	defer stop()
	t := &term{since: clock.BootMs(), stop: stop, over: make(chan struct{})}
	o.term.Store(t)
	defer close(t.over)
	defer o.term.Store(nil)
	beats, endBeats := context.WithCancel(context.WithoutCancel(ctx))
	beaten := make(chan struct{})
	go o.beatLoop(beats, stop, beaten)
	recorded := o.cfg.Runner.Serve(work, o)
	endBeats()
	<-beaten
	o.endIntakes(nil)
	if o.lost.Load() {
		return
	}
	t.free.Store(o.release(ctx, recorded))
	if t.handed.Load() {
		o.claimAfter = time.Now().Add(leaveFor)
	}
}

// release makes the shard free for others. It returns whether that is recorded.
func (o *Owner) release(ctx context.Context, recorded bool) bool {
	reason := reasonReleased
	if !recorded {
		reason = reasonHaste
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	rec, err := o.claimRecord(o.claims.epoch, "", reason)
	if err == nil && o.claims.write(c, []jobs.Record{rec}, nil) {
		o.log.Info("shard released", zap.Int64("epoch", o.claims.epoch), zap.String("reason", reason))
		return true
	}
	o.log.Warn("shard not released", zap.Int64("epoch", o.claims.epoch), zap.Error(err))
	return false
}

// beatLoop renews the claim until ctx ends, and calls stop once the shard is lost.
func (o *Owner) beatLoop(ctx context.Context, stop func(), done chan<- struct{}) {
	defer close(done)
	var told *jobs.DemandReport
	for {
		wire.Sleep(ctx, beatEvery)
		if ctx.Err() != nil {
			return
		}
		rec, err := o.claimRecord(o.claims.epoch, o.cfg.Member, "renewed")
		if err != nil {
			o.log.Error("claim not encoded", zap.Error(err))
			continue
		}
		records := []jobs.Record{rec}
		if p := o.post.Load(); p != told && p != nil {
			value, err := p.MarshalMsg(nil)
			if err != nil {
				o.log.Error("post not encoded", zap.Error(err))
			} else {
				records = append(records, jobs.Record{Key: jobs.DemandKey(o.cfg.Part), Value: value})
			}
			told = p
		}
		if !o.claims.write(ctx, records, nil) && ctx.Err() == nil {
			o.lose(stop)
			return
		}
	}
}

// lose notes that another process owns the shard, and ends the work.
func (o *Owner) lose(stop func()) {
	o.lost.Store(true)
	stop()
}
