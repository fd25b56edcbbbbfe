package bench

import "time"

// randomEngine is a reference engine without slot sharing. Each entry sends a request at once to a random worker, which
// queues the requests above its slots.
type randomEngine struct {
	w      *world
	queued []int // requests that wait on workers, by pool
}

func newRandomEngine(w *world) *randomEngine {
	e := &randomEngine{w: w, queued: make([]int, len(w.pools))}
	for i, p := range w.pools {
		p.queued = func() int { return e.queued[i] }
	}
	return e
}

func (e *randomEngine) arrive(_ int, r *request) {
	p := e.w.pools[r.pool]
	k := p.byName[p.routable[e.w.rng.IntN(len(p.routable))]]
	begin := func() {
		e.w.stats.started(e.w.now, r)
		p.run(k, r, func(ok bool) { e.ended(p, k, r, ok) })
		p.accountIdle()
	}
	if k.inUse < e.w.fleet.Slots || k.lost {
		begin()
		return
	}
	e.queued[r.pool]++
	k.queue = append(k.queue, begin)
	p.accountIdle()
}

func (e *randomEngine) ended(p *pool, k *worker, r *request, ok bool) {
	if len(k.queue) > 0 && k.inUse < e.w.fleet.Slots {
		begin := k.queue[0]
		k.queue = k.queue[1:]
		e.queued[r.pool]--
		begin()
	}
	p.accountIdle()
	if ok {
		e.w.stats.ended(e.w.now, r, outcomeDone)
		return
	}
	r.tried = append(r.tried, k.name)
	if len(r.tried) >= maxAttempts {
		e.w.stats.ended(e.w.now, r, outcomeFailed)
		return
	}
	e.arrive(0, r)
}

func (e *randomEngine) viewChanged()              {}
func (e *randomEngine) lose(int)                  {}
func (e *randomEngine) freeze(int, time.Duration) {}
