package fleet

import (
	"fmt"
	"maps"
	"slices"

	"sassafrasvalve/core/spec"
)

// StateConfig holds what the fold needs from other packages.
type StateConfig struct {
	// Validate returns the faults of a fleet; a configuration with any is rejected.
	// It must be the same pure function on every entry. Nil skips this check.
	Validate func(spec.Fleet) []spec.Problem
}

// State is the shared state of all entries after the record at Offset.
// It is not safe for concurrent use, and callers must not change what its fields refer to.
type State struct {
	Offset     int64 // of the last folded record, -1 before the first
	Config     Config
	Members    map[string]*Member      // by member ID
	Ended      map[string]EndedProcess // last ended process by the VM it ran on
	Unsettled  []Departure             // by offset
	Suspicions []Suspicion             // by offset
	Losses     []Loss                  // newest last, bounded
	VMs        map[string]*VM
	Waves      map[string]*Wave
	Jobs       map[string]*JobState
	Skipped    SkipCounts
	MinVersion int // highest MinVersion of any record
	Snapshots  SnapshotProgress

	cfg       StateConfig
	seen      *seenIDs
	pools     map[string]map[string]*VM // VMs by pool
	addrs     map[string]string         // VM IDs by address
	endedJobs []string                  // by offset of their end
	jobBytes  int                       // size of the requests of open jobs
}

// SkipCounts counts the records that had no effect because they could not be understood.
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

// ReadOnly reports whether a record asked for a newer program than this one,
// which may then serve but not write decisions.
func (s *State) ReadOnly() bool { return s.MinVersion > RecordVersion }

// ApplyRaw decodes and folds the record at offset. Data that cannot be decoded is skipped.
func (s *State) ApplyRaw(offset int64, data []byte) Result {
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

// Apply folds the record at offset, which must be the one after s.Offset:
// a gap would make this state differ from that of other entries.
func (s *State) Apply(offset int64, r Record) Result {
	res := Result{Offset: offset, ID: r.ID, Kind: r.Kind}
	if err := s.advance(offset); err != nil {
		res.Reason = err.Error()
		return res
	}
	defer s.prune()
	s.MinVersion = max(s.MinVersion, r.MinVersion)
	if err := s.skip(r); err != nil {
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

// skip returns the reason why this program cannot understand the record, if so.
func (s *State) skip(r Record) error {
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
		return s.noteSnapshot(*r.Snapshot)
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

// prune drops what is older than the retention windows.
func (s *State) prune() {
	s.seen.prune(s.Offset - SeenWindow)
	s.pruneJobs()
	s.pruneWaves()
	for vm, e := range s.Ended {
		if e.Offset <= s.Offset-SeenWindow {
			delete(s.Ended, vm)
		}
	}
}

// ResultOf returns the outcome of the record with this ID if it was folded
// within the last SeenWindow offsets.
func (s *State) ResultOf(id string) (Result, bool) {
	res, ok := s.seen.find(id)
	res.ID = id
	return res, ok
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
