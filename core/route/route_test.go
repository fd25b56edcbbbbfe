package route

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// script runs the commands of testdata/table.txt. Commands:
//
//	case NAME               starts with an empty table in the data centre "home"
//	members VM...
//	fail VM N, ok VM N      reports N failures or successes
//	alternate VM N          reports N times a success and a failure
//	failall N               reports N failures of each member
//	took VM LATENCY N       reports N successes with this latency
//	wait DURATION
//	ejected VM...           checks which workers are ejected
//	limit VM N|none         checks the request limit of a worker
//	pick VM|none VM:DC:INUSE...  checks the choice between candidates, 50 times since it is random
type script struct {
	t     *testing.T
	name  string
	now   time.Time
	table *Table
	vms   []string
}

// TestTableScript guards against wrong ejections, limits and choices in the cases of testdata/table.txt.
func TestTableScript(t *testing.T) {
	f, err := os.Open("testdata/table.txt")
	assert.NilError(t, err)
	defer f.Close()
	s := &script{t: t}
	for sc, n := bufio.NewScanner(f), 1; sc.Scan(); n++ {
		line := strings.TrimSpace(sc.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		cmd, rest, _ := strings.Cut(line, " ")
		s.run(fmt.Sprintf("line %d (%s): %s", n, s.name, line), cmd, rest, strings.Fields(rest))
	}
}

func (s *script) run(at, cmd, rest string, args []string) {
	switch cmd {
	case "case":
		s.name, s.now, s.table = rest, time.Unix(1_800_000_000, 0), NewTable(Config{DC: "home"})
	case "members":
		s.vms = args
		s.table.SetMembers(args)
	case "fail", "ok", "alternate":
		for range s.parseInt(at, args[1]) {
			if cmd != "fail" {
				s.report(args[0], false)
			}
			if cmd != "ok" {
				s.report(args[0], true)
			}
		}
	case "failall":
		for range s.parseInt(at, args[0]) {
			for _, vm := range s.vms {
				s.report(vm, true)
			}
		}
	case "took":
		d, err := time.ParseDuration(args[1])
		assert.NilError(s.t, err, at)
		for range s.parseInt(at, args[2]) {
			s.table.Report(s.now, args[0], Outcome{Elapsed: d})
		}
	case "wait":
		d, err := time.ParseDuration(args[0])
		assert.NilError(s.t, err, at)
		s.now = s.now.Add(d)
	case "ejected":
		assert.Equal(s.t, strings.Join(s.table.Ejected(s.now), " "), rest, at)
	case "limit":
		got := strconv.Itoa(s.table.Limit(s.now, args[0]))
		if s.table.Limit(s.now, args[0]) > maxLimit {
			got = "none"
		}
		assert.Equal(s.t, got, args[1], at)
	case "pick":
		s.pick(at, args)
	default:
		s.t.Fatalf("%s: unknown command", at)
	}
}

func (s *script) pick(at string, args []string) {
	cs := make([]Candidate, 0, len(args))
	for _, a := range args[1:] {
		p := strings.Split(a, ":")
		cs = append(cs, Candidate{VM: p[0], DC: p[1], InUse: s.parseInt(at, p[2])})
	}
	for range 50 {
		vm, ok := s.table.Pick(s.now, cs)
		if !ok {
			vm = "none"
		}
		assert.Equal(s.t, vm, args[0], at)
	}
}

func (s *script) parseInt(at, text string) int {
	n, err := strconv.Atoi(text)
	assert.NilError(s.t, err, at)
	return n
}

func (s *script) report(vm string, failed bool) {
	s.table.Report(s.now, vm, Outcome{Failed: failed, Elapsed: 10 * time.Millisecond})
}

// TestPoisonNeedsThreeWorkersThatServeOthers guards against treating a request as poison for the faults of its workers, and
// against a poison request that makes one worker after the other fail.
func TestPoisonNeedsThreeWorkersThatServeOthers(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := NewPoisonDetector()
	for _, vm := range []string{"a", "b", "c"} {
		assert.Equal(t, p.Report(now, vm, "bad", true), false) // none of them has served anything
	}
	for i, vm := range []string{"a", "b", "c"} {
		p.Report(now, vm, "good", false)
		assert.Equal(t, p.Report(now, vm, "bad", true), i == 2)
	}
	assert.Equal(t, p.IsPoison(now.Add(29*time.Second), "bad"), true)
	assert.Equal(t, p.IsPoison(now.Add(31*time.Second), "bad"), false)
	p.Report(now.Add(40*time.Second), "a", "other", true)
	assert.Equal(t, len(p.suspects), 1)
}
