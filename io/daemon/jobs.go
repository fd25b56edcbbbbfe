package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/hash"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/io/entry"
	"sassafrasvalve/io/oplog"
	"sassafrasvalve/io/proxy"
	"sassafrasvalve/io/sched"
)

const (
	jobPeriod     = 200 * time.Millisecond
	maxActiveJobs = 32              // per entry, waiting for a slot or running
	jobPause      = time.Second     // before the second try of a job, doubled for each further one
	maxJobPause   = 5 * time.Minute // between two tries of a job
	jobRetry      = 5 * time.Second // told to callers while no job can be accepted
	submitTimeout = 3 * time.Second // after which a caller is told that the outcome is unknown
)

// jobs accepts deferrable requests into the log and runs those that this entry is the owner of.
// It implements entry.Jobs.
type jobs struct {
	d *Daemon

	waiting context.Context // of the runs that wait for a slot; ends when the entry stops
	stop    context.CancelFunc

	mu     sync.Mutex
	active map[string]bool
	next   map[string]time.Time // earliest next try here
	tries  map[string]int
}

func newJobs(d *Daemon) *jobs {
	j := &jobs{d: d, active: map[string]bool{}, next: map[string]time.Time{}, tries: map[string]int{}}
	j.waiting, j.stop = context.WithCancel(context.Background())
	return j
}

// Submit accepts a job into the log.
func (j *jobs) Submit(ctx context.Context, job fleet.Job) error {
	if !j.d.group.ReadsLog() {
		return j.refusal(http.StatusServiceUnavailable, "the platform's log does not answer")
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	out, err := j.d.writer.Append(ctx, fleet.Record{Kind: fleet.KindJob, Writer: j.d.group.Self(), Job: &job})
	switch out.Verdict {
	case oplog.Accepted:
		return nil
	case oplog.Rejected:
		if _, known := j.Status(ctx, job.ID); known {
			return nil
		}
		return j.refusal(http.StatusServiceUnavailable, out.Reason)
	case oplog.NotAppended:
		return j.refusal(http.StatusServiceUnavailable, "the platform's log takes no records: "+err.Error())
	default:
		return eris.Wrap(entry.ErrOutcomeUnknown, job.ID)
	}
}

func (j *jobs) refusal(status int, reason string) error {
	return &sched.Refusal{Status: status, Reason: reason, RetryAt: j.d.cfg.Clock.Now().Add(jobRetry)}
}

// Status returns the state of a job.
func (j *jobs) Status(_ context.Context, id string) (entry.JobStatus, bool) {
	var out entry.JobStatus
	ok := false
	j.d.store.View(func(st *fleet.State) {
		js := st.Jobs[id]
		if ok = js != nil; !ok {
			return
		}
		out = entry.JobStatus{ID: id, State: jobState(js.Phase), Runs: js.Run, Deadline: js.Deadline}
		if js.Phase == fleet.JobEnded {
			verdict := js.Outcome.Verdict
			out.Verdict, out.Status = &verdict, js.Outcome.Status
		}
	})
	return out, ok
}

func jobState(p fleet.JobPhase) entry.JobState {
	switch p {
	case fleet.JobRunning:
		return entry.JobRunning
	case fleet.JobEnded:
		return entry.JobDone
	default:
		return entry.JobQueued
	}
}

// loop starts the jobs that are due here until ctx ends.
func (j *jobs) loop(ctx context.Context) {
	tick := time.NewTicker(jobPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if j.d.group.Check() != nil {
			continue
		}
		for _, r := range j.due() {
			go r.run(ctx)
		}
		for _, rec := range j.abandoned() {
			j.d.submit(rec)
		}
	}
}

// stopPoll is how often a stopping entry looks whether its last run has ended.
const stopPoll = 50 * time.Millisecond

// drain waits until no run is in progress here, after stop. It returns early when ctx ends.
func (j *jobs) drain(ctx context.Context) {
	for j.running() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-j.d.after(stopPoll):
		}
	}
}

func (j *jobs) running() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.active)
}

// due returns the queued jobs that this entry owns and has room for, and marks them active.
// An entry that stops starts none.
func (j *jobs) due() []*jobRun {
	now, self := j.d.cfg.Clock.Now(), j.d.group.Self()
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []*jobRun
	if j.waiting.Err() != nil {
		return nil
	}
	j.d.store.View(func(st *fleet.State) {
		live := st.LiveMembers(j.d.cfg.Settings.Region)
		for _, id := range st.QueuedJobs() {
			if len(j.active) >= maxActiveJobs {
				return
			}
			if j.active[id] || now.Before(j.next[id]) || hash.Owner(id, live) != self {
				continue
			}
			js := *st.Jobs[id]
			svc, ok := st.Config.Fleet.Service(js.Service)
			if !ok {
				continue
			}
			j.active[id] = true
			out = append(out, &jobRun{j: j, job: js, pool: svc.Pool, member: self})
		}
		j.forget(st)
	})
	return out
}

// forget drops the pauses of ended jobs.
func (j *jobs) forget(st *fleet.State) {
	for id := range j.next {
		if js := st.Jobs[id]; js == nil || js.Phase == fleet.JobEnded {
			delete(j.next, id)
			delete(j.tries, id)
		}
	}
}

