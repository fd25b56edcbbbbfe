package sim

import (
	"fmt"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/fake/pool"
)

// checker detects violations of the platform's rules by what the VMs and the callers see.
type checker struct {
	w           *World
	faults      []string
	runs        map[string]map[string]bool // VMs on which an item runs, by item
	done        map[string]bool            // items of which a run ended as done
	doneOn      map[string][]string        // VMs on which a run ended as done, by item
	endRecorded map[string]bool            // items of which an owner has recorded the end as done
	restartedOn map[[2]string]string       // VM on which an item started after it was done, by item and VM of the end
	fails       map[string]int             // failed runs by item
	cancelledAt map[string]int64           // time in ms at which the cancellation was stored, by job
}

func newChecker(w *World) *checker {
	return &checker{
		w: w, runs: map[string]map[string]bool{}, done: map[string]bool{}, endRecorded: map[string]bool{},
		doneOn: map[string][]string{}, restartedOn: map[[2]string]string{}, fails: map[string]int{},
		cancelledAt: map[string]int64{},
	}
}

// addFault adds a violation of a rule.
func (c *checker) addFault(rule, format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("%s at %d ms: %s", rule, c.w.now, fmt.Sprintf(format, args...)))
}

// cancelToleranceMs is the time after the cancellation of a job in which its items may still start.
const cancelToleranceMs = 3000

// started checks the start of a run.
func (c *checker) started(v *pool.VM, r *pool.Run) {
	id, it, _ := jobs.ParseItem(r.Item)
	d := c.w.jobs[id]
	for vm := range c.runs[r.Item] {
		c.addFault("TWICE", "%s run %d starts on %s and runs on %s", r.Item, r.Run, v.ID, vm)
	}
	// The end of a run may be lost with its VM before an owner records it. The item may run again then, so a new start is
	// a violation only if the earlier end is recorded later.
	for _, vm := range c.doneOn[r.Item] {
		c.restartedOn[[2]string{r.Item, vm}] = v.ID
	}
	if c.endRecorded[r.Item] {
		c.addFault("TWICE", "%s run %d starts on %s after it was done", r.Item, r.Run, v.ID)
	}
	for _, a := range d.job.Steps[it.Step].After {
		for i := range d.job.Steps[a].Count {
			if name := (jobs.Item{K: it.K, Step: a, Index: i}).Name(id); !c.done[name] {
				c.addFault("ORDER", "%s starts before %s is done", r.Item, name)
			}
		}
	}
	if limit := d.class.Attempts; limit > 0 && c.fails[r.Item] >= limit {
		c.addFault("BUDGET", "%s starts after %d failed runs", r.Item, c.fails[r.Item])
	}
	if t := c.cancelledAt[id]; t > 0 && c.w.now > t+cancelToleranceMs {
		c.addFault("UNASKED", "%s starts %d ms after its cancelling", r.Item, c.w.now-t)
	}
	c.limits(v, r, it)
	if c.runs[r.Item] == nil {
		c.runs[r.Item] = map[string]bool{}
	}
	c.runs[r.Item][v.ID] = true
}

// limits checks the capacity of the VM and the number of items of the step on it.
func (c *checker) limits(v *pool.VM, r *pool.Run, it jobs.Item) {
	cpu, mem := v.Used()
	if cpu > v.CPU || mem > v.MemMB {
		c.addFault("LIMIT", "%s has %d of %d and %d of %d MB taken", v.ID, cpu, v.CPU, mem, v.MemMB)
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
		c.addFault("ROUTE", "%d items of the step of %s on %s", same, r.Item, v.ID)
	}
}

func (c *checker) ended(v *pool.VM, r *pool.Run, kind pools.EndKind) {
	delete(c.runs[r.Item], v.ID)
	switch kind {
	case pools.EndDone:
		c.done[r.Item] = true
		c.doneOn[r.Item] = append(c.doneOn[r.Item], v.ID)
	case pools.EndFailed:
		c.fails[r.Item]++
	case pools.EndStopped:
	}
}

// checkRecordedEnd checks an end as done that an owner has recorded. The item must not have started on another VM
// between the end and its recording.
func (c *checker) checkRecordedEnd(v *pool.VM, end pools.RunEnd) {
	if end.Kind != pools.EndDone {
		return
	}
	if vm, ok := c.restartedOn[[2]string{end.Item, v.ID}]; ok {
		c.addFault("TWICE", "%s started on %s before its end as done was recorded", end.Item, vm)
	}
	c.endRecorded[end.Item] = true
}

// runLost removes a run that was lost with its VM.
func (c *checker) runLost(v *pool.VM, r *pool.Run) { delete(c.runs[r.Item], v.ID) }

func (c *checker) cancelled(d *generatedJob) { c.cancelledAt[d.job.ID] = c.w.now }

// finished checks a job whose final state has become visible to callers.
func (c *checker) finished(d *generatedJob, s jobs.State) {
	switch s {
	case jobs.Complete:
		for it := range d.work {
			if !c.done[it.Name(d.job.ID)] {
				c.addFault("MIXED", "job %s is shown as complete before %v is done", d.job.ID, it)
			}
		}
	case jobs.Failed:
		if d.class.Attempts > 0 {
			worst := 0
			for it := range d.work {
				worst = max(worst, c.fails[it.Name(d.job.ID)])
			}
			if worst < d.class.Attempts {
				c.addFault("LOST", "job %s is shown as failed after %d failed runs", d.job.ID, worst)
			}
		}
	default:
	}
}
