package shard

import "sassafrasvalve/core/jobs"

const (
	// gangRetryMs is the pause before a gang starts again of which a member was refused.
	gangRetryMs = 500
	// maxGangItemsPerVM is the number of members of a gang that start on one VM. The orders to a VM are sent one after the other, each
	// takes some milliseconds, and a VM refuses those that are older than startTimeoutMs.
	maxGangItemsPerVM = 128
)

// maxPerVM returns how many items of a step may run on one VM, 0 for no limit.
func maxPerVM(s *jobs.Step) int {
	if s.Gang && (s.MaxPerVM <= 0 || s.MaxPerVM > maxGangItemsPerVM) {
		return maxGangItemsPerVM
	}
	return s.MaxPerVM
}

// endingTogether returns the items that end together with it: the item itself, or its gang.
func (j *job) endingTogether(it *item) []*item {
	if !it.stepDef.Gang {
		return []*item{it}
	}
	list := make([]*item, 0, it.stepDef.Count)
	for i := range it.stepDef.Count {
		if m := j.items[jobs.Item{K: it.K, Step: it.Step, Index: i}]; m != nil {
			list = append(list, m)
		}
	}
	return list
}

// stopGang stops the other members of a gang after one has ended.
func (e *Engine) stopGang(j *job, it *item, now int64) {
	for _, m := range j.endingTogether(it) {
		m.checkpoint = it.checkpoint
		if m.vm != nil && m.phase != planned {
			e.stop(m, "gang member ended", now)
		}
	}
}

// abandonGang ends the starts of the other members of a gang after the start of one was not executed. They would hold their room and wait
// for it until their VMs end them. The gang starts again as a whole once all have ended.
func (e *Engine) abandonGang(it *item, now int64) {
	if !it.stepDef.Gang || it.done || it.job.state.Final() {
		return
	}
	it.notBefore = max(it.notBefore, now+gangRetryMs)
	for _, m := range it.job.endingTogether(it) {
		switch {
		case m == it || m.vm == nil:
		case m.phase == planned:
			e.release(m, now)
		default:
			e.stop(m, "gang member refused", now)
		}
	}
}
