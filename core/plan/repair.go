package plan

import (
	"fmt"
	"time"

	"sassafrasvalve/core/fleet"
)

func flapReason(n int, cfg Config, last string) string {
	return fmt.Sprintf("%d failures in %s, held out for %s; the last: %s", n, cfg.FlapWindow, cfg.FlapHold, last)
}

// drainRule returns the rule of the last drain of the VM, empty for an operator's.
func drainRule(vm *fleet.VM) string { return lastRule(vm, fleet.KindDrain) }

func lastRule(vm *fleet.VM, kind fleet.Kind) string {
	for i := len(vm.History) - 1; i >= 0; i-- {
		if vm.History[i].Kind == kind {
			return vm.History[i].Rule
		}
	}
	return ""
}

// stuck fails VMs whose drain or reboot takes too long. An operator's hold and the drain
// of a leaving VM only wait: a failure would lose the purpose and gain nothing.
func (t *turn) stuck() {
	for _, vm := range t.vms {
		age := t.mem.age(vm, t.now)
		switch {
		case vm.Phase == fleet.Draining && age >= t.cfg.DrainTimeout:
			reason := fmt.Sprintf("the drain took longer than %s; not acknowledged by %v", t.cfg.DrainTimeout, t.st.MissingAcks(vm.ID))
			if vm.Purpose == fleet.PurposeHold || vm.Purpose == fleet.PurposeLeave {
				t.note(vm.ID, vm.Pool, RuleStuck, reason)
			} else if t.idle(vm) {
				t.fail(vm, RuleStuck, reason)
			}
		case vm.Phase == fleet.Rebooting && age >= t.cfg.RebootTimeout && !t.leaving(vm.ID) && t.idle(vm):
			t.fail(vm, RuleStuck, fmt.Sprintf("the reboot took longer than %s", t.cfg.RebootTimeout))
		}
	}
}

// sick takes out VMs that at least half of the entries have ejected.
func (t *turn) sick() {
	for _, vm := range t.vms {
		n := t.obs.Reports[vm.ID].Ejected
		if vm.Phase != fleet.Active || n == 0 || 2*n < t.obs.Reporting || !t.settled(vm) || !t.idle(vm) {
			continue
		}
		evidence := fmt.Sprintf("%d of %d reporting entries have ejected it for 30 s", n, t.obs.Reporting)
		if why := t.holdSick(vm); why != "" {
			t.note(vm.ID, vm.Pool, RuleSick, evidence+", but "+why)
			continue
		}
		if t.mem.failures(vm.ID, t.now, t.cfg.FlapWindow)+1 >= t.cfg.FlapCount {
			t.fail(vm, RuleSick, evidence)
			continue
		}
		t.drain(vm, RuleSick, evidence, fleet.Drain{Purpose: fleet.PurposeReboot})
	}
}

func (t *turn) holdSick(vm *fleet.VM) string {
	switch {
	case t.isolated():
		return t.isolation()
	case !t.listFresh():
		return "the platform cannot be asked for a reboot: its list is stale"
	}
	out := 0
	for _, id := range t.st.PoolVMs(vm.Pool) {
		o := t.st.VMs[id]
		s := t.mem.sent[id]
		if o.Phase != fleet.Active && drainRule(o) == RuleSick || s.rule == RuleSick && t.mem.busy(id, o.Gen, t.now) {
			out++
		}
	}
	if out >= t.cfg.MaxSick {
		return fmt.Sprintf("%d VMs of the pool are out for the same cause, the limit", out)
	}
	if ok, why := t.canDrain(vm); !ok {
		return why
	}
	return ""
}

// giveBack returns VMs that are up again to their pools.
func (t *turn) giveBack() {
	for _, vm := range t.vms {
		if vm.Phase == fleet.Active || t.leaving(vm.ID) || t.gone(vm.ID) || !t.idle(vm) {
			continue
		}
		switch vm.Phase {
		case fleet.Failed:
			t.giveBackFailed(vm)
		case fleet.Unknown:
			if t.up(vm, t.cfg.ReadyFor) {
				t.activate(vm, RuleReturn, "answers again")
			}
		case fleet.Rebooting:
			if t.rebooted(vm) && t.up(vm, t.cfg.ReadyFor) {
				t.activate(vm, RuleReturn, "rebooted and answers")
			}
		case fleet.Drained:
			t.giveBackDrained(vm)
		default:
		}
	}
}

