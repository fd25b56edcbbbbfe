//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["late-order"] = playLateOrder }

// cutFor is how long the machine is cut off.
const cutFor = 11 * time.Second

// playLateOrder cuts the machine controller's machine off from the platform while an order about a machine is due, and heals the cut
// after the next machine controller has ordered the same machine.
func playLateOrder(w *world, trouble bool) (bool, error) {
	services := []service{{Name: "labeldesk"}, {Name: "sheetworks"}, {Name: "mostrador", Spare: true}}
	a := route{Name: "label-proof", Host: "pule25.example", Prefix: "/label-proof/", Service: "labeldesk"}
	b := route{Name: "sheet-render", Host: "pule25.example", Prefix: "/sheet-render/", Service: "sheetworks"}
	w.configure(services, []route{a, b})
	for i := range 10 {
		m := &machine{id: fmt.Sprintf("m-%02d", i), pool: "labeldesk", cpu: 32_000, mem: 65_536, label: "a", rack: fmt.Sprintf("r1-%d", i/4)}
		if i >= 6 {
			m.pool = "sheetworks"
		}
		if i >= 8 {
			m.pool = "mostrador"
		}
		if err := w.addMachine(m); err != nil {
			return false, err
		}
	}
	if err := w.startEntries(6, true); err != nil {
		return false, err
	}
	if err := w.waitReady("#machines", "labeldesk", "sheetworks"); err != nil {
		return false, err
	}
	// A turn of the first queue: its pool takes all machines that it can get.
	for n := range 10 {
		go w.submit(a, n, []step{{Count: 8, CPU: 8000, MemMB: 1000, EstimateMs: 2000}}, w.entries)
		time.Sleep(200 * time.Millisecond)
	}
	fellAt := time.Now()
	controller, owner := w.ownerOf("#machines"), w.ownerOf("labeldesk")
	w.note("machine controller: %s, owner of labeldesk: %s", controller.name, owner.name)
	// The pool offers machines once its demand has fallen. Offered ones go to the spare pool 1.5 s later.
	for {
		if l, ok := owner.lineWith("offer vm", "labeldesk", fellAt); ok {
			time.Sleep(time.Until(l.At.Add(1350 * time.Millisecond)))
			break
		}
		if time.Since(fellAt) > 20*time.Second {
			return false, fmt.Errorf("%w: no machine was offered", errNotRun)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if trouble {
		w.note("%s is cut off from the platform", controller.name)
		controller.storeProxy.setCut(true)
		controller.cloudProxy.setCut(true)
	}
	cutAt := time.Now()
	others := make([]*entry, 0, len(w.entries))
	for _, e := range w.entries {
		if e != controller {
			others = append(others, e)
		}
	}
	// The turn of the second queue.
	time.Sleep(3 * time.Second)
	for n := 0; time.Since(cutAt) < cutFor; n++ {
		go w.submit(b, n, []step{{Count: 8, CPU: 8000, MemMB: 1000, EstimateMs: 2000}}, others)
		time.Sleep(200 * time.Millisecond)
	}
	w.note("the cut ends")
	controller.storeProxy.setCut(false)
	controller.cloudProxy.setCut(false)
	time.Sleep(4 * time.Second)
	return w.isBroken(), nil
}
