package cloud

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/clock"
)

// TestScripts runs the scripts of testdata. The first line of each names the failure that it guards against. A
// line is "METHOD PATH STATUS [BODY]", optionally followed by " => " and text that the response must contain, or
// "advance DURATION". STATUS 0 stands for a connection that is closed without a response.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			clk := clock.NewFake(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
			s := New(Config{
				Seed: 1, Clock: clk, Retain: 5, AppendRate: 20, ListLag: 5 * time.Second, UsageLag: 5 * time.Second,
				VMs: []VM{{ID: "w1", Addr: "10.0.0.1:80"}},
			})
			srv := httptest.NewServer(s.Handler())
			defer srv.Close()
			for n, line := range strings.Split(string(data), "\n") {
				if d, ok := strings.CutPrefix(line, "advance "); ok {
					step, err := time.ParseDuration(d)
					assert.NilError(t, err)
					clk.Advance(step)
				} else if line != "" && line[0] != '#' {
					request(t, srv.URL, n+1, line)
				}
			}
		})
	}
}

func request(t *testing.T, base string, n int, line string) {
	t.Helper()
	line, want, _ := strings.Cut(line, " => ")
	parts := strings.SplitN(line, " ", 4)
	body := ""
	if len(parts) == 4 {
		body = parts[3]
	}
	req, err := http.NewRequest(parts[0], base+parts[1], strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set(clientHeader, "a")
	status, data := 0, []byte(nil)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		data, _ = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
	}
	assert.Equal(t, strconv.Itoa(status), parts[2], "line %d: %s", n, data)
	assert.Assert(t, strings.Contains(string(data), want), "line %d: got %s, want %s", n, data, want)
}

// Guards against runs with the same seed that lose different appends.
func TestSeedDecidesLosses(t *testing.T) {
	losses := func(seed uint64) string {
		s := New(Config{Seed: seed})
		s.Inject(Fault{LoseShare: 0.5})
		var b strings.Builder
		for range 64 {
			_ = json.NewEncoder(&b).Encode(s.faults.onAppend("a").lose)
		}
		return b.String()
	}
	assert.Equal(t, losses(1), losses(1))
	assert.Assert(t, losses(1) != losses(2))
}

// Guards against a long poll that keeps waiting after an append or after the start of an outage.
func TestLongPoll(t *testing.T) {
	s := New(Config{})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	for _, change := range []struct {
		make   func()
		status int
	}{
		{func() { _, _ = http.Post(srv.URL+"/log/append", "", strings.NewReader(`{"Records":["YQ=="]}`)) }, http.StatusOK},
		{func() { s.Inject(Fault{Outage: OutageRefuse}) }, http.StatusServiceUnavailable},
	} {
		timer := time.AfterFunc(100*time.Millisecond, change.make)
		began := time.Now()
		resp, err := http.Get(srv.URL + "/log/read?max=9&wait=5000&from=" + strconv.FormatInt(s.State().Next, 10))
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, change.status)
		assert.Assert(t, time.Since(began) < time.Second)
		timer.Stop()
	}
}

// Guards against a server that cannot be stopped while clients wait in long polls or in an outage.
func TestRunEndsWithContext(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	s, done := New(Config{}), make(chan error, 1)
	go func() { done <- s.Run(ctx, ln) }()
	s.Inject(Fault{On: []string{ScopeList}, Outage: OutageDrop})
	for _, path := range []string{"/log/read?from=0&max=1&wait=10000", "/vms"} {
		go func() {
			if resp, err := http.Get("http://" + ln.Addr().String() + path); err == nil {
				_ = resp.Body.Close()
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	cancel()
	select {
	case err := <-done:
		assert.NilError(t, err)
	case <-time.After(3 * time.Second):
		t.Fatal("Run has not ended 3 s after its context")
	}
}
