package sim

import (
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
)

// loadSpec reads a scenario from testdata.
func loadSpec(t *testing.T, name string, seed uint64) Spec {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name + ".toml")
	assert.NilError(t, err)
	var s Spec
	assert.NilError(t, toml.Unmarshal(data, &s))
	s.Seed = seed
	return s
}

// siteMachines is the number of machines in testdata/printing.toml.
const siteMachines = 48

// siteSeeds is the number of seeds of each day. The figures of one seed differ by several percent from those of another.
const siteSeeds = 2

// siteDay is a day of the printing customer's machines in the simulation.
type siteDay struct {
	name      string
	change    func(s *Spec)
	minServed float64 // share of the worth that callers get at least
	maxMoves  int     // largest number of moves of machines
}

// wave is a wave of upkeep of two fifths of the machines.
var wave = Wave{Machines: 20, MaxDown: 8, FromMs: 3000, ToMs: 28_000}

var siteDays = []siteDay{
	{name: "calm", change: func(*Spec) {}, minServed: 0.8, maxMoves: 6 * siteMachines},
	// The trend of a constant rate is chance: a pool that follows it moves its machines back and forth.
	{name: "steady load", minServed: 0.8, maxMoves: 5 * siteMachines, change: func(s *Spec) {
		for i := range s.Classes {
			s.Classes[i].TurnFactor = 0
		}
	}},
	{name: "wave of upkeep", minServed: 0.8, maxMoves: 6 * siteMachines, change: func(s *Spec) { s.Site.Waves = []Wave{wave} }},
	// The machines of one pool have to come from the others while these are still at work.
	{name: "two fifths more callers", minServed: 0.8, maxMoves: 6 * siteMachines, change: func(s *Spec) {
		for i := range s.Classes {
			s.Classes[i].PerS *= 1.4
		}
	}},
	{name: "rack dark in a wave", minServed: 0.8, maxMoves: 6 * siteMachines, change: func(s *Spec) {
		s.Site.Waves = []Wave{wave}
		s.Dark = []Outage{{VMs: []int{0, 5, 10, 15, 20, 25}, FromMs: 9000, ToMs: 14_000}}
	}},
	{name: "outage of the store, then the loss of all entries", minServed: 0.6, maxMoves: 6 * siteMachines, change: func(s *Spec) {
		s.StoreDown = []Span{{FromMs: 14_000, ToMs: 16_800}}
		s.Site.AllLost, s.Site.RestartMs = []int64{17_200}, 1000
		s.Site.Waves = []Wave{wave}
	}},
	{name: "moves that take three times as long", minServed: 0.4, maxMoves: 6 * siteMachines, change: func(s *Spec) { s.Site.MoveMs = 4500 }},
}

// TestSiteDays guards against decisions of owners and machine controller that together serve few callers, move machines
// back and forth, let a wave end late or break a rule. The pattern is that of four services whose callers come by turns,
// each with more work than its share of the machines holds.
func TestSiteDays(t *testing.T) {
	for _, day := range siteDays {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			var served float64
			var moves int
			for seed := range uint64(siteSeeds) {
				spec := loadSpec(t, "printing", seed+1)
				day.change(&spec)
				r := New(spec).Run()
				t.Log(r)
				assert.Equal(t, len(r.Faults), 0, "seed %d: %v", seed+1, firstFew(r.Faults))
				served += r.Earned / siteSeeds
				moves += r.Moves / siteSeeds
			}
			assert.Check(t, served >= day.minServed, "callers get %.3f of the worth", served)
			assert.Check(t, moves <= day.maxMoves, "%d moves", moves)
		})
	}
}
