package plan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"sassafrasvalve/core/fleet"
)

// waveKeyPrefix is the prefix of wave IDs in the keys of pending records.
const waveKeyPrefix = "wave/"

func waveIDOf(key string) (string, bool) { return strings.CutPrefix(key, waveKeyPrefix) }

// growPercentDivisor sets the share of a pool that GrowPercent takes out at once: a tenth.
const growPercentDivisor = 10

// advanceWaves drains the next VMs of the running waves and ends finished waves.
func (t *tick) advanceWaves() {
	for _, id := range slices.Sorted(maps.Keys(t.st.Waves)) {
		w := t.st.Waves[id]
		if w.Phase != fleet.Running {
			continue
		}
		if !t.listFresh() {
			t.addDeferral("", "", RuleWave, fmt.Sprintf("wave %q waits: the platform's list is stale", id))
			continue
		}
		if !t.endWave(w) {
			t.drainForWave(w)
		}
	}
}

// endWave ends the wave if it has no VMs to wait for. It reports whether the wave has no VM left to drain.
func (t *tick) endWave(w *fleet.Wave) bool {
	missed := 0
	for _, id := range w.Pending {
		vm := t.st.VMs[id]
		switch {
		case vm == nil:
		case !t.actionable(vm):
			return false // the pending record may return the VM to service; it must then be rebooted
		case vm.Phase == fleet.Failed || vm.Phase == fleet.Unknown || vm.Purpose == fleet.PurposeHold || vm.Purpose == fleet.PurposeLeave:
			missed++
		default:
			return false
		}
	}
	if len(w.Out) > 0 || t.local.hasPending(waveKeyPrefix+w.ID, w.Gen, t.now) {
		return true
	}
	reason := fmt.Sprintf("%d VMs done, %d failed, %d were out for another cause and are left", len(w.Finished), len(w.Failed), missed)
	t.addRecord(waveKeyPrefix+w.ID, fleet.Record{
		Kind: fleet.KindWave, Rule: RuleWave, Reason: reason,
		Wave: &fleet.WaveChange{ID: w.ID, Action: fleet.WaveDone},
	}, pendingRecord{gen: w.Gen, kind: fleet.KindWave})
	return true
}

// wavePool is a pool of a wave with the VMs of one rack that may be drained next.
type wavePool struct {
	pool       string
	lendsLater bool // spare pool that lends VMs; it goes first, because its VMs are lent after their reboot
	remaining  int  // pending VMs of the pool that may be drained
	out        int  // VMs of the pool that are out for the wave
	candidates []*fleet.VM
}

// drainForWave drains VMs up to the limit of the wave. The pools with most VMs remaining go first,
// because they take longest.
func (t *tick) drainForWave(w *fleet.Wave) {
	out := len(w.Out) + len(t.pendingWaveDrains(w))
	limit := t.waveLimit(w)
	pools := t.wavePools(w)
	for out < limit && t.belowRecordLimit() {
		slices.SortStableFunc(pools, func(a, b *wavePool) int {
			return cmp.Or(
				-cmp.Compare(boolInt(a.lendsLater), boolInt(b.lendsLater)),
				-cmp.Compare(a.remaining, b.remaining),
				cmp.Compare(a.pool, b.pool))
		})
		i := slices.IndexFunc(pools, func(wp *wavePool) bool { return t.drainNext(w, wp) })
		if i < 0 {
			return
		}
		out++
	}
}

// drainNext drains the next VM of the pool and reports whether it did.
func (t *tick) drainNext(w *fleet.Wave, wp *wavePool) bool {
	if t.cfg.Growth == GrowPercent && wp.out >= max(1, len(t.st.PoolVMs(wp.pool))/growPercentDivisor) {
		return false
	}
	if len(wp.candidates) == 0 {
		return false
	}
	vm := wp.candidates[0]
	wp.candidates = wp.candidates[1:]
	if ok, why := t.canDrain(vm); !ok {
		t.addDeferral("", wp.pool, RuleWave, fmt.Sprintf("wave %q waits: %s", w.ID, why))
		wp.candidates = nil
		return false
	}
	t.drain(vm, RuleWave, fmt.Sprintf("wave %q, rack %s of pool %q", w.ID, vm.Rack, vm.Pool),
		fleet.Drain{Purpose: fleet.PurposeReboot, Wave: w.ID})
	wp.remaining--
	wp.out++
	return true
}

