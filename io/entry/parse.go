package entry

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"sassafrasvalve/core/spec"
	"sassafrasvalve/io/proxy"
	"sassafrasvalve/platform"
)

// Request headers.
const (
	headerService  = "Sassafrasvalve-Service"
	headerClass    = "Sassafrasvalve-Class"
	headerTenant   = "Sassafrasvalve-Tenant"
	headerDeadline = "Sassafrasvalve-Deadline"
	headerKey      = "Idempotency-Key"
)

// Limits of the deadline and the idempotency key that callers may set.
const (
	maxDeadlineAhead           = 24 * time.Hour
	maxDeferrableDeadlineAhead = 8 * 24 * time.Hour // deferrable work may wait for the same weekday of the next week
	maxKeyLength               = 255
)

// request holds the checked properties of a caller's request.
type request struct {
	id                string
	arrived           time.Time
	service           spec.Service
	class             spec.Class
	tenant            string
	key               string
	deadline          time.Time
	hasCallerDeadline bool // the caller set the deadline
}

// parse checks a request against the view and returns its properties.
func (s *Server) parse(r *http.Request, id string) (*request, *refusal) {
	v := s.view.Load()
	if v == nil {
		return nil, unavailable(s.now(), "no-view", "this entry has no configuration yet")
	}
	if ref := checkForwardable(r, s.cfg.MaxHeaderBytes); ref != nil {
		return nil, ref
	}
	q := &request{id: id, arrived: s.now()}
	var ok bool
	if q.service, ok = v.services[r.Header.Get(headerService)]; !ok {
		return nil, newRefusal(http.StatusNotFound, "unknown-service", "service %q does not exist", r.Header.Get(headerService))
	}
	if ref := v.authenticate(r, q.service); ref != nil {
		return nil, ref
	}
	if q.class, ok = v.classes[r.Header.Get(headerClass)]; !ok {
		return nil, newRefusal(http.StatusBadRequest, "unknown-class", "class %q does not exist", r.Header.Get(headerClass))
	}
	q.tenant = r.Header.Get(headerTenant)
	if _, ok = v.tenants[q.tenant]; !ok {
		return nil, newRefusal(http.StatusBadRequest, "unknown-tenant", "tenant %q does not exist", q.tenant)
	}
	q.key = r.Header.Get(headerKey)
	return q, s.setDeadline(r, q)
}

func (s *Server) setDeadline(r *http.Request, q *request) *refusal {
	values, ok := r.Header[headerDeadline]
	if !ok {
		q.deadline = q.arrived.Add(s.cfg.DefaultTimeout)
		if q.class.Deferrable {
			q.deadline = finishBy(q.class.FinishBy, q.arrived)
		}
		return nil
	}
	d, err := parseDeadline(values[0])
	if err != nil {
		return newRefusal(http.StatusBadRequest, "deadline", "header %s: %v", headerDeadline, err)
	}
	maxAhead := maxDeadlineAhead
	if q.class.Deferrable {
		maxAhead = maxDeferrableDeadlineAhead
	}
	switch {
	case !d.After(q.arrived):
		return newRefusal(http.StatusBadRequest, "deadline", "header %s: %s has passed", headerDeadline, d.Format(time.RFC3339Nano))
	case d.Sub(q.arrived) > maxAhead:
		return newRefusal(http.StatusBadRequest, "deadline", "header %s: %s is more than %s ahead", headerDeadline, d.Format(time.RFC3339Nano), maxAhead)
	}
	q.deadline, q.hasCallerDeadline = d, true
	return nil
}

// parseDeadline parses a time in RFC 3339 format or in Unix milliseconds.
func parseDeadline(text string) (time.Time, error) {
	if d, err := time.Parse(time.RFC3339, text); err == nil {
		return d.UTC(), nil
	}
	ms, err := strconv.ParseUint(text, 10, 53) // 53 bits exceed any date in use
	if err != nil {
		return time.Time{}, fmt.Errorf("%q is neither an RFC 3339 time nor unix milliseconds", text)
	}
	return time.UnixMilli(int64(ms)).UTC(), nil //nolint:gosec // 53 bits
}

