package worker

import (
	"fmt"
	"net/http"
	"time"

	"sassafrasvalve/core/spec"
)

// Kind names a way to misbehave.
type Kind string

// The ways to misbehave.
const (
	KindNone        Kind = ""
	KindFail        Kind = "fail"         // 500
	KindRefuse      Kind = "refuse"       // 503 with Sassafrasvalve-Not-Run, not counted as ran
	KindTruncate    Kind = "truncate"     // the body stops half way and the connection closes
	KindTruncChunk  Kind = "trunc-chunk"  // likewise with chunked framing
	KindShort       Kind = "short"        // Content-Length above the body's length
	KindLong        Kind = "long"         // Content-Length below the body's length, connection kept
	KindNever       Kind = "never"        // no answer until the caller goes away
	KindClose       Kind = "close"        // closes after the request has run, without an answer
	KindCrossed     Kind = "crossed"      // answers with another request's ID
	KindSilent      Kind = "silent"       // answers do not repeat the request ID
	KindDouble      Kind = "double"       // a second answer, to another ID, follows at once
	KindLateDouble  Kind = "late-double"  // likewise 20 ms later
	KindUnframed    Kind = "unframed"     // neither length nor chunks
	KindForge       Kind = "forge"        // sets this project's response headers itself
	KindBadRefusal  Kind = "bad-refusal"  // 503 without the header: the request has run
	KindHints       Kind = "hints"        // 103 before the answer
	KindSwitch      Kind = "switch"       // 101 unasked
	KindConnHeaders Kind = "conn-headers" // hop-by-hop headers in the answer
)

// Headers that set the behaviour of one request.
const (
	HeaderFault   = "X-Fault"
	HeaderLatency = "X-Latency"
)

// Fault is the behaviour of a worker.
type Fault struct {
	Kind    Kind
	Share   float64 // of the requests that Kind applies to; 0 means all
	Times   int     // number of requests that Kind applies to; 0 means no limit
	Latency spec.Duration
}

// behaviour returns what a request gets: by its headers, else by the worker's fault.
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
