package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"sync"

	"sassafrasvalve/core/retry"
)

// Errors of a response that is not passed on.
var (
	ErrCrossed   = errors.New("the worker answered another request")
	ErrUnframed  = errors.New("the worker's response has no length, so its end cannot be verified")
	ErrSwitching = errors.New("the worker switched protocols unasked")
	ErrClosed    = errors.New("this entry closed the attempt, since it may no longer use the worker")
)

// Attempt is one try of a request on one worker.
type Attempt struct {
	Addr   string        // IP:port of the worker
	ID     string        // request ID
	In     *http.Request // caller's request: method, URL, host, header, trailer
	Body   io.Reader     // nil if Length is 0
	Length int64         // of Body in bytes; -1 if unknown

	// Check is called immediately before the first byte is written. If it returns
	// an error, nothing is written. It must not block. Nil allows the attempt.
	Check func() error

	// Early passes on a 1xx response other than 100 and 101. It is never called after Send returned. Nil drops them.
	Early func(status int, h http.Header)
}

// Result is what became of an attempt. Either Err is set or there is a response to pass on.
type Result struct {
	Verdict retry.Verdict
	Status  int         // HTTP status of the response, 0 without one
	Header  http.Header // of the response, without hop-by-hop fields and this program's own
	Refused bool        // the worker refused explicitly before it started the request
	Err     error       // why there is no response to pass on, or why it broke off

	resp *http.Response
	done func(abort bool)
}

// Send sends the attempt and waits for the response header. The caller then either
// passes the response on with CopyTo or drops it with Discard.
// A cancelled ctx ends the attempt and closes its connection, also while the body is copied.
func (f *Forwarder) Send(ctx context.Context, a Attempt) *Result {
	ctx, cancel := context.WithCancelCause(ctx)
	u := f.upstream(a.Addr)
	s := newSending(a.Check)
	if s.check == nil {
		s.check = func() error { return nil }
	}
	body := newBody(&a)
	early := newEarly(a.Early)
	ctx = context.WithValue(ctx, sendingKey{}, s)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				s.bind(c, info.Reused)
			}
		},
		Got1xxResponse: early.got,
	})
	f.begin(s, cancel)
	out := f.request(ctx, &a, body)
	out.Close = !u.repeatsID()
	resp, err := u.transport.RoundTrip(out) //nolint:bodyclose // closed by CopyTo, Discard or drop
	early.stop()
	done := func(abort bool) {
		f.end(s)
		body.stop()
		s.end(abort)
		cancel(nil)
		u.trim()
	}
	if err != nil {
		done(true)
		return failed(s, err)
	}
	res := &Result{resp: resp, done: done, Status: resp.StatusCode, Header: resp.Header}
	repeated := slices.Equal(res.Header.Values(HeaderRequestID), []string{a.ID})
	u.noteID(repeated)
	res.judge(s, &a, repeated)
	return res
}

// failed returns the result of an attempt without a response.
func failed(s *sending, err error) *Result {
	wrote, refused := s.finish()
	if wrote {
		return &Result{Verdict: retry.MayHaveRun, Err: fmt.Errorf("no response: %w", err)}
	}
	if refused != nil {
		err = refused
	}
	return &Result{Verdict: retry.NotRun, Err: fmt.Errorf("nothing sent: %w", err)}
}

// judge sets the verdict by the response's header and drops a response that must not be passed on.
func (r *Result) judge(s *sending, a *Attempt, repeated bool) {
	if wrote, refused := s.finish(); !wrote {
		// The response was in the connection before the request: it belongs to another one.
		r.drop(retry.NotRun, errors.Join(ErrCrossed, refused))
		return
	}
	crossed := !repeated && (s.onReused() || r.Header.Get(HeaderRequestID) != "")
	notRun := r.Status == http.StatusServiceUnavailable && r.Header.Get(retry.HeaderNotRun) == "1"
	switch {
	case crossed:
		r.drop(retry.MayHaveRun, ErrCrossed)
	case notRun:
		r.Refused = true
		r.drop(retry.NotRun, errors.New("the worker refused the request before it started it"))
	case r.Status == http.StatusSwitchingProtocols:
		r.drop(retry.MayHaveRun, ErrSwitching)
	case unframed(r.resp, a.In.Method):
		r.drop(retry.MayHaveRun, ErrUnframed)
	default:
		r.Verdict = retry.MayHaveRun // until the body is whole
		StripHop(r.Header)
		StripOwn(r.Header)
	}
}

// unframed says whether only the end of the connection ends the response, as a crash of the worker would.
func unframed(resp *http.Response, method string) bool {
	if method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return false
	}
	return resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked")
}

func (r *Result) drop(v retry.Verdict, err error) {
	r.Verdict, r.Err = v, err
	r.done(!r.drain())
	_ = r.resp.Body.Close()
}

// drain reads the short rest of a refusal so that its connection can be used again.
func (r *Result) drain() bool {
	const most = 4 << 10
	if !r.Refused || r.resp.ContentLength < 0 || r.resp.ContentLength > most {
		return false
	}
	_, err := io.Copy(io.Discard, r.resp.Body)
	return err == nil
}

// request returns the request for the transport. Its body is never nil and has no GetBody,
// because the transport silently repeats body-less requests on a reused connection,
// a POST with an Idempotency-Key included.
func (f *Forwarder) request(ctx context.Context, a *Attempt, body *body) *http.Request {
	in := a.In
	out := &http.Request{
		Method: in.Method,
		URL: &url.URL{
			Scheme:     "http",
			Host:       a.Addr,
			Path:       in.URL.Path,
			RawPath:    in.URL.RawPath,
			RawQuery:   in.URL.RawQuery,
			ForceQuery: in.URL.ForceQuery,
		},
		Host:       in.Host,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     f.requestHeader(a),
		Body:       body,
	}
	switch {
	case a.Length > 0:
		out.ContentLength = a.Length
	case a.Length < 0:
		out.ContentLength = -1
		out.TransferEncoding = []string{"chunked"}
		out.Trailer = body.trailer
	default:
		// Identity keeps the transport from chunking the empty body.
		out.TransferEncoding = []string{"identity"}
	}
	return out.WithContext(ctx)
}

// early hands 1xx responses over until Send returns.
type early struct {
	mu   sync.Mutex
	pass func(int, http.Header)
}

func newEarly(pass func(int, http.Header)) *early { return &early{pass: pass} }

func (e *early) got(status int, h textHeader) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pass == nil || status == http.StatusContinue || status == http.StatusSwitchingProtocols {
		return nil
	}
	out := http.Header(h).Clone()
	StripHop(out)
	StripOwn(out)
	e.pass(status, out)
	return nil
}

func (e *early) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pass = nil
}
