package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/fake/plat"
)

// checkKey checks the status of a request against the state of its key before and after it. A key that changed in the meantime may
// have any effect.
func (a *accounts) checkKey(e *process, method, key string, before, after plat.Key, sentAt time.Time, status int) {
	if before != after || before.ChangedAt.IsZero() {
		return
	}
	age, bound := sentAt.Sub(before.ChangedAt), configMs*time.Millisecond
	disturbed := a.disturbed.since(before.ChangedAt, logSource, topicSource, e.name, e.store.addr())
	switch {
	case !before.Valid && method == http.MethodPost && age > bound:
		a.count(fmt.Sprintf("%d to a key revoked over 3 s ago, disturbed %t", status, disturbed))
	case before.Valid && age > bound:
		a.count(fmt.Sprintf("%d to a key written over 3 s ago", status))
	}
	if disturbed {
		bound += disturbedAllowance
	}
	switch {
	case age <= bound:
	case !before.Valid && method == http.MethodPost && status == http.StatusOK:
		a.problem("CONFIG %s accepts a submission with %s, revoked %v before it was sent", e.name, key, age)
	case before.Valid && status == http.StatusUnauthorized:
		a.problem("CONFIG %s answers 401 to %s with %s, written %v before it was sent", e.name, method, key, age)
	}
}

// checkRefused checks the status of a request without a valid key. No answer is allowed, as the entry may be replaced.
func (a *accounts) checkRefused(e *process, method string, headers []string, status int) {
	a.count(fmt.Sprintf("%d without a valid key", status))
	if status != 0 && status != http.StatusUnauthorized && status != http.StatusServiceUnavailable {
		text := fmt.Sprintf("%q", headers)
		a.problem("ROUTE %s answers %d to %s with %s", e.name, status, method, text[:min(len(text), 80)])
	}
}

// takeOutcomes waits for the requests of other goroutines and adds their jobs to those of the test.
func (s *soak) takeOutcomes(accepted, refused map[string]bool) {
	if s.accounts == nil {
		return
	}
	s.accounts.requests.Wait()
	for id := range s.accounts.accepted {
		accepted[id] = true
	}
	for id := range s.accounts.refused {
		refused[id] = true
	}
}

// awaitEnds waits until all items of the jobs of accounts without keys have ended, and gives these accounts keys again.
func (s *soak) awaitEnds(accepted map[string]bool) {
	if s.accounts == nil {
		return
	}
	left := map[string]bool{}
	for id := range accepted {
		if account := s.accounts.of(id); len(s.plat.Account(account).Keys) == 0 {
			left[id] = true
		}
	}
	n := len(left)
	for until := time.Now().Add(completionLimit); len(left) > 0 && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for id := range left {
			if s.plat.Ended(id) || s.plat.MayFail(id) {
				delete(left, id)
			}
		}
	}
	assert.Equal(s.t, len(left), 0, "jobs of accounts without keys have not ended %v after all faults: %v: %s", completionLimit, left, strings.Join(s.events, "; "))
	for _, name := range s.accounts.names {
		if len(s.plat.Account(name).Keys) == 0 {
			s.t.Logf("%s ended the faults without keys; %d jobs of such accounts have ended", name, n)
			s.plat.AddKey(name, s.accounts.newKey(name))
		}
	}
}

// logProblems logs the wrong answers to the requests of accounts if the seed has failed, as they may be the cause of another failure.
func (s *soak) logProblems() {
	if s.accounts == nil || !s.t.Failed() {
		return
	}
	s.accounts.mu.Lock()
	defer s.accounts.mu.Unlock()
	s.t.Logf("answers to accounts: %v; wrong ones: %s", s.accounts.counts, strings.Join(s.accounts.problems, "; "))
}

// checkAccounts checks each key at each entry once all changes must be in force, and the answers until then.
func (s *soak) checkAccounts(calm time.Time) {
	a := s.accounts
	if a == nil {
		return
	}
	var newest time.Time
	keys := slices.Clone(a.revoked)
	for _, name := range a.names {
		keys = append(keys, s.plat.Account(name).Keys...)
	}
	for _, key := range keys {
		if at := s.plat.Key(key).ChangedAt; at.After(newest) {
			newest = at
		}
	}
	for _, at := range []time.Time{newest, calm} {
		time.Sleep(time.Until(at.Add(configMs * time.Millisecond)))
	}
	steps, body := oneStep(1, 1)
	var refused []string
	for _, e := range s.entries {
		for i, key := range append(keys, "unknown") {
			id := fmt.Sprintf("%s%015x", "b", a.serial)
			a.serial++
			want := http.StatusOK
			if !s.plat.Key(key).Valid {
				want = http.StatusUnauthorized
				s.plat.SetSteps(id, steps)
				refused = append(refused, id)
			}
			status := 0
			for until := time.Now().Add(completionLimit); status != want && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
				if want == http.StatusOK { // the length of the queue
					status, _ = s.call(e, http.MethodGet, plat.Prefix, []string{"Bearer " + key}, nil)
				} else {
					status, _ = s.call(e, http.MethodPost, plat.Prefix+id, []string{"Bearer " + key}, body)
				}
				if status != want && status != 0 && status != http.StatusServiceUnavailable {
					break
				}
			}
			if status != want {
				a.problem("CONFIG %s answers %d to key %d, %s, long after the faults, want %d", e.name, status, i, key, want)
			}
		}
	}
	for _, id := range refused {
		if !s.plat.LastStart(id).IsZero() {
			a.problem("ROUTE job %s was submitted with an invalid key and ran", id)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s.t.Logf("accounts: %d, keys revoked: %d, statuses: %v", len(a.names), len(a.revoked), a.counts)
	assert.Equal(s.t, len(a.problems), 0, "%s: %s", strings.Join(a.problems, "; "), strings.Join(s.events, "; "))
}

// Names of sources of disturbances. Entries and their connections to the log have their own.
const (
	logSource   = "log"
	topicSource = "topic"
)

// disturbances records when the log, the connections to it and the entries are disturbed.
type disturbances struct {
	mu   sync.Mutex
	open map[string]bool      // those that go on
	last map[string]time.Time // end of the last one
}

// set records that a source is disturbed from now on, or that it isn't any more.
func (d *disturbances) set(source string, disturbed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open[source] || disturbed {
		d.last[source] = time.Now()
	}
	d.open[source] = disturbed
}

// setDisturbed records that a source is disturbed from now on, or that it isn't any more.
func (s *soak) setDisturbed(source string, disturbed bool) {
	if s.accounts != nil {
		s.accounts.disturbed.set(source, disturbed)
	}
}

// noteDisturbed records a disturbance of a moment.
func (s *soak) noteDisturbed(source string) {
	if s.accounts != nil {
		s.accounts.disturbed.note(source)
	}
}

// note records a disturbance of a moment.
func (d *disturbances) note(source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last[source] = time.Now()
}

// since reports whether a source is disturbed or was at a time or later.
func (d *disturbances) since(at time.Time, sources ...string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(sources, func(source string) bool { return d.open[source] || d.last[source].After(at) })
}
