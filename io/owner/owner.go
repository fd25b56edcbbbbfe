// Package owner takes part in the election of the shards' owners. While this process owns a shard, it places and
// records the shard's jobs, or, for the machine controller's shard, assigns machines and orders their upkeep.
//
// An entry is a process of this system that accepts requests and jobs from callers; entries also take part in the
// elections. The owner of a shard is the entry whose claim is in force. The jobs of one service form a shard, and the VMs
// that run them form the pool of the same name. The log is the recorded data, and the store is the platform's service
// that reads and appends it.
package owner

import (
	"context"
	"math/rand/v2"
	"slices"
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

// Intervals, timeouts and limits of the election.
const (
	// renewInterval is the pause between two renewals of a claim.
	renewInterval = 500 * time.Millisecond
	// maxLapseMs is the time without a renewal after which other processes may claim the shard. It covers three renewals
	// and a slow answer of the store.
	maxLapseMs = 2000
	// minLapseMs replaces maxLapseMs if all renewals of the owner came in time. It is longer than
	// earlyStartConfirmationMs of core/shard, up to which an owner acts on a confirmation.
	minLapseMs = 1400
	// lapseMarginMs is the time beyond the longest recent interval between renewals after which a further one is missing.
	lapseMarginMs = 800
	// observedRenewals is the number of newest intervals that are taken into account.
	observedRenewals = 4
	// probeAfterMs is the time without a renewal after which the owner is asked whether it still owns the shard. An
	// owner of which this process has seen no renewal yet is asked at once.
	probeAfterMs = 900
	// probeIntervalMs is the pause between two such probes.
	probeIntervalMs = 300
	// probeTimeout bounds one probe.
	probeTimeout = 250 * time.Millisecond
	// maxRefusedMs is the time for which the store may refuse an owner's records before the owner reports that it does
	// not own the shard. The store may refuse single hosts, so an entry on another one may be able to own the shard.
	maxRefusedMs = 700
	// maxUnansweredMs replaces maxRefusedMs while appends are unanswered rather than refused. A slow store may take a
	// second for an answer.
	maxUnansweredMs = 1500
	// ownershipConfirmationMs is the maximum age of the store's last confirmation at which ownership counts as confirmed.
	// Other processes claim the shard only after a longer silence. It is shorter than earlyStartConfirmationMs of
	// core/shard: an answer to a caller must be final, while a next owner polls the VMs and so finds starts that are not
	// recorded.
	ownershipConfirmationMs = 900
	// claimJitter is the upper bound of a random delay before a claim. It separates the claims of processes that see a
	// free shard at the same time.
	claimJitter = 120 * time.Millisecond
	// maxClaimAttempts bounds the attempts at a claim while other records are appended first.
	maxClaimAttempts = 8
	// tickInterval is the longest pause between two ticks of a pool's loop. Events cause further ticks.
	tickInterval = 100 * time.Millisecond
	// releaseTimeout bounds the append that releases a shard.
	releaseTimeout = 1500 * time.Millisecond
)

// shardProducer returns the producer name of a shard's owners. All of them share it, so that the store fences the epochs
// of earlier owners.
func shardProducer(part int) string { return "owner-" + strconv.Itoa(part) }

// Store is the platform's service that reads and appends records of the log.
type Store interface {
	tail.Reader
	Appender
}

// Runner does the work of a shard while this process owns it.
type Runner interface {
	// Serve runs until ctx ends or the shard is lost. It returns true if everything that this owner and earlier ones did is
	// recorded.
	Serve(ctx context.Context, o *Owner) bool
}

// Peers calls the owners of shards in other entries.
type Peers interface {
	// Owns asks the process at addr whether it is the owner of a shard. It returns false only if that process denies it
	// or no longer exists.
	Owns(ctx context.Context, addr string, part int, owner string) bool
}

// Config holds the settings and dependencies of an Owner.
type Config struct {
	Member     string // unique to this process and its lifetime
	Addr       string // IP:port at which other entries reach this process
	Peers      Peers
	Service    string
	Part       int // number of the shard, logged as "shard"
	Store      Store
	Limits     platform.Limits // of the log
	Directory  *tail.Directory
	Runner     Runner
	OwnedCount *atomic.Int64 // shards owned by this process
	// ClaimMu is held while this process claims a shard, so that the delay of each claim counts the shards that the
	// process owns already.
	ClaimMu  *sync.Mutex
	CPUShare float64 // share of a core that this process has, 0 if unknown
	// ClaimDelay returns the delay of a claim by a process that owns the given number of shards. Processes with more CPU
	// for the shard then claim it first. Nil means no delay.
	ClaimDelay func(owned int64) time.Duration
	Log        *zap.Logger
	Stats      *stats.Stats
}

// Owner takes part in the election of one shard for this process, and runs the shard while this process owns it. Owns
// reports whether it does.
type Owner struct {
	cfg           Config
	log           *zap.Logger
	directoryRead <-chan struct{} // signalled after each read of the owners' partition
	claims        writer          // appends claims, renewals and demand reports
	reason        string          // reason of the current claim
	// claimAnswerTime is how long the store took to answer the current claim.
	claimAnswerTime time.Duration
	health          storeHealth
	owning          atomic.Bool                       // from the claim until the shard is released or lost
	lost            atomic.Bool                       // another process owns the shard
	inbox           chan *pendingRecords              // records that this and other entries submitted
	run             atomic.Pointer[poolRun]           // nil while this process does not run the shard's pool
	controller      atomic.Pointer[controllerRun]     // nil while this process is not the machine controller
	demand          atomic.Pointer[jobs.DemandReport] // newest report, written with the next renewal
	ownership       atomic.Pointer[ownership]         // nil while this process does not own the shard
	// claimRequest is signalled when another process released the shard for this one. Its capacity is 1.
	claimRequest chan struct{}
	claimAfter   time.Time // earliest time of the next claim, so that other processes claim first

	// claimableAtMs is the local ms at which this process may be able to claim the shard, 0 if that is not known.
	claimableAtMs atomic.Int64

	// The following belong to the loop.
	claimsSeen       int     // number of claim records of the shard at the last check, renewals included
	renewedAtMs      int64   // local ms at which the last renewal was seen; 0 counts the owner's silence anew
	goneAtClaimCount int     // number of claim records when the owner turned out to be gone, 0 before that
	intervals        []int64 // newest intervals between renewals, in ms; empty after a read that failed
	nextProbeMs      int64   // local ms of the next probe of a silent owner
}

// New returns an Owner that takes part in the election of a shard once Run is called.
func New(cfg Config) *Owner {
	return &Owner{
		cfg: cfg, inbox: make(chan *pendingRecords, maxPending), directoryRead: cfg.Directory.ReadDone(),
		claimRequest: make(chan struct{}, 1),
		log:          cfg.Log.With(zap.Int("shard", cfg.Part), zap.String("service", cfg.Service)),
	}
}

// Run takes part in the election until ctx ends, then releases the shard if this process owns it.
func (o *Owner) Run(ctx context.Context) { o.loop(ctx) }

// loop claims the shard when it may be claimed, and serves it while this process owns it.
func (o *Owner) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.directoryRead:
		case <-o.claimRequest:
			o.claimAfter = time.Time{}
			if o.cfg.Directory.CatchUp(ctx) == nil && o.claimReason() == reasonReleased && o.claimReleased(ctx) {
				o.serveOwnership(ctx)
				o.renewedAtMs = 0 // counts the next owner's silence anew
			}
			continue
		}
		if o.claimReason() != "" && o.compete(ctx) {
			o.serveOwnership(ctx)
			o.renewedAtMs = 0 // counts the next owner's silence anew
		}
	}
}

