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
	jobInterval      = 200 * time.Millisecond
	maxActiveJobs    = 32              // per entry, waiting for a slot or running
	minJobRetryDelay = time.Second     // before the second try of a job, doubled for each further try
	maxJobRetryDelay = 5 * time.Minute // between two tries of a job
	submitRetryAfter = 5 * time.Second // reported to callers while no job can be accepted
	submitTimeout    = 3 * time.Second // after which the outcome is reported as unknown
)

// jobs appends deferrable requests to the log and runs those that this entry owns.
// It implements entry.Jobs.
type jobs struct {
	d *Daemon

	waitCtx context.Context // ends when the entry stops; cancels the waits for a slot
	stop    context.CancelFunc

	mu       sync.Mutex
	active   map[string]bool
	nextTry  map[string]time.Time // earliest next try on this entry
	failures map[string]int       // failed tries on this entry
}

func newJobs(d *Daemon) *jobs {
	j := &jobs{d: d, active: map[string]bool{}, nextTry: map[string]time.Time{}, failures: map[string]int{}}
	j.waitCtx, j.stop = context.WithCancel(context.Background())
	return j
}

// Submit appends a job to the log. It returns a *sched.Refusal if the job is certainly not accepted, and an
// error that wraps entry.ErrOutcomeUnknown if it may have been appended.
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
	return &sched.Refusal{Status: status, Reason: reason, RetryAt: j.d.cfg.Clock.Now().Add(submitRetryAfter)}
}

// Status returns the state of a job, and false if the folded state does not have it.
func (j *jobs) Status(_ context.Context, id string) (entry.JobStatus, bool) {
	var out entry.JobStatus
	ok := false
	j.d.store.View(func(st *fleet.State) {
		js := st.Jobs[id]
		if ok = js != nil; !ok {
			return
		}
		out = entry.JobStatus{ID: id, State: jobState(js.Phase), Runs: js.Run, Deadline: js.Deadline, Service: js.Service, Tenant: js.Tenant}
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

// loop starts the jobs that are due on this entry, until ctx ends.
func (j *jobs) loop(ctx context.Context) {
	tick := time.NewTicker(jobInterval)
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

// drainPollInterval is how often a stopping entry checks whether its last run has ended.
const drainPollInterval = 50 * time.Millisecond

// drain waits until no run is in progress on this entry. It is called after stop and returns early when ctx ends.
func (j *jobs) drain(ctx context.Context) {
	for j.running() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-j.d.after(drainPollInterval):
		}
	}
}

func (j *jobs) running() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.active)
}

