package fleet

import (
	"encoding/binary"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// RecordIDWindow is the number of offsets for which record IDs are stored to detect duplicates.
const RecordIDWindow = 100_000

// maxReasonBytes bounds the stored reason of a rejected record.
const maxReasonBytes = 256

// seenIDs stores the outcome of recent records by the 64-bit hash of their ID.
// A new random ID collides with one of 100,000 stored IDs with a probability of
// 100,000/2^64, about 5.4e-15. The record would then count as a duplicate.
type seenIDs struct {
	entries []seenEntry // by offset
	index   map[uint64]int64
}

type seenEntry struct {
	offset   int64
	hash     uint64
	kind     Kind
	accepted bool
	reason   string
}

func newSeenIDs() *seenIDs { return &seenIDs{index: map[uint64]int64{}} }

func (s *seenIDs) add(res Result) {
	reason := res.Reason
	if len(reason) > maxReasonBytes {
		reason = reason[:maxReasonBytes]
	}
	s.insert(seenEntry{res.Offset, xxhash.Sum64String(res.ID), res.Kind, res.Accepted, reason})
}

func (s *seenIDs) insert(e seenEntry) {
	s.entries = append(s.entries, e)
	s.index[e.hash] = e.offset
}

func (s *seenIDs) find(id string) (Result, bool) {
	offset, ok := s.index[xxhash.Sum64String(id)]
	if !ok {
		return Result{}, false
	}
	i := sort.Search(len(s.entries), func(i int) bool { return s.entries[i].offset >= offset })
	e := s.entries[i]
	return Result{Offset: e.offset, Kind: e.kind, Accepted: e.accepted, Reason: e.reason}, true
}

// prune deletes the entries up to and including the offset.
func (s *seenIDs) prune(through int64) {
	n := 0
	for n < len(s.entries) && s.entries[n].offset <= through {
		delete(s.index, s.entries[n].hash)
		n++
	}
	s.entries = s.entries[n:]
}

// seenDump is the encoding of seenIDs in a snapshot.
type seenDump struct {
	// Packed holds for each entry the distance to the previous offset as uvarint, one byte for the kind,
	// one byte for accepted (0 or 1) and the hash as 8 bytes, big endian.
	Packed  []byte
	Reasons []string // of the rejected entries, in order
}

func (s *seenIDs) dump() seenDump {
	var d seenDump
	prev := int64(-1)
	for _, e := range s.entries {
		d.Packed = binary.AppendUvarint(d.Packed, uint64(e.offset-prev))
		accepted := byte(1)
		if !e.accepted {
			accepted = 0
			d.Reasons = append(d.Reasons, e.reason)
		}
		d.Packed = append(d.Packed, byte(kindIndex(e.kind)), accepted)
		d.Packed = binary.BigEndian.AppendUint64(d.Packed, e.hash)
		prev = e.offset
	}
	return d
}

func (d seenDump) restore() (*seenIDs, error) {
	s := newSeenIDs()
	kinds := (Record{}).payloads()
	offset := int64(-1)
	for b := d.Packed; len(b) > 0; {
		step, n := binary.Uvarint(b)
		if n <= 0 || len(b) < n+10 || int(b[n]) >= len(kinds) {
			return nil, fmt.Errorf("seen IDs are cut off or corrupt after offset %d", offset)
		}
		offset += int64(step)
		e := seenEntry{offset: offset, kind: kinds[b[n]].kind, accepted: b[n+1] == 1}
		e.hash = binary.BigEndian.Uint64(b[n+2:])
		if !e.accepted {
			if len(d.Reasons) == 0 {
				return nil, fmt.Errorf("seen IDs lack the reason of the record at offset %d", offset)
			}
			e.reason, d.Reasons = d.Reasons[0], d.Reasons[1:]
		}
		s.insert(e)
		b = b[n+10:]
	}
	return s, nil
}
