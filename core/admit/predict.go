package admit

import (
	"math"
	"time"
)

// never is the predicted wait where nothing completes.
const never = time.Hour

// Pool is the load of the whole pool, as its owner last told. The entry's own
// slots say little about the future, since the owner moves slots to demand.
type Pool struct {
	Slots int   // over all entries; 0 means that the owner's view is not known
	Run   []int // per class: requests in progress at all entries
	Wait  []int // per class: requests queued at all entries
	// Pending says that slots may be given at any moment, so that having none
	// is no reason to refuse.
	Pending bool
}

// SetPool says what the whole pool has to do. Without an owner's view the
// predictions rest on the entry's own slots.
func (q *Queue) SetPool(p Pool) { q.pool = p }

// load returns the requests of c in progress and queued: pool-wide if known.
func (q *Queue) load(c *class) (run, wait int) {
	if q.pool.Slots == 0 {
		return c.running, c.waiting
	}
	run, wait = c.running, c.waiting
	if c.index < len(q.pool.Run) {
		run = max(run, q.pool.Run[c.index])
	}
	if c.index < len(q.pool.Wait) {
		wait = max(wait, q.pool.Wait[c.index])
	}
	return run, wait
}

// capacity returns the slots that predictions count with.
func (q *Queue) capacity() int { return max(q.slots, q.pool.Slots) }

// predict returns the expected wait of a request of c with ahead requests
// queued before it here. Without an observed run time it is 0: the first
// requests are the observation.
func (q *Queue) predict(c *class, ahead int) time.Duration {
	if q.running < q.slots && ahead == 0 {
		return 0
	}
	if q.capacity() == 0 {
		if q.pool.Pending {
			return 0
		}
		return never
	}
	busy, work, inUse := 0, 0.0, 0
	for _, o := range q.classes {
		run, _ := q.load(o)
		inUse += run
		if o.run.n > 0 {
			busy += run
			work += float64(run) * o.run.value
		}
	}
	mean := c.run.value
	if busy > 0 {
		mean = work / float64(busy)
	}
	_, wait := q.load(c)
	if mean == 0 || (wait == 0 && inUse < q.capacity()) {
		return 0
	}
	slots := q.slotsFor(c)
	if slots <= 0 {
		return never
	}
	// Slots follow demand, so the entry's part of the pool is its part of the queue.
	scale := float64(wait+1) / float64(c.waiting+1)
	seconds := float64(ahead+1) * scale / slots * mean
	if seconds > never.Seconds() {
		return never
	}
	return time.Duration(seconds * float64(time.Second))
}

// slotsFor returns how many slots c gets while all classes keep their present
// load: its guarantee, or what higher ranks and the guarantees of lower ranks leave.
func (q *Queue) slotsFor(c *class) float64 {
	capacity := q.capacity()
	left := capacity
	for _, o := range q.classes {
		run, wait := q.load(o)
		switch {
		case o == c:
		case o.rank() < c.rank():
			left -= min(run+wait, o.ceiling(capacity))
		default:
			left -= min(run+wait, o.guarantee(capacity))
		}
	}
	left = min(left, c.ceiling(capacity))
	return max(float64(left), c.Share*float64(capacity))
}

// ahead returns how many queued requests of c start before the next n-th one of tn,
// by the weights of the tenants that have some queued.
func (q *Queue) ahead(c *class, tn *tenant, n int) int {
	own := n - 1
	if f := c.flows[tn.Name]; f != nil {
		own += f.queue.Len()
	}
	return q.before(c, tn, own)
}

// before returns how many queued requests of c start before the one of tn that
// has own requests of its tenant before it.
func (q *Queue) before(c *class, tn *tenant, own int) int {
	n := own
	for _, f := range c.active {
		if f.tenant == tn {
			continue
		}
		turn := math.Ceil(float64(own+1) * f.tenant.weight() / tn.weight())
		n += min(f.queue.Len(), int(turn))
	}
	return n
}

// hopelessMargin is how far beyond its bound the prediction for a queued
// request must be before it is refused. Without it, noise in the prediction
// refuses requests that were admitted a moment before.
const hopelessMargin = 1.25

// ExpireQueued refuses queued requests that cannot start in time any more and
// promotes deferrable classes whose deadline is near. The caller answers the
// returned requests. Call it every 100 ms or so and when the slots become fewer.
func (q *Queue) ExpireQueued(now time.Time) []Expired {
	var out []Expired
	for _, c := range q.classes {
		for _, f := range append([]*flow(nil), c.active...) {
			out = append(out, q.examine(now, c, f)...)
		}
	}
	q.promote(now)
	return out
}

// Expired is a queued request that was refused.
type Expired struct {
	Ticket  *Ticket
	Refusal *Refusal
}

func (q *Queue) examine(now time.Time, c *class, f *flow) []Expired {
	var out []Expired
	own := 0
	for e := f.queue.Front(); e != nil; {
		t := e.Value.(*Ticket)
		e = e.Next()
		latest := t.latest()
		var start time.Time
		switch {
		case c.removed:
			out = append(out, Expired{t, &Refusal{CauseUnknown, "class " + c.Name + " was removed from the configuration", now.Add(maxRetry)}})
		case latest.IsZero():
			own++
			continue
		default:
			start = now.Add(q.predict(c, q.before(c, f.tenant, own)))
			late := t.Arrived.Add(time.Duration(hopelessMargin * float64(latest.Sub(t.Arrived))))
			if now.Before(latest) && !start.After(late) {
				own++
				continue
			}
			out = append(out, Expired{t, tooLate(now, start, t)})
		}
		q.drop(t, Refused)
		q.counts.Refused++
	}
	return out
}

// promotionFactor is how many times the predicted work left must fit before
// the deadline; a class with less time is promoted.
const promotionFactor = 2

// promote decides which deferrable classes are served at rank 0.
func (q *Queue) promote(now time.Time) {
	changed := false
	for _, c := range q.classes {
		p := c.Deferrable && c.waiting > 0 && q.urgent(now, c)
		changed = changed || p != c.promoted
		c.promoted = p
	}
	if changed {
		q.order()
	}
}

// urgent reports whether less than twice the predicted work of c is left
// before the earliest deadline at the head of its tenants' queues.
func (q *Queue) urgent(now time.Time, c *class) bool {
	var first time.Time
	for _, f := range c.active {
		d := f.queue.Front().Value.(*Ticket).Deadline
		if !d.IsZero() && (first.IsZero() || d.Before(first)) {
			first = d
		}
	}
	if first.IsZero() {
		return false
	}
	slots := max(1, c.Share*float64(q.slots))
	work := float64(c.waiting+c.running) * c.run.value / slots
	return now.Add(time.Duration(promotionFactor * work * float64(time.Second))).After(first)
}
