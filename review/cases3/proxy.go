//go:build review

package main

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// proxy forwards connections to an address and can cut the path like a partition that drops packets: nothing passes during a cut, and
// what was sent on a connection that stood before arrives after it, unless its sender has reset the connection. A connection that is
// opened during a cut never carries anything, as its opening packet is lost.
type proxy struct {
	w        *world
	listener net.Listener
	target   string

	mu   sync.Mutex
	cut  bool
	heal *sync.Cond // signalled when cut changes
}

func newProxy(w *world, target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{w: w, listener: l, target: target}
	p.heal = sync.NewCond(&p.mu)
	go p.loop()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.heal.Broadcast()
}

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *proxy) loop() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.isCut() {
			go func() { _, _ = io.Copy(io.Discard, c); c.Close() }()
			continue
		}
		t, err := net.Dial("tcp", p.target)
		if err != nil {
			c.Close()
			continue
		}
		go p.forward(c, t)
		go p.forward(t, c)
	}
}

// chunk is what was read from one side, or its end.
type chunk struct {
	data []byte
	err  error
}

// forward copies one direction of a connection. It reads at once, so that a reset by the sender is seen during a cut.
func (p *proxy) forward(from, to net.Conn) {
	chunks := make(chan chunk, 1024)
	reset := make(chan struct{})
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			if errors.Is(err, syscall.ECONNRESET) {
				close(reset)
				return
			}
			if n > 0 {
				chunks <- chunk{data: b[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		p.mu.Lock()
		held := p.cut
		for p.cut {
			p.heal.Wait()
		}
		p.mu.Unlock()
		select {
		case <-reset: // bytes that a partition held up are lost
			p.w.note("a sender has reset its connection to %s, %d bytes are lost", p.target, len(c.data))
			_ = to.Close()
			return
		default:
		}
		if line, _, _ := bytes.Cut(c.data, []byte("\r\n")); held {
			p.w.note("%d bytes that the cut held up arrive at %s: %.60q", len(c.data), to.RemoteAddr(), line)
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
	p.mu.Lock()
	for p.cut {
		p.heal.Wait()
	}
	p.mu.Unlock()
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	time.Sleep(time.Second)
	_ = to.Close()
}
