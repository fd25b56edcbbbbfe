package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is the final result of a request.
type outcome int

const (
	outcomeDone outcome = iota
	outcomeRefused
	outcomeFailed // all attempts failed
	outcomeLost   // its entry was lost
)

// stats collects the measurements of one run.
type stats struct {
	fleet          Fleet
	rows           map[[2]int]*tally // class, tenant
	openRequests   int
	idleSlotTime   float64 // slot-seconds in which a slot was idle and a request was queued
	queuedSlotTime float64 // slot-seconds of all slots of a pool while requests were queued
	bytes          []int   // control bytes sent and received, by entry
	lastMessageAt  time.Duration
	OverMax        int
	OverLongest    time.Duration
}

// tally counts the requests of a class and tenant.
type tally struct {
	offered, done, refused, failed, lost, late int
	wait                                       *hdrhistogram.Histogram // time until the first start in microseconds
	calm                                       *hdrhistogram.Histogram // the same for calm requests only
	calmOffered, calmDone                      int
}

func newTally() *tally {
	longest := int64(10 * time.Minute / time.Microsecond)
	return &tally{wait: hdrhistogram.New(1, longest, 3), calm: hdrhistogram.New(1, longest, 3)}
}

func newStats(f Fleet) *stats {
	s := &stats{fleet: f, rows: map[[2]int]*tally{}, bytes: make([]int, f.Entries)}
	for c := range f.Classes {
		for t := range f.Tenants {
			s.rows[[2]int{c, t}] = newTally()
		}
	}
	return s
}

func (s *stats) row(r *request) *tally { return s.rows[[2]int{r.class, r.tenant}] }

func (s *stats) offered(r *request) {
	s.openRequests++
	if r.measured {
		s.row(r).offered++
		if r.calm {
			s.row(r).calmOffered++
		}
	}
}

func (s *stats) started(now time.Duration, r *request) {
	if r.measured && !r.started {
		us := max(1, (now - r.arrived).Microseconds())
		_ = s.row(r).wait.RecordValue(us)
		if r.calm {
			_ = s.row(r).calm.RecordValue(us)
		}
	}
	r.started = true
}

func (s *stats) ended(now time.Duration, r *request, o outcome) {
	s.openRequests--
	if !r.measured {
		return
	}
	t := s.row(r)
	switch o {
	case outcomeDone:
		t.done++
		if r.calm {
			t.calmDone++
		}
		if r.deadline > 0 && now > r.deadline {
			t.late++
		}
	case outcomeRefused:
		t.refused++
	case outcomeFailed:
		t.failed++
	case outcomeLost:
		t.lost++
	}
}

func (s *stats) countBytes(now time.Duration, entry, n int) {
	if now >= warmUp {
		s.bytes[entry] += n
		s.lastMessageAt = max(s.lastMessageAt, now)
	}
}

// Row is the result for one class and tenant, or for a class over all tenants.
type Row struct {
	Class, Tenant                              string
	Offered, Done, Refused, Failed, Lost, Late int
	P50, P99, Max                              time.Duration // time until the first start

	// Results of the requests that arrived while the rate of their class was not above the mean.
	CalmOffered, CalmDone int
	CalmP99, CalmMax      time.Duration

	tally *tally
}

// Result is the result of one run, or the merged result of several runs with different seeds.
type Result struct {
	Fleet, Scenario, Policy string
	Spread                  Spread
	Rows                    []Row
	// Idle is the number of slots that idle while as many requests are queued, as a fraction of the slots of pools with
	// queued requests.
	Idle        float64
	OverMax     int           // maximum number of requests above the slots of a worker
	OverLongest time.Duration // longest time for which a worker had requests above its slots
	Bytes       float64       // control bytes sent and received per second, mean over the entries
	BytesMax    float64       // control bytes per second of the entry with the most
}

// allTenants is the tenant name in rows that sum up all tenants of a class.
const allTenants = "*"

func (s *stats) result(u Setup) Result {
	out := Result{
		Fleet: u.Fleet.Name, Scenario: u.Scenario.Name, Policy: u.Policy.Name, Spread: u.Spread,
		OverMax: s.OverMax, OverLongest: s.OverLongest,
	}
	if s.queuedSlotTime > 0 {
		out.Idle = s.idleSlotTime / s.queuedSlotTime
	}
	if d := (s.lastMessageAt - warmUp).Seconds(); d > 0 {
		for _, b := range s.bytes {
			out.Bytes += float64(b) / d / float64(len(s.bytes))
			out.BytesMax = max(out.BytesMax, float64(b)/d)
		}
	}
	for c, class := range s.fleet.Classes {
		total := newTally()
		for t, tenant := range s.fleet.Tenants {
			y := s.rows[[2]int{c, t}]
			out.Rows = append(out.Rows, y.toRow(class.Name, tenant.Name))
			total.add(y)
		}
		out.Rows = append(out.Rows, total.toRow(class.Name, allTenants))
	}
	return out
}

func (t *tally) add(o *tally) {
	t.offered += o.offered
	t.done += o.done
	t.refused += o.refused
	t.failed += o.failed
	t.lost += o.lost
	t.late += o.late
	t.calmOffered += o.calmOffered
	t.calmDone += o.calmDone
	t.wait.Merge(o.wait)
	t.calm.Merge(o.calm)
}

func (t *tally) toRow(class, tenant string) Row {
	us := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	return Row{
		Class: class, Tenant: tenant, Offered: t.offered, Done: t.done, Refused: t.refused,
		Failed: t.failed, Lost: t.lost, Late: t.late,
		P50: us(t.wait.ValueAtQuantile(50)), P99: us(t.wait.ValueAtQuantile(99)), Max: us(t.wait.Max()),
		CalmOffered: t.calmOffered, CalmDone: t.calmDone,
		CalmP99: us(t.calm.ValueAtQuantile(99)), CalmMax: us(t.calm.Max()), tally: t,
	}
}

// merge merges the results of several seeds: means for Idle and Bytes, maxima for the others, and sums in the rows.
func merge(rs []Result) Result {
	out := rs[0]
	out.Idle, out.Bytes = 0, 0
	out.Rows = nil
	for _, r := range rs {
		out.Idle += r.Idle / float64(len(rs))
		out.Bytes += r.Bytes / float64(len(rs))
		out.BytesMax = max(out.BytesMax, r.BytesMax)
		out.OverMax = max(out.OverMax, r.OverMax)
		out.OverLongest = max(out.OverLongest, r.OverLongest)
	}
	for i, first := range rs[0].Rows {
		total := newTally()
		for _, r := range rs {
			total.add(r.Rows[i].tally)
		}
		out.Rows = append(out.Rows, total.toRow(first.Class, first.Tenant))
	}
	return out
}
