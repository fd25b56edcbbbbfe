package system

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
	"sassafrasvalve/io/admin"
	"sassafrasvalve/io/peer"
)

// maxLoad is the maximum number of requests of one load.
const maxLoad = 50_000

// sent is a request of a load and the answer that its caller got.
type sent struct {
	Entry   *entryProc
	Request request
	Answer  answer
	Err     error
	Ended   time.Time
}

// load is a group of callers, each of which sends one request after the other.
type load struct {
	t           *testing.T
	nextRequest func(caller, n int) (*entryProc, request)
	pause       time.Duration

	count atomic.Int64
	quit  chan struct{}
	ended sync.WaitGroup
	mu    sync.Mutex
	sent  []sent
}

// startLoad starts n callers. next returns the entry and the request of a caller's next call; its argument n counts
// the calls of all callers.
func startLoad(t *testing.T, n int, pause time.Duration, next func(caller, n int) (*entryProc, request)) *load {
	l := &load{t: t, nextRequest: next, pause: pause, quit: make(chan struct{})}
	for caller := range n {
		l.ended.Add(1)
		go l.run(caller)
	}
	t.Cleanup(func() { l.stop() })
	return l
}

func (l *load) run(caller int) {
	defer l.ended.Done()
	for {
		n := l.count.Add(1)
		select {
		case <-l.quit:
			return
		case <-time.After(l.pause):
		}
		if n > maxLoad {
			l.t.Errorf("the load has ended at its limit of %d requests", maxLoad)
			return
		}
		e, r := l.nextRequest(caller, int(n))
		a, err := e.send(r)
		if err != nil {
			time.Sleep(50 * time.Millisecond) // avoids a busy loop while an entry is down
		}
		if err == nil && a.Status == http.StatusServiceUnavailable {
			time.Sleep(20 * time.Millisecond) // refusals are immediate and would exhaust maxLoad
		}
		l.mu.Lock()
		l.sent = append(l.sent, sent{Entry: e, Request: r, Answer: a, Err: err, Ended: time.Now()})
		l.mu.Unlock()
	}
}

// stop ends the callers after their current requests and returns all requests with their answers.
func (l *load) stop() []sent {
	l.mu.Lock()
	select {
	case <-l.quit:
	default:
		close(l.quit)
	}
	l.mu.Unlock()
	l.ended.Wait()
	return l.sent
}

// answered returns the number of requests that got an answer with the status.
func (l *load) answered(status int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.sent {
		if s.Err == nil && s.Answer.Status == status {
			n++
		}
	}
	return n
}

// cutPeers disconnects an entry from the peers, "*" meaning all. Without arguments it restores all connections.
func (e *entryProc) cutPeers(peers ...string) {
	e.t.Helper()
	postJSON(e.t, "http://"+e.admin+admin.PathFault, peer.CutRequest{Peers: peers})
}

// client returns an operator's client that tries the entries in order, or all entries if none are given.
func (w *world) client(entries ...*entryProc) *admin.Client {
	if len(entries) == 0 {
		entries = w.entries
	}
	cfg := admin.ClientConfig{Timeout: 5 * time.Second}
	for _, e := range entries {
		cfg.Entries = append(cfg.Entries, "http://"+e.admin)
	}
	return admin.NewClient(cfg)
}

// newVMRequest returns a request for a VM with a new record ID.
func newVMRequest() admin.VMRequest { return admin.VMRequest{ID: uuid.NewString(), Writer: "operator"} }

// replay folds the whole log and calls visit after each record.
func (w *world) replay(visit func(st *fleet.State, res fleet.Result)) {
	w.t.Helper()
	st := fleet.NewState(fleet.StateConfig{Validate: spec.Validate})
	for {
		page, err := w.log.Read(w.t.Context(), st.Offset+1, 512, 0)
		assert.NilError(w.t, err)
		if len(page.Records) == 0 {
			return
		}
		for _, e := range page.Records {
			visit(st, st.ApplyEncoded(e.Offset, e.Data))
		}
	}
}

// allRuns returns the number of runs on all workers by request ID and by key.
func (w *world) allRuns() map[string]int {
	all := map[string]int{}
	for _, vm := range w.vms {
		c := w.counts(vm.ID)
		for id, n := range c.IDs {
			all[id] += n
		}
		for key, n := range c.Keys {
			all[key] += n
		}
	}
	return all
}

// postWorker posts to a control path of the worker on a VM.
func (w *world) postWorker(vm, path string, v any) {
	w.t.Helper()
	postJSON(w.t, "http://"+w.addr(vm)+path, v)
}

// exitCode waits until the process exits by itself and returns its exit code.
func (p *process) exitCode(limit time.Duration) int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(limit):
		p.t.Fatalf("%s has not ended after %v", p.name, limit)
	}
	return p.cmd.ProcessState.ExitCode()
}

// waitServes waits until an entry answers a request with status 200.
func (w *world) waitServes(e *entryProc, limit time.Duration) {
	w.t.Helper()
	w.eventually(e.vm+" serves", limit, func() error {
		a, err := e.send(request{Timeout: 2 * time.Second})
		if err == nil && a.Status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", a.Status, a.Body)
		}
		return err
	})
}

// quantile returns the q-th quantile of durations.
func quantile(d []time.Duration, q float64) time.Duration {
	d = slices.Sorted(slices.Values(d))
	return d[min(len(d)-1, int(q*float64(len(d))))]
}

// slowBody is a request body that arrives in parts with pauses.
type slowBody struct {
	parts [][]byte
	pause time.Duration
}

func newSlowBody(text string, parts int, pause time.Duration) *slowBody {
	b := &slowBody{pause: pause}
	for range parts {
		b.parts = append(b.parts, []byte(text))
	}
	return b
}

// Read returns the next part after a pause.
func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := copy(p, b.parts[0])
	b.parts[0] = b.parts[0][n:]
	if len(b.parts[0]) == 0 {
		b.parts = b.parts[1:]
	}
	return n, nil
}

// remaining returns the text that has not been read yet.
func (b *slowBody) remaining() string { return string(bytes.Join(b.parts, nil)) }
