package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"sassafrasvalve/core/plan"
)

// Times of the stand-in for the platform. Real ones are not known; the experiments compare
// planners under the same ones.
const (
	drainMin, drainMax   = 10 * time.Second, 40 * time.Second
	rebootMin, rebootMax = 120 * time.Second, 240 * time.Second
	rebootDelay          = time.Second // from the request to the VM's end
	listLagMin           = 2 * time.Second
	listLagMax           = 8 * time.Second
	listAge              = 3 * time.Second
	logDelay             = 50 * time.Millisecond
	breakMin, breakMax   = time.Minute, 4 * time.Minute // a VM that restarts by itself
	failMin, failMax     = time.Hour, 4 * time.Hour     // a VM that fails
	leaveNotice          = 2 * time.Minute
	remakeTime           = 5 * time.Minute // from the end of a VM to its replacement
	refusedAfter         = 10 * time.Second
	replacedPart         = 0.1 // of the restarts, VMs that are replaced by new ones
)

// machine is a VM as the platform has it.
type machine struct {
	id, addr         string
	region, dc, rack string
	up               bool
	downAt           time.Time
	away             bool
	listed           plan.ListedVM
	visible          bool
}

// event is something that happens at a time. Events of one time run in the order of their making.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(d), w.seq, run})
}

func between(rng *rand.Rand, lo, hi time.Duration) time.Duration {
	return lo + time.Duration(rng.Int64N(int64(hi-lo)+1))
}

// add makes a machine. Its place is given by its number among those of its kind, so that
// four neighbours share a rack.
func (w *world) add(r Region, id, rackName, dc string) *machine {
	w.made++
	m := &machine{
		id: id, addr: fmt.Sprintf("10.%d.%d.%d:80", w.made>>16, w.made>>8&255, w.made&255),
		region: r.Name, dc: dc, rack: rackName, up: true,
	}
	m.listed = plan.ListedVM{State: plan.Live, DC: dc, Rack: m.rack, Region: r.Name, Addr: m.addr}
	w.machines[id] = m
	w.ids = append(w.ids, id)
	return m
}

// show makes the list say so after its lag.
func (w *world) show(m *machine, change func(*plan.ListedVM), gone bool) {
	w.after(between(w.rng, listLagMin, listLagMax), func() {
		if change != nil {
			change(&m.listed)
		}
		m.visible = !gone
		if m.visible {
			w.lists[m.region][m.id] = m.listed
		} else {
			delete(w.lists[m.region], m.id)
		}
	})
}

func (w *world) down(m *machine) {
	if m.up {
		m.up, m.downAt = false, w.now
	}
}

func (w *world) boot(m *machine) {
	m.up, m.away = true, false
	w.show(m, func(l *plan.ListedVM) { l.Rebooting = false; l.Boots++ }, false)
}

// reboot is the platform's answer to a request. A VM that is away already is not rebooted again.
func (w *world) reboot(id string) {
	m := w.machines[id]
	if m == nil || m.away {
		return
	}
	m.away = true
	w.after(rebootDelay, func() {
		w.down(m)
		w.show(m, func(l *plan.ListedVM) { l.Rebooting = true }, false)
		if w.cfg.badImage {
			return // the VM does not come back
		}
		w.after(between(w.rng, rebootMin, rebootMax), func() { w.boot(m) })
	})
}

// misfortune takes a random VM down: for minutes, for hours or for good.
func (w *world) misfortune(long bool) {
	m := w.machines[w.ids[w.fate.IntN(len(w.ids))]]
	lasts := between(w.fate, breakMin, breakMax)
	if long {
		lasts = between(w.fate, failMin, failMax)
	}
	replaced := !long && w.fate.Float64() < replacedPart
	if m == nil || !m.up || m.away || m.listed.State == plan.Leaving {
		return
	}
	if replaced {
		w.remake(m)
		return
	}
	w.down(m)
	w.after(lasts, func() { w.boot(m) })
}

// remake takes a VM away after a notice and makes another one in its rack.
func (w *world) remake(m *machine) {
	w.show(m, func(l *plan.ListedVM) { l.State = plan.Leaving }, false)
	m.listed.State = plan.Leaving
	w.after(leaveNotice, func() {
		w.down(m)
		w.show(m, nil, true)
		w.after(remakeTime, func() {
			delete(w.machines, m.id)
			for i, id := range w.ids {
				if id == m.id {
					w.ids[i] = w.ids[len(w.ids)-1]
					w.ids = w.ids[:len(w.ids)-1]
					break
				}
			}
			n := w.add(Region{Name: m.region}, fmt.Sprintf("%s+%d", m.region, w.made), m.rack, m.dc)
			w.show(n, nil, false)
		})
	})
}
