package sim

import (
	"cmp"
	"fmt"
	"sort"
	"strings"
)

// ClassReport is the result of the jobs of a class.
type ClassReport struct {
	Name                string
	Asked, InTime, Late int
	Never, Cancelled    int
	Refused             int     // all requests of the caller were refused
	Earned, Owed        float64 // worth
	LargestEarned       float64 // share of its worth that the largest tenth of the jobs earned
	NextEarned          float64 // share of its worth that the next fifth of the jobs by size earned
	P50, P95            int64   // time in ms until a job is reported as complete
}

// Report is the result of a scenario.
type Report struct {
	Name           string
	Classes        []ClassReport
	Earned         float64 // share of the owed worth that was earned
	Starts         int     // orders to start a run
	WasteS         float64 // core-seconds of runs that did not end as done
	VMSeconds      float64 // in pools other than the spare one; 0 without a Site
	LeastVMSeconds float64 // lower bound of VMSeconds, see leastVMSeconds
	Moves          int
	LateS          float64 // seconds by which machines of waves are late
	Faults         []string
}

// Factors of the worth of a job relative to the worth of its class. It has a fixed part and a part in proportion to the
// work of the job relative to the mean of the class.
const (
	fixedWorth    = 0.3
	workWorth     = 0.7
	maxWorth      = 4
	maxLateFactor = 3 // multiple of the objective after which a job earns nothing
)

func (w *World) report() Report {
	r := Report{Name: w.spec.Name, Starts: w.starts, WasteS: float64(w.wasteMs) / 1000, Faults: w.check.faults}
	if w.site != nil {
		r.VMSeconds, r.Moves, r.LateS = float64(w.site.pooledMs)/1000, w.site.moves, float64(w.site.lateMs)/1000
		r.LeastVMSeconds = w.leastVMSeconds()
	}
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

// leastVMSeconds returns a lower bound of the time of VMs in pools. No scheduler needs less to do the work that was done,
// even if it knew all arrivals and run times: a VM does no more than its CPU in a second, and persistent items need their
// VMs all the time because of their limit of items per VM.
func (w *World) leastVMSeconds() float64 {
	var coreMs float64
	for _, d := range w.order {
		if d.doneMs > 0 && !d.failed {
			coreMs += float64(d.coreMs)
		}
	}
	seconds := float64(w.spec.ForMs) / 1000
	items := len(w.services) * w.spec.Serving * lastingCount
	lastingCores := float64(items) * float64(cmp.Or(w.spec.LastingCPU, lastingCPU)) / 1000
	vmCores := float64(w.spec.CPU) / 1000
	least := (coreMs/1000 + lastingCores*seconds) / vmCores
	if w.spec.Serving == 0 {
		return least
	}
	spread := len(w.services) * lastingCount / cmp.Or(w.spec.LastingPerVM, lastingPerVM)
	return max(least, float64(spread)*seconds)
}

func (w *World) classReport(c *Class) ClassReport {
	r := ClassReport{Name: c.Name}
	var list []*generatedJob
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
		if d.refused {
			r.Refused++
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

// share returns the share of their worth that the jobs of a list earned, or 1 if they have none.
func (w *World) share(list []*generatedJob) float64 {
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

// earned returns the worth that a job earned and counts the job in r.
func (w *World) earned(d *generatedJob, r *ClassReport) float64 {
	took := d.doneMs - d.atMs
	switch {
	case d.doneMs == 0 || d.failed && !d.poison || took > maxLateFactor*d.objective():
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
	if r.VMSeconds > 0 {
		fmt.Fprintf(&b, "  %.0f VM-seconds in pools (at least %.0f), %d moves, machines of waves late by %.1f s\n", r.VMSeconds, r.LeastVMSeconds, r.Moves, r.LateS)
	}
	for _, c := range r.Classes {
		share := 0.0
		if c.Owed > 0 {
			share = c.Earned / c.Owed
		}
		fmt.Fprintf(&b, "  %-8s asked %4d in time %4d late %4d never %4d refused %4d cancelled %3d earned %.3f largest %.3f next %.3f p50 %5d p95 %5d\n",
			c.Name, c.Asked, c.InTime, c.Late, c.Never, c.Refused, c.Cancelled, share, c.LargestEarned, c.NextEarned, c.P50, c.P95)
	}
	return b.String()
}
