package sim

import (
	"fmt"
	"sort"
	"strings"
)

// ClassReport is what became of a class's jobs.
type ClassReport struct {
	Name                string
	Asked, InTime, Late int
	Never, Cancelled    int
	Earned, Owed        float64
	LargestEarned       float64 // share of the largest tenth
	NextEarned          float64 // share of the fifth below it
	P50, P95            int64   // ms until shown as complete
}

// Report is what became of a scenario.
type Report struct {
	Name    string
	Classes []ClassReport
	Earned  float64 // share of the worth owed
	Starts  int
	WasteS  float64 // core-seconds of runs that were not done
	Faults  []string
}

// Worth of a job: a fixed part and a part by its work against the mean of its class, up to a limit.
const (
	fixedWorth = 0.3
	workWorth  = 0.7
	maxWorth   = 4
	lateTimes  = 3 // objectives after which a job earns nothing
)

func (w *World) report() Report {
	r := Report{Name: w.spec.Name, Starts: w.starts, WasteS: float64(w.wasteMs) / 1000, Faults: w.check.faults}
	var earned, owed float64
	for i := range w.spec.Classes {
		c := w.classReport(&w.spec.Classes[i])
		earned += c.Earned
		owed += c.Owed
		r.Classes = append(r.Classes, c)
	}
	if owed > 0 {
		r.Earned = earned / owed
	}
	return r
}

func (w *World) classReport(c *Class) ClassReport {
	r := ClassReport{Name: c.Name}
	var list []*drawn
	var work float64
	for _, d := range w.order {
		if d.class == c {
			list = append(list, d)
			work += float64(d.coreMs)
		}
	}
	if len(list) == 0 {
		return r
	}
	mean := work / float64(len(list))
	var times []int64
	for _, d := range list {
		d.worth = c.Worth * min(fixedWorth+workWorth*float64(d.coreMs)/mean, maxWorth)
		r.Asked++
		if d.cancel > 0 {
			r.Cancelled++
			continue
		}
		r.Owed += d.worth
		e := w.earned(d, &r)
		r.Earned += e
		if d.doneMs > 0 && !d.failed {
			times = append(times, d.doneMs-d.atMs)
		}
	}
	sort.Slice(times, func(a, b int) bool { return times[a] < times[b] })
	if n := len(times); n > 0 {
		r.P50, r.P95 = times[n/2], times[n*95/100]
	}
	sort.Slice(list, func(a, b int) bool { return list[a].coreMs > list[b].coreMs })
	r.LargestEarned = w.share(list[:max(len(list)/10, 1)])
	r.NextEarned = w.share(list[max(len(list)/10, 1):max(len(list)*3/10, 2)])
	return r
}

// share returns the share of their worth that jobs earned.
func (w *World) share(list []*drawn) float64 {
	var earned, owed float64
	for _, d := range list {
		if d.cancel > 0 {
			continue
		}
		owed += d.worth
		earned += w.earned(d, &ClassReport{})
	}
	if owed == 0 {
		return 1
	}
	return earned / owed
}

// earned returns what a job earned, and counts it.
func (w *World) earned(d *drawn, r *ClassReport) float64 {
	took := d.doneMs - d.atMs
	switch {
	case d.doneMs == 0 || d.failed && !d.poison || took > lateTimes*d.objective():
		r.Never++
		return 0
	case took > d.objective():
		r.Late++
		return d.worth * d.class.LateWorth / d.class.Worth
	default:
		r.InTime++
		return d.worth
	}
}

// String returns the report as a table.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: earned %.3f, %d starts, %.0f core-seconds not done, %d faults\n", r.Name, r.Earned, r.Starts, r.WasteS, len(r.Faults))
	for _, c := range r.Classes {
		share := 0.0
		if c.Owed > 0 {
			share = c.Earned / c.Owed
		}
		fmt.Fprintf(&b, "  %-8s asked %4d in time %4d late %4d never %4d cancelled %3d earned %.3f largest %.3f next %.3f p50 %5d p95 %5d\n",
			c.Name, c.Asked, c.InTime, c.Late, c.Never, c.Cancelled, share, c.LargestEarned, c.NextEarned, c.P50, c.P95)
	}
	return b.String()
}