// Epoch returns the number of the current ownership. It is the fence number of all orders.
func (o *Owner) Epoch() int64 { return o.claims.epoch }

// OwnershipConfirmed reports whether the store's last confirmation of the ownership is so recent that no other process
// can have recorded anything since.
func (o *Owner) OwnershipConfirmed() bool {
	return o.owning.Load() && !o.lost.Load() && o.health.failingSinceMs.Load() == 0 &&
		clock.BootMs()-o.health.confirmedAtMs.Load() < ownershipConfirmationMs
}

// Owns reports whether this process owns the shard and the store has stored its records recently.
func (o *Owner) Owns() bool {
	return o.owning.Load() && !o.lost.Load() && !o.health.unavailable()
}

// recordsComplete reports whether everything that earlier owners of the shard did is recorded.
func (o *Owner) recordsComplete() bool { return o.reason == reasonReleased || o.reason == reasonFirst }

// Reasons of claims that tell the next owner how complete the records are.
const (
	reasonFirst      = "no owner yet"
	reasonReleased   = "released"            // everything that earlier owners did is recorded
	reasonIncomplete = "released in haste"   // some of what the earlier owner, or one before it, did is not recorded
	reasonSilent     = "owner silent"        // the earlier owner may still be running
	reasonGone       = "owner gone"          // the earlier owner's process denied the ownership or no longer exists
	reasonOwn        = "own claim left over" // a claim of this process is in force, but the process does not serve it
	reasonRenewed    = "renewed"             // the record renews a claim of the same epoch
)

