package chaos

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
)

// Durations of the phases of a run, and of checks and messages.
const (
	joinTime      = 6 * time.Second  // time for the entries to join and get their votes
	stabilizeTime = 12 * time.Second // time for a fleet without faults to recover

	checkPeriod     = 250 * time.Millisecond // interval between the oracle's checks
	minNetworkDelay = time.Millisecond
	maxNetworkDelay = 8 * time.Millisecond // one-way delay between two processes
)

// failer is the part of *rapid.T and *testing.T that the world needs.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// event is a function that runs at a time of the simulated clock.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// world holds the platform, the workers, the callers and the entries.
type world struct {
	t      failer
	rnd    *rand.Rand // for delays and random failures; its seed is drawn by rapid, so that runs are reproducible
	now    time.Time
	events eventHeap
	seq    int
	lastID int

	log         *platformLog
	list        *vmList
	workers     map[string]*worker
	regions     []string
	places      []place  // VMs of entries
	procs       []*entry // running process of each place, nil if none
	dead        []*entry
	brokenLinks map[[2]string]bool // by sending and receiving place: messages are lost
	requests    []*request
	lastWave    int
	faultsEnded bool // no further faults occur
	oracle      *oracle
	counts      counts
}

// place is the VM of an entry.
type place struct{ vm, region, dc string }

func newWorld(t failer, seed uint64, entries, regions int) *world {
	w := &world{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_800_000_000_000),
		workers: map[string]*worker{}, brokenLinks: map[[2]string]bool{}, counts: counts{},
	}
	w.oracle = newOracle(w)
	w.log, w.list = newLog(w), newVMList(w)
	w.regions = []string{"eu", "us"}[:regions]
	w.operate(fleet.Record{Kind: fleet.KindConfigure, Configure: &fleet.Configure{Fleet: w.config(1)}})
	for _, region := range w.regions {
		for i := range 9 {
			pool := []string{"a", "a", "a", "a", "b", "b", "b", "spare", "spare"}[i]
			w.addWorker(fmt.Sprint(region, "-w", i), region, fmt.Sprint("dc", i%2), fmt.Sprint("r", i/2), pool+"-"+region)
		}
	}
	for i := range entries {
		w.places = append(w.places, place{fmt.Sprint("e", i), w.regions[i%regions], fmt.Sprint("dc", i%2)})
		w.procs = append(w.procs, nil)
		w.launch(i)
	}
	w.after(listPeriod, w.list.publish)
	return w
}

// config returns a valid fleet. The variant changes the budgets and the share of the class plain.
func (w *world) config(variant int) spec.Fleet {
	f := spec.Fleet{
		Classes: []spec.Class{
			{Name: "urgent", Rank: 0, Share: 0.4, MaxWait: spec.Duration(2500 * time.Millisecond)},
			{Name: "plain", Rank: 1, Share: 0.2 + 0.05*float64(variant), MaxWait: spec.Duration(4 * time.Second), Idempotent: true},
			{Name: "bulk", Rank: 2, Share: 0.1, Deferrable: true, FinishBy: "Sat 06:00"},
			{Name: "batch", Rank: 3, Share: 0.1, Deferrable: true, Idempotent: true, FinishBy: "Sat 06:00"},
		},
		Tenants: []spec.Tenant{{Name: "t1", Weight: 2}, {Name: "t2", Weight: 1, Rate: 200}},
	}
	for _, r := range w.regions {
		region := r
		if len(w.regions) == 1 {
			region = ""
		}
		f.Pools = append(f.Pools,
			spec.Pool{Name: "a-" + r, Region: region, Size: 4, Slots: 3},
			spec.Pool{Name: "b-" + r, Region: region, Size: 3, Slots: 3},
			spec.Pool{Name: "spare-" + r, Region: region, Size: 2, Slots: 3, Spare: true})
		f.Services = append(f.Services,
			spec.Service{Name: "sa-" + r, Pool: "a-" + r, Budget: spec.Budget{MinAvailable: 1 + variant%3, MaxUnavailable: 1 + variant%2}},
			spec.Service{Name: "sb-" + r, Pool: "b-" + r, Budget: spec.Budget{MaxUnavailablePerDC: 1, MinAvailablePercent: 30}})
	}
	return f
}

