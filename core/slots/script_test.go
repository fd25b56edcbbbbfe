package slots

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// script runs the commands of a file in testdata. Commands:
//
//	policy NAME             push (the default) or poll
//	view MEMBERS WORKERS    comma-separated lists; all entries apply them at once
//	at TIME
//	start ENTRY VM N, end ENTRY VM N   starts or ends N requests
//	report ENTRY WAIT       sends a report and applies the reply; WAIT is the queue length per class, such as 2,0
//	late ENTRY WAIT NAME    sends a report and keeps the reply under NAME
//	apply ENTRY NAME        applies a kept reply
//	updates                 delivers the owner's updates -> entries that got one
//	free ENTRY              -> free slots per worker
//	mode ENTRY              -> leased, lapsed or fallback
//	due ENTRY               -> time of the next report
//	home ENTRY              -> home slots per worker
type script struct {
	t           *testing.T
	start       time.Time
	now         time.Time
	policy      Policy
	view        View
	holders     map[string]*Holder
	owners      map[string]*Owner
	run         map[string]int
	keptReplies map[string]Reply
}

func (s *script) entry(id string) *Holder {
	if s.holders[id] == nil {
		s.holders[id] = NewHolder(s.now, "p", s.policy)
		s.owners[id] = NewOwner("p", s.policy)
	}
	return s.holders[id]
}

func (s *script) exchange(id, wait string) Reply {
	d := Load{Run: []int{0, s.run[id]}}
	for _, w := range strings.Split(wait, ",") {
		n, _ := strconv.Atoi(w)
		d.Wait = append(d.Wait, n)
	}
	h := s.entry(id)
	h.SetQueueLengths(s.now, d.Wait)
	r := h.Report(s.now, d)
	return s.owners[h.Owner()].HandleReport(s.now, r)
}

func (s *script) do(f []string) string {
	switch f[0] {
	case "policy":
		s.policy.NoPush = f[1] == "poll"
	case "view":
		s.view.Members, s.view.Workers = strings.Split(f[1], ","), strings.Split(f[2], ",")
		for _, m := range s.view.Members {
			v := s.view
			v.Self = m
			s.entry(m).SetView(s.now, v)
			s.owners[m].SetView(s.now, v)
		}
	case "at":
		d, err := time.ParseDuration(f[1])
		assert.NilError(s.t, err)
		s.now = s.start.Add(d)
	case "start", "end":
		n, _ := strconv.Atoi(f[3])
		for range n {
			if f[0] == "start" {
				assert.Assert(s.t, s.entry(f[1]).Start(s.now, f[2]))
				s.run[f[1]]++
			} else {
				s.entry(f[1]).Finish(s.now, f[2])
				s.run[f[1]]--
			}
		}
	case "report":
		r := s.exchange(f[1], f[2])
		s.entry(f[1]).Apply(s.now, s.entry(f[1]).Owner(), r)
	case "late":
		s.keptReplies[f[3]] = s.exchange(f[1], f[2])
	case "apply":
		s.entry(f[1]).Apply(s.now, s.entry(f[1]).Owner(), s.keptReplies[f[2]])
	case "updates":
		var out []string
		owner := s.entry(s.view.Members[0]).Owner()
		for _, u := range s.owners[owner].Updates(s.now) {
			s.entry(u.Member).Apply(s.now, owner, u.Reply)
			out = append(out, u.Member)
		}
		return strings.Join(out, " ")
	case "free":
		out := make([]string, 0, len(s.view.Workers))
		for _, vm := range s.view.Workers {
			out = append(out, fmt.Sprint(s.entry(f[1]).Free(s.now, vm)))
		}
		return strings.Join(out, " ")
	case "mode":
		return s.entry(f[1]).Mode(s.now).String()
	case "due":
		return s.entry(f[1]).Due().Sub(s.start).String()
	case "home":
		v := s.view
		return strings.Trim(fmt.Sprint(v.sorted().HomeSlots(f[1])), "[]")
	default:
		s.t.Fatalf("unknown command %q", f[0])
	}
	return ""
}

// TestScripts guards against wrong limits, modes and report times in the situations that the files in testdata describe.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			f, err := os.Open(path)
			assert.NilError(t, err)
			defer f.Close()
			start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
			s := &script{
				t: t, start: start, now: start, holders: map[string]*Holder{}, owners: map[string]*Owner{},
				run: map[string]int{}, keptReplies: map[string]Reply{},
				view: View{Slots: 8, Connections: 64, Classes: []Class{{Name: "hold", Share: 0.5}, {Name: "bulk", Rank: 2, Share: 0.1}}},
			}
			lines := bufio.NewScanner(f)
			for n := 1; lines.Scan(); n++ {
				line, _, _ := strings.Cut(lines.Text(), "#")
				command, want, _ := strings.Cut(line, "->")
				if fields := strings.Fields(command); len(fields) > 0 {
					assert.Equal(t, s.do(fields), strings.TrimSpace(want), "%s:%d: %s", path, n, command)
				}
			}
		})
	}
}