// finishBy returns the first time after now that matches a text such as "Sat 06:00", in UTC. For an
// invalid text it returns the time a day ahead; the validation of the configuration reports such texts.
func finishBy(text string, now time.Time) time.Time {
	now = now.UTC()
	day, clock, _ := strings.Cut(text, " ")
	at, err := time.Parse("15:04", clock)
	if err != nil {
		return now.Add(maxDeadlineAhead)
	}
	for ahead := range 8 {
		d := time.Date(now.Year(), now.Month(), now.Day()+ahead, at.Hour(), at.Minute(), 0, 0, time.UTC)
		if d.After(now) && strings.EqualFold(d.Weekday().String()[:3], day) {
			return d
		}
	}
	return now.Add(maxDeadlineAhead)
}

// checkForwardable refuses requests that cannot be forwarded unchanged, independent of the configuration.
func checkForwardable(r *http.Request, maxHeader int) *refusal {
	if r.Method == http.MethodConnect {
		return newRefusal(http.StatusMethodNotAllowed, "method", "CONNECT is not supported")
	}
	if !r.ProtoAtLeast(1, 1) {
		return newRefusal(http.StatusHTTPVersionNotSupported, "version", "%s cannot tell a truncated response from a whole one; use HTTP/1.1", r.Proto)
	}
	size := len(r.RequestURI) + len(r.Host)
	fields := 0
	for name, vs := range r.Header {
		for _, v := range vs {
			size += len(name) + len(v)
			fields++
		}
		if ref := checkField(name, vs); ref != nil {
			return ref
		}
	}
	if size > maxHeader || fields > maxHeaderFields {
		return newRefusal(http.StatusRequestHeaderFieldsTooLarge, "header-size", "the header has %d bytes in %d fields; at most %d bytes in %d fields are accepted",
			size, fields, maxHeader, maxHeaderFields)
	}
	for name := range r.Trailer {
		if isInterpreted(name) {
			return newRefusal(http.StatusBadRequest, "trailer", "%s may not be a trailer", name)
		}
	}
	return checkConnection(r.Header)
}

func checkField(name string, vs []string) *refusal {
	switch {
	case name == headerService, name == headerClass, name == headerTenant, name == headerDeadline, name == headerKey:
		if len(vs) > 1 {
			return newRefusal(http.StatusBadRequest, "duplicate", "header %s is given %d times", name, len(vs))
		}
		if name == headerKey && !validKey(vs[0]) {
			return newRefusal(http.StatusBadRequest, "key", "header %s must have 1 to %d visible ASCII characters", name, maxKeyLength)
		}
	case isReserved(name):
		return newRefusal(http.StatusBadRequest, "header", "header %s is not one that callers may set", name)
	}
	return nil
}

// isReserved reports whether a field name is reserved for this project. Underscores count as
// hyphens, since some servers read "_" as "-".
func isReserved(name string) bool {
	name = strings.ReplaceAll(name, "_", "-")
	return len(name) >= len(proxy.HeaderPrefix) && strings.EqualFold(name[:len(proxy.HeaderPrefix)], proxy.HeaderPrefix)
}

// isInterpreted reports whether this program or the worker relies on a field, so that a peer must not
// be able to remove it or to send it as a trailer.
func isInterpreted(name string) bool {
	switch textproto.CanonicalMIMEHeaderKey(name) {
	case headerKey, "X-Idempotency-Key", "Content-Length", "Transfer-Encoding", "Host", "Expect", "Via", "X-Forwarded-For", platform.HeaderAPIKey:
		return true
	}
	return isReserved(name)
}

// checkConnection refuses a Connection field that lists fields which must reach the worker.
// HTTP requires a proxy to remove the listed fields, which would change the meaning of the request.
func checkConnection(h http.Header) *refusal {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = textproto.TrimString(name); isInterpreted(name) {
				return newRefusal(http.StatusBadRequest, "connection", "header Connection may not list %s", name)
			}
		}
	}
	return nil
}

func validKey(key string) bool {
	if key == "" || len(key) > maxKeyLength {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}
