package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is how a request ended.
type outcome int

const (
	outcomeDone outcome = iota
	outcomeRefused
	outcomeFailed // all attempts failed
	outcomeLost   // the entry was lost
)

// stats collects what is measured in one run.
type stats struct {
	fleet          Fleet
	rows           map[[2]int]*tally // class, tenant
	open           int
	idleSlotTime   float64
	queuedSlotTime float64
	bytes          []int // per entry, sent and received
	last           time.Duration
	OverMax        int
	OverLongest    time.Duration
}

// tally counts the requests of a class and tenant.
type tally struct {
	offered, done, refused, failed, lost, late int
	wait                                       *hdrhistogram.Histogram // microseconds
	calm                                       *hdrhistogram.Histogram // the same for calm requests
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
	s.open++
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
	s.open--
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

func (s *stats) control(now time.Duration, entry, n int) {
	if now >= warmUp {
		s.bytes[entry] += n
		s.last = max(s.last, now)
	}
}

// Row is the figures of one class and tenant, or of a class over all tenants.
type Row struct {
	Class, Tenant                              string
	Offered, Done, Refused, Failed, Lost, Late int
	P50, P99, Max                              time.Duration // wait until the first start

	// The figures of requests that arrived while their class asked for no more than its mean.
	CalmOffered, CalmDone int
	CalmP99, CalmMax      time.Duration

	tally *tally
}

// Result is the figures of one run, or of several with different seeds.
type Result struct {
	Fleet, Scenario, Policy string
	Spread                  Spread
	Rows                    []Row
	Idle                    float64 // slots idle while as many requests are queued, as a part of all slots
	OverMax                 int     // requests beyond the slots of a worker
	OverLongest             time.Duration
	Bytes                   float64 // control bytes per second, mean over entries, sent and received
	BytesMax                float64 // of the entry with the most
}

// allTenants is the tenant of rows that sum up a class.
const allTenants = "*"

func (s *stats) result(u Setup) Result {
	out := Result{
		Fleet: u.Fleet.Name, Scenario: u.Scenario.Name, Policy: u.Policy.Name, Spread: u.Spread,
		OverMax: s.OverMax, OverLongest: s.OverLongest,
	}
	if s.queuedSlotTime > 0 {
		out.Idle = s.idleSlotTime / s.queuedSlotTime
	}
	if d := (s.last - warmUp).Seconds(); d > 0 {
		for _, b := range s.bytes {
			out.Bytes += float64(b) / d / float64(len(s.bytes))
			out.BytesMax = max(out.BytesMax, float64(b)/d)
		}
	}
	for c, class := range s.fleet.Classes {
		total := newTally()
		for t, tenant := range s.fleet.Tenants {
			y := s.rows[[2]int{c, t}]
			out.Rows = append(out.Rows, y.row(class.Name, tenant.Name))
			total.add(y)
		}
		out.Rows = append(out.Rows, total.row(class.Name, allTenants))
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

func (t *tally) row(class, tenant string) Row {
	us := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	return Row{
		Class: class, Tenant: tenant, Offered: t.offered, Done: t.done, Refused: t.refused,
		Failed: t.failed, Lost: t.lost, Late: t.late,
		P50: us(t.wait.ValueAtQuantile(50)), P99: us(t.wait.ValueAtQuantile(99)), Max: us(t.wait.Max()),
		CalmOffered: t.calmOffered, CalmDone: t.calmDone,
		CalmP99: us(t.calm.ValueAtQuantile(99)), CalmMax: us(t.calm.Max()), tally: t,
	}
}

// merge joins the results of several seeds.
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
		out.Rows = append(out.Rows, total.row(first.Class, first.Tenant))
	}
	return out
}
