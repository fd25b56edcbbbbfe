package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/io/proxy"
	"sassafrasvalve/io/stats"
	"sassafrasvalve/platform"
)

const jobPath = "/-/jobs/"

// JobState is the state of a job, which runs a deferrable request.
type JobState string

// The states of a job.
const (
	JobQueued  JobState = "Queued"
	JobRunning JobState = "Running"
	JobDone    JobState = "Done"
)

// JobStatus is the status of a job that a caller gets, encoded as JSON.
type JobStatus struct {
	ID       string
	State    JobState
	Verdict  *retry.Verdict `json:",omitempty"` // set once the job is done
	Status   int            `json:",omitempty"` // HTTP status of the worker's answer
	Runs     int
	Deadline time.Time

	// Of the job, to check who may read its status.
	Service string `json:"-"`
	Tenant  string `json:"-"`
}

// unknownJob is the body of an answer without a status. It carries no verdict, since a job that is unknown to this entry may have run.
type unknownJob struct {
	ID     string
	Detail string
}

// submit submits a deferrable request as a job that runs later.
func (x *exchange) submit() {
	if x.s.cfg.Jobs == nil {
		x.refuse(unavailable(x.s.now(), "jobs", "this entry accepts no deferrable requests"))
		return
	}
	if err := x.in.bufferAll(); err != nil {
		x.refuse(newRefusal(http.StatusBadRequest, "body", "%v", err))
		return
	}
	job := x.job()
	if ref := x.claim(); ref != nil {
		if ref.stored && ref.status == http.StatusAccepted {
			x.accepted(job)
			return
		}
		if ref.stored {
			ref.job = job.ID
		}
		x.refuse(ref)
		return
	}
	defer x.endIfAborted()
	err := x.s.cfg.Jobs.Submit(x.r.Context(), job)
	if err == nil {
		x.accepted(job)
		return
	}
	ref := unavailable(x.s.now(), "jobs", "the job was not accepted: "+err.Error())
	if errors.Is(err, ErrOutcomeUnknown) || callerDisconnected(x.r) {
		ref.verdict, ref.job = retry.MayHaveRun, job.ID
	} else if given, ok := asRefusal(err); ok {
		ref.status, ref.retryAt = given.Status, given.RetryAt
	}
	x.refuse(ref)
}

// job returns the job for the request. With an idempotency key the job ID is derived from the tenant,
// the service and the key, so that a repeated request gets the same job ID whatever the outcome of the first.
func (x *exchange) job() fleet.Job {
	q := x.q
	id := q.id
	if q.key != "" {
		id = uuid.NewSHA1(uuid.NameSpaceURL, []byte(q.tenant+"\x00"+q.service.Name+"\x00"+q.key)).String()
	}
	h := x.r.Header.Clone()
	proxy.StripHop(h)
	h.Del("Expect")
	return fleet.Job{
		ID: id, Service: q.service.Name, Class: q.class.Name, Tenant: q.tenant,
		Idempotent: q.class.Idempotent, Deadline: q.deadline,
		Request: fleet.JobRequest{Method: x.r.Method, Path: x.r.URL.RequestURI(), Header: h, Body: x.in.buf},
	}
}

// accepted answers with status 202. The answer carries no verdict, since the job has not run yet.
func (x *exchange) accepted(job fleet.Job) {
	x.end(retry.Ran, http.StatusAccepted, "")
	h := x.w.Header()
	h.Set("Location", jobPath+job.ID)
	h.Set("Content-Type", "application/json")
	x.w.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(x.w).Encode(JobStatus{ID: job.ID, State: JobQueued, Deadline: job.Deadline})
}

// getJob answers with the status of a job, with 404 if the job is unknown or belongs to another tenant, and with 401 if the
// caller needs an API key and has sent none that is known.
func (s *Server) getJob(ctx iris.Context) {
	id := ctx.Params().Get("id")
	ctx.Header("Cache-Control", "no-store")
	var st JobStatus
	known := false
	if s.cfg.Jobs != nil {
		st, known = s.cfg.Jobs.Status(ctx.Request().Context(), id)
	}
	visible, ref := s.checkReader(ctx.Request(), st)
	switch {
	case ref != nil:
		s.refuseReader(ctx, id, ref)
	case known && visible:
		_ = ctx.JSON(st)
	default:
		ctx.StatusCode(http.StatusNotFound)
		_ = ctx.JSON(unknownJob{ID: id, Detail: "no such job is known here; it may have been forgotten after its end"})
	}
}

// refuseReader refuses to answer with the status of a job. The answer carries no verdict, since it would be taken for that of the job.
func (s *Server) refuseReader(ctx iris.Context, id string, ref *refusal) {
	s.observe(newID(), stats.Observation{Verdict: ref.verdict, Status: ref.status, Reason: ref.reason})
	if ref.keyless {
		ctx.Header("WWW-Authenticate", platform.KeyScheme)
	}
	if !ref.retryAt.IsZero() {
		ctx.Header("Retry-After", strconv.FormatInt(retryAfter(ref.retryAt, s.now()), 10))
	}
	ctx.StatusCode(ref.status)
	_ = ctx.JSON(unknownJob{ID: id, Detail: ref.detail})
}
