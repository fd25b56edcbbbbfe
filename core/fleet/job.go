package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"sassafrasvalve/core/retry"
)

// Limits of the deferrable jobs in the state.
const (
	MaxRequestBytes = 48 << 10 // method, path, headers and body of one request
	MaxOpenJobBytes = 32 << 20 // requests of all open jobs; keeps a daemon within 256 MB
	MaxEndedJobs    = 10_000
	MaxJobRuns      = 5 // runs after which a failed job ends with the last outcome
)

// Size returns the size of the method, path, headers and body in bytes.
func (q JobRequest) Size() int {
	n := len(q.Method) + len(q.Path) + len(q.Body)
	for name, values := range q.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

func (s *State) addJob(j Job) error {
	size := j.Request.Size()
	switch {
	case j.ID == "" || s.Jobs[j.ID] != nil:
		return fmt.Errorf("job ID %q is empty or taken", j.ID)
	case size > MaxRequestBytes:
		return fmt.Errorf("request of job %q takes %d bytes, more than %d", j.ID, size, MaxRequestBytes)
	case s.jobBytes+size > MaxOpenJobBytes:
		return fmt.Errorf("open jobs take %d bytes, job %q would exceed %d", s.jobBytes, j.ID, MaxOpenJobBytes)
	}
	if err := s.checkJobTarget(j); err != nil {
		return err
	}
	s.Jobs[j.ID] = &JobState{Job: j, Phase: JobQueued, Offset: s.Offset}
	s.jobBytes += size
	return nil
}

func (s *State) startJob(c JobStart) error {
	j, m := s.Jobs[c.Job], s.Members[c.Member]
	switch {
	case j == nil:
		return fmt.Errorf("job %q does not exist", c.Job)
	case j.Phase != JobQueued:
		return fmt.Errorf("job %q is %s", c.Job, j.Phase)
	case c.Run != j.Run+1:
		return fmt.Errorf("job %q had %d runs, the next is not %d", c.Job, j.Run, c.Run)
	case m == nil || m.Phase != MemberLive:
		return fmt.Errorf("member %q is not live", c.Member)
	}
	j.Phase, j.Member, j.Run, j.Offset = JobRunning, c.Member, c.Run, s.Offset
	return nil
}

func (s *State) finishJob(d JobDone) error {
	j := s.Jobs[d.Job]
	switch {
	case j == nil:
		return fmt.Errorf("job %q does not exist", d.Job)
	case j.Phase != JobRunning:
		return fmt.Errorf("job %q is %s", d.Job, j.Phase)
	case j.Member != d.Member || j.Run != d.Run:
		return fmt.Errorf("job %q is in run %d by %q", d.Job, j.Run, j.Member)
	}
	if d.Verdict == retry.NotRun || d.Again && j.Idempotent && j.Run < MaxJobRuns {
		s.requeueJob(j)
		return nil
	}
	s.endJob(j, d)
	return nil
}

func (s *State) requeueJob(j *JobState) {
	j.Phase, j.Member, j.Offset = JobQueued, "", s.Offset
}

func (s *State) endJob(j *JobState, d JobDone) {
	s.jobBytes -= j.Request.Size()
	j.Phase, j.Outcome, j.Offset, j.Request = JobEnded, d, s.Offset, JobRequest{}
	s.endedJobs = append(s.endedJobs, j.ID)
}

// releaseJobs requeues or ends the running jobs of a member that ended. Whether they ran is unknown,
// so only idempotent jobs run again.
func (s *State) releaseJobs(member string) {
	for _, id := range sortedKeys(s.Jobs) {
		j := s.Jobs[id]
		if j.Phase != JobRunning || j.Member != member {
			continue
		}
		if j.Idempotent {
			s.requeueJob(j)
			continue
		}
		s.endJob(j, JobDone{Job: id, Member: member, Run: j.Run, Verdict: retry.MayHaveRun})
	}
}

// pruneJobs deletes the jobs that ended first, above MaxEndedJobs or more than RecordIDWindow offsets ago.
func (s *State) pruneJobs() {
	for len(s.endedJobs) > 0 {
		first := s.Jobs[s.endedJobs[0]]
		if len(s.endedJobs) <= MaxEndedJobs && first.Offset > s.Offset-RecordIDWindow {
			return
		}
		delete(s.Jobs, first.ID)
		s.endedJobs = s.endedJobs[1:]
	}
}

// rebuildJobIndex derives endedJobs and jobBytes from Jobs.
func (s *State) rebuildJobIndex() {
	s.endedJobs, s.jobBytes = nil, 0
	for _, id := range sortedKeys(s.Jobs) {
		if j := s.Jobs[id]; j.Phase == JobEnded {
			s.endedJobs = append(s.endedJobs, id)
		} else {
			s.jobBytes += j.Request.Size()
		}
	}
	slices.SortStableFunc(s.endedJobs, func(a, b string) int { return cmp.Compare(s.Jobs[a].Offset, s.Jobs[b].Offset) })
}

// QueuedJobs returns the IDs of the queued jobs, sorted by deadline and then ID.
func (s *State) QueuedJobs() []string {
	var ids []string
	for _, id := range sortedKeys(s.Jobs) {
		if s.Jobs[id].Phase == JobQueued {
			ids = append(ids, id)
		}
	}
	slices.SortStableFunc(ids, func(a, b string) int { return s.Jobs[a].Deadline.Compare(s.Jobs[b].Deadline) })
	return ids
}
