package owner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/pools"
)

// TestWholeGangIsQueued guards against a gang of which some members are never started: more orders to one VM came at once than its queue
// held.
func TestWholeGangIsQueued(t *testing.T) {
	const width = 2000
	q := newOrderQueue()
	for i := range width {
		assert.Assert(t, q.push(pools.Order{Item: fmt.Sprint(i)}))
	}
	for i := range width {
		<-q.wake
		o, waited := q.pop()
		assert.Assert(t, waited)
		assert.Equal(t, o.Item, fmt.Sprint(i))
	}
	_, waited := q.pop()
	assert.Assert(t, !waited)
	assert.Equal(t, len(q.wake), 0)
	for range maxQueuedOrders {
		assert.Assert(t, q.push(pools.Order{}))
	}
	assert.Assert(t, !q.push(pools.Order{}), "the queue is bounded")
}
