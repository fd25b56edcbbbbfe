//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// cloudHandler serves the list of machines and the orders about them.
func (w *world) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", w.listMachines)
	mux.HandleFunc("POST /machine-move", w.moveMachine)
	return mux
}

func (w *world) listMachines(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rows := []map[string]any{}
	for _, m := range w.machines {
		row := map[string]any{
			"machine": m.id, "pool": m.pool, "state": m.state, "zone": "rio-plata-a", "labels": []string{m.label, m.rack},
			"capacity": map[string]any{"cpu": m.cpu, "mem_mb": m.mem, "gpu": m.gpu}, "id": "",
		}
		if m.worker != nil {
			row["id"] = m.worker.id
		}
		rows = append(rows, row)
	}
	answer(rw, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

// moveMachine moves a machine to another pool. Without a check of fences it carries out an order with any fence number, and notes one
// that is lower than an earlier one for the machine.
func (w *world) moveMachine(rw http.ResponseWriter, r *http.Request) {
	var b struct{ Machine, Pool string }
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	holder := r.Header.Get("Lease-Holder")
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.id != b.Machine {
			continue
		}
		w.note("cloud: move of %s from %s to %s, holder %s, fence %d", m.id, m.pool, b.Pool, holder, fence)
		if fence < m.fence {
			if w.fenceCheck {
				answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
				return
			}
			runs := 0
			if m.worker != nil {
				runs = len(m.worker.runs)
			}
			w.breaks("ONE: order for %s (move to %s) of %s with fence %d after one of %s with fence %d; %d runs on the machine",
				m.id, b.Pool, holder, fence, m.holder, m.fence, runs)
		} else {
			m.fence, m.holder = fence, holder
		}
		if m.pool == b.Pool {
			answer(rw, http.StatusOK, map[string]any{})
			return
		}
		if m.state != "up" {
			answer(rw, http.StatusConflict, map[string]any{"reason": "busy"})
			return
		}
		w.remove(m, "its machine moves to "+b.Pool)
		m.pool = b.Pool
		if !w.isSpare(b.Pool) {
			m.state, m.backAt = "moving", time.Now().Add(moveMs*time.Millisecond)
		}
		answer(rw, http.StatusOK, map[string]any{})
		return
	}
	rw.WriteHeader(http.StatusBadRequest)
}
