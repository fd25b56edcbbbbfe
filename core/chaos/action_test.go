package chaos

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"sassafrasvalve/core/fleet"
)

// actions returns the actions from which rapid draws at each step. An action under several names is drawn more often.
func (w *world) actions() map[string]func(*rapid.T) {
	all := map[string]func(*rapid.T){
		"call": w.sendOne, "call again": w.sendOne, "flood": w.sendBurst,
		"cancel wave": w.cancelRequests, "repeat key": w.repeatKey, "job": w.submitJobs,
		"keys in a change": w.keysDuringChange, "isolate in a move": w.isolateDuringMove,
		"configure": w.configure, "operator": w.operateVM, "operator again": w.operateVM, "wave": w.changeWave,
		"worker fault": w.workerFault, "leaving": w.vmLeaving,
		"kill": w.kill, "freeze": w.freeze, "freeze long": w.freeze, "wake": w.wakeOne, "restart": w.restart, "leave": w.leave,
		"log fault": w.logFault, "cut log": w.cutLog, "cut peer": w.cutPeers, "list lag": w.listLag, "heal": w.heal, "heal all": w.heal,
	}
	out := map[string]func(*rapid.T){}
	for name, f := range all {
		out[name] = func(t *rapid.T) {
			w.t = t
			w.counts.add("action "+name, 1)
			f(t)
			w.run(time.Duration(rapid.IntRange(0, 8).Draw(t, "step")) * 50 * time.Millisecond)
		}
	}
	for _, name := range []string{"short", "longer"} {
		out["time "+name] = func(t *rapid.T) {
			w.t = t
			most := map[string]int{"short": 20, "longer": 90}[name]
			w.run(time.Duration(rapid.IntRange(1, most).Draw(t, "tenths")) * 100 * time.Millisecond)
		}
	}
	return out
}

func (w *world) drawPlace(t *rapid.T) int {
	return rapid.IntRange(0, len(w.places)-1).Draw(t, "entry")
}

func (w *world) drawWorker(t *rapid.T) *worker {
	ids := w.workerIDs()
	return w.workers[ids[rapid.IntRange(0, len(ids)-1).Draw(t, "worker")]]
}

// newRequest returns a caller's request to the entry at place i, for a service of the entry's region.
func (w *world) newRequest(t *rapid.T, i int, class string) *request {
	service := rapid.SampledFrom([]string{"sa", "sa", "sb"}).Draw(t, "service")
	q := &request{
		id: w.newID("q"), service: service + "-" + w.places[i].region, class: class,
		tenant: rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "tenant"), arrived: w.now, deadline: w.now.Add(20 * time.Second),
		runTime: time.Duration(rapid.SampledFrom([]int{20, 100, 400, 2000, 9000}).Draw(t, "run ms")) * time.Millisecond,
	}
	q.fingerprint = q.id
	return q
}

// deliver sends a request to the process at a place, if one runs there.
func (w *world) deliver(i int, q *request) {
	p := w.procs[i]
	if p == nil {
		return
	}
	w.requests = append(w.requests, q)
	w.after(w.networkDelay(), func() { p.do(func() { p.receive(q) }) })
}

func drawClass(t *rapid.T) string {
	return rapid.SampledFrom([]string{"urgent", "urgent", "plain"}).Draw(t, "class")
}

func (w *world) sendOne(t *rapid.T) {
	i := w.drawPlace(t)
	w.deliver(i, w.newRequest(t, i, drawClass(t)))
}

// sendBurst sends many requests of one class, urgent or plain, to one or two entries.
func (w *world) sendBurst(t *rapid.T) {
	i, n := w.drawPlace(t), rapid.IntRange(5, 40).Draw(t, "requests")
	first := w.newRequest(t, i, drawClass(t))
	for range n {
		q := *first
		q.id = w.newID("q")
		q.runTime = w.randomDuration(10*time.Millisecond, first.runTime+10*time.Millisecond)
		w.deliver((i+w.rnd.IntN(2)*len(w.regions))%len(w.places), &q)
	}
}

// cancelRequests cancels a share of all unanswered requests of callers that wait for a response.
func (w *world) cancelRequests(t *rapid.T) {
	share := rapid.SampledFrom([]float64{0.2, 0.6, 1}).Draw(t, "share")
	for _, q := range w.requests {
		if q.answers > 0 || q.entry == nil || q.deferrable || !w.chance(share) {
			continue
		}
		q.cancelled = true
		w.counts.add("cancelled requests", 1)
		q.entry.do(func() {
			if q.onCancel != nil {
				q.onCancel()
			}
		})
	}
}

