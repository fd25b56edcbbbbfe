package worker

import (
	"fmt"
	"net/http"
	"time"

	"sassafrasvalve/core/spec"
)

// Kind is the kind of a fault.
type Kind string

// Kinds of faults.
const (
	KindNone        Kind = ""
	KindFail        Kind = "fail"         // status 500
	KindRefuse      Kind = "refuse"       // status 503 with Sassafrasvalve-Not-Run; the request is not counted as run
	KindTruncate    Kind = "truncate"     // sends half of the body and closes the connection
	KindTruncChunk  Kind = "trunc-chunk"  // the same as KindTruncate with chunked encoding
	KindShort       Kind = "short"        // Content-Length is above the length of the body
	KindLong        Kind = "long"         // Content-Length is below the length of the body; the connection stays open
	KindNever       Kind = "never"        // no response until the caller disconnects
	KindClose       Kind = "close"        // closes the connection without a response after the request has run
	KindCrossed     Kind = "crossed"      // the response has the ID of another request
	KindSilent      Kind = "silent"       // the response does not repeat the request ID
	KindDouble      Kind = "double"       // a second response, without a request, follows at once
	KindLateDouble  Kind = "late-double"  // the same as KindDouble 20 ms later
	KindUnframed    Kind = "unframed"     // the response has neither Content-Length nor chunks
	KindForge       Kind = "forge"        // sets response headers that are reserved for the entry
	KindBadRefusal  Kind = "bad-refusal"  // status 503 without Sassafrasvalve-Not-Run; the request has run
	KindHints       Kind = "hints"        // status 103 before the response
	KindSwitch      Kind = "switch"       // status 101 without a request for an upgrade
	KindConnHeaders Kind = "conn-headers" // hop-by-hop headers in the response
)

// Request headers that select the behaviour for one request.
const (
	HeaderFault   = "X-Fault"
	HeaderLatency = "X-Latency"
)

// Fault is a fault of a worker and the requests that it affects.
type Fault struct {
	Kind    Kind
	Share   float64       // fraction of the requests that Kind applies to; 0 means all
	Times   int           // number of requests that Kind applies to; 0 means no limit
	Latency spec.Duration // of all requests
}

// behaviour returns the kind of fault and the latency for a request. The headers of the request take precedence over
// the fault of the worker. It returns an error if the latency header is not a duration.
func (s *Server) behaviour(r *http.Request) (Kind, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latency := time.Duration(s.fault.Latency)
	if v := r.Header.Get(HeaderLatency); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil {
			return KindNone, 0, fmt.Errorf("header %s: %w", HeaderLatency, err)
		}
		latency = d
	}
	if v := r.Header.Get(HeaderFault); v != "" {
		return Kind(v), latency, nil
	}
	if s.fault.Kind == KindNone || (s.fault.Share > 0 && s.rnd.Float64() >= s.fault.Share) {
		return KindNone, latency, nil
	}
	kind := s.fault.Kind
	if s.fault.Times > 0 {
		if s.fault.Times--; s.fault.Times == 0 {
			s.fault.Kind = KindNone
		}
	}
	return kind, latency, nil
}
