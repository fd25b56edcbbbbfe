// Package plan is the controller: from the folded state and what an entry observes it
// decides the next records on VMs and waves.
//
// Safety is in the fold, which rejects what would break a budget or put a VM into two
// pools; the planner supplies progress. It keeps only times and what is on its way, so
// another entry may take over with an empty planner: deadlines then count anew.
package plan

import (
	"slices"
	"time"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
)

// The rules of the controller, as named in Record.Rule and Note.Rule.
const (
	RuleObserve = "R-OBSERVE"
	RuleDead    = "R-DEAD"
	RuleSick    = "R-SICK"
	RuleFlap    = "R-FLAP"
	RuleReplace = "R-REPLACE"
	RuleSurplus = "R-SURPLUS"
	RuleWave    = "R-WAVE"
	RuleStuck   = "R-STUCK"
	RuleReturn  = "R-RETURN"
	RuleLeave   = "R-LEAVE"
	RuleAssign  = "R-ASSIGN"
)

// Actions is the outcome of one call of Plan.
type Actions struct {
	Records   []fleet.Record // to append; ID, Writer and At are left to the writer
	Reboots   []string       // VMs whose reboot is to be asked of the platform now
	Deferrals []Deferral     // what was held back, by VM, pool and rule
}

// Deferral says what a rule held back and why.
type Deferral struct {
	VM     string `json:",omitempty"`
	Pool   string `json:",omitempty"`
	Rule   string
	Reason string
	Since  time.Time // when this planner first held it back without a break
}

// Planner decides for the VMs of one region. It is not safe for concurrent use.
type Planner struct {
	cfg Config
	mem memory
}

// New returns a planner with an empty memory.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg.withDefaults(), mem: newMemory()}
}

// Plan returns what is to be done at now. The caller appends the records in their order
// and calls again when some are folded, and at least every few seconds.
// It keeps no reference to st and does not change it.
func (p *Planner) Plan(st *fleet.State, obs Observations, now time.Time) Actions {
	p.mem.refresh(st, obs, now, p.cfg)
	t := newTurn(p, st, obs, now)
	if st.ReadOnly() {
		t.note("", "", RuleObserve, "a record in the log asks for a newer program, so this entry decides nothing")
		return t.finish()
	}
	if !obs.List.Read {
		t.note("", "", RuleObserve, "the platform's list was never read")
	}
	// What follows the platform goes first: a leaving VM must get no new work.
	t.leave()
	t.dead()
	t.stuck()
	t.giveBack()
	t.assign()
	t.place()
	t.observe()
	t.sick()
	t.reboot()
	t.replace()
	t.surplus()
	t.waves()
	return t.finish()
}

// turn is one call of Plan.
type turn struct {
	*Planner
	st      *fleet.State
	obs     Observations
	now     time.Time
	vms     []*fleet.VM       // of the region, by ID
	moves   []*fleet.VM       // of the region, on their way to another pool
	absent  []string          // VMs of the region that the list no longer holds
	broken  map[string]string // first broken limit by pool
	lent    map[string]int    // VMs above its size by pool, nil before it is known
	actions Actions
}

func newTurn(p *Planner, st *fleet.State, obs Observations, now time.Time) *turn {
	t := &turn{Planner: p, st: st, obs: obs, now: now, broken: map[string]string{}}
	for _, vm := range st.VMs {
		if vm.Region == obs.Region {
			t.vms = append(t.vms, vm)
			if vm.Purpose == fleet.PurposeMove {
				t.moves = append(t.moves, vm)
			}
		}
	}
	slices.SortFunc(t.vms, byID)
	for _, b := range st.Budgets() {
		if len(b.Broken) > 0 {
			t.broken[b.Pool] = b.Service + ": " + b.Broken[0]
		}
	}
	return t
}

func (t *turn) finish() Actions {
	t.actions.Deferrals = t.mem.keepNotes(t.actions.Deferrals, t.now)
	return t.actions
}

func (t *turn) note(vm, pool, rule, reason string) {
	t.actions.Deferrals = append(t.actions.Deferrals, Deferral{VM: vm, Pool: pool, Rule: rule, Reason: reason})
}

// room reports whether one more record fits into this call.
func (t *turn) room() bool { return len(t.actions.Records) < t.cfg.MaxRecords }

// idle reports whether no record on the VM is on its way.
func (t *turn) idle(vm *fleet.VM) bool { return !t.mem.busy(vm.ID, vm.Gen, t.now) }

// emit adds a record on key, a VM or wave, decided at generation gen.
func (t *turn) emit(key string, r fleet.Record, s sent) {
	if !t.room() {
		return
	}
	r.Version = fleet.RecordVersion
	t.actions.Records = append(t.actions.Records, r)
	s.rule = r.Rule
	s.until = t.now.Add(t.cfg.RecordTimeout)
	t.mem.sent[key] = s
}

func (t *turn) emitVM(vm *fleet.VM, r fleet.Record) {
	t.emit(vm.ID, r, sent{gen: vm.Gen, kind: r.Kind, pool: vm.Pool, drain: r.Drain})
}

func (t *turn) fail(vm *fleet.VM, rule, reason string) {
	if n := t.mem.failures(vm.ID, t.now, t.cfg.FlapWindow) + 1; n >= t.cfg.FlapCount {
		rule, reason = RuleFlap, flapReason(n, t.cfg, reason)
	}
	t.emitVM(vm, fleet.Record{
		Kind: fleet.KindFail, Rule: rule, Reason: reason, Fail: &fleet.Fail{VM: vm.ID, Gen: vm.Gen},
	})
}

func (t *turn) drain(vm *fleet.VM, rule, reason string, d fleet.Drain) {
	d.VM, d.Gen = vm.ID, vm.Gen
	t.emitVM(vm, fleet.Record{Kind: fleet.KindDrain, Rule: rule, Reason: reason, Drain: &d})
}

func (t *turn) activate(vm *fleet.VM, rule, reason string) {
	t.emitVM(vm, fleet.Record{
		Kind: fleet.KindActivate, Rule: rule, Reason: reason, Activate: &fleet.Activate{VM: vm.ID, Gen: vm.Gen},
	})
}

// canDrain asks the fold about a voluntary drain after the drains and failures that are on their way.
func (t *turn) canDrain(vm *fleet.VM) (bool, string) {
	return t.st.CanDrainAfter(vm.ID, t.mem.outOnTheWay(t.st, t.now))
}

// spare returns the spare pool of the region.
func (t *turn) spare() (spec.Pool, bool) { return t.st.Config.Fleet.SpareFor(t.obs.Region) }

func byID(a, b *fleet.VM) int {
	switch {
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	}
	return 0
}
