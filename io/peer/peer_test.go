package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

// Guards against calls that are attributed to the wrong caller, also after a change of the member ID.
func TestCallCarriesMemberID(t *testing.T) {
	s := startServer(t, ServerConfig{}, nil)
	name := "a#1"
	p := newTestPool(t, PoolConfig{From: func() string { return name }})
	got, err := echo(p, s.Addr(), "x")
	assert.NilError(t, err)
	assert.Equal(t, got, "a#1:x")
	name = "a#2"
	got, err = echo(p, s.Addr(), "y")
	assert.NilError(t, err)
	assert.Equal(t, got, "a#2:y")
}

// Guards against an owner that refuses connections in a large deployment, where each entry keeps a connection to it.
func TestConnectionsFromALargeDeployment(t *testing.T) {
	const entries = 300 // the largest deployment of the bench
	s := startServer(t, ServerConfig{}, nil)
	for i := range entries {
		name := fmt.Sprint("e", i, "#1")
		p := newTestPool(t, PoolConfig{From: func() string { return name }})
		got, err := echo(p, s.Addr(), "x")
		assert.NilError(t, err, "entry %d", i)
		assert.Equal(t, got, name+":x")
	}
}

// Guards against one hung peer that delays the calls to others, and against keeping the connection to it.
func TestHungPeerBlocksNobody(t *testing.T) {
	s := startServer(t, ServerConfig{}, nil)
	hung := hungPeer(t)
	p := newTestPool(t, PoolConfig{CallTimeout: 600 * time.Millisecond})
	big := text{strings.Repeat("x", 4*sendBufferBytes/8)} // the kernel doubles the buffer
	var wg sync.WaitGroup
	defer wg.Wait()
	for range 8 {
		wg.Go(func() {
			began := time.Now()
			err := p.Call(context.Background(), hung, "Echo", big, nil)
			assert.Check(t, err != nil)
			assert.Check(t, time.Since(began) < writeTimeout, "call ended after %v", time.Since(began))
		})
	}
	time.Sleep(100 * time.Millisecond) // until the messages are encoded and a write blocks
	for range 20 {
		began := time.Now()
		_, err := echo(p, s.Addr(), "x")
		assert.Check(t, err)
		assert.Check(t, time.Since(began) < 500*time.Millisecond, "call ended after %v", time.Since(began))
	}
}

// Guards against using a silent connection forever, as after a peer froze and was replaced.
func TestSilentConnectionIsReplaced(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	conns := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	defer ln.Close()
	p := newTestPool(t, PoolConfig{CallTimeout: 50 * time.Millisecond})
	for range hungCalls + 1 {
		_, err := echo(p, ln.Addr().String(), "x")
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded) || errors.Is(err, ErrUnreachable))
	}
	eventually(t, 2*time.Second, func() bool {
		_, _ = echo(p, ln.Addr().String(), "x")
		return len(conns) >= 2
	})
}

// Guards against noticing late that a peer is reachable again.
func TestReconnect(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())
	p := newTestPool(t, PoolConfig{})
	for began := time.Now(); time.Since(began) < time.Second; time.Sleep(20 * time.Millisecond) {
		_, err := echo(p, addr, "x")
		var call *CallError
		assert.Assert(t, errors.As(err, &call) && call.NotRun && errors.Is(err, ErrUnreachable), "%v", err)
	}
	startServer(t, ServerConfig{Listen: addr}, nil)
	took := eventually(t, time.Second, func() bool {
		_, err := echo(p, addr, "x")
		return err == nil
	})
	t.Logf("peer called %v after it was reachable again", took)
}

// Guards against a message above the size limit that consumes memory or breaks the connection of its sender.
func TestOversizedMessages(t *testing.T) {
	s := startServer(t, ServerConfig{MaxMessage: 1000}, func(s *Server) {
		s.Handle("Big", func(context.Context, string, json.RawMessage) (any, error) {
			return text{strings.Repeat("x", 2000)}, nil
		})
	})
	p := newTestPool(t, PoolConfig{MaxMessage: 1000})
	_, err := echo(p, s.Addr(), strings.Repeat("x", 2000))
	var call *CallError
	assert.Assert(t, errors.Is(err, ErrTooLarge) && errors.As(err, &call) && call.NotRun)

	var remote *jsonrpc2.Error
	err = p.Call(context.Background(), s.Addr(), "Big", nil, nil)
	assert.Assert(t, errors.As(err, &remote), "%v", err)
	assert.Equal(t, int(remote.Code), jsonrpc2.CodeInternalError)

	_, err = echo(p, s.Addr(), "x")
	assert.NilError(t, err)
	rough := newTestPool(t, PoolConfig{MaxMessage: 1 << 20})
	_, err = echo(rough, s.Addr(), strings.Repeat("x", 2000))
	assert.Assert(t, err != nil && !errors.As(err, &remote), "the server handled the message: %v", err)
	_, err = echo(p, s.Addr(), "x")
	assert.NilError(t, err)
}

