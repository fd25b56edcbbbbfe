package chaos

import (
	"time"

	"pgregory.net/rapid"
)

// reachable reports whether an operator's append through an entry can take effect now.
func (l *platformLog) reachable() bool { return !l.down && !l.silent }

// maxDown limits how many entries are down or frozen at once, so that most runs continue to serve requests.
const maxDown = 2

func (w *world) downEntries() int {
	n := 0
	for _, p := range w.procs {
		if p == nil || p.frozen {
			n++
		}
	}
	return n
}

func (w *world) workerFault(t *rapid.T) {
	k := w.drawWorker(t)
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0, 1:
		w.counts.add("VM crashes", 1)
		k.crash()
	case 2:
		k.failsRequests = true
	case 3:
		k.refusesRequests = true
	case 4:
		k.breaksResponses = true
	case 5:
		k.failsReboot = true
	default:
		k.heal()
	}
}

// vmLeaving makes the platform announce the removal of a VM, which it then carries out or not.
func (w *world) vmLeaving(t *rapid.T) {
	k := w.drawWorker(t)
	left := 0
	for _, o := range w.workers {
		if o.leaving || o.removed {
			left++
		}
	}
	if k.leaving || k.removed || left >= 2*len(w.regions) {
		return
	}
	k.leaving = true
	w.counts.add("VMs leaving", 1)
	if rapid.Bool().Draw(t, "goes") {
		w.after(w.randomDuration(5*time.Second, 25*time.Second), func() {
			k.crash()
			k.removed = true
		})
	}
}

func (w *world) kill(t *rapid.T) {
	p := w.procs[w.drawPlace(t)]
	if p == nil || w.downEntries() >= maxDown {
		return
	}
	w.counts.add("entries killed", 1)
	p.kill(rapid.Bool().Draw(t, "with its VM"))
}

func (w *world) freeze(t *rapid.T) {
	p := w.procs[w.drawPlace(t)]
	if p == nil || p.frozen || w.downEntries() >= maxDown {
		return
	}
	w.counts.add("entries frozen", 1)
	p.freeze()
	d := time.Duration(rapid.IntRange(1, 150).Draw(t, "tenths")) * 100 * time.Millisecond
	w.after(d, func() {
		if p.frozen {
			p.wake()
		}
	})
}

func (w *world) wakeOne(t *rapid.T) {
	if p := w.procs[w.drawPlace(t)]; p != nil && p.frozen {
		p.wake()
	}
}

// restart starts a process at a place where none runs. A running process is in some draws killed and replaced.
func (w *world) restart(t *rapid.T) {
	i := w.drawPlace(t)
	if p := w.procs[i]; p != nil {
		if p.frozen || rapid.IntRange(0, 3).Draw(t, "replace") > 0 {
			return
		}
		w.counts.add("entries restarted", 1)
		p.kill(false)
	}
	w.launch(i)
}

func (w *world) leave(t *rapid.T) {
	p := w.procs[w.drawPlace(t)]
	if p == nil || p.frozen || w.downEntries() >= maxDown {
		return
	}
	p.stop()
}

func (w *world) logFault(t *rapid.T) {
	l := w.log
	switch rapid.IntRange(0, 4).Draw(t, "fault") {
	case 0:
		l.down = true
		w.counts.add("log outages", 1)
	case 1:
		l.silent = true
		w.counts.add("log outages without response", 1)
	case 2:
		l.slow = time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond
		w.counts.add("slow log", 1)
	case 3:
		l.loseShare = rapid.SampledFrom([]float64{0.2, 0.6, 1}).Draw(t, "share")
	default:
		w.duplicate(t)
	}
}

// duplicate appends a record again, as it was or corrupted. Neither may change the fleet.
func (w *world) duplicate(t *rapid.T) {
	i := rapid.IntRange(0, len(w.log.data)-1).Draw(t, "record")
	data := append([]byte(nil), w.log.data[i]...)
	if rapid.Bool().Draw(t, "damaged") {
		data[rapid.IntRange(0, len(data)-1).Draw(t, "byte")] ^= 1
		w.counts.add("damaged records", 1)
	}
	w.log.append(data)
	if res := w.log.results[len(w.log.results)-1]; res.Accepted {
		w.fail("the copy of record %d took effect", i)
	}
}

func (w *world) cutLog(t *rapid.T) {
	w.counts.add("entries cut from the platform", 1)
	w.log.cutPlaces[w.places[w.drawPlace(t)].vm] = true
}

func (w *world) cutPeers(t *rapid.T) {
	i := w.drawPlace(t)
	a := w.places[i].vm
	out, in := rapid.Bool().Draw(t, "out"), rapid.Bool().Draw(t, "in")
	w.counts.add("entries cut from peers", 1)
	all := rapid.Bool().Draw(t, "all")
	j := w.drawPlace(t)
	for k, p := range w.places {
		if k == i || !all && k != j {
			continue
		}
		if out {
			w.brokenLinks[[2]string{a, p.vm}] = true
		}
		if in {
			w.brokenLinks[[2]string{p.vm, a}] = true
		}
	}
}

func (w *world) listLag(t *rapid.T) {
	w.list.lag = time.Duration(rapid.IntRange(0, 40).Draw(t, "tenths")) * 100 * time.Millisecond
	w.list.down = rapid.IntRange(0, 4).Draw(t, "down") == 0
}

func (w *world) heal(t *rapid.T) {
	switch rapid.IntRange(0, 3).Draw(t, "heal") {
	case 0:
		w.log.heal()
	case 1:
		clear(w.brokenLinks)
	case 2:
		w.list.lag, w.list.down = 0, false
	default:
		for i, p := range w.procs {
			if p == nil {
				w.launch(i)
				return
			}
		}
	}
}
