package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"sassafrasvalve/core/retry"
	"sassafrasvalve/fake/worker"
)

// send sends an attempt and records its response.
func send(f *Forwarder, addr, id, method, target, body string, header http.Header) (*Result, *httptest.ResponseRecorder) {
	return sendCtx(context.Background(), f, Attempt{Addr: addr, ID: id}, method, target, body, header)
}

func sendCtx(ctx context.Context, f *Forwarder, a Attempt, method, target, body string, header http.Header) (*Result, *httptest.ResponseRecorder) {
	a.In = httptest.NewRequest(method, target, strings.NewReader(body))
	if header != nil {
		a.In.Header = header
	}
	a.Body, a.Length = strings.NewReader(body), int64(len(body))
	res := f.Send(ctx, a)
	rec := httptest.NewRecorder()
	if res.Err == nil {
		res.CopyTo(rec)
	}
	return res, rec
}

func startWorker(t *testing.T, cfg worker.Config) *worker.Server {
	t.Helper()
	w, err := worker.Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(w.Close)
	return w
}

func startForwarder(t *testing.T, cfg Config) *Forwarder {
	t.Helper()
	f := New(cfg)
	t.Cleanup(f.Close)
	return f
}

// hasConnections is a check for poll.WaitOn that waits until the worker sees n connections.
func hasConnections(w *worker.Server, n int) poll.Check {
	return func(poll.LogT) poll.Result {
		if got := w.Counts().Connections; got != n {
			return poll.Continue("%d connections", got)
		}
		return poll.Success()
	}
}

// closingUpstream is an upstream that answers the first request of a connection and closes the connection on the second.
type closingUpstream struct {
	ln   net.Listener
	seen atomic.Int64
}

func startClosingUpstream(t *testing.T) *closingUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &closingUpstream{ln: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go u.run()
	return u
}

func (u *closingUpstream) run() {
	for {
		c, err := u.ln.Accept()
		if err != nil {
			return
		}
		go u.serve(c)
	}
}

func (u *closingUpstream) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		u.seen.Add(1)
		if n == 1 {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", HeaderRequestID, r.Header.Get(HeaderRequestID))
	}
}

// Guards against a request that reaches an upstream twice, because the transport silently repeats it if a reused
// connection closes before the response.
func TestNoSilentReplayOnReusedConnection(t *testing.T) {
	for name, c := range map[string]struct{ method, body, key string }{
		"POST without body":        {"POST", "", ""},
		"POST without body, key":   {"POST", "", "Idempotency-Key"},
		"POST without body, X key": {"POST", "", "X-Idempotency-Key"},
		"POST with body and key":   {"POST", "hold lane 4", "Idempotency-Key"},
		"GET":                      {"GET", "", ""},
		"DELETE without body, key": {"DELETE", "", "Idempotency-Key"},
		"HEAD without body, key":   {"HEAD", "", "Idempotency-Key"},
	} {
		t.Run(name, func(t *testing.T) {
			u := startClosingUpstream(t)
			f := startForwarder(t, Config{})
			h := http.Header{}
			if c.key != "" {
				h.Set(c.key, "k1")
			}
			for _, id := range []string{"shows that IDs are repeated", "a"} {
				first, _ := send(f, u.ln.Addr().String(), id, "POST", "/", "", http.Header{})
				assert.Equal(t, first.Verdict, retry.Ran)
			}
			second, _ := send(f, u.ln.Addr().String(), "b", c.method, "/", c.body, h)
			assert.Equal(t, second.Verdict, retry.MayHaveRun)
			time.Sleep(20 * time.Millisecond)
			assert.Equal(t, u.seen.Load(), int64(3))
		})
	}
}

