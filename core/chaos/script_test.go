package chaos

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/fleet"
)

// TestScripts guards against regressions of faults that TestFleet found. Each file in testdata names the seed and the
// fault, followed by the commands that lead to it. The oracle checks the same requirements as in TestFleet.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			f, err := os.Open(file)
			assert.NilError(t, err)
			defer f.Close()
			s := script{t: t}
			for lines := bufio.NewScanner(f); lines.Scan(); {
				if line, _, _ := strings.Cut(lines.Text(), "#"); strings.TrimSpace(line) != "" {
					s.step(strings.Fields(line))
				}
			}
			s.w.stabilize()
			s.w.oracle.checkEnd()
		})
	}
}

// script runs the commands of a file.
type script struct {
	t *testing.T
	w *world
}

// step runs one line: a command and its arguments.
func (s *script) step(words []string) {
	s.t.Helper()
	w := s.w
	arg := func(i int) string {
		assert.Assert(s.t, i < len(words), "%v", words)
		return words[i]
	}
	switch words[0] {
	case "fleet": // ENTRIES REGIONS DELAYSEED
		s.w = newWorld(s.t, uint64(s.number(arg(3))), s.number(arg(1)), s.number(arg(2)))
		s.w.run(joinTime)
	case "time":
		w.run(s.duration(arg(1)))
	case "cut-platform": // PLACE, or "acting" for the acting entry
		w.log.cutPlaces[s.place(arg(1))] = true
	case "cut-peers": // PLACE PLACE, both directions
		a, b := s.place(arg(1)), s.place(arg(2))
		w.brokenLinks[[2]string{a, b}], w.brokenLinks[[2]string{b, a}] = true, true
	case "freeze":
		w.proc(s.place(arg(1))).freeze()
	case "wake":
		w.proc(s.place(arg(1))).wake()
	case "kill":
		w.proc(s.place(arg(1))).kill(false)
	case "launch":
		for i, p := range w.places {
			if p.vm == arg(1) {
				w.launch(i)
			}
		}
	case "heal-peers":
		clear(w.brokenLinks)
	case "leave":
		w.proc(s.place(arg(1))).stop()
	case "call": // PLACE SERVICE CLASS KEY RUNTIME; the key - means no key
		w.sendRequest(arg(1), arg(2), arg(3), arg(4), s.duration(arg(5)))
	case "jobs": // COUNT SERVICE CLASS: sends this many jobs to each entry
		for range s.number(arg(1)) {
			for i := range w.procs {
				w.deliver(i, &request{
					id: w.newID("q"), service: arg(2), class: arg(3), tenant: "t1", arrived: w.now, deadline: w.now.Add(time.Hour),
				})
			}
		}
	case "repeat": // DURATION PLACE SERVICE CLASS KEY,KEY: sends a request for each key every 10 ms
		for end := w.now.Add(s.duration(arg(1))); w.now.Before(end); w.run(10 * time.Millisecond) {
			for key := range strings.SplitSeq(arg(5), ",") {
				w.sendRequest(arg(2), arg(3), arg(4), key, 20*time.Millisecond)
			}
		}
	case "move": // VM POOL
		vm := w.log.head.VMs[arg(1)]
		w.operate(fleet.Record{Kind: fleet.KindDrain, Drain: &fleet.Drain{VM: vm.ID, Gen: vm.Gen, Purpose: fleet.PurposeMove, To: arg(2)}})
	case "leaving":
		w.workers[arg(1)].leaving = true
	case "load": // DURATION SERVICE,SERVICE CLASS: sends a request of 20 ms for each service to each entry every 50 ms
		s.load(s.duration(arg(1)), arg(2), arg(3))
	default:
		s.t.Fatalf("unknown command in %v", words)
	}
}

// sendRequest sends a request to the process at a place, with an idempotency key unless key is "-".
func (w *world) sendRequest(place, service, class, key string, d time.Duration) {
	for i, p := range w.places {
		if p.vm == place {
			if key == "-" {
				key = ""
			}
			w.deliver(i, &request{
				id: w.newID("q"), service: service, class: class, tenant: "t1", key: key, fingerprint: key, arrived: w.now,
				deadline: w.now.Add(30 * time.Second), runTime: d,
			})
		}
	}
}

func (s *script) load(d time.Duration, service, class string) {
	w := s.w
	for end := w.now.Add(d); w.now.Before(end); w.run(50 * time.Millisecond) {
		for i := range w.procs {
			for name := range strings.SplitSeq(service, ",") {
				w.deliver(i, &request{
					id: w.newID("q"), service: name, class: class, tenant: "t1", arrived: w.now,
					deadline: w.now.Add(5 * time.Second), runTime: 20 * time.Millisecond,
				})
			}
		}
	}
}

func (s *script) number(word string) int {
	n, err := strconv.Atoi(word)
	assert.NilError(s.t, err)
	return n
}

func (s *script) duration(word string) time.Duration {
	d, err := time.ParseDuration(word)
	assert.NilError(s.t, err)
	return d
}

// place returns the VM that word names, or that of the acting entry if word is "acting" and an entry acts.
func (s *script) place(word string) string {
	for _, e := range s.w.procs {
		if word == "acting" && e != nil && e.group.acting() {
			return e.place.vm
		}
	}
	return word
}
