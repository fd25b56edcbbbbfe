package admin

import (
	"fmt"
	"net/http"
	"slices"

	"sassafrasvalve/core/fleet"
)

func (s *Server) getVM(_ *http.Request, id string) (any, error) {
	var out VMDetail
	var found bool
	s.cfg.State.View(func(st *fleet.State) {
		var e fleet.Explanation
		if e, found = st.Explain(id); found {
			out = VMDetail{
				Through: st.Offset, VM: e.VM, Waiting: e.Waiting, CanDrain: e.CanDrain, Holds: holds(st, e),
			}
		}
	})
	if !found {
		return nil, refuse(http.StatusNotFound, "VM %q does not exist", id)
	}
	return out, nil
}

// holds returns what a VM waits for, or why it cannot be drained.
func holds(st *fleet.State, e fleet.Explanation) []string {
	vm := e.VM
	switch vm.Phase {
	case fleet.Draining:
		return drainingHolds(st, e.Waiting)
	case fleet.Drained:
		return append(drainedHolds(st, vm), waveHolds(st, vm)...)
	case fleet.Rebooting:
		return append([]string{"waits until it serves again after its reboot"}, waveHolds(st, vm)...)
	case fleet.Failed, fleet.Unknown:
		out := fmt.Sprintf("%s: %s; it stays out until a rule or an operator drains or activates it", vm.Phase, lastReason(vm))
		return append([]string{out}, budgetHolds(e)...)
	case fleet.Active:
		return append(budgetHolds(e), pendingHolds(st, vm)...)
	}
	return nil
}

func budgetHolds(e fleet.Explanation) []string {
	if e.CanDrain {
		return nil
	}
	return []string{"cannot be drained: " + e.Why}
}

// drainingHolds names the entries that may still have requests on the VM.
func drainingHolds(st *fleet.State, waiting []string) []string {
	out := make([]string, 0, len(waiting))
	for _, id := range waiting {
		text := fmt.Sprintf("waits for the acknowledgement of member %s", id)
		switch m := st.Members[id]; {
		case m == nil:
		case m.Phase == fleet.MemberEvicted:
			text += fmt.Sprintf(" or its fence: it was evicted at offset %d", m.Evicted)
		case m.Through < 0:
			text += ", which has acknowledged nothing yet"
		default:
			text += fmt.Sprintf(", which has acknowledged up to offset %d", m.Through)
		}
		out = append(out, text)
	}
	return out
}

// drainedHolds says who acts next on a drained VM and what stands against it.
func drainedHolds(st *fleet.State, vm fleet.VM) []string {
	switch vm.Purpose {
	case fleet.PurposeMove:
		if err := st.CheckAssign(fleet.Assign{VM: vm.ID, Gen: vm.Gen, To: vm.To}); err != nil {
			return []string{fmt.Sprintf("cannot enter pool %q: %v", vm.To, err)}
		}
		return []string{fmt.Sprintf("waits for the controller to put it into pool %q", vm.To)}
	case fleet.PurposeReboot:
		return []string{"waits for the controller to reboot it"}
	case fleet.PurposeHold:
		return []string{"held out by an operator until it is activated"}
	case fleet.PurposeLeave:
		return []string{"waits until the platform takes it away"}
	case fleet.PurposeUnwanted:
		return []string{"its pool has more VMs than its size; it waits for a pool that needs it"}
	}
	return nil
}

// waveHolds says that the wave which took the VM out does not go on.
func waveHolds(st *fleet.State, vm fleet.VM) []string {
	w := st.Waves[vm.Wave]
	if w == nil || w.Phase == fleet.Running {
		return nil
	}
	return []string{waveText(w)}
}

// pendingHolds lists the waves that are still to take the VM out.
func pendingHolds(st *fleet.State, vm fleet.VM) []string {
	var out []string
	for _, w := range st.Waves {
		if w.Phase != fleet.Aborted && w.Phase != fleet.Done && slices.Contains(w.Pending, vm.ID) {
			out = append(out, "pending in "+waveText(w))
		}
	}
	slices.Sort(out)
	return out
}

func waveText(w *fleet.Wave) string {
	text := fmt.Sprintf("wave %q is %s", w.ID, w.Phase)
	if w.Reason != "" {
		text += ": " + w.Reason
	}
	return text
}

// lastReason returns the reason of the last change of a VM.
func lastReason(vm fleet.VM) string {
	if n := len(vm.History); n > 0 && vm.History[n-1].Reason != "" {
		return vm.History[n-1].Reason
	}
	return "no reason was given"
}
