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
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/spec"
	"sassafrasvalve/fake/worker"
	"sassafrasvalve/io/sched"
)

// dial opens a connection as a caller.
func (x *rig) dial() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", x.addr)
	assert.NilError(x.t, err)
	x.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	return c, bufio.NewReader(c)
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

// waitIdle waits until all slots have been freed.
func (x *rig) waitIdle() {
	poll.WaitOn(x.t, func(poll.LogT) poll.Result {
		if _, open := x.sched.last(); open != 0 {
			return poll.Continue("%d slots in use", open)
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(5*time.Millisecond))
}

// waitRunning waits until n requests run on the first worker.
func (x *rig) waitRunning(n int) {
	poll.WaitOn(x.t, func(poll.LogT) poll.Result {
		if got := x.sched.workers[0].Counts().InUse; got != n {
			return poll.Continue("%d requests run", got)
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Guards against buffering of streamed bodies: each part must be echoed before the next one is sent.
func TestBodiesStreamInBothDirections(t *testing.T) {
	x := newRig(t, 1)
	c, br := x.dial()
	write(t, c, requestText("POST /stream", "urgent", "Transfer-Encoding: chunked"))
	resp, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	for i := range 5 {
		part := fmt.Sprintf("part %d", i)
		write(t, c, fmt.Sprintf("%x\r\n%s\r\n", len(part), part))
		got := make([]byte, len(part))
		_, err := io.ReadFull(resp.Body, got)
		assert.NilError(t, err)
		assert.Equal(t, string(got), part)
	}
	write(t, c, "0\r\n\r\n")
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	x.waitIdle()
}

// Guards against lost trailers, a forged trailer that is passed on, and a 1xx response that is lost or taken for
// the final response.
func TestTrailersAndEarlyHints(t *testing.T) {
	x := newRig(t, 1)
	c, br := x.dial()
	write(t, c, requestText("POST /", "urgent", "Transfer-Encoding: chunked", "Trailer: X-Sum", worker.HeaderFault+": hints")+
		"2\r\nok\r\n0\r\nX-Sum: 7\r\nIdempotency-Key: smuggled\r\n\r\n")
	resp, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusEarlyHints)
	assert.Equal(t, resp.Header.Get("Link"), "</style.css>; rel=preload")
	resp, err = http.ReadResponse(br, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.DeepEqual(t, resp.Trailer, http.Header{"Echo-X-Sum": {"7"}})
}

// Guards against a 100 Continue that is sent before the worker asks for the body, and against one that is never sent.
func TestExpectContinueGoesEndToEnd(t *testing.T) {
	x := newRig(t, 1)
	c, br := x.dial()
	head := requestText("POST /echo", "urgent", "Content-Length: 4", "Expect: 100-continue")
	write(t, c, head)
	resp, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusContinue)
	write(t, c, "body")
	resp, err = http.ReadResponse(br, nil)
	assert.NilError(t, err)
	got, _ := io.ReadAll(resp.Body)
	assert.Equal(t, string(got), "body")
	x.sched.refuse = &sched.Refusal{Status: 503, Reason: "full", RetryAt: time.Now()}
	c, br = x.dial()
	write(t, c, head)
	resp, err = http.ReadResponse(br, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
}

// Guards against a slot and a worker that stay busy after the caller has disconnected.
func TestCallerThatLeavesFreesItsSlot(t *testing.T) {
	x := newRig(t, 1)
	for _, body := range []string{"", "small"} {
		c, _ := x.dial()
		write(t, c, requestText("POST /", "urgent", fmt.Sprint("Content-Length: ", len(body)), worker.HeaderLatency+": 5s")+body)
		x.waitRunning(1)
		_ = c.Close()
		x.waitIdle()
		x.waitRunning(0)
		o, _ := x.sched.last()
		assert.Equal(t, o.Failed, false)
		assert.Equal(t, o.Verdict, retry.MayHaveRun)
	}
}

// Guards against a graceful stop that cuts off a request in progress, and against one that does not ask callers to
// close their connections.
func TestStopFinishesRequestsInProgress(t *testing.T) {
	x := newRig(t, 1)
	c, br := x.dial()
	write(t, c, requestText("GET /", "urgent", worker.HeaderLatency+": 400ms"))
	x.waitRunning(1)
	stopped := make(chan error, 1)
	go func() { stopped <- x.entry.Stop(context.Background(), 100*time.Millisecond) }()
	time.Sleep(30 * time.Millisecond)
	assert.Equal(t, x.entry.Ready(), false)
	resp, _, err := x.raw(requestText("GET /", "urgent"))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, resp.Close, true)
	resp, err = http.ReadResponse(br, nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, <-stopped)
	assert.NilError(t, <-x.served)
}

// Guards against callers that occupy a connection by sending their header slowly, and against a body that is
// cut off although only its total time is long.
func TestSlowHeadersEndAndSlowBodiesDoNot(t *testing.T) {
	x := newRig(t, 1)
	c, br := x.dial()
	write(t, c, "GET / HTTP/1.1\r\nHost: h\r\n")
	start := time.Now()
	_, err := br.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Assert(t, time.Since(start) < 2*time.Second)
	c, br = x.dial()
	write(t, c, requestText("POST /echo", "urgent", "Content-Length: 10"))
	for range 10 { // longer in total than the header timeout
		time.Sleep(60 * time.Millisecond)
		write(t, c, "x")
	}
	resp, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	// The idle timeout of the body does not bound the wait for the answer after it.
	resp, _, err = x.raw(requestText("POST /", "urgent", "Content-Length: 2", worker.HeaderLatency+": 900ms") + "ok")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
}

// Guards against request smuggling: ambiguous framing that the entry and the worker would read differently.
func TestAmbiguousFramingReachesNoWorker(t *testing.T) {
	x := newRig(t, 1)
	for _, extra := range [][]string{
		{"Content-Length: 4", "Content-Length: 5"},
		{"Content-Length: +4"},
		{"Transfer-Encoding: chunked, identity"},
		{"Transfer-Encoding: chunked", "Transfer-Encoding: chunked"},
		{"X-A: b\r\n Folded: c", "Content-Length : 4"},
	} {
		resp, _, err := x.raw(requestText("POST /", "urgent", extra...) + "0\r\n\r\nGET /evil HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		assert.Assert(t, resp.StatusCode >= 400, "%q: %d", extra, resp.StatusCode)
	}
	assert.Equal(t, x.sched.workers[0].Counts().Ran, 0)
	// With both fields the chunked encoding applies, and Content-Length is not forwarded.
	resp, body, err := x.raw(requestText("POST /", "urgent", "Content-Length: 40", "Transfer-Encoding: chunked") + "2\r\nok\r\n0\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	var a worker.Answer
	assert.NilError(t, json.Unmarshal([]byte(body), &a))
	assert.Equal(t, a.Bytes, 2)
	assert.Equal(t, a.Header.Get("Content-Length"), "")
}

// Guards against a caller that waits past its deadline because the worker never answers.
func TestDeadlineEndsTheWaitForAnAnswer(t *testing.T) {
	x := newRig(t, 1)
	x.sched.workers[0].SetFault(worker.Fault{Kind: worker.KindNever})
	deadline := time.Now().Add(300 * time.Millisecond)
	resp, _, err := x.raw(requestText("POST /", "urgent", "Content-Length: 0", fmt.Sprint("Sassafrasvalve-Deadline: ", deadline.UnixMilli())))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
	assert.Equal(t, resp.Header.Get(retry.HeaderVerdict), "may-have-run")
	assert.Assert(t, time.Since(deadline) < time.Second)
	x.waitIdle()
}

// Guards against a retry that sends only the rest of a body, and against giving up a request whose body is buffered.
func TestBodyIsRepeatedOnlyAsAWhole(t *testing.T) {
	for size, buffered := range map[int]bool{1000: true, maxBufferedBytes: true, 4 << 20: false} {
		x := newRig(t, 2)
		// The worker refuses after a delay, so that a part of the body has been sent by then.
		x.sched.workers[0].SetFault(worker.Fault{Kind: worker.KindRefuse, Latency: spec.Duration(100 * time.Millisecond)})
		resp, body, err := x.raw(requestText("POST /", "urgent", fmt.Sprint("Content-Length: ", size)) + strings.Repeat("x", size))
		assert.NilError(t, err)
		if buffered {
			assert.Equal(t, resp.StatusCode, 200, "%d bytes: %s", size, body)
			assert.Assert(t, strings.Contains(body, fmt.Sprintf(`"Bytes":%d,`, size)))
			continue
		}
		// The refusal may be lost if the worker resets the connection while the rest of the body arrives.
		want := map[string]int{"not-run": 503, "may-have-run": 502}
		assert.Equal(t, resp.StatusCode, want[resp.Header.Get(retry.HeaderVerdict)], body)
		assert.Equal(t, x.sched.workers[1].Counts().MaxConnections, 0)
	}
}

// Guards against a poison request, which fails on every worker, being sent to all workers one after the other.
func TestPoisonRequestIsRefusedAfterThreeWorkers(t *testing.T) {
	x := newRig(t, 4)
	x.sched.rotate = true
	for range x.sched.workers {
		_, _, err := x.raw(requestText("POST /good", "again", "Content-Length: 0"))
		assert.NilError(t, err)
	}
	bad := requestText("POST /bad", "again", "Content-Length: 0", worker.HeaderFault+": close")
	ran := func() (n int) {
		for _, w := range x.sched.workers {
			n += w.Counts().Ran
		}
		return n
	}
	before := ran()
	for range 3 {
		resp, _, err := x.raw(bad)
		assert.NilError(t, err)
		assert.Assert(t, resp.StatusCode == http.StatusBadGateway || resp.StatusCode == http.StatusUnprocessableEntity)
	}
	assert.Equal(t, ran()-before, 3)
	resp, _, err := x.raw(bad)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusUnprocessableEntity)
	assert.Equal(t, resp.Header.Get(retry.HeaderVerdict), "not-run")
}

// Guards against a deferrable request that is accepted but not stored, and against a refusal as not-run although
// the job may be stored.
func TestDeferrableRequestsBecomeJobs(t *testing.T) {
	x := newRig(t, 1)
	text := requestText("POST /sum?x=1", "later", "Content-Length: 2", "Idempotency-Key: night") + "ok"
	resp, _, err := x.raw(text)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusAccepted)
	assert.Equal(t, resp.Header.Get(retry.HeaderVerdict), "")
	where := resp.Header.Get("Location")
	job := x.jobs.got[strings.TrimPrefix(where, jobPath)]
	assert.Equal(t, string(job.Request.Body), "ok")
	assert.Equal(t, job.Request.Path, "/sum?x=1")
	assert.Equal(t, job.Deadline.Weekday(), time.Saturday)
	again, _, err := x.raw(text)
	assert.NilError(t, err)
	assert.Equal(t, again.Header.Get("Location"), where)
	assert.Equal(t, len(x.jobs.got), 1)
	resp, body, err := x.raw("GET " + where + " HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Assert(t, strings.Contains(body, `"State":"Queued"`), body)
	x.jobs.err = fmt.Errorf("append: %w", ErrOutcomeUnknown)
	resp, _, err = x.raw(requestText("POST /", "later", "Content-Length: 0"))
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get(retry.HeaderVerdict), "may-have-run")
	assert.Assert(t, strings.HasPrefix(resp.Header.Get("Location"), jobPath))
	x.jobs.err = errors.New("the log is down")
	resp, _, err = x.raw(requestText("POST /", "later", "Content-Length: 0"))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, resp.Header.Get(retry.HeaderVerdict), "not-run")
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
}

// Guards against responses without a body that lose their header or make the caller wait for a body.
func TestResponsesWithoutBody(t *testing.T) {
	x := newRig(t, 1)
	c, br := x.dial()
	for range 2 { // the second request reuses the connection
		write(t, c, requestText("HEAD /", "urgent"))
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodHead})
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 200)
		assert.Assert(t, resp.ContentLength > 0)
	}
}
