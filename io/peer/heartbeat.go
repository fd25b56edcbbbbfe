package peer

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"sassafrasvalve/core/clock"
)

const (
	defaultHeartbeatInterval = 500 * time.Millisecond
	// defaultHeartbeatTimeout is below the 2 s after which a peer counts as silent.
	defaultHeartbeatTimeout = time.Second
)

// HeartbeatSource provides the body of each heartbeat. It is called by the heartbeat loop, one call at a time.
type HeartbeatSource interface {
	Heartbeat(addr string) (body any, err error)
}

// HeartbeatSink receives the result of each heartbeat. Its methods are called concurrently.
type HeartbeatSink interface {
	HandleReply(r HeartbeatReply)
	HandleFailure(addr string, sent time.Time, err error)
}

// HeartbeatReply is a peer's response to a heartbeat.
// Its body describes the peer's state at some time between Sent and Received.
type HeartbeatReply struct {
	Addr     string
	Sent     time.Time
	Received time.Time
	Body     json.RawMessage
}

// HeartbeatConfig configures a Heartbeater. Interval, Timeout and Clock have defaults for their zero values.
type HeartbeatConfig struct {
	Pool     *Pool
	Peers    func() []string // addresses
	Source   HeartbeatSource
	Sink     HeartbeatSink
	Interval time.Duration
	Timeout  time.Duration // limit for one heartbeat
	Clock    clock.Clock
}

// Heartbeater sends heartbeats to all peers.
type Heartbeater struct {
	cfg HeartbeatConfig
	wg  sync.WaitGroup
}

// NewHeartbeater returns a heartbeater. Nothing is sent until Run is called.
func NewHeartbeater(cfg HeartbeatConfig) *Heartbeater {
	if cfg.Interval == 0 {
		cfg.Interval = defaultHeartbeatInterval
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultHeartbeatTimeout
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
			h.send(ctx, addr)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// send sends one heartbeat in its own goroutine. The timeout limits these goroutines to a few per peer.
func (h *Heartbeater) send(ctx context.Context, addr string) {
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
