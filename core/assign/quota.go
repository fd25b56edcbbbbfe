package assign

// quota counts the orders about machines that may be given. The platform takes a number of them a second from all
// processes, and refuses the others.
type quota struct {
	perS   float64 // 0 for any number
	left   float64
	filled float64 // of the last turn
	at     int64   // local ms of the last turn, 0 before the first
}

// refill adds what has become free since the last turn.
func (q *quota) refill(now int64) {
	most := max(q.perS*burstMs/1000, 1)
	if q.at == 0 {
		q.left = most
	} else {
		q.left = min(q.left+q.perS*float64(now-q.at)/1000, most)
	}
	q.at, q.filled = now, q.left
}

// take reports whether one more order may be given, and counts it.
func (q *quota) take() bool {
	if q.perS <= 0 {
		return true
	}
	if q.left < 1 {
		return false
	}
	q.left--
	return true
}

// part returns how many orders make a share of this turn's, at least one.
func (q *quota) part(share float64) int {
	if q.perS <= 0 {
		return unlimited
	}
	return max(int(q.filled*min(share, 1)+0.5), 1)
}

// unlimited is above every number of machines.
const unlimited = 1 << 30

// empty notes that the platform takes no more at present.
func (q *quota) empty() { q.left = min(q.left, 0) }
