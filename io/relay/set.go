package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/pools"
)

// Method, limits and intervals of the relays of an owner.
const (
	// MethodOffer is the method by which an entry sends an Offer to an owner. Its result is an OfferReply.
	MethodOffer = "Offer"
	// maxRelays bounds the relays of one process. With 40 VMs each they can serve the largest pool that exists today.
	maxRelays = 24
	// vmsPerCore is the number of VMs whose orders and polls one core can send under peak load: 0.4 core handles about
	// 1,000 polls a second, and a busy VM needs six polls and six starts a second.
	vmsPerCore = 160
	// offerInterval is the time after which an accepted relay repeats its offer, which shows that it is alive.
	offerInterval = 4 * time.Second
	// declinedInterval is the time after which a declined entry repeats its offer.
	declinedInterval = 15 * time.Second
	// remoteLoadPercent is the load that is added to a channel through another data centre when channels are compared,
	// in percent of vmsPerCore.
	remoteLoadPercent = 25
)

// Offer announces an entry that is ready to relay.
type Offer struct {
	Addr  string // at which other entries reach it
	DC    string
	Share float64 // CPU of the entry, in cores
}

// OfferReply is an owner's reply to an Offer.
type OfferReply struct {
	Relays  bool  // the owner uses the entry as a relay
	AgainMs int64 // time after which the entry repeats the offer
}

// SetConfig configures a Set. All fields are required, but a CPUShare of 0 stands for an unknown share.
type SetConfig struct {
	CPUShare float64 // CPU of this process, in cores
	// NewDirectClient returns a new client that calls a VM from this process.
	NewDirectClient func(vm pools.VM) VMClient
	// OwnsPool reports whether this process owns a pool.
	OwnsPool func() bool
	Log      *zap.Logger
}

// Set holds the channels to the relays of this process. It is safe for concurrent use.
type Set struct {
	cfg SetConfig
	ctx context.Context

	mu       sync.Mutex
	channels map[string]*Channel // by address
}

// NewSet returns an empty set. Its channels are closed when ctx ends.
func NewSet(ctx context.Context, cfg SetConfig) *Set {
	return &Set{cfg: cfg, ctx: ctx, channels: map[string]*Channel{}}
}

// Offer opens a channel to an entry if this process owns a pool and has fewer than maxRelays relays. It closes the channel
// to a relay that no VM uses once this process owns no pool.
func (s *Set) Offer(o Offer) OfferReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune()
	ch := s.channels[o.Addr]
	switch {
	case ch != nil && !s.cfg.OwnsPool() && ch.vmCount() == 0:
		ch.cancel()
		return OfferReply{AgainMs: declinedInterval.Milliseconds()}
	case ch == nil && (!s.cfg.OwnsPool() || len(s.channels) >= maxRelays || o.Addr == ""):
		return OfferReply{AgainMs: declinedInterval.Milliseconds()}
	case ch == nil:
		s.channels[o.Addr] = newChannel(s.ctx, o, s.cfg.Log)
		s.cfg.Log.Info("relay joined", zap.String("addr", o.Addr), zap.String("dc", o.DC), zap.Float64("share", o.Share))
	default:
	}
	return OfferReply{Relays: true, AgainMs: offerInterval.Milliseconds()}
}

// prune removes channels that accept no more calls. It is called with mu held.
func (s *Set) prune() {
	for addr, ch := range s.channels {
		if !ch.usable() {
			delete(s.channels, addr)
		}
	}
}

// DirectVMs returns the number of VMs that this process can call without relays.
func (s *Set) DirectVMs() int { return directVMs(s.cfg.CPUShare) }

// directVMs returns the number of VMs that a machine with a CPU share, in cores, can call. An unknown share of 0 counts as
// one core.
func directVMs(share float64) int {
	if share <= 0 {
		return vmsPerCore
	}
	return max(int(share*vmsPerCore), 1)
}

// pick returns the channel with the lowest load per CPU share for one more VM, or nil if all are full. Channels in another
// data centre than dc count as more loaded.
func (s *Set) pick(dc string) *Channel {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune()
	var best *Channel
	var bestLoad float64
	for _, ch := range s.channels {
		vms := ch.vmCount()
		if vms >= directVMs(ch.CPUShare) {
			continue
		}
		load := float64(vms) / max(ch.CPUShare, 0.01)
		if ch.DC != dc {
			load += vmsPerCore * remoteLoadPercent / 100
		}
		if best == nil || load < bestLoad {
			best, bestLoad = ch, load
		}
	}
	return best
}

// Client returns a client that calls a VM through a relay, or directly while none is available.
func (s *Set) Client(vm pools.VM) *Client {
	return &Client{vm: vm, relays: s, direct: s.cfg.NewDirectClient(vm)}
}
