package plan_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/plan"
	"sassafrasvalve/core/spec"
)

// TestMachine drives two planners and the fold through failures, takeovers and lost or late
// records. It guards against budgets broken by a voluntary record, a VM in two pools, moves
// undone within a minute, a wave that goes on after failures, records that the fold was known
// to reject, and a fleet that never comes to rest.
//
// A long run: go test ./core/plan -run TestMachine -rapid.seed=0 -rapid.checks=2000 -timeout 1h
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {}, "tick": w.tick, "tock": w.tick, "wait": w.wait, "race": w.race, "late": w.late, "takeover": w.takeover,
			"ack": func(*rapid.T) { w.ack() }, "crash": w.crash, "repair": w.repair, "leave": w.leave, "lose": w.lose, "sick": w.sick, "hang": w.hang, "wave": w.wave, "reporting": w.reporting,
		})
		w.settle()
	})
}

// Sizes of the model: two pools with budgets and a spare pool.
var modelPools = []struct {
	name      string
	size, min int
	spare     bool
}{{"p", 6, 4, false}, {"q", 4, 3, false}, {"s", 3, 1, true}}

type box struct {
	up, away bool
	since    time.Time
	sick     bool
	hangs    bool      // the next reboot takes too long
	backAt   time.Time // end of a reboot
}

type model struct {
	t        *rapid.T
	st       *fleet.State
	a, b     *plan.Planner
	cfg      plan.Config
	now      time.Time
	boxes    map[string]*box
	list     map[string]plan.ListedVM
	entries  int
	ids      int
	waves    int
	pending  []fleet.Record // planned, not folded
	movedAt  map[string]time.Time
	movedOut map[string]string
}

func newModel(t *rapid.T) *model {
	w := &model{
		t: t, st: fleet.NewState(fleet.StateConfig{}), now: time.Date(2026, 3, 2, 4, 0, 0, 0, time.UTC),
		boxes: map[string]*box{}, list: map[string]plan.ListedVM{}, entries: 3,
		movedAt: map[string]time.Time{}, movedOut: map[string]string{},
		cfg: plan.Config{WaveSpares: rapid.IntRange(0, 2).Draw(t, "lend"), FillPools: rapid.Bool().Draw(t, "fill")},
	}
	w.a, w.b = plan.New(w.cfg), plan.New(w.cfg)
	var f spec.Fleet
	for _, p := range modelPools {
		f.Pools = append(f.Pools, spec.Pool{Name: p.name, Region: "r", Size: p.size, Spare: p.spare})
		f.Services = append(f.Services, spec.Service{Name: "svc-" + p.name, Pool: p.name, Budget: spec.Budget{MinAvailable: p.min}})
	}
	w.apply(fleet.Record{Kind: fleet.KindConfigure, Configure: &fleet.Configure{Fleet: f}})
	for i := range 3 {
		id := fmt.Sprintf("e%d", i)
		w.apply(fleet.Record{Kind: fleet.KindJoin, Join: &fleet.Join{Member: fleet.Member{ID: id + "#1", VM: id, Epoch: 1, Region: "r"}}})
	}
	for _, p := range modelPools {
		for i := range p.size {
			id := fmt.Sprintf("%s%d", p.name, i)
			l := plan.ListedVM{State: plan.Live, Region: "r", DC: "d" + strconv.Itoa(i/2%2), Rack: p.name + strconv.Itoa(i/2), Addr: id + ":80"}
			w.list[id], w.boxes[id] = l, &box{up: true}
			w.apply(fleet.Record{Kind: fleet.KindObserve, Observe: &fleet.Observe{VM: id, Addr: l.Addr, DC: l.DC, Rack: l.Rack, Region: "r", Pool: p.name}})
		}
	}
	return w
}

// available counts the active VMs of a pool from the VMs themselves, not from the fold's index.
func (w *model) available(pool string) int {
	n := 0
	for _, vm := range w.st.VMs {
		if vm.Pool == pool && vm.Phase == fleet.Active {
			n++
		}
	}
	return n
}

