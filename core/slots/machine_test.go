package slots

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// entry is one entry of the model with its holder and its owner.
type entry struct {
	id          string
	holder      *Holder
	owner       *Owner
	view        int       // index into model.views
	frozenUntil time.Time // it does not act before this time
}

// message is a report or a reply in the network. It may be lost, repeated or overtaken.
type message struct {
	from, to string
	report   *Report
	reply    *Reply
}

// model runs holders and owners over a network that loses, repeats, delays and reorders messages.
type model struct {
	t            *rapid.T
	now          time.Time
	entries      []*entry
	views        []View
	viewDeadline time.Time // by then all entries must have applied the newest view
	inFlight     []message
}

// With 8 slots and 7 entries, the home slots of the remaining entries change when one leaves.
const (
	modelSlots   = 8
	modelEntries = 7
)

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)}
	m.viewDeadline = m.now
	v := View{Slots: modelSlots, Connections: 64, Classes: []Class{{Name: "u", Share: 0.5}, {Name: "l", Rank: 1, Share: 0.2}}}
	for i := range modelEntries {
		v.Members = append(v.Members, fmt.Sprint("e", i))
	}
	v.Workers = []string{"w0", "w1", "w2"}
	m.views = []View{v}
	for _, id := range v.Members {
		m.entries = append(m.entries, &entry{id: id, holder: NewHolder(m.now, "p", Policy{}), owner: NewOwner("p", Policy{})})
	}
	for _, e := range m.entries {
		m.follow(e, 0)
	}
	return m
}

// follow applies a view at e.
func (m *model) follow(e *entry, view int) {
	e.view = view
	v := m.views[view]
	v.Self = e.id
	e.holder.SetView(m.now, v)
	e.owner.SetView(m.now, v)
}

func (m *model) entry(id string) *entry {
	return m.entries[slices.IndexFunc(m.entries, func(e *entry) bool { return e.id == id })]
}

func (m *model) isMember(e *entry) bool { return slices.Contains(m.views[e.view].Members, e.id) }

// canAct reports whether e may act: it is not frozen, it is a member, and its view lease has not ended.
func (m *model) canAct(e *entry) bool {
	current := e.view == len(m.views)-1 || m.now.Before(m.viewDeadline)
	return !m.now.Before(e.frozenUntil) && m.isMember(e) && current
}

func (m *model) randomEntry() *entry {
	return m.entries[rapid.IntRange(0, len(m.entries)-1).Draw(m.t, "entry")]
}

func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	if !m.now.Before(m.viewDeadline) {
		for _, e := range m.entries {
			if e.view != len(m.views)-1 && !m.now.Before(e.frozenUntil) {
				m.follow(e, len(m.views)-1)
			}
		}
	}
}

func (m *model) report(e *entry) {
	m.reportWait(e, []int{rapid.IntRange(0, 9).Draw(m.t, "urgent"), rapid.IntRange(0, 20).Draw(m.t, "later")})
}

func (m *model) reportWait(e *entry, wait []int) {
	if !m.canAct(e) || e.holder.Owner() == "" {
		return
	}
	r := e.holder.Report(m.now, Load{Run: []int{0, 5}, Wait: wait})
	m.inFlight = append(m.inFlight, message{e.id, e.holder.Owner(), &r, nil})
}

// deliver delivers message i. With keep, a copy stays in the network.
func (m *model) deliver(i int, keep bool) {
	x := m.inFlight[i]
	if !keep {
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	}
	to := m.entry(x.to)
	switch {
	case !m.canAct(to):
	case x.reply != nil:
		to.holder.Apply(m.now, x.from, *x.reply)
	default:
		reply := to.owner.HandleReport(m.now, *x.report)
		m.inFlight = append(m.inFlight, message{x.to, x.from, nil, &reply})
		for _, u := range to.owner.Updates(m.now) {
			m.inFlight = append(m.inFlight, message{x.to, u.Member, nil, &u.Reply})
		}
	}
}

