package shard

import (
	"bytes"
	"maps"
	"slices"

	"sassafrasvalve/core/jobs"
)

// addProgress adds the progress of the jobs that have changed, up to maxBatchBytes. It returns the error of the first record
// that cannot be encoded.
func (e *Engine) addProgress(b *Batch) error {
	size := 0
	for id, j := range e.dirty {
		if size > maxBatchBytes {
			return nil
		}
		records, complete, err := j.progressRecords(maxBatchBytes - size)
		if err != nil {
			return err
		}
		for _, r := range records {
			size += len(r.Value)
		}
		b.Records = append(b.Records, records...)
		if !complete {
			return nil // the batch is full, and the job stays dirty
		}
		if j.state.Final() {
			// Only the state of an ended job is kept.
			b.Records = append(b.Records, jobs.Record{Key: jobs.JobKey(id)}, jobs.Record{Key: jobs.CancelKey(id)})
		}
		b.jobStates = append(b.jobStates, recordedJob{j, j.state})
		delete(e.dirty, id)
	}
	return nil
}

// progressRecords returns the records of a job's progress: the part records that differ from those in the log, then the progress
// record, which counts for all items that no part record holds. If the part records exceed maxBytes, it returns some of them and
// false. The states of different items don't depend on each other, so they may be recorded one part after the other.
func (j *job) progressRecords(maxBytes int) (records []jobs.Record, complete bool, err error) {
	j.rev++
	states := map[int]*jobs.Progress{}
	if !j.state.Final() {
		states = j.statesByPart()
	}
	size := 0
	for _, n := range slices.Sorted(maps.Keys(states)) {
		if n == 0 {
			continue
		}
		if size > maxBytes {
			return records, false, nil
		}
		r, changed, err := j.partRecord(n, states[n])
		if err != nil {
			return nil, false, err
		}
		if changed {
			size += len(r.Value)
			records = append(records, r)
		}
	}
	for n := range j.parts {
		if states[n] == nil { // its occurrences or the job have ended
			records = append(records, jobs.Record{Key: jobs.PartKey(j.ID, n)})
			delete(j.parts, n)
		}
	}
	p := jobs.Progress{Rev: j.rev, State: j.state, Base: j.base}
	if s := states[0]; s != nil {
		p.Items, p.Crashes, p.Open = s.Items, s.Crashes, s.Open
	}
	value, err := p.MarshalMsg(nil)
	if err != nil {
		return nil, false, err
	}
	return append(records, jobs.Record{Key: jobs.ProgressKey(j.ID), Value: value}), true, nil
}

// partRecord returns the record of part n, which has the given states, and whether it differs from the one in the log.
func (j *job) partRecord(n int, p *jobs.Progress) (r jobs.Record, changed bool, err error) {
	states, err := p.MarshalMsg(nil)
	if err != nil || bytes.Equal(states, j.parts[n]) {
		return jobs.Record{}, false, err
	}
	p.Rev = j.rev
	value, err := p.MarshalMsg(nil)
	if err != nil {
		return jobs.Record{}, false, err
	}
	j.parts[n] = states
	return jobs.Record{Key: jobs.PartKey(j.ID, n), Value: value}, true, nil
}

// forgetParts makes the next batch record all parts again, because those of a batch were not stored.
func (j *job) forgetParts() {
	for n := range j.parts {
		j.parts[n] = nil
	}
}

// stepOffsets returns for each step of a job the number of its first item within an occurrence, or nil if one record holds the
// states of all items.
func stepOffsets(j *jobs.Job) []int {
	offsets := make([]int, len(j.Steps)+1)
	for i := range j.Steps {
		offsets[i+1] = offsets[i] + j.Steps[i].Count
	}
	if offsets[len(j.Steps)]*j.Occurrences() <= jobs.ItemsPerRecord {
		return nil
	}
	return offsets
}

// partOf returns the number of the part record with the state of an item, or 0 if the progress record holds it.
func (j *job) partOf(it *item) int {
	if j.stepOffsets == nil {
		return 0
	}
	perOccurrence := j.stepOffsets[len(j.Steps)]
	return 1 + (it.K*perOccurrence+j.stepOffsets[it.Step]+it.Index)/jobs.ItemsPerRecord
}

// statesByPart returns the states of the items that were started at least once, the suspicions against items and their open starts,
// by the number of the record that holds them.
func (j *job) statesByPart() map[int]*jobs.Progress {
	states := map[int]*jobs.Progress{}
	statesOf := func(it *item) *jobs.Progress {
		n := j.partOf(it)
		if states[n] == nil {
			states[n] = &jobs.Progress{}
		}
		return states[n]
	}
	for _, it := range j.orderedItems {
		if it.run != 0 || it.done {
			p := statesOf(it)
			p.Items = append(p.Items, it.state())
		}
		if it.suspected() && !it.done {
			p := statesOf(it)
			p.Crashes = append(p.Crashes, it.crashRecord())
		}
		if it.open.vm != "" {
			p := statesOf(it)
			p.Open = append(p.Open, it.openRecord())
		}
	}
	return states
}

// state returns the recorded state of an item.
func (it *item) state() jobs.ItemState {
	s := jobs.ItemState{
		K: it.K, Step: it.Step, Index: it.Index, Run: it.run, Failed: it.failedRuns, Done: it.done, Ref: it.checkpoint,
	}
	if it.vm != nil && !it.done {
		s.VM, s.VMBorn = it.vm.ID, it.vm.startedAtMs
	}
	return s
}