// Guards against a wrong verdict of an attempt of which nothing was sent: failed check, cancelled context, no connection.
func TestNotRunIsProvedWhenNothingWasSent(t *testing.T) {
	w := startWorker(t, worker.Config{})
	f := startForwarder(t, Config{})
	lapsed := errors.New("lease lapsed")
	for range 2 { // on a new connection, and after another one was used
		res, _ := sendCtx(context.Background(), f, Attempt{Addr: w.Addr(), ID: "a", Check: func() error { return lapsed }}, "POST", "/", "x", nil)
		assert.Equal(t, res.Verdict, retry.NotRun)
		assert.ErrorIs(t, res.Err, lapsed)
		assert.Equal(t, w.Counts().Ran, 0)
		_, _ = send(f, w.Addr(), "ok", "GET", "/", "", nil)
		w = startWorker(t, worker.Config{})
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	res, _ := sendCtx(ctx, f, Attempt{Addr: w.Addr(), ID: "b"}, "POST", "/", "x", nil)
	assert.Equal(t, res.Verdict, retry.NotRun)
	addr := w.Addr()
	w.Close()
	res, _ = send(f, addr, "c", "POST", "/", "x", nil)
	assert.Equal(t, res.Verdict, retry.NotRun)
	assert.Equal(t, w.Counts().Ran, 0)
}

// Guards against passing on a response that is truncated, of the wrong length, without a verifiable end or that
// belongs to another request.
func TestVerdictsOfBadResponses(t *testing.T) {
	w := startWorker(t, worker.Config{})
	f := startForwarder(t, Config{})
	for kind, want := range map[worker.Kind]struct {
		verdict retry.Verdict
		early   bool // no response reaches the caller
	}{
		worker.KindTruncate:   {retry.MayHaveRun, false},
		worker.KindTruncChunk: {retry.MayHaveRun, false},
		worker.KindShort:      {retry.MayHaveRun, false},
		worker.KindUnframed:   {retry.MayHaveRun, true},
		worker.KindSwitch:     {retry.MayHaveRun, true},
		worker.KindClose:      {retry.MayHaveRun, true},
		worker.KindCrossed:    {retry.MayHaveRun, true},
		worker.KindRefuse:     {retry.NotRun, true},
		worker.KindBadRefusal: {retry.Ran, false},
		worker.KindFail:       {retry.Ran, false},
	} {
		t.Run(string(kind), func(t *testing.T) {
			res, rec := send(f, w.Addr(), "id", "POST", "/", "x", http.Header{worker.HeaderFault: {string(kind)}})
			assert.Equal(t, res.Verdict, want.verdict, "%v", res.Err)
			assert.Equal(t, res.Err != nil, want.verdict != retry.Ran)
			assert.Equal(t, rec.Body.Len() == 0, want.early)
			in := httptest.NewRequest(http.MethodPost, "/", nil)
			in.Header.Set(worker.HeaderFault, string(kind))
			res = f.Send(context.Background(), Attempt{Addr: w.Addr(), ID: "id2", In: in})
			res.DrainAndDiscard()
			assert.Equal(t, res.Verdict, want.verdict, "consumed: %v", res.Err)
		})
	}
}

// Guards against surplus bytes that are taken for the answer to the next request on the connection, after a worker
// wrote more than one response or more than the declared length. Requests wait for the only connection, so that each
// gets it at the moment the previous response has ended.
func TestLeftoverBytesNeverAnswerTheNextRequest(t *testing.T) {
	log.SetOutput(io.Discard) // the transport logs surplus bytes that it detects itself
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	w := startWorker(t, worker.Config{})
	for _, kind := range []worker.Kind{worker.KindDouble, worker.KindLong, worker.KindLateDouble} {
		f := startForwarder(t, Config{MaxConnections: 1})
		var wg sync.WaitGroup
		for g := range 8 {
			wg.Go(func() {
				for i := range 25 {
					id := fmt.Sprint("id-", g, "-", i)
					before := w.Counts().IDs[id]
					res, rec := send(f, w.Addr(), id, "GET", "/", "", http.Header{worker.HeaderFault: {string(kind)}})
					if res.Verdict == retry.Ran {
						assert.Check(t, rec.Header().Get("X-Second") == "", "%s was answered with a leftover", id)
						assert.Check(t, rec.Header().Get(HeaderRequestID) == "", "own headers are removed")
					}
					if res.Verdict == retry.NotRun {
						assert.Check(t, w.Counts().IDs[id] == before)
					}
				}
			})
		}
		wg.Wait()
	}
}

// Guards against more connections to a worker than the limit, and against waiting dials that outlive their attempt.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	w := startWorker(t, worker.Config{Slots: 100})
	f := startForwarder(t, Config{MaxConnections: 6})
	// The first request shows that the worker repeats IDs. The worker then takes a moment to notice that the
	// connection of this request was closed.
	_, _ = send(f, w.Addr(), "first", "GET", "/", "", nil)
	poll.WaitOn(t, hasConnections(w, 0))
	burst := func(n int) {
		done := make(chan retry.Verdict, n)
		for range n {
			go func() {
				res, _ := send(f, w.Addr(), "x", "POST", "/", "x", http.Header{worker.HeaderLatency: {"10ms"}})
				done <- res.Verdict
			}()
		}
		for range n {
			assert.Equal(t, <-done, retry.Ran)
		}
	}
	burst(40)
	assert.Assert(t, w.Counts().MaxConnections <= 6, "%d", w.Counts().MaxConnections)
	f.SetMaxConnections(2)
	burst(10)
	assert.Assert(t, f.OpenConnections(w.Addr()) <= 2, "%d", f.OpenConnections(w.Addr()))
}