// due returns the queued jobs that this entry owns, up to maxActiveJobs in progress, and marks them active.
// A stopping entry starts none.
func (j *jobs) due() []*jobRun {
	now, self := j.d.cfg.Clock.Now(), j.d.group.Self()
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []*jobRun
	if j.waitCtx.Err() != nil {
		return nil
	}
	j.d.store.View(func(st *fleet.State) {
		live := st.LiveMembers(j.d.cfg.Settings.Region)
		for _, id := range st.QueuedJobs() {
			if len(j.active) >= maxActiveJobs {
				return
			}
			if j.active[id] || now.Before(j.nextTry[id]) || hash.Owner(id, live) != self {
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
		j.forgetEnded(st)
	})
	return out
}

// forgetEnded deletes the retry state of ended jobs.
func (j *jobs) forgetEnded(st *fleet.State) {
	for id := range j.nextTry {
		if js := st.Jobs[id]; js == nil || js.Phase == fleet.JobEnded {
			delete(j.nextTry, id)
			delete(j.failures, id)
		}
	}
}

// abandoned returns a JobDone for each job that is running on this entry by the folded state but has no run in
// progress. This happens if the outcome of its JobStart was unknown, in which case the job was not sent.
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

// endRun marks a job as inactive and, if its run failed, sets the earliest time of its next try.
func (j *jobs) endRun(id string, failed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.active, id)
	if !failed {
		return
	}
	n := min(j.failures[id], 10) // 1,024 times minJobRetryDelay exceeds the maximum; a larger shift could overflow
	j.failures[id]++
	j.nextTry[id] = j.d.cfg.Clock.Now().Add(min(minJobRetryDelay<<n, maxJobRetryDelay))
}

func doneRecord(done fleet.JobDone) fleet.Record {
	return fleet.Record{Kind: fleet.KindJobDone, Writer: done.Member, JobDone: &done}
}

// jobRun is one run of a job: it waits for a slot, claims the job, sends the request and records the outcome.
type jobRun struct {
	j      *jobs
	job    fleet.JobState
	pool   string
	member string
}

func (r *jobRun) run(ctx context.Context) {
	failed := true
	defer func() { r.j.endRun(r.job.ID, failed) }()
	slotCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.j.waitCtx, cancel)()
	grant, err := r.j.d.pools.Acquire(slotCtx, sched.Request{
		ID: r.job.ID, Service: r.job.Service, Pool: r.pool, Class: r.job.Class, Tenant: r.job.Tenant, Deadline: r.job.Deadline,
	})
	if err != nil {
		return
	}
	run := r.job.Run + 1
	if !r.claim(ctx, run) {
		grant.Done(sched.Outcome{Verdict: retry.NotRun, Ended: r.j.d.cfg.Clock.Now()})
		return
	}
	if !r.vmTakesWork(grant.VM) {
		grant.Done(sched.Outcome{Verdict: retry.NotRun, Ended: r.j.d.cfg.Clock.Now()})
		r.finish(ctx, fleet.JobDone{Job: r.job.ID, Member: r.member, Run: run, Verdict: retry.NotRun})
		return
	}
	done := r.send(ctx, grant, run)
	failed = done.Again || done.Verdict == retry.NotRun
	r.finish(ctx, done)
}

// vmTakesWork reports whether the VM still takes work of the pool. The append of the claim may have taken so
// long that the VM has been drained since the slot was granted.
func (r *jobRun) vmTakesWork(vm string) bool {
	ok := false
	r.j.d.store.View(func(st *fleet.State) {
		v := st.VMs[vm]
		ok = v != nil && v.Phase == fleet.Active && v.Pool == r.pool
	})
	return ok && !slices.Contains(r.j.d.leaving.All(), vm)
}

// claim appends the JobStart and reports whether it was accepted. Only then may the request be sent.
func (r *jobRun) claim(ctx context.Context, run int) bool {
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
		res.DrainAndDiscard()
	}
	serverError := res.Verdict == retry.Ran && res.Status >= http.StatusInternalServerError
	failed := serverError || res.Verdict == retry.MayHaveRun || res.Err != nil && !res.NotStarted
	grant.Done(sched.Outcome{
		Verdict: res.Verdict, Status: res.Status, Ended: r.j.d.cfg.Clock.Now(),
		Failed: failed && !errors.Is(res.Err, proxy.ErrClosed), // closed by this entry, so not a failure of the worker
	})
	return fleet.JobDone{
		Job: r.job.ID, Member: r.member, Run: run, Verdict: res.Verdict, Status: res.Status,
		Again: serverError || res.Verdict == retry.MayHaveRun,
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

// finish appends the outcome, and retries until ctx ends: without the record the job would stay in phase running.
func (r *jobRun) finish(ctx context.Context, done fleet.JobDone) {
	rec := doneRecord(done)
	rec.ID = newID()
	for ctx.Err() == nil {
		out, err := r.j.d.writer.Append(ctx, rec)
		if out.Verdict == oplog.Accepted || out.Verdict == oplog.Rejected {
			return
		}
		r.j.d.log.Warn("append of a job's outcome failed, retrying", zap.String("Job", done.Job), zap.Error(err))
		select {
		case <-ctx.Done():
		case <-r.j.d.after(time.Second):
		}
	}
}
