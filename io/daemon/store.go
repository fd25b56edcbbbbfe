package daemon

import (
	"context"
	"encoding/binary"
	"sync"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
	"sassafrasvalve/io/oplog"
)

// Store holds the folded state of this entry. It is safe for concurrent use.
type Store struct {
	log      *zap.Logger
	onResult func(fleet.Result)

	mu      sync.RWMutex
	st      *fleet.State
	changed chan struct{} // closed and replaced after each change
}

// NewStore returns an empty store. onResult is called for each folded record in offset order.
func NewStore(log *zap.Logger, onResult func(fleet.Result)) *Store {
	return &Store{
		log:      log,
		onResult: onResult,
		st:       fleet.NewState(stateConfig()),
		changed:  make(chan struct{}),
	}
}

func stateConfig() fleet.StateConfig { return fleet.StateConfig{Validate: spec.Validate} }

// View calls f with the state. f must neither keep nor change it.
func (s *Store) View(f func(st *fleet.State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.st)
}

// Offset returns the offset of the last folded record, -1 before the first.
func (s *Store) Offset() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.st.Offset
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Fold folds records and returns those that were new. It skips records that were folded before, since the log and
// a relaying peer may both deliver them, and stops at a gap in the offsets.
func (s *Store) Fold(records []oplog.Entry) []oplog.Entry {
	folded, results := s.fold(records)
	for _, r := range results {
		if !r.Accepted && !r.Duplicate {
			s.log.Info("record had no effect", zap.Int64("Offset", r.Offset), zap.String("ID", r.ID),
				zap.String("Kind", string(r.Kind)), zap.String("Reason", r.Reason))
		}
		s.onResult(r)
	}
	return folded
}

func (s *Store) fold(records []oplog.Entry) ([]oplog.Entry, []fleet.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var folded []oplog.Entry
	var out []fleet.Result
	for _, r := range records {
		if r.Offset <= s.st.Offset {
			continue
		}
		if r.Offset != s.st.Offset+1 {
			break
		}
		out = append(out, s.st.ApplyEncoded(r.Offset, r.Data))
		folded = append(folded, r)
	}
	if len(out) > 0 {
		s.notify()
	}
	return folded, out
}

// Replace replaces the state by st. It returns false, without a change, if st is not newer.
func (s *Store) Replace(st *fleet.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.Offset <= s.st.Offset {
		return false
	}
	s.st = st
	s.notify()
	return true
}

// State returns the packed state, preceded by its 8-byte checksum, and its offset. It implements peer.StateSource.
func (s *Store) State(context.Context) (through int64, data []byte, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	packed, sum, err := s.st.Pack()
	return s.st.Offset, append(binary.BigEndian.AppendUint64(nil, sum), packed...), err
}

// unpack restores a state from the data that State returned, and verifies its checksum.
func unpack(data []byte) (*fleet.State, error) {
	if len(data) < 8 {
		return nil, eris.Errorf("packed state has only %d bytes, fewer than its checksum", len(data))
	}
	return fleet.Unpack(stateConfig(), data[8:], binary.BigEndian.Uint64(data))
}

// notify wakes the waiters of Changed. The caller holds mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
