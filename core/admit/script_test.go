package admit

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

// script runs the commands of a file in testdata against a queue. Commands:
//
//	class NAME RANK SHARE CEILING MAXWAIT [deferrable]
//	tenant NAME WEIGHT RATE BURST
//	slots N
//	pool N RUN,... WAIT,...   slots of the whole pool and its requests per class
//	at TIME
//	offer ID CLASS TENANT [DEADLINE] -> queued|late|quota|unknown [RETRY]
//	next -> ID|none
//	done ID
//	cancel ID -> true|false
//	expire -> ID...|none     refuses the queued requests that cannot start in time
type script struct {
	t       *testing.T
	where   string
	now     time.Time
	start   time.Time
	cfg     Config
	q       *Queue
	tickets map[string]*Ticket
}

func parseDuration(s string) time.Duration {
	if s == "0" {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		panic(err)
	}
	return d
}

func parseNumber(s string) float64 {
	n, err := strconv.ParseFloat(s, 64)
	if err != nil {
		panic(err)
	}
	return n
}

func parseNumbers(s string) []int {
	var out []int
	for x := range strings.SplitSeq(s, ",") {
		out = append(out, int(parseNumber(x)))
	}
	return out
}

func (s *script) do(f []string) string {
	switch f[0] {
	case "class":
		s.cfg.Classes = append(s.cfg.Classes, Class{
			Name: f[1], Rank: int(parseNumber(f[2])), Share: parseNumber(f[3]), Ceiling: parseNumber(f[4]),
			MaxWait: parseDuration(f[5]), Deferrable: len(f) > 6,
		})
		s.q.Configure(s.now, s.cfg)
	case "tenant":
		s.cfg.Tenants = append(s.cfg.Tenants, Tenant{f[1], int(parseNumber(f[2])), parseNumber(f[3]), int(parseNumber(f[4]))})
		s.q.Configure(s.now, s.cfg)
	case "slots":
		s.q.SetSlots(int(parseNumber(f[1])))
	case "pool":
		s.q.SetPoolLoad(PoolLoad{Slots: int(parseNumber(f[1])), Run: parseNumbers(f[2]), Wait: parseNumbers(f[3])})
	case "at":
		s.now = s.start.Add(parseDuration(f[1]))
	case "offer":
		r := Request{Class: f[2], Tenant: f[3], Value: f[1]}
		if len(f) > 4 {
			r.Deadline = s.start.Add(parseDuration(f[4]))
		}
		ticket, refusal := s.q.Enqueue(s.now, r)
		if refusal != nil {
			names := [...]string{"late", "quota", "unknown", "capacity"}
			return fmt.Sprint(names[refusal.Cause], " ", refusal.RetryAt.Sub(s.now).Round(time.Millisecond))
		}
		s.tickets[f[1]] = ticket
		return "queued"
	case "next":
		if ticket := s.q.Next(s.now, nil); ticket != nil {
			return ticket.Value.(string)
		}
		return "none"
	case "done":
		assert.Assert(s.t, s.q.Finish(s.now, s.tickets[f[1]], true), s.where)
		assert.Assert(s.t, !s.q.Finish(s.now, s.tickets[f[1]], true), s.where)
	case "cancel":
		return fmt.Sprint(s.q.Cancel(s.tickets[f[1]]))
	case "expire":
		var ids []string
		for _, x := range s.q.ExpireQueued(s.now) {
			ids = append(ids, x.Ticket.Value.(string))
		}
		if ids == nil {
			return "none"
		}
		return strings.Join(ids, " ")
	default:
		s.t.Fatalf("%s: unknown command %q", s.where, f[0])
	}
	return ""
}

// TestScripts guards against wrong starts, refusals and retry times in the situations that the files in testdata describe.
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
			s := &script{t: t, now: start, start: start, q: New(start, Config{}), tickets: map[string]*Ticket{}}
			lines := bufio.NewScanner(f)
			for n := 1; lines.Scan(); n++ {
				line, _, _ := strings.Cut(lines.Text(), "#")
				command, want, _ := strings.Cut(line, "->")
				if fields := strings.Fields(command); len(fields) > 0 {
					s.where = fmt.Sprintf("%s:%d: %s", path, n, command)
					assert.Equal(t, s.do(fields), strings.TrimSpace(want), s.where)
				}
			}
		})
	}
}
