//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["gang"] = playGang }

// playGang hands a gang in. With trouble it is a large job: 300 work items of 0.1 core; without, it is one of 24 that asks for as much.
func playGang(w *world, trouble bool) (bool, error) {
	services := []service{{Name: "labeldesk"}}
	r := route{Name: "label-proof", Host: "pule25.example", Prefix: "/label-proof/", Service: "labeldesk"}
	w.configure(services, []route{r})
	for i := range 3 {
		if err := w.addMachine(&machine{id: fmt.Sprintf("m-%02d", i), pool: "labeldesk", cpu: 32_000, mem: 65_536, label: "a", rack: "r1-1"}); err != nil {
			return false, err
		}
	}
	if err := w.startEntries(6, false); err != nil {
		return false, err
	}
	if err := w.waitReady("#machines", "labeldesk"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	s := step{Count: 24, CPU: 1250, MemMB: 1000, EstimateMs: 5000, Gang: true}
	if trouble {
		s = step{Count: 300, CPU: 100, MemMB: 80, EstimateMs: 5000, Gang: true}
	}
	j, ok := w.submit(r, 1, []step{s}, w.entries)
	if !ok {
		return false, errNotRun
	}
	state := ""
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until) && state != "complete"; time.Sleep(500 * time.Millisecond) {
		state = w.state(r, j.ID, w.entries[0])
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note("the job is %s; ends by how: %v", state, w.ends)
	if n := w.ends["alone"]; n > 0 {
		w.breaks("GANG: %d runs ended alone; nothing was cancelled, changed, cut, killed or slow", n)
	}
	return len(w.broken) > 0, nil
}
