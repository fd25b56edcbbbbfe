package bench

import (
	"math/rand/v2"
	"time"

	"sassafrasvalve/core/hash"
)

// Setup is one run: what happens to whom under which policy.
type Setup struct {
	Fleet    Fleet
	Scenario Scenario
	Policy   Policy
	Spread   Spread
	Seed     uint64
}

// engine decides where requests run.
type engine interface {
	arrive(entry int, r *request)
	viewChanged()
	lose(entry int)
	freeze(entry int, until time.Duration)
}

// world is the state of one run.
type world struct {
	timeline
	fleet  Fleet
	scen   Scenario
	policy Policy
	rng    *rand.Rand // decisions of the engine; arrivals have their own sources
	pools  []*pool
	engine engine
	stats  *stats
	spread []float64
}

// drainTime bounds the run after the last arrival.
const drainTime = 3 * time.Minute

// Run simulates one setup.
func Run(s Setup) Result {
	w := &world{
		fleet: s.Fleet, scen: s.Scenario, policy: s.Policy,
		rng: rand.New(rand.NewPCG(s.Seed, 1)), stats: newStats(s.Fleet),
		spread: s.Spread.weights(s.Fleet.Entries),
	}
	for i, size := range s.Fleet.Workers {
		w.pools = append(w.pools, newPool(w, i, size))
	}
	if s.Policy.Kind == KindRandom {
		w.engine = newRandomEngine(w)
	} else {
		w.engine = newQueueEngine(w)
	}
	for p := range w.pools {
		for c := range w.fleet.Classes {
			a := &arrivals{w: w, pool: p, class: c, rng: rand.New(rand.NewPCG(s.Seed, uint64(100+10*p+c)))}
			a.next()
		}
	}
	w.faults()
	for w.step(w.scen.Long + drainTime) {
		if w.now > w.scen.Long && w.stats.open == 0 {
			break
		}
	}
	return w.stats.result(s)
}

func (w *world) faults() {
	s := w.scen
	entry := 0
	if s.OwnerOfFirst {
		members := make([]string, 0, w.fleet.Entries)
		for e := range w.fleet.Entries {
			members = append(members, w.fleet.member(e))
		}
		for e, m := range members {
			if m == hash.Owner(w.fleet.poolName(0), members) {
				entry = e
			}
		}
	}
	for _, p := range w.pools {
		if s.BadPart > 0 {
			w.at(s.FailFrom, func() { p.spoil(s.BadPart, true) })
			w.at(s.FailUntil, func() { p.spoil(s.BadPart, false) })
		}
		if s.RackAt > 0 {
			w.at(s.RackAt, p.lose)
		}
	}
	if s.EntryAt > 0 {
		w.at(s.EntryAt, func() { w.engine.lose(entry) })
	}
	if s.FreezeAt > 0 {
		w.at(s.FreezeAt, func() { w.engine.freeze(entry, s.FreezeAt+s.FreezeFor) })
	}
}

// arrivals makes the requests of one class for one pool. It draws the same
// number of values for each candidate, so that all policies and scenarios of a
// seed see the same ones.
type arrivals struct {
	w           *world
	pool, class int
	rng         *rand.Rand
}

func (a *arrivals) next() {
	w, c := a.w, a.w.fleet.Classes[a.class]
	slots := float64(w.fleet.Workers[a.pool] * w.fleet.Slots)
	perSecond := slots * c.Load / c.Service.Seconds()
	gap := time.Duration(a.rng.ExpFloat64() / (perSecond * floodFactor) * float64(time.Second))
	accept, size, entry, tenant := a.rng.Float64(), a.rng.ExpFloat64(), a.rng.Float64(), a.rng.Float64()
	at := w.now + gap
	if at > w.scen.Long {
		return
	}
	w.at(at, func() {
		if accept*floodFactor < w.scen.Rate(w.fleet, a.pool, a.class, w.now) {
			a.arrive(size, entry, tenant)
		}
		a.next()
	})
}

func (a *arrivals) arrive(size, entry, tenant float64) {
	w, c := a.w, a.w.fleet.Classes[a.class]
	factor := 1.0
	if w.scen.Sizes != nil {
		factor = w.scen.Sizes[a.class]
	}
	r := &request{
		pool: a.pool, class: a.class, arrived: w.now, measured: w.now >= warmUp,
		calm: w.scen.Rate(w.fleet, a.pool, a.class, w.now) <= 1,
		size: time.Duration(size * factor * float64(c.Service)),
	}
	if c.Within > 0 {
		r.deadline = w.now + c.Within
	}
	for tenant >= w.fleet.Tenants[r.tenant].Part && r.tenant < len(w.fleet.Tenants)-1 {
		tenant -= w.fleet.Tenants[r.tenant].Part
		r.tenant++
	}
	e := 0
	for e < len(w.spread)-1 && entry >= w.spread[e] {
		e++
	}
	w.stats.offered(r)
	w.engine.arrive(e, r)
}
