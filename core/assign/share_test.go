package assign

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Urgencies of the pools in these tests.
const (
	testUrgent = 100
	testLess   = 99
)

// busyFleet returns a view in which each pool has a number of machines and none is offered.
func busyFleet(demands []PoolDemand, have []int) View {
	v := View{ListedAtMs: 10_000, Pools: append(demands, PoolDemand{Pool: "off", Spare: true})}
	for i, p := range demands {
		for n := range have[i] {
			id := fmt.Sprint(p.Pool, n)
			v.Machines = append(v.Machines, pools.Machine{ID: id, VM: "vm-" + id, Pool: p.Pool, State: pools.MachineUp})
		}
	}
	return v
}

// recordedLimits returns the limits that owners read after a controller has planned.
func recordedLimits(t *testing.T, c *Controller, d *jobs.Directory) []jobs.PoolLimit {
	t.Helper()
	records, err := c.TakeRecords()
	assert.NilError(t, err)
	for _, r := range records {
		assert.NilError(t, d.Apply(r))
	}
	return d.Vacate.Limits
}

// TestMachinesAreDividedByUrgency guards against a pool of urgent work that gets no machine while a less urgent one has all
// of them: next to none of 2,765 urgent jobs was in time.
func TestMachinesAreDividedByUrgency(t *testing.T) {
	demand := func(pool string, want, least int, urgent int64) PoolDemand {
		return PoolDemand{Pool: pool, Report: jobs.DemandReport{Want: want, Min: least, Urgent: urgent}}
	}
	for _, c := range []struct {
		name    string
		demands []PoolDemand
		have    []int
		limits  []jobs.PoolLimit
	}{
		{
			name: "enough for all", have: []int{90, 10},
			demands: []PoolDemand{demand("search", 60, 2, testLess), demand("hold", 40, 2, testUrgent)},
		},
		{
			name: "flood of less urgent work", have: []int{97, 3},
			demands: []PoolDemand{demand("search", 150, 0, testLess), demand("hold", 75, 0, testUrgent)},
			limits:  []jobs.PoolLimit{{Service: "search", VMs: 50}},
		},
		{
			name: "equal urgency", have: []int{97, 3},
			demands: []PoolDemand{demand("deposit", 150, 0, testUrgent), demand("hold", 75, 0, testUrgent)},
			limits:  []jobs.PoolLimit{{Service: "deposit", VMs: 66}},
		},
		{
			name: "persistent items keep theirs", have: []int{97, 3},
			demands: []PoolDemand{demand("search", 90, 80, testLess), demand("hold", 75, 0, testUrgent)},
			limits:  []jobs.PoolLimit{{Service: "search", VMs: 81}},
		},
		{
			name: "work without an urgency yields", have: []int{97, 3},
			demands: []PoolDemand{demand("idle", 97, 90, 0), demand("hold", 75, 2, testUrgent)},
			limits:  []jobs.PoolLimit{{Service: "idle", VMs: 90}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := jobs.NewDirectory()
			d.Vacate.Limits = []jobs.PoolLimit{{Service: "gone", VMs: 1}} // of an earlier machine controller
			controller := New(Config{Epoch: 1})
			assert.Equal(t, len(controller.Plan(busyFleet(c.demands, c.have), 10_000)), 0, "machines in use are not moved")
			assert.DeepEqual(t, recordedLimits(t, controller, d), c.limits)
		})
	}
}

// TestPoolGetsNoMoreThanItsShare guards against machines that are given up by one pool and go on to another that already
// has its share.
func TestPoolGetsNoMoreThanItsShare(t *testing.T) {
	v := busyFleet([]PoolDemand{
		{Pool: "search", Report: jobs.DemandReport{Want: 150, Urgent: testLess}},
		{Pool: "hold", Report: jobs.DemandReport{Want: 75, Urgent: testUrgent}},
	}, []int{97, 3})
	for n := range 60 {
		v.Pools[0].Report.Offers = append(v.Pools[0].Report.Offers, fmt.Sprint("vm-search", n))
	}
	orders := New(Config{Epoch: 1}).Plan(v, 10_000)
	assert.Equal(t, len(orders), 47, "50 of 100 machines are the share of the urgent pool")
	for _, o := range orders {
		assert.Equal(t, o.Spec, "hold")
	}
}

// TestWorkBeyondSharesTakesNoMachines guards against a pool that is flooded by one account and so takes machines from the work
// within the shares of other pools.
func TestWorkBeyondSharesTakesNoMachines(t *testing.T) {
	flooded := PoolDemand{Pool: "flooded", Report: jobs.DemandReport{Want: 400, WithinShare: 30, Urgent: testUrgent}}
	turn := PoolDemand{Pool: "turn", Report: jobs.DemandReport{Want: 60, Urgent: testUrgent}}
	for _, c := range []struct {
		name          string
		flooded, turn int
		within        int
		limits        []jobs.PoolLimit
	}{
		{"the rest goes to the flood", 97, 3, 30, []jobs.PoolLimit{{Service: "flooded", VMs: 40}}},
		{"all is within the shares", 97, 3, 0, []jobs.PoolLimit{{Service: "flooded", VMs: 86}}},
		{"too few for the work within the shares", 97, 3, 140, []jobs.PoolLimit{{Service: "flooded", VMs: 70}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			flooded.Report.WithinShare = c.within
			controller := New(Config{Epoch: 1})
			controller.Plan(busyFleet([]PoolDemand{flooded, turn}, []int{c.flooded, c.turn}), 10_000)
			assert.DeepEqual(t, recordedLimits(t, controller, jobs.NewDirectory()), c.limits)
		})
	}
	flooded.Report.WithinShare = 30
	v := busyFleet([]PoolDemand{flooded, turn, {Pool: "gives"}}, []int{30, 30, 40})
	for n := range 20 {
		v.Pools[2].Report.Offers = append(v.Pools[2].Report.Offers, fmt.Sprint("vm-gives", n))
	}
	for _, o := range New(Config{Epoch: 1}).Plan(v, 10_000) {
		assert.Equal(t, o.Spec, "turn", "the pool within its shares comes first")
	}
}

// TestPoolWithoutReportKeepsItsMachines guards against a pool that loses its machines because its demand is not known, which looks like
// a demand of zero, while other pools want more than there are.
func TestPoolWithoutReportKeepsItsMachines(t *testing.T) {
	c, d := New(Config{Epoch: 1, OrdersPerS: 100}), jobs.NewDirectory()
	v := busyFleet([]PoolDemand{
		{Pool: "search", Report: jobs.DemandReport{Want: 150, Urgent: testUrgent}}, {Pool: "unknown", Unreported: true},
	}, []int{40, 60})
	for now := int64(10_000); now < 20_000; now += 100 {
		v.ListedAtMs = now
		assert.Equal(t, len(c.Plan(v, now)), 0, "no machine is ordered away")
		recordedLimits(t, c, d)
		assert.Equal(t, d.Vacate.Limit("unknown"), 0, "no limit")
		assert.Equal(t, len(d.Vacate.VMs), 0)
	}
}
