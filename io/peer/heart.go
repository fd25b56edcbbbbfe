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

// HeartSource gives the body of each heartbeat. It is called by the heartbeat loop.
type HeartSource interface {
	Heartbeat(addr string) (body any, err error)
}

// HeartSink takes the result of each heartbeat. It is called concurrently.
type HeartSink interface {
	Beat(r HeartReply)
	Missed(addr string, sent time.Time, err error)
}

// HeartReply is a peer's response to a heartbeat.
// What the peer states held at some time between Sent and Received.
type HeartReply struct {
	Addr     string
	Sent     time.Time
	Received time.Time
	Body     json.RawMessage
}

// HeartConfig configures a Heart. Zero values get defaults.
type HeartConfig struct {
	Pool     *Pool
	Peers    func() []string // addresses
	Source   HeartSource
	Sink     HeartSink
	Interval time.Duration
	Timeout  time.Duration // of one heartbeat
	Clock    clock.Clock
}

// Heart sends heartbeats to all peers.
type Heart struct {
	cfg HeartConfig
	wg  sync.WaitGroup
}

// NewHeart returns a heart that does not beat before Run.
func NewHeart(cfg HeartConfig) *Heart {
	if cfg.Interval == 0 {
		cfg.Interval = defaultBeat
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultBeatTimeout
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	return &Heart{cfg: cfg}
}

// Run sends heartbeats until ctx ends and waits for those in progress.
func (h *Heart) Run(ctx context.Context) {
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
func (h *Heart) beat(ctx context.Context, addr string) {
	sent := h.cfg.Clock.Now()
	body, err := h.cfg.Source.Heartbeat(addr)
	if err != nil {
		h.cfg.Sink.Missed(addr, sent, err)
		return
	}
	h.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, h.cfg.Timeout)
		defer cancel()
		var raw json.RawMessage
		if err := h.cfg.Pool.Call(ctx, addr, MethodHeartbeat, body, &raw); err != nil {
			h.cfg.Sink.Missed(addr, sent, err)
			return
		}
		h.cfg.Sink.Beat(HeartReply{Addr: addr, Sent: sent, Received: h.cfg.Clock.Now(), Body: raw})
	})
}
