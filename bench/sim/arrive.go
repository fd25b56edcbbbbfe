package sim

import (
	"fmt"
	"math"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/shard"
)

// lowShare is the arrival rate of a class outside its turn, as a fraction of its mean.
const lowShare = 0.05

// rate returns the arrivals per second of a class at time t, in milliseconds since the start.
func (w *World) rate(c *Class, t int64) float64 {
	r := c.PerS
	if c.TurnFactor > 0 {
		in := (t + c.PeriodMs - c.PhaseMs) % c.PeriodMs
		if in < c.TurnMs {
			r *= c.TurnFactor
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
	for i := range w.spec.Serving {
		w.submitPersistent(i)
	}
}

// submitPersistent submits a job whose items run until the end of the scenario. i is its number.
func (w *World) submitPersistent(i int) {
	id := fmt.Sprintf("%016x", 1<<40+i)
	d := &generatedJob{class: &Class{Name: "lasting", Worth: 1}, work: map[jobs.Item]int64{}, atMs: w.now}
	d.job = &jobs.Job{ID: id, Queue: "lasting", Service: "pool", Spec: "x", AcceptedMs: w.now + wallClockBaseMs, Steps: []jobs.Step{
		{Count: 5, CPU: 5400, MemMB: 35_000, EstimateMs: 900, Persistent: true, MaxPerVM: 1, Budget: 1},
	}}
	w.submit(d)
}

// submit schedules the record of a job, after the time that an entry takes to append it, and the cancellation of the job
// if it has one.
func (w *World) submit(d *generatedJob) {
	w.jobs[d.job.ID] = d
	w.order = append(w.order, d)
	w.at(d.atMs+appendMs+hopMs, func() {
		d.job.AcceptedMs = w.now + wallClockBaseMs
		value, err := d.job.MarshalMsg(nil)
		if err != nil {
			w.check.addFault("ENCODE", "%v", err)
			return
		}
		w.applyRecord(jobs.Record{Key: jobs.JobKey(d.job.ID), Value: value})
	})
	if d.cancel > 0 {
		w.at(d.cancel+appendMs+hopMs, func() {
			w.applyRecord(jobs.Record{Key: jobs.CancelKey(d.job.ID), Value: []byte{1}})
			w.check.cancelled(d)
		})
	}
}

// applyRecord applies the record of a submission or a cancellation to the job table and informs the owner.
func (w *World) applyRecord(r jobs.Record) {
	c, err := w.jobTable.Apply(r)
	if err != nil {
		w.check.addFault("ENCODE", "%v", err)
		return
	}
	entry := w.jobTable.Jobs[c.ID]
	if c.Submitted {
		w.engine.Submit(entry, w.now, w.now+wallClockBaseMs)
	}
	if c.Cancelled {
		w.engine.Cancel(c.ID, w.now)
	}
	w.step()
}

// faults schedules the faults of the scenario: lost orders, losses of the owner, and outages, slow and grey VMs.
func (w *World) faults() {
	start := w.now
	for _, m := range w.vms {
		m.loseOrders = w.spec.LostOrders
	}
	for _, t := range w.spec.OwnersLost {
		// For unstoredMs before its loss the store accepts no records of the owner, which continues as long as it considers
		// its claim valid.
		w.at(start+t-unstoredMs, func() { w.unstored = w.engine })
		w.at(start+t, func() { w.noOwner = shard.New(w.cfg, w.catalog, w.now); w.engine = w.noOwner })
		w.at(start+t+takeoverMs, func() { w.startOwner(false) })
	}
	for _, o := range w.spec.Dark {
		for _, i := range o.VMs {
			m := w.vms[i%len(w.vms)]
			w.at(start+o.FromMs, func() {
				m.dark = true
				for _, r := range m.vm.Runs {
					w.check.runLost(m.vm, r)
				}
				clear(m.vm.Runs)
			})
			w.at(start+o.ToMs, func() { m.dark = false; w.boot(m) })
		}
	}
	for _, s := range w.spec.Slow {
		for _, i := range s.VMs {
			m := w.vms[i%len(w.vms)]
			w.at(start+s.FromMs, func() { m.slowdown = s.Factor })
			w.at(start+s.ToMs, func() { m.slowdown = 1 })
		}
	}
	for _, g := range w.spec.Grey {
		for _, i := range g.VMs {
			m := w.vms[i%len(w.vms)]
			w.at(start+g.FromMs, func() { m.grey = &g })
			w.at(start+g.ToMs, func() { m.grey = nil })
		}
	}
}
