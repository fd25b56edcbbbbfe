package entry

import (
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/spec"
	"sassafrasvalve/fake/worker"
)

// Times of the cases of testdata/restart.toml.
const (
	restartRunTime  = 3 * time.Second        // of a request on the upstream that restarts
	restartDeadline = 300 * time.Millisecond // of a request whose deadline passes while it runs
	restartDown     = 50 * time.Millisecond  // between two lifetimes of the upstream
	restartQueued   = 100 * time.Millisecond // in the connection queue of the upstream
)

// restartCase is one case of testdata/restart.toml: the first of two upstreams starts again while a request is forwarded to it.
type restartCase struct {
	Name   string
	When   string // what the request is doing when the upstream starts again, see restartRig.begin
	Class  string
	Key    bool // the request has an idempotency key
	Status int  // of the answer, 0 if the caller has left
	Runs   int  // on all upstreams and in all lifetimes, also after the request was repeated
	Again  int  // status of the answer to the same request with its key after the restart, 0 if it is not repeated
}

// restartRig is an entry with two upstreams of which the first one starts again.
type restartRig struct {
	*rig
	upstream *worker.Server
	fields   []string // of the request
	answer   chan *http.Response
}

// text returns the request with more fields.
func (x *restartRig) text(c *restartCase, more ...string) string {
	fields := slices.Concat([]string{"Content-Length: 2"}, x.fields, more)
	return requestText("POST /x", c.Class, fields...) + "ok"
}

// send sends the request as a caller that waits for the answer.
func (x *restartRig) send(c *restartCase, fields ...string) {
	text := x.text(c, fields...)
	go func() {
		resp, _, err := x.raw(text)
		if err != nil {
			resp = nil
		}
		x.answer <- resp
	}()
}

// play sends the request and restarts the upstream.
func (x *restartRig) play(c *restartCase) {
	t := x.t
	x.upstream.SetFault(worker.Fault{Latency: spec.Duration(restartRunTime)})
	switch c.When {
	case "Idle":
		x.upstream.SetFault(worker.Fault{})
		_, _, err := x.raw(requestText("GET /", "urgent"))
		assert.NilError(t, err)
		assert.NilError(t, x.upstream.Reboot(restartDown))
		x.send(c)
		return
	case "Down":
		x.upstream.Close()
		x.send(c)
		x.waitEnded(2)
	case "Queued":
		x.upstream.Close()
		ln, err := net.Listen("tcp", x.upstream.Addr()) //nolint:noctx // accepts no connection
		assert.NilError(t, err)
		x.send(c)
		time.Sleep(restartQueued)
		assert.NilError(t, ln.Close())
	case "Running":
		x.send(c)
		x.waitRan()
	case "Answered":
		x.upstream.SetFault(worker.Fault{Kind: worker.KindClose})
		x.send(c)
		x.waitEnded(1)
	case "Deadline":
		x.send(c, headerDeadline+": "+strconv.FormatInt(time.Now().Add(restartDeadline).UnixMilli(), 10))
		x.waitRan()
		x.waitIdle()
	case "Cancelled":
		conn, _ := x.dial()
		write(t, conn, x.text(c))
		x.waitRan()
		assert.NilError(t, conn.Close())
		x.waitIdle()
		x.answer <- nil
	default:
		t.Fatalf("unknown time %q of the restart", c.When)
	}
	assert.NilError(t, x.upstream.Reboot(restartDown))
}

// waitRan waits until the upstream has begun to run the request.
func (x *restartRig) waitRan() { x.waitFor(1, "runs", func() int { return x.upstream.Counts().Ran }) }

// waitEnded waits until n attempts have ended.
func (x *restartRig) waitEnded(n int) {
	x.waitFor(n, "ended attempts", func() int {
		x.sched.mu.Lock()
		defer x.sched.mu.Unlock()
		return len(x.sched.outcomes)
	})
}

func (x *restartRig) waitFor(n int, what string, count func() int) {
	poll.WaitOn(x.t, func(poll.LogT) poll.Result {
		if got := count(); got < n {
			return poll.Continue("%d %s, not %d", got, what, n)
		}
		return poll.Success()
	}, poll.WithTimeout(restartRunTime), poll.WithDelay(5*time.Millisecond))
}

// runs returns the number of runs of the requests of a case on both upstreams.
func (x *restartRig) runs() int {
	n := 0
	for _, w := range x.sched.workers {
		n += w.Counts().Ran
	}
	return n
}

// TestRestartedUpstreamRunsARequestOnce guards against a request that must run once and runs in two lifetimes of an upstream, or in one of
// them and on another upstream, and against an answer "not run" to a request that may have run before the restart.
func TestRestartedUpstreamRunsARequestOnce(t *testing.T) {
	data, err := os.ReadFile("testdata/restart.toml")
	assert.NilError(t, err)
	var script struct{ Case []restartCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		t.Run(c.Name, func(t *testing.T) {
			r := newRig(t, 2)
			x := &restartRig{rig: r, upstream: r.sched.workers[0], answer: make(chan *http.Response, 1)}
			if c.Key {
				x.fields = []string{headerKey + ": k"}
			}
			x.play(&c)
			resp := <-x.answer
			earlier := 0
			if c.When == "Idle" {
				earlier = 1 // the request that opened the connection
			}
			if c.Status != 0 {
				assert.Assert(t, resp != nil, "the answer broke off")
				assert.Check(t, resp.StatusCode == c.Status, "status %d, not %d", resp.StatusCode, c.Status)
				want := retry.MayHaveRun
				if c.Status == http.StatusOK {
					want = retry.Ran
				}
				assert.Check(t, resp.Header.Get(retry.HeaderVerdict) == want.String())
			}
			x.upstream.SetFault(worker.Fault{})
			if c.Again != 0 {
				resp, _, err := x.raw(x.text(&c))
				assert.NilError(t, err)
				assert.Check(t, resp.StatusCode == c.Again, "status %d, not %d, of the repeated request", resp.StatusCode, c.Again)
			}
			assert.Equal(t, x.runs()-earlier, c.Runs)
		})
	}
}
