package chaos

import (
	"fmt"
	"slices"
	"time"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/retry"
)

// Bounds of the requirements.
const (
	inForce  = 3 * time.Second // R6 and R8
	learnGap = time.Second     // see oracle.able
)

// oracle judges by the requirements alone: by what workers ran, callers were told and the log accepted.
type oracle struct {
	w          *world
	executions []*execution
	byRequest  map[string][]*execution
	byKey      map[string][]*execution
	history    map[string][]string // pools of a VM by accepted records
	position   map[string]int      // in the history, of the newest start
	versions   []version
	drained    map[string]time.Time // VMs out by an operator's drain, since when
	lastSeen   map[*entry]int       // configuration version in force
	ableSince  map[*entry]time.Time
	jobs       map[string]bool // accepted ones
}

// version is an accepted configuration.
type version struct {
	number, base int
	at           time.Time
}

func newOracle(w *world) *oracle {
	return &oracle{
		w: w, byRequest: map[string][]*execution{}, byKey: map[string][]*execution{}, history: map[string][]string{},
		position: map[string]int{}, drained: map[string]time.Time{}, lastSeen: map[*entry]int{}, ableSince: map[*entry]time.Time{},
		jobs: map[string]bool{},
	}
}

// activity is the number of active VMs of a pool, and of others by data centre.
type activity struct {
	active, out int
	outDC       map[string]int
}

func (o *oracle) before() map[string]activity {
	pools := map[string]activity{}
	for _, vm := range o.w.log.head.VMs {
		a, ok := pools[vm.Pool]
		if !ok {
			a.outDC = map[string]int{}
		}
		if vm.Phase == fleet.Active {
			a.active++
		} else {
			a.out++
			a.outDC[vm.DC]++
		}
		pools[vm.Pool] = a
	}
	return pools
}

// accepted judges the effect of a record: R1 for voluntary acts, R8 for configurations.
func (o *oracle) accepted(r fleet.Record, before map[string]activity) {
	w := o.w
	w.counts.add("accepted "+string(r.Kind), 1)
	voluntary := r.Kind == fleet.KindAssign || r.Kind == fleet.KindReboot
	switch r.Kind {
	case fleet.KindDrain:
		voluntary = !r.Drain.Involuntary
		if k := w.workers[r.Drain.VM]; r.Drain.Involuntary && !k.leaving && !k.gone {
			w.fail("R1: VM %s was drained as leaving, but the platform keeps it", r.Drain.VM)
		}
		if r.Writer == "operator" {
			o.drained[r.Drain.VM] = w.now
		}
	case fleet.KindObserve:
		h := o.history[r.Observe.VM]
		if pool := w.log.head.VMs[r.Observe.VM].Pool; len(h) == 0 || h[len(h)-1] != pool {
			o.history[r.Observe.VM] = append(h, pool)
			delete(o.drained, r.Observe.VM)
		}
	case fleet.KindAssign:
		o.history[r.Assign.VM] = append(o.history[r.Assign.VM], r.Assign.To)
		delete(o.drained, r.Assign.VM)
	case fleet.KindActivate:
		delete(o.drained, r.Activate.VM)
	case fleet.KindConfigure:
		o.configured(r)
	case fleet.KindRemove:
		delete(o.drained, r.Remove.VM)
	case fleet.KindJob:
		o.jobs[r.Job.ID] = true
	default:
	}
	if voluntary {
		o.checkBudgets(r, before)
	}
}

// checkBudgets counts the VMs by itself: an act that takes an active VM from a pool must keep its budgets.
func (o *oracle) checkBudgets(r fleet.Record, before map[string]activity) {
	after := o.before()
	for _, svc := range o.w.log.head.Config.Fleet.Services {
		a, b := after[svc.Pool], svc.Budget
		if a.active >= before[svc.Pool].active {
			continue
		}
		total := a.active + a.out
		bad := a.active < b.MinAvailable || 100*a.active < b.MinAvailablePercent*total || b.MaxUnavailable > 0 && a.out > b.MaxUnavailable
		for _, n := range a.outDC {
			bad = bad || b.MaxUnavailablePerDC > 0 && n > b.MaxUnavailablePerDC
		}
		if bad {
			o.w.fail("R1: %s by %s leaves %+v of pool %s, budget %+v", r.Kind, r.Writer, a, svc.Pool, b)
		}
	}
}

