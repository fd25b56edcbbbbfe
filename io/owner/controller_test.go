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

// countedCloud counts the orders about machines.
type countedCloud struct{ n atomic.Int64 }

func (c *countedCloud) ListMachines(time.Time) ([]pools.Machine, error) { return nil, nil }

func (c *countedCloud) Upkeep(pools.Order, time.Time) (pools.Reply, error) {
	return c.Move(pools.Order{}, time.Time{})
}

func (c *countedCloud) Move(pools.Order, time.Time) (pools.Reply, error) {
	c.n.Add(1)
	return pools.Reply{Kind: pools.Done}, nil
}

// TestSuspendedKeeperSendsNoOrder guards against a machine controller that wakes from a suspension and sends orders which it
// planned before: another machine controller may have ordered the machine since, and where fences are not checked nothing else
// refuses them.
func TestSuspendedKeeperSendsNoOrder(t *testing.T) {
	cloud := &countedCloud{}
	o := &Owner{}
	o.owning.Store(true)
	r := &keeperRun{cfg: ControllerConfig{Cloud: cloud}, o: o, log: zap.NewNop()}
	for _, kind := range []pools.OrderKind{pools.Move, pools.Upkeep} {
		o.health.confirmed.Store(clock.BootMs())
		assert.Equal(t, r.order(pools.Order{Kind: kind}).Kind, pools.Done)
		o.health.confirmed.Store(clock.BootMs() - currentMs) // as after a suspension that lasts as long
		assert.Equal(t, r.order(pools.Order{Kind: kind}).Kind, pools.NotExecuted)
	}
	assert.Equal(t, cloud.n.Load(), int64(2))
}
