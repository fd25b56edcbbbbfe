package admit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Config is the settings of a queue.
type Config struct {
	Classes []Class
	Tenants []Tenant
	RoundUp bool // guaranteed shares are rounded up at each entry, whatever the class has elsewhere
}

// Queue holds the requests of one pool at one entry. It is not safe for concurrent use.
type Queue struct {
	classes []*class // in the order of the configuration, removed ones last
	byRank  []*class
	roundUp bool
	byName  map[string]*class
	tenants map[string]*tenant
	slots   int // slots that the entry may use, those in use included
	pool    Pool
	running int
	waiting int
	counts  Counts
}

// Counts is the number of requests that ended in each way since the start.
type Counts struct {
	Offered, Started, Done, Refused, Cancelled int
}

// New returns an empty queue without slots.
func New(now time.Time, cfg Config) *Queue {
	q := &Queue{byName: map[string]*class{}, tenants: map[string]*tenant{}}
	q.Configure(now, cfg)
	return q
}

// Configure takes over new settings. Queued requests of a class that is gone
// are refused; the caller gets them from ExpireQueued.
func (q *Queue) Configure(now time.Time, cfg Config) {
	q.roundUp = cfg.RoundUp
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
		q.tenant(s.Name).set(now, s)
	}
	q.order()
}

// order sorts the classes by rank, after a change of settings or promotion.
func (q *Queue) order() {
	q.byRank = slices.Clone(q.classes)
	slices.SortStableFunc(q.byRank, func(a, b *class) int { return cmp.Compare(a.rank(), b.rank()) })
}

func (q *Queue) tenant(name string) *tenant {
	t := q.tenants[name]
	if t == nil {
		t = &tenant{Tenant: Tenant{Name: name}}
		q.tenants[name] = t
	}
	return t
}

// SetSlots says how many slots the entry may use, those in use included.
func (q *Queue) SetSlots(n int) { q.slots = n }

// Enqueue queues a request. It returns a *Refusal instead if the tenant is over
// its rate or the request cannot start in time.
func (q *Queue) Enqueue(now time.Time, r Request) (*Ticket, *Refusal) {
	q.counts.Offered++
	c := q.byName[r.Class]
	if c == nil || c.removed {
		q.counts.Refused++
		return nil, &Refusal{CauseUnknown, fmt.Sprintf("class %q is not configured", r.Class), now.Add(maxRetry)}
	}
	t := &Ticket{Request: r, Arrived: now, class: c}
	tn := q.tenant(r.Tenant)
	if latest := t.latest(); !latest.IsZero() {
		start := now.Add(q.predict(c, q.ahead(c, tn, 1)))
		if start.After(latest) {
			q.counts.Refused++
			return nil, tooLate(now, start, t)
		}
	}
	if wait := tn.wait(now); wait > 0 {
		q.counts.Refused++
		return nil, &Refusal{CauseQuota, fmt.Sprintf("tenant %q is over its rate of %g requests a second", r.Tenant, tn.Rate), retryAt(now, wait)}
	}
	c.push(t, tn)
	q.waiting++
	return t, nil
}

// Next starts the request that is due for a free slot and returns it, or nil
// if none may start. A request for which fits returns false is passed over;
// a nil fits accepts all.
func (q *Queue) Next(now time.Time, fits func(*Ticket) bool) *Ticket {
	if q.waiting == 0 || q.running >= q.slots {
		return nil
	}
	for _, c := range q.byRank {
		if c.waiting > 0 && c.running < q.entitled(c) {
			if t := c.head(fits); t != nil {
				return q.start(now, t)
			}
		}
	}
	for _, c := range q.byRank {
		if c.waiting > 0 && c.running < c.ceiling(q.slots) && q.mayBorrow(c) {
			if t := c.head(fits); t != nil {
				return q.start(now, t)
			}
		}
	}
	return nil
}

// entitled returns how many slots here c has ahead of all ranks. A share of few
// slots is seldom a whole number: it is rounded up only while the class is
// under its share of the whole pool. Always rounding up would give the classes
// of lower rank several slots too many over all entries.
func (q *Queue) entitled(c *class) int {
	if q.roundUp || q.pool.Slots == 0 {
		return c.guarantee(q.slots)
	}
	if run, _ := q.load(c); float64(run) < c.Share*float64(q.pool.Slots) {
		return c.guarantee(q.slots)
	}
	return int(c.Share*float64(q.slots) + 1e-9)
}

// mayBorrow reports whether a request of c may start beyond its guarantee. The
// idle share of a class that could not have it back within its MaxWait, by the
// observed run time of c, is kept free.
func (q *Queue) mayBorrow(c *class) bool {
	kept := 0
	for _, o := range q.classes {
		if o != c && o.MaxWait > 0 && c.run.duration() > o.MaxWait {
			kept += max(0, o.guarantee(q.slots)-o.running)
		}
	}
	return q.running+kept < q.slots
}

func (q *Queue) start(now time.Time, t *Ticket) *Ticket {
	t.class.remove(t)
	t.class.charge(t.flow)
	t.class.running++
	t.Started = now
	t.state = Running
	q.waiting--
	q.running++
	q.counts.Started++
	return t
}

// Done ends a request in progress and takes in its run time if it ran to its
// end. It returns false if the request was not in progress.
func (q *Queue) Done(now time.Time, t *Ticket, ran bool) bool {
	if t.state != Running {
		return false
	}
	t.state = Done
	t.class.running--
	q.running--
	q.counts.Done++
	if ran {
		t.class.run.add(now.Sub(t.Started).Seconds())
	}
	return true
}

// Cancel takes a queued request out. It returns false if the request is not queued.
func (q *Queue) Cancel(t *Ticket) bool {
	if t.state != Waiting || t.elem == nil {
		return false
	}
	q.drop(t, Cancelled)
	q.counts.Cancelled++
	return true
}

func (q *Queue) drop(t *Ticket, s State) {
	t.class.remove(t)
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

// Load is what a class has in the queue and in progress.
type Load struct {
	Class    string
	Waiting  int
	Running  int
	Promoted bool
	RunTime  time.Duration // observed mean, 0 without an observation
}

// Loads returns the load per class in the order of the configuration.
func (q *Queue) Loads() []Load {
	var out []Load
	for _, c := range q.classes {
		if !c.removed {
			out = append(out, Load{c.Name, c.waiting, c.running, c.promoted, c.run.duration()})
		}
	}
	return out
}
