package admit

import (
	"container/list"
	"math"
	"time"
)

// Class is the settings of a kind of work.
type Class struct {
	Name       string
	Rank       int     // 0 is the most urgent
	Share      float64 // guaranteed fraction of the slots
	Ceiling    float64 // largest fraction of the slots; 0 means 1
	MaxWait    time.Duration
	Deferrable bool
}

// class is a fair queue over tenants with what was observed of its requests.
type class struct {
	Class
	index    int
	flows    map[string]*flow
	active   []*flow // flows with queued requests
	waiting  int
	running  int
	virtual  float64 // virtual start time of the newest started request
	run      mean    // observed run time
	promoted bool    // served at rank 0, since its deadline is near
	removed  bool    // not in the configuration any more; its requests still end
}

// flow is the queued requests of one tenant in a class.
type flow struct {
	tenant *tenant
	queue  list.List
	next   float64 // virtual start time of its first request
}

// rank returns the place in the order of classes, with promotion.
func (c *class) rank() int {
	if c.promoted {
		return 0
	}
	return c.Rank
}

func (c *class) guarantee(slots int) int {
	return int(math.Ceil(c.Share*float64(slots) - 1e-9))
}

func (c *class) ceiling(slots int) int {
	if c.Ceiling <= 0 || c.Ceiling >= 1 {
		return slots
	}
	return max(1, int(math.Ceil(c.Ceiling*float64(slots)-1e-9)))
}

// push queues a ticket behind the others of its tenant.
func (c *class) push(t *Ticket, tn *tenant) {
	f := c.flows[t.Tenant]
	if f == nil {
		f = &flow{tenant: tn}
		c.flows[t.Tenant] = f
	}
	if f.queue.Len() == 0 {
		// A tenant that was idle gets no credit for it.
		f.next = max(f.next, c.virtual)
		c.active = append(c.active, f)
	}
	t.class, t.flow = c, f
	t.elem = f.queue.PushBack(t)
	c.waiting++
}

// remove takes a queued ticket out.
func (c *class) remove(t *Ticket) {
	f := t.flow
	f.queue.Remove(t.elem)
	t.elem = nil
	c.waiting--
	if f.queue.Len() > 0 {
		return
	}
	for i, g := range c.active {
		if g == f {
			c.active[i] = c.active[len(c.active)-1]
			c.active = c.active[:len(c.active)-1]
			break
		}
	}
}

// head returns the first request of the tenant that is furthest behind its
// weight among those that fit, or nil.
func (c *class) head(fits func(*Ticket) bool) *Ticket {
	var best *flow
	var ticket *Ticket
	for _, f := range c.active {
		if best != nil && (f.next > best.next || (f.next == best.next && f.tenant.Name > best.tenant.Name)) {
			continue
		}
		t := f.queue.Front().Value.(*Ticket)
		if fits == nil || fits(t) {
			best, ticket = f, t
		}
	}
	return ticket
}

// charge accounts for the start of a request of f.
func (c *class) charge(f *flow) {
	c.virtual = max(c.virtual, f.next)
	f.next += 1 / f.tenant.weight()
}

// mean is a moving average over the last observations.
type mean struct {
	value float64
	n     int
}

// meanWindow is the number of observations over which run times are averaged.
// Fewer follow a change faster; 50 keep the error of exponential run times at about 15%.
const meanWindow = 50

func (m *mean) add(x float64) {
	m.n = min(m.n+1, meanWindow)
	m.value += (x - m.value) / float64(m.n)
}

func (m *mean) duration() time.Duration { return time.Duration(m.value * float64(time.Second)) }
