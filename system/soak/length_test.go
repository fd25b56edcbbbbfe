package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/fake/plat"
)

// Times and rates of the checks of the queue's length.
const (
	// visibleAfter is the time from its acceptance on after which a waiting job has to be counted: the 3 s after which it has to be
	// visible, and the 2 s for which a length may be old.
	visibleAfter = 5 * time.Second
	// askInterval is the pause between two queries for the length at one entry.
	askInterval = 150 * time.Millisecond
	// waitInterval is the pause between two jobs that wait for good.
	waitInterval = 250 * time.Millisecond
	// lengthFaultEvery is the mean number of faults per move or new name of the queue.
	lengthFaultEvery = 2
	// missingLabel is a label that no VM has, so that a job which requires it never starts.
	missingLabel = "none"
)

// hasLengths reports whether a seed is played with queries for the queue's length. The regressions are played as they were when
// they failed.
func hasLengths(seed uint64) bool { return !hasAccounts(seed) && regressions[seed] == "" }

// lengths asks all entries for the queue's length and compares it with the jobs that wait for good. Its callers keep their connections
// open.
type lengths struct {
	s      *soak
	rng    *rand.Rand // of the goroutine of the test
	client *http.Client
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu         sync.Mutex
	acceptedAt []time.Time    // of the jobs that wait for good
	unknown    int            // jobs of which it is not known whether they were accepted
	problems   []string       // violations
	answers    map[string]int // answers by status, for the log of the test
}

// newLengths returns the checks of a seed, or nil if the seed has none.
func newLengths(s *soak, seed uint64) *lengths {
	if !hasLengths(seed) {
		return nil
	}
	return &lengths{
		s: s, rng: rand.New(rand.NewPCG(seed, 23)), client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}},
		answers: map[string]int{},
	}
}

// start starts to submit jobs and to ask all entries.
func (l *lengths) start() {
	if l == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.wg.Go(func() { l.submitLoop(ctx) })
	for _, e := range l.s.entries {
		l.wg.Go(func() { l.loop(ctx, e) })
	}
}

// stop ends the goroutines.
func (l *lengths) stop() {
	if l != nil {
		l.cancel()
		l.wg.Wait()
	}
}

// submitLoop submits a job that waits for good at one entry after the other, until ctx ends.
func (l *lengths) submitLoop(ctx context.Context) {
	step := jobs.Step{Count: 1, CPU: 1000, MemMB: 100, EstimateMs: 100, Label: missingLabel}
	body := fmt.Appendf(nil, `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100,"required_label":%q}]}`, missingLabel)
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", 0xc000+n)
		l.s.plat.SetSteps(id, []jobs.Step{step})
		status, _ := l.s.entries[n%len(l.s.entries)].send(l.client, http.MethodPost, plat.Prefix+id, nil, body)
		l.mu.Lock()
		switch {
		case status == http.StatusOK:
			l.acceptedAt = append(l.acceptedAt, time.Now())
		case !isRefused(status):
			l.unknown++
		}
		l.mu.Unlock()
		sleep(ctx, waitInterval)
	}
}

// loop asks an entry until ctx ends.
func (l *lengths) loop(ctx context.Context, e *process) {
	for ; ctx.Err() == nil; sleep(ctx, askInterval) {
		sentAt := time.Now()
		n, status := l.ask(e)
		l.mu.Lock()
		l.answers[fmt.Sprint(status)]++
		if old := l.acceptedBefore(sentAt.Add(-visibleAfter)); status == http.StatusOK && n < old {
			l.problems = append(l.problems, fmt.Sprintf("MIXED: %s gives %d as the length at %s, but %d jobs wait that were accepted %v before",
				e.name, n, time.Now().Format("05.000"), old, visibleAfter))
		}
		l.mu.Unlock()
	}
}

// acceptedBefore returns the number of jobs that were accepted before a time. The caller holds mu.
func (l *lengths) acceptedBefore(at time.Time) int {
	i, _ := slices.BinarySearchFunc(l.acceptedAt, at, time.Time.Compare)
	return i
}

// ask returns the queue's length by an entry, and the status of the answer.
func (l *lengths) ask(e *process) (n, status int) {
	status, text := e.send(l.client, http.MethodGet, plat.Prefix, nil, nil)
	var answer struct{ Waiting *int }
	if status != http.StatusOK {
		return 0, status
	}
	if err := json.Unmarshal([]byte(text), &answer); err != nil || answer.Waiting == nil {
		return 0, 0
	}
	return *answer.Waiting, status
}

// injectFault moves the queue to the other service or gives it another name.
func (l *lengths) injectFault() {
	if l == nil || l.rng.IntN(lengthFaultEvery) != 0 {
		return
	}
	if l.rng.IntN(3) == 0 {
		l.s.logEvent("queue renamed")
		l.s.plat.RenameQueue()
		return
	}
	l.s.logEvent("queue moved")
	l.s.plat.MoveQueue()
}

// check checks the lengths given during the faults, and that all entries give the exact one afterwards.
func (l *lengths) check() {
	if l == nil {
		return
	}
	accepted := len(l.acceptedAt)
	for _, e := range l.s.entries {
		n, status := 0, 0
		for until := time.Now().Add(completionLimit); time.Now().Before(until); time.Sleep(askInterval) {
			if n, status = l.ask(e); status == http.StatusOK && n >= accepted && n <= accepted+l.unknown {
				break
			}
		}
		assert.Assert(l.s.t, status == http.StatusOK && n >= accepted && n <= accepted+l.unknown,
			"%s gives %d as the length with status %d, %d jobs wait and %d may: %s", e.name, n, status, accepted, l.unknown, strings.Join(l.s.events, "; "))
	}
	assert.Equal(l.s.t, len(l.problems), 0, "%s: %s", strings.Join(l.problems, "\n"), strings.Join(l.s.events, "; "))
	l.s.t.Logf("%d jobs wait for good, %d may; answers to queries for the length by status: %v", accepted, l.unknown, l.answers)
}

// sleep returns after a pause, or when ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// TestLengthsPlayBesideAccounts guards against a range of CI that plays no seed with queries for the queue's length.
func TestLengthsPlayBesideAccounts(t *testing.T) {
	assert.Assert(t, hasLengths(2), "seed 2 of %s", ciSeeds)
	assert.Assert(t, hasAccounts(1), "seed 1 of %s", ciSeeds)
}
