package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
	"sassafrasvalve/io/admin"
)

// realEntry is the real operator API with a real fleet state, without a log.
type realEntry struct {
	mu   sync.Mutex
	st   *fleet.State
	held []fleet.Record // records that are appended but not folded yet
	hold bool
}

// realEntries holds the entries of all running scripts by URL.
var realEntries sync.Map

// startReal is the script command `real NAME`: it starts a realEntry and sets $NAME to its URL.
func startReal(ts *testscript.TestScript, _ bool, args []string) {
	e := &realEntry{st: fleet.NewState(fleet.StateConfig{Validate: spec.Validate})}
	server := admin.NewServer(admin.ServerConfig{State: e, Appender: e, Entries: e, Health: e, Metrics: e})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	ts.Defer(func() { ts.Check(errors.Join(server.Stop(context.Background()), <-served)) })
	ts.Setenv(args[0], "http://"+ln.Addr().String())
	realEntries.Store(ts.Getenv(args[0]), e)
}

// foldReal is the script command `fold URL WRITER KIND PAYLOAD`: it folds a record, which must be accepted.
func foldReal(ts *testscript.TestScript, _ bool, args []string) {
	e, _ := realEntries.Load(args[0])
	r := fleet.Record{ID: uuid.NewString(), Kind: fleet.Kind(args[2]), Writer: args[1]}
	ts.Check(json.Unmarshal([]byte(fmt.Sprintf("{%q:%s}", args[2], strings.Join(args[3:], " "))), &r))
	if res, _ := e.(*realEntry).Append(context.Background(), r); res.Outcome != admin.Accepted {
		ts.Fatalf("%+v", res)
	}
}

// holdReal is the script command `hold URL`, after which appended records are not folded, and
// `! hold URL`, which folds the held records.
func holdReal(ts *testscript.TestScript, neg bool, args []string) {
	v, _ := realEntries.Load(args[0])
	e := v.(*realEntry)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hold = !neg
	for _, r := range e.held {
		e.st.Apply(e.st.Offset+1, r)
	}
	e.held = nil
}

func (e *realEntry) View(f func(*fleet.State)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.st)
}

func (e *realEntry) Append(_ context.Context, r fleet.Record) (admin.Result, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hold {
		e.held = append(e.held, r)
		return admin.Result{Outcome: admin.Unknown, Reason: "the log does not answer"}, nil
	}
	res := e.st.Apply(e.st.Offset+1, r)
	if !res.Accepted {
		return admin.Result{Outcome: admin.Rejected, Offset: res.Offset, Reason: res.Reason}, nil
	}
	return admin.Result{Outcome: admin.Accepted, Offset: res.Offset}, nil
}

func (e *realEntry) Entries() []admin.EntryStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return []admin.EntryStatus{{Member: "e1#1", Version: e.st.Config.Version, Offset: e.st.Offset}}
}
func (e *realEntry) Live() error               { return nil }
func (e *realEntry) Ready() error              { return nil }
func (e *realEntry) WriteText(io.Writer) error { return nil }
