//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["schedule"] = playSchedule }

// playSchedule hands in a job of three times, each with a wide step and a gang after it. With trouble the wide step is a large one of
// 2,000 work items; without, one of 200 that asks for as much.
func playSchedule(w *world, trouble bool) (bool, error) {
	services := []service{{Name: "labeldesk"}, {Name: "mostrador", Spare: true}}
	r := route{Name: "label-proof", Host: "pule25.example", Prefix: "/label-proof/", Service: "labeldesk"}
	w.configure(services, []route{r})
	for i := range 8 {
		m := &machine{id: fmt.Sprintf("m-%02d", i), pool: "labeldesk", cpu: 32_000, mem: 65_536, label: "a", rack: fmt.Sprintf("r1-%d", i/4)}
		if err := w.addMachine(m); err != nil {
			return false, err
		}
	}
	if err := w.startEntries(6, false); err != nil {
		return false, err
	}
	if err := w.waitReady("#machines", "labeldesk"); err != nil {
		return false, err
	}
	wide := step{Count: 200, CPU: 500, MemMB: 100, EstimateMs: 300}
	if trouble {
		wide = step{Count: 2000, CPU: 50, MemMB: 10, EstimateMs: 300}
	}
	gang := step{Count: 4, CPU: 1000, MemMB: 100, EstimateMs: 500, Gang: true, After: []int{0}}
	const times, intervalMs = 3, 4000
	initial := time.Now().Add(time.Second)
	j, ok := w.submitTimes(r, 1, []step{wide, gang}, schedule{Times: times, InitialMs: initial.UnixMilli(), IntervalMs: intervalMs}, w.entries)
	if !ok {
		return false, errNotRun
	}
	state := ""
	due := initial.Add((times - 1) * intervalMs * time.Millisecond)
	for until := due.Add(finishMs * time.Millisecond); time.Now().Before(until) && state != "complete"; time.Sleep(time.Second) {
		state = w.state(r, j.ID, w.entries[0])
	}
	var idleSince time.Time
	for until := time.Now().Add(12 * time.Second); time.Now().Before(until) && state != "complete"; time.Sleep(100 * time.Millisecond) {
		w.mu.Lock()
		running, free, used, all := 0, 0, int64(0), int64(0)
		for _, m := range w.machines {
			if m.worker == nil || m.pool != "labeldesk" {
				continue
			}
			all += m.cpu
			left := m.cpu
			for _, x := range m.worker.runs {
				running++
				left -= x.step.CPU
			}
			used += m.cpu - left
			if left >= wide.CPU {
				free++
			}
		}
		done := w.ends["done"]
		w.mu.Unlock()
		switch {
		case running > 0 || free < 2 || 2*used >= all:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		case time.Since(idleSince) > 3500*time.Millisecond:
			state = w.state(r, j.ID, w.entries[0])
			w.mu.Lock()
			w.breaks("LOST: job %s is %s %.1f s after its last time was due; %d of %d work items have ended done, none has run for 3.5 s, and %d of %d thousandths of a core are in use",
				j.ID, state, time.Since(due).Seconds(), done, times*(wide.Count+gang.Count), used, all)
			w.mu.Unlock()
			return true, nil
		}
	}
	w.note("the job is %s", state)
	return w.isBroken(), nil
}
