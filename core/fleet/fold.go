package fleet

import (
	"fmt"
	"maps"
	"slices"

	"sassafrasvalve/core/spec"
)

// StateConfig holds the functions of other packages that the fold calls.
type StateConfig struct {
	// Validate returns the problems of a fleet configuration; a configuration with any is rejected.
	// It must be the same pure function on every entry. If it is nil, this check is skipped.
	Validate func(spec.Fleet) []spec.Problem
}

// State is the state that all entries share after folding the record at Offset.
// It is not safe for concurrent use, and callers must not modify the values that its fields refer to.
type State struct {
	Offset     int64 // of the last folded record, -1 before the first
	Config     Config
	Members    map[string]*Member      // by member ID
	Ended      map[string]EndedProcess // last ended process, by ID of the VM that it ran on
	Unsettled  []Departure             // by offset
	Suspicions []Suspicion             // by offset
	Losses     []Loss                  // newest last, at most maxLosses
	VMs        map[string]*VM
	Waves      map[string]*Wave
	Jobs       map[string]*JobState
	Skipped    SkipCounts
	MinVersion int // highest MinVersion of the folded records
	Snapshots  SnapshotProgress

	cfg       StateConfig
	seen      *seenIDs
	pools     map[string]map[string]*VM // VMs by pool
	addrs     map[string]string         // VM IDs by address
	endedJobs []string                  // job IDs by the offset at which the job ended
	jobBytes  int                       // total size of the requests of open jobs
}

// SkipCounts counts the records that had no effect because this program could not read them.
type SkipCounts struct {
	Corrupt        int64
	UnknownKind    int64
	UnknownVersion int64
}

// NewState returns the state before the first record.
func NewState(cfg StateConfig) *State {
	return &State{
		Offset:  -1,
		Members: map[string]*Member{},
		Ended:   map[string]EndedProcess{},
		VMs:     map[string]*VM{},
		Waves:   map[string]*Wave{},
		Jobs:    map[string]*JobState{},
		Snapshots: SnapshotProgress{
			Through: -1,
		},
		cfg:   cfg,
		seen:  newSeenIDs(),
		pools: map[string]map[string]*VM{},
		addrs: map[string]string{},
	}
}

// ReadOnly reports whether a record requires a newer program than this one.
// This program may then still serve requests but must not write decisions.
func (s *State) ReadOnly() bool { return s.MinVersion > RecordVersion }

// ApplyEncoded decodes the record at offset and folds it. Data that cannot be decoded is counted and skipped.
func (s *State) ApplyEncoded(offset int64, data []byte) Result {
	r, err := Decode(data)
	if err == nil {
		return s.Apply(offset, r)
	}
	res := Result{Offset: offset}
	if err := s.advance(offset); err != nil {
		res.Reason = err.Error()
		return res
	}
	s.Skipped.Corrupt++
	res.Skipped, res.Reason = true, err.Error()
	s.prune()
	return res
}

// Apply folds the record at offset and returns the outcome. The offset must be s.Offset+1,
// because after a gap this state would differ from that of other entries.
func (s *State) Apply(offset int64, r Record) Result {
	res := Result{Offset: offset, ID: r.ID, Kind: r.Kind}
	if err := s.advance(offset); err != nil {
		res.Reason = err.Error()
		return res
	}
	defer s.prune()
	s.MinVersion = max(s.MinVersion, r.MinVersion)
	if err := s.skipError(r); err != nil {
		res.Skipped, res.Reason = true, err.Error()
		return res
	}
	if first, ok := s.seen.find(r.ID); ok {
		res.Duplicate, res.Reason = true, fmt.Sprintf("duplicate of the record at offset %d", first.Offset)
		return res
	}
	if err := s.dispatch(r); err != nil {
		res.Reason = err.Error()
	} else {
		res.Accepted = true
	}
	s.seen.add(res)
	return res
}

func (s *State) advance(offset int64) error {
	if offset <= s.Offset {
		return fmt.Errorf("offset %d is already folded, the state is at %d", offset, s.Offset)
	}
	if offset != s.Offset+1 {
		return fmt.Errorf("offset %d leaves a gap after %d", offset, s.Offset)
	}
	s.Offset = offset
	return nil
}

// skipError counts a record that this program cannot read and returns the reason, or nil for a readable record.
func (s *State) skipError(r Record) error {
	switch {
	case r.Version > RecordVersion:
		s.Skipped.UnknownVersion++
		return fmt.Errorf("version %d is unknown, this program reads %d", r.Version, RecordVersion)
	case !knownKind(r.Kind):
		s.Skipped.UnknownKind++
		return fmt.Errorf("kind %q is unknown", r.Kind)
	}
	if err := r.check(); err != nil {
		s.Skipped.Corrupt++
		return err
	}
	return nil
}

func (s *State) dispatch(r Record) error {
	switch r.Kind {
	case KindConfigure:
		return s.configure(r)
	case KindJoin, KindSuspect, KindEvict, KindFence, KindLeave, KindAck:
		return s.dispatchMember(r)
	case KindObserve, KindDrain, KindAssign, KindReboot, KindActivate, KindFail, KindRemove:
		return s.dispatchVM(r)
	case KindWave:
		return s.changeWave(r)
	case KindJob:
		return s.addJob(*r.Job)
	case KindJobStart:
		return s.startJob(*r.JobStart)
	case KindJobDone:
		return s.finishJob(*r.JobDone)
	case KindSnapshot:
		return s.addChunk(*r.Snapshot)
	}
	return fmt.Errorf("kind %q has no rule", r.Kind)
}

func (s *State) dispatchMember(r Record) error {
	switch r.Kind {
	case KindJoin:
		return s.join(r)
	case KindSuspect:
		return s.suspect(r)
	case KindEvict:
		return s.evict(*r.Evict)
	case KindFence:
		return s.fence(r)
	case KindLeave:
		return s.leave(r)
	default:
		return s.ack(r)
	}
}

func (s *State) dispatchVM(r Record) error {
	switch r.Kind {
	case KindObserve:
		return s.observe(r)
	case KindDrain:
		return s.drain(r)
	case KindAssign:
		return s.assign(r)
	case KindReboot:
		return s.reboot(r)
	case KindActivate:
		return s.activate(r)
	case KindFail:
		return s.fail(r)
	default:
		return s.remove(r)
	}
}

// prune deletes record IDs, jobs, waves and ended processes that are past their retention.
func (s *State) prune() {
	s.seen.prune(s.Offset - RecordIDWindow)
	s.pruneJobs()
	s.pruneWaves()
	for vm, e := range s.Ended {
		if e.Offset <= s.Offset-RecordIDWindow {
			delete(s.Ended, vm)
		}
	}
}

// ResultOf returns the outcome of the record with this ID, and false unless the record
// was folded within the last RecordIDWindow offsets.
func (s *State) ResultOf(id string) (Result, bool) {
	res, ok := s.seen.find(id)
	res.ID = id
	return res, ok
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
