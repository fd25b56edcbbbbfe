package admit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Config holds the settings of a Queue.
type Config struct {
	Classes       []Class
	Tenants       []Tenant
	RoundUpShares bool // round guaranteed shares up at each entry, regardless of the class's slots at other entries
}

// Queue holds the requests of one pool at one entry. It is not safe for concurrent use.
type Queue struct {
	classes []*class // in the order of the configuration, removed ones last
	byRank  []*class // sorted by effective rank
	roundUp bool
	byName  map[string]*class
	tenants map[string]*tenant
	slots   int // slots that the entry may use, including those in use
	pool    PoolLoad
	running int
	waiting int
	counts  Counts
}

// Counts holds the numbers of requests since the start: all that were offered, and how they started and ended.
type Counts struct {
	Offered, Started, Done, Refused, Cancelled int
}

// New returns an empty queue without slots.
func New(now time.Time, cfg Config) *Queue {
	q := &Queue{byName: map[string]*class{}, tenants: map[string]*tenant{}}
	q.Configure(now, cfg)
	return q
}

// Configure applies new settings. Queued requests of a removed class are refused
// and returned by the next call of ExpireQueued.
func (q *Queue) Configure(now time.Time, cfg Config) {
	q.roundUp = cfg.RoundUpShares
	for _, c := range q.byName {
		c.removed = true
	}
	var classes []*class
	for i, s := range cfg.Classes {
		c := q.byName[s.Name]
		if c == nil {
			c = &class{flows: map[string]*flow{}}
			q.byName[s.Name] = c
		}
		c.Class, c.index, c.removed = s, i, false
		classes = append(classes, c)
	}
	for _, c := range q.classes {
		if !c.removed {
			continue
		}
		if c.waiting+c.running == 0 {
			delete(q.byName, c.Name)
			continue
		}
		classes = append(classes, c)
	}
	q.classes = classes
	for _, s := range cfg.Tenants {
		q.tenant(s.Name).configure(now, s)
	}
	q.sortByRank()
}

// sortByRank updates byRank after a change of the settings or of a promotion.
func (q *Queue) sortByRank() {
	q.byRank = slices.Clone(q.classes)
	slices.SortStableFunc(q.byRank, func(a, b *class) int { return cmp.Compare(a.effectiveRank(), b.effectiveRank()) })
}

// tenant returns the tenant called name and adds it with default settings if it is new.
func (q *Queue) tenant(name string) *tenant {
	t := q.tenants[name]
	if t == nil {
		t = &tenant{Tenant: Tenant{Name: name}}
		q.tenants[name] = t
	}
	return t
}

// SetSlots sets the number of slots that the entry may use, including those in use.
func (q *Queue) SetSlots(n int) { q.slots = n }

// Enqueue queues a request. It returns a Refusal instead if the class is
// unknown, the tenant exceeds its rate, or the request cannot start in time.
func (q *Queue) Enqueue(now time.Time, r Request) (*Ticket, *Refusal) {
	q.counts.Offered++
	c := q.byName[r.Class]
	if c == nil || c.removed {
		q.counts.Refused++
		return nil, &Refusal{CauseUnknown, fmt.Sprintf("class %q is not configured", r.Class), now.Add(maxRetry)}
	}
	t := &Ticket{Request: r, Arrived: now, class: c}
	tn := q.tenant(r.Tenant)
	if latest := t.latestStart(); !latest.IsZero() {
		start := now.Add(q.predictWait(c, q.aheadOfNew(c, tn, 1)))
		if start.After(latest) {
			q.counts.Refused++
			return nil, tooLateRefusal(now, start, t)
		}
	}
	if wait := tn.takeToken(now); wait > 0 {
		q.counts.Refused++
		return nil, &Refusal{CauseQuota, fmt.Sprintf("tenant %q is over its rate of %g requests a second", r.Tenant, tn.Rate), retryAt(now, wait)}
	}
	c.enqueue(t, tn)
	q.waiting++
	return t, nil
}

