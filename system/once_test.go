package system

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request with a key that runs twice when its caller sends it to several entries at once.
func TestDepositRunsOnceThroughTwoEntries(t *testing.T) {
	w := smallWorld(t, 3)
	for n := range 10 {
		key := fmt.Sprintf("deposit-%d", n)
		var wg sync.WaitGroup
		for _, e := range w.entries {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, _ = e.send(request{Method: "POST", Key: key, Body: "50 rand", Header: http.Header{"X-Latency": {"50ms"}}})
			}()
		}
		wg.Wait()
		assert.Equal(t, w.runs("clubs/holds/"+key), 1, key)
	}
}

// Guards against a request with a key that runs twice because the entry that ran it, or the one that owns its
// key, is killed or frozen between the first attempt and the repeat.
func TestDepositRunsOnceAcrossLossOfAnEntry(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP} {
		t.Run(sig.String(), func(t *testing.T) {
			w := smallWorld(t, 4)
			const n = 12
			for i := range n {
				a, err := w.entries[i%4].send(request{Method: "POST", Key: fmt.Sprint("k", i), Body: "50 rand"})
				assert.NilError(t, err)
				assert.Equal(t, a.Status, http.StatusOK, a.Body)
			}
			w.entries[0].signal(sig)
			deadline := time.Now().Add(15 * time.Second)
			for time.Now().Before(deadline) {
				for i := range n {
					e := w.entries[1+i%3]
					a, err := e.send(request{Method: "POST", Key: fmt.Sprint("k", i), Body: "50 rand"})
					assert.NilError(t, err)
					assert.Assert(t, a.Verdict != "", a.Body)
				}
				time.Sleep(time.Second)
			}
			if sig == syscall.SIGSTOP {
				w.entries[0].signal(syscall.SIGCONT)
				for i := range n {
					_, _ = w.entries[0].send(request{Method: "POST", Key: fmt.Sprint("k", i), Body: "50 rand"})
				}
			}
			for i := range n {
				assert.Equal(t, w.runs(fmt.Sprint("clubs/holds/k", i)), 1, "key k%d", i)
			}
			a, err := w.entries[1].send(request{Method: "POST", Key: "after", Body: "50 rand"})
			assert.NilError(t, err)
			assert.Equal(t, a.Status, http.StatusOK, "a new deposit after the loss: %s", a.Body)
		})
	}
}