// after schedules do to run after d.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(d), w.seq, do})
}

// run advances the simulated clock by d and runs the events that are due. The oracle checks the state after each
// checkPeriod and at the end.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		next := w.now.Add(checkPeriod)
		if next.After(end) {
			next = end
		}
		for len(w.events) > 0 && !w.events[0].at.After(next) {
			e := heap.Pop(&w.events).(event)
			w.now = e.at
			e.do()
		}
		w.now = next
		w.oracle.check()
	}
}

func (w *world) newID(prefix string) string {
	w.lastID++
	return fmt.Sprint(prefix, w.lastID)
}

func (w *world) chance(p float64) bool { return w.rnd.Float64() < p }

func (w *world) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rnd.Int64N(int64(high-low)+1))
}

func (w *world) networkDelay() time.Duration {
	return w.randomDuration(minNetworkDelay, maxNetworkDelay)
}

func (w *world) proc(vm string) *entry {
	for i, p := range w.places {
		if p.vm == vm {
			return w.procs[i]
		}
	}
	return nil
}

// call delivers a message from a process to the process that runs at a place, and its reply. Each direction can be cut.
// If the reply does not arrive in time, the call ends with handleLoss, although the message may still be served later.
func (w *world) call(from *entry, to string, timeout time.Duration, serve func(*entry) any, handleReply func(any),
	handleLoss func(),
) {
	ended := false
	end := func(f func()) {
		if !ended {
			ended = true
			f()
		}
	}
	from.after(timeout, func() { end(handleLoss) })
	if w.brokenLinks[[2]string{from.place.vm, to}] {
		return
	}
	w.after(w.networkDelay(), func() {
		target := w.proc(to)
		if target == nil {
			from.after(w.networkDelay(), func() { end(handleLoss) })
			return
		}
		target.do(func() {
			reply := serve(target)
			if w.brokenLinks[[2]string{to, from.place.vm}] {
				return
			}
			from.after(w.networkDelay(), func() {
				end(func() {
					if reply == nil {
						handleLoss()
					} else {
						handleReply(reply)
					}
				})
			})
		})
	})
}

// endedMember returns the member that an Evict or Fence record ends, or "".
func endedMember(r fleet.Record) string {
	switch {
	case r.Evict != nil:
		return r.Evict.Target
	case r.Fence != nil:
		return r.Fence.Target
	}
	return ""
}

// stabilize removes all faults and runs until the fleet has recovered, or for 60 further rounds at most.
func (w *world) stabilize() {
	w.faultsEnded = true
	w.log.heal()
	w.list.lag, w.list.down = 0, false
	clear(w.brokenLinks)
	for i, p := range w.procs {
		if p == nil {
			w.launch(i)
		} else if p.frozen {
			p.wake()
		}
	}
	for _, id := range w.workerIDs() {
		w.workers[id].heal()
	}
	w.run(stabilizeTime)
	for i, p := range w.procs {
		if p == nil { // the process has completed a leave
			w.launch(i)
		}
	}
	for range 60 {
		w.run(stabilizeTime / 4)
		if w.oracle.allResolved() {
			return
		}
	}
}

func (w *world) workerIDs() []string {
	ids := make([]string, 0, len(w.workers))
	for id := range w.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// fail ends the check and prints the membership changes and the last records.
func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	var b strings.Builder
	first := max(0, len(w.log.records)-25)
	for i, r := range w.log.records {
		res := w.log.results[i]
		member := r.Join != nil || r.Evict != nil || r.Fence != nil || r.Leave != nil
		if i >= first || member && res.Accepted {
			fmt.Fprintf(&b, "\n  %s %d %s by %s accepted=%t %s %s %s",
				w.log.appendedAt[i].UTC().Format("05.000"), i, r.Kind, r.Writer, res.Accepted, res.Reason, r.Reason, endedMember(r))
		}
	}
	w.t.Fatalf("%s at %v: "+format+"\nmemberships and last records:%s",
		append([]any{"violation", w.now.UTC().Format("15:04:05.000")}, append(args, b.String())...)...)
}
