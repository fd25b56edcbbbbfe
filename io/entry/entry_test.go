package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/dedup"
	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/spec"
	"sassafrasvalve/fake/worker"
	"sassafrasvalve/io/proxy"
	"sassafrasvalve/io/sched"
)

// scheduler grants a slot of the first worker that the request was not sent to, or refuses.
type scheduler struct {
	workers []*worker.Server
	refuse  *sched.Refusal
	rotate  bool // each request starts with the next worker

	mu       sync.Mutex
	next     int
	outcomes []sched.Outcome
	open     int
}

func (s *scheduler) Acquire(ctx context.Context, r sched.Request) (Grant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rotate {
		s.next++
	}
	for n := range s.workers {
		i := (n + s.next) % len(s.workers)
		w, vm := s.workers[i], fmt.Sprint("vm", i)
		if s.refuse == nil && !slices.Contains(r.Exclude, vm) {
			s.open++
			return Grant{VM: vm, Addr: w.Addr(), Done: s.done}, nil
		}
	}
	if s.refuse != nil {
		return Grant{}, s.refuse
	}
	return Grant{}, &sched.Refusal{Status: 503, Reason: "no worker left", RetryAt: time.Now().Add(3 * time.Second)}
}

func (s *scheduler) done(o sched.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.outcomes = append(s.outcomes, o)
}

func (s *scheduler) last() (sched.Outcome, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.outcomes) == 0 {
		return sched.Outcome{}, s.open
	}
	return s.outcomes[len(s.outcomes)-1], s.open
}

// gate is a view lease whose state the tests set.
type gate struct {
	lapsed atomic.Bool
	left   atomic.Int64 // number of checks until the lease lapses; 0 means never
}

func (g *gate) Check() error {
	if g.left.Load() > 0 && g.left.Add(-1) == 0 {
		g.lapsed.Store(true)
	}
	if g.lapsed.Load() {
		return errors.New("lease lapsed")
	}
	return nil
}

// oneClaim grants each key once and then reports its outcome.
type oneClaim struct {
	mu   sync.Mutex
	ends map[dedup.Key]*dedup.Outcome
}

func (c *oneClaim) Claim(_ context.Context, m dedup.Claim) dedup.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.ends[m.Key]
	switch {
	case !ok:
		c.ends[m.Key] = nil
		return dedup.Decide(time.Now(), dedup.ClaimReply{Answer: dedup.Granted})
	case o == nil:
		return dedup.Decide(time.Now(), dedup.ClaimReply{Answer: dedup.Busy})
	}
	return dedup.Decide(time.Now(), dedup.ClaimReply{Answer: dedup.Done, Outcome: *o})
}

func (c *oneClaim) Finish(key dedup.Key, _ string, o dedup.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.Verdict == retry.NotRun {
		delete(c.ends, key)
		return
	}
	c.ends[key] = &o
}

// jobs keeps accepted jobs in memory, or refuses them with err.
type jobs struct {
	err error
	got map[string]fleet.Job
}

func (j *jobs) Submit(_ context.Context, job fleet.Job) error {
	if j.err == nil {
		j.got[job.ID] = job
	}
	return j.err
}

func (j *jobs) Status(_ context.Context, id string) (JobStatus, bool) {
	job, ok := j.got[id]
	return JobStatus{ID: id, State: JobQueued, Deadline: job.Deadline}, ok
}

// rig is a test setup of an entry with workers.
type rig struct {
	t      *testing.T
	sched  *scheduler
	gate   *gate
	jobs   *jobs
	entry  *Server
	addr   string
	served chan error
}

