package proxy

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"sassafrasvalve/core/retry"
)

// chunkBytes is the size of the buffers that bodies are copied with.
const chunkBytes = 32 << 10

var chunkPool = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// CopyTo passes the header, body and trailers of the response on to w. Fields already set in
// w's header are kept. CopyTo sets the verdict to Ran if the response was complete, else to
// MayHaveRun with Err set. In that case the caller's connection must be aborted, so that the
// truncated response does not look complete.
func (r *Result) CopyTo(w http.ResponseWriter) {
	h := w.Header()
	for name, vs := range r.Header {
		if _, own := h[name]; !own {
			h[name] = vs
		}
	}
	announced := http.Header{}
	for name := range r.resp.Trailer {
		announced[name] = nil
	}
	StripHop(announced)
	StripOwn(announced)
	for name := range announced {
		h.Add("Trailer", name)
	}
	w.WriteHeader(r.Status)
	if err := r.copyBody(w); err != nil {
		r.Verdict, r.Err = retry.MayHaveRun, err
		r.done(true)
		_ = r.resp.Body.Close()
		return
	}
	_ = r.resp.Body.Close()
	StripHop(r.resp.Trailer)
	StripOwn(r.resp.Trailer)
	for name, vs := range r.resp.Trailer {
		if _, ok := announced[name]; !ok {
			name = http.TrailerPrefix + name
		}
		h[name] = vs
	}
	r.Verdict = retry.Ran
	r.done(false)
}

// copyBody copies the body in chunks. A body of unknown length is flushed after each chunk, because it may be
// a stream of messages. A body of known length is flushed after a chunk that is not full, because the worker
// may then have no more data at the moment.
func (r *Result) copyBody(w http.ResponseWriter) error {
	rc := http.NewResponseController(w)
	left := r.resp.ContentLength
	if left < 0 && r.resp.Body != http.NoBody {
		if err := rc.Flush(); err != nil {
			return fmt.Errorf("write to the caller: %w", err)
		}
	}
	chunk, _ := chunkPool.Get().(*[chunkBytes]byte)
	defer chunkPool.Put(chunk)
	for {
		n, readErr := r.resp.Body.Read(chunk[:])
		if n > 0 {
			if _, err := w.Write(chunk[:n]); err != nil {
				return fmt.Errorf("write to the caller: %w", err)
			}
			left -= int64(n)
			if left < 0 || (left > 0 && n < chunkBytes) {
				if err := rc.Flush(); err != nil {
					return fmt.Errorf("write to the caller: %w", err)
				}
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return fmt.Errorf("response broke off: %w", readErr)
		}
	}
}

// Discard drops the response and closes its connection. It does nothing without a response to pass on.
func (r *Result) Discard() {
	if r.resp == nil || r.Err != nil {
		return
	}
	r.done(true)
	_ = r.resp.Body.Close()
}

// DrainAndDiscard reads the response to its end and drops it, for jobs of which only the outcome is kept.
// It sets the verdict as CopyTo does.
func (r *Result) DrainAndDiscard() {
	if r.Err == nil {
		r.CopyTo(&discardWriter{header: http.Header{}})
	}
}

// discardWriter is an http.ResponseWriter that drops everything.
type discardWriter struct{ header http.Header }

// Header returns a header that is never sent.
func (s *discardWriter) Header() http.Header { return s.header }

// WriteHeader does nothing.
func (s *discardWriter) WriteHeader(int) {}

// Write drops p.
func (s *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// FlushError does nothing.
func (s *discardWriter) FlushError() error { return nil }
