package plat

import (
	"encoding/json"
	"net/http"
	"time"

	"sassafrasvalve/core/pools"
	"sassafrasvalve/fake/pool"
)

// orderBody is the body of an order to a VM.
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

// reasons are the words for refusals.
var reasons = map[pools.ReplyKind]string{
	pools.Fenced: "fence", pools.StaleRun: "old", pools.LeaseExpired: "late", pools.NoCapacity: "room",
}

// bodyFor decodes a call to a VM. It answers a call that is malformed or meant for another VM, and returns false.
func bodyFor(vm *pool.VM, w http.ResponseWriter, r *http.Request) (b orderBody, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return b, false
	}
	if r.Header.Get("Expect-Instance") != vm.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return b, false
	}
	return b, true
}

// order carries an order to a VM out.
func (p *Platform) order(vm *pool.VM, kind pools.OrderKind, w http.ResponseWriter, r *http.Request) {
	b, ok := bodyFor(vm, w, r)
	if !ok {
		return
	}
	p.mu.Lock()
	res := vm.Do(pools.Order{Kind: kind, Item: b.Task, Run: b.Run, Spec: b.Spec, Ref: b.Ref, LeaseEndMs: b.Deadline, Fence: b.Fence}, p.now())
	p.mu.Unlock()
	if reason, refused := reasons[res.Kind]; refused {
		reply(w, http.StatusConflict, map[string]any{"clock_ms": res.ClockMs, "reason": reason})
		return
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": res.ClockMs})
}

// look answers what a VM runs, and waits for an end if it is asked to.
func (p *Platform) look(vm *pool.VM, w http.ResponseWriter, r *http.Request) {
	b, ok := bodyFor(vm, w, r)
	if !ok {
		return
	}
	until := time.Now().Add(time.Duration(b.WaitMs) * time.Millisecond)
	p.mu.Lock()
	// The lease counts from the arrival of the call, the lists from its answer.
	l := vm.Poll(pools.PollRequest{Fence: b.Fence, AckedSeq: b.Acked, LeaseEndMs: b.Deadline}, p.now())
	for l.Kind == pools.Done && !vm.Pending(b.Acked) && time.Now().Before(until) && r.Context().Err() == nil {
		p.mu.Unlock()
		time.Sleep(advanceMs * time.Millisecond)
		p.mu.Lock()
		l = vm.Poll(pools.PollRequest{Fence: b.Fence, AckedSeq: b.Acked}, p.now())
	}
	p.mu.Unlock()
	if l.Kind != pools.Done {
		reply(w, http.StatusConflict, map[string]any{"clock_ms": l.ClockMs, "reason": reasons[l.Kind]})
		return
	}
	running, ended := [][]any{}, [][]any{}
	for _, row := range l.Running {
		running = append(running, []any{row.Item, row.Run, row.Ref, row.Percent, row.Load})
	}
	for _, row := range l.Ended {
		ended = append(ended, []any{row.Seq, row.Item, row.Run, endWords[row.Kind], row.Ref})
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": l.ClockMs, "born": l.StartedAtMs, "running": running, "ended_runs": ended})
}

// endWords are the words for ends.
var endWords = map[pools.EndKind]string{pools.EndDone: "done", pools.EndFailed: "failed", pools.EndStopped: "stopped"}

// list answers the list of machines.
func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	machines := []map[string]any{}
	for _, m := range p.machines {
		row := map[string]any{"machine": m.id, "pool": m.pool, "state": "up", "id": ""}
		switch {
		case m.backAt > 0:
			row["state"] = "moving"
		case m.vm != nil:
			row["id"] = m.vm.ID
		}
		machines = append(machines, row)
	}
	reply(w, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
}

// move gives a machine to another pool.
func (p *Platform) move(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence := number(r.Header.Get("Fencing-Token"))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if m.id != b.Machine {
			continue
		}
		if fence < m.fence {
			reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		m.fence = fence
		if m.pool != b.Pool {
			p.takeAway(m)
			m.pool = b.Pool
			if b.Pool != Off {
				m.backAt = p.now() + moveMs
			}
		}
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusBadRequest)
}

// takeAway ends a machine's VM and all that runs there. mu is held.
func (p *Platform) takeAway(m *machine) {
	if m.vm == nil {
		return
	}
	for item := range m.vm.Runs {
		delete(p.running, item)
	}
	p.Log.Put("keyed.servers", m.vm.ID, nil)
	_ = m.server.Close() // the VM is gone
	m.vm = nil
}

// Crash ends the VM of a machine without a word, and starts the next one. A machine that is switched off or
// moving has no VM to crash.
func (p *Platform) Crash(i int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machines[i]
	if m.vm == nil {
		return nil
	}
	p.takeAway(m)
	return p.boot(m)
}
