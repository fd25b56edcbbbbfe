package plan

import (
	"slices"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
)

// borrower is a pool in which a running wave has VMs left.
type borrower struct {
	name  string
	left  int // VMs still to be done
	slack int // VMs that its budgets let out at once at its size
	extra int // VMs lent to it
	held  int // of those, VMs that it has by now
}

// rounds returns how many times the pool must wait for a reboot.
func (b borrower) rounds() int {
	out := max(1, min(b.slack+b.extra, maxRack))
	return (b.left + out - 1) / out
}

// maxRack bounds what lending can gain: a wave has one rack of a pool out at a time, and
// racks of the users hold four VMs.
const maxRack = 4

// lend returns how many VMs above its size each pool gets while a wave runs. Each VM goes to
// the pool that would end last. What a pool already has stays until its part is done, because
// each move costs a drain.
func (t *turn) lend() map[string]int {
	if t.lent != nil {
		return t.lent
	}
	t.lent = map[string]int{}
	spare, ok := t.spare()
	if t.cfg.WaveSpares == 0 || !ok {
		return t.lent
	}
	borrowers := t.borrowers()
	free := t.activeIn(spare.Name) - t.cfg.SpareReserve
	for i := range borrowers {
		borrowers[i].extra = borrowers[i].held
	}
	for ; free > 0; free-- {
		last := -1
		for i, b := range borrowers {
			if b.extra < t.cfg.WaveSpares && b.slack+b.extra < min(maxRack, b.left) && (last < 0 || b.rounds() > borrowers[last].rounds()) {
				last = i
			}
		}
		if last < 0 {
			break
		}
		borrowers[last].extra++
	}
	for _, b := range borrowers {
		t.lent[b.name] = b.extra
	}
	return t.lent
}

func (t *turn) borrowers() []borrower {
	var out []borrower
	for _, p := range t.pools() {
		left := t.waveLeft(p.Name)
		svcs := t.st.Config.Fleet.ServicesOn(p.Name)
		if left < 2 || len(svcs) == 0 {
			continue
		}
		b := borrower{name: p.Name, left: left, slack: p.Size}
		for _, s := range svcs {
			b.slack = min(b.slack, max(0, s.Budget.Room(p.Size)))
		}
		b.held = min(t.cfg.WaveSpares, max(0, t.supply(p)-p.Size))
		out = append(out, b)
	}
	return out
}

// waveLeft counts the VMs of a pool that a running wave has not finished.
func (t *turn) waveLeft(pool string) int {
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
func (t *turn) lendTarget(p spec.Pool) int { return t.lend()[p.Name] }

// waving reports whether a running wave has the pool, done there or not.
func (t *turn) waving(pool string) bool {
	for _, w := range t.st.Waves {
		if w.Phase == fleet.Running && slices.Contains(w.Pools, pool) {
			return true
		}
	}
	return false
}

// pendingInWave reports whether a running wave still wants to reboot the VM.
func (t *turn) pendingInWave(id string) bool {
	for _, w := range t.st.Waves {
		if _, ok := slices.BinarySearch(w.Pending, id); ok && w.Phase == fleet.Running {
			return true
		}
	}
	return false
}
