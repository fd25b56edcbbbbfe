package peer

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"sassafrasvalve/core/clock"
)

const (
	stateChunkBytes = 64 << 10
	maxStateChunks  = 1024 // 64 MiB, a quarter of a daemon's memory
	// stateReuse is how long a state is served to new callers, so that several callers share one encoded state.
	stateReuse = 2 * time.Second
	// stateRetention is how long a state is served to callers that have fetched its first chunk.
	stateRetention = 30 * time.Second
	maxStates      = 2 // held at the same time
	stateAttempts  = 3 // of a fetch whose snapshot is no longer held
)

// StateSource returns the encoded state of this entry's fold and the offset up to which it has folded the log.
type StateSource interface {
	State(ctx context.Context) (through int64, data []byte, err error)
}

// StateRequest requests one chunk. Snapshot is empty in the first request.
type StateRequest struct {
	Snapshot string
	Index    int
}

// StateChunk is one part of a state.
type StateChunk struct {
	Snapshot string
	Through  int64
	Index    int
	Count    int
	Checksum uint64 // xxhash of the whole encoded state
	Data     []byte
}

// heldState is a state that is held for transfers.
type heldState struct {
	id        string
	createdAt time.Time
	through   int64
	checksum  uint64
	data      []byte
}

// StateServer serves GetState.
type StateServer struct {
	src   StateSource
	clock clock.Clock

	mu   sync.Mutex
	held []heldState // newest last
}

// NewStateServer returns a server for the states of src.
func NewStateServer(src StateSource, clk clock.Clock) *StateServer {
	return &StateServer{src: src, clock: clk}
}

// Handle is the Handler of MethodGetState.
func (s *StateServer) Handle(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var req StateRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	st, err := s.state(ctx, req.Snapshot)
	if err != nil {
		return nil, err
	}
	count := max(1, (len(st.data)+stateChunkBytes-1)/stateChunkBytes)
	if req.Index < 0 || req.Index >= count {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "chunk does not exist"}
	}
	low := req.Index * stateChunkBytes
	return StateChunk{
		Snapshot: st.id, Through: st.through, Index: req.Index, Count: count, Checksum: st.checksum,
		Data: st.data[low:min(low+stateChunkBytes, len(st.data))],
	}, nil
}

// state returns the state with the given snapshot ID. For an empty ID it returns a recent state, or a new one from src.
func (s *StateServer) state(ctx context.Context, id string) (heldState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for len(s.held) > 0 && now.Sub(s.held[0].createdAt) > stateRetention {
		s.held = s.held[1:]
	}
	for _, h := range s.held {
		if h.id == id || (id == "" && now.Sub(h.createdAt) < stateReuse) {
			return h, nil
		}
	}
	if id != "" {
		return heldState{}, &jsonrpc2.Error{Code: CodeGone, Message: "snapshot is no longer held"}
	}
	through, data, err := s.src.State(ctx)
	if err != nil {
		return heldState{}, err
	}
	h := heldState{id: uuid.NewString(), createdAt: now, through: through, checksum: xxhash.Sum64(data), data: data}
	if len(s.held) == maxStates {
		s.held = s.held[1:]
	}
	s.held = append(s.held, h)
	return h, nil
}

// FetchState fetches a peer's encoded state and the offset up to which that peer has folded the log. It starts again, up to
// stateAttempts times in all, if the peer has dropped the snapshot.
func FetchState(ctx context.Context, p *Pool, addr string) (through int64, data []byte, err error) {
	for range stateAttempts {
		through, data, err = fetchState(ctx, p, addr)
		var gone *jsonrpc2.Error
		if !errors.As(err, &gone) || gone.Code != CodeGone {
			break
		}
	}
	return through, data, err
}

func fetchState(ctx context.Context, p *Pool, addr string) (int64, []byte, error) {
	var a assembly
	for !a.complete() {
		var c StateChunk
		if err := p.Call(ctx, addr, MethodGetState, StateRequest{a.first.Snapshot, a.next}, &c); err != nil {
			return 0, nil, err
		}
		if err := a.add(c); err != nil {
			return 0, nil, eris.Wrapf(err, "state from peer %s", addr)
		}
	}
	return a.first.Through, a.data, nil
}

// assembly joins the chunks of a state.
type assembly struct {
	first StateChunk
	next  int
	data  []byte
}

// complete reports whether all chunks were added.
func (a *assembly) complete() bool { return a.next > 0 && a.next == a.first.Count }

// add adds the next chunk. It returns an error for one that does not follow the previous chunk, or if the checksum of the
// complete state is wrong.
func (a *assembly) add(c StateChunk) error {
	if a.next == 0 {
		if c.Snapshot == "" || c.Through < 0 || c.Count < 1 || c.Count > maxStateChunks {
			return eris.Errorf("invalid first chunk of snapshot %q with %d chunks", c.Snapshot, c.Count)
		}
		a.first = c
		a.first.Data = nil
	}
	same := c.Snapshot == a.first.Snapshot && c.Through == a.first.Through && c.Count == a.first.Count && c.Checksum == a.first.Checksum
	if !same || c.Index != a.next || len(c.Data) > stateChunkBytes {
		return eris.Errorf("chunk %d of %q does not follow chunk %d of %q", c.Index, c.Snapshot, a.next-1, a.first.Snapshot)
	}
	a.data = append(a.data, c.Data...)
	a.next++
	if a.complete() && xxhash.Sum64(a.data) != a.first.Checksum {
		return eris.Errorf("checksum of snapshot %q is wrong", c.Snapshot)
	}
	return nil
}
