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

// Errors for which a response is not passed on.
var (
	ErrWrongResponse     = errors.New("the worker answered another request")
	ErrUnknownLength     = errors.New("the worker's response has no length, so its end cannot be verified")
	ErrUnexpectedUpgrade = errors.New("the worker switched protocols unasked")
	ErrClosed            = errors.New("this entry closed the attempt, since it may no longer use the worker")
)

// Attempt describes one attempt to send a request to one worker.
type Attempt struct {
	Addr   string        // IP:port of the worker
	ID     string        // request ID
	In     *http.Request // caller's request: method, URL, host, header, trailer
	Body   io.Reader     // nil if Length is 0
	Length int64         // of Body in bytes; -1 if unknown

	// Check is called immediately before the first byte is written. If it returns
	// an error, nothing is written. It must not block. Nil means that writing is always allowed.
	Check func() error

	// OnInformational is called for each 1xx response other than 100 and 101. It is never called after Send has
	// returned. Nil means that these responses are dropped.
	OnInformational func(status int, h http.Header)
}

// Result is the result of an attempt. Either Err is set or there is a response to pass on.
type Result struct {
	Verdict    retry.Verdict
	Status     int         // HTTP status of the response, 0 without one
	Header     http.Header // of the response, without hop-by-hop fields and those reserved for this program
	NotStarted bool        // the worker refused the request explicitly before it started it
	Err        error       // reason why there is no response to pass on, or why the response broke off

	resp *http.Response
	done func(abort bool) // ends the attempt; with abort it closes the connection
}

// Send sends the attempt and waits for the response header. If Err of the result is nil, the caller
// must then call CopyTo, DrainAndDiscard or Discard. Cancelling ctx ends the attempt and closes its
// connection, also while the body is copied.
func (f *Forwarder) Send(ctx context.Context, a Attempt) *Result {
	ctx, cancel := context.WithCancelCause(ctx)
	u := f.upstream(a.Addr)
	s := newAttemptState(a.Check)
	if s.check == nil {
		s.check = func() error { return nil }
	}
	body := newBody(&a)
	info := newInformational(a.OnInformational)
	ctx = context.WithValue(ctx, attemptStateKey{}, s)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				s.bindConn(c, info.Reused)
			}
		},
		Got1xxResponse: info.handle,
	})
	f.addAttempt(s, cancel)
	out := f.request(ctx, &a, body)
	out.Close = !u.canReuseConnections()
	resp, err := u.transport.RoundTrip(out) //nolint:bodyclose // closed by CopyTo, Discard or reject
	info.stop()
	done := func(abort bool) {
		f.removeAttempt(s)
		body.stop()
		s.end(abort)
		cancel(nil)
		u.trim()
	}
	if err != nil {
		done(true)
		return failedResult(s, err)
	}
	res := &Result{resp: resp, done: done, Status: resp.StatusCode, Header: resp.Header}
	idRepeated := slices.Equal(res.Header.Values(HeaderRequestID), []string{a.ID})
	u.recordIDRepeated(idRepeated)
	res.setVerdict(s, &a, idRepeated)
	return res
}

// failedResult returns the result of an attempt without a response.
func failedResult(s *attemptState, err error) *Result {
	wrote, refused := s.finish()
	if wrote {
		return &Result{Verdict: retry.MayHaveRun, Err: fmt.Errorf("no response: %w", err)}
	}
	if refused != nil {
		err = refused
	}
	return &Result{Verdict: retry.NotRun, Err: fmt.Errorf("nothing sent: %w", err)}
}

// setVerdict sets the verdict according to the response header and rejects a response that must not be passed on.
func (r *Result) setVerdict(s *attemptState, a *Attempt, idRepeated bool) {
	if wrote, refused := s.finish(); !wrote {
		// The response arrived before the request was sent, so it belongs to another request.
		r.reject(retry.NotRun, errors.Join(ErrWrongResponse, refused))
		return
	}
	wrongResponse := !idRepeated && (s.onReused() || r.Header.Get(HeaderRequestID) != "")
	notRun := r.Status == http.StatusServiceUnavailable && r.Header.Get(retry.HeaderNotRun) == "1"
	switch {
	case wrongResponse:
		r.reject(retry.MayHaveRun, ErrWrongResponse)
	case notRun:
		r.NotStarted = true
		r.reject(retry.NotRun, errors.New("the worker refused the request before it started it"))
	case r.Status == http.StatusSwitchingProtocols:
		r.reject(retry.MayHaveRun, ErrUnexpectedUpgrade)
	case isUnframed(r.resp, a.In.Method):
		r.reject(retry.MayHaveRun, ErrUnknownLength)
	default:
		r.Verdict = retry.MayHaveRun // until the body is complete
		StripHop(r.Header)
		StripOwn(r.Header)
	}
}

// isUnframed reports whether the response ends only with its connection. The end of such a response cannot be
// told from a crash of the worker.
func isUnframed(resp *http.Response, method string) bool {
	if method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return false
	}
	return resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked")
}

func (r *Result) reject(v retry.Verdict, err error) {
	r.Verdict, r.Err = v, err
	r.done(!r.drain())
	_ = r.resp.Body.Close()
}

// drain reads the rest of a short refusal, so that its connection can be reused. It reports whether it succeeded.
func (r *Result) drain() bool {
	const maxDrainBytes = 4 << 10
	if !r.NotStarted || r.resp.ContentLength < 0 || r.resp.ContentLength > maxDrainBytes {
		return false
	}
	_, err := io.Copy(io.Discard, r.resp.Body)
	return err == nil
}

// request returns the request for the transport. Its Body is never nil and GetBody is nil, because the
// transport silently repeats requests without a body on a reused connection, including a POST with an
// Idempotency-Key.
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
		// The identity encoding prevents the transport from chunking the empty body.
		out.TransferEncoding = []string{"identity"}
	}
	return out.WithContext(ctx)
}

// informational passes 1xx responses to OnInformational until Send returns.
type informational struct {
	mu   sync.Mutex
	pass func(int, http.Header)
}

func newInformational(pass func(int, http.Header)) *informational { return &informational{pass: pass} }

func (i *informational) handle(status int, h textHeader) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.pass == nil || status == http.StatusContinue || status == http.StatusSwitchingProtocols {
		return nil
	}
	out := http.Header(h).Clone()
	StripHop(out)
	StripOwn(out)
	i.pass(status, out)
	return nil
}

func (i *informational) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pass = nil
}
