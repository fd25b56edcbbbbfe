package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/pools"
)

// The entries that relay for an owner.
const (
	// MethodOffer carries an Offer to an owner, and OfferReply back.
	MethodOffer = "Offer"
	// maxRelays is the number of entries that relay for one process. With 40 VMs each they carry the largest pool of today.
	maxRelays = 24
	// vmsPerCore is the number of VMs whose orders and polls one core can carry at the height of a turn: 0.4 core answers
	// for about 1,000 polls a second, and a busy VM takes six polls and six starts.
	vmsPerCore = 160
	// offerAgain is when an entry that relays offers itself again, which shows that it lives.
	offerAgain = 4 * time.Second
	// declinedAgain is when an entry that is not needed offers itself again.
	declinedAgain = 15 * time.Second
	// remotePenalty is the load that a channel through another data centre counts for beside its own, in percent of its share.
	remotePenalty = 25
)

// Offer is an entry that is ready to relay.
type Offer struct {
	Addr  string // at which other entries reach it
	DC    string
	Share float64 // of a core
}

// OfferReply tells an entry that offered itself when to do so again.
type OfferReply struct {
	Relays  bool
	AgainMs int64
}

// SetConfig is what a Set needs.
type SetConfig struct {
	CPUShare float64 // of a core that this process has
	// Direct makes a client that calls a VM from this process.
	Direct func(vm pools.VM) VMClient
	// OwnsPool reports whether this process owns a pool.
	OwnsPool func() bool
	Log      *zap.Logger
}

// Set is the entries that relay for this process.
type Set struct {
	cfg SetConfig
	ctx context.Context

	mu       sync.Mutex
	channels map[string]*Channel // by address
}

// NewSet returns an empty set, whose channels end with ctx.
func NewSet(ctx context.Context, cfg SetConfig) *Set {
	return &Set{cfg: cfg, ctx: ctx, channels: map[string]*Channel{}}
}

// Offer takes an entry into the set if it is needed.
func (s *Set) Offer(o Offer) OfferReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune()
	ch := s.channels[o.Addr]
	switch {
	case ch != nil && !s.cfg.OwnsPool() && ch.load() == 0:
		ch.cancel()
		return OfferReply{AgainMs: declinedAgain.Milliseconds()}
	case ch == nil && (!s.cfg.OwnsPool() || len(s.channels) >= maxRelays || o.Addr == ""):
		return OfferReply{AgainMs: declinedAgain.Milliseconds()}
	case ch == nil:
		s.channels[o.Addr] = newChannel(s.ctx, o, s.cfg.Log)
		s.cfg.Log.Info("relay joined", zap.String("addr", o.Addr), zap.String("dc", o.DC), zap.Float64("share", o.Share))
	default:
	}
	return OfferReply{Relays: true, AgainMs: offerAgain.Milliseconds()}
}

// prune forgets channels that are closed or leaving. It is called with mu held.
func (s *Set) prune() {
	for addr, ch := range s.channels {
		if !ch.usable() {
			delete(s.channels, addr)
		}
	}
}

// DirectVMs returns the number of VMs that this process calls itself.
func (s *Set) DirectVMs() int { return directVMs(s.cfg.CPUShare) }

// directVMs returns the number of VMs that a machine with a share of a core can call; 0 stands for an unknown share.
func directVMs(share float64) int {
	if share <= 0 {
		return vmsPerCore
	}
	return max(int(share*vmsPerCore), 1)
}

// pick returns the channel for one more VM, the one with the least load for its processor, nil if all are full.
func (s *Set) pick(dc string) *Channel {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune()
	var best *Channel
	var bestLoad float64
	for _, ch := range s.channels {
		vms := ch.load()
		if vms >= directVMs(ch.CPUShare) {
			continue
		}
		load := float64(vms) / max(ch.CPUShare, 0.01)
		if ch.DC != dc {
			load += vmsPerCore * remotePenalty / 100
		}
		if best == nil || load < bestLoad {
			best, bestLoad = ch, load
		}
	}
	return best
}

// Client returns a client that calls a VM by way of another entry, and from here while none is there to relay.
func (s *Set) Client(vm pools.VM) *Client {
	return &Client{vm: vm, relays: s, direct: s.cfg.Direct(vm)}
}
