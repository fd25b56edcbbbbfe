package assign

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// fleet simulates the platform's machines, and counts the upkeeps in progress by itself.
type fleet struct {
	t         *testing.T
	now       int64
	machines  []pools.Machine
	backAt    map[string]int64 // end of the upkeep, by machine
	wave      pools.Wave
	done      map[string]bool
	lifetimes int
	fence     map[string]int64
	demands   []PoolDemand
	directory *jobs.Directory
}

// Intervals of the simulated fleet, in milliseconds.
const (
	testUpkeepMs = 2000
	testTickMs   = 60
	testListMs   = 400
)

func newFleet(t *testing.T, n, maxDown int) *fleet {
	f := &fleet{
		t: t, now: 10_000, backAt: map[string]int64{}, done: map[string]bool{}, fence: map[string]int64{},
		directory: jobs.NewDirectory(), wave: pools.Wave{Number: 1, MaxDown: maxDown},
		demands: []PoolDemand{{Pool: "a"}, {Pool: "off", Spare: true}},
	}
	for i := range n {
		id := fmt.Sprintf("m%02d", i)
		pool := "a"
		if i%2 == 0 {
			pool = "off"
		}
		f.machines = append(f.machines, pools.Machine{ID: id, Pool: pool, VM: "vm-" + id, State: pools.MachineUp})
		f.wave.Machines = append(f.wave.Machines, id)
	}
	return f
}

// down returns the number of machines that are in their upkeep.
func (f *fleet) down() int { return len(f.backAt) }

// execute executes an order like the platform.
func (f *fleet) execute(o pools.Order) pools.Reply {
	if o.Fence < f.fence[o.Item] {
		return pools.Reply{Kind: pools.Fenced}
	}
	f.fence[o.Item] = o.Fence
	for i := range f.machines {
		m := &f.machines[i]
		if m.ID != o.Item || o.Kind != pools.Upkeep || f.done[m.ID] {
			continue
		}
		assert.Assert(f.t, f.down() < f.wave.MaxDown, "too many machines are down at %d ms: %s beside %d others", f.now, m.ID, f.down())
		f.done[m.ID] = true
		m.State, m.VM = pools.MachineBusy, ""
		f.backAt[m.ID] = f.now + testUpkeepMs
	}
	return pools.Reply{Kind: pools.Done}
}

// advance advances the time by one tick and ends the upkeeps that are due.
func (f *fleet) advance() {
	f.now += testTickMs
	for i := range f.machines {
		m := &f.machines[i]
		if at, ok := f.backAt[m.ID]; ok && f.now >= at {
			delete(f.backAt, m.ID)
			f.lifetimes++
			m.State, m.VM = pools.MachineUp, fmt.Sprintf("vm-%s-%d", m.ID, f.lifetimes)
		}
	}
	f.demands[0].Report.Clear = nil
	for i := range f.machines {
		if f.machines[i].Pool == "a" {
			f.demands[0].Report.Clear = append(f.demands[0].Report.Clear, f.machines[i].VM)
		}
	}
}

// run runs a machine controller for forMs. lose returns for the nth order whether its reply is lost, and by how many
// milliseconds later it is executed then; 0 means never.
func (f *fleet) run(epoch, forMs int64, lose func(n int) (bool, int64)) {
	c := New(Config{Epoch: epoch})
	late := map[int64][]pools.Order{}
	var listed []pools.Machine
	var listedAt int64
	n := 0
	for end := f.now + forMs; f.now < end; {
		f.advance()
		for at, orders := range late {
			if f.now >= at {
				for _, o := range orders {
					f.execute(o)
				}
				delete(late, at)
			}
		}
		if f.now-listedAt >= testListMs {
			listed, listedAt = append([]pools.Machine(nil), f.machines...), f.now
		}
		orders := c.Plan(View{
			Waves: []pools.Wave{f.wave}, Machines: listed, ListedAtMs: listedAt, Pools: f.demands, Upkeeps: f.directory.Upkeeps,
		}, f.now)
		records, err := c.TakeRecords()
		assert.NilError(f.t, err)
		for _, o := range orders {
			records = append(records, jobs.Upkeep{Wave: o.Run, Machine: o.Item}.Record(false))
		}
		for _, r := range records {
			assert.NilError(f.t, f.directory.Apply(r))
		}
		for _, o := range orders {
			n++
			if lost, by := lose(n); lost {
				if by > 0 {
					late[f.now+by] = append(late[f.now+by], o)
				}
				c.HandleOrderReply(o, pools.Reply{Kind: pools.NoReply}, f.now)
				continue
			}
			c.HandleOrderReply(o, f.execute(o), f.now)
		}
	}
}

// TestWaveKeepsItsLimit guards against a machine controller that takes down more machines of a wave than allowed: after a
// change of machine controllers in the middle of upkeeps, when the new one does not count the upkeeps of the earlier one,
// and when replies are lost or orders are executed late.
func TestWaveKeepsItsLimit(t *testing.T) {
	never := func(int) (bool, int64) { return false, 0 }
	third := func(n int) (bool, int64) { return n%3 == 0, int64(n%5) * 900 }
	for _, lose := range []func(int) (bool, int64){never, third} {
		f := newFleet(t, 24, 4)
		for epoch := int64(1); epoch <= 6; epoch++ {
			f.run(epoch, 900, lose)
		}
		f.run(7, 60_000, never)
		for _, id := range f.wave.Machines {
			assert.Assert(t, f.done[id], "machine %s had no upkeep", id)
			assert.Assert(t, f.directory.Upkeeps[jobs.Upkeep{Wave: 1, Machine: id}], "upkeep of %s is not recorded as done", id)
		}
	}
}

// TestVacatingGoesOnWhenMachinesGetShort guards against VMs that are vacated over and over: while pools lack machines a wave
// takes fewer VMs, and those that it left got their items back. On a day with 290 VMs to vacate this was begun 605 times, items
// of one step were moved 31 times for 24, and the wave was late.
func TestVacatingGoesOnWhenMachinesGetShort(t *testing.T) {
	const machines, now = 40, 10_000
	v := busyFleet([]PoolDemand{
		{Pool: "busy", Report: jobs.DemandReport{Want: machines, Urgent: testUrgent}},
		{Pool: "lacks", Report: jobs.DemandReport{Urgent: testUrgent}},
	}, []int{machines, 0})
	w := pools.Wave{Number: 1, MaxDown: machines / 2, DueMs: now + 30_000}
	for _, m := range v.Machines {
		w.Machines = append(w.Machines, m.ID)
	}
	v.Waves = []pools.Wave{w}
	c, d := New(Config{Epoch: 1}), jobs.NewDirectory()
	c.Plan(v, now)
	recordedLimits(t, c, d)
	vacated := d.Vacate.VMs
	assert.Equal(t, len(vacated), machines/maxOutDivisor)
	v.Pools[1].Report.Want = machines
	c.Plan(v, now+testTickMs)
	recordedLimits(t, c, d)
	assert.DeepEqual(t, d.Vacate.VMs, vacated)
}
