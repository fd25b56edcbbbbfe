package fleet

import (
	"fmt"
	"slices"
	"time"
)

// Number of records and time after the last complete snapshot in the log at which a new snapshot is due.
const (
	SnapshotRecords  = 2_000
	SnapshotInterval = 10 * time.Minute
)

// Limits of the snapshot progress in the state.
const (
	maxPartialSnapshots = 4
	maxChunkOffsets     = 4_096
)

// SnapshotProgress tracks the snapshots in the log.
type SnapshotProgress struct {
	Through int64  // offset of the state in the newest complete snapshot, -1 without one
	ID      string // of that snapshot
	Partial []PartialSnapshot
	Chunks  []int64 // offsets of the chunk records after Through
}

// PartialSnapshot is a snapshot with missing chunks.
type PartialSnapshot struct {
	ID      string
	Through int64
	Count   int
	Have    []int // sorted indexes of the chunks in the log
}

// addChunk counts a chunk of a snapshot. It does not check the data, which is checked when a snapshot is loaded.
func (s *State) addChunk(c SnapshotChunk) error {
	if c.Count < 1 || c.Index < 0 || c.Index >= c.Count || c.Through < 0 || c.Through >= s.Offset {
		return fmt.Errorf("chunk %d of %d through offset %d is out of range", c.Index, c.Count, c.Through)
	}
	p := &s.Snapshots
	p.Chunks = append(p.Chunks, s.Offset)
	if len(p.Chunks) > maxChunkOffsets {
		p.Chunks = p.Chunks[1:]
	}
	if c.Through <= p.Through {
		return nil
	}
	part := p.partialFor(c)
	if i, found := slices.BinarySearch(part.Have, c.Index); !found {
		part.Have = slices.Insert(part.Have, i, c.Index)
	}
	if len(part.Have) == part.Count {
		p.complete(*part)
	}
	return nil
}

func (p *SnapshotProgress) partialFor(c SnapshotChunk) *PartialSnapshot {
	for i := range p.Partial {
		if q := &p.Partial[i]; q.ID == c.Snapshot && q.Through == c.Through && q.Count == c.Count {
			return q
		}
	}
	if len(p.Partial) >= maxPartialSnapshots {
		p.Partial = slices.Delete(p.Partial, 0, 1)
	}
	p.Partial = append(p.Partial, PartialSnapshot{ID: c.Snapshot, Through: c.Through, Count: c.Count})
	return &p.Partial[len(p.Partial)-1]
}

func (p *SnapshotProgress) complete(done PartialSnapshot) {
	p.Through, p.ID = done.Through, done.ID
	p.Partial = slices.DeleteFunc(p.Partial, func(q PartialSnapshot) bool { return q.Through <= done.Through })
	p.Chunks = slices.DeleteFunc(p.Chunks, func(o int64) bool { return o <= done.Through })
}

// RecordsSinceSnapshot returns the number of records after the newest complete snapshot, chunk records excluded.
func (s *State) RecordsSinceSnapshot() int64 {
	return s.Offset - s.Snapshots.Through - int64(len(s.Snapshots.Chunks))
}

// NextSnapshotDue returns the time at which a snapshot is due, and false if there is nothing to store. The argument
// seen is the time at which the caller folded the last complete snapshot or, without one, started.
func (s *State) NextSnapshotDue(seen time.Time) (time.Time, bool) {
	switch n := s.RecordsSinceSnapshot(); {
	case n >= SnapshotRecords:
		return seen, true
	case n > 0:
		return seen.Add(SnapshotInterval), true
	}
	return time.Time{}, false
}
