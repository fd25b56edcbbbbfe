package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of outlier ejection.
const (
	maxConsecutiveFailures = 5 // failures in a row from which a worker may be ejected
	windowSeconds          = 10
	minWindowResults       = 10  // with fewer results in the window its failure rate is ignored
	minFailureShare        = 0.5 // failure rate in the window from which a worker may be ejected
	minEjection            = 5 * time.Second
	maxEjection            = 60 * time.Second
	ejectionResetAfter     = 60 * time.Second // time without ejection after which the next one is minEjection long again
	initialLimit           = 1                // request limit of a returning worker; doubled after as many successes
	maxLimit               = 8                // after as many successes at this limit, the worker has no limit
)

// DefaultMaxEjected is the maximum fraction of a pool that is ejected at once.
const DefaultMaxEjected = 0.3

// latencyWeight is the weight of a new result in the moving average of the latency.
const latencyWeight = 0.2

// Config holds the settings of a Table. Zero fields take defaults.
type Config struct {
	DC         string  // own data centre, preferred between equal workers
	MaxEjected float64 // maximum ejected fraction of the pool; 0 means DefaultMaxEjected
	Seed       uint64  // seed of the random choices
}

// Table chooses between the workers of one pool by the results of earlier attempts. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	rng     *rand.Rand
	workers map[string]*worker
}

// NewTable returns a table without workers. A worker is added by its first result or by SetMembers.
func NewTable(cfg Config) *Table {
	if cfg.MaxEjected == 0 {
		cfg.MaxEjected = DefaultMaxEjected
	}
	return &Table{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0)), //nolint:gosec // reproducible choices, not secrets
		workers: map[string]*worker{},
	}
}

// SetMembers sets the workers of the pool and deletes the state of others. MaxEjected is a fraction of these workers.
func (t *Table) SetMembers(vms []string) {
	for vm := range t.workers {
		if !slices.Contains(vms, vm) {
			delete(t.workers, vm)
		}
	}
	for _, vm := range vms {
		t.worker(vm)
	}
}

// worker returns the state of vm and adds it if it is new.
func (t *Table) worker(vm string) *worker {
	w := t.workers[vm]
	if w == nil {
		w = &worker{limit: maxLimit}
		t.workers[vm] = w
	}
	return w
}

// Pick chooses a worker: of two random candidates below their limits, the one with the lower product of
// requests in progress and latency. It returns false if all candidates have reached their limits.
func (t *Table) Pick(now time.Time, cs []Candidate) (string, bool) {
	open := make([]Candidate, 0, len(cs))
	for _, c := range cs {
		if c.InUse < t.Limit(now, c.VM) {
			open = append(open, c)
		}
	}
	switch len(open) {
	case 0:
		return "", false
	case 1:
		return open[0].VM, true
	}
	i := t.rng.IntN(len(open))
	j := t.rng.IntN(len(open) - 1)
	if j >= i {
		j++
	}
	return t.better(open[i], open[j]).VM, true
}

// better returns the candidate with the lower score. Between equal ones it prefers the own data centre.
func (t *Table) better(a, b Candidate) Candidate {
	sa, sb := t.score(a), t.score(b)
	switch {
	case sa < sb:
		return a
	case sb < sa:
		return b
	case b.DC == t.cfg.DC && a.DC != t.cfg.DC:
		return b
	}
	return a
}

// score returns the expected wait. The new request is counted with those in progress, so that the
// faster one of two idle workers wins.
func (t *Table) score(c Candidate) float64 {
	latency := t.meanLatency()
	if w := t.workers[c.VM]; w != nil && w.latency > 0 {
		latency = w.latency
	}
	return float64(c.InUse+1) * latency
}

// meanLatency returns the mean latency of the workers with results. It is assumed for a worker
// without results, which would otherwise get all of the requests or none.
func (t *Table) meanLatency() float64 {
	sum, n := 0.0, 0
	for _, w := range t.workers {
		if w.latency > 0 {
			sum += w.latency
			n++
		}
	}
	if n == 0 {
		return 1
	}
	// Rounding keeps the result independent of the order of the map.
	return math.Round(sum/float64(n)*1e6) / 1e6
}

// Report records the result of an attempt and ejects the worker if it fails often, is an outlier, and few enough
// workers are ejected.
func (t *Table) Report(now time.Time, vm string, o Outcome) {
	w := t.worker(vm)
	w.record(now, o)
	if o.Failed && !w.isEjected(now) && w.hasEvidence(now) && t.isOutlier(now, w) && t.mayEject(now) {
		w.eject(now)
	}
}

