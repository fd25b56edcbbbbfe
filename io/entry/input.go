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
// It can be sent again only if it is buffered, or if no attempt has begun to read it. A body is
// buffered if its declared length is at most maxBufferedBytes and the request has no Expect field.
type input struct {
	r           *http.Request
	rc          *http.ResponseController
	idleTimeout time.Duration
	length      int64
	buf         []byte // the body, if buffered is true
	buffered    bool

	mu           sync.Mutex
	attemptNo    int  // number of the only attempt that may read
	readStarted  bool // an attempt has begun to read
	reading      bool
	closed       bool
	eof          bool
	err          error     // error that broke off the body
	lastProgress time.Time // when the caller last sent a part of the body
}

func newInput(w http.ResponseWriter, r *http.Request, idleTimeout time.Duration) *input {
	return &input{
		r: r, rc: http.NewResponseController(w), idleTimeout: idleTimeout, length: r.ContentLength, lastProgress: time.Now(),
		buffered: r.ContentLength == 0, eof: r.ContentLength == 0,
	}
}

// bufferSmall buffers the body if it is small enough. This is done before a slot is acquired, so that a slow caller
// occupies none, and so that net/http notices if the caller disconnects while the request waits.
func (in *input) bufferSmall() error {
	if in.length > maxBufferedBytes || in.r.Header.Get("Expect") != "" {
		return nil
	}
	return in.bufferAll()
}

// bufferAll buffers a body of known length. It returns an error if the body is shorter or longer than declared.
func (in *input) bufferAll() error {
	if in.buffered || in.length < 0 {
		return nil
	}
	buf := make([]byte, in.length)
	src := &attemptReader{in, in.attemptNo}
	if _, err := io.ReadFull(src, buf); err != nil {
		return fmt.Errorf("the body ended early: %w", err)
	}
	// net/http watches the connection only after it has read the end of the body.
	if _, err := src.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return fmt.Errorf("the body does not end after %d bytes: %w", in.length, err)
	}
	in.buf, in.buffered, in.readStarted = buf, true, false
	return nil
}

// attempt returns a reader of the body for one attempt. If the body is not buffered, the readers of
// earlier attempts fail from now on.
func (in *input) attempt() io.Reader {
	if in.buffered {
		return bytes.NewReader(in.buf)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.attemptNo++
	return &attemptReader{in, in.attemptNo}
}

// attemptReader reads the caller's body for one attempt.
type attemptReader struct {
	in        *input
	attemptNo int
}

// Read reads from the caller's body. It returns errInputEnded if a later attempt has begun or the request has been answered.
func (a *attemptReader) Read(p []byte) (int, error) { return a.in.read(a.attemptNo, p) }

// replayable reports whether the body can be sent again from its start. The transport may continue to
// read for an attempt that has failed. Therefore replayable first disables the reader of that attempt.
func (in *input) replayable() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.attemptNo++
	return in.buffered || !in.readStarted
}

// progress returns when the caller last sent a part of the body, and whether the body has been read to its end.
func (in *input) progress() (time.Time, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.lastProgress, in.eof
}

// bodyErr returns the error that broke off the caller's body, or nil.
func (in *input) bodyErr() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.err
}

// read reads from the caller's body, for attempt number attemptNo. It fails if the caller sends nothing for the idle time.
func (in *input) read(attemptNo int, p []byte) (int, error) {
	in.mu.Lock()
	if in.closed || attemptNo != in.attemptNo {
		in.mu.Unlock()
		return 0, errInputEnded
	}
	in.readStarted, in.reading = true, true
	_ = in.rc.SetReadDeadline(time.Now().Add(in.idleTimeout))
	in.mu.Unlock()

	n, err := in.r.Body.Read(p)

	in.mu.Lock()
	defer in.mu.Unlock()
	in.reading = false
	if n > 0 {
		in.lastProgress = time.Now()
	}
	switch {
	case errors.Is(err, io.EOF):
		in.eof = true
	case err != nil:
		in.err = err
	}
	if err != nil && !in.closed {
		// A read deadline that stays set would end net/http's watch on the connection.
		_ = in.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}

// close stops reading. It makes a read in progress fail, since net/http waits for that read before it ends the request.
func (in *input) close() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.closed = true
	if in.reading {
		_ = in.rc.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = in.rc.SetReadDeadline(time.Time{})
}
