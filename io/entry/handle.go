package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"sassafrasvalve/core/dedup"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/io/proxy"
	"sassafrasvalve/io/sched"
	"sassafrasvalve/io/stats"
)

func isLocalPath(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/-/") }

// handle serves one request of a caller: it checks the request, then accepts it as a job or runs it.
func (s *Server) handle(rw http.ResponseWriter, r *http.Request) {
	w := newOutput(rw, s.cfg.BodyIdleTimeout)
	_ = w.rc.EnableFullDuplex() // a worker may answer while the body still arrives
	id := newID()
	w.Header().Set(proxy.HeaderRequestID, id)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	in := newInput(rw, r, s.cfg.BodyIdleTimeout)
	defer in.close()
	// The lease is checked first, since an entry that is still catching up does not know every service.
	ref := s.checkLease()
	var q *request
	if ref == nil {
		q, ref = s.parse(r, id)
	}
	if ref == nil {
		ref = s.checkBody(r, q, in)
	}
	if ref != nil {
		s.finishRefused(w, r, q, id, ref)
		return
	}
	x := &exchange{s: s, w: w, r: r, q: q, in: in}
	if q.class.Deferrable && r.Method == http.MethodPost {
		x.submit()
		return
	}
	x.serve()
}

// newID returns a UUIDv7. Its order by time helps to find a request in logs.
func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// checkBody checks the size of the body and buffers a small one. It refuses a request that is known to be poison.
func (s *Server) checkBody(r *http.Request, q *request, in *input) *refusal {
	if s.cfg.MaxBodyBytes > 0 {
		if in.length > s.cfg.MaxBodyBytes {
			return newRefusal(http.StatusRequestEntityTooLarge, "body-size", "the body has %d bytes; at most %d are accepted", in.length, s.cfg.MaxBodyBytes)
		}
		// Reading a body of unknown length fails at the limit, as if the caller had disconnected.
		r.Body = http.MaxBytesReader(nil, r.Body, s.cfg.MaxBodyBytes)
	}
	if q.class.Deferrable && r.Method == http.MethodPost && (in.length < 0 || in.length > maxJobBodyBytes) {
		return newRefusal(http.StatusRequestEntityTooLarge, "job-size", "a deferrable request needs a Content-Length of at most %d", maxJobBodyBytes)
	}
	if err := in.bufferSmall(); err != nil {
		return newRefusal(http.StatusBadRequest, "body", "%v", err)
	}
	if s.poisoned(r, q, in) {
		return &refusal{
			status: http.StatusUnprocessableEntity, verdict: retry.NotRun, reason: "poison",
			detail: "this request failed on several workers that served others; it is not tried again for a while",
		}
	}
	return nil
}

// checkLease returns a refusal while the entry may not start work.
func (s *Server) checkLease() *refusal {
	if err := s.checkGate(); err != nil {
		return unavailable(s.now(), "lease", "this entry may not start work: "+err.Error())
	}
	return nil
}

func (s *Server) finishRefused(w *output, r *http.Request, q *request, id string, ref *refusal) {
	s.refuse(w, id, ref)
	o := stats.Observation{Verdict: ref.verdict, Status: ref.status, Reason: ref.reason}
	if q != nil {
		o.Service, o.Class, o.Tenant = q.service.Name, q.class.Name, q.tenant
		o.Total = s.now().Sub(q.arrived)
	}
	s.observe(id, o)
	s.cfg.Log.Debug("request refused", zap.String("RequestID", id), zap.String("Path", r.URL.Path),
		zap.String("Reason", ref.reason), zap.String("Detail", ref.detail))
}

// observe counts and logs an answered request. Requests that may have run are logged at warn level,
// since callers may ask an operator about them.
func (s *Server) observe(id string, o stats.Observation) {
	level := zap.DebugLevel
	if o.Verdict == retry.MayHaveRun {
		level = zap.WarnLevel
	}
	s.cfg.Log.Log(level, "request answered", zap.String("RequestID", id), zap.String("Service", o.Service),
		zap.String("Class", o.Class), zap.String("Tenant", o.Tenant), zap.Stringer("Verdict", o.Verdict),
		zap.Int("Status", o.Status), zap.String("Reason", o.Reason), zap.Int("Attempts", o.Attempts),
		zap.Duration("Wait", o.Wait), zap.Duration("Total", o.Total))
	if s.cfg.Observer != nil {
		s.cfg.Observer.Observe(o)
	}
}

func fingerprint(r *http.Request, in *input) dedup.Fingerprint {
	var body []byte
	if in.buffered {
		body = in.buf
	}
	return dedup.NewFingerprint(r.Method, r.URL.EscapedPath(), r.URL.RawQuery, in.length, body)
}

// poisonKey returns the key of a request for the detection of poison requests, which fail on every worker.
// It includes the tenant, so that a tenant cannot block the requests of others. It is empty
// if the body is not buffered completely, since two different bodies would get the same key.
func poisonKey(r *http.Request, q *request, in *input) string {
	if !in.buffered {
		return ""
	}
	f, _ := fingerprint(r, in).MarshalText()
	return q.service.Name + "/" + q.tenant + "/" + string(f)
}

func (s *Server) poisoned(r *http.Request, q *request, in *input) bool {
	key := poisonKey(r, q, in)
	if key == "" {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.IsPoison(s.now(), key)
}

// reportPoison records the outcome of an attempt and reports whether the request is poison.
func (s *Server) reportPoison(key, vm string, failed bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Report(s.now(), vm, key, failed)
}

// errDeadlinePassed is the cause with which an attempt is cancelled that got no response header in time.
var errDeadlinePassed = errors.New("the deadline has passed")

// callerDisconnected reports whether the caller closed the connection.
func callerDisconnected(r *http.Request) bool {
	return errors.Is(context.Cause(r.Context()), context.Canceled)
}

func asRefusal(err error) (*sched.Refusal, bool) {
	var ref *sched.Refusal
	ok := errors.As(err, &ref)
	return ref, ok
}
