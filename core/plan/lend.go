package plan

import (
	"slices"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
)

// borrower is a pool with at least two unfinished VMs of running waves, to which spare VMs may be lent.
type borrower struct {
	name        string
	remaining   int // VMs that the waves have not finished
	budgetRoom  int // VMs that may be out at once under its budgets if it has its size
	lent        int // VMs above its size that it gets
	alreadyLent int // VMs above its size that it already has
}

// rounds returns how many times in a row the pool must wait for reboots.
func (b borrower) rounds() int {
	out := max(1, min(b.budgetRoom+b.lent, maxRackVMs))
	return (b.remaining + out - 1) / out
}

// maxRackVMs bounds the VMs of a pool that are out at once. A wave has one rack of a pool out at a time,
// and the racks of the users hold four VMs, so that lending beyond this number gains nothing.
const maxRackVMs = 4

// lentPerPool returns how many VMs above its size each pool gets while a wave runs. Each VM goes to
// the pool that would end last. A pool keeps its lent VMs until its part of the wave is done, because
// each move costs a drain.
func (t *tick) lentPerPool() map[string]int {
	if t.lentVMs != nil {
		return t.lentVMs
	}
	t.lentVMs = map[string]int{}
	spare, ok := t.spare()
	if t.cfg.WaveSpares == 0 || !ok {
		return t.lentVMs
	}
	borrowers := t.borrowers()
	free := t.activeIn(spare.Name) - t.cfg.SpareReserve
	for i := range borrowers {
		borrowers[i].lent = borrowers[i].alreadyLent
	}
	for ; free > 0; free-- {
		last := -1
		for i, b := range borrowers {
			if b.lent < t.cfg.WaveSpares && b.budgetRoom+b.lent < min(maxRackVMs, b.remaining) &&
				(last < 0 || b.rounds() > borrowers[last].rounds()) {
				last = i
			}
		}
		if last < 0 {
			break
		}
		borrowers[last].lent++
	}
	for _, b := range borrowers {
		t.lentVMs[b.name] = b.lent
	}
	return t.lentVMs
}

// borrowers returns the pools to which VMs may be lent, with the VMs that they already have above their size.
func (t *tick) borrowers() []borrower {
	var out []borrower
	for _, p := range t.pools() {
		left := t.remainingInWave(p.Name)
		svcs := t.st.Config.Fleet.ServicesOn(p.Name)
		if left < 2 || len(svcs) == 0 {
			continue
		}
		b := borrower{name: p.Name, remaining: left, budgetRoom: p.Size}
		for _, s := range svcs {
			b.budgetRoom = min(b.budgetRoom, max(0, s.Budget.MaxOut(p.Size)))
		}
		b.alreadyLent = min(t.cfg.WaveSpares, max(0, t.supply(p)-p.Size))
		out = append(out, b)
	}
	return out
}

// remainingInWave returns the number of VMs of the pool that running waves have not finished.
func (t *tick) remainingInWave(pool string) int {
	left := 0
	for _, w := range t.st.Waves {
		if w.Phase != fleet.Running || !slices.Contains(w.Pools, pool) {
			continue
		}
		for _, list := range [][]string{w.Pending, w.Out} {
			for _, id := range list {
				if vm := t.st.VMs[id]; vm != nil && vm.Pool == pool {
					left++
				}
			}
		}
	}
	return left
}

// lendTarget returns how many VMs above its size the pool gets now.
func (t *tick) lendTarget(p spec.Pool) int { return t.lentPerPool()[p.Name] }

// inRunningWave reports whether a running wave includes the pool, even if all its VMs are finished.
func (t *tick) inRunningWave(pool string) bool {
	for _, w := range t.st.Waves {
		if w.Phase == fleet.Running && slices.Contains(w.Pools, pool) {
			return true
		}
	}
	return false
}

// pendingInWave reports whether a running wave has yet to reboot the VM.
func (t *tick) pendingInWave(id string) bool {
	for _, w := range t.st.Waves {
		if _, ok := slices.BinarySearch(w.Pending, id); ok && w.Phase == fleet.Running {
			return true
		}
	}
	return false
}
