package chaos

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// counts holds the number of occurrences by name.
type counts map[string]int

func (c counts) add(what string, n int) { c[what] += n }

// total sums up the finished checks of a test process.
type total struct {
	mu     sync.Mutex
	checks int
	time   time.Duration // simulated time
	counts counts
}

var totals = total{counts: counts{}}

func (t *total) add(w *world) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checks++
	t.time += w.now.Sub(time.UnixMilli(1_800_000_000_000))
	for k, n := range w.counts {
		t.counts[k] += n
	}
	t.counts["requests"] += len(w.requests)
	t.counts["jobs"] += len(w.oracle.jobs)
}

// String returns the totals, one per line, sorted by name.
func (t *total) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "checks %d, simulated time %v\n", t.checks, t.time.Round(time.Second))
	for _, k := range sorted(t.counts) {
		fmt.Fprintf(&b, "%8d %s\n", t.counts[k], k)
	}
	return b.String()
}
