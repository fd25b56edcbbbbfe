package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"sassafrasvalve/io/config"
)

// TestMain registers the program as a command of the scripts. It prints its exit code to standard error.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){Name: func() {
		code := Main(os.Args, Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}, Runners{
			RunDaemon: func(_ context.Context, s config.Settings) error {
				fmt.Println("daemon of", s.VM, s.Peers)
				return nil
			},
			RunDemo: func(_ context.Context, out io.Writer) error {
				_, err := fmt.Fprintln(out, "demo")
				return err
			},
		})
		fmt.Fprintln(os.Stderr, "exit", code)
		os.Exit(code)
	}})
}

// Each script in testdata guards against a command that sends a wrong request,
// prints a wrong result or returns a wrong exit code.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"entry": startEntry, "store": startStore, "real": startReal, "fold": foldReal, "hold": holdReal,
		},
	})
}

// fakeEntry is a scripted fake of an entry's operator API. Each line of its script is
// METHOD PATH STATUS BODY. The answers to one method and path are sent in order; the
// last one is repeated. The status "drop" reads the request and closes the connection
// without an answer. $ID in the body is replaced by the ID in the request.
type fakeEntry struct {
	mu      sync.Mutex
	answers map[string][]string
	log     io.WriteCloser
}

// startEntry is the script command `entry NAME SCRIPT`: it starts a fake entry, sets
// $NAME to its URL and logs its requests to NAME.log.
func startEntry(ts *testscript.TestScript, _ bool, args []string) {
	e := &fakeEntry{answers: map[string][]string{}}
	for line := range strings.Lines(ts.ReadFile(args[1])) {
		f := strings.SplitN(strings.TrimSpace(line), " ", 3)
		e.answers[f[0]+" "+f[1]] = append(e.answers[f[0]+" "+f[1]], f[2])
	}
	log, err := os.Create(ts.MkAbs(args[0] + ".log"))
	ts.Check(err)
	e.log = log
	server := httptest.NewServer(e)
	ts.Defer(func() {
		server.Close()
		ts.Check(log.Close())
	})
	ts.Setenv(args[0], server.URL)
}

// ServeHTTP sends the next answer of the script.
func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(e.log, "%s %s %s\n", r.Method, r.URL.EscapedPath(), body)
	key := r.Method + " " + r.URL.EscapedPath()
	list := e.answers[key]
	if len(list) == 0 {
		http.Error(w, "the script has no answer to "+key, http.StatusNotFound)
		return
	}
	if len(list) > 1 {
		e.answers[key] = list[1:]
	}
	status, answer, _ := strings.Cut(list[0], " ")
	if status == "drop" {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
		return
	}
	var req struct{ ID string }
	_ = json.Unmarshal(body, &req)
	var code int
	_, _ = fmt.Sscan(status, &code)
	w.WriteHeader(code)
	_, _ = io.WriteString(w, strings.ReplaceAll(answer, "$ID", req.ID))
}
