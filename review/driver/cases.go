//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	two, four := []string{"desk", "till"}, []string{"desk", "till", "draw", "find"}
	cases["lapse"] = scenario{two, lapse}
	cases["moved-route-twice"] = scenario{two, movedRouteTwice}
	cases["rolling-restart"] = scenario{two, rollingRestart}
	cases["partial-outage"] = scenario{four, partialOutage}
	cases["removed-route"] = scenario{two, removedRoute}
	cases["moved-route-cancel"] = scenario{two, movedRouteCancel}
}

// load hands jobs in until stop is closed.
func (d *deployment) load(routes []route, every time.Duration, stop <-chan struct{}, steps ...step) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(every):
			}
			for _, r := range routes {
				wg.Add(1)
				go func() {
					defer wg.Done()
					d.submit(d.newJob(r, steps...), 2)
				}()
			}
		}
	}()
	return &wg
}

// Rounds of partialOutage.
const (
	outageRounds = 3
	outageTime   = 4500 * time.Millisecond
	outagePause  = 8 * time.Second
)

// partialOutage kills all entries while the partition with the operator's records is down. The rule is broken if processes on two
// machines end by themselves three times or more.
func partialOutage(d *deployment, trouble bool) verdict {
	var routes []route
	for _, p := range d.pools {
		routes = append(routes, newRoute("queue-"+p, p))
	}
	if err := d.start(routes); err != nil {
		return verdict{problem: err.Error()}
	}
	lasting := step{Count: 3, CPU: 4000, MemMB: 2048, EstimateMs: 900, Persistent: true}
	for _, r := range routes {
		if !d.submit(d.newJob(r, lasting), 5) {
			return verdict{problem: "a job was not accepted"}
		}
	}
	time.Sleep(3 * time.Second)
	for range outageRounds {
		if trouble {
			d.rec.log("store: the partition of keyed.op answers 503")
			d.store.setMode(func(topic string, _ int) mode {
				if topic == "keyed.op" {
					return busy
				}
				return serving
			})
			time.Sleep(200 * time.Millisecond)
			for _, e := range d.entries {
				e.signal(syscall.SIGKILL)
			}
		}
		time.Sleep(outageTime)
		d.store.setMode(nil)
		d.rec.log("store: all partitions serve")
		time.Sleep(outagePause)
	}
	var broken []string
	for _, e := range d.entries {
		if ends := e.ownEnds(); len(ends) >= 3 {
			broken = append(broken, fmt.Sprintf("the process of %s ended by itself %d times: %s", e.name, len(ends), ends[0].reason))
		}
	}
	if len(broken) < 2 {
		broken = nil
	}
	return verdict{broken: broken}
}

