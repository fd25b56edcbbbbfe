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
	log     *zap.Logger
	observe func(fleet.Result)

	mu      sync.RWMutex
	st      *fleet.State
	changed chan struct{} // closed and replaced after each change
}

// NewStore returns an empty store. observe is called for each folded record in offset order.
func NewStore(log *zap.Logger, observe func(fleet.Result)) *Store {
	return &Store{
		log:     log,
		observe: observe,
		st:      fleet.NewState(stateConfig()),
		changed: make(chan struct{}),
	}
}

func stateConfig() fleet.StateConfig { return fleet.StateConfig{Validate: spec.Validate} }

// View calls f with the state. f must neither keep nor change it.
func (s *Store) View(f func(st *fleet.State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.st)
}

// Offset returns the last folded offset, -1 before the first.
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

// Fold folds records and returns those that were new. Records that were folded before are left
// out, since the log and a relaying peer may both deliver them; a gap ends the fold.
func (s *Store) Fold(records []oplog.Entry) []oplog.Entry {
	folded, results := s.fold(records)
	for _, r := range results {
		if !r.Accepted && !r.Duplicate {
			s.log.Info("record had no effect", zap.Int64("Offset", r.Offset), zap.String("ID", r.ID),
				zap.String("Kind", string(r.Kind)), zap.String("Reason", r.Reason))
		}
		s.observe(r)
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
		out = append(out, s.st.ApplyRaw(r.Offset, r.Data))
		folded = append(folded, r)
	}
	if len(out) > 0 {
		s.notify()
	}
	return folded, out
}

// Replace puts a state in place of an older one. It reports false if the state is not newer.
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

// State returns the packed state and its offset. It implements peer.StateSource.
func (s *Store) State(context.Context) (through int64, data []byte, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	packed, sum, err := s.st.Pack()
	return s.st.Offset, append(binary.BigEndian.AppendUint64(nil, sum), packed...), err
}

// unpack restores what State returned.
func unpack(data []byte) (*fleet.State, error) {
	if len(data) < 8 {
		return nil, eris.Errorf("state has %d bytes", len(data))
	}
	return fleet.Unpack(stateConfig(), data[8:], binary.BigEndian.Uint64(data))
}

// notify must be called with the lock held.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
