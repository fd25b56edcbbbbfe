package plan

import (
	"fmt"
	"time"

	"sassafrasvalve/core/fleet"
)

func flapReason(n int, cfg Config, last string) string {
	return fmt.Sprintf("%d failures in %s, held out for %s; the last: %s", n, cfg.FlapWindow, cfg.FlapHold, last)
}

// drainRule returns the rule of the last drain of the VM, or "" for a drain by an operator.
func drainRule(vm *fleet.VM) string { return lastRule(vm, fleet.KindDrain) }

// lastRule returns the rule of the last record of the kind in the VM's history, or "" without one.
func lastRule(vm *fleet.VM, kind fleet.Kind) string {
	for i := len(vm.History) - 1; i >= 0; i-- {
		if vm.History[i].Kind == kind {
			return vm.History[i].Rule
		}
	}
	return ""
}

// failStuck fails VMs whose drain or reboot takes too long. It only reports the hold of an operator and
// the drain of a leaving VM, because a failure would delete the purpose of the drain without a benefit.
func (t *tick) failStuck() {
	for _, vm := range t.vms {
		age := t.local.age(vm, t.now)
		switch {
		case vm.Phase == fleet.Draining && age >= t.cfg.DrainTimeout:
			reason := fmt.Sprintf("the drain took longer than %s; not acknowledged by %v", t.cfg.DrainTimeout, t.st.MissingAcks(vm.ID))
			if vm.Purpose == fleet.PurposeHold || vm.Purpose == fleet.PurposeLeave {
				t.addDeferral(vm.ID, vm.Pool, RuleStuck, reason)
			} else if t.actionable(vm) {
				t.fail(vm, RuleStuck, reason)
			}
		case vm.Phase == fleet.Rebooting && age >= t.cfg.RebootTimeout && !t.leaving(vm.ID) && t.actionable(vm):
			t.fail(vm, RuleStuck, fmt.Sprintf("the reboot took longer than %s", t.cfg.RebootTimeout))
		}
	}
}

// rebootSick drains VMs that at least half of the reporting entries have ejected, in order to reboot them.
// A VM that has failed too often is failed instead.
func (t *tick) rebootSick() {
	for _, vm := range t.vms {
		n := t.obs.Reports[vm.ID].Ejected
		if vm.Phase != fleet.Active || n == 0 || 2*n < t.obs.Reporting || !t.reportsCurrent(vm) || !t.actionable(vm) {
			continue
		}
		evidence := fmt.Sprintf("%d of %d reporting entries have ejected it for 30 s", n, t.obs.Reporting)
		if why := t.sickHoldReason(vm); why != "" {
			t.addDeferral(vm.ID, vm.Pool, RuleSick, evidence+", but "+why)
			continue
		}
		if t.local.recentFailures(vm.ID, t.now, t.cfg.FlapWindow)+1 >= t.cfg.FlapCount {
			t.fail(vm, RuleSick, evidence)
			continue
		}
		t.drain(vm, RuleSick, evidence, fleet.Drain{Purpose: fleet.PurposeReboot})
	}
}

