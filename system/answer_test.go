package system

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/fake/cloud"
	"sassafrasvalve/fake/worker"
)

// answerKinds are the kinds of answers to draw from. KindNone is an answer without a fault.
var answerKinds = []worker.Kind{
	worker.KindNone, worker.KindNone, worker.KindNone, worker.KindNone, worker.KindNone, worker.KindNone,
	worker.KindTruncate, worker.KindTruncChunk, worker.KindShort, worker.KindLong, worker.KindCrossed,
	worker.KindDouble, worker.KindLateDouble, worker.KindUnframed, worker.KindClose,
}

// Guards against a caller that gets another caller's body, a part of one, or a truncated answer that looks complete,
// because a worker broke the framing of its answers.
func TestAnswersAreWholeAndOwnWhenWorkersSpoilThem(t *testing.T) {
	w := smallWorld(t, 3)
	a := &answerCheck{w: w, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}}
	var wg sync.WaitGroup
	for caller := range 45 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 40 {
				a.call(caller, n, rand.New(rand.NewPCG(uint64(caller), uint64(n)))) //nolint:gosec // reproducible faults
			}
		}()
	}
	wg.Wait()
	t.Logf("%d whole, %d broken, %d refused or failed", a.whole.Load(), a.broken.Load(), a.failed.Load())
	assert.Assert(t, a.whole.Load() > 300 && a.broken.Load() > 100)
}

// answerCheck sends requests with unique bodies and compares the answers with them.
type answerCheck struct {
	w                     *world
	client                *http.Client
	whole, broken, failed atomic.Int64
}

func (a *answerCheck) call(caller, n int, rnd *rand.Rand) {
	t := a.w.t
	kind := answerKinds[rnd.IntN(len(answerKinds))]
	own := strings.Repeat(fmt.Sprintf("<%d-%d>", caller, n), 1+rnd.IntN(3000))
	e := a.w.entries[caller%len(a.w.entries)]
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.listen+"/echo", strings.NewReader(own))
	if !assert.Check(t, err) {
		return
	}
	req.Header.Set("Sassafrasvalve-Service", "holds")
	req.Header.Set("Sassafrasvalve-Class", []string{"urgent", "reads"}[n%2])
	req.Header.Set("Sassafrasvalve-Tenant", "clubs")
	req.Header.Set(worker.HeaderFault, string(kind))
	req.Header.Set(worker.HeaderLatency, fmt.Sprintf("%dms", rnd.IntN(20)))
	if rnd.IntN(10) == 0 { // the caller gives up, so that the answer arrives after it has left
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rnd.IntN(20))*time.Millisecond)
		defer cancel()
		req = req.WithContext(ctx)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		a.broken.Add(1)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode != http.StatusOK:
		a.failed.Add(1)
		assert.Check(t, !strings.Contains(string(body), "><"), "a body came with status %d", resp.StatusCode)
	case err != nil:
		a.broken.Add(1)
		assert.Check(t, strings.HasPrefix(own, string(body)), "kind %q: a broken answer holds another body: %.80q", kind, body)
	default:
		a.whole.Add(1)
		want := own
		if kind == worker.KindLong { // the worker's framing makes half of the body look complete
			want = own[:len(own)/2]
		}
		assert.Check(t, string(body) == want, "kind %q: want %d bytes of %.20q, got %d of %.80q", kind, len(want), want, len(body), body)
		assert.Check(t, kind != worker.KindTruncate && kind != worker.KindTruncChunk && kind != worker.KindShort &&
			kind != worker.KindCrossed && kind != worker.KindUnframed, "kind %q was passed on as whole", kind)
	}
}

// Guards against the verdict not-run for a request that ran, while entries are killed and cut off, workers refuse,
// fail, freeze and restart, and more requests arrive than are accepted.
func TestNotRunIsTrueUnderFailures(t *testing.T) {
	w := smallWorld(t, 4)
	latencies := []string{"1ms", "20ms", "200ms", "1s"}
	l := startLoad(t, 120, 2*time.Millisecond, func(caller, n int) (*entryProc, request) {
		r := request{
			Method: "POST", Body: "50 rand", Class: []string{"urgent", "reads"}[n%2],
			Header: http.Header{worker.HeaderLatency: {latencies[n%len(latencies)]}},
		}
		if n%3 == 0 {
			r.Key = fmt.Sprint("key-", n)
		}
		return w.entries[caller%4], r
	})
	answered := 0
	step := func(what string) {
		t.Helper()
		w.eventually("answers after: "+what, 20*time.Second, func() error {
			if n := l.answered(http.StatusOK) + l.answered(http.StatusServiceUnavailable) + l.answered(http.StatusBadGateway); n < answered+150 {
				return fmt.Errorf("%d answers", n-answered)
			}
			return nil
		})
		answered = l.answered(http.StatusOK) + l.answered(http.StatusServiceUnavailable) + l.answered(http.StatusBadGateway)
	}
	step("flood")
	for _, kind := range []worker.Kind{worker.KindRefuse, worker.KindClose, worker.KindBadRefusal, worker.KindFail, worker.KindTruncate} {
		for _, vm := range []string{"alpha-1", "alpha-2", "alpha-3"} {
			w.postWorker(vm, "/fault", worker.Fault{Kind: kind, Share: 0.4})
		}
		step(string(kind))
	}
	for _, vm := range []string{"alpha-1", "alpha-2", "alpha-3"} {
		w.postWorker(vm, "/fault", worker.Fault{})
		w.postWorker(vm, "/reboot?down=300ms", nil)
		step("restart of " + vm)
	}
	w.workers["alpha-2"].signal(syscall.SIGSTOP)
	step("frozen worker")
	w.workers["alpha-2"].signal(syscall.SIGCONT)
	w.entries[3].kill()
	step("killed entry")
	w.entries[2].cutPeers("*")
	w.fault(cloud.Fault{Clients: []string{w.entries[2].vm}, Outage: cloud.OutageRefuse})
	step("cut entry")
	w.checkNotRun(l.stop())
}

// checkNotRun compares the verdicts of the answers with the runs that the workers counted.
func (w *world) checkNotRun(all []sent) {
	w.t.Helper()
	runs := w.allRuns()
	verdicts := map[string]int{}
	for _, s := range all {
		if s.Err != nil && s.Answer.Verdict == "" {
			verdicts["no answer"]++
			continue
		}
		verdicts[s.Answer.Verdict]++
		id := s.Answer.Header.Get("Sassafrasvalve-Request-Id")
		assert.Check(w.t, id != "" && s.Answer.Verdict != "", "status %d without ID or verdict: %s", s.Answer.Status, s.Answer.Body)
		assert.Check(w.t, s.Answer.Verdict != "not-run" || runs[id] == 0, "%s: not-run, but it ran %d times: %d %s", id, runs[id], s.Answer.Status, s.Answer.Body)
		assert.Check(w.t, s.Answer.Verdict != "ran" || runs[id] > 0, "%s: ran, but it did not", id)
		assert.Check(w.t, s.Request.Class != "urgent" || runs[id] <= 1, "%s: ran %d times", id, runs[id])
	}
	w.t.Log(verdicts)
	assert.Check(w.t, verdicts["not-run"] > 100 && verdicts["may-have-run"] > 10 && verdicts["ran"] > 100, "too little happened to prove anything")
}
