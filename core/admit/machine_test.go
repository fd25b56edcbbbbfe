package admit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// model checks a queue against the states of each request that were reported to callers.
type model struct {
	q       *Queue
	now     time.Time
	slots   int
	tickets []*Ticket
	states  map[*Ticket]State // as reported to the caller
	running int
}

var modelClasses = []Class{
	{Name: "hold", Rank: 0, Share: 0.4, MaxWait: 2 * time.Second},
	{Name: "list", Rank: 1, Share: 0.3, MaxWait: 4 * time.Second},
	{Name: "bulk", Rank: 2, Share: 0.1, Deferrable: true},
}

// recordState records a state that is reported to the caller, and fails on a second final state.
func (m *model) recordState(t *rapid.T, x *Ticket, s State) {
	if was, ok := m.states[x]; ok && was.Final() {
		t.Fatalf("request %v ended as %v and as %v", x.Value, was, s)
	}
	m.states[x] = s
	assert.Equal(t, x.State(), s)
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": m.check,
		"advance": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
		},
		"slots": func(t *rapid.T) {
			m.slots = rapid.IntRange(0, 12).Draw(t, "slots")
			m.q.SetSlots(m.slots)
		},
		"offer": func(t *rapid.T) {
			r := Request{
				Class:  modelClasses[rapid.IntRange(0, 2).Draw(t, "class")].Name,
				Tenant: rapid.SampledFrom([]string{"north", "south"}).Draw(t, "tenant"), Value: len(m.tickets),
			}
			if rapid.Bool().Draw(t, "deadline") {
				r.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			}
			x, refusal := m.q.Enqueue(m.now, r)
			assert.Assert(t, (x == nil) != (refusal == nil))
			if refusal != nil {
				assert.Assert(t, refusal.RetryAt.After(m.now))
				assert.Assert(t, r.Class != "bulk", "deferrable work was refused: %v", refusal)
				return
			}
			m.tickets = append(m.tickets, x)
			m.states[x] = Waiting
		},
		"next": m.startNext,
		"more": m.startNext, // a second name makes starts more frequent
		"done": func(t *rapid.T) {
			if x := m.randomTicket(t, Running); x != nil {
				assert.Assert(t, m.q.Finish(m.now, x, true))
				m.recordState(t, x, Done)
				m.running--
			}
		},
		"cancel": func(t *rapid.T) {
			if len(m.tickets) == 0 {
				return
			}
			x := m.tickets[rapid.IntRange(0, len(m.tickets)-1).Draw(t, "ticket")]
			was := x.State()
			assert.Equal(t, m.q.Cancel(x), was == Waiting)
			if was == Waiting {
				m.recordState(t, x, Cancelled)
			}
		},
		"expire": func(t *rapid.T) {
			for _, x := range m.q.ExpireQueued(m.now) {
				assert.Assert(t, x.Ticket.Class != "bulk", "deferrable work was refused: %v", x.Refusal)
				m.recordState(t, x.Ticket, Refused)
			}
			for _, x := range m.tickets {
				if x.State() == Waiting && !x.latestStart().IsZero() {
					assert.Assert(t, m.now.Before(x.latestStart()), "a request waits beyond its latest useful start")
				}
			}
		},
	}
}

func (m *model) randomTicket(t *rapid.T, s State) *Ticket {
	var xs []*Ticket
	for _, x := range m.tickets {
		if x.State() == s {
			xs = append(xs, x)
		}
	}
	if len(xs) == 0 {
		return nil
	}
	return xs[rapid.IntRange(0, len(xs)-1).Draw(t, "ticket")]
}

func (m *model) startNext(t *rapid.T) {
	before := map[string]int{}
	waiting := map[string]bool{}
	for _, l := range m.q.Loads() {
		before[l.Class], waiting[l.Class] = l.Running, l.Waiting > 0
	}
	x := m.q.Next(m.now, nil)
	if x == nil {
		return
	}
	m.recordState(t, x, Running)
	m.running++
	assert.Assert(t, m.running <= m.slots, "%d requests on %d slots", m.running, m.slots)
	for _, c := range modelClasses {
		under := waiting[c.Name] && float64(before[c.Name]) < c.Share*float64(m.slots)-1e-9
		if under && x.Class != c.Name {
			// A class below its guarantee may be passed over only for another class that is below its own.
			own := x.class
			assert.Assert(t, before[own.Name] < own.guaranteedSlots(m.slots),
				"%s started beyond its guarantee while %s was under its own", own.Name, c.Name)
		}
	}
}

func (m *model) check(t *rapid.T) {
	waiting, running := 0, 0
	for _, x := range m.tickets {
		assert.Equal(t, x.State(), m.states[x])
		switch x.State() {
		case Waiting:
			waiting++
		case Running:
			running++
		default:
		}
	}
	assert.Equal(t, m.q.Len(), waiting)
	assert.Equal(t, m.running, running)
	n := m.q.Counts()
	assert.Equal(t, n.Offered, n.Refused+n.Cancelled+n.Done+waiting+running)
}

// TestQueueEndsEachRequestOnce guards against requests that end twice, never end, or run after they were cancelled, against
// more running requests than slots, and against a class that does not get its guaranteed share.
func TestQueueEndsEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
		m := &model{q: New(now, Config{Classes: modelClasses}), now: now, states: map[*Ticket]State{}}
		t.Repeat(m.actions())
	})
}

// TestDeferrableWorkRunsInAFlood guards against deferrable requests that never start while urgent requests arrive faster
// than they are served.
func TestDeferrableWorkRunsInAFlood(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	q := New(now, Config{Classes: modelClasses})
	q.SetSlots(10)
	for range 100 {
		_, refusal := q.Enqueue(now, Request{Class: "bulk", Tenant: "north"})
		assert.Assert(t, refusal == nil)
	}
	started := map[string]int{}
	var running []*Ticket
	for range 1000 {
		_, _ = q.Enqueue(now, Request{Class: "hold", Tenant: "north"})
		_, _ = q.Enqueue(now, Request{Class: "list", Tenant: "north"})
		for x := q.Next(now, nil); x != nil; x = q.Next(now, nil) {
			started[x.Class]++
			running = append(running, x)
		}
		now = now.Add(10 * time.Millisecond)
		q.Finish(now, running[0], true)
		running = running[1:]
		q.ExpireQueued(now)
	}
	assert.Assert(t, started["bulk"] >= 90, "%v", started)
}

// TestCancelTakesConstantTime guards against cancellation whose time grows with the length of the queue.
func TestCancelTakesConstantTime(t *testing.T) {
	cost := func(n int) time.Duration {
		now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
		q := New(now, Config{Classes: []Class{{Name: "list"}}})
		tickets := make([]*Ticket, 0, n)
		for i := range n {
			x, _ := q.Enqueue(now, Request{Class: "list", Tenant: fmt.Sprint(i % 25)})
			tickets = append(tickets, x)
		}
		begin := time.Now()
		for i := range tickets {
			assert.Assert(t, q.Cancel(tickets[len(tickets)-1-i]))
		}
		return time.Since(begin) / time.Duration(n)
	}
	small, large := cost(2000), cost(200000)
	assert.Assert(t, large < 20*small+20*time.Microsecond, "%v each of 2000, %v each of 200000", small, large)
}
