package daemon

import (
	"slices"
	"sync"
	"time"

	"sassafrasvalve/core/clock"
)

// leavingSet is the set of VMs that get no new work because the platform takes them away.
// It is safe for concurrent use.
type leavingSet struct {
	clock clock.Clock

	mu  sync.Mutex
	own []string
	all []string
}

// peerWord is how long a peer's word about leaving VMs counts after it was last heard.
const peerWord = 10 * time.Second

// Update takes the own list and what the peers say. It reports whether the set has changed.
func (l *leavingSet) Update(own []string, peers []peerView) bool {
	now := l.clock.Now()
	all := slices.Clone(own)
	for _, p := range peers {
		if now.Sub(p.At) <= peerWord {
			all = append(all, p.Leaving...)
		}
	}
	slices.Sort(all)
	all = slices.Compact(all)
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := !slices.Equal(all, l.all)
	l.own, l.all = own, all
	return changed
}

// Own returns the VMs that the own list marks as leaving.
func (l *leavingSet) Own() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.own)
}

// All returns the VMs that the own list or a peer marks as leaving, sorted.
func (l *leavingSet) All() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.all)
}

// Evidence that must hold before a VM is reported to the controller.
const (
	sickAfter = 30 * time.Second // ejected
	deadAfter = 10 * time.Second // no connection
)

// vmHealth remembers since when workers are ejected or refuse connections.
// It is safe for concurrent use.
type vmHealth struct {
	mu      sync.Mutex
	ejected map[string]time.Time
	refused map[string]time.Time
	up      map[string]time.Time // last successful probe
}

func newVMHealth() *vmHealth {
	return &vmHealth{ejected: map[string]time.Time{}, refused: map[string]time.Time{}, up: map[string]time.Time{}}
}

// Eject takes the workers that are ejected now.
func (h *vmHealth) Eject(now time.Time, vms []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := map[string]time.Time{}
	for _, vm := range vms {
		since[vm] = now
		if t, ok := h.ejected[vm]; ok {
			since[vm] = t
		}
	}
	h.ejected = since
}

// Probe takes the result of a connection attempt.
func (h *vmHealth) Probe(now time.Time, vm string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.up[vm] = now
		delete(h.refused, vm)
	} else if _, known := h.refused[vm]; !known {
		h.refused[vm] = now
	}
}

// Refuses reports whether the last connection attempt to a VM failed.
func (h *vmHealth) Refuses(vm string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, refused := h.refused[vm]
	return refused
}

// Keep forgets all VMs but those given.
func (h *vmHealth) Keep(vms []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range []map[string]time.Time{h.refused, h.up} {
		for vm := range m {
			if _, found := slices.BinarySearch(vms, vm); !found {
				delete(m, vm)
			}
		}
	}
}

// Up returns when a VM last accepted a connection.
func (h *vmHealth) Up() map[string]time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]time.Time, len(h.up))
	for vm, t := range h.up {
		out[vm] = t
	}
	return out
}

// Report returns the VMs that were ejected, and those that refused connections, for long enough.
func (h *vmHealth) Report(now time.Time) (sick, dead []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return since(h.ejected, now.Add(-sickAfter)), since(h.refused, now.Add(-deadAfter))
}

// since returns the keys whose time is not after limit, sorted.
func since(m map[string]time.Time, limit time.Time) []string {
	var out []string
	for vm, t := range m {
		if !t.After(limit) {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}
