package stats

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasvalve/core/retry"
)

// Bounds of the metrics of requests.
const (
	maxNames   = 64    // classes with metrics of their own, and tenants; the design target is 25 tenants
	sampleSize = 1028  // number of values in an exponentially decaying sample
	sampleBias = 0.015 // decay of the sample, which covers about the last five minutes
)

// None is the label value of requests that were refused before their class or tenant was known.
const None = "none"

// Names of metrics of requests.
const (
	metricRefusals = "sassafrasvalve_refusals_total"
	metricAttempts = "sassafrasvalve_attempts_total"
)

// Observation is an answered request of a caller. It has the same fields as entry.Observation,
// so that the types can be converted.
type Observation struct {
	Service, Class, Tenant string
	Verdict                retry.Verdict
	Status                 int
	Reason                 string        // reason of a refusal as a label value, empty for other requests
	Attempts               int           // attempts on upstreams, including failed ones
	Wait                   time.Duration // time from arrival to the first slot, 0 if the request got none
	Total                  time.Duration
}

// timer is a histogram of durations in nanoseconds. Its sum includes all values, not only those in the sample.
type timer struct {
	metrics.Histogram
	sum metrics.Counter
}

func newTimer() *timer {
	return &timer{metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleBias)), metrics.NewCounter()}
}

// add records a duration.
func (t *timer) add(d time.Duration) {
	t.Update(int64(d))
	t.sum.Inc(int64(d))
}

// group holds the metrics of one class or tenant.
type group struct {
	wait, total *timer
	verdicts    map[retry.Verdict]metrics.Counter
}

// groups holds the metrics of all classes or all tenants, by name.
type groups map[string]*group

// get returns the group of a name. An empty name has the group None; all unknown names share the group Other.
func (g groups) get(name string) *group {
	if name == "" {
		return g[None]
	}
	if known := g[name]; known != nil {
		return known
	}
	return g[Other]
}

// requestGroups holds the groups by which requests are counted.
type requestGroups struct {
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

// metricOf returns the name of a metric by class or tenant.
func metricOf(by, suffix string) string { return "sassafrasvalve_" + by + "_" + suffix }

// SetNames sets the configured classes and tenants. The first maxNames of each have metrics of their own.
// All other names count as Other: callers choose the names in their requests, which must not
// create new series. The metrics of names that are no longer configured are removed.
func (s *Stats) SetNames(classes, tenants []string) {
	old := s.requestGroups.Load()
	if old == nil {
		old = &requestGroups{}
	}
	s.requestGroups.Store(&requestGroups{
		classes: s.regroup("class", old.classes, classes),
		tenants: s.regroup("tenant", old.tenants, tenants),
	})
}

// regroup returns the groups of the names in list. It keeps existing groups and removes those that are not in list.
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

// verdicts are all possible verdicts of a request.
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
	s.Remove(metricOf(by, "wait_seconds"), Labels{{by, name}})
	s.Remove(metricOf(by, "duration_seconds"), Labels{{by, name}})
	for _, v := range verdicts {
		s.Remove(metricOf(by, "requests_total"), verdictLabels(by, name, v))
	}
}

// Observe counts an answered request. The histograms of times include only requests that got a slot:
// refusals are quick and would hide the times of the others.
func (s *Stats) Observe(r Observation) {
	n := s.requestGroups.Load()
	for _, g := range []*group{n.classes.get(r.Class), n.tenants.get(r.Tenant)} {
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

// refusals returns the counter of a reason. It looks up the series by its text first, which avoids the
// lock and the checks of Counter, because refusals are most frequent under overload.
func (s *Stats) refusals(reason string) metrics.Counter {
	l := Label{"reason", reason}
	if c, ok := s.registry.Get(metricRefusals + "{" + l.Name + `="` + escapeLabel(reason) + `"}`).(metrics.Counter); ok {
		return c
	}
	return s.Counter(metricRefusals, Labels{l})
}