func (o *oracle) configured(r fleet.Record) {
	v := version{o.w.log.head.Config.Version, r.Configure.Base, o.w.now}
	if n := len(o.versions); n > 0 && (v.number <= o.versions[n-1].number || v.base != o.versions[n-1].number) {
		o.w.fail("R8: version %d on base %d was accepted after version %d", v.number, v.base, o.versions[n-1].number)
	}
	o.versions = append(o.versions, v)
}

// sent judges a start by an entry: R6.
func (o *oracle) sent(x *execution) {
	w := o.w
	late := func(since time.Time, ok bool, why string) {
		if ok && w.now.Sub(since) > inForce && !o.ableSince[x.sender].IsZero() && w.now.Sub(o.ableSince[x.sender]) > inForce {
			e := x.sender
			w.fail("R6: %s sends %s to VM %s, which was %s %v ago (acting %t, reads the log %t, list read %v ago as of %v ago, able for %v)",
				x.member, x.request, x.vm, why, w.now.Sub(since), e.group.acting(), e.group.readsLog(), w.now.Sub(e.listAt),
				w.now.Sub(e.list.AsOf), w.now.Sub(o.ableSince[e]))
		}
	}
	since, ok := w.list.leaving[x.vm]
	late(since, ok, "shown as leaving")
	since, ok = o.drained[x.vm]
	late(since, ok, "drained")
}

// began judges the start of an execution at a worker: R2 and R5, and R4 for requests answered before.
func (o *oracle) began(x *execution) {
	w := o.w
	o.executions = append(o.executions, x)
	o.byRequest[x.request] = append(o.byRequest[x.request], x)
	if runs := o.byRequest[x.request]; len(runs) > 1 && !x.idempotent {
		w.fail("R5: request %s ran twice, sent by %s and %s", x.request, runs[0].member, x.member)
	}
	if x.key != "" {
		o.byKey[x.key] = append(o.byKey[x.key], x)
		for _, other := range o.byKey[x.key] {
			if other.request != x.request {
				w.fail("R5: key %s ran as %s by %s at %s and as %s by %s", x.key, other.request, other.member, other.began.UTC().Format("05.000"), x.request, x.member)
			}
		}
	}
	for _, q := range w.requests {
		if q.id == x.request && q.answers > 0 && q.verdict == retry.NotRun {
			w.fail("R4: request %s starts after its caller was told that it was not run", q.id)
		}
	}
	o.onePool(x)
}

// onePool is R2. A request that was sent before its entry froze, died or lost touch may run on after
// the entry was fenced. One of an entry that only lost touch may not, since it closes its attempts in time.
func (o *oracle) onePool(x *execution) {
	w := o.w
	if o.excused(x) {
		return
	}
	for _, other := range w.workers[x.vm].running {
		if other.pool != x.pool && !o.excused(other) {
			w.fail("R2: VM %s runs %s for pool %s (sent by %s at %v) and starts %s for pool %s (sent by %s)", x.vm, other.request, other.pool, other.member,
				other.sent.UTC().Format("05.000"), x.request, x.pool, x.member)
		}
	}
	history := o.history[x.vm]
	i := slices.Index(history[o.position[x.vm]:], x.pool)
	if i < 0 {
		w.fail("R2: VM %s starts %s for pool %s, but belongs to %v from %d on", x.vm, x.request, x.pool, history, o.position[x.vm])
	}
	o.position[x.vm] += i
}

func (o *oracle) excused(x *execution) bool {
	e := x.sender
	if o.w.log.head.Members[x.member] != nil {
		return false
	}
	switch {
	case !e.frozenAt.IsZero() && !x.sent.After(e.frozenAt):
		o.w.counts.add("executions of fenced entries: frozen", 1)
	case e.dead && !x.sent.After(e.diedAt):
		o.w.counts.add("executions of fenced entries: dead", 1)
	default:
		return false
	}
	return true
}

// answered judges what a caller is told: R3 and R4.
func (o *oracle) answered(q *request, v retry.Verdict, status int, body string) {
	w := o.w
	q.answers++
	q.verdict, q.status, q.body, q.answered = v, status, body, w.now
	w.counts.add("answers "+v.String(), 1)
	runs := o.byRequest[q.id]
	switch {
	case q.answers > 1:
		w.fail("R3: request %s is answered %d times", q.id, q.answers)
	case body != "" && body != q.id:
		w.fail("R3: request %s gets the response to %s", q.id, body)
	case v == retry.NotRun && len(runs) > 0:
		w.fail("R4: request %s was told not-run (%d), but ran on %s", q.id, status, runs[0].vm)
	case v == retry.Ran && !q.deferrable && len(runs) == 0 && (q.key == "" || len(o.byKey[scoped(q)]) == 0):
		w.fail("R4: request %s was told that it ran, but did not", q.id)
	case v == retry.Ran && status == 202 && q.deferrable && !o.jobs[q.job]:
		w.fail("job %s was answered 202, but is not in the log", q.job)
	}
}

