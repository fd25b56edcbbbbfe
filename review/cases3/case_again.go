//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["again"] = playAgain }

// lateAfter is when the late start is carried out, after it was sent.
const lateAfter = 9 * time.Second

// playAgain leaves one start unanswered, to be carried out late. Its work item runs by a repeated start, and many others end on the same
// worker. With trouble the worker crashes once and is back under its id just before the late start is carried out.
func playAgain(w *world, trouble bool) (bool, error) {
	services := []service{{Name: "labeldesk"}, {Name: "sheetworks"}}
	r := route{Name: "label-proof", Host: "pule25.example", Prefix: "/label-proof/", Service: "labeldesk"}
	w.configure(services, []route{r, {Name: "sheet-render", Host: "pule25.example", Prefix: "/sheet-render/", Service: "sheetworks"}})
	for i := range 4 {
		m := &machine{id: fmt.Sprintf("m-%02d", i), pool: services[i/2].Name, cpu: 32_000, mem: 65_536, label: "a", rack: "r1-0"}
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
	time.Sleep(2 * time.Second)
	var late *order
	var on *worker
	var sentAt time.Time
	first := fmt.Sprintf("%016x", time.Now().UnixNano())
	w.mu.Lock()
	for _, m := range w.machines[:2] {
		v := m.worker
		v.leaveLate = func(o *order) bool {
			if late != nil || !strings.HasPrefix(o.Task, first[:4]) {
				return false
			}
			late, on, sentAt = o, v, time.Now()
			w.note("/run-start %s run %d at %s is left unanswered, to be carried out %s later", o.Task, o.Run, v.id, lateAfter)
			return true
		}
	}
	w.mu.Unlock()
	if _, ok := w.submit(r, 0, []step{{Count: 1, CPU: 500, MemMB: 100, EstimateMs: 500}}, w.entries); !ok {
		return false, errNotRun
	}
	for n := range 24 { // 960 work items
		if _, ok := w.submit(r, n, []step{{Count: 40, CPU: 500, MemMB: 100, EstimateMs: 600}}, w.entries); !ok {
			return false, errNotRun
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.mu.Lock()
	sent := late != nil
	w.mu.Unlock()
	if !sent {
		return false, fmt.Errorf("%w: no start was left unanswered", errNotRun)
	}
	const down = 800 * time.Millisecond
	time.Sleep(time.Until(sentAt.Add(lateAfter - down)))
	if trouble {
		if err := w.restart(on.m, down); err != nil {
			return false, err
		}
	} else {
		time.Sleep(down)
	}
	time.Sleep(time.Until(sentAt.Add(lateAfter + 10*time.Millisecond)))
	w.mu.Lock()
	if v := on.m.worker; v != nil {
		status, reason := 409, "fence"
		if late.Fence >= v.fence {
			v.fence = late.Fence
			status, reason = v.start(late)
		}
		w.note("%s carries the late start of %s run %d out -> %d %s", v.id, late.Task, late.Run, status, reason)
	}
	w.mu.Unlock()
	time.Sleep(3 * time.Second)
	return w.isBroken(), nil
}
