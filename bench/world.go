package bench

import (
	"math/rand/v2"
	"time"

	"sassafrasvalve/core/hash"
)

// Setup selects the fleet, the scenario, the policy, the spread and the seed of one run.
type Setup struct {
	Fleet    Fleet
	Scenario Scenario
	Policy   Policy
	Spread   Spread
	Seed     uint64
}

// engine queues requests and decides on which worker each of them runs.
type engine interface {
	arrive(entry int, r *request)
	viewChanged()
	lose(entry int)
	freeze(entry int, until time.Duration)
}

// world is the state of one run.
type world struct {
	timeline
	fleet    Fleet
	scenario Scenario
	policy   Policy
	rng      *rand.Rand // for the engine and lost messages; arrivals have their own sources
	pools    []*pool
	engine   engine
	stats    *stats
	spread   []float64
}

// drainTime is the maximum time for which a run continues after the last arrival.
const drainTime = 3 * time.Minute

// Run simulates one setup.
func Run(s Setup) Result {
	w := &world{
		fleet: s.Fleet, scenario: s.Scenario, policy: s.Policy,
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
			a.scheduleNext()
		}
	}
	w.faults()
	for w.step(w.scenario.Duration + drainTime) {
		if w.now > w.scenario.Duration && w.stats.openRequests == 0 {
			break
		}
	}
	return w.stats.result(s)
}

// faults schedules the faults of the scenario.
func (w *world) faults() {
	s := w.scenario
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
			w.at(s.FailFrom, func() { p.setFailing(s.BadPart, true) })
			w.at(s.FailUntil, func() { p.setFailing(s.BadPart, false) })
		}
		if s.RackAt > 0 {
			w.at(s.RackAt, p.loseRack)
		}
	}
	if s.EntryAt > 0 {
		w.at(s.EntryAt, func() { w.engine.lose(entry) })
	}
	if s.FreezeAt > 0 {
		w.at(s.FreezeAt, func() { w.engine.freeze(entry, s.FreezeAt+s.FreezeFor) })
	}
}

// arrivals generates the requests of one class for one pool. It draws candidates at the rate of a burst and accepts the
// fraction that the scenario's rate requires. It draws the same number of values for each candidate, so that all
// policies and scenarios of a seed see the same candidates.
type arrivals struct {
	w           *world
	pool, class int
	rng         *rand.Rand
}

func (a *arrivals) scheduleNext() {
	w, c := a.w, a.w.fleet.Classes[a.class]
	slots := float64(w.fleet.Workers[a.pool] * w.fleet.Slots)
	perSecond := slots * c.Load / c.Service.Seconds()
	gap := time.Duration(a.rng.ExpFloat64() / (perSecond * burstFactor) * float64(time.Second))
	accept, size, entry, tenant := a.rng.Float64(), a.rng.ExpFloat64(), a.rng.Float64(), a.rng.Float64()
	at := w.now + gap
	if at > w.scenario.Duration {
		return
	}
	w.at(at, func() {
		if accept*burstFactor < w.scenario.Rate(w.fleet, a.pool, a.class, w.now) {
			a.arrive(size, entry, tenant)
		}
		a.scheduleNext()
	})
}

func (a *arrivals) arrive(size, entry, tenant float64) {
	w, c := a.w, a.w.fleet.Classes[a.class]
	factor := 1.0
	if w.scenario.Sizes != nil {
		factor = w.scenario.Sizes[a.class]
	}
	r := &request{
		pool: a.pool, class: a.class, arrived: w.now, measured: w.now >= warmUp,
		calm: w.scenario.Rate(w.fleet, a.pool, a.class, w.now) <= 1,
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
