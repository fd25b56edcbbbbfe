package member_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/member"
)

// TestMain sets fixed defaults for the rapid flags that are not given, and writes no fail files into the tree.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	defaults := map[string]string{
		"rapid.nofailfile": "true", "rapid.seed": "1", "rapid.checks": "60", "rapid.steps": "120",
	}
	for name, value := range defaults {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// TestMembershipModel guards against a VM in two pools, budgets violated by a voluntary record, two accepted
// configurations with the same base version, different states at one offset, and the fence of a lease holder. It runs
// entries with lagging folds, pauses and broken links, and checks them by the oracle in world.
//
// A long run: go test ./core/member -run TestMembershipModel -rapid.seed=0 -rapid.checks=5000 -timeout 1h
func TestMembershipModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 5).Draw(t, "members"))
		// "tock" and "steer" are second names of "tick" and "control", so that rapid draws these more often.
		t.Repeat(map[string]func(*rapid.T){
			"":          func(*rapid.T) { w.checkOnePool() },
			"tick":      w.tick,
			"tock":      w.tick,
			"start":     w.start,
			"finish":    w.finish,
			"control":   w.appendVMStep,
			"steer":     w.appendVMStep,
			"fail":      w.fail,
			"configure": w.configure,
			"duplicate": w.duplicate,
			"fault":     w.fault,
			"repair":    w.repair,
			"rejoin":    w.rejoin,
			"restore":   w.restore,
		})
	})
}

func (w *world) drawEntry(t *rapid.T) *entry { return rapid.SampledFrom(w.entries).Draw(t, "entry") }

// tick advances the time and runs the periodic work of each entry that is not frozen.
func (w *world) tick(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "steps")) * 200 * time.Millisecond)
	for i, e := range w.entries {
		if e.frozen {
			continue
		}
		if !e.logUnreachable {
			lag := rapid.Int64Range(0, 3).Draw(t, "lag")
			w.read(e, max(e.state.Offset+1, int64(len(w.log))-lag), w.now)
		}
		w.ping(i)
		if !e.logUnreachable {
			w.writeMembershipRecords(e)
		}
	}
}

// ping requests a promise from each reachable peer. If the peer has folded more, the entry reads up to its offset.
func (w *world) ping(i int) {
	e := w.entries[i]
	for j, peer := range w.entries {
		if i == j || peer.frozen || w.brokenLinks[linkKey(i, j)] {
			continue
		}
		p, ok := peer.group.Promise(e.id, peer.state, w.now)
		e.group.RecordContact(peer.id, w.now)
		if ok && !e.group.HandlePromise(p, e.state, w.now) {
			w.read(e, max(e.state.Offset+1, min(p.Offset+1, int64(len(w.log))-1)), w.now)
		}
	}
	if since, ok := e.group.Renewal(e.state, w.now); ok {
		e.lease.Renew(since)
	}
}

func linkKey(i, j int) [2]int { return [2]int{min(i, j), max(i, j)} }

// writeMembershipRecords appends the Suspect, Evict, Fence and Ack records that an entry with access to the log must
// write.
func (w *world) writeMembershipRecords(e *entry) {
	for _, r := range e.group.DueSuspects(e.state, w.now) {
		offset, _ := w.append(r)
		e.group.RecordSuspect(r.Suspect.Target, offset)
	}
	for _, r := range append(e.group.DueEvicts(e.state), e.group.DueFences(w.now)...) {
		w.append(r)
	}
	a := &fleet.Ack{Member: e.id, Through: e.state.Offset}
	for _, v := range e.state.DrainsToAck(e.id) {
		if e.pending[v.VM] == "" {
			a.VMs = append(a.VMs, v)
		}
	}
	if len(a.VMs) > 0 || e.state.AckDue(e.id) {
		w.append(fleet.Record{Kind: fleet.KindAck, Writer: e.id, Ack: a})
	}
}

func (w *world) start(t *rapid.T) {
	e := w.drawEntry(t)
	id := fmt.Sprint("v", rapid.IntRange(0, 4).Draw(t, "vm"))
	if vm := e.state.VMs[id]; vm != nil && w.maySend(e, vm) {
		e.pending[id] = vm.Pool
	}
}

func (w *world) finish(t *rapid.T) {
	e := w.drawEntry(t)
	if !e.frozen {
		delete(e.pending, fmt.Sprint("v", rapid.IntRange(0, 4).Draw(t, "vm")))
	}
}

