package plat

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"sassafrasvalve/core/pools"
	"sassafrasvalve/fake/pool"
)

// orderBody is the body of an order to a VM or of a poll.
type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fence"`
	Ref      string `json:"checkpoint_ref"`
	Acked    int64  `json:"ack_seq"`
	WaitMs   int64  `json:"wait_ms"`
}

// reasons are the reasons of refusals in replies.
var reasons = map[pools.ReplyKind]string{
	pools.Fenced: "fence", pools.StaleRun: "old", pools.LeaseExpired: "late", pools.NoCapacity: "room",
}

// bodyFor decodes the body of a call to a VM. If the call is malformed or meant for another VM, it writes the error
// status and returns false.
func bodyFor(id string, w http.ResponseWriter, r *http.Request) (b orderBody, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return b, false
	}
	if r.Header.Get("Expect-Instance") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return b, false
	}
	return b, true
}

// order executes an order on the VM with an ID.
func (p *Platform) order(m *machine, id string, kind pools.OrderKind, w http.ResponseWriter, r *http.Request) {
	b, ok := bodyFor(id, w, r)
	if !ok {
		return
	}
	o := pools.Order{Kind: kind, Item: b.Task, Run: b.Run, Spec: b.Spec, Ref: b.Ref, DeadlineMs: b.Deadline, Fence: b.Fence}
	p.mu.Lock()
	a := arrival{atMs: p.nowMs()}
	if kind == pools.Start && p.delayStart(m, id, o) {
		p.mu.Unlock()
		hang(r)
	}
	vm := p.lifetime(m, id)
	if vm == nil {
		p.mu.Unlock()
		panic(http.ErrAbortHandler) // the VM ended while the call waited, and carries nothing out
	}
	res := p.do(vm, o, a)
	p.mu.Unlock()
	if reason, refused := reasons[res.Kind]; refused {
		writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": res.ClockMs, "reason": reason})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": res.ClockMs})
}

// exists reports whether the lifetime of a VM lasts. The caller holds mu.
func (p *Platform) exists(vm *pool.VM) bool {
	return vm != nil && slices.ContainsFunc(p.machines, func(m *machine) bool { return m.vm == vm })
}

// poll returns the running and ended runs of the VM with an ID. It waits up to the requested time for an end to report.
func (p *Platform) poll(m *machine, id string, w http.ResponseWriter, r *http.Request) {
	b, ok := bodyFor(id, w, r)
	if !ok {
		return
	}
	until := time.Now().Add(time.Duration(b.WaitMs) * time.Millisecond)
	p.mu.Lock()
	// The lease is renewed when the call arrives; the lists are as of the reply.
	call := pools.PollRequest{Fence: b.Fence, AckedSeq: b.Acked, LeaseEndMs: b.Deadline}
	var l pools.PollReply
	vm := p.lifetime(m, id)
	for p.exists(vm) {
		l = vm.Poll(call, p.nowMs())
		if l.Kind == pools.Done {
			p.polled[vm] = b.Fence
		}
		if l.Kind != pools.Done || vm.Pending(b.Acked) || !time.Now().Before(until) || r.Context().Err() != nil {
			break
		}
		p.mu.Unlock()
		time.Sleep(tickMs * time.Millisecond)
		p.mu.Lock()
		call.LeaseEndMs = 0
	}
	exists := p.exists(vm)
	p.mu.Unlock()
	if !exists {
		panic(http.ErrAbortHandler) // the VM ended while the call waited
	}
	if l.Kind != pools.Done {
		writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": l.ClockMs, "reason": reasons[l.Kind]})
		return
	}
	running, ended := [][]any{}, [][]any{}
	for _, row := range l.Running {
		running = append(running, []any{row.Item, row.Run, row.Ref, row.ProgressPercent, row.Load})
	}
	for _, row := range l.Ended {
		ended = append(ended, []any{row.Seq, row.Item, row.Run, endNames[row.Kind], row.Ref})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": l.ClockMs, "born": l.StartedAtMs, "running": running, "ended_runs": ended})
}

// endNames are the names of the kinds of ends in replies.
var endNames = map[pools.EndKind]string{pools.EndDone: "done", pools.EndFailed: "failed", pools.EndStopped: "stopped"}

// listMachines returns the list of machines.
func (p *Platform) listMachines(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	machines := []map[string]any{}
	for _, m := range p.machines {
		row := map[string]any{"machine": m.id, "pool": m.pool, "state": "up", "id": ""}
		switch {
		case m.movingUntilMs > 0:
			row["state"] = "moving"
		case m.downUntilMs > 0:
			row["state"] = "down"
		case m.vm != nil:
			row["id"] = m.vm.ID
		case m.restarting != nil:
			row["id"] = m.restarting.ID
		}
		machines = append(machines, row)
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
}

// moveMachine moves a machine to another pool. It refuses an order with an old fence number.
func (p *Platform) moveMachine(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence := parseInt(r.Header.Get("Fencing-Token"))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if m.id != b.Machine {
			continue
		}
		switch {
		case fence >= m.fence:
		case p.cfg.UncheckedFences:
			p.violations = append(p.violations, fmt.Sprintf("ONE %s: fence number %d after %d", m.id, fence, m.fence))
		default:
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		m.fence = max(m.fence, fence)
		if m.downUntilMs > 0 || m.restarting != nil {
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
			return
		}
		if m.pool != b.Pool {
			p.removeVM(m)
			m.pool = b.Pool
			if b.Pool != Off {
				m.movingUntilMs = p.nowMs() + moveMs
			}
		}
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusBadRequest)
}

// removeVM ends a machine's VM and all runs on it. The caller holds mu.
func (p *Platform) removeVM(m *machine) {
	if m.vm == nil {
		return
	}
	p.endRuns(m.vm)
	p.Log.Put("keyed.servers", m.vm.ID, nil)
	_ = m.server.Close() // the VM no longer exists
	m.vm, m.crashAtMs = nil, 0
}

// Crash ends the VM of machine i without notice and boots the next one. It does nothing for a machine that is off
// or moving, because such a machine has no VM.
func (p *Platform) Crash(i int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machines[i]
	if m.vm == nil {
		return nil
	}
	p.countCrash(m.vm)
	p.removeVM(m)
	return p.boot(m)
}
