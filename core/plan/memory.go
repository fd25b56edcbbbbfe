package plan

import (
	"slices"
	"time"

	"sassafrasvalve/core/fleet"
)

// memory holds the times at which this planner first saw things, and the records on their way.
type memory struct {
	lastPlan  time.Time
	sights    map[string]*sight // by VM
	sent      map[string]sent   // by VM, or by wave with the prefix waveKey
	asked     map[string]time.Time
	massSince time.Time            // since when the list lacks most VMs
	since     map[string]time.Time // since when a condition holds
	noteSince map[Deferral]time.Time
}

// sight is what this planner saw of a VM.
type sight struct {
	gen       int64
	at        time.Time // first sight of gen
	inherited bool      // gen is older than this planner
	moved     int64     // offset of the last Assign
	movedAt   time.Time
	movedOld  bool        // that Assign is older than this planner
	failedAt  []time.Time // first sights of failures, newest last
	failStep  int64       // offset of the last failure counted
	goneSince time.Time
	upSince   time.Time
	bootedAt  time.Time // first sight of a boot after the Reboot record
}

// sent is a record that was decided and not seen folded yet.
type sent struct {
	gen   int64
	kind  fleet.Kind
	rule  string
	pool  string // pool that a new VM enters, or of the VM
	drain *fleet.Drain
	until time.Time
}

func newMemory() memory {
	return memory{
		sights: map[string]*sight{}, sent: map[string]sent{}, asked: map[string]time.Time{},
		since: map[string]time.Time{}, noteSince: map[Deferral]time.Time{},
	}
}

// refresh brings the memory up to the state. After a long break in which nothing was
// seen, times cannot be trusted: a drain may have waited for the log, not for a request.
func (m *memory) refresh(st *fleet.State, obs Observations, now time.Time, cfg Config) {
	first := m.lastPlan.IsZero() || now.Sub(m.lastPlan) > cfg.PlanGap || now.Before(m.lastPlan)
	if first {
		*m = newMemory()
	}
	m.lastPlan = now
	m.refreshSights(st, obs, now, cfg, first)
	m.refreshMass(st, obs, now, cfg)
	for key, s := range m.sent {
		if !now.Before(s.until) || !m.onTheWay(st, key, s) {
			delete(m.sent, key)
		}
	}
	for id := range m.asked {
		if vm := st.VMs[id]; vm == nil || vm.Phase != fleet.Rebooting {
			delete(m.asked, id)
		}
	}
}

func (m *memory) refreshSights(st *fleet.State, obs Observations, now time.Time, cfg Config, first bool) {
	for id := range m.sights {
		if st.VMs[id] == nil {
			delete(m.sights, id)
		}
	}
	for id, vm := range st.VMs {
		if vm.Region != obs.Region {
			continue
		}
		s := m.sights[id]
		if s == nil {
			s = &sight{gen: -1, moved: -1, failStep: -1}
			m.sights[id] = s
		}
		if s.gen != vm.Gen {
			s.gen, s.at, s.inherited, s.bootedAt = vm.Gen, now, first, time.Time{}
			s.countSteps(vm, now, first)
		}
		s.failedAt = slices.DeleteFunc(s.failedAt, func(at time.Time) bool { return now.Sub(at) > cfg.FlapWindow })
		s.probed(vm, obs, now, cfg)
		s.listed(id, obs, now, cfg)
		if vm.Phase == fleet.Rebooting && s.bootedAt.IsZero() && obs.List.VMs[id].Boots > vm.Boots {
			s.bootedAt = now
		}
	}
}

// countSteps notes new moves and failures in the history of the VM. Failures from before this
// planner cannot be dated and are not counted.
func (s *sight) countSteps(vm *fleet.VM, now time.Time, first bool) {
	for _, h := range vm.History {
		if h.Kind == fleet.KindAssign && h.Offset > s.moved {
			s.moved, s.movedAt, s.movedOld = h.Offset, now, first
		}
		sick := h.Kind == fleet.KindDrain && h.Rule == RuleSick
		if (h.Kind == fleet.KindFail || sick) && h.Offset > s.failStep {
			s.failStep = h.Offset
			if !first {
				s.failedAt = append(s.failedAt, now)
			}
		}
	}
}

