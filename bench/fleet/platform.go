package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"sassafrasvalve/core/plan"
)

// Times of the simulated platform. The times of the real platform are not known; the experiments compare planners
// under the same assumed times.
const (
	drainMin, drainMax             = 10 * time.Second, 40 * time.Second
	rebootMin, rebootMax           = 120 * time.Second, 240 * time.Second
	rebootDelay                    = time.Second // from the request until the VM goes down
	listLagMin                     = 2 * time.Second
	listLagMax                     = 8 * time.Second
	listAge                        = 3 * time.Second              // age of the list that the planner reads
	logDelay                       = 50 * time.Millisecond        // from a plan until its records are applied
	shortOutageMin, shortOutageMax = time.Minute, 4 * time.Minute // outage of a VM that restarts by itself
	longOutageMin, longOutageMax   = time.Hour, 4 * time.Hour     // outage of a VM that fails
	leaveNotice                    = 2 * time.Minute              // from the notice in the list until a leaving VM goes down
	replaceTime                    = 5 * time.Minute              // from the end of a VM until its replacement exists
	refusedReportDelay             = 10 * time.Second             // from the loss of a VM until entries report refused connections
	replacedShare                  = 0.1                          // fraction of restarts in which the VM is replaced by a new one
)

// machine is the actual state of a VM on the platform.
type machine struct {
	id, addr         string
	region, dc, rack string
	up               bool
	downAt           time.Time
	rebooting        bool
	listed           plan.ListedVM // the VM in the list
	visible          bool          // the VM is in the list
}

// event is a function that runs at a simulated time. Events with equal times run in the order of their creation.
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

// after schedules run after d.
func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(d), w.seq, run})
}

// between draws a duration from lo to hi, both included.
func between(rng *rand.Rand, lo, hi time.Duration) time.Duration {
	return lo + time.Duration(rng.Int64N(int64(hi-lo)+1))
}

// add adds a machine in the given rack and data centre. Its address is derived from the number of machines so far.
func (w *world) add(r Region, id, rackName, dc string) *machine {
	w.machineCount++
	m := &machine{
		id: id, addr: fmt.Sprintf("10.%d.%d.%d:80", w.machineCount>>16, w.machineCount>>8&255, w.machineCount&255),
		region: r.Name, dc: dc, rack: rackName, up: true,
	}
	m.listed = plan.ListedVM{State: plan.ListLive, DC: dc, Rack: m.rack, Region: r.Name, Addr: m.addr}
	w.machines[id] = m
	w.ids = append(w.ids, id)
	return m
}

// updateList changes the listed state of a machine after a random lag. gone removes the machine from the list.
func (w *world) updateList(m *machine, change func(*plan.ListedVM), gone bool) {
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

// takeDown marks a machine as down, unless it already is.
func (w *world) takeDown(m *machine) {
	if m.up {
		m.up, m.downAt = false, w.now
	}
}

// boot marks a machine as up and updates the list.
func (w *world) boot(m *machine) {
	m.up, m.rebooting = true, false
	w.updateList(m, func(l *plan.ListedVM) { l.Rebooting = false; l.Boots++ }, false)
}

// reboot handles a request to reboot a VM. It ignores a VM whose reboot is already in progress.
func (w *world) reboot(id string) {
	m := w.machines[id]
	if m == nil || m.rebooting {
		return
	}
	m.rebooting = true
	w.after(rebootDelay, func() {
		w.takeDown(m)
		w.updateList(m, func(l *plan.ListedVM) { l.Rebooting = true }, false)
		if w.cfg.badImage {
			return // the VM does not come back
		}
		w.after(between(w.rng, rebootMin, rebootMax), func() { w.boot(m) })
	})
}

// failRandomVM takes a random VM down: for hours if long is set, and otherwise for minutes or for good. It draws all
// values before it checks the VM, and does nothing if the VM is down, rebooting or leaving.
func (w *world) failRandomVM(long bool) {
	m := w.machines[w.ids[w.failureRng.IntN(len(w.ids))]]
	outage := between(w.failureRng, shortOutageMin, shortOutageMax)
	if long {
		outage = between(w.failureRng, longOutageMin, longOutageMax)
	}
	replaced := !long && w.failureRng.Float64() < replacedShare
	if m == nil || !m.up || m.rebooting || m.listed.State == plan.ListLeaving {
		return
	}
	if replaced {
		w.replaceVM(m)
		return
	}
	w.takeDown(m)
	w.after(outage, func() { w.boot(m) })
}

// replaceVM removes a VM after a notice and adds another one in the same rack.
func (w *world) replaceVM(m *machine) {
	w.updateList(m, func(l *plan.ListedVM) { l.State = plan.ListLeaving }, false)
	m.listed.State = plan.ListLeaving
	w.after(leaveNotice, func() {
		w.takeDown(m)
		w.updateList(m, nil, true)
		w.after(replaceTime, func() {
			delete(w.machines, m.id)
			for i, id := range w.ids {
				if id == m.id {
					w.ids[i] = w.ids[len(w.ids)-1]
					w.ids = w.ids[:len(w.ids)-1]
					break
				}
			}
			n := w.add(Region{Name: m.region}, fmt.Sprintf("%s+%d", m.region, w.machineCount), m.rack, m.dc)
			w.updateList(n, nil, false)
		})
	})
}
