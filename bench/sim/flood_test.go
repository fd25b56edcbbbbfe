package sim

import (
	"testing"

	"gotest.tools/v3/assert"
)

// floodSeeds is the number of seeds of the day on which more is asked than the machines can do.
const floodSeeds = 3

// floodFloor is the share of its worth that a kind of job must earn at least on any day: the highest of the users' floors.
const floodFloor = 0.36

// floodWave is a wave of upkeep of two fifths of the machines of testdata/booking.toml.
var floodWave = Wave{Machines: 46, MaxDown: 18, FromMs: 3800, ToMs: 29_800}

// TestTurnBehindAFloodIsServed guards against a kind of urgent job of which next to none is in time: less urgent work has
// all machines when the turn of the urgent kind begins and keeps them until its items end, and work that has lost its
// value then keeps the machines from the next kind. Of 2,765 jobs 185 were in time.
func TestTurnBehindAFloodIsServed(t *testing.T) {
	served := map[string]float64{}
	for seed := range uint64(floodSeeds) {
		spec := loadSpec(t, "booking", seed+1)
		spec.Site.Waves = []Wave{floodWave}
		r := New(spec).Run()
		t.Log(r)
		assert.Equal(t, len(r.Faults), 0, "seed %d: %v", seed+1, firstFew(r.Faults))
		for _, c := range r.Classes {
			if c.Owed > 0 {
				served[c.Name] += c.Earned / c.Owed / floodSeeds
			}
		}
	}
	for _, name := range []string{"hold", "deposit"} {
		assert.Check(t, served[name] >= floodFloor, "callers of %s get %.3f of the worth", name, served[name])
	}
}
