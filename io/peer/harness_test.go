package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// text is the parameter and the result of the test methods.
type text struct {
	Text string
}

// startServer runs a server with the methods Echo, which answers with the caller's member ID and text,
// and Block, which waits for the end of its context.
func startServer(t *testing.T, cfg ServerConfig, extra func(*Server)) *Server {
	t.Helper()
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	s := NewServer(cfg)
	s.Handle("Echo", func(_ context.Context, from string, params json.RawMessage) (any, error) {
		var p text
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, err
		}
		return text{from + ":" + p.Text}, nil
	})
	s.Handle("Block", func(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	if extra != nil {
		extra(s)
	}
	assert.NilError(t, s.Listen(context.Background()))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { assert.Check(t, s.Run(ctx)) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return s
}

func newTestPool(t *testing.T, cfg PoolConfig) *Pool {
	t.Helper()
	if cfg.From == nil {
		cfg.From = func() string { return "a#1" }
	}
	p := NewPool(cfg)
	t.Cleanup(p.Close)
	return p
}

// hungPeer returns the address of a peer that accepts connections and reads nothing. Its small receive buffer makes the
// caller's writes block.
func hungPeer(t *testing.T) string {
	t.Helper()
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		return errors.Join(err, c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		}))
	}}
	ln, err := cfg.Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

func echo(p *Pool, addr, what string) (string, error) {
	var out text
	err := p.Call(context.Background(), addr, "Echo", text{what}, &out)
	return out.Text, err
}

// eventually waits until cond holds and returns how long that took.
func eventually(t *testing.T, limit time.Duration, cond func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !cond() {
		if time.Since(began) > limit {
			t.Fatalf("condition does not hold within %v", limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}