// sickHoldReason returns why a VM that entries have ejected stays in service, or "" if it may be taken out.
func (t *tick) sickHoldReason(vm *fleet.VM) string {
	switch {
	case t.isolated():
		return t.isolationReason()
	case !t.listFresh():
		return "the platform cannot be asked for a reboot: its list is stale"
	}
	out := 0 // VMs of the pool that are or will be out by RuleSick
	for _, id := range t.st.PoolVMs(vm.Pool) {
		o := t.st.VMs[id]
		s := t.local.pending[id]
		if o.Phase != fleet.Active && drainRule(o) == RuleSick || s.rule == RuleSick && t.local.hasPending(id, o.Gen, t.now) {
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

// returnVMs returns VMs that answer probes again to their pools.
func (t *tick) returnVMs() {
	for _, vm := range t.vms {
		if vm.Phase == fleet.Active || t.leaving(vm.ID) || t.unlisted(vm.ID) || !t.actionable(vm) {
			continue
		}
		switch vm.Phase {
		case fleet.Failed:
			t.returnFailed(vm)
		case fleet.Unknown:
			if t.answering(vm, t.cfg.ReadyFor) {
				t.activate(vm, RuleReturn, "answers again")
			}
		case fleet.Rebooting:
			if t.rebooted(vm) && t.answering(vm, t.cfg.ReadyFor) {
				t.activate(vm, RuleReturn, "rebooted and answers")
			}
		case fleet.Drained:
			t.returnDrained(vm)
		default:
		}
	}
}

func (t *tick) returnFailed(vm *fleet.VM) {
	if left := t.cfg.FlapHold - t.local.age(vm, t.now); lastRule(vm, fleet.KindFail) == RuleFlap && left > 0 {
		t.addDeferral(vm.ID, vm.Pool, RuleFlap, fmt.Sprintf("held out after repeated failures, for another %s", left.Round(time.Minute)))
		return
	}
	if t.answering(vm, t.cfg.StableFor) {
		t.activate(vm, RuleReturn, fmt.Sprintf("has answered for %s after its failure", t.cfg.StableFor))
	}
}

func (t *tick) returnDrained(vm *fleet.VM) {
	_, listed := t.obs.List.VMs[vm.ID]
	switch vm.Purpose {
	case fleet.PurposeLeave:
		if listed && t.listFresh() && t.answering(vm, t.cfg.StableFor) {
			t.activate(vm, RuleReturn, "the platform no longer takes the VM away")
		}
	case fleet.PurposeReboot:
		if w := t.st.Waves[vm.Wave]; w != nil && (w.Phase == fleet.Stopped || w.Phase == fleet.Aborted) {
			t.activate(vm, RuleReturn, fmt.Sprintf("its wave %q is %s", w.ID, w.Phase))
		} else if drainRule(vm) == RuleObserve && !t.misplaced(vm) && t.answering(vm, t.cfg.ReadyFor) {
			t.activate(vm, RuleReturn, "answers at its new address")
		}
	default:
	}
}

// misplaced reports whether the list has another address or region of the VM.
func (t *tick) misplaced(vm *fleet.VM) bool {
	l, ok := t.obs.List.VMs[vm.ID]
	return ok && (l.Addr != vm.Addr || l.Region != vm.Region)
}

// rebooted reports whether the VM was booted after its Reboot record and has answered a probe since then.
func (t *tick) rebooted(vm *fleet.VM) bool {
	s := t.local.vms[vm.ID]
	return s != nil && !s.rebootSeenAt.IsZero() && !t.obs.Probes[vm.ID].Before(s.rebootSeenAt)
}

// startReboots starts the reboots of drained VMs and requests the reboots that have not been seen yet.
func (t *tick) startReboots() {
	for _, vm := range t.vms {
		l, listed := t.obs.List.VMs[vm.ID]
		if t.leaving(vm.ID) || !listed {
			continue
		}
		switch {
		case vm.Phase == fleet.Rebooting:
			if t.actionable(vm) {
				t.requestReboot(vm, l)
			}
		case vm.Phase != fleet.Drained || vm.Purpose != fleet.PurposeReboot || drainRule(vm) == RuleObserve || !t.actionable(vm):
		case !t.listFresh():
			t.addDeferral(vm.ID, vm.Pool, RuleWave, "drained for a reboot, but the platform's list is stale")
		default:
			t.addVMRecord(vm, fleet.Record{
				Kind: fleet.KindReboot, Rule: drainRule(vm), Reason: "drained; no entry has a request on it",
				Reboot: &fleet.Reboot{VM: vm.ID, Gen: vm.Gen, Boots: l.Boots},
			})
		}
	}
}

// requestReboot requests the reboot of a VM from the platform and repeats the request after RebootRepeat.
// A planner that took over with the VM already Rebooting cannot know whether the earlier planner requested the reboot.
// It therefore waits for a list that is newer than any such request.
func (t *tick) requestReboot(vm *fleet.VM, l ListedVM) {
	s := t.local.vms[vm.ID]
	if l.Rebooting || !s.rebootSeenAt.IsZero() {
		return
	}
	last, requested := t.local.rebootRequestedAt[vm.ID]
	switch {
	case requested && t.now.Sub(last) < t.cfg.RebootRepeat:
		return
	case !requested && s.inherited && !t.obs.List.AsOf.After(s.genSince.Add(t.cfg.TakeoverWait)):
		return
	case (requested || s.inherited) && !t.listFresh():
		return
	}
	t.local.rebootRequestedAt[vm.ID] = t.now
	t.actions.Reboots = append(t.actions.Reboots, vm.ID)
}