// claimReason returns the reason for which the shard may be claimed now, or "" if it may not be claimed. It probes a
// silent owner if a probe is due.
func (o *Owner) claimReason() string {
	reason := o.checkClaim()
	now := clock.BootMs()
	switch silentMs := now - o.renewedAtMs; {
	case o.renewedAtMs == 0:
		o.claimableAtMs.Store(0)
	case reason != "":
		o.claimableAtMs.Store(now)
	case silentMs < probeAfterMs: // the first probe shows an owner that is gone
		o.claimableAtMs.Store(o.renewedAtMs + probeAfterMs)
	default:
		o.claimableAtMs.Store(o.renewedAtMs + o.lapseMs())
	}
	return reason
}

// checkClaim does what claimReason says.
func (o *Owner) checkClaim() string {
	v, s := o.cfg.Directory.Position(), o.cfg.Directory.Shard(o.cfg.Part)
	now := clock.BootMs()
	if v.Failed || v.NextOffset < 0 {
		o.renewedAtMs, o.intervals = 0, nil // missing renewals count only while this process can read them
		return ""
	}
	if s.ClaimCount != o.claimsSeen || o.renewedAtMs == 0 {
		if s.ClaimCount != o.claimsSeen && o.claimsSeen != 0 {
			o.nextProbeMs = now + probeAfterMs // the owner renewed its claim since the last read
		}
		if o.renewedAtMs != 0 {
			o.intervals = append(o.intervals, now-o.renewedAtMs)
			o.intervals = o.intervals[max(len(o.intervals)-observedRenewals, 0):]
		}
		o.claimsSeen, o.renewedAtMs = s.ClaimCount, now
	}
	switch {
	case s.Claim.Epoch == 0:
		return reasonFirst
	case s.Claim.Owner == "":
		return s.Claim.Reason
	case s.Claim.Owner == o.cfg.Member:
		return reasonOwn
	case now-o.renewedAtMs > o.lapseMs():
		return reasonSilent
	case o.goneAtClaimCount == s.ClaimCount:
		return reasonGone
	case now >= o.nextProbeMs && s.Claim.Addr != "":
		o.nextProbeMs = now + probeIntervalMs
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if !o.cfg.Peers.Owns(ctx, s.Claim.Addr, o.cfg.Part, s.Claim.Owner) {
			o.goneAtClaimCount = s.ClaimCount
			return reasonGone
		}
	}
	return ""
}

// lapseMs returns the time without a renewal after which the shard may be claimed. Renewals that come late, because of a
// slow store or a busy owner, make it longer.
func (o *Owner) lapseMs() int64 {
	if len(o.intervals) < observedRenewals {
		return maxLapseMs
	}
	return min(max(slices.Max(o.intervals)+lapseMarginMs, minLapseMs), maxLapseMs)
}

// compete claims the shard, which has no owner, unless another process claims it first. It returns true if this process
// owns the shard.
func (o *Owner) compete(ctx context.Context) bool {
	freeAt := time.Now()
	o.cfg.ClaimMu.Lock()
	defer o.cfg.ClaimMu.Unlock()
	if !o.waitToClaim(ctx, freeAt) || !o.claim(ctx) {
		return false
	}
	o.cfg.OwnedCount.Add(1)
	return true
}

