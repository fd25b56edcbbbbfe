package owner

import (
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/assign"
	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// countingCloud counts machine orders. It carries out none.
type countingCloud struct{ n atomic.Int64 }

func (c *countingCloud) ListMachines(time.Time) ([]pools.Machine, error) { return nil, nil }

func (c *countingCloud) Upkeep(pools.Order, time.Time) (pools.Reply, error) {
	return c.Move(pools.Order{}, time.Time{})
}

func (c *countingCloud) Move(pools.Order, time.Time) (pools.Reply, error) {
	c.n.Add(1)
	return pools.Reply{Kind: pools.Done}, nil
}

// TestSuspendedControllerSendsNoOrder guards against a machine controller that resumes after a suspension and sends orders
// planned before it. Another machine controller may have sent orders for the same machine since, and a platform that does
// not check fence numbers accepts both.
func TestSuspendedControllerSendsNoOrder(t *testing.T) {
	cloud := &countingCloud{}
	o := &Owner{}
	o.owning.Store(true)
	r := &controllerRun{cfg: ControllerConfig{Cloud: cloud}, o: o, log: zap.NewNop()}
	for _, kind := range []pools.OrderKind{pools.Move, pools.Upkeep} {
		o.health.confirmedAtMs.Store(clock.BootMs())
		assert.Equal(t, r.sendOrder(pools.Order{Kind: kind}).Kind, pools.Done)
		o.health.confirmedAtMs.Store(clock.BootMs() - ownershipConfirmationMs) // as after a suspension of that length
		assert.Equal(t, r.sendOrder(pools.Order{Kind: kind}).Kind, pools.NotExecuted)
	}
	assert.Equal(t, cloud.n.Load(), int64(2))
}

// TestQueuedOrderOfAVMInUseIsNotSent guards against an order that waits behind others to a slow platform and ends the work on a VM that its
// pool's owner uses again by then.
func TestQueuedOrderOfAVMInUseIsNotSent(t *testing.T) {
	cloud := &countingCloud{}
	o := &Owner{}
	o.owning.Store(true)
	now := clock.BootMs()
	o.health.confirmedAtMs.Store(now)
	view := assign.View{
		ListedAtMs: now,
		Machines:   []pools.Machine{{ID: "m", VM: "vm", Pool: "a", State: pools.MachineUp}},
		Pools: []assign.PoolDemand{
			{Pool: "a", Report: jobs.DemandReport{Offers: []string{"vm"}}}, {Pool: "b", Report: jobs.DemandReport{Want: 1}},
		},
	}
	r := &controllerRun{cfg: ControllerConfig{Cloud: cloud}, o: o, log: zap.NewNop(), controller: assign.New(assign.Config{Epoch: 1})}
	orders := r.controller.Plan(view, now)
	assert.Equal(t, len(orders), 1)
	view.Pools[0].Report.Offers = nil
	assert.Equal(t, len(r.controller.Plan(view, now)), 0)
	r.carryOut(orders[0])
	assert.Equal(t, cloud.n.Load(), int64(0), "the order is sent")
	view.Pools[0].Report.Offers = []string{"vm"}
	later := now + time.Second.Milliseconds()
	view.ListedAtMs = later
	orders = r.controller.Plan(view, later)
	assert.Equal(t, len(orders), 1)
	r.carryOut(orders[0])
	assert.Equal(t, cloud.n.Load(), int64(1))
}
