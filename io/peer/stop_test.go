package peer

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a call that starts while, or after, Run waits for the calls in progress at its end: the last message of a
// connection may be handled after the connection has closed.
func TestNoCallStartsAfterRun(t *testing.T) {
	const rounds, callers = 100, 8
	for range rounds {
		var ended atomic.Bool
		var late, calls atomic.Int64
		s := NewServer(ServerConfig{Listen: "127.0.0.1:0"})
		s.Handle("Note", func(context.Context, string, json.RawMessage) (any, error) {
			calls.Add(1)
			if ended.Load() {
				late.Add(1)
			}
			return nil, nil
		})
		assert.NilError(t, s.Listen(context.Background()))
		ctx, cancel := context.WithCancel(context.Background())
		var running, sending sync.WaitGroup
		running.Go(func() {
			assert.Check(t, s.Run(ctx))
			ended.Store(true)
		})
		for range callers {
			p := newTestPool(t, PoolConfig{})
			sending.Go(func() {
				for p.Notify(context.Background(), s.Addr(), "Note", nil) == nil {
				}
			})
		}
		for calls.Load() < callers {
			assert.Assert(t, !ended.Load())
		}
		cancel()
		running.Wait()
		sending.Wait()
		assert.Equal(t, late.Load(), int64(0))
	}
}