// lapse kills all entries while the store is down and the entries of the workers lapse.
func lapse(d *deployment, trouble bool) verdict {
	desk, till := newRoute("hold", "desk"), newRoute("deposit", "till")
	routes := []route{desk, till}
	if err := d.start(routes); err != nil {
		return verdict{problem: err.Error()}
	}
	stop := make(chan struct{})
	wg := d.load(routes, 120*time.Millisecond, stop,
		step{Count: 6, CPU: 3500, MemMB: 1024, EstimateMs: 800, workMs: 800},
		step{Count: 6, CPU: 3500, MemMB: 1024, EstimateMs: 800, After: []int{0}, workMs: 800})
	time.Sleep(6 * time.Second)
	if trouble {
		d.rec.log("store: silent for 4.5 s, entries of workers lapse meanwhile")
		d.store.mu.Lock()
		d.store.lapse = true
		d.store.mu.Unlock()
		d.store.setMode(func(string, int) mode { return silent })
	}
	time.Sleep(4100 * time.Millisecond)
	if trouble {
		for _, e := range d.entries {
			e.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(400 * time.Millisecond)
	d.store.setMode(nil)
	d.rec.log("store: serves")
	time.Sleep(6 * time.Second)
	close(stop)
	wg.Wait()
	time.Sleep(4 * time.Second)
	return verdict{broken: d.fleet.twice()}
}

// movedRouteTwice repeats the request of an accepted job after a configuration has sent its queue to another service.
func movedRouteTwice(d *deployment, trouble bool) verdict {
	queue, other := newRoute("deposit", "till"), newRoute("hold", "desk")
	if err := d.start([]route{queue, other}); err != nil {
		return verdict{problem: err.Error()}
	}
	var list []*job
	for range 5 {
		j := d.newJob(queue, step{Count: 2, CPU: 3500, MemMB: 1024, EstimateMs: 800, workMs: 800})
		if !d.submit(j, 5) {
			return verdict{problem: "a job was not accepted"}
		}
		list = append(list, j)
	}
	if !await(10*time.Second, func() bool {
		for _, j := range list {
			if d.state(j.path) != "complete" {
				return false
			}
		}
		return true
	}) {
		return verdict{problem: "the jobs are not complete"}
	}
	if trouble {
		queue.Service = "desk"
		d.configure([]route{queue, other})
	}
	time.Sleep(2500 * time.Millisecond)
	for i, j := range list {
		d.call(d.entries[i%len(d.entries)], http.MethodPost, j.path, j.body)
	}
	time.Sleep(5 * time.Second)
	return verdict{broken: d.fleet.twice()}
}

// movedRouteCancel cancels lasting jobs of a queue that now sends its work to another service, while the owner of their shard has
// been killed.
func movedRouteCancel(d *deployment, trouble bool) verdict {
	queue, other := newRoute("refund", "till"), newRoute("hold", "desk")
	if err := d.start([]route{queue, other}); err != nil {
		return verdict{problem: err.Error()}
	}
	var list []*job
	for range 3 {
		j := d.newJob(queue, step{Count: 2, CPU: 3500, MemMB: 1024, EstimateMs: 900, Persistent: true})
		if !d.submit(j, 5) {
			return verdict{problem: "a job was not accepted"}
		}
		list = append(list, j)
	}
	time.Sleep(3 * time.Second)
	queue.Service = "desk"
	d.configure([]route{queue, other})
	time.Sleep(3 * time.Second)
	if trouble {
		owner := d.ownerOf("till")
		if owner == nil {
			return verdict{problem: "the owner of the shard is not known"}
		}
		owner.setHold(true)
		owner.signal(syscall.SIGKILL)
		time.AfterFunc(3*time.Second, func() { owner.setHold(false) })
		time.Sleep(50 * time.Millisecond)
	}
	acked := map[*job]time.Time{}
	for _, j := range list {
		for i := range d.entries {
			if status, _ := d.call(d.entries[i], http.MethodDelete, j.path, nil); status/100 == 2 {
				acked[j] = time.Now()
				break
			}
		}
	}
	if len(acked) == 0 {
		return verdict{problem: "no cancel was acknowledged"}
	}
	time.Sleep(12 * time.Second)
	var broken []string
	for j, at := range acked {
		for _, r := range d.runsOf(j) {
			if r.endedAt.IsZero() {
				broken = append(broken, fmt.Sprintf("%s still runs on %s (%s), %.1f s after its job's cancelling was acknowledged", r.task,
					r.worker.id, r.worker.pool, time.Since(at).Seconds()))
			}
		}
	}
	return verdict{broken: broken}
}

// ownerOf returns the entry that owns the shard of a service, by what it wrote to its log.
func (d *deployment) ownerOf(service string) *entry {
	var owner *entry
	var epoch int
	for _, e := range d.entries {
		for _, l := range e.logLines() {
			if strings.Contains(l, `"msg":"shard claimed"`) && strings.Contains(l, `"service":"`+service+`"`) {
				var n int
				if i := strings.Index(l, `"epoch":`); i > 0 {
					_, _ = fmt.Sscanf(l[i:], `"epoch":%d`, &n)
				}
				if n > epoch {
					owner, epoch = e, n
				}
			}
		}
	}
	return owner
}

// removedRoute removes the route of a job whose work item always fails.
func removedRoute(d *deployment, trouble bool) verdict {
	queue, other := newRoute("draw", "till"), newRoute("hold", "desk")
	if err := d.start([]route{queue, other}); err != nil {
		return verdict{problem: err.Error()}
	}
	j := d.newJob(queue, step{Count: 1, CPU: 3500, MemMB: 1024, EstimateMs: 1500, workMs: 1500, fails: true})
	if !d.submit(j, 5) {
		return verdict{problem: "the job was not accepted"}
	}
	if !await(5*time.Second, func() bool { return len(d.runsOf(j)) == 1 }) {
		return verdict{problem: "the job has not begun"}
	}
	if trouble {
		d.configure([]route{other})
	}
	time.Sleep(25 * time.Second)
	var broken []string
	failed := 0
	for _, r := range d.sorted(j) {
		if failed >= queue.Attempts {
			broken = append(broken, fmt.Sprintf("%s: run %d starts after %d runs have ended failed and these ends were taken note of", r.task,
				r.number, failed))
		}
		if r.how == "failed" && r.acked {
			failed++
		}
	}
	return verdict{broken: broken}
}

// sorted returns the runs of a job in the order of their starts.
func (d *deployment) sorted(j *job) []run {
	list := d.runsOf(j)
	for i := range list {
		for k := i; k > 0 && list[k].startedAt.Before(list[k-1].startedAt); k-- {
			list[k], list[k-1] = list[k-1], list[k]
		}
	}
	return list
}

// rollGap is the time between two SIGTERMs of rollingRestart.
const rollGap = 1900 * time.Millisecond

// rollingRestart restarts the entries in turn, first the machine controller and the owner of the shard, while a worker with lasting
// work items leaves. It looks for work items that do not run for 3 s on end, from 6 s after their last run, though there is room for
// two of them.
func rollingRestart(d *deployment, trouble bool) verdict {
	routes := []route{newRoute("hold", "desk"), newRoute("refund", "till")}
	if err := d.start(routes); err != nil {
		return verdict{problem: err.Error()}
	}
	queue := routes[0]
	if d.ownerOf(queue.Service) == d.ownerOf(machinesShard) {
		queue = routes[1]
	}
	j := d.newJob(queue, step{Count: 4, CPU: 30_000, MemMB: 2048, EstimateMs: 900, Persistent: true})
	if !d.submit(j, 5) {
		return verdict{problem: "the job was not accepted"}
	}
	if !await(10*time.Second, func() bool { return d.running(j) == 4 }) {
		return verdict{problem: "the work items do not run"}
	}
	// The pool gives the machines back that it does not need.
	if !await(20*time.Second, func() bool { return d.fleet.poolSize(queue.Service) == 2 }) {
		return verdict{problem: "the pool keeps machines that it does not need"}
	}
	time.Sleep(2 * time.Second)
	stop, done := make(chan struct{}), make(chan struct{})
	var gaps []string
	go func() { gaps = d.watchLasting(j, queue.Service, stop); close(done) }()
	if trouble {
		order, err := d.rollOrder(machinesShard, queue.Service)
		if err != nil {
			return verdict{problem: err.Error()}
		}
		d.runsOf(j)[0].worker.leave()
		for _, e := range order {
			e.signal(syscall.SIGTERM)
			time.Sleep(rollGap)
		}
	}
	time.Sleep(15 * time.Second)
	close(stop)
	<-done
	return verdict{broken: gaps}
}

// machinesShard is the shard of the machine controller, which moves machines.
const machinesShard = "#machines"

// rollOrder returns the entries, the owners of two shards first.
func (d *deployment) rollOrder(first, second string) ([]*entry, error) {
	a, b := d.ownerOf(first), d.ownerOf(second)
	if a == nil || b == nil || a == b {
		return nil, fmt.Errorf("the shards %s and %s do not have different owners", first, second)
	}
	list := []*entry{a, b}
	for _, e := range d.entries {
		if e != a && e != b {
			list = append(list, e)
		}
	}
	return list, nil
}

// running returns the number of a job's work items that run.
func (d *deployment) running(j *job) int {
	n := 0
	for _, r := range d.runsOf(j) {
		if r.endedAt.IsZero() {
			n++
		}
	}
	return n
}

// watchLasting looks every 50 ms for work items of a job that do not run, from 6 s after their last run, for 3 s in which there is
// room for two of them. It returns a line for each such time.
func (d *deployment) watchLasting(j *job, pool string, stop <-chan struct{}) []string {
	var list []string
	missing := map[string]time.Time{} // since when a work item has been missing, beyond the allowed time
	for {
		select {
		case <-stop:
			return list
		case <-time.After(50 * time.Millisecond):
		}
		last, lastOn := map[string]time.Time{}, map[string]run{}
		for _, r := range d.runsOf(j) {
			end := r.endedAt
			if end.IsZero() {
				end = time.Now()
			}
			if end.After(last[r.task]) {
				last[r.task], lastOn[r.task] = end, r
			}
		}
		room := d.fleet.roomFor(pool, &j.steps[0])
		for task, end := range last {
			if time.Since(end) < 6*time.Second || room < 2 {
				delete(missing, task)
				continue
			}
			since, known := missing[task]
			if !known {
				missing[task] = time.Now()
			} else if time.Since(since) > 3*time.Second {
				x := lastOn[task]
				list = append(list, fmt.Sprintf("%s has not run for %.1f s, since run %d on %s ended %s; there is room for %d such work items", task,
					time.Since(end).Seconds(), x.number, x.worker.id, x.how, room))
				d.rec.log("missing: %s", list[len(list)-1])
				missing[task] = time.Now()
			}
		}
	}
}
