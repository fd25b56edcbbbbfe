package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// fault is the kind of fault that a proxy injects into its connections.
type fault int32

const (
	healthy    fault = iota
	slow             // delays each chunk by slowDelay
	silent           // forwards nothing and keeps the connections open
	oneWay           // forwards requests, but no answers
	faultKinds       // number of kinds
)

// slowDelay is the delay of each chunk on a slow connection.
const slowDelay = 120 * time.Millisecond

// proxy forwards connections from a loopback address to another one and injects faults into them.
type proxy struct {
	listener net.Listener
	target   string
	fault    atomic.Int32
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// newProxy starts a proxy in front of target.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.loop()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) loop() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		t, err := net.Dial("tcp", p.target)
		if err != nil {
			c.Close()
			continue
		}
		p.mu.Lock()
		p.conns[c], p.conns[t] = true, true
		p.mu.Unlock()
		go p.forward(c, t, false)
		go p.forward(t, c, true)
	}
}

// forward copies one direction of a connection. back is true for the direction of answers.
func (p *proxy) forward(from, to net.Conn, back bool) {
	defer p.closeConns(from, to)
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		switch f := fault(p.fault.Load()); {
		case f == slow:
			time.Sleep(slowDelay)
		case f == silent, f == oneWay && back:
			_, _ = io.Copy(io.Discard, from) // the connection hangs until one side closes it
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(p.conns, c)
	}
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
		delete(p.conns, c)
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.reset()
}
