package plan

import (
	"slices"
	"time"

	"sassafrasvalve/core/fleet"
)

// localState holds the state of a planner that is not in the log: the times at which
// it first saw changes, and the records that it decided and that are not folded yet.
type localState struct {
	lastPlan          time.Time
	vms               map[string]*trackedVM    // by VM ID
	pending           map[string]pendingRecord // by VM ID, or by wave ID with waveKeyPrefix
	rebootRequestedAt map[string]time.Time     // last request for the reboot, by VM ID
	massLossSince     time.Time                // since when the list lacks more than half of the VMs
	conditionSince    map[string]time.Time     // since when a condition holds, by key of heldFor
	deferredSince     map[Deferral]time.Time   // by deferral without Reason and Since
}

// trackedVM holds the times at which this planner first saw changes of a VM.
type trackedVM struct {
	gen             int64
	genSince        time.Time   // first time at which gen was seen
	inherited       bool        // gen is older than this planner
	assignOffset    int64       // offset of the last Assign record
	assignedAt      time.Time   // first time at which this record was seen
	assignInherited bool        // this record is older than this planner
	failureTimes    []time.Time // times at which failures were first seen, newest last
	failureOffset   int64       // offset of the last counted failure
	unlistedSince   time.Time   // since when fresh lists lack the VM
	upSince         time.Time   // since when probes succeed
	rebootSeenAt    time.Time   // first time at which a boot after the Reboot record was seen
}

// pendingRecord is a record that was decided and has not been seen folded yet.
type pendingRecord struct {
	gen   int64
	kind  fleet.Kind
	rule  string
	pool  string // pool that the VM enters, or else its current pool
	drain *fleet.Drain
	until time.Time // no longer pending after this time
}

func newLocalState() localState {
	return localState{
		vms: map[string]*trackedVM{}, pending: map[string]pendingRecord{}, rebootRequestedAt: map[string]time.Time{},
		conditionSince: map[string]time.Time{}, deferredSince: map[Deferral]time.Time{},
	}
}

// refresh updates the local state from the folded state and the observations. It resets the local state if the
// last call is longer ago than MaxPlanGap or the clock was set back, because the stored times are then unreliable:
// a drain that seems overdue may have waited for the log and not for a request.
func (l *localState) refresh(st *fleet.State, obs Observations, now time.Time, cfg Config) {
	reset := l.lastPlan.IsZero() || now.Sub(l.lastPlan) > cfg.MaxPlanGap || now.Before(l.lastPlan)
	if reset {
		*l = newLocalState()
	}
	l.lastPlan = now
	l.refreshVMs(st, obs, now, cfg, reset)
	l.refreshMassLoss(st, obs, now, cfg)
	for key, s := range l.pending {
		if !now.Before(s.until) || !l.stillPending(st, key, s) {
			delete(l.pending, key)
		}
	}
	for id := range l.rebootRequestedAt {
		if vm := st.VMs[id]; vm == nil || vm.Phase != fleet.Rebooting {
			delete(l.rebootRequestedAt, id)
		}
	}
}

// refreshVMs updates the tracked VMs of the region and deletes those that the folded state no longer has.
func (l *localState) refreshVMs(st *fleet.State, obs Observations, now time.Time, cfg Config, inherited bool) {
	for id := range l.vms {
		if st.VMs[id] == nil {
			delete(l.vms, id)
		}
	}
	for id, vm := range st.VMs {
		if vm.Region != obs.Region {
			continue
		}
		s := l.vms[id]
		if s == nil {
			s = &trackedVM{gen: -1, assignOffset: -1, failureOffset: -1}
			l.vms[id] = s
		}
		if s.gen != vm.Gen {
			s.gen, s.genSince, s.inherited, s.rebootSeenAt = vm.Gen, now, inherited, time.Time{}
			s.countSteps(vm, now, inherited)
		}
		s.failureTimes = slices.DeleteFunc(s.failureTimes, func(at time.Time) bool { return now.Sub(at) > cfg.FlapWindow })
		s.updateProbe(vm, obs, now, cfg)
		s.updateListed(id, obs, now, cfg)
		if vm.Phase == fleet.Rebooting && s.rebootSeenAt.IsZero() && obs.List.VMs[id].Boots > vm.Boots {
			s.rebootSeenAt = now
		}
	}
}

