package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/io/owner"
	"sassafrasvalve/io/wire"
)

// Intervals and limits of rebalancing, which moves shards to entries with more CPU.
const (
	// rebalanceInterval is the pause between two checks of the owners' load.
	rebalanceInterval = 500 * time.Millisecond
	// minCPUGain is the factor by which a shard's CPU share must grow for a move. The pool of a shard stalls for about
	// 0.2 s when the shard moves.
	minCPUGain = 2.5
	// handOverInterval is the minimum time between two handovers by one entry. In that time the other entries read the
	// records of the first.
	handOverInterval = time.Second
	// handOverTimeout bounds the request to an owner, which records everything that it has decided and releases the shard.
	handOverTimeout = 1500 * time.Millisecond
	// maxDirectoryAgeMs is the maximum age of the owners' directory at which an entry requests a shard. With an older one
	// it may not know the current owners or be able to claim.
	maxDirectoryAgeMs = 1000
)

// methodRelieve asks an overloaded owner to hand one shard over to the caller.
const methodRelieve = "Relieve"

// relieveRequest describes the entry that requests a shard.
type relieveRequest struct {
	Share float64 // share of a core that its host has
	Owned int     // number of pools' shards that it owns; the machine controller's shard needs little CPU
}

// relieveAnswer names the shard that was handed over.
type relieveAnswer struct {
	Released bool // a shard was released
	Part     int
}

// shouldMove reports whether one more shard would get at least minCPUGain times as much CPU from an entry with the given
// share of a core and number of shards as from its owner. An unknown share, 0, never causes a move.
func shouldMove(share float64, owned int, ownerShare float64, ownerOwned int) bool {
	if share <= 0 || ownerShare <= 0 || ownerOwned == 0 {
		return false
	}
	return share/float64(owned+1) >= minCPUGain*ownerShare/float64(ownerOwned)
}

// rebalancer requests shards from overloaded entries for this one, and hands shards over at the request of others.
type rebalancer struct {
	n *Node

	mu           sync.Mutex // held while a shard is handed over
	nextHandOver time.Time  // earliest time of the next handover by this entry
}

// Run requests shards until ctx ends or the entry stops.
func (r *rebalancer) Run(ctx context.Context) { r.loop(ctx) }

func (r *rebalancer) loop(ctx context.Context) {
	var previous []string
	for ctx.Err() == nil && !r.n.leaving.Load() {
		wire.Sleep(ctx, rebalanceInterval)
		// Only an owner that was overloaded in the previous check too is asked, since others may be about to lose their
		// shard anyway. Entries choose at random, so that they ask different owners, and entries with more CPU ask first.
		overloaded := r.overloadedOwners()
		stillOverloaded := slices.DeleteFunc(slices.Clone(overloaded), func(a string) bool { return !slices.Contains(previous, a) })
		if previous = overloaded; len(stillOverloaded) == 0 {
			continue
		}
		addr := stillOverloaded[rand.N(len(stillOverloaded))]
		wire.Sleep(ctx, rand.N(rebalanceInterval)+offerDelayFactor*offerDelay(r.n.cfg.CPUShare))
		if slices.Contains(r.overloadedOwners(), addr) {
			r.requestShard(ctx, addr)
		}
	}
}

// overloadedOwners returns the addresses of the owners from which a shard should move to this entry. It returns none if
// the directory is too old or its last read failed, and none while this entry has read no configuration.
func (r *rebalancer) overloadedOwners() []string {
	if v := r.n.directory.Position(); v.Failed || clock.BootMs()-v.ReadAtMs > maxDirectoryAgeMs || r.n.catalog.Current() == nil {
		return nil
	}
	owned := map[string]int{}
	claims := map[string]jobs.Claim{}
	for _, part := range r.n.shards.Parts() {
		if c := r.n.directory.Shard(part).Claim; c.Owner != "" {
			owned[c.Addr]++
			claims[c.Addr] = c
		}
	}
	var list []string
	for addr, c := range claims {
		if c.Owner != r.n.member && shouldMove(r.n.cfg.CPUShare, owned[r.n.cfg.Peer], c.Share, owned[addr]) {
			list = append(list, addr)
		}
	}
	return list
}

// requestShard asks the owner at addr to hand over a shard, and claims the shard that it releases.
func (r *rebalancer) requestShard(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	var a relieveAnswer
	_, _, owned := r.busiestShard()
	req := relieveRequest{Share: r.n.cfg.CPUShare, Owned: owned}
	err := r.n.peers.conns.Call(ctx, addr, methodRelieve, req, &a)
	if err != nil || !a.Released {
		r.n.log.Debug("owner handed no shard over", zap.String("addr", addr), zap.Error(err))
		return
	}
	r.n.log.Info("shard handed over to this entry", zap.Int("shard", a.Part), zap.String("addr", addr))
	if o := r.n.peers.find(a.Part); o != nil {
		o.RequestClaim()
	}
}

// handOver releases this entry's busiest shard if the shard should move to the requesting entry.
func (r *rebalancer) handOver(ctx context.Context, req relieveRequest) relieveAnswer {
	if !r.mu.TryLock() {
		return relieveAnswer{} // another handover is in progress
	}
	defer r.mu.Unlock()
	part, own, owned := r.busiestShard()
	if r.n.leaving.Load() || time.Now().Before(r.nextHandOver) || !shouldMove(req.Share, req.Owned, r.n.cfg.CPUShare, owned) ||
		!own.HandOver(ctx) {
		return relieveAnswer{}
	}
	r.nextHandOver = time.Now().Add(handOverInterval)
	return relieveAnswer{Released: true, Part: part}
}

// busiestShard returns the pool's shard with the highest load that this entry owns, and the number of pools' shards that
// it owns. own is nil if it owns none.
func (r *rebalancer) busiestShard() (part int, own *owner.Owner, owned int) {
	for _, p := range r.n.shards.Parts() {
		o := r.n.peers.find(p)
		if o == nil || !o.Owns() {
			continue
		}
		if owned++; own == nil || o.RunsAndJobs() > own.RunsAndJobs() {
			part, own = p, o
		}
	}
	return part, own, owned
}
