package fleet

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// ChunkBytes is the maximum size of a snapshot chunk, before base64 encoding.
const ChunkBytes = 64 << 10

// Limits of a snapshot that is read from the log or a peer.
const (
	maxChunks     = 2_000
	maxStateBytes = 512 << 20 // decompressed
)

// stateDump is the encoded form of State. Maps are encoded in the order of their keys.
type stateDump struct {
	*State
	Seen seenDump
}

// Encode returns the state as JSON. Equal states have the same encoding.
func (s *State) Encode() ([]byte, error) {
	data, err := json.Marshal(stateDump{s, s.seen.dump()})
	if err != nil {
		return nil, fmt.Errorf("encode state at offset %d: %w", s.Offset, err)
	}
	return data, nil
}

// Checksum returns the xxhash of the encoded state. Equal states have the same checksum.
func (s *State) Checksum() (uint64, error) {
	data, err := s.Encode()
	return xxhash.Sum64(data), err
}

// Pack returns the compressed encoding of the state and the checksum that Unpack needs.
func (s *State) Pack() (data []byte, checksum uint64, err error) {
	raw, err := s.Encode()
	if err != nil {
		return nil, 0, err
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := w.Write(raw); err != nil {
		return nil, 0, fmt.Errorf("compress state: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, 0, fmt.Errorf("compress state: %w", err)
	}
	return buf.Bytes(), xxhash.Sum64(raw), nil
}

// Unpack restores a packed state. It returns an error if the data is corrupt or the checksum does not match.
func Unpack(cfg StateConfig, data []byte, checksum uint64) (*State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decompress state: %w", err)
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxStateBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress state: %w", err)
	}
	if sum := xxhash.Sum64(raw); sum != checksum {
		return nil, fmt.Errorf("state checksum is %x, its data has %x", checksum, sum)
	}
	dump := stateDump{State: NewState(cfg)}
	if err := json.Unmarshal(raw, &dump); err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	s := dump.State
	if s.seen, err = dump.Seen.restore(); err != nil {
		return nil, err
	}
	for _, vm := range s.VMs {
		s.addVM(vm)
	}
	s.rebuildJobIndex()
	return s, nil
}

// Snapshot returns the state as chunk records for the log. The caller that appends them sets their record IDs.
func (s *State) Snapshot(id string) ([]Record, error) {
	data, sum, err := s.Pack()
	if err != nil {
		return nil, err
	}
	count := (len(data) + ChunkBytes - 1) / ChunkBytes
	records := make([]Record, 0, count)
	for i := range count {
		part := data[i*ChunkBytes : min((i+1)*ChunkBytes, len(data))]
		records = append(records, Record{Kind: KindSnapshot, Version: RecordVersion, Snapshot: &SnapshotChunk{
			Through: s.Offset, Snapshot: id, Index: i, Count: count, Checksum: sum, Data: part,
		}})
	}
	return records, nil
}

// Assembler assembles snapshots from chunks that arrive in any order.
type Assembler struct {
	cfg   StateConfig
	parts map[chunkSet][][]byte
}

// chunkSet identifies the chunks of one snapshot.
type chunkSet struct {
	snapshot string
	through  int64
	count    int
	checksum uint64
}

// NewAssembler returns an assembler whose states use cfg.
func NewAssembler(cfg StateConfig) *Assembler {
	return &Assembler{cfg: cfg, parts: map[chunkSet][][]byte{}}
}

// Add stores a chunk and returns the state if the chunk completes its snapshot, or nil while chunks are missing.
// It returns an error if the chunk is out of range or the complete snapshot is corrupt.
func (a *Assembler) Add(c SnapshotChunk) (*State, error) {
	if c.Count < 1 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count {
		return nil, fmt.Errorf("snapshot %q: chunk %d of %d is out of range", c.Snapshot, c.Index, c.Count)
	}
	set := chunkSet{c.Snapshot, c.Through, c.Count, c.Checksum}
	if a.parts[set] == nil {
		a.parts[set] = make([][]byte, c.Count)
	}
	a.parts[set][c.Index] = c.Data
	for _, p := range a.parts[set] {
		if p == nil {
			return nil, nil
		}
	}
	data := bytes.Join(a.parts[set], nil)
	delete(a.parts, set)
	s, err := Unpack(a.cfg, data, c.Checksum)
	if err != nil {
		return nil, fmt.Errorf("snapshot %q: %w", c.Snapshot, err)
	}
	if s.Offset != c.Through {
		return nil, fmt.Errorf("snapshot %q is of offset %d, not %d", c.Snapshot, s.Offset, c.Through)
	}
	return s, nil
}