// appendVMStep appends a next step for a VM, chosen by the view of an entry, which may be outdated.
func (w *world) appendVMStep(t *rapid.T) {
	st := w.drawEntry(t).state
	id := fmt.Sprint("v", rapid.IntRange(0, 4).Draw(t, "vm"))
	vm := st.VMs[id]
	if vm == nil {
		w.append(fleet.Record{Kind: fleet.KindObserve, Observe: &fleet.Observe{
			VM: id, Addr: "10.0.0." + id[1:], DC: "d0", Rack: "r", Region: region,
			Pool: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "pool"),
		}})
		return
	}
	r := fleet.Record{}
	switch choice := rapid.IntRange(0, 3).Draw(t, "choice"); {
	case vm.Phase == fleet.Drained && vm.Purpose == fleet.PurposeMove:
		r.Kind, r.Assign = fleet.KindAssign, &fleet.Assign{VM: id, Gen: vm.Gen, To: vm.To}
	case vm.Phase == fleet.Drained && choice == 0:
		r.Kind, r.Reboot = fleet.KindReboot, &fleet.Reboot{VM: id, Gen: vm.Gen}
	case (vm.Phase == fleet.Drained || vm.Phase == fleet.Failed) && choice == 1:
		r.Kind, r.Remove = fleet.KindRemove, &fleet.Remove{VM: id, Gen: vm.Gen}
	case vm.Phase == fleet.Draining:
		r.Kind, r.Assign = fleet.KindAssign, &fleet.Assign{VM: id, Gen: vm.Gen, To: vm.To}
	case vm.Phase == fleet.Active || choice == 2:
		d := &fleet.Drain{VM: id, Gen: vm.Gen, Purpose: fleet.PurposeHold, Involuntary: choice == 3}
		if choice < 2 {
			d.Purpose, d.To = fleet.PurposeMove, map[string]string{"a": "b", "b": "a"}[vm.Pool]
		}
		r.Kind, r.Drain = fleet.KindDrain, d
	default:
		r.Kind, r.Activate = fleet.KindActivate, &fleet.Activate{VM: id, Gen: vm.Gen}
	}
	w.append(r)
}

func (w *world) fail(t *rapid.T) {
	st := w.drawEntry(t).state
	if vm := st.VMs[fmt.Sprint("v", rapid.IntRange(0, 4).Draw(t, "vm"))]; vm != nil {
		w.append(fleet.Record{Kind: fleet.KindFail, Fail: &fleet.Fail{VM: vm.ID, Gen: vm.Gen}})
	}
}

func (w *world) configure(t *rapid.T) {
	base := w.drawEntry(t).state.Config.Version
	fleetConfig := config(rapid.IntRange(1, 2).Draw(t, "min"))
	w.append(fleet.Record{Kind: fleet.KindConfigure, Configure: &fleet.Configure{Base: base, Fleet: fleetConfig}})
}

// duplicate appends a record again, as it was or corrupted. Neither may change the fleet.
func (w *world) duplicate(t *rapid.T) {
	i := rapid.IntRange(0, len(w.records)-1).Draw(t, "record")
	data, err := fleet.Encode(w.records[i])
	assert.NilError(t, err)
	if rapid.Bool().Draw(t, "corrupt") {
		data[rapid.IntRange(0, len(data)-1).Draw(t, "byte")] ^= 1
	}
	_, res := w.appendRaw(w.records[i], data)
	assert.Assert(t, !res.Accepted && (res.Duplicate || res.Skipped), "%+v", res)
}

func (w *world) fault(t *rapid.T) {
	i, j := rapid.IntRange(0, len(w.entries)-1).Draw(t, "i"), rapid.IntRange(0, len(w.entries)-1).Draw(t, "j")
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 0:
		w.entries[i].frozen = true
	case 1:
		w.entries[i].logUnreachable = true
	default:
		w.brokenLinks[linkKey(i, j)] = true
	}
}

func (w *world) repair(t *rapid.T) {
	i := rapid.IntRange(0, len(w.entries)-1).Draw(t, "i")
	switch rapid.IntRange(0, 3).Draw(t, "repair") {
	case 0:
		w.entries[i].logUnreachable = false
	case 1:
		clear(w.brokenLinks)
	default:
		w.entries[i].frozen = false
	}
}

// rejoin restarts an entry, or lets an evicted entry join again. An evicted entry must have no request in progress,
// since its new ID does not have to acknowledge older drains.
func (w *world) rejoin(t *rapid.T) {
	e := w.drawEntry(t)
	crash := rapid.IntRange(0, 9).Draw(t, "crash") == 0
	if e.frozen || e.logUnreachable || !crash && (w.isMember(e) || len(e.pending) > 0) {
		return
	}
	w.join(e, w.now.UnixMilli()+int64(len(w.log)))
}

// restore replaces an entry's state by its own snapshot. Later calls of read compare the state with the head.
func (w *world) restore(t *rapid.T) {
	e := w.drawEntry(t)
	records, err := e.state.Snapshot("s")
	assert.NilError(t, err)
	a := fleet.NewAssembler(fleet.StateConfig{})
	var got *fleet.State
	for _, r := range rapid.Permutation(records).Draw(t, "chunks") {
		got, err = a.Add(*r.Snapshot)
		assert.NilError(t, err)
	}
	e.state = got
	w.read(e, got.Offset+1, w.now.Add(-member.LeaseTerm))
}
