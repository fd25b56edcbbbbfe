package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
)

// testStore is a folded state with an appender that fails on demand.
type testStore struct {
	mu    sync.Mutex
	st    *fleet.State
	late  []fleet.Record // folded by the command release
	mode  string         // failure mode of the next append
	ready error
}

func (s *testStore) View(f func(*fleet.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.st)
}

func (s *testStore) fold(r fleet.Record) fleet.Result { return s.st.Apply(s.st.Offset+1, r) }

func (s *testStore) Append(ctx context.Context, r fleet.Record) (Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return Result{Outcome: NotAppended}, err
	}
	mode := s.mode
	s.mode = ""
	switch mode {
	case "refuse":
		return Result{Outcome: NotAppended}, errors.New("the log is down")
	case "late":
		s.late = append(s.late, r)
		return Result{Outcome: Accepted}, errors.New("no answer from the log")
	case "silent":
		return Result{}, nil
	}
	res := s.fold(r)
	if mode == "lose" {
		return Result{}, errors.New("no answer from the log")
	}
	if mode == "twice" {
		res = s.fold(r)
	}
	if !res.Accepted {
		return Result{Outcome: Rejected, Offset: res.Offset, Reason: res.Reason}, nil
	}
	return Result{Outcome: Accepted, Offset: res.Offset}, nil
}

func (s *testStore) Entries() []EntryStatus {
	return []EntryStatus{{Member: "e2#1", Silent: true}, {Member: "e1#1", Version: 1}}
}
func (s *testStore) Live() error  { return nil }
func (s *testStore) Ready() error { return s.ready }
func (s *testStore) WriteText(w io.Writer) error {
	_, err := io.WriteString(w, "up 1\n")
	return err
}

// newStore returns the state that testdata/setup.txt describes.
func newStore(t testing.TB) *testStore {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "setup.txt"))
	assert.NilError(t, err)
	s := &testStore{st: fleet.NewState(fleet.StateConfig{Validate: spec.Validate})}
	for line := range strings.Lines(string(data)) {
		s.setUp(t, strings.TrimPrefix(line, "fold "))
	}
	return s
}

// setUp folds a record given as WRITER KIND PAYLOAD.
func (s *testStore) setUp(t testing.TB, line string) {
	t.Helper()
	f := strings.SplitN(strings.TrimSpace(line), " ", 3)
	r := fleet.Record{ID: uuid.NewString(), Kind: fleet.Kind(f[1]), Writer: f[0], Version: 1}
	assert.NilError(t, json.Unmarshal([]byte(fmt.Sprintf("{%q:%s}", f[1], f[2])), &r))
	res := s.fold(r)
	assert.Assert(t, res.Accepted, "%s: %s", line, res.Reason)
}

func newTestServer(s *testStore, a Appender, fault func(json.RawMessage) error) *Server {
	return NewServer(ServerConfig{
		State: s, Appender: a, Entries: s, Health: s, Metrics: s, Fault: fault, Clock: clock.NewFake(time.Unix(0, 0)),
	})
}

// Guards against requests that append a wrong record, answer with the wrong outcome or status, or do not show what
// a VM waits for. The commands of the scripts are:
//
//	fold WRITER KIND PAYLOAD  folds a record
//	next MODE                 makes the next append fail: see store.Append
//	release                   folds the records of late appends
//	GET PATH, POST PATH BODY  sends a request; #N stands for a UUID
//	TEXT PATH BODY            POSTs with another content type
//	BIG PATH BYTES            POSTs a large body
//	= STATUS PATTERN          checks that the answer matches
//	! PATTERN                 checks that the body of the answer does not match
//	offset N                  checks the last offset of the log
//	unready REASON            makes the readiness check fail
func TestAPI(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "api", "*.txt"))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			s := newStore(t)
			r := &scriptRun{t: t, store: s, server: newTestServer(s, s, func(b json.RawMessage) error {
				if string(b) == `"no"` {
					return errors.New("no such fault")
				}
				return nil
			})}
			n := 0
			for line := range strings.Lines(string(data)) {
				n++
				if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
					r.at = fmt.Sprintf("%s:%d: %s", file, n, line)
					r.do(expandIDs(line))
				}
			}
		})
	}
}

// expandIDs replaces each #N by a UUID that ends in N.
func expandIDs(line string) string {
	return regexp.MustCompile(`\B#(\d)\b`).ReplaceAllString(line, "00000000-0000-4000-8000-00000000000$1")
}

// scriptRun is one run of a script.
type scriptRun struct {
	t      *testing.T
	store  *testStore
	server *Server
	at     string                     // file, line and text of the current command
	answer *httptest.ResponseRecorder // to the last request
}

func (r *scriptRun) do(line string) {
	cmd, rest, _ := strings.Cut(line, " ")
	path, body, _ := strings.Cut(rest, " ")
	switch cmd {
	case "fold":
		r.store.setUp(r.t, rest)
	case "next":
		r.store.mode = rest
	case "release":
		for _, rec := range r.store.late {
			r.store.fold(rec)
		}
	case "GET", "HEAD", "POST", "PUT":
		r.answer = ask(r.server, cmd, path, "application/json", body)
	case "TEXT":
		r.answer = ask(r.server, "POST", path, "text/plain", body)
	case "BIG":
		n, err := strconv.Atoi(body)
		assert.NilError(r.t, err, r.at)
		r.answer = ask(r.server, "POST", path, "application/json", `{"ID":"`+strings.Repeat("x", n)+`"}`)
	case "=":
		got := fmt.Sprintf("%d %s", r.answer.Code, r.answer.Body)
		assert.Assert(r.t, regexp.MustCompile("^"+rest).MatchString(got), "%s\ngot %s", r.at, got)
	case "!":
		assert.Assert(r.t, !regexp.MustCompile(rest).MatchString(r.answer.Body.String()), "%s\ngot %s", r.at, r.answer.Body)
	case "offset":
		assert.Equal(r.t, strconv.FormatInt(r.store.st.Offset, 10), rest, r.at)
	case "unready":
		r.store.ready = errors.New(rest)
	default:
		r.t.Fatalf("%s: unknown command", r.at)
	}
}

