//go:build review

// The command driver plays the cases of the review: it runs stand-ins of the platform and of the workers, starts the project's
// entries as separate processes, and checks what clients, workers and the platform see. It exits with 1 if the rule of the case
// was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu        sync.Mutex
	f         *os.File
	startedAt time.Time
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f "+format+"\n", append([]any{time.Since(r.startedAt).Seconds()}, args...)...)
}

// verdict is the result of a case.
type verdict struct {
	broken  []string // what broke the rule, empty if it held
	problem string   // why the case could not run, empty if it ran
}

// scenario is a case, with the pools of its deployment.
type scenario struct {
	pools []string
	play  func(d *deployment, trouble bool) verdict
}

// cases holds the cases by name.
var cases = map[string]scenario{}

// maxTime bounds the time of a case.
const maxTime = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER")
		os.Exit(2)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(runCase(c, os.Args[2]))
}

// runCase plays a case and returns its exit code.
func runCase(c scenario, folder string) int {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	rec := &recorder{f: f, startedAt: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("trouble: %v", trouble)
	time.AfterFunc(maxTime, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(2)
	})
	d, err := newDeployment(rec, c.pools)
	if err != nil {
		rec.log("could not start: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	v := c.play(d, trouble)
	d.close()
	switch {
	case v.problem != "":
		rec.log("could not run: %s", v.problem)
		fmt.Println("could not run:", v.problem)
		return 2
	case len(v.broken) > 0:
		for _, b := range v.broken {
			rec.log("BROKEN: %s", b)
		}
		fmt.Printf("broken, %d times: %s\n", len(v.broken), v.broken[0])
		return 1
	default:
		rec.log("the rule held")
		fmt.Println("held")
		return 0
	}
}
