package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Rules of outlier ejection.
const (
	failuresInRow = 5
	windowSeconds = 10
	windowResults = 10  // fewer results in the window are no evidence
	windowShare   = 0.5 // of failures among them
	ejectFirst    = 5 * time.Second
	ejectLongest  = 60 * time.Second
	forgiveAfter  = 60 * time.Second // without ejection, the next one is short again
	firstLimit    = 1                // slots of a worker that returns; doubled after as many successes
	lastLimit     = 8
)

// DefaultMaxEjected is the largest fraction of a pool that is ejected at once.
const DefaultMaxEjected = 0.3

// latencyWeight is the weight of a new result in the latency average.
const latencyWeight = 0.2

// Config sets up a Table. Zero fields take defaults.
type Config struct {
	DC         string  // own data centre, which wins ties
	MaxEjected float64 // fraction of the pool; 0 means DefaultMaxEjected
	Seed       uint64  // of the random choices
}

// Table chooses among the workers of one pool by their results. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	rnd     *rand.Rand
	workers map[string]*worker
}

// NewTable returns a table without workers. A worker is added by its first result or by SetMembers.
func NewTable(cfg Config) *Table {
	if cfg.MaxEjected == 0 {
		cfg.MaxEjected = DefaultMaxEjected
	}
	return &Table{
		cfg:     cfg,
		rnd:     rand.New(rand.NewPCG(cfg.Seed, 0)), //nolint:gosec // reproducible choices, not secrets
		workers: map[string]*worker{},
	}
}

// SetMembers sets the workers of the pool, which the limits on ejection are counted against.
// Others are forgotten.
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

func (t *Table) worker(vm string) *worker {
	w := t.workers[vm]
	if w == nil {
		w = &worker{limit: lastLimit}
		t.workers[vm] = w
	}
	return w
}

// Pick chooses a worker: of two random ones that may get more work, the one with the lower product of
// requests in progress and latency. It returns false if none may get more work.
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
	i := t.rnd.IntN(len(open))
	j := t.rnd.IntN(len(open) - 1)
	if j >= i {
		j++
	}
	return t.better(open[i], open[j]).VM, true
}

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

// score is the expected wait: the request itself is counted with those in progress,
// so that among idle workers the faster one wins.
func (t *Table) score(c Candidate) float64 {
	latency := t.usualLatency()
	if w := t.workers[c.VM]; w != nil && w.latency > 0 {
		latency = w.latency
	}
	return float64(c.InUse+1) * latency
}

// usualLatency is the mean over the workers with results. It stands in for a worker
// without results, which would otherwise get all of the work or none.
func (t *Table) usualLatency() float64 {
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

// Report takes the result of an attempt and ejects the worker if the evidence suffices.
func (t *Table) Report(now time.Time, vm string, o Outcome) {
	w := t.worker(vm)
	w.add(now, o)
	if o.Failed && !w.ejected(now) && w.evidence(now) && t.outlier(now, w) && t.mayEject(now) {
		w.eject(now)
	}
}

// outlier says whether w fails more than the median of the pool: when all fail alike,
// the cause is not the worker.
func (t *Table) outlier(now time.Time, w *worker) bool {
	rates := make([]float64, 0, len(t.workers))
	for _, x := range t.workers {
		rates = append(rates, x.rate(now))
	}
	slices.Sort(rates)
	n := len(rates)
	median := rates[n/2]
	if n%2 == 0 {
		median = (rates[n/2-1] + rates[n/2]) / 2
	}
	return w.rate(now) > median
}

func (t *Table) mayEject(now time.Time) bool {
	return float64(len(t.Ejected(now))+1) <= t.cfg.MaxEjected*float64(len(t.workers))
}

// Ejected returns the workers that get no work at the moment, in order.
func (t *Table) Ejected(now time.Time) []string {
	var out []string
	for vm, w := range t.workers {
		if w.ejected(now) {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}

// Limit returns how many requests of this entry the worker may have in progress:
// 0 while it is ejected, then 1, 2, 4 and 8. A worker without a limit has math.MaxInt.
func (t *Table) Limit(now time.Time, vm string) int {
	w := t.workers[vm]
	switch {
	case w == nil:
		return math.MaxInt
	case w.ejected(now):
		return 0
	case w.limit >= lastLimit && w.successes >= lastLimit, w.until.IsZero():
		return math.MaxInt
	}
	return w.limit
}

// worker is what is known of one worker.
type worker struct {
	latency   float64 // seconds, moving average of successes
	inRow     int     // failures since the last success
	buckets   [windowSeconds]bucket
	until     time.Time // end of the latest ejection; zero if never ejected
	length    time.Duration
	limit     int // slots while it returns
	successes int // since the last change of limit
}

// bucket counts the results of one second.
type bucket struct {
	second       int64
	failed, good int
}

func (w *worker) ejected(now time.Time) bool { return now.Before(w.until) }

func (w *worker) add(now time.Time, o Outcome) {
	b := &w.buckets[now.Unix()%windowSeconds]
	if b.second != now.Unix() {
		*b = bucket{second: now.Unix()}
	}
	if o.Failed {
		b.failed++
		w.inRow++
		return
	}
	b.good++
	w.inRow = 0
	if s := o.Elapsed.Seconds(); w.latency == 0 {
		w.latency = s
	} else {
		w.latency += latencyWeight * (s - w.latency)
	}
	if w.until.IsZero() || w.ejected(now) {
		return
	}
	w.successes++
	if w.successes >= w.limit && w.limit < lastLimit {
		w.limit *= 2
		w.successes = 0
	}
}

func (w *worker) window(now time.Time) (failed, all int) {
	for _, b := range w.buckets {
		if age := now.Unix() - b.second; age >= 0 && age < windowSeconds {
			failed += b.failed
			all += b.failed + b.good
		}
	}
	return failed, all
}

// rate is the share of failures in the window, 0 without results.
func (w *worker) rate(now time.Time) float64 {
	failed, all := w.window(now)
	if all == 0 {
		return 0
	}
	return float64(failed) / float64(all)
}

func (w *worker) evidence(now time.Time) bool {
	if w.inRow >= failuresInRow {
		return true
	}
	failed, all := w.window(now)
	return all >= windowResults && float64(failed) >= windowShare*float64(all)
}

func (w *worker) eject(now time.Time) {
	if w.until.IsZero() || now.Sub(w.until) > forgiveAfter {
		w.length = ejectFirst
	} else {
		w.length = min(2*w.length, ejectLongest)
	}
	w.until = now.Add(w.length)
	w.limit, w.successes = firstLimit, 0
	w.buckets = [windowSeconds]bucket{}
	// One more failure after the return ejects it again; a success starts the count anew.
	w.inRow = failuresInRow - 1
}
