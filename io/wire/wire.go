// Package wire holds code that the clients of the platform and of peers share: dialling, byte counts, read intervals and
// backoff.
package wire

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// ClientHeader is the header that identifies the sending process to the platform.
const ClientHeader = "Sassafrasvalve-Client"

const dialTimeout = time.Second

// Counter counts the bytes sent and received over connections, including headers. The zero value is ready for use.
type Counter struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the number of bytes written.
func (c *Counter) Sent() int64 { return c.sent.Load() }

// Received returns the number of bytes read.
func (c *Counter) Received() int64 { return c.received.Load() }

// Wrap returns a connection that adds its bytes to the counter.
func (c *Counter) Wrap(conn net.Conn) net.Conn { return &countedConn{conn, c} }

type countedConn struct {
	net.Conn
	counter *Counter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}

// NewHTTPClient returns a client that uses no proxy, follows no redirects and requests no compression. It opens at most
// maxConns connections to a host. It has no timeout of its own: the context of a request bounds it.
func NewHTTPClient(counter *Counter, maxConns int) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return counter.Wrap(conn), nil
			},
			DisableCompression:  true,
			MaxConnsPerHost:     maxConns,
			MaxIdleConnsPerHost: maxConns,
			IdleConnTimeout:     time.Minute,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Backoff returns a random pause before attempt n, which counts from 0. With d = first·2ⁿ, but at most limit,
// the pause is between d/2 and d.
func Backoff(first, limit time.Duration, n int) time.Duration {
	d := limit
	if n < 30 { // a larger shift could overflow
		d = min(limit, first<<n)
	}
	return d/2 + rand.N(d/2+1)
}

// Sleep waits for d or until ctx is done. It reports whether ctx is not done.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return ctx.Err() == nil
	}
}
