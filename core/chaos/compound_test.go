package chaos

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"sassafrasvalve/core/fleet"
)

// The actions of this file combine several steps that separate draws seldom place close enough in time.

// sendShortRequest sends a short request to the process at a place.
func (w *world) sendShortRequest(i int, service, class, key string, d time.Duration) {
	q := &request{
		id: w.newID("q"), service: service + "-" + w.places[i].region, class: class, tenant: "t1", key: key, fingerprint: key,
		arrived: w.now, deadline: w.now.Add(5 * time.Second), runTime: d,
	}
	if key == "" {
		q.fingerprint = q.id
	}
	w.deliver(i, q)
}

// keysDuringChange sends requests with keys and repeats them through all entries of the region while an entry is
// replaced, killed or leaves.
func (w *world) keysDuringChange(t *rapid.T) {
	i, j, first := w.drawPlace(t), w.drawPlace(t), w.lastID
	keys := make([]string, rapid.IntRange(1, 6).Draw(t, "keys"))
	for k := range keys {
		keys[k] = fmt.Sprint("c", first, "-", k)
		w.sendShortRequest(i, "sa", "urgent", keys[k], w.randomDuration(20*time.Millisecond, 2*time.Second))
	}
	w.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "before")) * 20 * time.Millisecond)
	if p := w.procs[j]; p != nil && !p.frozen && w.downEntries() < maxDown {
		switch rapid.IntRange(0, 3).Draw(t, "change") {
		case 0:
			p.kill(true)
		case 1:
			p.stop()
		default:
			p.kill(false)
			w.launch(j)
		}
	}
	for range rapid.IntRange(10, 40).Draw(t, "repeats") {
		w.run(50 * time.Millisecond)
		for k := range w.procs {
			if w.places[k].region == w.places[i].region && w.chance(0.5) {
				w.sendShortRequest(k, "sa", "urgent", keys[w.rnd.IntN(len(keys))], 50*time.Millisecond)
			}
		}
	}
}

// isolateDuringMove disconnects an entry from its peers, and then from the platform at about the time when the peers
// evict it. At about that time a VM of the region is moved. All entries of the region send requests for both pools.
func (w *world) isolateDuringMove(t *rapid.T) {
	i := w.drawPlace(t)
	p := w.procs[i]
	if p == nil || p.frozen || !w.log.reachable() {
		return
	}
	a := w.places[i]
	w.counts.add("entries cut from peers", 1)
	for _, o := range w.places {
		if o.vm != a.vm {
			w.brokenLinks[[2]string{a.vm, o.vm}], w.brokenLinks[[2]string{o.vm, a.vm}] = true, true
		}
	}
	cut := rapid.IntRange(12, 34).Draw(t, "cut at")
	move := cut + rapid.IntRange(-4, 8).Draw(t, "move after")
	var ids []string
	for _, id := range w.workerIDs() {
		if vm := w.log.head.VMs[id]; vm != nil && vm.Phase == fleet.Active && vm.Pool == "a-"+a.region {
			ids = append(ids, id)
		}
	}
	for tenth := range 80 {
		if tenth == move && len(ids) > 0 && w.log.reachable() {
			if vm := w.log.head.VMs[ids[w.rnd.IntN(len(ids))]]; vm != nil {
				w.operate(fleet.Record{Kind: fleet.KindDrain, Drain: &fleet.Drain{
					VM: vm.ID, Gen: vm.Gen, Purpose: fleet.PurposeMove, To: "b-" + a.region,
				}})
			}
		}
		if tenth == cut {
			w.counts.add("entries cut from the platform", 1)
			w.log.cutPlaces[a.vm] = true
		}
		w.run(100 * time.Millisecond)
		for k, o := range w.places {
			if o.region == a.region {
				d := 40 * time.Millisecond
				if w.chance(0.1) {
					d = w.randomDuration(time.Second, 4*time.Second)
				}
				w.sendShortRequest(k, "sa", "plain", "", d)
				w.sendShortRequest(k, "sb", "plain", "", 40*time.Millisecond)
			}
		}
	}
	if rapid.Bool().Draw(t, "heal") {
		clear(w.brokenLinks)
		w.log.heal()
	}
}
