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

// TestPlannerModel guards against budgets broken by a voluntary record, a VM in two pools, moves
// undone within a minute, a wave that continues after failures, records that the fold foreseeably rejects, and
// a fleet that does not become stable after the last fault. It drives two planners and the fold
// through failures, takeovers, and lost or late records.
//
// A long run: go test ./core/plan -run TestPlannerModel -rapid.seed=0 -rapid.checks=2000 -timeout 1h
func TestPlannerModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModel(t)
		// "tock" is a second name of "tick", so that rapid draws it more often.
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {}, "tick": w.tick, "tock": w.tick, "wait": w.wait, "race": w.race, "late": w.late, "takeover": w.takeover,
			"ack": func(*rapid.T) { w.ack() }, "crash": w.crash, "repair": w.repair, "leave": w.leave, "lose": w.lose, "sick": w.sick, "hang": w.hang, "wave": w.wave, "reporting": w.setReporting,
		})
		w.settle()
	})
}

// modelPools are the pools of the model: two pools and a spare pool, each with a size and a MinAvailable budget.
var modelPools = []struct {
	name      string
	size, min int
	spare     bool
}{{"p", 6, 4, false}, {"q", 4, 3, false}, {"s", 3, 1, true}}

type modelVM struct {
	up, rebooting bool
	downSince     time.Time
	sick          bool
	rebootHangs   bool      // the next reboot exceeds RebootTimeout
	rebootEndsAt  time.Time // end of the current reboot
}

type model struct {
	t               *rapid.T
	st              *fleet.State
	acting, standby *plan.Planner
	cfg             plan.Config
	now             time.Time
	vms             map[string]*modelVM
	list            map[string]plan.ListedVM
	reporting       int
	ids             int
	waves           int
	pending         []fleet.Record // planned by the standby planner and not folded yet
	movedAt         map[string]time.Time
	movedFrom       map[string]string
}

func newModel(t *rapid.T) *model {
	w := &model{
		t: t, st: fleet.NewState(fleet.StateConfig{}), now: time.Date(2026, 3, 2, 4, 0, 0, 0, time.UTC),
		vms: map[string]*modelVM{}, list: map[string]plan.ListedVM{}, reporting: 3,
		movedAt: map[string]time.Time{}, movedFrom: map[string]string{},
		cfg: plan.Config{WaveSpares: rapid.IntRange(0, 2).Draw(t, "lend"), FillPools: rapid.Bool().Draw(t, "fill")},
	}
	w.acting, w.standby = plan.New(w.cfg), plan.New(w.cfg)
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
			l := plan.ListedVM{State: plan.ListLive, Region: "r", DC: "d" + strconv.Itoa(i/2%2), Rack: p.name + strconv.Itoa(i/2), Addr: id + ":80"}
			w.list[id], w.vms[id] = l, &modelVM{up: true}
			w.apply(fleet.Record{Kind: fleet.KindObserve, Observe: &fleet.Observe{VM: id, Addr: l.Addr, DC: l.DC, Rack: l.Rack, Region: "r", Pool: p.name}})
		}
	}
	return w
}

// available counts the active VMs of a pool. It reads the VMs instead of the fold's index, to check the index too.
func (w *model) available(pool string) int {
	n := 0
	for _, vm := range w.st.VMs {
		if vm.Pool == pool && vm.Phase == fleet.Active {
			n++
		}
	}
	return n
}

// apply folds a record and checks the new state if the record is accepted. It reports whether it is.
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

// checkMove checks that a VM changed its pool only after all acknowledgements, not back within a minute,
// and is in exactly one pool.
func (w *model) checkMove(id, from, to string, acks int) {
	assert.Equal(w.t, acks, 3, "VM %s moves from %s to %s without all entries", id, from, to)
	if w.movedFrom[id] == to {
		assert.Assert(w.t, w.now.Sub(w.movedAt[id]) >= time.Minute, "the move of %s from %s is undone after %s", id, to, w.now.Sub(w.movedAt[id]))
	}
	w.movedAt[id], w.movedFrom[id] = w.now, from
	in := 0
	for _, p := range modelPools {
		if slices.Contains(w.st.PoolVMs(p.name), id) {
			in++
		}
	}
	assert.Equal(w.t, in, 1, "pools that hold %s", id)
}

