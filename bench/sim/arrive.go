package sim

import (
	"fmt"
	"math"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/shard"
)

// lowShare is the part of its mean that a class asks for out of its turn.
const lowShare = 0.05

// rate returns the arrivals a second of a class at a time since the beginning.
func (w *World) rate(c *Class, t int64) float64 {
	r := c.PerS
	if c.Turn > 0 {
		in := (t + c.PeriodMs - c.PhaseMs) % c.PeriodMs
		if in < c.TurnMs {
			r *= c.Turn
		} else {
			r *= lowShare
		}
	}
	for _, b := range w.spec.Bursts {
		if b.Class == c.Name && t >= b.FromMs && t < b.ToMs {
			r *= b.Times
		}
	}
	return r
}

// arrivals draws all jobs of the scenario.
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
					w.submit(gen{w.rng}.job(fmt.Sprintf("%016x", n), c, w.now+t))
				}
			}
		}
	}
	for i := range w.spec.Serving {
		w.submitLasting(i)
	}
}

// submitLasting hands in a job whose items run on and on.
func (w *World) submitLasting(i int) {
	id := fmt.Sprintf("%016x", 1<<40+i)
	d := &drawn{class: &Class{Name: "lasting", Worth: 1}, work: map[jobs.Item]int64{}, atMs: w.now}
	d.job = &jobs.Job{ID: id, Queue: "lasting", Service: "pool", Spec: "x", AcceptedMs: w.now + wallBase, Steps: []jobs.Step{
		{Count: 5, CPU: 5400, MemMB: 35_000, EstimateMs: 900, Persistent: true, MaxPerVM: 1, Budget: 1},
	}}
	w.submit(d)
}

// submit stores a job after the time that an entry takes, and cancels it if it was drawn so.
func (w *World) submit(d *drawn) {
	w.jobs[d.job.ID] = d
	w.order = append(w.order, d)
	w.at(d.atMs+appendMs+hopMs, func() {
		d.job.AcceptedMs = w.now + wallBase
		value, err := d.job.MarshalMsg(nil)
		if err != nil {
			w.check.fault("ENCODE", "%v", err)
			return
		}
		w.fold(jobs.Record{Key: jobs.JobKey(d.job.ID), Value: value})
	})
	if d.cancel > 0 {
		w.at(d.cancel+appendMs+hopMs, func() {
			w.fold(jobs.Record{Key: jobs.CancelKey(d.job.ID), Value: []byte{1}})
			w.check.cancelled(d)
		})
	}
}

// fold applies a caller's record and tells the owner.
func (w *World) fold(r jobs.Record) {
	c, err := w.book.Apply(r)
	if err != nil {
		w.check.fault("ENCODE", "%v", err)
		return
	}
	entry := w.book.Jobs[c.ID]
	if c.Submitted {
		w.engine.Submit(entry, w.now, w.now+wallBase)
	}
	if c.Cancelled {
		w.engine.Cancel(c.ID, w.now)
	}
	w.turn()
}

// faults schedules the outages, slow and grey VMs of the scenario.
func (w *World) faults() {
	begin := w.now
	for _, m := range w.vms {
		m.loseOrders = w.spec.LostOrders
	}
	for _, t := range w.spec.OwnersLost {
		// The store takes nothing of the owner for some time before, and the owner goes on while its claim is fresh.
		w.at(begin+t-unheardMs, func() { w.unheard = w.engine })
		w.at(begin+t, func() { w.orphan = shard.New(w.cfg, w.catalog, w.now); w.engine = w.orphan })
		w.at(begin+t+takeoverMs, func() { w.takeOver(false) })
	}
	for _, o := range w.spec.Dark {
		for _, i := range o.VMs {
			m := w.vms[i%len(w.vms)]
			w.at(begin+o.FromMs, func() {
				m.dark = true
				for _, r := range m.vm.Runs {
					w.check.lostWith(m.vm, r)
				}
				clear(m.vm.Runs)
			})
			w.at(begin+o.ToMs, func() { m.dark = false; w.birth(m) })
		}
	}
	for _, s := range w.spec.Slow {
		for _, i := range s.VMs {
			m := w.vms[i%len(w.vms)]
			w.at(begin+s.FromMs, func() { m.slow = s.Times })
			w.at(begin+s.ToMs, func() { m.slow = 1 })
		}
	}
	for _, g := range w.spec.Grey {
		for _, i := range g.VMs {
			m := w.vms[i%len(w.vms)]
			w.at(begin+g.FromMs, func() { m.grey = &g })
			w.at(begin+g.ToMs, func() { m.grey = nil })
		}
	}
}