// check verifies that the slots that all entries together may use never exceed the slots of a worker.
func (m *model) check() {
	for _, w := range m.views[len(m.views)-1].Workers {
		sum, text := 0, ""
		for _, e := range m.entries {
			if i, ok := e.holder.index[w]; ok && m.canAct(e) {
				n := e.holder.allowedSlots(m.now, i)
				sum += n
				text += fmt.Sprintf(" %s:%d(%s, view %d)", e.id, n, e.holder.Mode(m.now), e.view)
			}
		}
		if sum > modelSlots {
			m.t.Fatalf("%v: %d slots of %s may be used:%s", m.now.Format("05.000"), sum, w, text)
		}
	}
}

func (m *model) actions(views bool) map[string]func(*rapid.T) {
	a := map[string]func(*rapid.T){
		"": func(*rapid.T) { m.check() },
		"advance": func(t *rapid.T) {
			m.advance(time.Duration(rapid.SampledFrom([]int{1, 10, 50, 200, 700, 1600}).Draw(t, "ms")) * time.Millisecond)
		},
		"report":  func(*rapid.T) { m.report(m.randomEntry()) },
		"report2": func(*rapid.T) { m.report(m.randomEntry()) }, // a second name makes reports more frequent
		"round": func(*rapid.T) {
			for _, e := range m.entries {
				m.report(e)
			}
			for n := len(m.inFlight); n > 0 && len(m.inFlight) > 0; n-- {
				m.deliver(0, false)
			}
		},
		"hog": func(*rapid.T) { // one entry gets nearly all slots
			hog := m.randomEntry()
			for range 4 {
				for _, e := range m.entries {
					wait := []int{0, 0}
					if e == hog {
						wait = []int{0, 99}
					}
					m.reportWait(e, wait)
				}
				for n := 2 * len(m.inFlight); n > 0 && len(m.inFlight) > 0; n-- {
					m.deliver(0, false)
				}
			}
		},
		"deliver": func(t *rapid.T) {
			if len(m.inFlight) > 0 {
				m.deliver(rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message"), rapid.IntRange(0, 9).Draw(t, "repeat") == 0)
			}
		},
		"lose": func(t *rapid.T) {
			if len(m.inFlight) > 0 {
				i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message")
				m.inFlight = slices.Delete(m.inFlight, i, i+1)
			}
		},
		"freeze": func(t *rapid.T) {
			m.randomEntry().frozenUntil = m.now.Add(time.Duration(rapid.IntRange(100, 5000).Draw(t, "ms")) * time.Millisecond)
		},
		"start": func(t *rapid.T) {
			if e := m.randomEntry(); m.canAct(e) {
				e.holder.Start(m.now, fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker")))
			}
		},
		"end": func(t *rapid.T) {
			vm := fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker"))
			if e := m.randomEntry(); !m.now.Before(e.frozenUntil) && e.holder.InUse(vm) > 0 {
				e.holder.Finish(m.now, vm)
			}
		},
	}
	if views {
		a["view"] = m.changeView
		a["follow"] = func(*rapid.T) {
			if e := m.randomEntry(); e.view < len(m.views)-1 && !m.now.Before(e.frozenUntil) {
				m.follow(e, len(m.views)-1)
			}
		}
	}
	return a
}

// changeView removes or adds a member or a worker. A removed member counts as
// fenced. The entries apply the change within the 3 s of their view lease.
func (m *model) changeView(t *rapid.T) {
	if m.now.Before(m.viewDeadline.Add(2 * DefaultTTL)) {
		return
	}
	v := m.views[len(m.views)-1]
	list, name := &v.Members, fmt.Sprint("e", rapid.IntRange(0, modelEntries-1).Draw(t, "member"))
	if rapid.Bool().Draw(t, "worker") {
		list, name = &v.Workers, fmt.Sprint("w", rapid.IntRange(1, 2).Draw(t, "worker"))
	}
	*list = slices.Clone(*list)
	if i := slices.Index(*list, name); i >= 0 {
		if len(*list) < 3 {
			return
		}
		*list = slices.Delete(*list, i, i+1)
	} else {
		*list = append(*list, name)
	}
	m.views = append(m.views, v)
	m.viewDeadline = m.now.Add(3 * time.Second)
	for i, e := range m.entries {
		if !slices.Contains(v.Members, e.id) {
			// The entry was fenced, and its process rejoins as a new entry.
			m.entries[i] = &entry{id: e.id, holder: NewHolder(m.now, "p", Policy{}), owner: NewOwner("p", Policy{})}
			m.follow(m.entries[i], len(m.views)-1)
		}
	}
}

// TestSlotsAreNeverLentTwice guards against a slot that two entries may use at once after lost, repeated, late or
// overtaken messages, or after an entry or an owner was frozen and continues.
func TestSlotsAreNeverLentTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newModel(t).actions(false)) })
}

