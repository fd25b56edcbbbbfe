// Package chaos fuzzes the decision code of several entries together. The fold, membership and leases, slot sharing,
// admission, idempotency keys, the controller and retries run in one process on a simulated clock, with models of the
// log, the VM list, the network and the workers. The oracle checks only the requirements R1 to R8 of docs/design.md.
// docs/fuzzing.md describes the coverage.
//
// A long run with new seeds:
//
//	go test ./core/chaos -run TestFleet -rapid.seed=0 -rapid.checks=5000 -timeout 4h
package chaos

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain sets fixed defaults for the rapid flags that are not given, and writes no fail files into the tree.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	defaults := map[string]string{
		"rapid.nofailfile": "true", "rapid.seed": "1", "rapid.checks": "10", "rapid.steps": "60", "rapid.shrinktime": "10s",
	}
	for name, value := range defaults {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	code := m.Run()
	if testing.Verbose() {
		fmt.Print(totals.String())
	}
	os.Exit(code)
}

// TestFleet guards against violations of R1 to R8 and lost deferrable jobs under random sequences of callers'
// requests, operators' changes and faults.
func TestFleet(t *testing.T) {
	checks := 0
	rapid.Check(t, func(t *rapid.T) {
		checks++
		w := newWorld(t, rapid.Uint64Range(1, 1<<40).Draw(t, "delays"), rapid.IntRange(3, 6).Draw(t, "entries"),
			rapid.IntRange(1, 2).Draw(t, "regions"))
		w.run(joinTime)
		t.Repeat(w.actions())
		w.stabilize()
		w.oracle.checkEnd()
		totals.add(w)
	})
	if t.Failed() {
		t.Logf("the oracle failed after %d checks (runs for shrinking included)", checks)
	}
}
