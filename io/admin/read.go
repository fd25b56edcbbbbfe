package admin

import (
	"cmp"
	"net/http"
	"slices"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
)

// view returns the result of f on the folded state. f must copy what it returns.
func view[T any](s *Server, f func(st *fleet.State) T) T {
	var out T
	s.cfg.State.View(func(st *fleet.State) { out = f(st) })
	return out
}

func (s *Server) getConfig(_ *http.Request, _ string) (any, error) {
	out := view(s, func(st *fleet.State) ConfigStatus {
		c := st.Config
		return ConfigStatus{Version: c.Version, Offset: c.Offset, Writer: c.Writer, Fleet: c.Fleet.Clone()}
	})
	out.Entries = slices.Clone(s.cfg.Entries.Entries())
	slices.SortFunc(out.Entries, func(a, b EntryStatus) int { return cmp.Compare(a.Member, b.Member) })
	return out, nil
}

func (s *Server) getRecord(_ *http.Request, id string) (any, error) {
	return view(s, func(st *fleet.State) RecordStatus {
		res, ok := st.ResultOf(id)
		if !ok {
			return RecordStatus{Decision: Decision{ID: id, Outcome: Unknown}, Through: st.Offset}
		}
		return RecordStatus{Decision: newDecision(st, id, res), Kind: res.Kind, Through: st.Offset}
	}), nil
}

func (s *Server) getVMs(_ *http.Request, _ string) (any, error) {
	return view(s, func(st *fleet.State) VMList {
		out := VMList{Through: st.Offset, VMs: make([]fleet.VM, 0, len(st.VMs))}
		for _, vm := range st.VMs {
			c := *vm
			c.History, c.Acked = nil, slices.Clone(vm.Acked)
			out.VMs = append(out.VMs, c)
		}
		slices.SortFunc(out.VMs, func(a, b fleet.VM) int { return cmp.Compare(a.ID, b.ID) })
		return out
	}), nil
}

func (s *Server) getPools(_ *http.Request, _ string) (any, error) {
	return view(s, func(st *fleet.State) PoolList {
		out := PoolList{Through: st.Offset, Pools: make([]PoolStatus, 0, len(st.Config.Fleet.Pools))}
		for _, p := range st.Config.Fleet.Pools {
			out.Pools = append(out.Pools, poolStatus(st, p))
		}
		return out
	}), nil
}

// phases lists the VM phases in the order in which a PoolStatus has them.
var phases = []fleet.VMPhase{fleet.Active, fleet.Draining, fleet.Drained, fleet.Rebooting, fleet.Failed, fleet.Unknown}

func poolStatus(st *fleet.State, p spec.Pool) PoolStatus {
	out := PoolStatus{Pool: p}
	for _, svc := range st.Config.Fleet.ServicesOn(p.Name) {
		out.Services = append(out.Services, svc.Name)
	}
	count := map[fleet.VMPhase]int{}
	for _, id := range st.PoolVMs(p.Name) {
		count[st.VMs[id].Phase]++
		out.Total++
	}
	for _, phase := range phases {
		if n := count[phase]; n > 0 {
			out.Phases = append(out.Phases, PhaseCount{Phase: phase, Count: n})
		}
	}
	return out
}

func (s *Server) getServices(_ *http.Request, _ string) (any, error) {
	return view(s, func(st *fleet.State) ServiceList {
		budgets := st.Budgets()
		out := ServiceList{Through: st.Offset, Services: make([]ServiceStatus, 0, len(budgets))}
		for i, b := range budgets {
			out.Services = append(out.Services, ServiceStatus{
				Service: st.Config.Fleet.Services[i], Total: b.Total, Active: b.Available,
				Unavailable: b.Unavailable, Room: b.AllowedNow, Limit: budgetLimit(b),
			})
		}
		return out
	}), nil
}

// budgetLimit returns the field of a budget that bounds how many VMs may be taken out, empty if only the number of
// active VMs bounds it.
func budgetLimit(b fleet.BudgetStatus) string {
	perDC, violated := 0, false
	for _, dc := range b.DCs {
		perDC += max(b.Budget.MaxUnavailablePerDC-dc.Unavailable, 0)
		violated = violated || dc.Unavailable > b.Budget.MaxUnavailablePerDC
	}
	if violated { // a violated bound in one data centre stops voluntary actions in all
		perDC = 0
	}
	percent := (b.Total*b.Budget.MinAvailablePercent + 99) / 100
	for _, bound := range []struct {
		field string
		value int
		room  int
	}{
		{"MinAvailable", b.Budget.MinAvailable, b.Available - b.Budget.MinAvailable},
		{"MinAvailablePercent", b.Budget.MinAvailablePercent, b.Available - percent},
		{"MaxUnavailable", b.Budget.MaxUnavailable, b.Budget.MaxUnavailable - b.Unavailable},
		{"MaxUnavailablePerDC", b.Budget.MaxUnavailablePerDC, perDC},
	} {
		if bound.value > 0 && bound.room <= b.AllowedNow {
			return bound.field
		}
	}
	return ""
}

func (s *Server) getWaves(_ *http.Request, _ string) (any, error) {
	return view(s, func(st *fleet.State) WaveList {
		out := WaveList{Through: st.Offset, Waves: make([]fleet.Wave, 0, len(st.Waves))}
		for _, w := range st.Waves {
			c := *w
			c.Pools, c.Pending, c.Out = slices.Clone(w.Pools), slices.Clone(w.Pending), slices.Clone(w.Out)
			c.Finished, c.Failed = slices.Clone(w.Finished), slices.Clone(w.Failed)
			out.Waves = append(out.Waves, c)
		}
		slices.SortFunc(out.Waves, func(a, b fleet.Wave) int { return cmp.Or(cmp.Compare(a.Gen, b.Gen), cmp.Compare(a.ID, b.ID)) })
		return out
	}), nil
}

func (s *Server) getMembers(_ *http.Request, _ string) (any, error) {
	return view(s, func(st *fleet.State) MemberList {
		out := MemberList{Through: st.Offset, Members: make([]fleet.Member, 0, len(st.Members))}
		for _, m := range st.Members {
			out.Members = append(out.Members, *m)
		}
		slices.SortFunc(out.Members, func(a, b fleet.Member) int { return cmp.Compare(a.ID, b.ID) })
		return out
	}), nil
}

func (s *Server) getJob(_ *http.Request, id string) (any, error) {
	var out JobStatus
	var found bool
	s.cfg.State.View(func(st *fleet.State) {
		j := st.Jobs[id]
		if found = j != nil; !found {
			return
		}
		out = JobStatus{
			ID: j.ID, Service: j.Service, Class: j.Class, Tenant: j.Tenant, Deadline: j.Deadline,
			Phase: j.Phase, Member: j.Member, Run: j.Run,
			Verdict: j.Outcome.Verdict, Status: j.Outcome.Status, Offset: j.Offset,
		}
	})
	if !found {
		return nil, refuse(http.StatusNotFound, "job %q does not exist, or its outcome is no longer kept", id)
	}
	return out, nil
}
