package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/fake/plat"
)

// entry is one entry under test.
type entry struct {
	node  *Node
	front string
	stop  context.CancelFunc
	ended chan error
}

// freeAddr returns a loopback address with a free port.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// startEntry runs an entry on a fake platform.
func startEntry(t *testing.T, p *plat.Platform, name string) *entry {
	return startEntryWithShare(t, p, name, 0)
}

// startEntryWithShare runs an entry on a host with a share of a core; 0 stands for an unknown share.
func startEntryWithShare(t *testing.T, p *plat.Platform, name string, share float64) *entry {
	s := &Settings{
		CPUShare: share,
		Node:     name, Front: freeAddr(t), Ready: freeAddr(t), Peer: freeAddr(t), LogLevel: "error",
		Store: StoreSettings{Addr: p.Store(), Parts: 12},
		Cloud: CloudSettings{Addr: p.Cloud(), FenceChecks: true},
		Times: TimeSettings{StatusMs: 120_000, GraceMs: 6000, LeaseMs: 300},
	}
	assert.Equal(t, len(s.problems()), 0)
	n, err := New(s)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{node: n, front: s.Front, stop: cancel, ended: make(chan error, 1)}
	go func() { e.ended <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-e.ended
	})
	return e
}

// call sends a request to an entry and returns the status and body of the answer.
func call(t *testing.T, e *entry, method, path string, body any) (int, string) {
	b, err := json.Marshal(body)
	assert.NilError(t, err)
	req, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader(b))
	assert.NilError(t, err)
	req.Host = plat.Host
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	var out bytes.Buffer
	_, err = out.ReadFrom(res.Body)
	assert.NilError(t, err)
	return res.StatusCode, out.String()
}

// eventually repeats check until it returns true, for 15 s at most.
func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("%s did not come about in 15 s", what)
}

// wireSteps returns the steps of the jobs that the tests submit, in their wire format and decoded.
func wireSteps(items int, ms int64) ([]map[string]any, []jobs.Step) {
	wire := []map[string]any{
		{"count": items, "cpu": 2000, "mem_mb": 1000, "estimate_ms": ms},
		{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": ms, "after": []int{0}},
	}
	steps := []jobs.Step{
		{Count: items, CPU: 2000, MemMB: 1000, EstimateMs: ms},
		{Count: 1, CPU: 1000, MemMB: 500, EstimateMs: ms, After: []int{0}},
	}
	return wire, steps
}

// submit repeats the submission of a job until the entry accepts it.
func submit(t *testing.T, p *plat.Platform, e *entry, id string, items int, ms int64) {
	wire, steps := wireSteps(items, ms)
	p.SetSteps(id, steps)
	eventually(t, "acceptance of job "+id, func() bool {
		status, _ := call(t, e, http.MethodPost, plat.Prefix+id, map[string]any{"spec": "x", "steps": wire})
		return status == http.StatusOK
	})
}

// complete returns a check that the entry reports the job as complete.
func complete(t *testing.T, e *entry, id string) func() bool {
	return func() bool {
		status, body := call(t, e, http.MethodGet, plat.Prefix+id, nil)
		return status == http.StatusOK && strings.Contains(body, "complete")
	}
}

// TestJobsOverThePlatform guards against faults on the whole path of a job over the platform's protocol: acceptance at
// any entry, starts under leases, ends, states, cancelling, and answers for unknown jobs and queues.
func TestJobsOverThePlatform(t *testing.T) {
	p, err := plat.Start(plat.Config{VMs: 3, Spare: 3})
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	a, b := startEntry(t, p, "a"), startEntry(t, p, "b")
	for i := range 6 {
		submit(t, p, []*entry{a, b}[i%2], fmt.Sprintf("%016x", i+1), 4, 100)
	}
	for i := range 6 {
		eventually(t, "completion", complete(t, []*entry{b, a}[i%2], fmt.Sprintf("%016x", i+1)))
	}
	submit(t, p, a, "00000000000000ff", 4, 60_000)
	status, _ := call(t, b, http.MethodDelete, plat.Prefix+"00000000000000ff", nil)
	assert.Equal(t, status, http.StatusOK)
	eventually(t, "the cancelled state", func() bool {
		_, body := call(t, a, http.MethodGet, plat.Prefix+"00000000000000ff", nil)
		return strings.Contains(body, "cancelled")
	})
	status, _ = call(t, a, http.MethodGet, plat.Prefix+"0123456789abcdef", nil)
	assert.Equal(t, status, http.StatusGone)
	status, _ = call(t, a, http.MethodGet, "/nothing/0123456789abcdef", nil)
	assert.Equal(t, status, http.StatusNotFound)
	status, body := call(t, a, http.MethodGet, plat.Prefix, nil)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, `{"waiting":0}`)
	assert.DeepEqual(t, p.Violations(), []string(nil))
}

