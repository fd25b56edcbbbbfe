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

// Relief of owners by entries with more processor.
const (
	// reliefTick is the pause between two looks at who owns what.
	reliefTick = 500 * time.Millisecond
	// reliefTimes is how many times as much processor a shard must find in another entry. Its pool stands still for about 0.2 s
	// when it moves.
	reliefTimes = 2.5
	// reliefEvery is the least time between two shards that one entry hands over, in which the others learn of the first.
	reliefEvery = time.Second
	// reliefTimeout bounds the request to an owner, which records all that it has decided and releases the shard.
	reliefTimeout = 1500 * time.Millisecond
	// reliefFresh is the age of the directory, in ms, up to which an entry knows the owners and can claim.
	reliefFresh = 1000
)

// methodRelieve asks an owner of shards to hand one over.
const methodRelieve = "Relieve"

// relieveRequest is made by an entry that could do more for a shard.
type relieveRequest struct {
	Share float64 // of a core that its machine has
	Owned int     // shards of pools that it owns; the machine controller's takes little
}

// relieveAnswer tells what was handed over.
type relieveAnswer struct {
	Released bool
	Part     int
}

// relieves reports whether an entry with a share of a core and some shards does much more for one more shard than its owner does
// with its share for each of its own. Shares that are not known count for none.
func relieves(share float64, owned int, ownerShare float64, ownerOwned int) bool {
	if share <= 0 || ownerShare <= 0 || ownerOwned == 0 {
		return false
	}
	return share/float64(owned+1) >= reliefTimes*ownerShare/float64(ownerOwned)
}

// relief has shards pass from entries with little processor to those with much.
type relief struct {
	n *Node

	mu   sync.Mutex // held while a shard is handed over
	next time.Time  // of the next shard that this entry may hand over
}

// Run asks for shards until ctx ends or the entry leaves.
func (r *relief) Run(ctx context.Context) { r.loop(ctx) }

func (r *relief) loop(ctx context.Context) {
	var last []string
	for ctx.Err() == nil && !r.n.leaving.Load() {
		wire.Sleep(ctx, reliefTick)
		// An owner that was there before is not about to lose its shard. Entries ask different ones, the strongest entry first.
		list := r.burdened()
		lasting := slices.DeleteFunc(slices.Clone(list), func(addr string) bool { return !slices.Contains(last, addr) })
		if last = list; len(lasting) == 0 {
			continue
		}
		addr := lasting[rand.N(len(lasting))]
		wire.Sleep(ctx, rand.N(reliefTick)+offerHandicap*handicap(r.n.cfg.CPUShare))
		if slices.Contains(r.burdened(), addr) {
			r.ask(ctx, addr)
		}
	}
}

// burdened returns the addresses of the owners that this entry relieves.
func (r *relief) burdened() []string {
	if v := r.n.roster.Position(); v.Failed || clock.BootMs()-v.ReadAtMs > reliefFresh {
		return nil
	}
	owned := map[string]int{}
	claims := map[string]jobs.Claim{}
	for _, part := range r.n.shards.Parts() {
		if c := r.n.roster.Shard(part).Claim; c.Owner != "" {
			owned[c.Addr]++
			claims[c.Addr] = c
		}
	}
	var list []string
	for addr, c := range claims {
		if c.Owner != r.n.member && relieves(r.n.cfg.CPUShare, owned[r.n.cfg.Peer], c.Share, owned[addr]) {
			list = append(list, addr)
		}
	}
	return list
}

// ask asks the owner at addr for a shard.
func (r *relief) ask(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, reliefTimeout)
	defer cancel()
	var a relieveAnswer
	_, _, owned := r.busiest()
	req := relieveRequest{Share: r.n.cfg.CPUShare, Owned: owned}
	err := r.n.peers.pool.Call(ctx, addr, methodRelieve, req, &a)
	if err != nil || !a.Released {
		r.n.log.Debug("no shard handed over", zap.String("addr", addr), zap.Error(err))
		return
	}
	r.n.log.Info("shard handed over to this entry", zap.Int("shard", a.Part), zap.String("addr", addr))
	if o := r.n.peers.find(a.Part); o != nil {
		o.ClaimNow()
	}
}

// relieve hands a shard over if the entry that asks does much more for it: the one with most work.
func (r *relief) relieve(ctx context.Context, req relieveRequest) relieveAnswer {
	if !r.mu.TryLock() {
		return relieveAnswer{} // a shard is being handed over
	}
	defer r.mu.Unlock()
	part, own, owned := r.busiest()
	if r.n.leaving.Load() || time.Now().Before(r.next) || !relieves(req.Share, req.Owned, r.n.cfg.CPUShare, owned) ||
		!own.HandOver(ctx) {
		return relieveAnswer{}
	}
	r.next = time.Now().Add(reliefEvery)
	return relieveAnswer{Released: true, Part: part}
}

// busiest returns the pool's shard of this entry that has most work, nil without one, and the number of such shards.
func (r *relief) busiest() (part int, own *owner.Owner, owned int) {
	for _, p := range r.n.shards.Parts() {
		o := r.n.peers.find(p)
		if o == nil || !o.Owns() {
			continue
		}
		if owned++; own == nil || o.Load() > own.Load() {
			part, own = p, o
		}
	}
	return part, own, owned
}
