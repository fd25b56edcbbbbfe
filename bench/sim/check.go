package sim

import (
	"fmt"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/fake/pool"
)

// checker finds broken rules, from what the VMs and the callers see.
type checker struct {
	w      *World
	faults []string
	runs   map[string]map[string]bool // VMs on which an item runs
	done   map[string]bool            // items that ended done
	doneOn map[string][]string        // VMs on which an item ended done
	known  map[string]bool            // of these, those whose end an owner has recorded
	again  map[[2]string]string       // by item and VM on which it was done: VM on which it started afterwards
	fails  map[string]int
	cancel map[string]int64 // when the cancelling was stored, by job
}

func newChecker(w *World) *checker {
	return &checker{
		w: w, runs: map[string]map[string]bool{}, done: map[string]bool{}, known: map[string]bool{}, doneOn: map[string][]string{}, again: map[[2]string]string{}, fails: map[string]int{}, cancel: map[string]int64{},
	}
}

// fault notes a broken rule.
func (c *checker) fault(rule, format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("%s at %d ms: %s", rule, c.w.now, fmt.Sprintf(format, args...)))
}

// cancelSlackMs is how long after its cancelling a job's item may still start.
const cancelSlackMs = 3000

func (c *checker) started(v *pool.VM, r *pool.Run) {
	id, it, _ := jobs.ParseItem(r.Item)
	d := c.w.jobs[id]
	for vm := range c.runs[r.Item] {
		c.fault("TWICE", "%s run %d starts on %s and runs on %s", r.Item, r.Run, v.ID, vm)
	}
	// An end that no owner ever records is lost with its VM; the item may run again then.
	for _, vm := range c.doneOn[r.Item] {
		c.again[[2]string{r.Item, vm}] = v.ID
	}
	if c.known[r.Item] {
		c.fault("TWICE", "%s run %d starts on %s after it was done", r.Item, r.Run, v.ID)
	}
	for _, a := range d.job.Steps[it.Step].After {
		for i := range d.job.Steps[a].Count {
			if name := (jobs.Item{K: it.K, Step: a, Index: i}).Name(id); !c.done[name] {
				c.fault("ORDER", "%s starts before %s is done", r.Item, name)
			}
		}
	}
	if limit := d.class.Attempts; limit > 0 && c.fails[r.Item] >= limit {
		c.fault("BUDGET", "%s starts after %d failed runs", r.Item, c.fails[r.Item])
	}
	if t := c.cancel[id]; t > 0 && c.w.now > t+cancelSlackMs {
		c.fault("UNASKED", "%s starts %d ms after its cancelling", r.Item, c.w.now-t)
	}
	c.limits(v, r, it)
	if c.runs[r.Item] == nil {
		c.runs[r.Item] = map[string]bool{}
	}
	c.runs[r.Item][v.ID] = true
}

// limits checks the room of the VM and the number of items of the step on it.
func (c *checker) limits(v *pool.VM, r *pool.Run, it jobs.Item) {
	cpu, mem := v.Used()
	if cpu > v.CPU || mem > v.MemMB {
		c.fault("LIMIT", "%s has %d of %d and %d of %d MB taken", v.ID, cpu, v.CPU, mem, v.MemMB)
	}
	if r.Step.MaxPerVM <= 0 {
		return
	}
	same := 0
	id, _, _ := jobs.ParseItem(r.Item)
	for name := range v.Runs {
		oid, oit, _ := jobs.ParseItem(name)
		if oid == id && oit.K == it.K && oit.Step == it.Step {
			same++
		}
	}
	if same > r.Step.MaxPerVM {
		c.fault("ROUTE", "%d items of the step of %s on %s", same, r.Item, v.ID)
	}
}

func (c *checker) ended(v *pool.VM, r *pool.Run, how pools.EndKind) {
	delete(c.runs[r.Item], v.ID)
	switch how {
	case pools.EndDone:
		c.done[r.Item] = true
		c.doneOn[r.Item] = append(c.doneOn[r.Item], v.ID)
	case pools.EndFailed:
		c.fails[r.Item]++
	case pools.EndStopped:
	}
}

// noted checks an end that an owner has recorded: its item must not have started since.
func (c *checker) noted(v *pool.VM, end pools.RunEnd) {
	if end.Kind != pools.EndDone {
		return
	}
	if vm, ok := c.again[[2]string{end.Item, v.ID}]; ok {
		c.fault("TWICE", "%s started on %s before its end as done was recorded", end.Item, vm)
	}
	c.known[end.Item] = true
}

// lostWith notes a run that ends with its VM.
func (c *checker) lostWith(v *pool.VM, r *pool.Run) { delete(c.runs[r.Item], v.ID) }

func (c *checker) cancelled(d *drawn) { c.cancel[d.job.ID] = c.w.now }

// finished checks a job that is shown as over.
func (c *checker) finished(d *drawn, s jobs.State) {
	switch s {
	case jobs.Complete:
		for it := range d.work {
			if !c.done[it.Name(d.job.ID)] {
				c.fault("MIXED", "job %s is shown as complete before %v is done", d.job.ID, it)
			}
		}
	case jobs.Failed:
		if d.class.Attempts > 0 {
			worst := 0
			for it := range d.work {
				worst = max(worst, c.fails[it.Name(d.job.ID)])
			}
			if worst < d.class.Attempts {
				c.fault("LOST", "job %s is shown as failed after %d failed runs", d.job.ID, worst)
			}
		}
	default:
	}
}