// repeatKey sends a request with one of a few idempotency keys, often through several entries at once.
func (w *world) repeatKey(t *rapid.T) {
	key := fmt.Sprint("k", rapid.IntRange(0, 30).Draw(t, "key"))
	first := rapid.IntRange(0, len(w.regions)-1).Draw(t, "region")
	class := drawClass(t)
	for range rapid.IntRange(1, 3).Draw(t, "times") {
		i := (w.drawPlace(t)/len(w.regions)*len(w.regions) + first) % len(w.places)
		if w.places[i].region != w.regions[first] {
			continue
		}
		q := w.newRequest(t, i, class)
		q.key, q.service, q.tenant, q.fingerprint = key, "sa-"+w.places[i].region, "t1", key
		if w.chance(0.05) {
			q.fingerprint = "other"
		}
		w.deliver(i, q)
	}
}

func keyScope(q *request) string { return q.tenant + "/" + q.service + "/" + q.key }

func (w *world) submitJobs(t *rapid.T) {
	i := w.drawPlace(t)
	for range rapid.IntRange(1, 4).Draw(t, "jobs") {
		q := w.newRequest(t, i, rapid.SampledFrom([]string{"bulk", "batch"}).Draw(t, "class"))
		q.deadline = w.now.Add(time.Hour)
		if rapid.Bool().Draw(t, "with key") {
			q.key, q.fingerprint = fmt.Sprint("j", rapid.IntRange(0, 20).Draw(t, "key")), "job"
		}
		w.deliver(i, q)
	}
}

// configure appends configurations of one or two operators, each of which may be based on the previous version.
func (w *world) configure(t *rapid.T) {
	if !w.log.reachable() {
		return
	}
	for range rapid.IntRange(1, 2).Draw(t, "operators") {
		base := w.log.head.Config.Version
		if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
			base = max(0, base-1)
		}
		w.operate(fleet.Record{Kind: fleet.KindConfigure, Writer: "operator", Configure: &fleet.Configure{
			Base: base, Fleet: w.config(rapid.IntRange(0, 2).Draw(t, "variant")),
		}})
	}
}

// operateVM drains, moves or activates a VM based on the state of a random entry, which may be outdated.
func (w *world) operateVM(t *rapid.T) {
	p := w.procs[w.drawPlace(t)]
	k := w.drawWorker(t)
	if p == nil || !w.log.reachable() {
		return
	}
	vm := p.st.VMs[k.id]
	if vm == nil {
		return
	}
	r := fleet.Record{Kind: fleet.KindDrain, Writer: "operator"}
	switch rapid.IntRange(0, 4).Draw(t, "act") {
	case 0:
		r.Drain = &fleet.Drain{VM: k.id, Gen: vm.Gen, Purpose: fleet.PurposeHold}
	case 1:
		r.Drain = &fleet.Drain{VM: k.id, Gen: vm.Gen, Purpose: fleet.PurposeReboot}
	case 2:
		r.Kind, r.Activate = fleet.KindActivate, &fleet.Activate{VM: k.id, Gen: vm.Gen}
		if vm.Phase == fleet.Failed && k.down {
			return
		}
	default:
		to := rapid.SampledFrom([]string{"a", "b", "spare"}).Draw(t, "to") + "-" + k.region
		r.Drain = &fleet.Drain{VM: k.id, Gen: vm.Gen, Purpose: fleet.PurposeMove, To: to}
	}
	w.operate(r)
}

// changeWave plans and starts a wave, or pauses, resumes or aborts the last one.
func (w *world) changeWave(t *rapid.T) {
	if !w.log.reachable() {
		return
	}
	change := fleet.WaveChange{ID: fmt.Sprint("w", w.lastWave)}
	switch choice := rapid.IntRange(0, 5).Draw(t, "act"); choice {
	case 0:
		change.Action = fleet.WavePause
	case 1:
		change.Action = fleet.WaveResume
	case 2:
		change.Action = fleet.WaveAbort
	default:
		w.lastWave++
		r := w.regions[rapid.IntRange(0, len(w.regions)-1).Draw(t, "region")]
		change.ID, change.Action = fmt.Sprint("w", w.lastWave), fleet.WavePlan
		change.Pools, change.Batch, change.MaxBatch = []string{"a-" + r, "b-" + r}, 1, 3
		change.MaxFailed = rapid.IntRange(0, 1).Draw(t, "max failed")
		w.operate(fleet.Record{Kind: fleet.KindWave, Wave: &change})
		change = fleet.WaveChange{ID: change.ID, Action: fleet.WaveStart}
	}
	w.operate(fleet.Record{Kind: fleet.KindWave, Wave: &change})
}