func (t *turn) giveBackFailed(vm *fleet.VM) {
	if left := t.cfg.FlapHold - t.mem.age(vm, t.now); lastRule(vm, fleet.KindFail) == RuleFlap && left > 0 {
		t.note(vm.ID, vm.Pool, RuleFlap, fmt.Sprintf("held out after repeated failures, for another %s", left.Round(time.Minute)))
		return
	}
	if t.up(vm, t.cfg.StableFor) {
		t.activate(vm, RuleReturn, fmt.Sprintf("has answered for %s after its failure", t.cfg.StableFor))
	}
}

func (t *turn) giveBackDrained(vm *fleet.VM) {
	_, listed := t.obs.List.VMs[vm.ID]
	switch vm.Purpose {
	case fleet.PurposeLeave:
		if listed && t.listFresh() && t.up(vm, t.cfg.StableFor) {
			t.activate(vm, RuleReturn, "the platform no longer takes the VM away")
		}
	case fleet.PurposeReboot:
		if w := t.st.Waves[vm.Wave]; w != nil && (w.Phase == fleet.Stopped || w.Phase == fleet.Aborted) {
			t.activate(vm, RuleReturn, fmt.Sprintf("its wave %q is %s", w.ID, w.Phase))
		} else if drainRule(vm) == RuleObserve && !t.misplaced(vm) && t.up(vm, t.cfg.ReadyFor) {
			t.activate(vm, RuleReturn, "answers at its new address")
		}
	default:
	}
}

// misplaced reports whether the list has another address or region of the VM.
func (t *turn) misplaced(vm *fleet.VM) bool {
	l, ok := t.obs.List.VMs[vm.ID]
	return ok && (l.Addr != vm.Addr || l.Region != vm.Region)
}

// rebooted reports whether the VM was booted since its Reboot record and has answered after that.
func (t *turn) rebooted(vm *fleet.VM) bool {
	s := t.mem.sights[vm.ID]
	return s != nil && !s.bootedAt.IsZero() && !t.obs.Probes[vm.ID].Before(s.bootedAt)
}

// reboot starts the reboots of drained VMs and asks the platform for those not seen yet.
func (t *turn) reboot() {
	for _, vm := range t.vms {
		l, listed := t.obs.List.VMs[vm.ID]
		if t.leaving(vm.ID) || !listed {
			continue
		}
		switch {
		case vm.Phase == fleet.Rebooting:
			if t.idle(vm) {
				t.askReboot(vm, l)
			}
		case vm.Phase != fleet.Drained || vm.Purpose != fleet.PurposeReboot || drainRule(vm) == RuleObserve || !t.idle(vm):
		case !t.listFresh():
			t.note(vm.ID, vm.Pool, RuleWave, "drained for a reboot, but the platform's list is stale")
		default:
			t.emitVM(vm, fleet.Record{
				Kind: fleet.KindReboot, Rule: drainRule(vm), Reason: "drained; no entry has a request on it",
				Reboot: &fleet.Reboot{VM: vm.ID, Gen: vm.Gen, Boots: l.Boots},
			})
		}
	}
}

// askReboot repeats the request after a while. A planner that took over with the VM already Rebooting
// cannot know whether its predecessor asked: it waits for a list from after any such request.
func (t *turn) askReboot(vm *fleet.VM, l ListedVM) {
	s := t.mem.sights[vm.ID]
	if l.Rebooting || !s.bootedAt.IsZero() {
		return
	}
	last, asked := t.mem.asked[vm.ID]
	switch {
	case asked && t.now.Sub(last) < t.cfg.RebootRepeat:
		return
	case !asked && s.inherited && !t.obs.List.AsOf.After(s.at.Add(t.cfg.TakeoverWait)):
		return
	case (asked || s.inherited) && !t.listFresh():
		return
	}
	t.mem.asked[vm.ID] = t.now
	t.actions.Reboots = append(t.actions.Reboots, vm.ID)
}