// Guards against a cancelled attempt whose connection stays open and is reused, so that its late
// answer would be taken for that of the next request.
func TestCancelledAttemptClosesItsConnection(t *testing.T) {
	w := startWorker(t, worker.Config{})
	f := startForwarder(t, Config{})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	res, _ := sendCtx(ctx, f, Attempt{Addr: w.Addr(), ID: "late"}, "POST", "/", "x", http.Header{worker.HeaderLatency: {"1s"}})
	assert.Equal(t, res.Verdict, retry.MayHaveRun)
	assert.Equal(t, f.OpenConnections(w.Addr()), 0)
}

// Guards against an attempt that continues on a worker which this entry may no longer use.
func TestClosedAttemptsEndAtOnce(t *testing.T) {
	w := startWorker(t, worker.Config{})
	f := startForwarder(t, Config{})
	closed := make(chan int, 1)
	time.AfterFunc(50*time.Millisecond, func() { closed <- f.CloseAttempts() })
	res, _ := sendCtx(context.Background(), f, Attempt{Addr: w.Addr(), ID: "cut"}, "POST", "/", "x", http.Header{worker.HeaderLatency: {"5s"}})
	assert.Equal(t, <-closed, 1)
	assert.Equal(t, res.Verdict, retry.MayHaveRun)
	assert.Assert(t, errors.Is(res.Err, ErrClosed), "%v", res.Err)
	poll.WaitOn(t, hasConnections(w, 0))
	res, _ = send(f, w.Addr(), "next", "POST", "/", "x", nil)
	assert.Equal(t, res.Verdict, retry.Ran, "later attempts are not affected")
	assert.Equal(t, f.CloseAttempts(), 0)
}

// Guards against a reused connection to a worker that does not repeat request IDs, so that its responses cannot be
// matched to their requests.
func TestWorkerWithoutIDsGetsOneRequestPerConnection(t *testing.T) {
	w := startWorker(t, worker.Config{})
	f := startForwarder(t, Config{})
	for i := range 10 {
		kind := worker.KindNone
		if i < 5 {
			kind = worker.KindSilent
		}
		res, _ := send(f, w.Addr(), fmt.Sprint(i), "GET", "/", "", http.Header{worker.HeaderFault: {string(kind)}})
		assert.Equal(t, res.Verdict, retry.Ran)
		if i <= 5 { // the first request with a repeated ID still had its own connection
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if f.OpenConnections(w.Addr()) > 0 {
					return poll.Continue("request %d left its connection open", i)
				}
				return poll.Success()
			})
		}
		assert.Equal(t, f.OpenConnections(w.Addr()) > 0, i > 5, "request %d", i)
	}
	res, _ := send(f, w.Addr(), "x", "GET", "/", "", http.Header{worker.HeaderFault: {string(worker.KindSilent)}})
	assert.ErrorIs(t, res.Err, ErrWrongResponse)
}

// Guards against a transport that uses a proxy from the environment, adds encodings or follows redirects.
func TestTransportAddsNothing(t *testing.T) {
	t.Setenv("HTTP_PROXY", "http://127.0.0.1:1")
	got := make(chan *http.Request, 1)
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r
		w.Header().Set("Location", "/elsewhere")
		w.Header().Set("Content-Encoding", "gzip")
		w.WriteHeader(http.StatusFound)
		_, _ = w.Write([]byte("not really gzip"))
	}))
	defer up.Close()
	h := http.Header{
		"Connection": {"close, X-Drop"}, "X-Drop": {"1"}, "Keep-Alive": {"1"}, "Te": {"gzip, trailers;q=0.5"}, "Upgrade": {"h2c"},
		"Proxy-Authorization": {"secret"}, "X-Forwarded-For": {"10.1.1.1"}, "Via": {"1.0 edge"}, "Sassafrasvalve-Verdict": {"ran"},
	}
	res, rec := send(startForwarder(t, Config{}), up.Listener.Addr().String(), "id7", "POST", "/a%2Fb//c?x=1&y=%20", "", h)
	assert.Equal(t, res.Verdict, retry.Ran)
	assert.Equal(t, rec.Code, http.StatusFound)
	assert.Equal(t, rec.Body.String(), "not really gzip")
	r := <-got
	assert.Equal(t, r.RequestURI, "/a%2Fb//c?x=1&y=%20")
	assert.DeepEqual(t, r.Header, http.Header{
		"Te": {"trailers"}, "Via": {"1.0 edge", "1.1 sassafrasvalve"}, "X-Forwarded-For": {"10.1.1.1, 192.0.2.1"},
		"Content-Length": {"0"}, "Sassafrasvalve-Request-Id": {"id7"}, "Connection": {"close"},
	})
	assert.Equal(t, len(r.TransferEncoding), 0)
}
