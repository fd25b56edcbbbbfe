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

// Times of a run.
const (
	start    = 6 * time.Second  // the entries join and get their votes
	calmTime = 12 * time.Second // of a fleet without faults, until all is well again

	checkPeriod = 250 * time.Millisecond // of the oracle's checks
	hopMin      = time.Millisecond
	hopMax      = 8 * time.Millisecond // one way between two processes
)

// failer is the part of a test that the world needs: a rapid check or a script.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// event is something that happens at a time of the simulated clock.
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
	rnd    *rand.Rand // of delays and of what fails; seeded by rapid, so that a run can be repeated
	now    time.Time
	events eventHeap
	seq    int
	ids    int

	log      *platformLog
	list     *vmList
	workers  map[string]*worker
	regions  []string
	places   []place  // VMs of entries
	procs    []*entry // running process of each place, nil if none
	dead     []*entry
	cutPeer  map[[2]string]bool // messages from one place to another are lost
	requests []*request
	waves    int
	calmed   bool // no more faults
	oracle   *oracle
	counts   counts
}

// place is the VM of an entry.
type place struct{ vm, region, dc string }

func newWorld(t failer, seed uint64, entries, regions int) *world {
	w := &world{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_800_000_000_000),
		workers: map[string]*worker{}, cutPeer: map[[2]string]bool{}, counts: counts{},
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

// config is a valid fleet; variant changes the budgets and the urgent share.
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

// after plans an event.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(d), w.seq, do})
}

// run lets time pass.
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
	w.ids++
	return fmt.Sprint(prefix, w.ids)
}

func (w *world) chance(p float64) bool { return w.rnd.Float64() < p }

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rnd.Int64N(int64(high-low)+1))
}

func (w *world) hop() time.Duration { return w.between(hopMin, hopMax) }

func (w *world) proc(vm string) *entry {
	for i, p := range w.places {
		if p.vm == vm {
			return w.procs[i]
		}
	}
	return nil
}

// call carries a message from a process to whichever process runs at a place, and its reply. Each
// direction can be cut. A call without a reply in time ends with lost, though it may be served later.
func (w *world) call(from *entry, to string, timeout time.Duration, serve func(*entry) any, take func(any), lost func()) {
	over := false
	end := func(f func()) {
		if !over {
			over = true
			f()
		}
	}
	from.after(timeout, func() { end(lost) })
	if w.cutPeer[[2]string{from.place.vm, to}] {
		return
	}
	w.after(w.hop(), func() {
		target := w.proc(to)
		if target == nil {
			from.after(w.hop(), func() { end(lost) })
			return
		}
		target.do(func() {
			reply := serve(target)
			if w.cutPeer[[2]string{to, from.place.vm}] {
				return
			}
			from.after(w.hop(), func() {
				end(func() {
					if reply == nil {
						lost()
					} else {
						take(reply)
					}
				})
			})
		})
	})
}

// target names the member that a record ends.
func target(r fleet.Record) string {
	switch {
	case r.Evict != nil:
		return r.Evict.Target
	case r.Fence != nil:
		return r.Fence.Target
	}
	return ""
}

// calm ends all faults and lets the fleet settle.
func (w *world) calm() {
	w.calmed = true
	w.log.heal()
	w.list.lag, w.list.down = 0, false
	clear(w.cutPeer)
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
	w.run(calmTime)
	for i, p := range w.procs {
		if p == nil { // a leave that began before has ended
			w.launch(i)
		}
	}
	for range 60 {
		w.run(calmTime / 4)
		if w.oracle.settled() {
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

// fail ends the check with what happened last.
func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	var b strings.Builder
	first := max(0, len(w.log.records)-25)
	for i, r := range w.log.records {
		res := w.log.results[i]
		member := r.Join != nil || r.Evict != nil || r.Fence != nil || r.Leave != nil
		if i >= first || member && res.Accepted {
			fmt.Fprintf(&b, "\n  %s %d %s by %s accepted=%t %s %s %s", w.log.at[i].UTC().Format("05.000"), i, r.Kind, r.Writer, res.Accepted, res.Reason, r.Reason, target(r))
		}
	}
	w.t.Fatalf("%s at %v: "+format+"\nmemberships and last records:%s", append([]any{"violation", w.now.UTC().Format("15:04:05.000")}, append(args, b.String())...)...)
}
