package node

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/pools"
	"sassafrasvalve/io/owner"
	"sassafrasvalve/io/relay"
	"sassafrasvalve/io/wire"
	"sassafrasvalve/platform"
)

// Timing of the offers to owners of shards.
const (
	// offerTick is the pause between two checks which owners there are.
	offerTick = 500 * time.Millisecond
	// offerSpread is the time over which entries spread their first offers.
	offerSpread = time.Second
	// offerHandicap is how many times as long as with its claims a weak machine waits with its offers.
	offerHandicap = 4
	// offerRetry is the pause after an offer without an answer.
	offerRetry = 5 * time.Second
	// offerTimeout bounds an offer.
	offerTimeout = 500 * time.Millisecond
)

// offers tells the owners of shards that this entry can relay for them.
type offers struct {
	n    *Node
	next map[string]time.Time // of the offer to an address
}

// newRelays makes the two sides of relayed calls: for owners in other entries, and for those in this one.
func (n *Node) newRelays(ctx context.Context) {
	n.peers.relays = relay.NewServer(relay.ServerConfig{
		Client: func(id, addr string) relay.VMClient { return platform.NewVMClient(id, addr) }, Log: n.log,
	})
	n.peers.helpers = relay.NewSet(ctx, relay.SetConfig{
		CPUShare: n.cfg.CPUShare, Log: n.log,
		Direct:   func(vm pools.VM) relay.VMClient { return platform.NewVMClient(vm.ID, vm.Addr) },
		OwnsPool: func() bool { return n.owned.Load() > 0 },
	})
}

// relayed returns a client that calls a VM by way of another entry.
func (n *Node) relayed(vm pools.VM) owner.VMClient { return n.peers.helpers.Client(vm) }

// Run offers until ctx ends or the entry leaves.
func (o *offers) Run(ctx context.Context) { o.loop(ctx) }

func (o *offers) loop(ctx context.Context) {
	for ctx.Err() == nil && !o.n.leaving.Load() {
		wire.Sleep(ctx, offerTick)
		owners := o.owners()
		for addr := range o.next {
			if !owners[addr] {
				delete(o.next, addr)
			}
		}
		for addr := range owners {
			at, known := o.next[addr]
			switch {
			case !known:
				o.next[addr] = time.Now().Add(rand.N(offerSpread) + offerHandicap*handicap(o.n.cfg.CPUShare))
			case time.Now().After(at):
				o.next[addr] = time.Now().Add(o.offer(ctx, addr))
			}
		}
	}
}

// owners returns the addresses of the other entries that own shards of services.
func (o *offers) owners() map[string]bool {
	list := map[string]bool{}
	for _, part := range o.n.shards.Parts() {
		if c := o.n.roster.Shard(part).Claim; c.Owner != "" && c.Owner != o.n.member {
			list[c.Addr] = true
		}
	}
	return list
}

// offer makes one offer and returns when to make the next.
func (o *offers) offer(ctx context.Context, addr string) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	var a relay.OfferReply
	req := relay.Offer{Addr: o.n.cfg.Peer, DC: o.n.cfg.DC, Share: o.n.cfg.CPUShare}
	if err := o.n.peers.pool.Call(ctx, addr, relay.MethodOffer, req, &a); err != nil {
		o.n.log.Debug("offer to relay not answered", zap.String("addr", addr), zap.Error(err))
		return offerRetry
	}
	return time.Duration(a.AgainMs) * time.Millisecond
}