func (w *model) observations() plan.Observations {
	o := plan.Observations{
		Region: "r", Reporting: w.reporting, Reports: map[string]plan.HealthReport{}, Probes: map[string]time.Time{},
		List: plan.VMList{Read: true, AsOf: w.now.Add(-2 * time.Second), VMs: w.list},
	}
	for id, vm := range w.st.VMs {
		b := w.vms[id]
		up := b != nil && b.up
		switch {
		case vm.Phase != fleet.Active && up:
			o.Probes[id] = w.now
		case vm.Phase == fleet.Active && !up && w.now.Sub(b.downSince) > 10*time.Second:
			o.Reports[id] = plan.HealthReport{Unreachable: w.reporting}
		case vm.Phase == fleet.Active && up && b.sick:
			o.Reports[id] = plan.HealthReport{Ejected: w.reporting}
		}
	}
	return o
}

// advance moves the clock forward and ends the reboots that are due.
func (w *model) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for id, b := range w.vms {
		if b.rebooting && !w.now.Before(b.rebootEndsAt) {
			b.rebooting, b.up, b.sick = false, true, false
			if l, ok := w.list[id]; ok {
				l.Rebooting, l.Boots = false, l.Boots+1
				w.list[id] = l
			}
		}
	}
}

func (w *model) plan(p *plan.Planner) []fleet.Record {
	act := p.Plan(w.st, w.observations(), w.now)
	for _, id := range act.Reboots {
		if b := w.vms[id]; !b.rebooting {
			b.rebooting, b.up, b.downSince, b.rebootEndsAt = true, false, w.now, w.now.Add(time.Minute)
			if b.rebootHangs {
				b.rebootHangs, b.rebootEndsAt = false, w.now.Add(20*time.Minute)
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

// tick calls the acting planner. Its records are folded at once, so the fold must accept all of them.
func (w *model) tick(t *rapid.T) {
	w.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
	w.step()
}

func (w *model) step() int {
	records := w.plan(w.acting)
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

// race calls both planners on the same state and folds the records of both.
func (w *model) race(t *rapid.T) {
	w.advance(time.Second)
	records := slices.Concat(w.plan(w.acting), w.plan(w.standby))
	if rapid.Bool().Draw(t, "reversed") {
		slices.Reverse(records)
	}
	for _, r := range records {
		w.apply(r)
	}
}

// late folds some of the delayed records of the standby planner, drops the others and delays its new records.
func (w *model) late(t *rapid.T) {
	for _, r := range w.pending {
		if rapid.Bool().Draw(t, "arrives") {
			w.apply(r)
		}
	}
	w.advance(time.Second)
	w.pending = w.plan(w.standby)
}

func (w *model) takeover(*rapid.T) { w.acting, w.standby = w.standby, plan.New(w.cfg) }

func (w *model) ack() {
	for _, m := range w.st.LiveMembers("r") {
		if due := w.st.DrainsToAck(m); len(due) > 0 {
			w.apply(fleet.Record{Kind: fleet.KindAck, Writer: m, Ack: &fleet.Ack{Member: m, Through: w.st.Offset, VMs: due}})
		}
	}
}

func (w *model) pick(t *rapid.T) (string, *modelVM) {
	ids := make([]string, 0, len(w.vms))
	for id := range w.vms {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(t, "vm")
	return id, w.vms[id]
}

func (w *model) crash(t *rapid.T) {
	if _, b := w.pick(t); b.up {
		b.up, b.downSince = false, w.now
	}
}

func (w *model) repair(t *rapid.T) {
	if _, b := w.pick(t); !b.rebooting {
		b.up = true
	}
}

func (w *model) hang(t *rapid.T) {
	_, b := w.pick(t)
	b.rebootHangs = true
}

func (w *model) sick(t *rapid.T) {
	_, b := w.pick(t)
	b.sick = true
}

func (w *model) leave(t *rapid.T) {
	id, _ := w.pick(t)
	if l, ok := w.list[id]; ok {
		l.State = plan.ListLeaving
		if rapid.Bool().Draw(t, "stays") {
			l.State = plan.ListLive
		}
		w.list[id] = l
	}
}

// lose removes a VM from the list and adds a new one.
func (w *model) lose(t *rapid.T) {
	id, b := w.pick(t)
	if l, ok := w.list[id]; ok {
		delete(w.list, id)
		b.up, b.downSince = false, w.now
		n := fmt.Sprintf("n%d", len(w.vms))
		l.State, l.Addr, l.Rebooting, l.Boots = plan.ListLive, n+":80", false, 0
		w.list[n], w.vms[n] = l, &modelVM{up: true}
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

func (w *model) setReporting(t *rapid.T) { w.reporting = rapid.IntRange(1, 3).Draw(t, "entries") }

// settle ends all faults. Within three hours the planner must stop adding records, with the pools at their sizes.
func (w *model) settle() {
	w.reporting = 3
	for id, b := range w.vms {
		if !b.rebooting {
			b.up, b.sick, b.rebootHangs = true, false, false
		}
		if l, ok := w.list[id]; ok {
			l.State = plan.ListLive
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