// claimReleased claims a shard that another process released for this one. It returns true if this process owns the
// shard.
func (o *Owner) claimReleased(ctx context.Context) bool {
	o.cfg.ClaimMu.Lock()
	defer o.cfg.ClaimMu.Unlock()
	if !o.claim(ctx) {
		return false
	}
	o.cfg.OwnedCount.Add(1)
	return true
}

// waitToClaim waits for a random delay plus ClaimDelay, counted from freeAt, at which the shard was seen without an
// owner. It returns false if ctx ends.
func (o *Owner) waitToClaim(ctx context.Context, freeAt time.Time) bool {
	wait := rand.N(claimJitter)
	if o.cfg.ClaimDelay != nil {
		wait += o.cfg.ClaimDelay(o.cfg.OwnedCount.Load())
	}
	wire.Sleep(ctx, max(time.Until(freeAt.Add(wait)), time.Until(o.claimAfter)))
	return ctx.Err() == nil
}

// anyPosition is the position of an append that holds wherever the partition ends.
const anyPosition = -1

// freed reports whether the reason of a claim still holds whatever is appended before the claim: there is no owner that
// could renew its claim.
func freed(reason string) bool {
	return reason == reasonFirst || reason == reasonReleased || reason == reasonIncomplete
}

// claimPosition returns the reason for which the shard may be claimed, "" if it may not be claimed, and the position at
// which the claim has to be appended.
//
// A silent owner may renew its claim at any time, so that the claim must follow all records that were read. Nobody renews
// a released claim, and the store refuses the second claim with the same epoch. Without a position such a claim succeeds
// also in a slow store, in which the renewals of other shards would always come first.
func (o *Owner) claimPosition(ctx context.Context) (reason string, at int64) {
	if reason = o.claimReason(); freed(reason) {
		return reason, anyPosition
	}
	if o.cfg.Directory.CatchUp(ctx) != nil {
		return "", anyPosition
	}
	// The position is taken before the reason. A record that is appended after that position makes the append fail, so
	// the reason still holds once the claim is stored.
	at = o.cfg.Directory.Position().NextOffset
	return o.claimReason(), at
}

// claim appends a claim if the shard may be claimed. It returns true if the claim is stored.
func (o *Owner) claim(ctx context.Context) bool {
	for range maxClaimAttempts {
		if ctx.Err() != nil {
			return false
		}
		reason, at := o.claimPosition(ctx)
		if reason == "" {
			return false
		}
		s := o.cfg.Directory.Shard(o.cfg.Part)
		// The store answers a call with a known epoch and sequence number as it answered the first such call, also if
		// another process sends it. A random first sequence number separates the claims of two processes.
		w := writer{
			store: o.cfg.Store, topic: platform.TopicOwners, producer: shardProducer(o.cfg.Part), epoch: s.Claim.Epoch + 1,
			seq: rand.Int64N(maxFirstSeq), timeout: appendTimeout, health: &o.health, log: o.log, stats: o.cfg.Stats,
			observe: o.cfg.Stats.Timer(metricAppend, nil), limits: o.cfg.Limits,
		}
		rec, err := o.claimRecord(w.epoch, o.cfg.Member, reason)
		if err != nil {
			o.log.Error("encode claim failed", zap.Error(err))
			return false
		}
		sentAtMs := clock.BootMs()
		res, took, err := Hedge(o.cfg.Store, platform.AppendRequest{
			Topic: w.topic, Records: []jobs.Record{rec}, At: at,
			Producer: w.producer, Epoch: w.epoch, Seq: w.seq, Deadline: time.Now().Add(appendTimeout),
		}, 0)
		switch {
		case err != nil:
			o.log.Warn("append of claim failed", zap.Int64("epoch", w.epoch), zap.Error(err))
			return false
		case res.Outcome == platform.Appended:
			w.setAnswerTime(took)
			o.claims, o.reason, o.claimAnswerTime = w, reason, took
			o.health.failingSinceMs.Store(0)
			o.health.confirmedAtMs.Store(sentAtMs)
			o.log.Info("shard claimed", zap.Int64("epoch", w.epoch), zap.String("reason", reason),
				zap.String("previous", s.Claim.Owner), zap.Int64("offset", o.cfg.Directory.Position().NextOffset))
			return true
		case res.Outcome != platform.EndMismatch:
			o.log.Info("claim refused", zap.Int64("epoch", w.epoch), zap.String("outcome", outcomeNames[res.Outcome]))
			return false
		}
	}
	return false
}

