// Package plan decides the next records on VMs and waves from the folded state and
// the observations of an entry.
//
// The fold ensures safety: it rejects records that would break a budget or put a VM into two
// pools. The planner ensures progress. It stores only times and the records that are not folded yet.
// Another entry can therefore take over with an empty planner, and its deadlines start again.
package plan

import (
	"slices"
	"time"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
)

// The rules of the planner. Records and deferrals name the rule that led to them.
const (
	RuleObserve = "R-OBSERVE" // follow the platform's list: add new VMs, update addresses and places
	RuleDead    = "R-DEAD"    // fail a VM that the list lacks or that entries cannot connect to
	RuleSick    = "R-SICK"    // reboot a VM that entries have ejected as unhealthy
	RuleFlap    = "R-FLAP"    // keep a VM out for FlapHold after repeated failures
	RuleReplace = "R-REPLACE" // move a spare VM to a pool below its size
	RuleSurplus = "R-SURPLUS" // move a VM back to the spare pool from a pool above its size
	RuleWave    = "R-WAVE"    // carry out a maintenance wave and lend spare VMs to its pools
	RuleStuck   = "R-STUCK"   // fail a VM whose drain or reboot takes too long
	RuleReturn  = "R-RETURN"  // return a VM that answers again to its pool
	RuleLeave   = "R-LEAVE"   // drain and remove a VM that the platform is removing or has removed
	RuleAssign  = "R-ASSIGN"  // end the move of a drained VM
)

// Actions is the result of one call of Plan.
type Actions struct {
	Records   []fleet.Record // to append; the caller sets ID, Writer and At
	Reboots   []string       // IDs of the VMs whose reboot the caller must request from the platform now
	Deferrals []Deferral     // actions that a rule deferred
}

// Deferral describes an action that a rule deferred and the reason.
type Deferral struct {
	VM     string `json:",omitempty"`
	Pool   string `json:",omitempty"`
	Rule   string
	Reason string
	Since  time.Time // start of the current uninterrupted deferral by this planner
}

// Planner plans the records for the VMs of one region. It is not safe for concurrent use.
type Planner struct {
	cfg   Config
	local localState
}

// New returns a planner without local state. Zero fields of cfg take their defaults.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg.withDefaults(), local: newLocalState()}
}

// Plan returns the actions that are due at now. The caller appends the records in their order
// and calls Plan again when some of them are folded, and at least every few seconds.
// Plan does not modify st and keeps no reference to it.
func (p *Planner) Plan(st *fleet.State, obs Observations, now time.Time) Actions {
	p.local.refresh(st, obs, now, p.cfg)
	t := newTick(p, st, obs, now)
	if st.ReadOnly() {
		t.addDeferral("", "", RuleObserve, "a record in the log asks for a newer program, so this entry decides nothing")
		return t.finish()
	}
	if !obs.List.Read {
		t.addDeferral("", "", RuleObserve, "the platform's list was never read")
	}
	// Actions that follow the platform's list come first, because a leaving VM must get no new work.
	t.removeLeaving()
	t.failDead()
	t.failStuck()
	t.returnVMs()
	t.completeMoves()
	t.updatePlaces()
	t.addNewVMs()
	t.rebootSick()
	t.startReboots()
	t.replaceMissing()
	t.returnSurplus()
	t.advanceWaves()
	return t.finish()
}

// tick holds the inputs and results of one call of Plan.
type tick struct {
	*Planner
	st           *fleet.State
	obs          Observations
	now          time.Time
	vms          []*fleet.VM       // of the region, by ID
	moves        []*fleet.VM       // of the region, drained to move to another pool
	missing      []string          // result of missingVMs, nil before the first call
	brokenLimits map[string]string // first broken limit by pool
	lentVMs      map[string]int    // result of lentPerPool, nil before the first call
	actions      Actions
}

func newTick(p *Planner, st *fleet.State, obs Observations, now time.Time) *tick {
	t := &tick{Planner: p, st: st, obs: obs, now: now, brokenLimits: map[string]string{}}
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
			t.brokenLimits[b.Pool] = b.Service + ": " + b.Broken[0]
		}
	}
	return t
}

func (t *tick) finish() Actions {
	t.actions.Deferrals = t.local.dateDeferrals(t.actions.Deferrals, t.now)
	return t.actions
}

// addDeferral adds a deferral of a rule to the result.
func (t *tick) addDeferral(vm, pool, rule, reason string) {
	t.actions.Deferrals = append(t.actions.Deferrals, Deferral{VM: vm, Pool: pool, Rule: rule, Reason: reason})
}

// belowRecordLimit reports whether this call may add another record.
func (t *tick) belowRecordLimit() bool { return len(t.actions.Records) < t.cfg.MaxRecords }

// actionable reports whether no record on the VM is pending, so that a new one may be decided.
func (t *tick) actionable(vm *fleet.VM) bool { return !t.local.hasPending(vm.ID, vm.Gen, t.now) }

// addRecord adds a record on key, a VM ID or a prefixed wave ID, and stores it as pending.
// It does nothing if the limit of records is reached.
func (t *tick) addRecord(key string, r fleet.Record, s pendingRecord) {
	if !t.belowRecordLimit() {
		return
	}
	r.Version = fleet.RecordVersion
	t.actions.Records = append(t.actions.Records, r)
	s.rule = r.Rule
	s.until = t.now.Add(t.cfg.RecordTimeout)
	t.local.pending[key] = s
}

func (t *tick) addVMRecord(vm *fleet.VM, r fleet.Record) {
	t.addRecord(vm.ID, r, pendingRecord{gen: vm.Gen, kind: r.Kind, pool: vm.Pool, drain: r.Drain})
}

// fail adds a Fail record, with RuleFlap instead of rule if the VM has failed too often within FlapWindow.
func (t *tick) fail(vm *fleet.VM, rule, reason string) {
	if n := t.local.recentFailures(vm.ID, t.now, t.cfg.FlapWindow) + 1; n >= t.cfg.FlapCount {
		rule, reason = RuleFlap, flapReason(n, t.cfg, reason)
	}
	t.addVMRecord(vm, fleet.Record{
		Kind: fleet.KindFail, Rule: rule, Reason: reason, Fail: &fleet.Fail{VM: vm.ID, Gen: vm.Gen},
	})
}

func (t *tick) drain(vm *fleet.VM, rule, reason string, d fleet.Drain) {
	d.VM, d.Gen = vm.ID, vm.Gen
	t.addVMRecord(vm, fleet.Record{Kind: fleet.KindDrain, Rule: rule, Reason: reason, Drain: &d})
}

func (t *tick) activate(vm *fleet.VM, rule, reason string) {
	t.addVMRecord(vm, fleet.Record{
		Kind: fleet.KindActivate, Rule: rule, Reason: reason, Activate: &fleet.Activate{VM: vm.ID, Gen: vm.Gen},
	})
}

// canDrain reports whether the fold would accept a voluntary drain of the VM after the pending drains and failures.
// If not, it returns the reason.
func (t *tick) canDrain(vm *fleet.VM) (bool, string) {
	return t.st.CanDrainAfter(vm.ID, t.local.pendingOut(t.st, t.now))
}

// spare returns the spare pool of the region, and false if the region has none.
func (t *tick) spare() (spec.Pool, bool) { return t.st.Config.Fleet.SpareFor(t.obs.Region) }

func byID(a, b *fleet.VM) int {
	switch {
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	}
	return 0
}
