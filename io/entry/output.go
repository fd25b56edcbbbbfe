package entry

import (
	"net/http"
	"time"
)

// output writes the response to the caller. A write fails if the caller reads nothing for the idle time.
type output struct {
	http.ResponseWriter
	rc          *http.ResponseController
	idleTimeout time.Duration
	status      int
	started     bool // a final status has been written
}

func newOutput(w http.ResponseWriter, idleTimeout time.Duration) *output {
	o := &output{ResponseWriter: w, rc: http.NewResponseController(w), idleTimeout: idleTimeout}
	// The write deadline of the previous request on the connection may still be set.
	_ = o.rc.SetWriteDeadline(time.Time{})
	return o
}

// Unwrap returns the underlying writer. http.ResponseController uses it to set deadlines of the connection.
func (o *output) Unwrap() http.ResponseWriter { return o.ResponseWriter }

// WriteHeader sends the header with the given status, which may be a 1xx status.
func (o *output) WriteHeader(status int) {
	if status >= http.StatusOK {
		o.started, o.status = true, status
	}
	o.extendDeadline()
	o.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (o *output) Write(p []byte) (int, error) {
	o.extendDeadline()
	return o.ResponseWriter.Write(p)
}

// FlushError sends buffered data to the caller.
func (o *output) FlushError() error {
	o.extendDeadline()
	return o.rc.Flush()
}

func (o *output) extendDeadline() { _ = o.rc.SetWriteDeadline(time.Now().Add(o.idleTimeout)) }

// writeInformational passes on a 1xx response. Its header fields are removed again before the final response.
func (o *output) writeInformational(status int, h http.Header) {
	header := o.Header()
	final := header.Clone()
	for name, vs := range h {
		if _, ok := header[name]; !ok {
			header[name] = vs
		}
	}
	o.WriteHeader(status)
	for name := range header {
		if _, ok := final[name]; !ok {
			delete(header, name)
		}
	}
}
