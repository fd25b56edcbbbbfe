package plan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"sassafrasvalve/core/fleet"
)

// waveKey is the prefix of wave IDs among the keys of records on their way.
const waveKey = "wave/"

func waveOf(key string) (string, bool) { return strings.CutPrefix(key, waveKey) }

// percentStep divides a pool for GrowPercent: a tenth of it is out at once.
const percentStep = 10

// waves takes the next steps of the running waves.
func (t *turn) waves() {
	for _, id := range slices.Sorted(maps.Keys(t.st.Waves)) {
		w := t.st.Waves[id]
		if w.Phase != fleet.Running {
			continue
		}
		if !t.listFresh() {
			t.note("", "", RuleWave, fmt.Sprintf("wave %q waits: the platform's list is stale", id))
			continue
		}
		if !t.endWave(w) {
			t.stepWave(w)
		}
	}
}

// endWave ends a wave without VMs to wait for. It reports whether none is left to step.
func (t *turn) endWave(w *fleet.Wave) bool {
	missed := 0
	for _, id := range w.Pending {
		vm := t.st.VMs[id]
		switch {
		case vm == nil:
		case !t.idle(vm):
			return false // it may be returning
		case vm.Phase == fleet.Failed || vm.Phase == fleet.Unknown || vm.Purpose == fleet.PurposeHold || vm.Purpose == fleet.PurposeLeave:
			missed++
		default:
			return false
		}
	}
	if len(w.Out) > 0 || t.mem.busy(waveKey+w.ID, w.Gen, t.now) {
		return true
	}
	reason := fmt.Sprintf("%d VMs done, %d failed, %d were out for another cause and are left", len(w.Finished), len(w.Failed), missed)
	t.emit(waveKey+w.ID, fleet.Record{
		Kind: fleet.KindWave, Rule: RuleWave, Reason: reason,
		Wave: &fleet.WaveChange{ID: w.ID, Action: fleet.WaveDone},
	}, sent{gen: w.Gen, kind: fleet.KindWave})
	return true
}

// lane is a pool of a wave and the VMs that may be next: those of one rack.
type lane struct {
	pool  string
	first bool // the spare pool goes first if its VMs are lent after that
	left  int  // pending VMs of the pool
	out   int  // VMs of the pool that are out for the wave
	next  []*fleet.VM
}

// stepWave drains VMs until the wave's limit. The pools with most VMs left go first,
// because they end last.
func (t *turn) stepWave(w *fleet.Wave) {
	out := len(w.Out) + len(t.waveSent(w))
	limit := t.waveLimit(w)
	lanes := t.lanes(w)
	for out < limit && t.room() {
		slices.SortStableFunc(lanes, func(a, b *lane) int {
			return cmp.Or(-cmp.Compare(boolInt(a.first), boolInt(b.first)), -cmp.Compare(a.left, b.left), cmp.Compare(a.pool, b.pool))
		})
		i := slices.IndexFunc(lanes, func(l *lane) bool { return t.stepLane(w, l) })
		if i < 0 {
			return
		}
		out++
	}
}

// stepLane drains the next VM of the lane and reports whether it did.
func (t *turn) stepLane(w *fleet.Wave, l *lane) bool {
	if t.cfg.Growth == GrowPercent && l.out >= max(1, len(t.st.PoolVMs(l.pool))/percentStep) {
		return false
	}
	if len(l.next) == 0 {
		return false
	}
	vm := l.next[0]
	l.next = l.next[1:]
	if ok, why := t.canDrain(vm); !ok {
		t.note("", l.pool, RuleWave, fmt.Sprintf("wave %q waits: %s", w.ID, why))
		l.next = nil
		return false
	}
	t.drain(vm, RuleWave, fmt.Sprintf("wave %q, rack %s of pool %q", w.ID, vm.Rack, vm.Pool),
		fleet.Drain{Purpose: fleet.PurposeReboot, Wave: w.ID})
	l.left--
	l.out++
	return true
}

// waveLimit returns how many VMs of the wave may be out now. It follows from the folded
// state alone, so that it does not start anew with another entry.
func (t *turn) waveLimit(w *fleet.Wave) int {
	switch t.cfg.Growth {
	case GrowSerial:
		return 1
	case GrowConstant:
		return min(w.Batch, w.MaxBatch)
	case GrowNone, GrowPercent:
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

// waveSent lists the VMs whose drain for the wave is on its way.
func (t *turn) waveSent(w *fleet.Wave) []*fleet.VM {
	var out []*fleet.VM
	for id, s := range t.mem.sent {
		if vm := t.st.VMs[id]; vm != nil && s.drain != nil && s.drain.Wave == w.ID && !t.idle(vm) {
			out = append(out, vm)
		}
	}
	return out
}

// lanes returns the pools of the wave that have VMs left in this region.
func (t *turn) lanes(w *fleet.Wave) []*lane {
	pools := map[string]*lane{}
	racks := map[string]map[rack][]*fleet.VM{} // pending by pool and rack
	for _, id := range w.Pending {
		vm := t.st.VMs[id]
		if vm == nil || vm.Phase != fleet.Active || vm.Region != t.obs.Region || t.leaving(id) || !t.idle(vm) {
			continue
		}
		if pools[vm.Pool] == nil {
			pools[vm.Pool] = &lane{pool: vm.Pool}
			racks[vm.Pool] = map[rack][]*fleet.VM{}
		}
		pools[vm.Pool].left++
		r := rackOf(vm)
		racks[vm.Pool][r] = append(racks[vm.Pool][r], vm)
	}
	busy := map[string]rack{}
	outs := t.waveSent(w)
	for _, id := range w.Out {
		if vm := t.st.VMs[id]; vm != nil {
			outs = append(outs, vm)
		}
	}
	for _, vm := range outs {
		busy[vm.Pool] = rackOf(vm)
		if l := pools[vm.Pool]; l != nil {
			l.out++
		}
	}
	out := make([]*lane, 0, len(pools))
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		l := pools[name]
		p, _ := t.st.Pool(name)
		l.first = p.Spare && t.cfg.WaveSpares > 0
		if r, ok := busy[name]; ok {
			l.next = racks[name][r]
		} else {
			l.next = t.nextRack(racks[name])
		}
		out = append(out, l)
	}
	return out
}

// rack identifies a rack; names of racks are unique in a data centre only.
type rack struct{ dc, name string }

func rackOf(vm *fleet.VM) rack { return rack{vm.DC, vm.Rack} }

// nextRack returns the pending VMs of the rack to begin: one that can start now, of
// these the one with fewest left.
func (t *turn) nextRack(racks map[rack][]*fleet.VM) []*fleet.VM {
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