// abandoned returns a JobDone for each job that the fold holds for running here although no run of
// it is in progress: its JobStart had no known outcome, so that it was not sent.
func (j *jobs) abandoned() []fleet.Record {
	self := j.d.group.Self()
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []fleet.Record
	j.d.store.View(func(st *fleet.State) {
		for id, js := range st.Jobs {
			if js.Phase == fleet.JobRunning && js.Member == self && !j.active[id] {
				out = append(out, doneRecord(fleet.JobDone{Job: id, Member: self, Run: js.Run, Verdict: retry.NotRun}))
			}
		}
	})
	return out
}

// end frees the job's place and sets the pause before its next try.
func (j *jobs) end(id string, failed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.active, id)
	if !failed {
		return
	}
	n := min(j.tries[id], 10)
	j.tries[id]++
	j.next[id] = j.d.cfg.Clock.Now().Add(min(jobPause<<n, maxJobPause))
}

func doneRecord(done fleet.JobDone) fleet.Record {
	return fleet.Record{Kind: fleet.KindJobDone, Writer: done.Member, JobDone: &done}
}

// jobRun is one run of a job.
type jobRun struct {
	j      *jobs
	job    fleet.JobState
	pool   string
	member string
}

func (r *jobRun) run(ctx context.Context) {
	failed := true
	defer func() { r.j.end(r.job.ID, failed) }()
	waits, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.j.waiting, cancel)()
	grant, err := r.j.d.pools.Acquire(waits, sched.Request{
		ID: r.job.ID, Service: r.job.Service, Pool: r.pool, Class: r.job.Class, Tenant: r.job.Tenant, Deadline: r.job.Deadline,
	})
	if err != nil {
		return
	}
	run := r.job.Run + 1
	if !r.start(ctx, run) {
		grant.Done(sched.Outcome{Verdict: retry.NotRun, Ended: r.j.d.cfg.Clock.Now()})
		return
	}
	if !r.mayUse(grant.VM) {
		grant.Done(sched.Outcome{Verdict: retry.NotRun, Ended: r.j.d.cfg.Clock.Now()})
		r.finish(ctx, fleet.JobDone{Job: r.job.ID, Member: r.member, Run: run, Verdict: retry.NotRun})
		return
	}
	done := r.send(ctx, grant, run)
	failed = done.Again || done.Verdict == retry.NotRun
	r.finish(ctx, done)
}

// mayUse reports whether the VM still takes work of the pool. The claim in the log may have taken
// so long that the VM was drained since the slot was granted.
func (r *jobRun) mayUse(vm string) bool {
	ok := false
	r.j.d.store.View(func(st *fleet.State) {
		v := st.VMs[vm]
		ok = v != nil && v.Phase == fleet.Active && v.Pool == r.pool
	})
	return ok && !slices.Contains(r.j.d.leaving.All(), vm)
}

// start claims the job in the log. Only an accepted claim allows the run.
func (r *jobRun) start(ctx context.Context, run int) bool {
	claim := fleet.JobStart{Job: r.job.ID, Member: r.member, Run: run}
	out, _ := r.j.d.writer.Append(ctx, fleet.Record{Kind: fleet.KindJobStart, Writer: r.member, JobStart: &claim})
	return out.Verdict == oplog.Accepted
}

func (r *jobRun) send(ctx context.Context, grant entry.Grant, run int) fleet.JobDone {
	body := r.job.Request.Body
	res := r.j.d.forwarder.Send(ctx, proxy.Attempt{
		Addr: grant.Addr, ID: fmt.Sprintf("%s-%d", r.job.ID, run), In: r.request(ctx),
		Body: bytes.NewReader(body), Length: int64(len(body)), Check: r.j.d.group.Check,
	})
	if res.Err == nil {
		res.Consume()
	}
	broken := res.Verdict == retry.Ran && res.Status >= http.StatusInternalServerError
	failed := broken || res.Verdict == retry.MayHaveRun || res.Err != nil && !res.Refused
	grant.Done(sched.Outcome{
		Verdict: res.Verdict, Status: res.Status, Ended: r.j.d.cfg.Clock.Now(),
		Failed: failed && !errors.Is(res.Err, proxy.ErrClosed), // closed here, which says nothing of the worker
	})
	return fleet.JobDone{
		Job: r.job.ID, Member: r.member, Run: run, Verdict: res.Verdict, Status: res.Status,
		Again: broken || res.Verdict == retry.MayHaveRun,
	}
}

func (r *jobRun) request(ctx context.Context) *http.Request {
	q := r.job.Request
	u, err := url.ParseRequestURI(q.Path)
	if err != nil {
		u = &url.URL{Path: q.Path}
	}
	req := &http.Request{Method: q.Method, URL: u, Header: http.Header(q.Header).Clone(), Host: r.job.Service, ProtoMajor: 1, ProtoMinor: 1}
	if req.Header == nil {
		req.Header = http.Header{}
	}
	return req.WithContext(ctx)
}

// finish records the outcome. It does not give up before the entry ends: without the record the job
// would stay running.
func (r *jobRun) finish(ctx context.Context, done fleet.JobDone) {
	rec := doneRecord(done)
	rec.ID = newID()
	for ctx.Err() == nil {
		out, err := r.j.d.writer.Append(ctx, rec)
		if out.Verdict == oplog.Accepted || out.Verdict == oplog.Rejected {
			return
		}
		r.j.d.log.Warn("the outcome of a job is not recorded yet", zap.String("Job", done.Job), zap.Error(err))
		select {
		case <-ctx.Done():
		case <-r.j.d.after(time.Second):
		}
	}
}
