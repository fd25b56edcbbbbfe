package shard

import (
	"cmp"
	"slices"
)

const (
	// estimateMargin is how many times its estimate an item on a closed VM may take without delaying the end of the VM's last run:
	// estimates are rough, and an item far from its data takes longer.
	estimateMargin = 2
)

// closedVM is a closed VM that takes items which end before its present runs.
type closedVM struct {
	*vm
	remainingMs int64 // time until these runs should have ended
}

// addClosedVMs adds the closed VMs that take items, those that will be empty last first.
func (e *Engine) addClosedVMs(p *placement, now int64) {
	guarded := e.capacityEnforced()
	for _, v := range e.vmsByID() {
		if v.closed && v.takesStarts(now) && (guarded || v.unknownRuns == 0) {
			p.closed = append(p.closed, closedVM{v, v.remainingMs(now)})
			p.maxClosed.cpu, p.maxClosed.memMB = max(p.maxClosed.cpu, v.CPU-v.usedCPU), max(p.maxClosed.memMB, v.MemMB-v.usedMemMB)
		}
	}
	slices.SortStableFunc(p.closed, func(a, b closedVM) int { return cmp.Compare(b.remainingMs, a.remainingMs) })
}

// chooseClosedVM returns the closed VM that will be empty last and can take an item that should end well before that, nil if
// there is none. Persistent items do not end, and a suspect may take the present runs with it.
func (p *placement) chooseClosedVM(j *job, it *item, tokens map[string]string) *vm {
	if it.stepDef.Persistent || it.stepDef.Fill || it.suspected() || !p.maxClosed.mayFit(it.stepDef) {
		return nil
	}
	for _, v := range p.closed {
		if estimateMargin*it.stepDef.EstimateMs >= v.remainingMs {
			return nil
		}
		if it.open.vm != "" && it.open.vm != v.ID {
			continue // its open start keeps the item on another VM
		}
		if _, ok := tokens[v.ID]; (ok || tokens == nil) && v.fits(it) && allowedOn(j, it, v.vm) && !it.failedOn(v.ID) {
			return v.vm
		}
	}
	return nil
}

// closeVMs closes n of the busy VMs, those that will be empty first, and opens all others. Of these n, VMs stay open for jobs
// that find no room elsewhere.
func (e *Engine) closeVMs(busy []*vm, n int, now int64) {
	closed := map[*vm]bool{}
	if n <= 0 {
		e.demand.noRoomOpen = nil
	} else {
		busyMs := make(map[*vm]int64, len(busy))
		for _, v := range busy {
			busyMs[v] = v.remainingMs(now)
		}
		slices.SortFunc(busy, func(a, b *vm) int { return cmp.Or(cmp.Compare(busyMs[a], busyMs[b]), cmp.Compare(a.ID, b.ID)) })
		chosen := busy[:min(n, len(busy))]
		for _, v := range chosen {
			closed[v] = true
		}
		for v, j := range e.vmsToOpen(chosen, closed, now) {
			if v.closed {
				e.addEvent(Event{JobID: j.ID, VM: v.ID, Name: "open vm", Reason: "its items fit on no other", N: len(v.runs)})
			}
			delete(closed, v)
		}
	}
	for _, v := range e.vms {
		if closed[v] && !v.closed {
			e.addEvent(Event{VM: v.ID, Name: "close vm", Reason: "other pools lack machines", N: len(v.runs)})
		}
		v.closed = closed[v]
	}
}

// vmsToOpen returns the closed VMs to open, with the job that needs them: for the job that has found no room for the longest
// time, if that is over maxNoRoomMs and most of the pool's CPU is free. Those that will be empty last cost other pools least.
// chosen holds the closed VMs, those that will be empty first first.
func (e *Engine) vmsToOpen(chosen []*vm, closed map[*vm]bool, now int64) map[*vm]*job {
	open, idle := e.vmsInUse(closed, now)
	if !idle {
		e.demand.noRoomOpen = nil
		return nil
	}
	j, group := e.jobWithoutRoom(&e.demand.noRoomOpen, open, now)
	if j == nil {
		return nil
	}
	guarded := e.capacityEnforced()
	missing := len(group) - e.countRoom(j, group, open)
	toOpen := map[*vm]*job{}
	for _, v := range slices.Backward(chosen) {
		if missing > 0 && v.takesStarts(now) && (guarded || v.unknownRuns == 0) {
			if n := e.roomOn(v, j, group[0], missing); n > 0 {
				toOpen[v] = j
				missing -= n
			}
		}
	}
	if missing > 0 {
		return nil
	}
	return toOpen
}