func newRig(t *testing.T, workers int) *rig {
	t.Helper()
	x := &rig{t: t, sched: &scheduler{}, gate: &gate{}, jobs: &jobs{got: map[string]fleet.Job{}}, served: make(chan error, 1)}
	for i := range workers {
		w, err := worker.Start(worker.Config{Name: fmt.Sprint("vm", i)})
		assert.NilError(t, err)
		t.Cleanup(w.Close)
		x.sched.workers = append(x.sched.workers, w)
	}
	var err error
	x.entry, err = New(Config{
		Scheduler: x.sched, Forwarder: proxy.New(proxy.Config{}), Gate: x.gate, Jobs: x.jobs, Self: func() string { return "e1" },
		Claims: &oneClaim{ends: map[dedup.Key]*dedup.Outcome{}}, HeaderTimeout: 300 * time.Millisecond,
		BodyIdleTimeout: 700 * time.Millisecond,
	})
	assert.NilError(t, err)
	x.entry.SetView(spec.Fleet{
		Services: []spec.Service{{Name: "holds", Pool: "p"}},
		Classes:  []spec.Class{{Name: "urgent"}, {Name: "again", Idempotent: true}, {Name: "later", Deferrable: true, FinishBy: "Sat 06:00"}},
		Tenants:  []spec.Tenant{{Name: "team"}},
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	x.addr = ln.Addr().String()
	go func() { x.served <- x.entry.Serve(ln) }()
	t.Cleanup(func() { _ = x.entry.Close() })
	return x
}

// raw sends text unchanged and returns the first response.
func (x *rig) raw(text string) (*http.Response, string, error) {
	c, err := net.Dial("tcp", x.addr)
	assert.NilError(x.t, err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	go func() { _, _ = io.WriteString(c, text) }() // the response may arrive before the body is written
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// requestText returns a request without a body in HTTP/1.1 form, with the start of the request line in first, the required
// fields and more fields.
func requestText(first, class string, more ...string) string {
	all := append([]string{
		first + " HTTP/1.1", "Host: h", "Sassafrasvalve-Service: holds",
		"Sassafrasvalve-Class: " + class, "Sassafrasvalve-Tenant: team",
	}, more...)
	return strings.Join(all, "\r\n") + "\r\n\r\n"
}

// Guards against an answer without a verdict or request ID, and against a worker that forges this project's headers.
func TestAnswerCarriesOwnHeadersOnly(t *testing.T) {
	x := newRig(t, 1)
	resp, body, err := x.raw(requestText("POST /x", "urgent", "Content-Length: 0", worker.HeaderFault+": forge"))
	assert.NilError(t, err)
	assert.DeepEqual(t, resp.Header.Values(retry.HeaderVerdict), []string{"ran"})
	assert.Equal(t, resp.Header.Get("Sassafrasvalve-Anything"), "")
	var a worker.Answer
	assert.NilError(t, json.Unmarshal([]byte(body), &a))
	assert.Equal(t, a.ID, resp.Header.Get(proxy.HeaderRequestID))
	_, open := x.sched.last()
	assert.Equal(t, open, 0)
}

// Guards against an invalid request that is forwarded, and against a refusal without the verdict not-run.
func TestBadRequestsAreRefusedAsNotRun(t *testing.T) {
	x := newRig(t, 1)
	for _, c := range []struct {
		status int
		text   string
	}{
		{404, strings.Replace(requestText("GET /", "urgent"), "holds", "other", 1)},
		{404, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{400, requestText("GET /", "unknown")},
		{400, strings.Replace(requestText("GET /", "urgent"), "team", "nobody", 1)},
		{400, requestText("GET /", "urgent", "Sassafrasvalve-Deadline: 2001-01-01T00:00:00Z")},
		{400, requestText("GET /", "urgent", "Sassafrasvalve-Deadline: 9007199254740000")},
		{400, requestText("GET /", "urgent", "Sassafrasvalve-Deadline: soon")},
		{400, requestText("GET /", "urgent", "Sassafrasvalve-Class: urgent")},
		{400, requestText("GET /", "urgent", "Sassafrasvalve-Verdict: ran")},
		{400, requestText("GET /", "urgent", "Sassafrasvalve_Tenant: other")},
		{400, requestText("GET /", "urgent", "Idempotency-Key: a", "Idempotency-Key: b")},
		{400, requestText("GET /", "urgent", "Idempotency-Key:")},
		{400, requestText("GET /", "urgent", "Connection: close, Idempotency-Key")},
		{400, requestText("GET /", "urgent", "Connection: sassafrasvalve-deadline")},
		{400, requestText("POST /", "urgent", "Transfer-Encoding: chunked", "Trailer: Idempotency-Key")},
		{405, requestText("CONNECT h:1", "urgent")},
		{505, strings.Replace(requestText("GET /", "urgent"), "HTTP/1.1", "HTTP/1.0", 1)},
		{431, requestText("GET /", "urgent", "X-Big: "+strings.Repeat("x", 40<<10))},
		{413, requestText("POST /", "later", "Content-Length: 60000")},
		{413, requestText("POST /", "later", "Transfer-Encoding: chunked")},
	} {
		resp, body, err := x.raw(c.text)
		assert.NilError(t, err, c.text)
		assert.Equal(t, resp.StatusCode, c.status, "%.200s\n%s", c.text, body)
		assert.Equal(t, resp.Header.Get(retry.HeaderVerdict), "not-run")
		assert.Assert(t, strings.Contains(body, `"Detail"`))
	}
	assert.Equal(t, x.sched.workers[0].Counts().Ran, 0)
}

// Guards against a truncated response that looks complete to the caller, and against a slot that is not freed.
func TestBrokenResponseAbortsTheCaller(t *testing.T) {
	x := newRig(t, 1)
	for _, kind := range []worker.Kind{worker.KindTruncate, worker.KindTruncChunk, worker.KindShort} {
		_, _, err := x.raw(requestText("POST /x", "urgent", "Content-Length: 0", worker.HeaderFault+": "+string(kind)))
		assert.Assert(t, err != nil, "%s looked complete", kind)
		o, open := x.sched.last()
		assert.Equal(t, o.Verdict, retry.MayHaveRun)
		assert.Equal(t, o.Failed, true)
		assert.Equal(t, open, 0)
	}
}

// Guards against a retry of a request that may have run and is not idempotent, and against giving up one that did not run.
func TestRetriesFollowTheVerdict(t *testing.T) {
	for _, c := range []struct {
		class   string
		kind    worker.Kind
		status  int
		verdict string
		ran     int // runs on both workers together
	}{
		{"urgent", worker.KindRefuse, 200, "ran", 1},
		{"urgent", worker.KindClose, 502, "may-have-run", 1},
		{"again", worker.KindClose, 200, "ran", 2},
		{"urgent", worker.KindFail, 500, "ran", 1},
	} {
		x := newRig(t, 2)
		x.sched.workers[0].SetFault(worker.Fault{Kind: c.kind})
		resp, _, err := x.raw(requestText("POST /x", c.class, "Content-Length: 2") + "ok")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, c.status)
		assert.Equal(t, resp.Header.Get(retry.HeaderVerdict), c.verdict)
		assert.Equal(t, x.sched.workers[0].Counts().Ran+x.sched.workers[1].Counts().Ran, c.ran)
	}
}

// Guards against a refusal with the verdict not-run although an earlier attempt may have run.
func TestLaterRefusalKeepsTheEarlierVerdict(t *testing.T) {
	x := newRig(t, 2)
	x.sched.workers[0].SetFault(worker.Fault{Kind: worker.KindClose})
	x.sched.workers[1].Drain(true)
	resp, _, err := x.raw(requestText("POST /x", "again", "Content-Length: 0"))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 502)
	assert.Equal(t, resp.Header.Get(retry.HeaderVerdict), "may-have-run")
}

// Guards against work that starts without a view lease, and against a Retry-After that is counted from the wrong time.
func TestRefusalsCarryRetryAfter(t *testing.T) {
	x := newRig(t, 1)
	x.sched.refuse = &sched.Refusal{Status: 429, Reason: "over quota", RetryAt: time.Now().Add(4 * time.Second)}
	resp, _, err := x.raw(requestText("GET /", "urgent"))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 429)
	assert.Equal(t, resp.Header.Get("Retry-After"), "4")
	x.gate.lapsed.Store(true)
	resp, _, err = x.raw(requestText("GET /", "urgent"))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, resp.Header.Get(retry.HeaderVerdict), "not-run")
	assert.Equal(t, x.entry.Ready(), false)
}

// Guards against work that starts or is retried although the lease lapsed between admission and sending.
func TestLeaseThatLapsesBeforeSendingMeansNotRun(t *testing.T) {
	x := newRig(t, 2)
	x.gate.left.Store(2) // the check at admission passes
	resp, body, err := x.raw(requestText("POST /", "urgent", "Content-Length: 0"))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, resp.Header.Get(retry.HeaderVerdict), "not-run")
	assert.Assert(t, strings.Contains(body, `"Reason":"lease"`), body)
	o, _ := x.sched.last()
	assert.Equal(t, o.Failed, false)
	assert.Equal(t, len(x.sched.outcomes), 1)
	assert.Equal(t, x.sched.workers[0].Counts().Ran+x.sched.workers[1].Counts().Ran, 0)
}

// Guards against a request that runs again when its idempotency key is repeated.
func TestRepeatedKeyGetsTheStoredOutcome(t *testing.T) {
	x := newRig(t, 1)
	for i := range 3 {
		resp, _, err := x.raw(requestText("POST /x", "urgent", "Content-Length: 0", "Idempotency-Key: k"))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 200)
		assert.Equal(t, resp.Header.Get(headerReplayed) == "1", i > 0)
	}
	assert.Equal(t, x.sched.workers[0].Counts().Keys["team/holds/k"], 1)
}
