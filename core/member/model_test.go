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

// TestMain fixes the seed and keeps fail files out of the tree unless flags say otherwise.
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

// TestMachine drives entries with lagging folds, pauses and broken links against the oracle in
// world. It guards against a VM in two pools, budgets broken by a voluntary record, two winners
// of one configuration, states that differ at equal offsets and the fence of a lease holder.
//
// A long run: go test ./core/member -run TestMachine -rapid.seed=0 -rapid.checks=5000 -timeout 1h
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 5).Draw(t, "members"))
		t.Repeat(map[string]func(*rapid.T){
			"":          func(*rapid.T) { w.checkOnePool() },
			"tick":      w.tick,
			"tock":      w.tick,
			"start":     w.start,
			"finish":    w.finish,
			"control":   w.control,
			"steer":     w.control,
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

func (w *world) pick(t *rapid.T) *entry { return rapid.SampledFrom(w.entries).Draw(t, "entry") }

// tick moves time and lets each entry that runs do its periodic work.
func (w *world) tick(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "steps")) * 200 * time.Millisecond)
	for i, e := range w.entries {
		if e.frozen {
			continue
		}
		if !e.noLog {
			lag := rapid.Int64Range(0, 3).Draw(t, "lag")
			w.read(e, max(e.state.Offset+1, int64(len(w.log))-lag), w.now)
		}
		w.ping(i)
		if !e.noLog {
			w.duties(e)
		}
	}
}

// ping asks each reachable peer for a promise and relays its records to catch up if needed.
func (w *world) ping(i int) {
	e := w.entries[i]
	for j, peer := range w.entries {
		if i == j || peer.frozen || w.cut[link(i, j)] {
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

func link(i, j int) [2]int { return [2]int{min(i, j), max(i, j)} }

// duties writes what membership asks of an entry that reaches the log.
func (w *world) duties(e *entry) {
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
	e := w.pick(t)
	id := fmt.Sprint("v", rapid.IntRange(0, 4).Draw(t, "vm"))
	if vm := e.state.VMs[id]; vm != nil && w.maySend(e, vm) {
		e.pending[id] = vm.Pool
	}
}

func (w *world) finish(t *rapid.T) {
	e := w.pick(t)
	if !e.frozen {
		delete(e.pending, fmt.Sprint("v", rapid.IntRange(0, 4).Draw(t, "vm")))
	}
}

// control appends the next step for a VM as seen by an entry whose view may be old.
func (w *world) control(t *rapid.T) {
	st := w.pick(t).state
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
	st := w.pick(t).state
	if vm := st.VMs[fmt.Sprint("v", rapid.IntRange(0, 4).Draw(t, "vm"))]; vm != nil {
		w.append(fleet.Record{Kind: fleet.KindFail, Fail: &fleet.Fail{VM: vm.ID, Gen: vm.Gen}})
	}
}

func (w *world) configure(t *rapid.T) {
	base := w.pick(t).state.Config.Version
	fleetConfig := config(rapid.IntRange(1, 2).Draw(t, "min"))
	w.append(fleet.Record{Kind: fleet.KindConfigure, Configure: &fleet.Configure{Base: base, Fleet: fleetConfig}})
}

// duplicate repeats an append or damages it. Neither may change the fleet.
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
		w.entries[i].noLog = true
	default:
		w.cut[link(i, j)] = true
	}
}

func (w *world) repair(t *rapid.T) {
	i := rapid.IntRange(0, len(w.entries)-1).Draw(t, "i")
	switch rapid.IntRange(0, 3).Draw(t, "repair") {
	case 0:
		w.entries[i].noLog = false
	case 1:
		clear(w.cut)
	default:
		w.entries[i].frozen = false
	}
}

// rejoin restarts an entry or lets an evicted one join again, which needs that it has no
// request in progress: its new ID is not asked about older drains.
func (w *world) rejoin(t *rapid.T) {
	e := w.pick(t)
	crash := rapid.IntRange(0, 9).Draw(t, "crash") == 0
	if e.frozen || e.noLog || !crash && (w.isMember(e) || len(e.pending) > 0) {
		return
	}
	w.join(e, w.now.UnixMilli()+int64(len(w.log)))
}

// restore replaces an entry's state by its own snapshot; read compares it with the head later.
func (w *world) restore(t *rapid.T) {
	e := w.pick(t)
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
