package entry

import (
	"net/http"
	"time"
)

// output is the caller's side of a response. The caller may pause for the idle time in taking it.
type output struct {
	http.ResponseWriter
	rc      *http.ResponseController
	idle    time.Duration
	status  int
	started bool // a final status was written
}

func newOutput(w http.ResponseWriter, idle time.Duration) *output {
	o := &output{ResponseWriter: w, rc: http.NewResponseController(w), idle: idle}
	// The deadline of the connection's previous request may still be set.
	_ = o.rc.SetWriteDeadline(time.Time{})
	return o
}

// Unwrap lets http.ResponseController reach the connection.
func (o *output) Unwrap() http.ResponseWriter { return o.ResponseWriter }

// WriteHeader starts the response.
func (o *output) WriteHeader(status int) {
	if status >= http.StatusOK {
		o.started, o.status = true, status
	}
	o.extend()
	o.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (o *output) Write(p []byte) (int, error) {
	o.extend()
	return o.ResponseWriter.Write(p)
}

// FlushError sends what is buffered.
func (o *output) FlushError() error {
	o.extend()
	return o.rc.Flush()
}

func (o *output) extend() { _ = o.rc.SetWriteDeadline(time.Now().Add(o.idle)) }

// early passes on a 1xx response. Its fields do not stay for the final one.
func (o *output) early(status int, h http.Header) {
	own := o.Header()
	kept := own.Clone()
	for name, vs := range h {
		if _, ok := own[name]; !ok {
			own[name] = vs
		}
	}
	o.WriteHeader(status)
	for name := range own {
		if _, ok := kept[name]; !ok {
			delete(own, name)
		}
	}
}