// left judges a graceful stop: R7.
func (o *oracle) left(e *entry) {
	for _, q := range o.w.requests {
		if q.entry == e && q.answers == 0 {
			o.w.fail("R7: %s left with request %s in progress", e.group.self.ID, q.id)
		}
	}
	for _, id := range o.w.workerIDs() {
		for _, x := range o.w.workers[id].running {
			if x.sender == e && (x.job || !cancelledRequest(o.w, x.request)) {
				o.w.fail("R7: %s left while %s runs on %s", e.group.self.ID, x.request, id)
			}
		}
	}
}

func cancelledRequest(w *world, id string) bool {
	return slices.ContainsFunc(w.requests, func(q *request) bool {
		return q.id == id && (q.cancelled || !w.now.Before(q.deadline))
	})
}

// check runs at the end of each step: R8 on each entry, and since when each can learn of changes.
func (o *oracle) check() {
	w := o.w
	for _, e := range w.procs {
		if e == nil {
			continue
		}
		if e.version < o.lastSeen[e] {
			w.fail("R8: %s goes back from version %d to %d", e.group.self.ID, o.lastSeen[e], e.version)
		}
		o.lastSeen[e] = e.version
		if !o.able(e) {
			o.ableSince[e] = time.Time{}
			continue
		}
		if o.ableSince[e].IsZero() {
			o.ableSince[e] = w.now
		}
		for _, v := range o.versions {
			began := v.at
			if o.ableSince[e].After(began) {
				began = o.ableSince[e]
			}
			// An entry without any configuration serves nothing.
			if e.group.fresh() && e.version > 0 && e.version < v.number && w.now.Sub(began) > inForce {
				w.fail("R8: %s serves under version %d, version %d was accepted %v ago", e.group.self.ID, e.version, v.number, w.now.Sub(v.at))
			}
		}
	}
}

// able says whether an entry can learn of what the log and the list hold: it reaches the platform, or exchanges
// messages with an entry that does. Otherwise R6 and R8 let it go on with what it knows, under the promises of a majority.
func (o *oracle) able(e *entry) bool {
	direct := func(p *entry) bool {
		l := o.w.log
		return !p.dead && !p.frozen && !l.down && !l.swallow && !l.cut[p.place.vm] && l.slow < learnGap && !o.w.list.down
	}
	if e.frozen {
		return false
	}
	if direct(e) {
		return true
	}
	for _, p := range o.w.procs {
		if p != nil && p != e && direct(p) && !o.w.cutPeer[[2]string{e.place.vm, p.place.vm}] && !o.w.cutPeer[[2]string{p.place.vm, e.place.vm}] {
			return true
		}
	}
	return false
}

// settled reports whether nothing is open any more.
func (o *oracle) settled() bool {
	for _, e := range o.w.procs {
		if e != nil && !o.serves(e) {
			return false
		}
	}
	return len(o.open()) == 0
}

// serves reports whether an entry serves under the newest configuration.
func (o *oracle) serves(e *entry) bool {
	return e.group.fresh() && e.version == o.w.log.head.Config.Version
}

func (o *oracle) open() []string {
	var out []string
	for _, q := range o.w.requests {
		if q.answers == 0 && q.entry != nil && !q.entry.dead {
			out = append(out, "request "+q.id)
		}
	}
	for _, id := range sorted(o.jobs) {
		if j := o.w.log.head.Jobs[id]; j == nil || j.Phase != fleet.JobEnded {
			out = append(out, fmt.Sprintf("job %s %+v", id, j))
		}
	}
	return out
}

// finish judges the whole run once all is settled: every request is answered, no job is lost and all
// entries serve.
func (o *oracle) finish() {
	w := o.w
	if open := o.open(); len(open) > 0 {
		w.fail("R3: %d requests or jobs have no end: %v", len(open), open[:min(5, len(open))])
	}
	for id := range o.jobs {
		j := w.log.head.Jobs[id]
		if j.Outcome.Verdict == retry.Ran && len(o.byRequest[id]) == 0 {
			w.fail("job %s ended as ran, but did not run", id)
		}
	}
	for _, e := range w.procs {
		if e != nil && !o.serves(e) {
			w.fail("%s does not serve the newest version after the faults ended", e.group.self.ID)
		}
	}
}