func (s *sight) probed(vm *fleet.VM, obs Observations, now time.Time, cfg Config) {
	last, ok := obs.Probes[vm.ID]
	switch {
	case !ok || now.Sub(last) > cfg.ProbeMaxAge:
		s.upSince = time.Time{}
	case s.upSince.IsZero():
		s.upSince = now
	}
}

// listed notes since when fresh lists lack the VM. A stale list neither starts nor ends that.
func (s *sight) listed(id string, obs Observations, now time.Time, cfg Config) {
	if !obs.List.Read || now.Sub(obs.List.AsOf) > cfg.ListMaxAge {
		return
	}
	if _, ok := obs.List.VMs[id]; ok {
		s.goneSince = time.Time{}
	} else if s.goneSince.IsZero() {
		s.goneSince = now
	}
}

// refreshMass notes since when the list lacks more than half of the region's VMs.
func (m *memory) refreshMass(st *fleet.State, obs Observations, now time.Time, cfg Config) {
	if !obs.List.Read || now.Sub(obs.List.AsOf) > cfg.ListMaxAge {
		return
	}
	all, gone := 0, 0
	for id, vm := range st.VMs {
		if vm.Region != obs.Region {
			continue
		}
		all++
		if _, ok := obs.List.VMs[id]; !ok {
			gone++
		}
	}
	switch {
	case 2*gone <= all:
		m.massSince = time.Time{}
	case m.massSince.IsZero():
		m.massSince = now
	}
}

// onTheWay reports whether the state still is as it was when the record was decided.
func (m *memory) onTheWay(st *fleet.State, key string, s sent) bool {
	if w, ok := waveOf(key); ok {
		return st.Waves[w] != nil && st.Waves[w].Gen == s.gen
	}
	vm := st.VMs[key]
	if s.gen < 0 {
		return vm == nil
	}
	return vm != nil && vm.Gen == s.gen
}

func (m *memory) busy(key string, gen int64, now time.Time) bool {
	s, ok := m.sent[key]
	return ok && s.gen == gen && now.Before(s.until)
}

// outOnTheWay lists the VMs whose drain or failure is decided and not folded.
func (m *memory) outOnTheWay(st *fleet.State, now time.Time) []string {
	var out []string
	for id, s := range m.sent {
		if vm := st.VMs[id]; vm != nil && (s.drain != nil || s.kind == fleet.KindFail) && m.busy(id, vm.Gen, now) {
			out = append(out, id)
		}
	}
	return out
}

// failures counts the failures of a VM within the window, as far as this planner saw them.
func (m *memory) failures(id string, now time.Time, window time.Duration) int {
	n := 0
	if s := m.sights[id]; s != nil {
		for _, at := range s.failedAt {
			if now.Sub(at) <= window {
				n++
			}
		}
	}
	return n
}

// age returns how long the VM is known to be at its generation.
func (m *memory) age(vm *fleet.VM, now time.Time) time.Duration {
	if s := m.sights[vm.ID]; s != nil && s.gen == vm.Gen {
		return now.Sub(s.at)
	}
	return 0
}

// held returns how long the condition has held without a break, 0 if it does not.
func (m *memory) held(key string, holds bool, now time.Time) time.Duration {
	if !holds {
		delete(m.since, key)
		return 0
	}
	if _, ok := m.since[key]; !ok {
		m.since[key] = now
	}
	return now.Sub(m.since[key])
}

// keepNotes dates the notes and forgets those that no longer hold.
func (m *memory) keepNotes(notes []Deferral, now time.Time) []Deferral {
	since := map[Deferral]time.Time{}
	for i, n := range notes {
		key := Deferral{VM: n.VM, Pool: n.Pool, Rule: n.Rule}
		at, ok := m.noteSince[key]
		if !ok {
			at = now
		}
		since[key], notes[i].Since = at, at
	}
	m.noteSince = since
	return notes
}
