package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/fake/plat"
)

// Times of the checks of keys.
const (
	// configMs is the time in ms within which a new configuration must be in force.
	configMs = 3000
	// disturbedAllowance is added to it if the log or the entry was disturbed meanwhile.
	disturbedAllowance = 6 * time.Second
)

// hasAccounts reports whether a seed is played with client accounts. The regressions are played as they were when they failed.
func hasAccounts(seed uint64) bool { return seed%3 == 1 && regressions[seed] == "" }

// Roles of the first accounts. The others have no limit.
const (
	plainAccount  = iota // has no limit
	hotAccount           // submits several jobs at once at times
	smallAccount         // has a small limit of processors
	memAccount           // has a small limit of memory
	minAccounts          // number of accounts with a role
	extraAccounts = 2    // highest number of the others
)

// Limits of accounts. The lowest ones let all accepted jobs of an account complete within completionLimit.
const (
	hotMilliCPU   = 16_000
	smallMilliCPU = 8_000
	smallMemMB    = 6_000
	minMilliCPU   = 6_000
	minMemMB      = 4_000
	maxMilliCPU   = 64_000
)

// accounts plays the callers of client accounts. Only the goroutine of the test may use rng.
type accounts struct {
	rng       *rand.Rand
	names     []string
	hotUntil  time.Time
	hotLeft   int // jobs that may still be submitted at once
	serial    int // number of the next job
	nextKey   int
	disturbed disturbances
	requests  sync.WaitGroup

	mu       sync.Mutex
	byJob    map[string]string
	lastKey  map[string]string // newest key by account, which may be revoked
	revoked  []string
	accepted map[string]bool // jobs that were submitted by other goroutines
	refused  map[string]bool
	problems []string
	counts   map[string]int // answers by kind of request, for the log of the test
}

// newAccounts returns the accounts of a seed and their configuration, or nil if the seed has none.
func newAccounts(seed uint64) (*accounts, []plat.Account) {
	if !hasAccounts(seed) {
		return nil, nil
	}
	a := &accounts{
		rng: rand.New(rand.NewPCG(seed, 19)), hotLeft: 40, byJob: map[string]string{}, lastKey: map[string]string{},
		accepted: map[string]bool{}, refused: map[string]bool{}, counts: map[string]int{},
		disturbed: disturbances{open: map[string]bool{}, last: map[string]time.Time{}},
	}
	var list []plat.Account
	for i := range minAccounts + a.rng.IntN(extraAccounts+1) {
		acc := plat.Account{Name: fmt.Sprintf("account-%d", i), Weight: float64(1 + a.rng.IntN(4))}
		switch i {
		case hotAccount:
			acc.CPU = hotMilliCPU
		case smallAccount:
			acc.CPU = smallMilliCPU
		case memAccount:
			acc.MemMB = smallMemMB
		}
		for range 1 + a.rng.IntN(2) {
			acc.Keys = append(acc.Keys, a.newKey(acc.Name))
		}
		a.names = append(a.names, acc.Name)
		list = append(list, acc)
	}
	return a, list
}

// newKey returns a key that no account has had. The caller gives it to the account.
func (a *accounts) newKey(account string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nextKey++
	key := fmt.Sprintf("%s-key-%d", account, a.nextKey)
	a.lastKey[account] = key
	return key
}

// problem records a violation.
func (a *accounts) problem(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.problems = append(a.problems, fmt.Sprintf(format, args...))
}

func (a *accounts) count(what string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[what]++
}

// draw returns a random account.
func (a *accounts) draw() string { return a.names[a.rng.IntN(len(a.names))] }

// assign gives a job to a random account, unless it belongs to one. It does nothing for a seed without accounts.
func (s *soak) assign(id string) {
	if s.accounts == nil {
		return
	}
	account := s.accounts.draw()
	if s.accounts.of(id) == "" {
		s.own(id, account)
	}
}

// own gives a job to an account.
func (s *soak) own(id, account string) {
	s.accounts.mu.Lock()
	s.accounts.byJob[id] = account
	s.accounts.mu.Unlock()
	s.plat.SetAccount(id, account)
}

// of returns the account of a job, or "".
func (a *accounts) of(id string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byJob[id]
}

