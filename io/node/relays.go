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

// Intervals and timeouts of the offers to relay calls for owners of shards.
const (
	// offerCheckInterval is the pause between two checks for new owners.
	offerCheckInterval = 500 * time.Millisecond
	// firstOfferJitter bounds the random delay of the first offer to an owner, which spreads the offers of the entries.
	firstOfferJitter = time.Second
	// offerDelayFactor is the factor by which offerDelay applies to offers and to requests for shards.
	offerDelayFactor = 4
	// offerRetryPause is the pause after an unanswered offer.
	offerRetryPause = 5 * time.Second
	// offerTimeout bounds an offer.
	offerTimeout = 500 * time.Millisecond
)

// relayOffers offers the owners of shards to relay their calls to VMs through this entry.
type relayOffers struct {
	n         *Node
	nextOffer map[string]time.Time // time of the next offer, by the owner's address
}

// newRelays creates the server that relays calls of owners in other entries, and the set of relays for owners in this
// entry.
func (n *Node) newRelays(ctx context.Context) {
	n.peers.relayServer = relay.NewServer(relay.ServerConfig{
		NewClient: func(id, addr string) relay.VMClient { return platform.NewVMClient(id, addr) }, Log: n.log,
	})
	n.peers.relaySet = relay.NewSet(ctx, relay.SetConfig{
		CPUShare: n.cfg.CPUShare, Log: n.log,
		NewDirectClient: func(vm pools.VM) relay.VMClient { return platform.NewVMClient(vm.ID, vm.Addr) },
		OwnsPool:        func() bool { return n.ownedCount.Load() > 0 },
	})
}

// relayClient returns a client that calls a VM through another entry, or directly while no relay is available.
func (n *Node) relayClient(vm pools.VM) owner.VMClient { return n.peers.relaySet.Client(vm) }

// Run makes offers until ctx ends or the entry stops.
func (o *relayOffers) Run(ctx context.Context) { o.loop(ctx) }

func (o *relayOffers) loop(ctx context.Context) {
	for ctx.Err() == nil && !o.n.leaving.Load() {
		wire.Sleep(ctx, offerCheckInterval)
		owners := o.ownerAddrs()
		for addr := range o.nextOffer {
			if !owners[addr] {
				delete(o.nextOffer, addr)
			}
		}
		for addr := range owners {
			at, known := o.nextOffer[addr]
			switch {
			case !known:
				o.nextOffer[addr] = time.Now().Add(rand.N(firstOfferJitter) + offerDelayFactor*offerDelay(o.n.cfg.CPUShare))
			case time.Now().After(at):
				o.nextOffer[addr] = time.Now().Add(o.offer(ctx, addr))
			}
		}
	}
}

// ownerAddrs returns the addresses of the other entries that own shards of services.
func (o *relayOffers) ownerAddrs() map[string]bool {
	list := map[string]bool{}
	for _, part := range o.n.shards.Parts() {
		if c := o.n.directory.Shard(part).Claim; c.Owner != "" && c.Owner != o.n.member {
			list[c.Addr] = true
		}
	}
	return list
}

// offer makes one offer and returns the time until the next one.
func (o *relayOffers) offer(ctx context.Context, addr string) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	var a relay.OfferReply
	req := relay.Offer{Addr: o.n.cfg.Peer, DC: o.n.cfg.DC, Share: o.n.cfg.CPUShare}
	if err := o.n.peers.conns.Call(ctx, addr, relay.MethodOffer, req, &a); err != nil {
		o.n.log.Debug("offer to relay calls failed", zap.String("addr", addr), zap.Error(err))
		return offerRetryPause
	}
	return time.Duration(a.AgainMs) * time.Millisecond
}
