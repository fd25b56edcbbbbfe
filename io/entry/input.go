package entry

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

var errInputEnded = errors.New("the request has been answered")

// input is the body of a caller's request.
//
// It can be sent again only if it is held as a whole, which is so for a declared length of up
// to maxBuffered without Expect, or if no attempt has begun to read it.
type input struct {
	r      *http.Request
	rc     *http.ResponseController
	idle   time.Duration
	length int64
	held   []byte // whole body, if whole
	whole  bool

	mu      sync.Mutex
	gen     int  // number of the attempt that may read
	used    bool // an attempt has begun to read
	reading bool
	ended   bool
	eof     bool
	err     error     // why the caller's body broke off
	last    time.Time // of the latest progress
}

func newInput(w http.ResponseWriter, r *http.Request, idle time.Duration) *input {
	return &input{
		r: r, rc: http.NewResponseController(w), idle: idle, length: r.ContentLength, last: time.Now(),
		whole: r.ContentLength == 0, eof: r.ContentLength == 0,
	}
}

// hold reads the whole body if it is small enough. It is read before a slot is taken, so that a slow caller
// holds none, and so that net/http notices when the caller goes away while the request waits.
func (in *input) hold() error {
	if in.length > maxBuffered || in.r.Header.Get("Expect") != "" {
		return nil
	}
	return in.holdAll()
}

// holdAll reads a body of known length.
func (in *input) holdAll() error {
	if in.whole || in.length < 0 {
		return nil
	}
	held := make([]byte, in.length)
	src := &attemptReader{in, in.gen}
	if _, err := io.ReadFull(src, held); err != nil {
		return fmt.Errorf("the body ended early: %w", err)
	}
	// net/http starts to watch the connection when it has seen the end of the body.
	if _, err := src.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return fmt.Errorf("the body does not end after %d bytes: %w", in.length, err)
	}
	in.held, in.whole, in.used = held, true, false
	return nil
}

// attempt returns the body for one attempt. The readers of earlier attempts fail from now on.
func (in *input) attempt() io.Reader {
	if in.whole {
		return bytes.NewReader(in.held)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.gen++
	return &attemptReader{in, in.gen}
}

// attemptReader reads the caller's body for one attempt.
type attemptReader struct {
	in  *input
	gen int
}

// Read reads from the caller unless the attempt has ended.
func (a *attemptReader) Read(p []byte) (int, error) { return a.in.read(a.gen, p) }

// replayable says whether the body can be sent once more from its start. The transport may go on
// reading for an attempt that has failed, so that this attempt is cut off before the answer is given.
func (in *input) replayable() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.gen++
	return in.whole || !in.used
}

// progress returns when the caller last made progress and whether the body has been read to its end.
func (in *input) progress() (time.Time, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.last, in.eof
}

// fault returns why the caller's body broke off, or nil.
func (in *input) fault() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.err
}

// read reads from the caller, who may pause for the idle time.
func (in *input) read(gen int, p []byte) (int, error) {
	in.mu.Lock()
	if in.ended || gen != in.gen {
		in.mu.Unlock()
		return 0, errInputEnded
	}
	in.used, in.reading = true, true
	_ = in.rc.SetReadDeadline(time.Now().Add(in.idle))
	in.mu.Unlock()

	n, err := in.r.Body.Read(p)

	in.mu.Lock()
	defer in.mu.Unlock()
	in.reading = false
	if n > 0 {
		in.last = time.Now()
	}
	switch {
	case errors.Is(err, io.EOF):
		in.eof = true
	case err != nil:
		in.err = err
	}
	if err != nil && !in.ended {
		// A deadline left behind would end net/http's watch on the connection.
		_ = in.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}

// end stops reading. A read in progress fails, since net/http waits for it before it ends the request.
func (in *input) end() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ended = true
	if in.reading {
		_ = in.rc.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = in.rc.SetReadDeadline(time.Time{})
}
