package system

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/fake/cloud"
	"sassafrasvalve/fake/worker"
)

// Guards against a request that runs twice because its key is repeated through other entries during a platform
// outage, while an entry is cut off, frozen or killed, and while connections to workers break. Half of the requests
// have no body, because an HTTP transport may repeat such requests by itself on a reused connection.
func TestKeyRunsOnceThroughFaults(t *testing.T) {
	w := smallWorld(t, 5)
	k := &keyRepeater{w: w, answers: map[string]int{}}
	k.repeat("start", 0, 1, 2, 3, 4)
	w.fault(cloud.Fault{Outage: cloud.OutageHang})
	k.repeat("outage", 0, 1, 2, 3, 4)
	w.fault(cloud.Fault{Clear: true})
	w.waitServes(w.entries[0], 10*time.Second)

	w.entries[4].cutPeers("*")
	w.fault(cloud.Fault{Clients: []string{w.entries[4].vm}, Outage: cloud.OutageRefuse})
	k.repeat("cut", 4, 0, 1, 2, 3)
	w.entries[4].cutPeers()
	w.fault(cloud.Fault{Clear: true})
	k.repeat("back", 4, 3)

	w.entries[3].signal(syscall.SIGSTOP)
	k.repeat("frozen", 0, 1, 2, 4)
	w.entries[3].signal(syscall.SIGCONT)
	k.repeat("woken", 3, 0)

	w.entries[2].kill()
	k.repeat("killed", 0, 1, 3, 4)
	k.check()
}

// keyRepeater sends requests with new keys in each phase and repeats those of all earlier phases.
type keyRepeater struct {
	w    *world
	keys []string

	mu      sync.Mutex
	answers map[string]int
}

// repeat adds new keys and sends requests with all keys through the entries concurrently.
func (k *keyRepeater) repeat(phase string, entries ...int) {
	const added = 12
	for n := range added {
		k.keys = append(k.keys, fmt.Sprint(phase, "-", n))
	}
	var wg sync.WaitGroup
	for _, i := range entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n, key := range k.keys {
				r := request{Method: "POST", Key: key, Timeout: 5 * time.Second, Header: http.Header{}}
				if n%2 == 0 {
					r.Body = "50 rand"
				}
				if n%3 == 0 { // the request runs, but its connection breaks before the answer
					r.Header.Set(worker.HeaderFault, string(worker.KindClose))
				}
				a, err := k.w.entries[i].send(r)
				k.mu.Lock()
				k.answers[fmt.Sprint(a.Status, " ", a.Verdict, " ", err != nil)]++
				k.mu.Unlock()
			}
		}()
	}
	wg.Wait()
}

// check checks that no key ran twice and that at least half of them ran.
func (k *keyRepeater) check() {
	runs := k.w.allRuns()
	ran := 0
	for _, key := range k.keys {
		n := runs["clubs/holds/"+key]
		ran += min(n, 1)
		assert.Check(k.w.t, n <= 1, "key %s ran %d times", key, n)
	}
	k.w.t.Logf("%d of %d keys ran; answers by status and verdict: %v", ran, len(k.keys), k.answers)
	assert.Check(k.w.t, ran >= len(k.keys)/2, "only %d of %d keys ran", ran, len(k.keys))
}
