package chaos

import (
	"fmt"
	"slices"
	"time"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/retry"
)

// Time limits of the requirements.
const (
	maxUpdateDelay = 3 * time.Second // time within which changes must take effect, by R6 and R8
	maxLogDelay    = time.Second     // an entry reaches the platform only below this, see oracle.canLearnChanges
)

// oracle checks the requirements, using only the executions of the workers, the answers to callers and the records that
// the log accepted.
type oracle struct {
	w             *world
	executions    []*execution
	byRequest     map[string][]*execution
	byKey         map[string][]*execution
	history       map[string][]string // by VM: its pools by accepted records
	newestStart   map[string]int      // by VM: index in history of the pool of the newest execution
	versions      []acceptedConfig
	drainedAt     map[string]time.Time // by VM: when an operator drained it
	lastVersion   map[*entry]int       // configuration version in use at the last check
	canLearnSince map[*entry]time.Time
	jobs          map[string]bool // accepted jobs
}

// acceptedConfig is an accepted configuration.
type acceptedConfig struct {
	number, base int
	at           time.Time
}

func newOracle(w *world) *oracle {
	return &oracle{
		w: w, byRequest: map[string][]*execution{}, byKey: map[string][]*execution{}, history: map[string][]string{},
		newestStart: map[string]int{}, drainedAt: map[string]time.Time{}, lastVersion: map[*entry]int{},
		canLearnSince: map[*entry]time.Time{},
		jobs:          map[string]bool{},
	}
}

// poolActivity holds the number of a pool's active VMs and of its other VMs, these also by data centre.
type poolActivity struct {
	active, out int
	outDC       map[string]int
}