func ask(s *Server, method, path, kind, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Content-Type", kind)
	w := httptest.NewRecorder()
	s.http.Handler.ServeHTTP(w, req)
	return w
}

// appendBarrier delays each append until all have been requested, so that all were checked against the same state.
type appendBarrier struct {
	Appender
	all *sync.WaitGroup
}

func (b appendBarrier) Append(ctx context.Context, r fleet.Record) (Result, error) {
	b.all.Done()
	b.all.Wait()
	return b.Appender.Append(ctx, r)
}

// Guards against two accepted requests, or a rejected one without the reason, when several operators change the
// same version at once over real connections. Also guards against a Stop after which Serve does not return.
func TestConcurrentOperators(t *testing.T) {
	const operators = 8
	for name, write := range map[string]func(c *Client, id string) (Decision, error){
		"is not the version in force": func(c *Client, id string) (Decision, error) {
			f := newStore(t).st.Config.Fleet
			return c.Apply(t.Context(), ApplyRequest{ID: id, Base: 1, Fleet: f, Writer: id})
		},
		"is at generation": func(c *Client, id string) (Decision, error) {
			return c.Move(t.Context(), "v1", VMRequest{ID: id, To: "admin", Writer: id})
		},
	} {
		s := newStore(t)
		all := &sync.WaitGroup{}
		all.Add(operators)
		server := newTestServer(s, appendBarrier{s, all}, nil)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		served := make(chan error, 1)
		go func() { served <- server.Serve(ln) }()
		results := make(chan Decision, operators)
		for range operators {
			go func() {
				c := NewClient(ClientConfig{Entries: []string{"http://" + ln.Addr().String()}})
				d, err := write(c, uuid.NewString())
				if err != nil {
					d.Reason = err.Error()
				}
				results <- d
			}()
		}
		accepted := 0
		for range operators {
			d := <-results
			if d.Outcome == Accepted {
				accepted++
				continue
			}
			assert.Assert(t, d.Outcome == Rejected && strings.Contains(d.Reason, name), "%+v", d)
		}
		assert.Equal(t, accepted, 1)
		assert.NilError(t, server.Stop(t.Context()))
		assert.NilError(t, <-served)
	}
}

// Guards against requests that are carried out although the entry has too many in progress or may only read the
// log, and against an append that is cancelled when the client's connection ends.
func TestRequestLimitsAndDisconnect(t *testing.T) {
	s := newStore(t)
	server := newTestServer(s, s, nil)
	drain := func(ctx context.Context) *httptest.ResponseRecorder {
		body := strings.NewReader(expandIDs(`{"ID":"#1","Writer":"olga"}`))
		req := httptest.NewRequest(http.MethodPost, "/v1/vms/v1/drain", body).WithContext(ctx)
		req.Header.Set("Content-Type", "application/json")
		w := httptest.NewRecorder()
		server.http.Handler.ServeHTTP(w, req)
		return w
	}
	for range maxRequests {
		server.inProgress <- struct{}{}
	}
	assert.Equal(t, drain(t.Context()).Code, http.StatusServiceUnavailable)
	for range maxRequests {
		<-server.inProgress
	}
	s.st.MinVersion = fleet.RecordVersion + 1
	assert.Equal(t, drain(t.Context()).Code, http.StatusServiceUnavailable)
	assert.Equal(t, s.st.VMs["v1"].Phase, fleet.Active)
	s.st.MinVersion = 0
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, drain(ctx).Code, http.StatusOK)
	assert.Equal(t, s.st.VMs["v1"].Phase, fleet.Draining)
}

// Guards against a refused body whose record was appended all the same, a record whose ID differs from the one in
// the answer, an answer that is not JSON, and a panic.
func FuzzBody(f *testing.F) {
	paths := []string{"/v1/config", "/v1/vms/v1/drain", "/v1/vms/v1/move", "/v1/vms/v1/activate", "/v1/waves", "/v1/waves/w/start"}
	const id = `"ID":"00000000-0000-4000-8000-000000000001","Writer":"olga"`
	for i, body := range []string{
		`"Base":1,"Fleet":{"Pools":[{"Name":"work","Size":3},{"Name":"admin","Size":1}]}`, `"Reboot":true,"Gen":3`, `"To":"admin"`, `"Gen":-1`,
		`"Wave":"w","Pools":["work"],"Batch":2`, `"Reason":"\u0000"`,
	} {
		f.Add(uint8(i), []byte("{"+id+","+body+"}"))
	}
	f.Add(uint8(0), []byte(`null {}`))
	s := newStore(f)
	server := newTestServer(s, s, nil)
	f.Fuzz(func(t *testing.T, path uint8, body []byte) {
		*s = testStore{st: newStore(t).st}
		before := s.st.Offset
		w := ask(server, http.MethodPost, paths[int(path)%len(paths)], "application/json", string(body))
		appended := s.st.Offset - before
		if w.Code != http.StatusOK {
			var e ErrorBody
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &e))
			assert.Assert(t, w.Code >= 400 && w.Code < 500 && e.Message != "" && appended == 0, "%d %+v, %d appended", w.Code, e, appended)
			return
		}
		var d Decision
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &d))
		res, ok := s.st.ResultOf(d.ID)
		assert.Assert(t, ok && appended == 1 && res.Accepted == (d.Outcome == Accepted), "%+v, folded %+v", d, res)
	})
}