// countSteps records new moves and failures in the history of the VM. It does not count failures from before
// this planner started, because their time is unknown.
func (s *trackedVM) countSteps(vm *fleet.VM, now time.Time, inherited bool) {
	for _, h := range vm.History {
		if h.Kind == fleet.KindAssign && h.Offset > s.assignOffset {
			s.assignOffset, s.assignedAt, s.assignInherited = h.Offset, now, inherited
		}
		sick := h.Kind == fleet.KindDrain && h.Rule == RuleSick
		if (h.Kind == fleet.KindFail || sick) && h.Offset > s.failureOffset {
			s.failureOffset = h.Offset
			if !inherited {
				s.failureTimes = append(s.failureTimes, now)
			}
		}
	}
}

// updateProbe updates the time since which probes of the VM succeed.
func (s *trackedVM) updateProbe(vm *fleet.VM, obs Observations, now time.Time, cfg Config) {
	last, ok := obs.Probes[vm.ID]
	switch {
	case !ok || now.Sub(last) > cfg.ProbeMaxAge:
		s.upSince = time.Time{}
	case s.upSince.IsZero():
		s.upSince = now
	}
}

// updateListed updates the time since which fresh lists lack the VM. A stale list does not change it.
func (s *trackedVM) updateListed(id string, obs Observations, now time.Time, cfg Config) {
	if !obs.List.Read || now.Sub(obs.List.AsOf) > cfg.ListMaxAge {
		return
	}
	if _, ok := obs.List.VMs[id]; ok {
		s.unlistedSince = time.Time{}
	} else if s.unlistedSince.IsZero() {
		s.unlistedSince = now
	}
}

// refreshMassLoss updates the time since which the list lacks more than half of the region's VMs.
// A stale list does not change it.
func (l *localState) refreshMassLoss(st *fleet.State, obs Observations, now time.Time, cfg Config) {
	if !obs.List.Read || now.Sub(obs.List.AsOf) > cfg.ListMaxAge {
		return
	}
	total, missing := 0, 0
	for id, vm := range st.VMs {
		if vm.Region != obs.Region {
			continue
		}
		total++
		if _, ok := obs.List.VMs[id]; !ok {
			missing++
		}
	}
	switch {
	case 2*missing <= total:
		l.massLossSince = time.Time{}
	case l.massLossSince.IsZero():
		l.massLossSince = now
	}
}

// stillPending reports whether the VM or wave is unchanged since the record was decided.
func (l *localState) stillPending(st *fleet.State, key string, s pendingRecord) bool {
	if w, ok := waveIDOf(key); ok {
		return st.Waves[w] != nil && st.Waves[w].Gen == s.gen
	}
	vm := st.VMs[key]
	if s.gen < 0 {
		return vm == nil
	}
	return vm != nil && vm.Gen == s.gen
}

// hasPending reports whether a record on the VM or wave at generation gen is pending.
func (l *localState) hasPending(key string, gen int64, now time.Time) bool {
	s, ok := l.pending[key]
	return ok && s.gen == gen && now.Before(s.until)
}

// pendingOut returns the IDs of the VMs whose drain or failure is pending.
func (l *localState) pendingOut(st *fleet.State, now time.Time) []string {
	var out []string
	for id, s := range l.pending {
		if vm := st.VMs[id]; vm != nil && (s.drain != nil || s.kind == fleet.KindFail) && l.hasPending(id, vm.Gen, now) {
			out = append(out, id)
		}
	}
	return out
}

// recentFailures returns the number of failures of a VM within the window that this planner saw.
func (l *localState) recentFailures(id string, now time.Time, window time.Duration) int {
	n := 0
	if s := l.vms[id]; s != nil {
		for _, at := range s.failureTimes {
			if now.Sub(at) <= window {
				n++
			}
		}
	}
	return n
}

// age returns the time for which the VM is known to be at its current generation.
func (l *localState) age(vm *fleet.VM, now time.Time) time.Duration {
	if s := l.vms[vm.ID]; s != nil && s.gen == vm.Gen {
		return now.Sub(s.genSince)
	}
	return 0
}

// heldFor returns the time for which the condition has held without a break, 0 if it does not hold.
func (l *localState) heldFor(key string, holds bool, now time.Time) time.Duration {
	if !holds {
		delete(l.conditionSince, key)
		return 0
	}
	if _, ok := l.conditionSince[key]; !ok {
		l.conditionSince[key] = now
	}
	return now.Sub(l.conditionSince[key])
}

// dateDeferrals sets Since of the deferrals and deletes the start times of those that have ended.
func (l *localState) dateDeferrals(deferrals []Deferral, now time.Time) []Deferral {
	since := map[Deferral]time.Time{}
	for i, d := range deferrals {
		key := Deferral{VM: d.VM, Pool: d.Pool, Rule: d.Rule}
		at, ok := l.deferredSince[key]
		if !ok {
			at = now
		}
		since[key], deferrals[i].Since = at, at
	}
	l.deferredSince = since
	return deferrals
}
