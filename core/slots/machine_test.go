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

// entry is one member of the model.
type entry struct {
	id     string
	holder *Holder
	owner  *Owner
	view   int       // index into model.views
	thaw   time.Time // it stands still until then
}

// message is a report or a reply under way. It may be lost, repeated and overtaken.
type message struct {
	from, to string
	report   *Report
	reply    *Reply
}

// model runs holders and owners over a network without any guarantee.
type model struct {
	t       *rapid.T
	now     time.Time
	entries []*entry
	views   []View
	adopt   time.Time // by then all entries must follow the newest view
	net     []message
}

// With seven entries, home slots move between the others when one leaves.
const (
	modelSlots   = 8
	modelEntries = 7
)

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)}
	m.adopt = m.now
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

func (m *model) member(e *entry) bool { return slices.Contains(m.views[e.view].Members, e.id) }

// runs reports whether e may act: it is awake, a member, and its view lease holds.
func (m *model) runs(e *entry) bool {
	current := e.view == len(m.views)-1 || m.now.Before(m.adopt)
	return !m.now.Before(e.thaw) && m.member(e) && current
}

func (m *model) pick() *entry {
	return m.entries[rapid.IntRange(0, len(m.entries)-1).Draw(m.t, "entry")]
}

func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	if !m.now.Before(m.adopt) {
		for _, e := range m.entries {
			if e.view != len(m.views)-1 && !m.now.Before(e.thaw) {
				m.follow(e, len(m.views)-1)
			}
		}
	}
}

func (m *model) report(e *entry) {
	m.reportWait(e, []int{rapid.IntRange(0, 9).Draw(m.t, "urgent"), rapid.IntRange(0, 20).Draw(m.t, "later")})
}

func (m *model) reportWait(e *entry, wait []int) {
	if !m.runs(e) || e.holder.Owner() == "" {
		return
	}
	r := e.holder.Report(m.now, Load{Run: []int{0, 5}, Wait: wait})
	m.net = append(m.net, message{e.id, e.holder.Owner(), &r, nil})
}

// deliver takes a message out of the network, or a copy of it.
func (m *model) deliver(i int, keep bool) {
	x := m.net[i]
	if !keep {
		m.net = slices.Delete(m.net, i, i+1)
	}
	to := m.entry(x.to)
	switch {
	case !m.runs(to):
	case x.reply != nil:
		to.holder.Apply(m.now, x.from, *x.reply)
	default:
		reply := to.owner.HandleReport(m.now, *x.report)
		m.net = append(m.net, message{x.to, x.from, nil, &reply})
		for _, u := range to.owner.Updates(m.now) {
			m.net = append(m.net, message{x.to, u.Member, nil, &u.Reply})
		}
	}
}

// check is the oracle: what all entries may start together never exceeds the slots.
func (m *model) check() {
	for _, w := range m.views[len(m.views)-1].Workers {
		sum, text := 0, ""
		for _, e := range m.entries {
			if i, ok := e.holder.index[w]; ok && m.runs(e) {
				n := e.holder.allowed(m.now, i)
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
		"report":  func(*rapid.T) { m.report(m.pick()) },
		"report2": func(*rapid.T) { m.report(m.pick()) },
		"round": func(*rapid.T) {
			for _, e := range m.entries {
				m.report(e)
			}
			for n := len(m.net); n > 0 && len(m.net) > 0; n-- {
				m.deliver(0, false)
			}
		},
		"hog": func(*rapid.T) { // one entry gets nearly all slots
			hog := m.pick()
			for range 4 {
				for _, e := range m.entries {
					wait := []int{0, 0}
					if e == hog {
						wait = []int{0, 99}
					}
					m.reportWait(e, wait)
				}
				for n := 2 * len(m.net); n > 0 && len(m.net) > 0; n-- {
					m.deliver(0, false)
				}
			}
		},
		"deliver": func(t *rapid.T) {
			if len(m.net) > 0 {
				m.deliver(rapid.IntRange(0, len(m.net)-1).Draw(t, "message"), rapid.IntRange(0, 9).Draw(t, "repeat") == 0)
			}
		},
		"lose": func(t *rapid.T) {
			if len(m.net) > 0 {
				i := rapid.IntRange(0, len(m.net)-1).Draw(t, "message")
				m.net = slices.Delete(m.net, i, i+1)
			}
		},
		"freeze": func(t *rapid.T) {
			m.pick().thaw = m.now.Add(time.Duration(rapid.IntRange(100, 5000).Draw(t, "ms")) * time.Millisecond)
		},
		"start": func(t *rapid.T) {
			if e := m.pick(); m.runs(e) {
				e.holder.Start(m.now, fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker")))
			}
		},
		"end": func(t *rapid.T) {
			vm := fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker"))
			if e := m.pick(); !m.now.Before(e.thaw) && e.holder.InUse(vm) > 0 {
				e.holder.Finish(m.now, vm)
			}
		},
	}
	if views {
		a["view"] = m.change
		a["follow"] = func(*rapid.T) {
			if e := m.pick(); e.view < len(m.views)-1 && !m.now.Before(e.thaw) {
				m.follow(e, len(m.views)-1)
			}
		}
	}
	return a
}

// change removes a member, which counts as fenced, or a worker, or returns it.
// The entries learn of it within the 3 s of their view lease.
func (m *model) change(t *rapid.T) {
	if m.now.Before(m.adopt.Add(2 * DefaultTTL)) {
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
	m.adopt = m.now.Add(3 * time.Second)
	for i, e := range m.entries {
		if !slices.Contains(v.Members, e.id) {
			// The entry was fenced; its process joins again as a new one.
			m.entries[i] = &entry{id: e.id, holder: NewHolder(m.now, "p", Policy{}), owner: NewOwner("p", Policy{})}
			m.follow(m.entries[i], len(m.views)-1)
		}
	}
}

// Guards against slots that two entries hold at once, under lost, repeated,
// late and overtaken messages, frozen entries and owners that wake up.
func TestSlotsAreNeverLentTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newModel(t).actions(false)) })
}

// Guards against the same while members and workers change and entries follow
// the change at different times, so that two owners answer at once.
func TestSlotsAreNeverLentTwiceWhileViewsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newModel(t).actions(true)) })
}

// Guards against slots that stay lost after messages were lost, against excess
// that does not end, and against an entry that starves beside one with backlog.
func TestAllSlotsAreLentAgainAfterTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.actions(true))
		m.net = nil
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
				if m.runs(e) {
					r := e.holder.Report(m.now, Load{Wait: []int{5, 30}})
					m.net = append(m.net, message{e.id, e.holder.Owner(), &r, nil})
				}
			}
			for len(m.net) > 0 {
				m.deliver(0, false)
			}
			m.check()
		}
		sum, members := 0, 0
		for _, e := range m.entries {
			if m.runs(e) {
				n := e.holder.Slots(m.now)
				assert.Assert(t, n > 0, "%s has no slots", e.id)
				sum += n
				members++
			}
		}
		assert.Equal(t, sum, len(m.views[len(m.views)-1].Workers)*modelSlots, "%d members", members)
	})
}

// Guards against messages that grow beyond the control budget, and against an
// estimate that misleads the pacer.
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
