package stats

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasvalve/core/retry"
)

// Bounds of what is kept of requests.
const (
	maxNames   = 64    // classes, and tenants, told apart; the target is 25 tenants
	sampleSize = 1028  // values of an exponentially decaying sample
	sampleBias = 0.015 // weight of the newest values: about the last five minutes
)

// None stands for a request refused before its class or tenant was known.
const None = "none"

// The metrics of requests.
const (
	metricRefusals = "sassafrasvalve_refusals_total"
	metricAttempts = "sassafrasvalve_attempts_total"
)

// Observation is an answered request of a caller. Its fields are those of entry.Observation,
// so that one converts to the other.
type Observation struct {
	Service, Class, Tenant string
	Verdict                retry.Verdict
	Status                 int
	Reason                 string        // of a refusal, a short word
	Attempts               int           // sent or tried
	Wait                   time.Duration // from arrival to the first slot, 0 without one
	Total                  time.Duration
}

// timer is a histogram of durations in nanoseconds. Unlike the sample, its sum holds all values.
type timer struct {
	metrics.Histogram
	sum metrics.Counter
}

func newTimer() *timer {
	return &timer{metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleBias)), metrics.NewCounter()}
}

// add takes a duration.
func (t *timer) add(d time.Duration) {
	t.Update(int64(d))
	t.sum.Inc(int64(d))
}

// group is the metrics of one class or tenant.
type group struct {
	wait, total *timer
	verdicts    map[retry.Verdict]metrics.Counter
}

// groups is the metrics of all classes or tenants, by name.
type groups map[string]*group

// of returns the group of a name; unknown names share one.
func (g groups) of(name string) *group {
	if name == "" {
		return g[None]
	}
	if known := g[name]; known != nil {
		return known
	}
	return g[Other]
}

// names is what requests are told apart by.
type names struct {
	classes, tenants groups
}

func (s *Stats) describeRequests() {
	for _, by := range []string{"class", "tenant"} {
		s.Describe(metricOf(by, "requests_total"), "Answered requests by "+by+" and verdict.")
		s.Describe(metricOf(by, "wait_seconds"), "Recent time from arrival to the first slot, by "+by+", of requests that got one.")
		s.Describe(metricOf(by, "duration_seconds"), "Recent time from arrival to the end of the answer, by "+by+", of requests that got a slot.")
	}
	s.Describe(metricRefusals, "Requests refused or given up, by reason.")
	s.Describe(metricAttempts, "Attempts on upstreams, repeated ones included.")
}

func metricOf(by, what string) string { return "sassafrasvalve_" + by + "_" + what }

// SetNames sets the configured classes and tenants, which are told apart up to maxNames each.
// All others count as Other: callers choose the names in their requests, so that these must
// not make new series. The metrics of names that are no longer configured are forgotten.
func (s *Stats) SetNames(classes, tenants []string) {
	old := s.names.Load()
	if old == nil {
		old = &names{}
	}
	s.names.Store(&names{
		classes: s.regroup("class", old.classes, classes),
		tenants: s.regroup("tenant", old.tenants, tenants),
	})
}

// regroup returns the groups of the names, which keep their metrics if they have any.
func (s *Stats) regroup(by string, old groups, list []string) groups {
	out := groups{}
	for _, name := range append([]string{None, Other}, list[:min(len(list), maxNames)]...) {
		if out[name] = old[name]; out[name] == nil {
			out[name] = s.newGroup(by, name)
		}
	}
	for name := range old {
		if out[name] == nil {
			s.dropGroup(by, name)
		}
	}
	return out
}

// verdicts are all verdicts of a request.
var verdicts = []retry.Verdict{retry.NotRun, retry.Ran, retry.MayHaveRun}

func verdictLabels(by, name string, v retry.Verdict) Labels {
	return Labels{{by, name}, {"verdict", v.String()}}
}

func (s *Stats) newGroup(by, name string) *group {
	g := &group{wait: newTimer(), total: newTimer(), verdicts: map[retry.Verdict]metrics.Counter{}}
	s.register(summary, metricOf(by, "wait_seconds"), Labels{{by, name}}, g.wait)
	s.register(summary, metricOf(by, "duration_seconds"), Labels{{by, name}}, g.total)
	for _, v := range verdicts {
		g.verdicts[v] = s.Counter(metricOf(by, "requests_total"), verdictLabels(by, name, v))
	}
	return g
}

func (s *Stats) dropGroup(by, name string) {
	s.Drop(metricOf(by, "wait_seconds"), Labels{{by, name}})
	s.Drop(metricOf(by, "duration_seconds"), Labels{{by, name}})
	for _, v := range verdicts {
		s.Drop(metricOf(by, "requests_total"), verdictLabels(by, name, v))
	}
}

// Observe counts an answered request. Only requests that got a slot count in the times:
// refusals are quick and would hide how long the others took.
func (s *Stats) Observe(r Observation) {
	n := s.names.Load()
	for _, g := range []*group{n.classes.of(r.Class), n.tenants.of(r.Tenant)} {
		if c := g.verdicts[r.Verdict]; c != nil {
			c.Inc(1)
		}
		if r.Attempts > 0 {
			g.wait.add(r.Wait)
			g.total.add(r.Total)
		}
	}
	s.attempts.Inc(int64(r.Attempts))
	if r.Reason != "" {
		s.refusals(r.Reason).Inc(1)
	}
}

// refusals returns the counter of a reason. The lookup by the series' text spares the
// lock and the checks of Counter, because refusals are most frequent in a flood.
func (s *Stats) refusals(reason string) metrics.Counter {
	l := Label{"reason", reason}
	if c, ok := s.registry.Get(metricRefusals + "{" + l.Name + `="` + escapeLabel(reason) + `"}`).(metrics.Counter); ok {
		return c
	}
	return s.Counter(metricRefusals, Labels{l})
}