// TestBadRequestsAreRefused guards against malformed jobs that are accepted or that disturb others.
func TestBadRequestsAreRefused(t *testing.T) {
	p, err := plat.Start(plat.Config{VMs: 1})
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	e := startEntry(t, p, "a")
	submit(t, p, e, "0000000000000001", 1, 50)
	step := func(fields map[string]any) any {
		s := map[string]any{"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 10}
		for k, v := range fields {
			s[k] = v
		}
		return map[string]any{"spec": "x", "steps": []any{s}}
	}
	for name, body := range map[string]any{
		"no steps":       map[string]any{"spec": "x"},
		"no items":       step(map[string]any{"count": 0}),
		"too many items": step(map[string]any{"count": 1_000_000}),
		"negative cpu":   step(map[string]any{"cpu": -1}),
		"after itself":   step(map[string]any{"after": []int{0}}),
		"wrong type":     step(map[string]any{"count": "four"}),
		"long spec":      map[string]any{"spec": strings.Repeat("x", 5000), "steps": []any{}},
	} {
		status, text := call(t, e, http.MethodPost, plat.Prefix+"00000000000000aa", body)
		assert.Equal(t, status, http.StatusBadRequest, "%s: %s", name, text)
	}
	status, _ := call(t, e, http.MethodPost, plat.Prefix+"short", step(nil))
	assert.Equal(t, status, http.StatusNotFound)
	eventually(t, "completion", complete(t, e, "0000000000000001"))
}

// TestTakeoverKeepsWork guards against jobs that are lost or run twice when the owner of their shard stops
// while answers of the log are lost and a VM crashes.
func TestTakeoverKeepsWork(t *testing.T) {
	p, err := plat.Start(plat.Config{VMs: 4})
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	entries := []*entry{startEntry(t, p, "a"), startEntry(t, p, "b"), startEntry(t, p, "c")}
	for i := range 8 {
		submit(t, p, entries[i%3], fmt.Sprintf("%016x", i+1), 3, 700)
	}
	p.Log.SetFaults(false, 7)
	entries[0].stop()
	assert.NilError(t, p.Crash(1))
	for i := range 8 {
		eventually(t, "completion", complete(t, entries[1+i%2], fmt.Sprintf("%016x", i+1)))
	}
	assert.DeepEqual(t, p.Violations(), []string(nil))
}

// TestStoreOutage guards against runs that stop and answers that are wrong while the log is down. No job must be accepted,
// an unknown job must not be answered as gone, and everything must continue once the log is back.
func TestStoreOutage(t *testing.T) {
	p, err := plat.Start(plat.Config{VMs: 2})
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	e := startEntry(t, p, "a")
	submit(t, p, e, "0000000000000001", 2, 1500)
	p.Log.SetFaults(true, 0)
	time.Sleep(1200 * time.Millisecond)
	status, _ := call(t, e, http.MethodPost, plat.Prefix+"0000000000000002", map[string]any{"spec": "x", "steps": []any{
		map[string]any{"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 10},
	}})
	assert.Assert(t, status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout, "status %d", status)
	status, _ = call(t, e, http.MethodGet, plat.Prefix+"0123456789abcdef", nil)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	p.Log.SetFaults(false, 0)
	eventually(t, "completion", complete(t, e, "0000000000000001"))
	submit(t, p, e, "0000000000000003", 1, 50)
	eventually(t, "completion", complete(t, e, "0000000000000003"))
	assert.DeepEqual(t, p.Violations(), []string(nil))
}
