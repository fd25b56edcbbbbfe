//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["waiting"] = playWaiting }

// playWaiting fills a queue, sends it to another service by a new configuration and, with trouble, kills the process that owns the
// jobs which wait. It asks all other entries for the queue's length.
func playWaiting(w *world, trouble bool) (bool, error) {
	services := []service{{Name: "labeldesk"}, {Name: "sheetworks"}, {Name: "calendario"}, {Name: "prensa"}}
	r := route{Name: "label-proof", Host: "pule25.example", Prefix: "/label-proof/", Service: "labeldesk"}
	w.configure(services, []route{r})
	for i := range 8 {
		m := &machine{id: fmt.Sprintf("m-%02d", i), pool: services[i/2].Name, cpu: 32_000, mem: 65_536, label: "a", rack: "r1-1"}
		if err := w.addMachine(m); err != nil {
			return false, err
		}
	}
	if err := w.startEntries(6, false); err != nil {
		return false, err
	}
	if err := w.waitReady("#machines", "labeldesk", "sheetworks", "calendario", "prensa"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	// The queue moves to a service whose jobs another process owns.
	target := ""
	for _, s := range services[1:] {
		if target == "" && w.ownerOf(s.Name) != w.ownerOf("labeldesk") {
			target = s.Name
		}
	}
	if target == "" {
		return false, fmt.Errorf("%w: one process owns all shards", errNotRun)
	}
	var accepted []*job
	for n := range 24 {
		j, ok := w.submit(r, n, []step{{Count: 1, CPU: 32_000, MemMB: 1000, EstimateMs: 10_000}}, w.entries)
		if !ok {
			return false, errNotRun
		}
		accepted = append(accepted, j)
	}
	moved := r
	moved.Service = target
	w.configure(services, []route{moved})
	time.Sleep(7 * time.Second)
	old, next := w.ownerOf("labeldesk"), w.ownerOf(target)
	w.note("owner of the old service: %s, of the new one: %s", old.name, next.name)
	if old == next {
		return false, fmt.Errorf("%w: one process owns both shards", errNotRun)
	}
	if trouble {
		w.note("SIGKILL to %s", old.name)
		old.kill()
	}
	var wg sync.WaitGroup
	for _, e := range w.alive() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
				w.askWaiting(e, r, accepted)
			}
		}()
	}
	wg.Wait()
	return w.isBroken(), nil
}

// askWaiting asks an entry for a queue's length and compares the answer with the jobs that wait for sure: those that were accepted
// over visible_ms and 2 s before the call and have not begun when it is answered.
func (w *world) askWaiting(e *entry, r route, accepted []*job) {
	sentAt := time.Now()
	status, b := w.call(e, http.MethodGet, r.Host, r.Prefix, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	wait := 0
	for _, j := range accepted {
		if sentAt.Sub(j.AcceptedAt) > (visibleMs+2000)*time.Millisecond && j.StartedAt.IsZero() {
			wait++
		}
	}
	w.note("client: GET %s at %s -> %d %s; %d jobs wait", r.Prefix, e.name, status, b, wait)
	var a struct{ Waiting *int }
	if status != http.StatusOK || json.Unmarshal(b, &a) != nil || a.Waiting == nil {
		return
	}
	if 2**a.Waiting < wait {
		w.breaks("MIXED: %s gives %d as waiting, but %d jobs that were accepted long before have not begun", e.name, *a.Waiting, wait)
	}
}
