//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["room"] = playRoom }

// demandInterval is the time between two jobs in the queue's turn.
const demandInterval = 250 * time.Millisecond

// playRoom hands in a job with one work item of 30 cores beside a lasting job that uses 4 cores of each of four workers: with trouble
// after the queue's demand has fallen for some seconds, without while it lasts.
func playRoom(w *world, trouble bool) (bool, error) {
	services := []service{{Name: "labeldesk"}, {Name: "sheetworks"}}
	r := route{Name: "label-proof", Host: "pule25.example", Prefix: "/label-proof/", Service: "labeldesk"}
	w.configure(services, []route{r, {Name: "sheet-render", Host: "pule25.example", Prefix: "/sheet-render/", Service: "sheetworks"}})
	for i := range 10 {
		m := &machine{id: fmt.Sprintf("m-%02d", i), pool: "labeldesk", cpu: 32_000, mem: 65_536, label: "a", rack: fmt.Sprintf("r1-%d", i/4)}
		if i >= 8 {
			m.pool = "sheetworks"
		}
		if err := w.addMachine(m); err != nil {
			return false, err
		}
	}
	if err := w.startEntries(6, false); err != nil {
		return false, err
	}
	if err := w.waitReady("#machines", "labeldesk", "sheetworks"); err != nil {
		return false, err
	}
	lasting, ok := w.submit(r, 1, []step{{Count: 4, CPU: 4000, MemMB: 1000, EstimateMs: 1000, Persistent: true, MaxPer: 1, Budget: 1}}, w.entries)
	if !ok {
		return false, errNotRun
	}
	// The demand: jobs of 8 work items.
	traffic := func(interval, lasts time.Duration) {
		for n, start := 0, time.Now(); time.Since(start) < lasts; n++ {
			go w.submit(r, n, []step{{Count: 8, CPU: 5000, MemMB: 1000, EstimateMs: 900}}, w.entries)
			time.Sleep(interval)
		}
	}
	traffic(demandInterval, 6*time.Second)
	if trouble {
		w.note("the demand falls to a twentieth")
		traffic(20*demandInterval, 10*time.Second)
	}
	j, ok := w.submit(r, 7, []step{{Count: 1, CPU: 30_000, MemMB: 1000, EstimateMs: 1000}}, w.entries)
	if !ok {
		return false, errNotRun
	}
	if !trouble {
		traffic(demandInterval, 6*time.Second)
	}
	// Traffic ends here, and the rule asks finish_s later.
	time.Sleep(finishMs * time.Millisecond)
	w.watchRoom(r, j, lasting)
	return w.isBroken(), nil
}

// watchRoom looks for 3 s in which a job of one work item has nothing running while the turn of the item has come, at least two workers
// of its service have room for it, and under half of the service's capacity is in use.
func (w *world) watchRoom(r route, j, lasting *job) {
	var since time.Time
	for until := time.Now().Add(12 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		w.mu.Lock()
		var used, all int64
		roomy := 0
		for _, m := range w.machines {
			if m.pool != "labeldesk" || m.worker == nil {
				continue
			}
			free := m.cpu
			for _, x := range m.worker.runs {
				free -= x.step.CPU
			}
			all, used = all+m.cpu, used+m.cpu-free
			if free >= j.Steps[0].CPU {
				roomy++
			}
		}
		begun := !j.StartedAt.IsZero()
		w.mu.Unlock()
		switch {
		case begun:
			w.note("the job began %.1f s after it was accepted", j.StartedAt.Sub(j.AcceptedAt).Seconds())
			w.state(r, j.ID, w.entries[0])
			return
		case roomy < 2 || 2*used >= all:
			since = time.Time{}
			continue
		case since.IsZero():
			since = time.Now()
		}
		if time.Since(since) > 3500*time.Millisecond {
			state := w.state(r, j.ID, w.entries[0])
			w.mu.Lock()
			w.breaks("LOST: job %s is %s %.1f s after it was accepted; for 3.5 s nothing of it has run, %d workers of its service have room for its work item, and %d of %d thousandths of a core are in use",
				j.ID, state, time.Since(j.AcceptedAt).Seconds(), roomy, used, all)
			w.mu.Unlock()
			w.call(w.entries[0], http.MethodDelete, r.Host, r.Prefix+lasting.ID, nil)
			return
		}
	}
}
