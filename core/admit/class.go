package admit

import (
	"container/list"
	"math"
	"time"
)

// Class holds the settings of a class of requests.
type Class struct {
	Name       string
	Rank       int           // 0 is the most urgent
	Share      float64       // guaranteed fraction of the slots
	Ceiling    float64       // maximum fraction of the slots; 0 means 1
	MaxWait    time.Duration // maximum time in the queue; 0 means no limit
	Deferrable bool          // requests run late rather than being refused
}

// class is a weighted fair queue over the tenants of a class, with the observed run time of its requests.
type class struct {
	Class
	index       int // in the configuration
	flows       map[string]*flow
	active      []*flow // flows with queued requests
	waiting     int
	running     int
	virtualTime float64    // virtual start time of the latest started request
	runTime     movingMean // observed run time
	promoted    bool       // served at rank 0 because a deadline is near
	removed     bool       // no longer configured; kept until its requests have ended
}

// flow holds the queued requests of one tenant in a class.
type flow struct {
	tenant    *tenant
	queue     list.List
	nextStart float64 // virtual start time of the first request
}

// effectiveRank returns the rank of the class, or 0 while it is promoted.
func (c *class) effectiveRank() int {
	if c.promoted {
		return 0
	}
	return c.Rank
}

// guaranteedSlots returns the guaranteed share of slots, rounded up.
func (c *class) guaranteedSlots(slots int) int {
	return int(math.Ceil(c.Share*float64(slots) - 1e-9))
}

// maxSlots returns the ceiling of the class out of slots, rounded up and at least 1.
func (c *class) maxSlots(slots int) int {
	if c.Ceiling <= 0 || c.Ceiling >= 1 {
		return slots
	}
	return max(1, int(math.Ceil(c.Ceiling*float64(slots)-1e-9)))
}

// enqueue appends a ticket to the queue of its tenant.
func (c *class) enqueue(t *Ticket, tn *tenant) {
	f := c.flows[t.Tenant]
	if f == nil {
		f = &flow{tenant: tn}
		c.flows[t.Tenant] = f
	}
	if f.queue.Len() == 0 {
		// A tenant does not collect credit while it is idle.
		f.nextStart = max(f.nextStart, c.virtualTime)
		c.active = append(c.active, f)
	}
	t.class, t.flow = c, f
	t.elem = f.queue.PushBack(t)
	c.waiting++
}

// dequeue removes a queued ticket.
func (c *class) dequeue(t *Ticket) {
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

// head returns the next request by weighted fair queueing: of the tenants whose
// first request fits, the one with the earliest virtual start time. It returns
// nil if no request fits. A nil fits accepts all requests.
func (c *class) head(fits func(*Ticket) bool) *Ticket {
	var best *flow
	var ticket *Ticket
	for _, f := range c.active {
		if best != nil && (f.nextStart > best.nextStart || (f.nextStart == best.nextStart && f.tenant.Name > best.tenant.Name)) {
			continue
		}
		t := f.queue.Front().Value.(*Ticket)
		if fits == nil || fits(t) {
			best, ticket = f, t
		}
	}
	return ticket
}

// chargeStart advances the virtual times for the start of a request of f.
func (c *class) chargeStart(f *flow) {
	c.virtualTime = max(c.virtualTime, f.nextStart)
	f.nextStart += 1 / f.tenant.weight()
}

// movingMean is an exponential moving average; the first meanWindow observations have equal weights.
type movingMean struct {
	value float64
	n     int
}

// meanWindow is the number of observations over which run times are averaged.
// A smaller window follows changes faster. With 50 observations the error for
// exponentially distributed run times is about 15%.
const meanWindow = 50

func (m *movingMean) add(x float64) {
	m.n = min(m.n+1, meanWindow)
	m.value += (x - m.value) / float64(m.n)
}

// duration returns the average of observations in seconds as a duration.
func (m *movingMean) duration() time.Duration { return time.Duration(m.value * float64(time.Second)) }
