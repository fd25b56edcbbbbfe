package daemon

import (
	"slices"
	"sync"

	"go.uber.org/zap"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
)

// relayBytes bounds the raw records kept for peers that are cut off from the log.
const relayBytes = 4 << 20

// entryRecord is a raw record of the log.
type entryRecord struct {
	Offset int64
	Data   []byte
}

// Store holds the folded state of this entry. It is safe for concurrent use.
type Store struct {
	log     *zap.Logger
	observe func(fleet.Result)

	mu      sync.RWMutex
	st      *fleet.State
	recent  []entryRecord // consecutive, newest last
	bytes   int
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

// Fold folds records and reports how many were new. Records that were folded before are left
// out, since the log and a relaying peer may both deliver them; a gap ends the fold.
func (s *Store) Fold(records []entryRecord) int {
	results := s.fold(records)
	for _, r := range results {
		if !r.Accepted && !r.Duplicate {
			s.log.Info("record had no effect", zap.Int64("Offset", r.Offset), zap.String("ID", r.ID),
				zap.String("Kind", string(r.Kind)), zap.String("Reason", r.Reason))
		}
		s.observe(r)
	}
	return len(results)
}

func (s *Store) fold(records []entryRecord) []fleet.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []fleet.Result
	for _, r := range records {
		if r.Offset <= s.st.Offset {
			continue
		}
		if r.Offset != s.st.Offset+1 {
			break
		}
		out = append(out, s.st.ApplyRaw(r.Offset, r.Data))
		s.keep(r)
	}
	if len(out) > 0 {
		s.notify()
	}
	return out
}

// keep remembers a raw record for peers.
func (s *Store) keep(r entryRecord) {
	s.recent = append(s.recent, r)
	s.bytes += len(r.Data)
	drop := 0
	for s.bytes > relayBytes && drop < len(s.recent)-1 {
		s.bytes -= len(s.recent[drop].Data)
		drop++
	}
	if drop > 0 {
		s.recent = slices.Clone(s.recent[drop:])
	}
}

// Records returns up to limit raw records from an offset on, and false if they are not held any more.
func (s *Store) Records(from int64, limit int) ([]entryRecord, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if from > s.st.Offset {
		return nil, true
	}
	if len(s.recent) == 0 || from < s.recent[0].Offset {
		return nil, false
	}
	part := s.recent[from-s.recent[0].Offset:]
	return slices.Clone(part[:min(limit, len(part))]), true
}

// Replace puts a state in place of an older one. It reports false if the state is not newer.
func (s *Store) Replace(st *fleet.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.Offset <= s.st.Offset {
		return false
	}
	s.st, s.recent, s.bytes = st, nil, 0
	s.notify()
	return true
}

// Pack returns the compressed state, its checksum and its offset.
func (s *Store) Pack() (data []byte, checksum uint64, offset int64, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	data, checksum, err = s.st.Pack()
	return data, checksum, s.st.Offset, err
}

// notify must be called with the lock held.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
