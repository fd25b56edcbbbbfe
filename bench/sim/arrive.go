package sim

import (
	"cmp"
	"fmt"
	"math"

	"sassafrasvalve/core/jobs"
)

// lowShare is the lowest arrival rate of a class, as a fraction of its mean.
const lowShare = 0.05

// rate returns the arrivals per second of a class at time t, in milliseconds since the start.
func (w *World) rate(c *Class, t int64) float64 {
	r := c.PerS
	if c.TurnFactor > 0 {
		in := (t + c.PeriodMs - c.PhaseMs) % c.PeriodMs
		if in < c.TurnMs {
			r *= max(c.TurnFactor*math.Sin(math.Pi*float64(in)/float64(c.TurnMs)), lowShare)
		} else {
			r *= lowShare
		}
	}
	for _, b := range w.spec.Bursts {
		if b.Class == c.Name && t >= b.FromMs && t < b.ToMs {
			r *= b.Factor
		}
	}
	return r
}

// arrivals generates and schedules all jobs of the scenario.
func (w *World) arrivals() {
	const stepMs = 10
	n := 0
	for i := range w.spec.Classes {
		c := &w.spec.Classes[i]
		for t := int64(0); t < w.spec.ForMs; t += stepMs {
			p := w.rate(c, t) * stepMs / 1000
			for k := 0; k < int(math.Ceil(p)); k++ {
				if w.rng.Float64() < p/math.Ceil(p) {
					n++
					w.submit(generator{w.rng}.job(fmt.Sprintf("%016x", n), c, w.now+t))
				}
			}
		}
	}
	for n, s := range w.services {
		for i := range w.spec.Serving {
			w.submitPersistent(s, n*w.spec.Serving+i)
		}
	}
}

// Defaults of the items of a persistent job.
const (
	lastingCount = 5
	lastingCPU   = 5400
	lastingMemMB = 35_000
	lastingPerVM = 1
)

// submitPersistent submits a job of a service whose items run until the end of the scenario. i is its number.
func (w *World) submitPersistent(s *service, i int) {
	id := fmt.Sprintf("%016x", 1<<40+i)
	d := &generatedJob{class: &Class{Name: "lasting", Worth: 1}, work: map[jobs.Item]int64{}, atMs: w.now}
	d.job = &jobs.Job{ID: id, Queue: "lasting", Service: s.name, Spec: "x", AcceptedMs: w.now + wallClockBaseMs, Steps: []jobs.Step{
		{
			Count: lastingCount, CPU: cmp.Or(w.spec.LastingCPU, lastingCPU), MemMB: cmp.Or(w.spec.LastingMemMB, lastingMemMB), EstimateMs: 900,
			Persistent: true, MaxPerVM: cmp.Or(w.spec.LastingPerVM, lastingPerVM), Budget: 1,
		},
	}}
	w.submit(d)
}

// Retries of callers whose requests are refused or get no connection.
const (
	maxRetries     = 4
	retryRefusedMs = 1000 // as the refusal says
	reconnectMs    = 400
)

// submit schedules the requests of a job's caller.
func (w *World) submit(d *generatedJob) {
	w.jobs[d.job.ID] = d
	w.order = append(w.order, d)
	w.at(d.atMs+hopMs, func() { w.request(d, 0) })
	if d.cancel > 0 {
		w.at(d.cancel+appendMs+hopMs, func() {
			if d.refused || w.service(d.job.Service).jobTable.Jobs[d.job.ID] == nil {
				return
			}
			w.applyRecord(d.job.Service, jobs.Record{Key: jobs.CancelKey(d.job.ID), Value: []byte{1}})
			w.check.cancelled(d)
		})
	}
}

// request sends one request of a caller. The record of the job is stored after the time of an append. A caller that is
// refused returns as it is told, until its retries are used up.
func (w *World) request(d *generatedJob, retries int) {
	pause := int64(0)
	switch {
	case w.site != nil && w.site.down():
		pause = reconnectMs
	case w.storeDown() || !w.service(d.job.Service).owned():
		pause = retryRefusedMs
	}
	if pause > 0 {
		d.refused = retries == maxRetries
		if !d.refused {
			w.at(w.now+pause, func() { w.request(d, retries+1) })
		}
		return
	}
	w.at(w.now+appendMs, func() {
		d.job.AcceptedMs = w.now + wallClockBaseMs
		value, err := d.job.MarshalMsg(nil)
		if err != nil {
			w.check.addFault("ENCODE", "%v", err)
			return
		}
		w.applyRecord(d.job.Service, jobs.Record{Key: jobs.JobKey(d.job.ID), Value: value})
	})
}

// applyRecord applies the record of a submission or a cancellation to the job table and informs the owner.
func (w *World) applyRecord(name string, r jobs.Record) {
	s := w.service(name)
	c, err := s.jobTable.Apply(r)
	if err != nil {
		w.check.addFault("ENCODE", "%v", err)
		return
	}
	entry := s.jobTable.Jobs[c.ID]
	if c.Submitted {
		s.engine.Submit(entry, w.now, w.now+wallClockBaseMs)
	}
	if c.Cancelled {
		s.engine.Cancel(c.ID, w.now)
	}
	s.step()
}

// faults schedules the faults of the scenario: lost orders, losses of the owner, and outages, slow and grey VMs.
func (w *World) faults() {
	start := w.now
	for _, m := range w.machines {
		m.loseOrders = w.spec.LostOrders
	}
	for _, t := range w.spec.OwnersLost {
		// For unstoredMs before its loss the store accepts no records of the owner, which continues as long as it considers
		// its claim valid.
		for _, s := range w.services {
			w.at(start+t-unstoredMs, func() { s.unstored = s.engine })
			w.at(start+t, s.loseOwner)
			w.at(start+t+takeoverMs, func() { s.startOwner(false) })
		}
	}
	for _, o := range w.spec.Dark {
		for _, i := range o.VMs {
			m := w.machines[i%len(w.machines)]
			w.at(start+o.FromMs, func() {
				m.dark = true
				if m.vm == nil {
					return
				}
				for _, r := range m.vm.Runs {
					w.check.runLost(m.vm, r)
				}
				clear(m.vm.Runs)
			})
			w.at(start+o.ToMs, func() {
				m.dark = false
				if m.service != nil {
					w.boot(m, m.service)
				}
			})
		}
	}
	for _, s := range w.spec.Slow {
		for _, i := range s.VMs {
			m := w.machines[i%len(w.machines)]
			w.at(start+s.FromMs, func() { m.slowdown = s.Factor })
			w.at(start+s.ToMs, func() { m.slowdown = 1 })
		}
	}
	for _, g := range w.spec.Grey {
		for _, i := range g.VMs {
			m := w.machines[i%len(w.machines)]
			w.at(start+g.FromMs, func() { m.grey = &g })
			w.at(start+g.ToMs, func() { m.grey = nil })
		}
	}
}
