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
				Through: st.Offset, VM: e.VM, Waiting: e.Waiting, CanDrain: e.CanDrain, Holds: holdReasons(st, e),
			}
		}
	})
	if !found {
		return nil, refuse(http.StatusNotFound, "VM %q does not exist", id)
	}
	return out, nil
}

// holdReasons returns what a VM waits for, or why it cannot be drained.
func holdReasons(st *fleet.State, e fleet.Explanation) []string {
	vm := e.VM
	switch vm.Phase {
	case fleet.Draining:
		return drainingReasons(st, e.Waiting)
	case fleet.Drained:
		return append(drainedReasons(st, vm), waveReasons(st, vm)...)
	case fleet.Rebooting:
		return append([]string{"waits until it serves again after its reboot"}, waveReasons(st, vm)...)
	case fleet.Failed, fleet.Unknown:
		out := fmt.Sprintf("%s: %s; it stays out until a rule or an operator drains or activates it", vm.Phase, lastReason(vm))
		return append([]string{out}, budgetReasons(e)...)
	case fleet.Active:
		return append(budgetReasons(e), pendingWaveReasons(st, vm)...)
	}
	return nil
}

// budgetReasons returns why the VM cannot be drained, nil if it can.
func budgetReasons(e fleet.Explanation) []string {
	if e.CanDrain {
		return nil
	}
	return []string{"cannot be drained: " + e.Why}
}

// drainingReasons names the members whose acknowledgement a draining VM waits for. They may still have requests on it.
func drainingReasons(st *fleet.State, waiting []string) []string {
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

// drainedReasons returns the next step for a drained VM, and what prevents it.
func drainedReasons(st *fleet.State, vm fleet.VM) []string {
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

// waveReasons describes the wave that took the VM out, if that wave is not running.
func waveReasons(st *fleet.State, vm fleet.VM) []string {
	w := st.Waves[vm.Wave]
	if w == nil || w.Phase == fleet.Running {
		return nil
	}
	return []string{describeWave(w)}
}

// pendingWaveReasons lists the waves that will still take the VM out.
func pendingWaveReasons(st *fleet.State, vm fleet.VM) []string {
	var out []string
	for _, w := range st.Waves {
		if w.Phase != fleet.Aborted && w.Phase != fleet.Done && slices.Contains(w.Pending, vm.ID) {
			out = append(out, "pending in "+describeWave(w))
		}
	}
	slices.Sort(out)
	return out
}

// describeWave returns the ID and phase of a wave and the reason for that phase.
func describeWave(w *fleet.Wave) string {
	text := fmt.Sprintf("wave %q is %s", w.ID, w.Phase)
	if w.Reason != "" {
		text += ": " + w.Reason
	}
	return text
}

// lastReason returns the reason for the last change of a VM.
func lastReason(vm fleet.VM) string {
	if n := len(vm.History); n > 0 && vm.History[n-1].Reason != "" {
		return vm.History[n-1].Reason
	}
	return "no reason was given"
}