// Next starts the request that is next for a free slot and returns it, or nil
// if none may start. It skips requests for which fits returns false; a nil fits
// accepts all.
func (q *Queue) Next(now time.Time, fits func(*Ticket) bool) *Ticket {
	if q.waiting == 0 || q.running >= q.slots {
		return nil
	}
	for _, c := range q.byRank {
		if c.waiting > 0 && c.running < q.entitledSlots(c) {
			if t := c.head(fits); t != nil {
				return q.start(now, t)
			}
		}
	}
	for _, c := range q.byRank {
		if c.waiting > 0 && c.running < c.maxSlots(q.slots) && q.mayBorrow(c) {
			if t := c.head(fits); t != nil {
				return q.start(now, t)
			}
		}
	}
	return nil
}

// entitledSlots returns the number of slots at this entry that c may use before
// classes are served by rank. The guaranteed share of a few slots is seldom a
// whole number. It is rounded up only while the class is below its share of the
// whole pool; otherwise classes of lower rank would get several slots too many
// over all entries.
func (q *Queue) entitledSlots(c *class) int {
	if q.roundUp || q.pool.Slots == 0 {
		return c.guaranteedSlots(q.slots)
	}
	if run, _ := q.classLoad(c); float64(run) < c.Share*float64(q.pool.Slots) {
		return c.guaranteedSlots(q.slots)
	}
	return int(c.Share*float64(q.slots) + 1e-9)
}

// mayBorrow reports whether a request of c may start beyond the guaranteed
// share. The idle share of another class is reserved if, by the observed run
// time of c, it could not be returned within that class's MaxWait.
func (q *Queue) mayBorrow(c *class) bool {
	reserved := 0
	for _, o := range q.classes {
		if o != c && o.MaxWait > 0 && c.runTime.duration() > o.MaxWait {
			reserved += max(0, o.guaranteedSlots(q.slots)-o.running)
		}
	}
	return q.running+reserved < q.slots
}

func (q *Queue) start(now time.Time, t *Ticket) *Ticket {
	t.class.dequeue(t)
	t.class.chargeStart(t.flow)
	t.class.running++
	t.Started = now
	t.state = Running
	q.waiting--
	q.running++
	q.counts.Started++
	return t
}

// Finish ends a request in progress. If ran is true, the request ran to its end
// and its run time is recorded. Finish returns false if the request was not in
// progress.
func (q *Queue) Finish(now time.Time, t *Ticket, ran bool) bool {
	if t.state != Running {
		return false
	}
	t.state = Done
	t.class.running--
	q.running--
	q.counts.Done++
	if ran {
		t.class.runTime.add(now.Sub(t.Started).Seconds())
	}
	return true
}

// Cancel removes a queued request. It returns false if the request is not queued.
func (q *Queue) Cancel(t *Ticket) bool {
	if t.state != Waiting || t.elem == nil {
		return false
	}
	q.removeQueued(t, Cancelled)
	q.counts.Cancelled++
	return true
}

// removeQueued removes a queued request and sets its final state.
func (q *Queue) removeQueued(t *Ticket, s State) {
	t.class.dequeue(t)
	t.state = s
	q.waiting--
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.waiting }

// QueueLengths returns the number of queued requests per class in the order of the configuration.
func (q *Queue) QueueLengths() []int {
	out := make([]int, 0, len(q.classes))
	for _, c := range q.classes {
		if !c.removed {
			out = append(out, c.waiting)
		}
	}
	return out
}

// Counts returns the numbers of requests since the start.
func (q *Queue) Counts() Counts { return q.counts }

// Load is the load of a class at this entry.
type Load struct {
	Class    string
	Waiting  int
	Running  int
	Promoted bool
	RunTime  time.Duration // observed moving average, 0 without observations
}

// Loads returns the load per class in the order of the configuration.
func (q *Queue) Loads() []Load {
	var out []Load
	for _, c := range q.classes {
		if !c.removed {
			out = append(out, Load{c.Name, c.waiting, c.running, c.promoted, c.runTime.duration()})
		}
	}
	return out
}
