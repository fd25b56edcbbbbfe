package chaos

import (
	"time"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/member"
	"sassafrasvalve/core/plan"
)

// control mirrors one iteration of controller.loop.
func (e *entry) control() {
	if !e.group.acting() {
		return
	}
	w := e.w
	actions := e.planner.Plan(e.st, e.observed(), w.now)
	for _, r := range actions.Records {
		r.Writer = e.group.self.ID
		w.counts.add("decisions "+r.Rule, 1)
		e.submit(r, nil)
	}
	for _, vm := range actions.Reboots {
		e.platform(2*time.Second, 0, func() any {
			w.workers[vm].reboot()
			return true
		}, func(any) {}, func() {}, func() {})
	}
}

// observed mirrors controller.observe.
func (e *entry) observed() plan.Observations {
	obs := plan.Observations{Region: e.place.region, List: e.list, Reports: map[string]plan.HealthReport{}, Probes: map[string]time.Time{}}
	for vm, at := range e.health.up {
		obs.Probes[vm] = at
	}
	digests := []digest{e.group.digest()}
	for _, p := range e.group.sortedPeers() {
		m := e.st.Members[p.member]
		if e.w.now.Sub(p.at) <= member.SilenceTimeout && m != nil && m.Phase == fleet.MemberLive && m.Region == e.place.region {
			digests = append(digests, p)
		}
	}
	obs.Reporting = len(digests)
	for _, d := range digests {
		for _, vm := range d.ejected {
			r := obs.Reports[vm]
			r.Ejected++
			obs.Reports[vm] = r
		}
		for _, vm := range d.dead {
			r := obs.Reports[vm]
			r.Unreachable++
			obs.Reports[vm] = r
		}
	}
	return obs
}

// probe mirrors one iteration of Daemon.probeLoop.
func (e *entry) probe() {
	w := e.w
	ejected := map[string]bool{}
	var bad []string
	for _, name := range sorted(e.pools) {
		for _, vm := range e.pools[name].table.Ejected(w.now) {
			ejected[vm] = true
			bad = append(bad, vm)
		}
	}
	e.health.eject(w.now, bad)
	acting := e.group.acting()
	targets := map[string]bool{}
	for id, vm := range e.st.VMs {
		if ejected[id] || acting && vm.Phase != fleet.Active && vm.Region == e.place.region {
			targets[id] = true
		}
	}
	for _, id := range sorted(targets) {
		e.after(w.networkDelay(), func() {
			k := w.workers[id]
			e.health.probe(w.now, id, !k.down && !k.rebooting && !k.removed)
		})
	}
	e.health.keep(targets)
}
