package proxy

import (
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"sync"
)

type textHeader = textproto.MIMEHeader

var errBodyStopped = errors.New("the attempt has ended")

// body streams the caller's body to one attempt. The transport may continue to read it
// after the attempt has failed, so stop disconnects it from the caller's body.
type body struct {
	in      *http.Request
	trailer http.Header // announced trailers that are forwarded; the values are set at the end of the body

	mu  sync.Mutex
	src io.Reader
}

func newBody(a *Attempt) *body {
	b := &body{in: a.In}
	if a.Length != 0 {
		b.src = a.Body
	}
	if a.Length < 0 && len(a.In.Trailer) > 0 {
		b.trailer = a.In.Trailer.Clone()
		StripHop(b.trailer)
		StripOwn(b.trailer)
	}
	return b
}

// Read reads from the caller's body. At its end it sets the values of the trailers.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	src := b.src
	b.mu.Unlock()
	if src == nil {
		return 0, io.EOF
	}
	n, err := src.Read(p)
	if errors.Is(err, io.EOF) {
		for name := range b.trailer {
			b.trailer[name] = b.in.Trailer[name]
		}
	}
	return n, err
}

// Close does nothing: the caller's body outlives the attempt.
func (b *body) Close() error { return nil }

// stop makes later reads fail. It does not wait for a read in progress.
func (b *body) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.src != nil {
		b.src = stoppedReader{}
	}
}

type stoppedReader struct{}

func (stoppedReader) Read([]byte) (int, error) { return 0, errBodyStopped }