// isOutlier reports whether the failure rate of w is above the median of the pool. If all workers fail alike,
// the cause is not the worker.
func (t *Table) isOutlier(now time.Time, w *worker) bool {
	rates := make([]float64, 0, len(t.workers))
	for _, x := range t.workers {
		rates = append(rates, x.failureRate(now))
	}
	slices.Sort(rates)
	n := len(rates)
	median := rates[n/2]
	if n%2 == 0 {
		median = (rates[n/2-1] + rates[n/2]) / 2
	}
	return w.failureRate(now) > median
}

// mayEject reports whether one more ejection stays within MaxEjected.
func (t *Table) mayEject(now time.Time) bool {
	return float64(len(t.Ejected(now))+1) <= t.cfg.MaxEjected*float64(len(t.workers))
}

// Ejected returns the ejected workers in ascending order. They get no requests.
func (t *Table) Ejected(now time.Time) []string {
	var out []string
	for vm, w := range t.workers {
		if w.isEjected(now) {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}

// Limit returns the maximum number of requests of this entry in progress on the worker:
// 0 while it is ejected, then 1, 2, 4 and 8. It is math.MaxInt for a worker without a limit.
func (t *Table) Limit(now time.Time, vm string) int {
	w := t.workers[vm]
	switch {
	case w == nil:
		return math.MaxInt
	case w.isEjected(now):
		return 0
	case w.limit >= maxLimit && w.successes >= maxLimit, w.ejectedUntil.IsZero():
		return math.MaxInt
	}
	return w.limit
}

// worker is the state of one worker.
type worker struct {
	latency             float64 // moving average over successes in seconds
	consecutiveFailures int     // failures since the last success
	buckets             [windowSeconds]bucket
	ejectedUntil        time.Time     // end of the latest ejection; zero if never ejected
	ejectionTime        time.Duration // length of the latest ejection
	limit               int           // request limit while it returns from an ejection
	successes           int           // since the last change of limit
}

// bucket counts the results of one second.
type bucket struct {
	second            int64
	failed, succeeded int
}

func (w *worker) isEjected(now time.Time) bool { return now.Before(w.ejectedUntil) }

// record adds a result to the window, the latency and the limit of the worker.
func (w *worker) record(now time.Time, o Outcome) {
	b := &w.buckets[now.Unix()%windowSeconds]
	if b.second != now.Unix() {
		*b = bucket{second: now.Unix()}
	}
	if o.Failed {
		b.failed++
		w.consecutiveFailures++
		return
	}
	b.succeeded++
	w.consecutiveFailures = 0
	if s := o.Elapsed.Seconds(); w.latency == 0 {
		w.latency = s
	} else {
		w.latency += latencyWeight * (s - w.latency)
	}
	if w.ejectedUntil.IsZero() || w.isEjected(now) {
		return
	}
	w.successes++
	if w.successes >= w.limit && w.limit < maxLimit {
		w.limit *= 2
		w.successes = 0
	}
}

// windowCounts returns the number of failures and of all results in the window.
func (w *worker) windowCounts(now time.Time) (failed, all int) {
	for _, b := range w.buckets {
		if age := now.Unix() - b.second; age >= 0 && age < windowSeconds {
			failed += b.failed
			all += b.failed + b.succeeded
		}
	}
	return failed, all
}

// failureRate returns the share of failures in the window, or 0 without results.
func (w *worker) failureRate(now time.Time) float64 {
	failed, all := w.windowCounts(now)
	if all == 0 {
		return 0
	}
	return float64(failed) / float64(all)
}

// hasEvidence reports whether the worker has failed often enough to be ejected.
func (w *worker) hasEvidence(now time.Time) bool {
	if w.consecutiveFailures >= maxConsecutiveFailures {
		return true
	}
	failed, all := w.windowCounts(now)
	return all >= minWindowResults && float64(failed) >= minFailureShare*float64(all)
}

// eject ejects the worker. Each ejection is twice as long as the one before, up to maxEjection.
func (w *worker) eject(now time.Time) {
	if w.ejectedUntil.IsZero() || now.Sub(w.ejectedUntil) > ejectionResetAfter {
		w.ejectionTime = minEjection
	} else {
		w.ejectionTime = min(2*w.ejectionTime, maxEjection)
	}
	w.ejectedUntil = now.Add(w.ejectionTime)
	w.limit, w.successes = initialLimit, 0
	w.buckets = [windowSeconds]bucket{}
	// The first failure after the return ejects it again, unless a success has reset the count.
	w.consecutiveFailures = maxConsecutiveFailures - 1
}