// auth returns the headers Authorization that the callers of a job send: with a valid key of its account, or with the last one if
// the account has none. A seed without accounts sends none.
func (s *soak) auth(id string) []string {
	if s.accounts == nil {
		return nil
	}
	return []string{"Bearer " + s.accounts.key(s.plat, s.accounts.of(id))}
}

// key returns a valid key of an account, or the last one if it has none.
func (a *accounts) key(p *plat.Platform, account string) string {
	if keys := p.Account(account).Keys; len(keys) > 0 {
		return keys[len(keys)/2]
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastKey[account]
}

// oneStep are the steps of the jobs that accounts submit besides those of the other checks.
func oneStep(count int, ms int64) ([]jobs.Step, map[string]any) {
	return []jobs.Step{{Count: count, CPU: 2000, MemMB: 1000, EstimateMs: ms}}, map[string]any{"spec": "x", "steps": []any{
		map[string]any{"count": count, "cpu": 2000, "mem_mb": 1000, "estimate_ms": ms},
	}}
}

// submitWith submits a job of an account at a random entry with other headers Authorization than the usual ones, on a goroutine of
// its own. mustRefuse means that no entry may accept it.
func (s *soak) submitWith(account string, headers []string, mustRefuse bool) {
	a := s.accounts
	a.serial++
	id := fmt.Sprintf("%016x", 0xa000+a.serial)
	e := s.entries[a.rng.IntN(len(s.entries))]
	steps, body := oneStep(1+a.rng.IntN(4), 50+a.rng.Int64N(400))
	s.plat.SetSteps(id, steps)
	s.own(id, account)
	a.requests.Go(func() {
		status, _ := s.call(e, http.MethodPost, plat.Prefix+id, headers, body)
		if mustRefuse {
			a.checkRefused(e, http.MethodPost, headers, status)
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		switch {
		case status == http.StatusOK:
			a.accepted[id] = true
		case isRefused(status):
			a.refused[id] = true
		}
	})
}

// isRefused reports whether a status means that the job was not taken and never will be.
func isRefused(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusUnauthorized
}

// badAuth returns headers Authorization with which a request must be refused.
func (s *soak) badAuth() []string {
	a := s.accounts
	valid := a.key(s.plat, a.names[plainAccount])
	switch a.rng.IntN(8) {
	case 0:
		return nil
	case 1:
		return []string{"Bearer " + valid + "x"}
	case 2:
		return []string{"Basic " + valid}
	case 3:
		return []string{"Bearer " + strings.Repeat("k", 64<<10)}
	case 4:
		return []string{"Bearer " + valid, "Bearer " + valid}
	case 5:
		return []string{"Bearer \xff\xfe" + valid}
	case 6:
		return []string{"Bearer"}
	default:
		return []string{"Bearer unknown"}
	}
}

// actAsCallers sends some of the requests of one round: jobs of a hot account, and requests with invalid or revoked keys or with
// keys of another account.
func (s *soak) actAsCallers() {
	a := s.accounts
	if a == nil {
		return
	}
	if time.Now().Before(a.hotUntil) {
		for range min(4, a.hotLeft) {
			a.hotLeft--
			s.submitWith(a.names[hotAccount], []string{"Bearer " + a.key(s.plat, a.names[hotAccount])}, false)
		}
	}
	switch a.rng.IntN(9) {
	case 0:
		s.submitWith(a.draw(), s.badAuth(), true)
	case 1:
		s.queryWith(s.badAuth(), true)
	case 2, 3:
		account := a.draw()
		s.queryWith([]string{"Bearer " + a.key(s.plat, account)}, false)
	case 4, 5:
		a.mu.Lock()
		revoked := slices.Clone(a.revoked)
		a.mu.Unlock()
		if len(revoked) > 0 {
			key := revoked[a.rng.IntN(len(revoked))]
			s.submitWith(s.plat.Key(key).Account, []string{"Bearer " + key}, false)
		}
	}
}

// queryWith sends a query of the state or a cancel of an accepted job, or a query of the length of the queue, with given headers. If
// they have a valid key, only a job of another account is asked for, which must not be shown or cancelled.
func (s *soak) queryWith(headers []string, mustRefuse bool) {
	a := s.accounts
	e := s.entries[a.rng.IntN(len(s.entries))]
	method := []string{http.MethodGet, http.MethodDelete}[a.rng.IntN(2)]
	ids := slices.Sorted(maps.Keys(s.submitted))
	if len(ids) == 0 {
		return
	}
	id := ids[a.rng.IntN(len(ids))]
	if mustRefuse {
		path := plat.Prefix + id
		if a.rng.IntN(4) == 0 {
			method, path = http.MethodGet, plat.Prefix // length of the queue
		}
		a.requests.Go(func() {
			status, _ := s.call(e, method, path, headers, nil)
			a.checkRefused(e, method, headers, status)
		})
		return
	}
	_, key, _ := strings.Cut(headers[0], " ")
	if s.plat.Key(key).Account == a.of(id) {
		return
	}
	a.requests.Go(func() {
		// A job that is over is known by its ID alone (docs/questions.md).
		over := s.plat.Ended(id) || s.plat.MayFail(id)
		status, body := s.call(e, method, plat.Prefix+id, headers, nil)
		if method == http.MethodGet {
			over = strings.Contains(body, "complete") || strings.Contains(body, "failed")
		}
		a.count(fmt.Sprintf("%d to %s of a job of another account", status, method))
		// While an owner does not answer, the cancel of any job, also of an unknown one, is stored and answered 200. That it cancels no
		// job of another account is checked by the state in which these end.
		if status == http.StatusOK && !over && method == http.MethodGet {
			a.problem("ROUTE %s answers %d %s to %s of job %s of %s with %s", e.name, status, body, method, id, a.of(id), key)
		}
	})
}

// accountFaultEvery is the mean number of faults per change of an account.
const accountFaultEvery = 2

// injectAccountFault changes keys or a limit of a random account, or lets an account submit many jobs.
func (s *soak) injectAccountFault() {
	a := s.accounts
	if a == nil || a.rng.IntN(accountFaultEvery) != 0 {
		return
	}
	name := a.draw()
	acc := s.plat.Account(name)
	switch a.rng.IntN(5) {
	case 0:
		s.revokeKey(name, acc.Keys)
	case 1:
		s.logEvent("all keys of %s revoked", name)
		a.noteRevoked(acc.Keys)
		s.plat.RevokeAllKeys(name)
		if a.rng.IntN(3) > 0 { // otherwise the account stays without keys until another fault gives it one
			key, wait := a.newKey(name), time.Duration(500+a.rng.IntN(3500))*time.Millisecond
			time.AfterFunc(wait, func() {
				if !s.ended.Load() {
					s.plat.AddKey(name, key)
				}
			})
		}
	case 2:
		cpu, mem := acc.CPU*2/3, acc.MemMB*2/3
		if acc.CPU == 0 && acc.MemMB == 0 {
			cpu = hotMilliCPU
		}
		if cpu > 0 {
			cpu = max(cpu, minMilliCPU)
		}
		if mem > 0 {
			mem = max(mem, minMemMB)
		}
		s.logEvent("limit of %s lowered to cpu %d, mem_mb %d", name, cpu, mem)
		s.plat.SetLimit(name, cpu, mem)
	case 3:
		cpu, mem := acc.CPU*2, acc.MemMB*2
		if cpu > maxMilliCPU {
			cpu = 0
		}
		s.logEvent("limit of %s raised to cpu %d, mem_mb %d", name, cpu, mem)
		s.plat.SetLimit(name, cpu, mem)
	case 4:
		forTime := time.Duration(500+a.rng.IntN(1500)) * time.Millisecond
		s.logEvent("%s hot for %v", a.names[hotAccount], forTime)
		a.hotUntil = time.Now().Add(forTime)
	}
}

// revokeKey takes one of an account's keys away, and mostly gives it another one before.
func (s *soak) revokeKey(name string, keys []string) {
	a := s.accounts
	if a.rng.IntN(3) > 0 || len(keys) == 0 {
		s.logEvent("another key for %s", name)
		s.plat.AddKey(name, a.newKey(name))
	}
	if len(keys) == 0 {
		return
	}
	key := keys[a.rng.IntN(len(keys))]
	s.logEvent("key %s revoked", key)
	a.noteRevoked([]string{key})
	s.plat.RevokeKey(name, key)
}

func (a *accounts) noteRevoked(keys []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revoked = append(a.revoked, keys...)
}
