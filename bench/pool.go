package bench

import (
	"slices"
	"time"
)

// request is a simulated request.
type request struct {
	pool, class, tenant int
	arrived             time.Duration
	size                time.Duration
	deadline            time.Duration // 0 means none
	started             bool          // the first attempt has started
	tried               []string      // workers on which an attempt failed
	measured            bool          // arrived after the warm-up
	calm                bool          // arrived while the rate of its class was not above the mean
}

// maxAttempts is the number of failed attempts after which a request fails.
const maxAttempts = 3

// Durations of attempts that fail.
const (
	failTime       = 5 * time.Millisecond   // on a worker that fails all requests
	connectTimeout = 100 * time.Millisecond // on a lost worker, which does not answer
)

// worker is the actual state of a VM, of which the entries know only a part.
type worker struct {
	name      string
	inUse     int
	overSince time.Duration // time since which inUse exceeds the slots
	bad       bool          // fails all requests
	lost      bool
	queue     []func() // requests that wait on the worker, under KindRandom only
}

// pool holds the workers of a pool and the measurement of its idle slots.
type pool struct {
	w        *world
	index    int
	workers  []*worker
	byName   map[string]*worker
	routable []string   // workers that the entries route to
	queued   func() int // returns the number of queued requests

	accountedUntil time.Duration // time of the last call of accountIdle
	idle           int           // idle slots since then
	waiting        int           // queued requests since then
}

func newPool(w *world, index, size int) *pool {
	p := &pool{w: w, index: index, byName: map[string]*worker{}}
	for i := range size {
		k := &worker{name: w.fleet.workerName(index, i)}
		p.workers = append(p.workers, k)
		p.byName[k.name] = k
		p.routable = append(p.routable, k.name)
	}
	return p
}

// run executes r on the worker and calls ended with the result.
func (p *pool) run(k *worker, r *request, ended func(ok bool)) {
	took, ok := r.size, true
	switch {
	case k.lost:
		// This takes no slot, because nothing runs on a lost worker.
		p.w.at(p.w.now+connectTimeout, func() { ended(false) })
		return
	case k.bad:
		took, ok = failTime, false
	}
	p.takeSlot(k)
	p.w.at(p.w.now+took, func() {
		p.releaseSlot(k)
		ended(ok && !k.lost)
	})
}

func (p *pool) takeSlot(k *worker) {
	k.inUse++
	over := k.inUse - p.w.fleet.Slots
	if over > 0 {
		p.w.stats.OverMax = max(p.w.stats.OverMax, over)
		if over == 1 {
			k.overSince = p.w.now
		}
	}
}

func (p *pool) releaseSlot(k *worker) {
	if k.inUse--; k.inUse == p.w.fleet.Slots {
		p.w.stats.OverLongest = max(p.w.stats.OverLongest, p.w.now-k.overSince)
	}
}

// accountIdle adds the slots that were idle while requests were queued since its last call. It must be called after
// each change of the pool.
func (p *pool) accountIdle() {
	s := p.w.stats
	if p.accountedUntil > warmUp && p.accountedUntil < p.w.scenario.Duration && p.waiting > 0 {
		dt := (p.w.now - p.accountedUntil).Seconds()
		s.queuedSlotTime += dt * float64(len(p.workers)*p.w.fleet.Slots)
		s.idleSlotTime += dt * float64(min(p.idle, p.waiting))
	}
	p.accountedUntil = p.w.now
	p.idle = 0
	for _, k := range p.workers {
		if !k.bad && !k.lost {
			p.idle += max(0, p.w.fleet.Slots-k.inUse)
		}
	}
	p.waiting = p.queued()
}

// loseRack makes the workers of the first rack lost. The entries stop routing to them after listLag.
func (p *pool) loseRack() {
	for _, k := range p.workers[:min(p.w.fleet.Rack, len(p.workers)-1)] {
		k.lost = true
	}
	p.w.at(p.w.now+listLag, func() {
		p.routable = slices.DeleteFunc(slices.Clone(p.routable), func(vm string) bool { return p.byName[vm].lost })
		p.w.engine.viewChanged()
	})
}

// setFailing sets whether a fraction of the workers fails all requests.
func (p *pool) setFailing(part float64, bad bool) {
	n := int(part*float64(len(p.workers)) + 0.5)
	for _, k := range p.workers[:n] {
		k.bad = bad
	}
}
