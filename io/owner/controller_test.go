package owner

import (
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/clock"
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
