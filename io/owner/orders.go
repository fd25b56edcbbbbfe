package owner

import (
	"sync"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// maxQueuedOrders bounds the orders that wait for one VM: a start and a stop of each item of the widest job.
const maxQueuedOrders = 2 * jobs.MaxItems

// orderQueue holds the orders that wait for one VM. It grows with them, as a gang is sent as a whole. It is safe for concurrent use.
type orderQueue struct {
	wake chan struct{} // signalled while orders wait; its capacity is 1

	mu   sync.Mutex
	list []pools.Order
}

func newOrderQueue() *orderQueue { return &orderQueue{wake: make(chan struct{}, 1)} }

// push queues an order. It returns false if too many wait.
func (q *orderQueue) push(o pools.Order) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.list) >= maxQueuedOrders {
		return false
	}
	q.list = append(q.list, o)
	q.signal()
	return true
}

// pop removes and returns the first order, false if there is none. It signals wake if further orders wait.
func (q *orderQueue) pop() (pools.Order, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.list) == 0 {
		return pools.Order{}, false
	}
	o := q.list[0]
	q.list[0] = pools.Order{} // its strings may be freed
	if q.list = q.list[1:]; len(q.list) > 0 {
		q.signal()
	}
	return o, true
}

// len returns the number of orders that wait.
func (q *orderQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.list)
}

// signal makes a receiver of wake call pop. It is called with mu held.
func (q *orderQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}
