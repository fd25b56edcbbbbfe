package daemon

import (
	"slices"
	"sync"
	"time"

	"sassafrasvalve/core/clock"
)

// leavingSet is the set of VMs that get no new work because the platform is removing them.
// It is safe for concurrent use.
type leavingSet struct {
	clock clock.Clock

	mu  sync.Mutex
	own []string // marked by this entry's VM list
	all []string // marked by this entry's VM list or by a peer, sorted
}

// peerReportTTL is how long a peer's report of leaving VMs is used after it was received.
const peerReportTTL = 10 * time.Second

// Update sets the leaving VMs from this entry's VM list and from the reports of its peers.
// It returns whether the set has changed.
func (l *leavingSet) Update(own []string, peers []peerReport) bool {
	now := l.clock.Now()
	all := slices.Clone(own)
	for _, p := range peers {
		if now.Sub(p.ReceivedAt) <= peerReportTTL {
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

// Own returns the VMs that this entry's VM list marks as leaving.
func (l *leavingSet) Own() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.own)
}

// All returns the VMs that this entry's VM list or a peer marks as leaving, sorted.
func (l *leavingSet) All() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.all)
}

// Time for which a VM must be ejected, or refuse connections, before it is reported to the controller.
const (
	ejectedReportDelay = 30 * time.Second
	refusedReportDelay = 10 * time.Second
)

// vmHealth records since when workers have been ejected or have refused connections.
// It is safe for concurrent use.
type vmHealth struct {
	mu           sync.Mutex
	ejectedSince map[string]time.Time
	refusedSince map[string]time.Time
	lastUp       map[string]time.Time // time of the last successful probe
}

func newVMHealth() *vmHealth {
	return &vmHealth{ejectedSince: map[string]time.Time{}, refusedSince: map[string]time.Time{}, lastUp: map[string]time.Time{}}
}

// SetEjected sets the workers that are ejected now. Those that were ejected before keep their start time.
func (h *vmHealth) SetEjected(now time.Time, vms []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := map[string]time.Time{}
	for _, vm := range vms {
		since[vm] = now
		if t, ok := h.ejectedSince[vm]; ok {
			since[vm] = t
		}
	}
	h.ejectedSince = since
}

// RecordProbe records the result of a connection attempt.
func (h *vmHealth) RecordProbe(now time.Time, vm string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.lastUp[vm] = now
		delete(h.refusedSince, vm)
	} else if _, known := h.refusedSince[vm]; !known {
		h.refusedSince[vm] = now
	}
}

// Refuses reports whether the last connection attempt to a VM failed.
func (h *vmHealth) Refuses(vm string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, refused := h.refusedSince[vm]
	return refused
}

// Retain deletes the probe results of all VMs except vms, which must be sorted.
func (h *vmHealth) Retain(vms []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range []map[string]time.Time{h.refusedSince, h.lastUp} {
		for vm := range m {
			if _, found := slices.BinarySearch(vms, vm); !found {
				delete(m, vm)
			}
		}
	}
}

// Up returns the time at which each VM last accepted a connection, by VM ID.
func (h *vmHealth) Up() map[string]time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]time.Time, len(h.lastUp))
	for vm, t := range h.lastUp {
		out[vm] = t
	}
	return out
}

// Report returns the VMs that have been ejected for at least ejectedReportDelay, and those that have refused
// connections for at least refusedReportDelay, each sorted.
func (h *vmHealth) Report(now time.Time) (ejected, refused []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return keysNotAfter(h.ejectedSince, now.Add(-ejectedReportDelay)), keysNotAfter(h.refusedSince, now.Add(-refusedReportDelay))
}

// keysNotAfter returns the keys whose time is not after limit, sorted.
func keysNotAfter(m map[string]time.Time, limit time.Time) []string {
	var out []string
	for vm, t := range m {
		if !t.After(limit) {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}
