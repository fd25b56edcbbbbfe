package system

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/fake/worker"
)

// Guards against a planned stop that aborts requests in progress: slow ones, and bodies that stream in both directions.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	w := smallWorld(t, 3)
	e := w.entries[0]
	var wg sync.WaitGroup
	results := make(chan string, 40)
	for n := range 8 {
		wg.Add(2)
		go func() {
			defer wg.Done()
			a, err := e.send(request{Method: "POST", Body: "50 rand", Key: fmt.Sprint("slow-", n), Header: http.Header{worker.HeaderLatency: {"3s"}}})
			results <- describeResult(a.Status, err, true)
		}()
		go func() {
			defer wg.Done()
			results <- stream(e, newSlowBody(strings.Repeat("lane ", 200), 30, 100*time.Millisecond))
		}()
	}
	w.eventually("all requests have started", 5*time.Second, func() error {
		n := 0
		for _, vm := range w.vms {
			n += w.counts(vm.ID).InUse
		}
		if n < 16 {
			return fmt.Errorf("%d in progress", n)
		}
		return nil
	})
	began := time.Now()
	e.signal(syscall.SIGTERM)
	assert.Equal(t, e.exitCode(20*time.Second), 0)
	t.Logf("stopped after %v", time.Since(began).Round(time.Millisecond))
	wg.Wait()
	close(results)
	for r := range results {
		assert.Check(t, r == "whole", r)
	}
	a, err := w.entries[1].send(request{Method: "POST", Body: "50 rand", Key: "slow-1"})
	assert.NilError(t, err)
	assert.Equal(t, w.runs("clubs/holds/slow-1"), 1, "the key was lost with its entry: %d %s", a.Status, a.Body)
}

// describeResult returns "whole" for a complete answer with status 200, and otherwise a description of the failure.
func describeResult(status int, err error, whole bool) string {
	if err != nil || status != http.StatusOK || !whole {
		return fmt.Sprintf("status %d, error %v, whole body: %v", status, err, whole)
	}
	return "whole"
}

// stream sends a slow body to a worker that echoes it while it arrives, and returns the description of the result.
func stream(e *entryProc, body *slowBody) string {
	want := body.remaining()
	req, err := http.NewRequest(http.MethodPost, "http://"+e.listen+"/stream", body)
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Sassafrasvalve-Service", "holds")
	req.Header.Set("Sassafrasvalve-Class", "urgent")
	req.Header.Set("Sassafrasvalve-Tenant", "clubs")
	resp, err := callerClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return describeResult(resp.StatusCode, err, string(got) == want)
}

// firstReady returns the first ready entry, starting with the preferred one, as a load balancer does.
func firstReady(entries []*entryProc, preferred int) *entryProc {
	for i := range entries {
		e := entries[(preferred+i)%len(entries)]
		resp, err := http.Get("http://" + e.admin + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return e
		}
	}
	return entries[preferred%len(entries)]
}

// Guards against requests that fail while all entries are stopped and restarted one after another.
func TestRollingUpgradeFailsNoRequest(t *testing.T) { rollingUpgrade(t, false) }

// Guards against requests with an Idempotency-Key that fail in a rolling upgrade because the keys change owners.
func TestRollingUpgradeFailsNoRequestWithKey(t *testing.T) { rollingUpgrade(t, true) }

func rollingUpgrade(t *testing.T, keys bool) {
	w := smallWorld(t, 3)
	l := startLoad(t, 12, 5*time.Millisecond, func(caller, n int) (*entryProc, request) {
		r := request{Method: "POST", Body: "50 rand", Header: http.Header{worker.HeaderLatency: {"20ms"}}}
		if keys && n%2 == 0 {
			r.Key = fmt.Sprint("key-", n)
		}
		return firstReady(w.entries, caller), r
	})
	for _, e := range w.entries {
		before := l.answered(http.StatusOK)
		w.eventually("load", 5*time.Second, func() error {
			if n := l.answered(http.StatusOK) - before; n < 100 {
				return fmt.Errorf("%d answers", n)
			}
			return nil
		})
		began := time.Now()
		e.signal(syscall.SIGTERM)
		assert.Equal(t, e.exitCode(20*time.Second), 0)
		t.Logf("%s stopped after %v", e.vm, time.Since(began).Round(time.Millisecond))
		e.start()
		w.waitServes(e, 15*time.Second)
	}
	seen := map[string]int{}
	for _, s := range l.stop() {
		switch {
		case s.Err == nil && s.Answer.Status == http.StatusOK:
			seen["whole"]++
		case errors.Is(s.Err, syscall.ECONNREFUSED):
			seen["refused at the closed socket"]++
		case s.Err != nil && s.Answer.Status == 0 && errors.Is(s.Err, syscall.ECONNRESET):
			seen["reset before an answer"]++
			assert.Check(t, s.Request.Key == "" || w.runs("clubs/holds/"+s.Request.Key) == 0, "a reset request has run")
		default:
			seen["failed"]++
			t.Errorf("%s: %v, status %d, verdict %q: %s", s.Entry.vm, s.Err, s.Answer.Status, s.Answer.Verdict, s.Answer.Body)
		}
	}
	t.Log(seen)
	assert.Assert(t, seen["whole"] > 300)
}
