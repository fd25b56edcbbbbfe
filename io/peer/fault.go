package peer

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
)

const maxFaultBodyBytes = 64 << 10

// Faults cuts peers off for tests. A server and a pool can share it.
// Without injection no peer is cut off and the HTTP handler answers 404.
type Faults struct {
	injection bool

	mu  sync.Mutex
	cut []string
}

// CutRequest is the body of a POST to the fault handler. It replaces the list of peers that are cut off.
type CutRequest struct {
	Peers []string // addresses, member IDs, VM names, or "*" for all
}

// NewFaults returns faults that can be set only if injection is true.
func NewFaults(injection bool) *Faults { return &Faults{injection: injection} }

// Cut reports whether a peer, given by its address or member ID, is cut off.
func (f *Faults) Cut(peer string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	vm, _, _ := strings.Cut(peer, "#") // a member ID is the VM's name, "#" and the epoch
	return slices.ContainsFunc(f.cut, func(c string) bool { return c == "*" || c == peer || c == vm })
}

// Set replaces the list of peers that are cut off. It has no effect without injection.
func (f *Faults) Set(peers []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.injection {
		f.cut = slices.Clone(peers)
	}
}

// ServeHTTP replaces the list of peers that are cut off on POST and returns it on GET and POST.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !f.injection {
		http.NotFound(w, r)
		return
	}
	switch r.Method {
	case http.MethodGet:
	case http.MethodPost:
		var req CutRequest
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBodyBytes)).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.Set(req.Peers)
	default:
		http.Error(w, "only GET and POST are allowed", http.StatusMethodNotAllowed)
		return
	}
	f.mu.Lock()
	shown := CutRequest{Peers: slices.Clone(f.cut)}
	f.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(shown) // fails only if the client has disconnected
}
