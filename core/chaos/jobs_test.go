package chaos

import (
	"slices"
	"time"

	"sassafrasvalve/core/admit"
	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/hash"
	"sassafrasvalve/core/retry"
)

// jobs mirrors daemon.jobs.
type jobs struct {
	e             *entry
	stopping      bool              // mirrors the end of jobs.waitCtx
	cancelAcquire map[string]func() // cancel functions of runs that wait for a slot
	active        map[string]bool
	retryAt       map[string]time.Time
	attempts      map[string]int
}

func newJobs(e *entry) *jobs {
	return &jobs{e: e, cancelAcquire: map[string]func(){}, active: map[string]bool{}, retryAt: map[string]time.Time{}, attempts: map[string]int{}}
}

// jobID mirrors exchange.job: the ID of a job with a key is derived from the key.
func jobID(q *request) string {
	if q.key != "" {
		return "job-" + keyScope(q)
	}
	return q.id
}

// submit mirrors exchange.submit and jobs.Submit.
func (f *exchange) submit() {
	q := f.q
	id := q.job
	r := fleet.Record{Kind: fleet.KindJob, Job: &fleet.Job{
		ID: id, Service: q.service, Class: q.class, Tenant: q.tenant, Idempotent: q.idempotent, Deadline: q.deadline,
		Request: fleet.JobRequest{Method: "POST", Path: "/" + q.id},
	}}
	f.e.append(r, 5*time.Second, func(o outcome) {
		switch {
		case o.verdict == accepted, o.verdict == rejected && f.e.st.Jobs[id] != nil:
			f.end(retry.Ran, 202)
			f.answer(retry.Ran, 202, "")
		case o.verdict == unknown:
			f.refuse(503, retry.MayHaveRun)
		default:
			f.refuse(503, retry.NotRun)
		}
	})
}

// tick mirrors one iteration of jobs.loop.
func (j *jobs) tick() {
	if !j.e.group.fresh() {
		return
	}
	j.startDue()
	j.endAbandoned()
}

// stop mirrors the end of the context jobs.waitCtx: no further run starts, and runs that wait for a slot end.
func (j *jobs) stop() {
	j.stopping = true
	for _, id := range sorted(j.cancelAcquire) {
		j.cancelAcquire[id]()
		delete(j.cancelAcquire, id)
		j.end(id, true)
	}
}

// startDue mirrors jobs.due: it starts queued jobs of which this entry is the owner.
func (j *jobs) startDue() {
	e := j.e
	if j.stopping {
		return
	}
	st, self := e.st, e.group.self.ID
	live := st.LiveMembers(e.place.region)
	for _, id := range st.QueuedJobs() {
		if len(j.active) >= 32 {
			return
		}
		if j.active[id] || e.w.now.Before(j.retryAt[id]) || hash.Owner(id, live) != self {
			continue
		}
		js := *st.Jobs[id]
		svc, ok := st.Config.Fleet.Service(js.Service)
		if !ok {
			continue
		}
		j.active[id] = true
		j.run(js, svc.Pool, self)
	}
}

// endAbandoned mirrors jobs.abandoned: it ends running jobs that this process does not run.
func (j *jobs) endAbandoned() {
	self := j.e.group.self.ID
	for _, id := range sorted(j.e.st.Jobs) {
		js := j.e.st.Jobs[id]
		if js.Phase == fleet.JobRunning && js.Member == self && !j.active[id] {
			done := fleet.JobDone{Job: id, Member: self, Run: js.Run, Verdict: retry.NotRun}
			j.e.submit(fleet.Record{Kind: fleet.KindJobDone, Writer: self, JobDone: &done}, nil)
		}
	}
}

// end mirrors jobs.endRun.
func (j *jobs) end(id string, failed bool) {
	delete(j.active, id)
	j.e.inProgress--
	if failed {
		j.retryAt[id] = j.e.w.now.Add(min(time.Second<<min(j.attempts[id], 10), 5*time.Minute))
		j.attempts[id]++
	}
}

// run mirrors jobRun.run.
func (j *jobs) run(js fleet.JobState, pool, self string) {
	e := j.e
	e.inProgress++
	p := e.pools[pool]
	if p == nil {
		j.end(js.ID, true)
		return
	}
	run := js.Run + 1
	j.cancelAcquire[js.ID] = p.acquire(admit.Request{Class: js.Class, Tenant: js.Tenant, Deadline: js.Deadline}, nil, func(g *grant) {
		delete(j.cancelAcquire, js.ID)
		if g == nil {
			j.end(js.ID, true)
			return
		}
		claim := fleet.JobStart{Job: js.ID, Member: self, Run: run}
		e.append(fleet.Record{Kind: fleet.KindJobStart, Writer: self, JobStart: &claim}, 30*time.Second, func(o outcome) {
			if o.verdict != accepted {
				g.done(retry.NotRun, false)
				j.end(js.ID, true)
				return
			}
			if !e.mayUse(g.vm, pool) {
				g.done(retry.NotRun, false)
				done := fleet.JobDone{Job: js.ID, Member: self, Run: run, Verdict: retry.NotRun}
				j.finish(fleet.Record{ID: e.w.newID("r"), Kind: fleet.KindJobDone, Writer: self, JobDone: &done}, func() { j.end(js.ID, true) })
				return
			}
			e.dispatch(g, js.ID, "", js.Idempotent, true, e.w.randomDuration(50*time.Millisecond, 3*time.Second), time.Time{}, func(func()) {}, func(r response) {
				broken := r.verdict == retry.Ran && r.status >= 500
				g.done(r.verdict, broken || r.verdict == retry.MayHaveRun)
				done := fleet.JobDone{
					Job: js.ID, Member: self, Run: run, Verdict: r.verdict, Status: r.status, Again: broken || r.verdict == retry.MayHaveRun,
				}
				j.finish(fleet.Record{ID: e.w.newID("r"), Kind: fleet.KindJobDone, Writer: self, JobDone: &done}, func() {
					j.end(js.ID, done.Again || done.Verdict == retry.NotRun)
				})
			})
		})
	})
}

// mayUse mirrors jobRun.vmTakesWork.
func (e *entry) mayUse(id, pool string) bool {
	vm := e.st.VMs[id]
	return vm != nil && vm.Phase == fleet.Active && vm.Pool == pool && !slices.Contains(e.allLeaving, id)
}

// finish mirrors jobRun.finish.
func (j *jobs) finish(r fleet.Record, done func()) {
	j.e.append(r, 30*time.Second, func(o outcome) {
		if o.verdict == accepted || o.verdict == rejected {
			done()
			return
		}
		j.e.after(time.Second, func() { j.finish(r, done) })
	})
}
