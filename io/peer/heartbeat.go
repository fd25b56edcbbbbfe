package peer

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"sassafrasvalve/core/clock"
)

const (
	defaultBeat = 500 * time.Millisecond
	// defaultBeatTimeout is below the 2 s after which a peer is held for silent.
	defaultBeatTimeout = time.Second
)

// HeartbeatSource gives the body of each heartbeat. It is called by the heartbeat loop.
type HeartbeatSource interface {
	Heartbeat(addr string) (body any, err error)
}

// HeartbeatSink takes the result of each heartbeat. It is called concurrently.
type HeartbeatSink interface {
	HandleReply(r HeartbeatReply)
	HandleFailure(addr string, sent time.Time, err error)
}

// HeartbeatReply is a peer's response to a heartbeat.
// What the peer states held at some time between Sent and Received.
type HeartbeatReply struct {
	Addr     string
	Sent     time.Time
	Received time.Time
	Body     json.RawMessage
}

// HeartbeatConfig configures a Heartbeater. Zero values get defaults.
type HeartbeatConfig struct {
	Pool     *Pool
	Peers    func() []string // addresses
	Source   HeartbeatSource
	Sink     HeartbeatSink
	Interval time.Duration
	Timeout  time.Duration // of one heartbeat
	Clock    clock.Clock
}

// Heartbeater sends heartbeats to all peers.
type Heartbeater struct {
	cfg HeartbeatConfig
	wg  sync.WaitGroup
}

// NewHeartbeater returns a heartbeater that sends nothing before Run.
func NewHeartbeater(cfg HeartbeatConfig) *Heartbeater {
	if cfg.Interval == 0 {
		cfg.Interval = defaultBeat
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultBeatTimeout
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	return &Heartbeater{cfg: cfg}
}

// Run sends heartbeats until ctx ends and waits for those in progress.
func (h *Heartbeater) Run(ctx context.Context) {
	ticker := time.NewTicker(h.cfg.Interval)
	defer ticker.Stop()
	defer h.wg.Wait()
	for ctx.Err() == nil {
		for _, addr := range h.cfg.Peers() {
			h.beat(ctx, addr)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// beat sends one heartbeat in a goroutine of its own. The timeout bounds their number to a few a peer.
func (h *Heartbeater) beat(ctx context.Context, addr string) {
	sent := h.cfg.Clock.Now()
	body, err := h.cfg.Source.Heartbeat(addr)
	if err != nil {
		h.cfg.Sink.HandleFailure(addr, sent, err)
		return
	}
	h.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, h.cfg.Timeout)
		defer cancel()
		var raw json.RawMessage
		if err := h.cfg.Pool.Call(ctx, addr, MethodHeartbeat, body, &raw); err != nil {
			h.cfg.Sink.HandleFailure(addr, sent, err)
			return
		}
		h.cfg.Sink.HandleReply(HeartbeatReply{Addr: addr, Sent: sent, Received: h.cfg.Clock.Now(), Body: raw})
	})
}
