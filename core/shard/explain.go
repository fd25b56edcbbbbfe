package shard

// Explain returns whether a job runs, or why it waits, in words for an operator. It returns an empty string for an unknown job.
func (e *Engine) Explain(id string, now int64) string {
	j := e.jobs[id]
	if j == nil {
		return ""
	}
	if j.state.Final() {
		return j.state.String()
	}
	if j.activeCount() > 0 {
		return "running"
	}
	if j.inherited && e.initialPolls.pending {
		return "waits: VMs of an earlier owner are not polled yet"
	}
	ready := j.readyItems(now)
	switch {
	case len(ready) == 0:
		return "waits: none of its items is due"
	case e.catalog == nil || now-e.storeContactAt > maxStoreSilenceMs:
		return "waits: the log does not answer"
	}
	limited, open := true, true
	for len(ready) > 0 {
		group := sameStep(ready)
		ready = ready[len(group):]
		if !group[0].stepDef.Gang {
			group = group[:1]
		}
		if e.mayStart(j, group...) {
			limited = false
			open = open && group[0].open.vm != ""
		}
	}
	switch {
	case limited:
		return "waits: account at its limit"
	case open:
		return "waits: an earlier start may still be executed"
	case j.tooLarge:
		return "waits: larger than any VM of the pool"
	default:
		return "waits: no room on any VM in use"
	}
}