// apply folds a record and holds the result against the oracle.
func (w *model) apply(r fleet.Record) bool {
	if r.ID == "" {
		w.ids++
		r.ID = strconv.Itoa(w.ids)
	}
	r.Writer = cmpOr(r.Writer, "e0#1")
	before, pools, acks := map[string]int{}, map[string]string{}, map[string]int{}
	for _, p := range modelPools {
		before[p.name] = w.available(p.name)
	}
	for id, vm := range w.st.VMs {
		pools[id], acks[id] = vm.Pool, len(vm.Acked)
	}
	stopped := map[string]bool{}
	for id, wave := range w.st.Waves {
		stopped[id] = len(wave.Failed) > wave.MaxFailed
	}
	res := w.st.Apply(w.st.Offset+1, r)
	if !res.Accepted {
		return false
	}
	for _, p := range modelPools {
		now := w.available(p.name)
		involuntary := r.Kind == fleet.KindFail || r.Drain != nil && r.Drain.Involuntary
		assert.Assert(w.t, involuntary || now >= before[p.name] || now >= p.min, "%s by %s breaks the budget of %s: %d active", r.Kind, r.Rule, p.name, now)
	}
	if r.Drain != nil && r.Drain.Wave != "" {
		assert.Assert(w.t, !stopped[r.Drain.Wave], "wave %s goes on after it stopped", r.Drain.Wave)
	}
	for id, vm := range w.st.VMs {
		if from, ok := pools[id]; ok && from != vm.Pool {
			w.checkMove(id, from, vm.Pool, acks[id])
		}
	}
	return true
}

func (w *model) checkMove(id, from, to string, acks int) {
	assert.Equal(w.t, acks, 3, "VM %s moves from %s to %s without all entries", id, from, to)
	if w.movedOut[id] == to {
		assert.Assert(w.t, w.now.Sub(w.movedAt[id]) >= time.Minute, "the move of %s from %s is undone after %s", id, to, w.now.Sub(w.movedAt[id]))
	}
	w.movedAt[id], w.movedOut[id] = w.now, from
	in := 0
	for _, p := range modelPools {
		if slices.Contains(w.st.PoolVMs(p.name), id) {
			in++
		}
	}
	assert.Equal(w.t, in, 1, "pools that hold %s", id)
}

func (w *model) observed() plan.Observations {
	o := plan.Observations{
		Region: "r", Reporting: w.entries, Reports: map[string]plan.HealthReport{}, Probes: map[string]time.Time{},
		List: plan.VMList{Read: true, AsOf: w.now.Add(-2 * time.Second), VMs: w.list},
	}
	for id, vm := range w.st.VMs {
		b := w.boxes[id]
		up := b != nil && b.up
		switch {
		case vm.Phase != fleet.Active && up:
			o.Probes[id] = w.now
		case vm.Phase == fleet.Active && !up && w.now.Sub(b.since) > 10*time.Second:
			o.Reports[id] = plan.HealthReport{Refused: w.entries}
		case vm.Phase == fleet.Active && up && b.sick:
			o.Reports[id] = plan.HealthReport{Ejected: w.entries}
		}
	}
	return o
}

// advance moves time and ends the reboots that are due.
func (w *model) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for id, b := range w.boxes {
		if b.away && !w.now.Before(b.backAt) {
			b.away, b.up, b.sick = false, true, false
			if l, ok := w.list[id]; ok {
				l.Rebooting, l.Boots = false, l.Boots+1
				w.list[id] = l
			}
		}
	}
}

func (w *model) plan(p *plan.Planner) []fleet.Record {
	act := p.Plan(w.st, w.observed(), w.now)
	for _, id := range act.Reboots {
		if b := w.boxes[id]; !b.away {
			b.away, b.up, b.since, b.backAt = true, false, w.now, w.now.Add(time.Minute)
			if b.hangs {
				b.hangs, b.backAt = false, w.now.Add(20*time.Minute)
			}
			l := w.list[id]
			l.Rebooting = true
			w.list[id] = l
		}
	}
	for i := range act.Records {
		assert.Assert(w.t, act.Records[i].ID == "" && act.Records[i].Rule != "" && act.Records[i].Reason != "", "%+v", act.Records[i])
		w.ids++
		act.Records[i].ID = strconv.Itoa(w.ids)
	}
	return act.Records
}

// tick lets the acting planner work. Its records are folded at once, so none may be rejected.
func (w *model) tick(t *rapid.T) {
	w.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
	w.step()
}

func (w *model) step() int {
	records := w.plan(w.a)
	for _, r := range records {
		assert.Assert(w.t, w.apply(r), "the fold rejects %s of %s: %s", r.Kind, r.Rule, w.reason(r))
	}
	return len(records)
}

func (w *model) reason(r fleet.Record) string {
	res, _ := w.st.ResultOf(r.ID)
	return res.Reason
}

func (w *model) wait(t *rapid.T) {
	for range rapid.IntRange(1, 30).Draw(t, "calls") {
		w.advance(10 * time.Second)
		w.step()
	}
}

// race lets both planners decide on the same state.
func (w *model) race(t *rapid.T) {
	w.advance(time.Second)
	records := slices.Concat(w.plan(w.a), w.plan(w.b))
	if rapid.Bool().Draw(t, "reversed") {
		slices.Reverse(records)
	}
	for _, r := range records {
		w.apply(r)
	}
}

