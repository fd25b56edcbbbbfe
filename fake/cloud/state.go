package cloud

import (
	"bytes"
	"net/http"
)

// State is the response to GET /state, which tests read.
type State struct {
	First, Next int64
	Appends     int64    // appends that took effect
	Records     []Entry  `json:",omitempty"` // only with ?records=1
	VMs         []VM     // current VMs, without the lag of the list
	Tasks       []Task   // with lagging usage
	Rebooting   []string `json:",omitempty"`
	Faults      []Fault
}

// State returns the current state with all records.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	s.fleet.finishReboots(now)
	s.faults.expire(now)
	s.log.expire(now)
	st := State{
		First: s.log.first, Next: s.log.next(), Appends: s.log.appends,
		Records: s.log.read(s.log.first, len(s.log.records), 1<<62),
		VMs:     s.fleet.sorted(), Tasks: s.taskList().Tasks, Faults: []Fault{},
	}
	for _, vm := range st.VMs {
		if vm.Away {
			st.Rebooting = append(st.Rebooting, vm.ID)
		}
	}
	for _, r := range s.faults.rules {
		st.Faults = append(st.Faults, *r)
	}
	return st
}

func (s *Server) getState(w http.ResponseWriter, r *http.Request) {
	st := s.State()
	if r.FormValue("records") == "" {
		st.Records = nil
	}
	writeJSON(w, http.StatusOK, st)
}

// delayedWriter buffers a response until flush sends it after a delay.
type delayedWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header of the response.
func (l *delayedWriter) Header() http.Header { return l.header }

// WriteHeader sets the status of the response.
func (l *delayedWriter) WriteHeader(status int) { l.status = status }

// Write adds to the body of the response.
func (l *delayedWriter) Write(p []byte) (int, error) { return l.body.Write(p) }

func (l *delayedWriter) flush(w http.ResponseWriter) {
	for name, values := range l.header {
		w.Header()[name] = values
	}
	w.WriteHeader(l.status)
	_, _ = w.Write(l.body.Bytes()) // the client may have disconnected
}
