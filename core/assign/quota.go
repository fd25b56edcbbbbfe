package assign

// quota is a token bucket for orders about machines. The platform accepts a limited number of them per second from all
// processes together, and refuses the others.
type quota struct {
	perS              float64 // 0 for no limit
	available         float64
	availableAtRefill float64 // available orders after the last refill
	refilledAt        int64   // local ms of the last refill, 0 before the first
}

// refill adds the orders for the time since the last refill.
func (q *quota) refill(now int64) {
	capacity := max(q.perS*quotaBurstMs/1000, 1)
	if q.refilledAt == 0 {
		q.available = capacity
	} else {
		q.available = min(q.available+q.perS*float64(now-q.refilledAt)/1000, capacity)
	}
	q.refilledAt, q.availableAtRefill = now, q.available
}

// take reports whether one more order may be sent, and counts it.
func (q *quota) take() bool {
	if q.perS <= 0 {
		return true
	}
	if q.available < 1 {
		return false
	}
	q.available--
	return true
}

// share returns the number of orders in a fraction of those that were available at the last refill, at least one.
func (q *quota) share(fraction float64) int {
	if q.perS <= 0 {
		return unlimitedOrders
	}
	return max(int(q.availableAtRefill*min(fraction, 1)+0.5), 1)
}

// unlimitedOrders is more than any number of machines.
const unlimitedOrders = 1 << 30

// empty discards the available orders after the platform refused one because of its rate limit.
func (q *quota) empty() { q.available = min(q.available, 0) }