// waveLimit returns how many VMs of the wave may be out now. With GrowDouble, each failed VM halves the limit.
// It depends only on the folded state and the settings, so that the growth does not start again when another
// entry takes over.
func (t *tick) waveLimit(w *fleet.Wave) int {
	switch t.cfg.Growth {
	case GrowSerial:
		return 1
	case GrowConstant:
		return min(w.Batch, w.MaxBatch)
	case GrowImmediate, GrowPercent:
		return w.MaxBatch
	default: // GrowDouble
	}
	limit, done := w.Batch, len(w.Finished)
	for limit < w.MaxBatch && done >= limit {
		done -= limit
		limit *= t.cfg.GrowthFactor
	}
	return max(1, min(limit, w.MaxBatch)>>len(w.Failed))
}

// pendingWaveDrains returns the VMs whose drain for the wave is pending.
func (t *tick) pendingWaveDrains(w *fleet.Wave) []*fleet.VM {
	var out []*fleet.VM
	for id, s := range t.local.pending {
		if vm := t.st.VMs[id]; vm != nil && s.drain != nil && s.drain.Wave == w.ID && !t.actionable(vm) {
			out = append(out, vm)
		}
	}
	return out
}

// wavePools returns the pools of the wave that have VMs to drain in this region, sorted by name.
func (t *tick) wavePools(w *fleet.Wave) []*wavePool {
	pools := map[string]*wavePool{}
	racks := map[string]map[rack][]*fleet.VM{} // pending VMs by pool and rack
	for _, id := range w.Pending {
		vm := t.st.VMs[id]
		if vm == nil || vm.Phase != fleet.Active || vm.Region != t.obs.Region || t.leaving(id) || !t.actionable(vm) {
			continue
		}
		if pools[vm.Pool] == nil {
			pools[vm.Pool] = &wavePool{pool: vm.Pool}
			racks[vm.Pool] = map[rack][]*fleet.VM{}
		}
		pools[vm.Pool].remaining++
		r := rackOf(vm)
		racks[vm.Pool][r] = append(racks[vm.Pool][r], vm)
	}
	activeRack := map[string]rack{} // rack that is out, by pool
	vmsOut := t.pendingWaveDrains(w)
	for _, id := range w.Out {
		if vm := t.st.VMs[id]; vm != nil {
			vmsOut = append(vmsOut, vm)
		}
	}
	for _, vm := range vmsOut {
		activeRack[vm.Pool] = rackOf(vm)
		if wp := pools[vm.Pool]; wp != nil {
			wp.out++
		}
	}
	out := make([]*wavePool, 0, len(pools))
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		wp := pools[name]
		p, _ := t.st.Pool(name)
		wp.lendsLater = p.Spare && t.cfg.WaveSpares > 0
		if r, ok := activeRack[name]; ok {
			wp.candidates = racks[name][r]
		} else {
			wp.candidates = t.nextRack(racks[name])
		}
		out = append(out, wp)
	}
	return out
}

// rack identifies a rack. Its name is unique only within its data centre.
type rack struct{ dc, name string }

func rackOf(vm *fleet.VM) rack { return rack{vm.DC, vm.Rack} }

// nextRack returns the pending VMs of the rack to drain next: the one with the fewest pending VMs. It skips a rack
// whose first VM cannot be drained now, except the first rack by data centre and name, which is always considered.
func (t *tick) nextRack(racks map[rack][]*fleet.VM) []*fleet.VM {
	var best []*fleet.VM
	for _, r := range slices.SortedFunc(maps.Keys(racks), func(a, b rack) int {
		return cmp.Or(cmp.Compare(a.dc, b.dc), cmp.Compare(a.name, b.name))
	}) {
		vms := racks[r]
		if ok, _ := t.canDrain(vms[0]); !ok && best != nil {
			continue
		}
		if best == nil || len(vms) < len(best) {
			best = vms
		}
	}
	return best
}
