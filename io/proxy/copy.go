package proxy

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"sassafrasvalve/core/retry"
)

// chunkSize is the most of a body that is held at once, in bytes.
const chunkSize = 32 << 10

var chunks = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// CopyTo passes the response on: header, body and trailers. Fields already set in w's
// header stay. The verdict is Ran if the response was whole, else MayHaveRun with Err set:
// the caller's connection must then be aborted, so that the rest never looks complete.
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

// copyBody copies in chunks. A body of unknown length is flushed after each, because it may be a stream
// of messages; one of known length whenever the worker has no more to give at the moment.
func (r *Result) copyBody(w http.ResponseWriter) error {
	rc := http.NewResponseController(w)
	left := r.resp.ContentLength
	if left < 0 && r.resp.Body != http.NoBody {
		if err := rc.Flush(); err != nil {
			return fmt.Errorf("write to the caller: %w", err)
		}
	}
	chunk, _ := chunks.Get().(*[chunkSize]byte)
	defer chunks.Put(chunk)
	for {
		n, rerr := r.resp.Body.Read(chunk[:])
		if n > 0 {
			if _, err := w.Write(chunk[:n]); err != nil {
				return fmt.Errorf("write to the caller: %w", err)
			}
			left -= int64(n)
			if left < 0 || (left > 0 && n < chunkSize) {
				if err := rc.Flush(); err != nil {
					return fmt.Errorf("write to the caller: %w", err)
				}
			}
		}
		if errors.Is(rerr, io.EOF) {
			return nil
		}
		if rerr != nil {
			return fmt.Errorf("response broke off: %w", rerr)
		}
	}
}

// Discard drops the response and closes its connection unless the response has ended.
func (r *Result) Discard() {
	if r.resp == nil || r.Err != nil {
		return
	}
	r.done(true)
	_ = r.resp.Body.Close()
}

// Consume reads the response to its end and drops it, as for a job whose outcome alone is kept.
// The verdict is set as by CopyTo.
func (r *Result) Consume() {
	if r.Err == nil {
		r.CopyTo(&sink{header: http.Header{}})
	}
}

// sink is a response writer that drops everything.
type sink struct{ header http.Header }

// Header returns a header that nobody reads.
func (s *sink) Header() http.Header { return s.header }

// WriteHeader does nothing.
func (s *sink) WriteHeader(int) {}

// Write drops p.
func (s *sink) Write(p []byte) (int, error) { return len(p), nil }

// FlushError does nothing.
func (s *sink) FlushError() error { return nil }