// claimRecord returns the record of a claim, a renewal or, with an empty member, a release.
func (o *Owner) claimRecord(epoch int64, member, reason string) (jobs.Record, error) {
	c := jobs.Claim{Epoch: epoch, Owner: member, Addr: o.cfg.Addr, Reason: reason, Share: o.cfg.CPUShare}
	value, err := c.MarshalMsg(nil)
	return jobs.Record{Key: jobs.ClaimKey(o.cfg.Part), Value: value}, err
}

// serveOwnership runs the shard and renews the claim until the shard is lost or ctx ends. It then releases the shard if
// this process still owns it.
func (o *Owner) serveOwnership(ctx context.Context) {
	defer o.cfg.OwnedCount.Add(-1)
	o.lost.Store(false)
	o.owning.Store(true)
	defer o.owning.Store(false)
	serveCtx, stop := context.WithCancel(ctx)
	defer stop()
	own := &ownership{sinceMs: clock.BootMs(), stop: stop, ended: make(chan struct{})}
	o.ownership.Store(own)
	defer close(own.ended)
	defer o.ownership.Store(nil)
	renewCtx, stopRenewals := context.WithCancel(context.WithoutCancel(ctx))
	renewalsEnded := make(chan struct{})
	go o.renewLoop(renewCtx, stop, renewalsEnded)
	recorded := o.cfg.Runner.Serve(serveCtx, o)
	stopRenewals()
	<-renewalsEnded
	o.rejectPending(nil)
	if o.lost.Load() {
		return
	}
	own.released.Store(o.release(ctx, recorded))
	if own.handedOver.Load() {
		o.claimAfter = time.Now().Add(handOverBackoff)
	}
}

// release appends a claim without an owner, so that other processes may claim the shard. recorded tells whether
// everything that this process and earlier owners did is recorded. It returns true if the release is stored.
func (o *Owner) release(ctx context.Context, recorded bool) bool {
	reason := reasonReleased
	if !recorded {
		reason = reasonIncomplete
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	rec, err := o.claimRecord(o.claims.epoch, "", reason)
	if err == nil && o.claims.write(c, []jobs.Record{rec}, nil) {
		o.log.Info("shard released", zap.Int64("epoch", o.claims.epoch), zap.String("reason", reason))
		return true
	}
	// A nil error means that the record was encoded, but the append was refused or not confirmed within releaseTimeout.
	o.log.Warn("release of shard failed: no confirmed append", zap.Int64("epoch", o.claims.epoch), zap.String("reason", reason),
		zap.Error(err))
	return false
}

// renewLoop renews the claim and records new demand reports until ctx ends or the shard is lost, then closes done. It
// calls stop if the shard is lost.
func (o *Owner) renewLoop(ctx context.Context, stop func(), done chan<- struct{}) {
	defer close(done)
	var recorded *jobs.DemandReport
	for {
		wire.Sleep(ctx, renewInterval)
		if ctx.Err() != nil {
			return
		}
		rec, err := o.claimRecord(o.claims.epoch, o.cfg.Member, reasonRenewed)
		if err != nil {
			o.log.Error("encode claim failed", zap.Error(err))
			continue
		}
		records := []jobs.Record{rec}
		if p := o.demand.Load(); p != recorded && p != nil {
			value, err := p.MarshalMsg(nil)
			if err != nil {
				o.log.Error("encode demand report failed", zap.Error(err))
			} else {
				records = append(records, jobs.Record{Key: jobs.DemandKey(o.cfg.Part), Value: value})
			}
			recorded = p
		}
		if !o.claims.write(ctx, records, nil) && ctx.Err() == nil {
			o.markLost(stop)
			return
		}
	}
}

// markLost marks the shard as owned by another process and calls stop to end the work.
func (o *Owner) markLost(stop func()) {
	o.lost.Store(true)
	stop()
}
