package bench

import (
	"container/heap"
	"time"
)

// event is a function that runs at a simulated time. Events with equal times run in the order of their creation.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

// Len returns the number of events, as heap.Interface requires.
func (e events) Len() int { return len(e) }

// Less orders events by time, then by the order in which they were added.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// timeline is the simulated clock with the scheduled events.
type timeline struct {
	now   time.Duration
	seq   uint64
	queue events
}

// epoch is the simulated wall-clock time at which every run starts.
var epoch = time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)

// clock returns the simulated wall-clock time.
func (t *timeline) clock() time.Time { return epoch.Add(t.now) }

// at schedules do at time at, or now if at is in the past.
func (t *timeline) at(at time.Duration, do func()) {
	t.seq++
	heap.Push(&t.queue, event{max(at, t.now), t.seq, do})
}

// step runs the next event. It returns false if there is none before end.
func (t *timeline) step(end time.Duration) bool {
	if len(t.queue) == 0 || t.queue[0].at > end {
		return false
	}
	e := heap.Pop(&t.queue).(event)
	t.now = e.at
	e.do()
	return true
}