func (o *oracle) activityByPool() map[string]poolActivity {
	pools := map[string]poolActivity{}
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

// checkAccepted checks the effect of an accepted record: R1 for voluntary changes, R8 for configurations.
func (o *oracle) checkAccepted(r fleet.Record, before map[string]poolActivity) {
	w := o.w
	w.counts.add("accepted "+string(r.Kind), 1)
	voluntary := r.Kind == fleet.KindAssign || r.Kind == fleet.KindReboot
	switch r.Kind {
	case fleet.KindDrain:
		voluntary = !r.Drain.Involuntary
		if k := w.workers[r.Drain.VM]; r.Drain.Involuntary && !k.leaving && !k.removed {
			w.fail("R1: VM %s was drained as leaving, but the platform has not announced its removal", r.Drain.VM)
		}
		if r.Writer == "operator" {
			o.drainedAt[r.Drain.VM] = w.now
		}
	case fleet.KindObserve:
		h := o.history[r.Observe.VM]
		if pool := w.log.head.VMs[r.Observe.VM].Pool; len(h) == 0 || h[len(h)-1] != pool {
			o.history[r.Observe.VM] = append(h, pool)
			delete(o.drainedAt, r.Observe.VM)
		}
	case fleet.KindAssign:
		o.history[r.Assign.VM] = append(o.history[r.Assign.VM], r.Assign.To)
		delete(o.drainedAt, r.Assign.VM)
	case fleet.KindActivate:
		delete(o.drainedAt, r.Activate.VM)
	case fleet.KindConfigure:
		o.checkConfigured(r)
	case fleet.KindRemove:
		delete(o.drainedAt, r.Remove.VM)
	case fleet.KindJob:
		o.jobs[r.Job.ID] = true
	default:
	}
	if voluntary {
		o.checkBudgets(r, before)
	}
}

// checkBudgets checks R1 by its own count of the VMs: a change that takes an active VM from a pool must keep the
// pool's budgets.
func (o *oracle) checkBudgets(r fleet.Record, before map[string]poolActivity) {
	after := o.activityByPool()
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

func (o *oracle) checkConfigured(r fleet.Record) {
	v := acceptedConfig{o.w.log.head.Config.Version, r.Configure.Base, o.w.now}
	if n := len(o.versions); n > 0 && (v.number <= o.versions[n-1].number || v.base != o.versions[n-1].number) {
		o.w.fail("R8: version %d on base %d was accepted after version %d", v.number, v.base, o.versions[n-1].number)
	}
	o.versions = append(o.versions, v)
}

// checkSent checks R6 when an entry sends a request.
func (o *oracle) checkSent(x *execution) {
	w := o.w
	checkDelay := func(since time.Time, ok bool, why string) {
		if ok && w.now.Sub(since) > maxUpdateDelay &&
			!o.canLearnSince[x.sender].IsZero() && w.now.Sub(o.canLearnSince[x.sender]) > maxUpdateDelay {
			e := x.sender
			w.fail("R6: %s sends %s to VM %s, which was %s %v ago (acting %t, reads the log %t, list read %v ago as of %v ago, able for %v)",
				x.member, x.request, x.vm, why, w.now.Sub(since), e.group.acting(), e.group.readsLog(), w.now.Sub(e.listReadAt),
				w.now.Sub(e.list.AsOf), w.now.Sub(o.canLearnSince[e]))
		}
	}
	since, ok := w.list.leavingSince[x.vm]
	checkDelay(since, ok, "shown as leaving")
	since, ok = o.drainedAt[x.vm]
	checkDelay(since, ok, "drained")
}

// checkStarted checks the start of an execution at a worker: R2 and R5, and R4 for requests that were answered before.
func (o *oracle) checkStarted(x *execution) {
	w := o.w
	o.executions = append(o.executions, x)
	o.byRequest[x.request] = append(o.byRequest[x.request], x)
	if runs := o.byRequest[x.request]; len(runs) > 1 && (!x.idempotent || x.key != "") {
		w.fail("R5: request %s ran twice, sent by %s and %s", x.request, runs[0].member, x.member)
	}
	if x.key != "" {
		o.byKey[x.key] = append(o.byKey[x.key], x)
		for _, other := range o.byKey[x.key] {
			if other.request != x.request {
				w.fail("R5: key %s ran as %s by %s at %s and as %s by %s",
					x.key, other.request, other.member, other.startedAt.UTC().Format("05.000"), x.request, x.member)
			}
		}
	}
	for _, q := range w.requests {
		if q.id == x.request && q.answers > 0 && q.verdict == retry.NotRun {
			w.fail("R4: request %s starts after it was reported as not run", q.id)
		}
	}
	o.checkOnePool(x)
}

// checkOnePool checks R2. A request that was sent before its entry froze or died may continue to run after the entry
// was fenced. A request of an entry that was only disconnected may not, since that entry closes its attempts in time.
func (o *oracle) checkOnePool(x *execution) {
	w := o.w
	if o.sentBeforeFence(x) {
		return
	}
	for _, other := range w.workers[x.vm].running {
		if other.pool != x.pool && !o.sentBeforeFence(other) {
			w.fail("R2: VM %s runs %s for pool %s (sent by %s at %v) and starts %s for pool %s (sent by %s)",
				x.vm, other.request, other.pool, other.member, other.sentAt.UTC().Format("05.000"), x.request, x.pool, x.member)
		}
	}
	history := o.history[x.vm]
	i := slices.Index(history[o.newestStart[x.vm]:], x.pool)
	if i < 0 {
		w.fail("R2: VM %s starts %s for pool %s, but belongs to %v from %d on", x.vm, x.request, x.pool, history, o.newestStart[x.vm])
	}
	o.newestStart[x.vm] += i
}

// sentBeforeFence reports whether the sender of an execution has been fenced and froze or died after sending it.
func (o *oracle) sentBeforeFence(x *execution) bool {
	e := x.sender
	if o.w.log.head.Members[x.member] != nil {
		return false
	}
	switch {
	case !e.frozenAt.IsZero() && !x.sentAt.After(e.frozenAt):
		o.w.counts.add("executions of fenced entries: frozen", 1)
	case e.dead && !x.sentAt.After(e.diedAt):
		o.w.counts.add("executions of fenced entries: dead", 1)
	default:
		return false
	}
	return true
}

// checkAnswer checks R3 and R4 for the answer to a caller.
func (o *oracle) checkAnswer(q *request, v retry.Verdict, status int, body string) {
	w := o.w
	q.answers++
	q.verdict, q.status, q.body, q.answered = v, status, body, w.now
	w.counts.add("answers "+v.String(), 1)
	runs := o.byRequest[q.id]
	switch {
	case q.answers > 1:
		w.fail("R3: request %s was answered %d times", q.id, q.answers)
	case body != "" && body != q.id:
		w.fail("R3: request %s gets the response to %s", q.id, body)
	case v == retry.NotRun && len(runs) > 0:
		w.fail("R4: request %s was reported as not-run (%d), but ran on %s", q.id, status, runs[0].vm)
	case v == retry.Ran && !q.deferrable && len(runs) == 0 && (q.key == "" || len(o.byKey[keyScope(q)]) == 0):
		w.fail("R4: request %s was reported as run, but did not run", q.id)
	case v == retry.Ran && status == 202 && q.deferrable && !o.jobs[q.job]:
		w.fail("job %s was answered 202, but is not in the log", q.job)
	}
}

// checkLeave checks R7 for a graceful leave.
func (o *oracle) checkLeave(e *entry) {
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

// check runs at the end of each step. It checks R8 for each entry and updates since when each can learn of changes.
func (o *oracle) check() {
	w := o.w
	for _, e := range w.procs {
		if e == nil {
			continue
		}
		if e.configVersion < o.lastVersion[e] {
			w.fail("R8: %s went back from version %d to %d", e.group.self.ID, o.lastVersion[e], e.configVersion)
		}
		o.lastVersion[e] = e.configVersion
		if !o.canLearnChanges(e) {
			o.canLearnSince[e] = time.Time{}
			continue
		}
		if o.canLearnSince[e].IsZero() {
			o.canLearnSince[e] = w.now
		}
		for _, v := range o.versions {
			began := v.at
			if o.canLearnSince[e].After(began) {
				began = o.canLearnSince[e]
			}
			// An entry without any configuration serves no requests.
			if e.group.fresh() && e.configVersion > 0 && e.configVersion < v.number && w.now.Sub(began) > maxUpdateDelay {
				w.fail("R8: %s serves under version %d, version %d was accepted %v ago",
					e.group.self.ID, e.configVersion, v.number, w.now.Sub(v.at))
			}
		}
	}
}

// canLearnChanges reports whether an entry can learn of changes to the log and the VM list: it reaches the platform, or
// exchanges messages with an entry that does. Otherwise R6 and R8 permit it to continue with its current state while it
// has the promises of a majority.
func (o *oracle) canLearnChanges(e *entry) bool {
	direct := func(p *entry) bool {
		l := o.w.log
		return !p.dead && !p.frozen && !l.down && !l.silent && !l.cutPlaces[p.place.vm] && l.slow < maxLogDelay && !o.w.list.down
	}
	if e.frozen {
		return false
	}
	if direct(e) {
		return true
	}
	for _, p := range o.w.procs {
		if p != nil && p != e && direct(p) &&
			!o.w.brokenLinks[[2]string{e.place.vm, p.place.vm}] && !o.w.brokenLinks[[2]string{p.place.vm, e.place.vm}] {
			return true
		}
	}
	return false
}

// allResolved reports whether all entries serve the newest configuration and all requests and jobs have ended.
func (o *oracle) allResolved() bool {
	for _, e := range o.w.procs {
		if e != nil && !o.serves(e) {
			return false
		}
	}
	return len(o.unresolved()) == 0
}

// serves reports whether an entry serves requests under the newest configuration.
func (o *oracle) serves(e *entry) bool {
	return e.group.fresh() && e.configVersion == o.w.log.head.Config.Version
}

func (o *oracle) unresolved() []string {
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

// checkEnd checks at the end of a run that every request is answered, no job is lost and all entries serve requests
// under the newest configuration.
func (o *oracle) checkEnd() {
	w := o.w
	if open := o.unresolved(); len(open) > 0 {
		w.fail("R3: %d requests or jobs have not ended: %v", len(open), open[:min(5, len(open))])
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