// late keeps records back that are folded later, in part.
func (w *model) late(t *rapid.T) {
	for _, r := range w.pending {
		if rapid.Bool().Draw(t, "arrives") {
			w.apply(r)
		}
	}
	w.advance(time.Second)
	w.pending = w.plan(w.b)
}

func (w *model) takeover(*rapid.T) { w.a, w.b = w.b, plan.New(w.cfg) }

func (w *model) ack() {
	for _, m := range w.st.LiveMembers("r") {
		if due := w.st.DrainsToAck(m); len(due) > 0 {
			w.apply(fleet.Record{Kind: fleet.KindAck, Writer: m, Ack: &fleet.Ack{Member: m, Through: w.st.Offset, VMs: due}})
		}
	}
}

func (w *model) pick(t *rapid.T) (string, *box) {
	ids := make([]string, 0, len(w.boxes))
	for id := range w.boxes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(t, "vm")
	return id, w.boxes[id]
}

func (w *model) crash(t *rapid.T) {
	if _, b := w.pick(t); b.up {
		b.up, b.since = false, w.now
	}
}

func (w *model) repair(t *rapid.T) {
	if _, b := w.pick(t); !b.away {
		b.up = true
	}
}

func (w *model) hang(t *rapid.T) {
	_, b := w.pick(t)
	b.hangs = true
}

func (w *model) sick(t *rapid.T) {
	_, b := w.pick(t)
	b.sick = true
}

func (w *model) leave(t *rapid.T) {
	id, _ := w.pick(t)
	if l, ok := w.list[id]; ok {
		l.State = plan.Leaving
		if rapid.Bool().Draw(t, "stays") {
			l.State = plan.Live
		}
		w.list[id] = l
	}
}

// lose takes a VM off the list for a while or for good and brings a new one.
func (w *model) lose(t *rapid.T) {
	id, b := w.pick(t)
	if l, ok := w.list[id]; ok {
		delete(w.list, id)
		b.up, b.since = false, w.now
		n := fmt.Sprintf("n%d", len(w.boxes))
		l.State, l.Addr, l.Rebooting, l.Boots = plan.Live, n+":80", false, 0
		w.list[n], w.boxes[n] = l, &box{up: true}
	}
}

func (w *model) wave(t *rapid.T) {
	w.waves++
	id := fmt.Sprintf("w%d", w.waves)
	w.apply(fleet.Record{Kind: fleet.KindWave, Wave: &fleet.WaveChange{
		ID: id, Action: fleet.WavePlan, Pools: []string{"p", "q", "s"}, Batch: rapid.IntRange(1, 3).Draw(t, "batch"),
		MaxBatch: 4, MaxFailed: rapid.IntRange(0, 1).Draw(t, "failed"),
	}})
	w.apply(fleet.Record{Kind: fleet.KindWave, Wave: &fleet.WaveChange{ID: id, Action: fleet.WaveStart}})
}

func (w *model) reporting(t *rapid.T) { w.entries = rapid.IntRange(1, 3).Draw(t, "entries") }

// settle ends all faults. Within three hours the fleet must come to rest with its pools at their sizes.
func (w *model) settle() {
	w.entries = 3
	for id, b := range w.boxes {
		if !b.away {
			b.up, b.sick, b.hangs = true, false, false
		}
		if l, ok := w.list[id]; ok {
			l.State = plan.Live
			w.list[id] = l
		}
	}
	quiet := 0
	for range 3 * 360 {
		w.advance(10 * time.Second)
		w.ack()
		if quiet++; w.step() > 0 {
			quiet = 0
		}
	}
	assert.Assert(w.t, quiet > 30, "still planning after three hours")
	for id, vm := range w.st.VMs {
		assert.Equal(w.t, vm.Phase, fleet.Active, "VM %s, %v", id, vm.History)
		_, listed := w.list[id]
		assert.Assert(w.t, listed, "VM %s is kept although the list lacks it", id)
	}
	for _, p := range modelPools {
		if !p.spare {
			assert.Assert(w.t, len(w.st.PoolVMs(p.name)) >= p.size || w.available("s") <= 1, "pool %s has %d VMs, the spare pool %d", p.name, len(w.st.PoolVMs(p.name)), w.available("s"))
		}
	}
	for id, wave := range w.st.Waves {
		assert.Assert(w.t, wave.Phase == fleet.Done || wave.Phase == fleet.Stopped || wave.Phase == fleet.Planned, "wave %s is %s: %+v", id, wave.Phase, wave)
	}
}

func cmpOr(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
