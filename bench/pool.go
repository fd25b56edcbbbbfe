package bench

import (
	"slices"
	"time"
)

// request is one arrival on its way through the fleet.
type request struct {
	pool, class, tenant int
	arrived             time.Duration
	size                time.Duration
	deadline            time.Duration // 0 means none
	started             bool          // a first attempt has begun
	tried               []string
	measured            bool // arrived after the warm-up
	calm                bool // arrived while its class asked for no more than its mean
}

// maxAttempts is how often a request is sent before its failure counts.
const maxAttempts = 3

// Times of attempts that fail.
const (
	badWorkerTime  = 5 * time.Millisecond   // a worker that fails everything does so quickly
	connectTimeout = 100 * time.Millisecond // a lost worker does not answer
)

// worker is a VM as it really is, whatever the entries believe.
type worker struct {
	name  string
	use   int
	over  time.Duration // since when use exceeds the slots
	bad   bool
	lost  bool
	queue []func() // requests that wait on the worker itself, under KindRandom only
}

// pool is the workers of a pool with what is measured of them.
type pool struct {
	w       *world
	index   int
	workers []*worker
	byName  map[string]*worker
	view    []string // workers that the entries route to
	queued  func() int

	mark    time.Duration // newest account
	idle    int
	waiting int
}

func newPool(w *world, index, size int) *pool {
	p := &pool{w: w, index: index, byName: map[string]*worker{}}
	for i := range size {
		k := &worker{name: w.fleet.workerName(index, i)}
		p.workers = append(p.workers, k)
		p.byName[k.name] = k
		p.view = append(p.view, k.name)
	}
	return p
}

// run executes r on the worker and calls ended with its outcome.
func (p *pool) run(k *worker, r *request, ended func(ok bool)) {
	took, ok := r.size, true
	switch {
	case k.lost:
		// Not counted as use of a slot: nothing runs there.
		p.w.at(p.w.now+connectTimeout, func() { ended(false) })
		return
	case k.bad:
		took, ok = badWorkerTime, false
	}
	p.take(k)
	p.w.at(p.w.now+took, func() {
		p.release(k)
		ended(ok && !k.lost)
	})
}

func (p *pool) take(k *worker) {
	k.use++
	over := k.use - p.w.fleet.Slots
	if over > 0 {
		p.w.stats.OverMax = max(p.w.stats.OverMax, over)
		if over == 1 {
			k.over = p.w.now
		}
	}
}

func (p *pool) release(k *worker) {
	if k.use--; k.use == p.w.fleet.Slots {
		p.w.stats.OverLongest = max(p.w.stats.OverLongest, p.w.now-k.over)
	}
}

// account adds up idle slots while requests are queued. Call it after each change.
func (p *pool) account() {
	s := p.w.stats
	if p.mark > warmUp && p.mark < p.w.scen.Long && p.waiting > 0 {
		dt := (p.w.now - p.mark).Seconds()
		s.queuedSlotTime += dt * float64(len(p.workers)*p.w.fleet.Slots)
		s.idleSlotTime += dt * float64(min(p.idle, p.waiting))
	}
	p.mark = p.w.now
	p.idle = 0
	for _, k := range p.workers {
		if !k.bad && !k.lost {
			p.idle += max(0, p.w.fleet.Slots-k.use)
		}
	}
	p.waiting = p.queued()
}

// lose ends the first rack. The entries learn of it after the list's lag.
func (p *pool) lose() {
	for _, k := range p.workers[:min(p.w.fleet.Rack, len(p.workers)-1)] {
		k.lost = true
	}
	p.w.at(p.w.now+listLag, func() {
		p.view = slices.DeleteFunc(slices.Clone(p.view), func(vm string) bool { return p.byName[vm].lost })
		p.w.engine.viewChanged()
	})
}

// spoil sets whether the given part of the workers fails everything.
func (p *pool) spoil(part float64, bad bool) {
	n := int(part*float64(len(p.workers)) + 0.5)
	for _, k := range p.workers[:n] {
		k.bad = bad
	}
}
