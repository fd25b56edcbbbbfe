package admit

import (
	"math"
	"time"
)

// maxPredictedWait bounds predictions and is predicted while no request can complete.
const maxPredictedWait = time.Hour

// PoolLoad is the load of the whole pool as of its owner's last reply. Predictions
// rest on it because the slots of the entry alone change as the owner moves
// slots to where requests are queued.
type PoolLoad struct {
	Slots int   // over all entries; 0 if the owner's view is unknown
	Run   []int // per class: requests in progress at all entries
	Wait  []int // per class: requests queued at all entries
	// SlotsPending is true if the owner may lend slots at any moment. Requests are
	// then not refused for a lack of slots.
	SlotsPending bool
}

// SetPoolLoad sets the load of the whole pool. While the owner's view is unknown,
// predictions use the entry's own slots.
func (q *Queue) SetPoolLoad(p PoolLoad) { q.pool = p }

// classLoad returns the requests of c in progress and queued, in the whole pool if its load is known.
func (q *Queue) classLoad(c *class) (run, wait int) {
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

// predictionSlots returns the number of slots that predictions assume.
func (q *Queue) predictionSlots() int { return max(q.slots, q.pool.Slots) }

// predictWait returns the expected wait of a request of c with ahead requests
// queued before it at this entry. It is 0 until a run time has been observed,
// so that the first requests are admitted and can be measured.
func (q *Queue) predictWait(c *class, ahead int) time.Duration {
	if q.running < q.slots && ahead == 0 {
		return 0
	}
	if q.predictionSlots() == 0 {
		if q.pool.SlotsPending {
			return 0
		}
		return maxPredictedWait
	}
	busy, work, inUse := 0, 0.0, 0
	for _, o := range q.classes {
		run, _ := q.classLoad(o)
		inUse += run
		if o.runTime.n > 0 {
			busy += run
			work += float64(run) * o.runTime.value
		}
	}
	mean := c.runTime.value
	if busy > 0 {
		mean = work / float64(busy)
	}
	_, wait := q.classLoad(c)
	if mean == 0 || (wait == 0 && inUse < q.predictionSlots()) {
		return 0
	}
	slots := q.expectedSlots(c)
	if slots <= 0 {
		return maxPredictedWait
	}
	// The owner lends slots by demand, so the entry's share of the slots equals its share of the queue.
	scale := float64(wait+1) / float64(c.waiting+1)
	seconds := float64(ahead+1) * scale / slots * mean
	if seconds > maxPredictedWait.Seconds() {
		return maxPredictedWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// expectedSlots returns the number of slots that c gets while the load of all
// classes stays the same: its guaranteed share, or more if the classes of higher
// rank and the guarantees of the others leave more.
func (q *Queue) expectedSlots(c *class) float64 {
	capacity := q.predictionSlots()
	left := capacity
	for _, o := range q.classes {
		run, wait := q.classLoad(o)
		switch {
		case o == c:
		case o.effectiveRank() < c.effectiveRank():
			left -= min(run+wait, o.maxSlots(capacity))
		default:
			left -= min(run+wait, o.guaranteedSlots(capacity))
		}
	}
	left = min(left, c.maxSlots(capacity))
	return max(float64(left), c.Share*float64(capacity))
}

// aheadOfNew returns the number of queued requests of c that start before the
// n-th new request of tn, by the weights of the tenants with queued requests.
func (q *Queue) aheadOfNew(c *class, tn *tenant, n int) int {
	own := n - 1
	if f := c.flows[tn.Name]; f != nil {
		own += f.queue.Len()
	}
	return q.aheadOfQueued(c, tn, own)
}

// aheadOfQueued returns the number of queued requests of c that start before the
// request of tn that has own requests of its tenant before it.
func (q *Queue) aheadOfQueued(c *class, tn *tenant, own int) int {
	n := own
	for _, f := range c.active {
		if f.tenant == tn {
			continue
		}
		before := math.Ceil(float64(own+1) * f.tenant.weight() / tn.weight())
		n += min(f.queue.Len(), int(before))
	}
	return n
}

// expiryMargin is the factor by which the predicted wait of a queued request
// must exceed its longest useful wait for the request to be refused ahead of its
// latest start. Without it, noise in the prediction would refuse requests that
// were just admitted.
const expiryMargin = 1.25

// ExpireQueued refuses queued requests that can no longer start in time or whose
// class was removed, and promotes deferrable classes with a near deadline. The
// caller must answer the returned requests. Call it about every 100 ms and when
// the number of slots decreases.
func (q *Queue) ExpireQueued(now time.Time) []Expired {
	var out []Expired
	for _, c := range q.classes {
		for _, f := range append([]*flow(nil), c.active...) {
			out = append(out, q.expireFlow(now, c, f)...)
		}
	}
	q.updatePromotions(now)
	return out
}

// Expired is a queued request that was refused.
type Expired struct {
	Ticket  *Ticket
	Refusal *Refusal
}

// expireFlow refuses the requests of f that can no longer start in time.
func (q *Queue) expireFlow(now time.Time, c *class, f *flow) []Expired {
	var out []Expired
	own := 0
	for e := f.queue.Front(); e != nil; {
		t := e.Value.(*Ticket)
		e = e.Next()
		latest := t.latestStart()
		var start time.Time
		switch {
		case c.removed:
			out = append(out, Expired{t, &Refusal{CauseUnknown, "class " + c.Name + " was removed from the configuration", now.Add(maxRetry)}})
		case latest.IsZero():
			own++
			continue
		default:
			start = now.Add(q.predictWait(c, q.aheadOfQueued(c, f.tenant, own)))
			late := t.Arrived.Add(time.Duration(expiryMargin * float64(latest.Sub(t.Arrived))))
			if now.Before(latest) && !start.After(late) {
				own++
				continue
			}
			out = append(out, Expired{t, tooLateRefusal(now, start, t)})
		}
		q.removeQueued(t, Refused)
		q.counts.Refused++
	}
	return out
}

// promotionFactor is the factor on the predicted time for the remaining work of
// a class. The class is promoted if less time is left before the deadline.
const promotionFactor = 2

// updatePromotions decides which deferrable classes are served at rank 0.
func (q *Queue) updatePromotions(now time.Time) {
	changed := false
	for _, c := range q.classes {
		p := c.Deferrable && c.waiting > 0 && q.deadlineNear(now, c)
		changed = changed || p != c.promoted
		c.promoted = p
	}
	if changed {
		q.sortByRank()
	}
}

// deadlineNear reports whether the time left before the earliest deadline at
// the head of c's tenant queues is less than twice the predicted time for the
// work of c.
func (q *Queue) deadlineNear(now time.Time, c *class) bool {
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
	work := float64(c.waiting+c.running) * c.runTime.value / slots
	return now.Add(time.Duration(promotionFactor * work * float64(time.Second))).After(first)
}