// Guards against a caller that reads no responses and so keeps its connection and the calls in progress on it.
func TestCallerThatDoesNotRead(t *testing.T) {
	s := startServer(t, ServerConfig{}, func(s *Server) {
		s.Handle("Big", func(context.Context, string, json.RawMessage) (any, error) {
			return text{strings.Repeat("x", 900<<10)}, nil
		})
	})
	conn, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte(frameOf(`{"jsonrpc":"2.0","method":"Hello","params":{"From":"a#1"}}`)))
	assert.NilError(t, err)
	for range 20 {
		_, err = conn.Write([]byte(frameOf(`{"jsonrpc":"2.0","id":1,"method":"Big"}`)))
		assert.NilError(t, err)
	}
	eventually(t, 5*time.Second, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 0
	})
}

// Guards against bytes of another protocol that stop the server or keep a connection open.
func TestGarbageBytes(t *testing.T) {
	s := startServer(t, ServerConfig{}, nil)
	for _, garbage := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\nUser-Agent: a long enough header to fill the frame\r\n\r\n",
		"\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff",
		"\xff\xff\xff\xff\x7f", "\x04null", "\x02[]", "\x02{}", "\x03{\"x", "\x00",
		"\x1f{\"method\":\"Hello\",\"params\":{}} ",
		frameOf(`{"jsonrpc":"2.0","method":"Hello","params":[1]}`),
	} {
		conn, err := net.Dial("tcp", s.Addr())
		assert.NilError(t, err)
		_, err = conn.Write([]byte(garbage))
		assert.NilError(t, err)
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
		_, err = conn.Read(make([]byte, 1))
		var timeout net.Error
		assert.Assert(t, err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()), "%q: %v", garbage, err)
		_ = conn.Close()
	}
	_, err := echo(newTestPool(t, PoolConfig{}), s.Addr(), "x")
	assert.NilError(t, err)
}

func frameOf(message string) string { return fmt.Sprintf("%c%s", len(message), message) }

// Guards against serving calls before the caller has sent its member ID.
func TestCallBeforeHello(t *testing.T) {
	s := startServer(t, ServerConfig{}, nil)
	conn, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte(frameOf(`{"jsonrpc":"2.0","id":1,"method":"Echo","params":{"Text":"x"}}`)))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	buf := make([]byte, 300)
	n, err := conn.Read(buf)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(buf[:n], []byte("-32002")), "%s", buf[:n])
}

// Guards against one caller that uses unbounded goroutines of the server, and against a refused call that counts as possibly
// executed.
func TestCallsInProgressAreBounded(t *testing.T) {
	s := startServer(t, ServerConfig{MaxCalls: 2}, nil)
	p := newTestPool(t, PoolConfig{CallTimeout: 500 * time.Millisecond})
	var wg sync.WaitGroup
	busy := make(chan struct{}, 10)
	for range 10 {
		wg.Go(func() {
			err := p.Call(context.Background(), s.Addr(), "Block", nil, nil)
			var remote *jsonrpc2.Error
			if errors.As(err, &remote) && remote.Code == CodeBusy {
				var call *CallError
				assert.Check(t, errors.As(err, &call) && call.NotRun)
				busy <- struct{}{}
			}
		})
	}
	wg.Wait()
	assert.Equal(t, len(busy), 8)
	_, err := echo(newTestPool(t, PoolConfig{}), s.Addr(), "x")
	assert.NilError(t, err)
}

// Guards against one message that stops all entries because their handlers panic.
func TestPanicOfHandler(t *testing.T) {
	s := startServer(t, ServerConfig{}, func(s *Server) {
		s.Handle("Panic", func(context.Context, string, json.RawMessage) (any, error) { panic("by test") })
	})
	p := newTestPool(t, PoolConfig{})
	var remote *jsonrpc2.Error
	assert.Assert(t, errors.As(p.Call(context.Background(), s.Addr(), "Panic", nil, nil), &remote))
	_, err := echo(p, s.Addr(), "x")
	assert.NilError(t, err)
}

// Guards against traffic that is not attributed to the method that caused it, so that no budget for control traffic could be
// checked.
func TestStatsPerMethod(t *testing.T) {
	serverStats, clientStats := NewStats(), NewStats()
	s := startServer(t, ServerConfig{Stats: serverStats}, nil)
	p := newTestPool(t, PoolConfig{Stats: clientStats})
	_, err := echo(p, s.Addr(), "x")
	assert.NilError(t, err)
	_ = p.Call(context.Background(), s.Addr(), "Unknown", nil, nil)
	eventually(t, time.Second, func() bool { return serverStats.Counts()[otherMethod].Sent > 0 })
	at, from := serverStats.Counts(), clientStats.Counts()
	assert.Equal(t, at["Echo"].Received, from["Echo"].Sent)
	assert.Equal(t, at["Echo"].Sent, from["Echo"].Received)
	assert.Equal(t, at[otherMethod].Received, from["Unknown"].Sent)
	assert.Equal(t, at[MethodHello].Received, from[MethodHello].Sent)
	assert.Assert(t, at["Echo"].Sent > 0 && at["Unknown"] == Count{})
}