// TestSlotsAreNeverLentTwiceWhileViewsChange guards against a slot that two entries may use at once while members and
// workers change: entries apply the change at different times, so that two owners reply at once.
func TestSlotsAreNeverLentTwiceWhileViewsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newModel(t).actions(true)) })
}

// TestAllSlotsAreLentAgainAfterTrouble guards against slots that are never lent again after messages were lost, against
// limits that stay above the slots, and against an entry that gets no slots beside one with many queued requests.
func TestAllSlotsAreLentAgainAfterTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.actions(true))
		m.inFlight = nil
		m.advance(7 * time.Second)
		for _, e := range m.entries {
			if e.view != len(m.views)-1 {
				m.follow(e, len(m.views)-1)
			}
			for _, vm := range []string{"w0", "w1", "w2"} {
				for e.holder.InUse(vm) > 0 {
					e.holder.Finish(m.now, vm)
				}
			}
		}
		for range 60 {
			m.advance(100 * time.Millisecond)
			for _, e := range m.entries {
				if m.canAct(e) {
					r := e.holder.Report(m.now, Load{Wait: []int{5, 30}})
					m.inFlight = append(m.inFlight, message{e.id, e.holder.Owner(), &r, nil})
				}
			}
			for len(m.inFlight) > 0 {
				m.deliver(0, false)
			}
			m.check()
		}
		sum, members := 0, 0
		for _, e := range m.entries {
			if m.canAct(e) {
				n := e.holder.Slots(m.now)
				assert.Assert(t, n > 0, "%s has no slots", e.id)
				sum += n
				members++
			}
		}
		assert.Equal(t, sum, len(m.views[len(m.views)-1].Workers)*modelSlots, "%d members", members)
	})
}

// TestMessageSizes guards against messages that exceed the control budget, and against size estimates for the pacer that
// are far from the encoded size.
func TestMessageSizes(t *testing.T) {
	workers := make(Counts, 12)
	for i := range workers {
		workers[i] = i % 8
	}
	r := Report{
		Pool: "holds", From: "vm-3#1764817200000", Seq: 12345, List: 2, Held: workers,
		Use: workers[:12:12], Run: Counts{3, 8, 1}, Wait: Counts{2, 0, 41},
	}
	p := Reply{Pool: "holds", Seq: 12345, Limits: workers, Recall: 2, Run: Counts{20, 44, 9}, Wait: Counts{2, 0, 99}}
	for _, x := range []struct{ encoded, size, most int }{{size(t, r), r.Size(), 160}, {size(t, p), p.Size(), 100}} {
		assert.Assert(t, x.encoded <= x.most, "%d bytes", x.encoded)
		assert.Assert(t, x.size*5 > x.encoded*4 && x.size*4 < x.encoded*5, "estimate %d for %d bytes", x.size, x.encoded)
	}
	var back Report
	b, err := json.Marshal(r)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(b, &back))
	assert.DeepEqual(t, back, r)
}

func size(t *testing.T, x any) int {
	b, err := json.Marshal(x)
	assert.NilError(t, err)
	t.Logf("%d bytes: %s", len(b), b)
	return len(b)
}
