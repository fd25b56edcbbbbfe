package chaos

import (
	"fmt"
	"time"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/plan"
	"sassafrasvalve/core/retry"
)

// execution is one run of a request on a worker.
type execution struct {
	vm, pool, key, request     string
	idempotent                 bool
	job                        bool
	sender                     *entry
	member                     string    // member ID of the sender at sentAt
	sentAt, startedAt, endedAt time.Time // endedAt is zero while it runs
	stop                       func(whole bool)
}

// worker is a VM that runs requests.
type worker struct {
	w                                           *world
	id, addr, dc, rack, region                  string
	boots, crashes                              int
	down, rebooting, removed, leaving           bool
	failsRequests, refusesRequests, failsReboot bool // answers 500; refuses requests before the start; stays down after a reboot
	breaksResponses                             bool // breaks off responses
	running                                     []*execution
}

func (w *world) addWorker(id, region, dc, rack, pool string) {
	k := &worker{w: w, id: id, addr: fmt.Sprintf("10.0.0.%d:80", len(w.workers)), dc: dc, rack: rack, region: region}
	w.workers[id] = k
	w.operate(fleet.Record{Kind: fleet.KindObserve, Observe: &fleet.Observe{
		VM: id, Addr: k.addr, DC: dc, Rack: rack, Region: region, Pool: pool,
	}})
}

func (k *worker) listed() plan.ListedVM {
	l := plan.ListedVM{State: plan.ListLive, Rebooting: k.rebooting, Boots: k.boots, DC: k.dc, Rack: k.rack, Region: k.region, Addr: k.addr}
	if k.leaving {
		l.State = plan.ListLeaving
	}
	return l
}

func (k *worker) heal() {
	k.failsRequests, k.refusesRequests, k.breaksResponses, k.failsReboot = false, false, false, false
	if !k.rebooting && !k.removed {
		k.down = false
	}
}

// crash takes the worker down and ends all its executions.
func (k *worker) crash() {
	k.down = true
	k.crashes++
	for len(k.running) > 0 {
		k.running[0].stop(false)
	}
}

// reboot carries out a reboot that was requested through the platform's API.
func (k *worker) reboot() {
	if k.rebooting || k.removed {
		return
	}
	k.crash()
	k.rebooting = true
	k.w.after(k.w.randomDuration(time.Second, 4*time.Second), func() {
		k.rebooting, k.boots = false, k.boots+1
		k.down = k.failsReboot && !k.w.faultsEnded
	})
}

// response is the result of an attempt as the sender learns it.
type response struct {
	request string // ID of the request
	verdict retry.Verdict
	status  int
}

// receive handles a request whose bytes arrive now. It calls reply with the result that the sender learns.
func (k *worker) receive(x *execution, d time.Duration, reply func(response)) {
	w := k.w
	switch {
	case k.down:
		reply(response{x.request, retry.NotRun, 0}) // connection refused
		return
	case k.refusesRequests && w.chance(0.7):
		reply(response{x.request, retry.NotRun, 503}) // explicit refusal
		return
	}
	x.startedAt = w.now
	k.running = append(k.running, x)
	w.counts.add("executions", 1)
	w.oracle.checkStarted(x)
	ended := false
	x.stop = func(whole bool) {
		if ended {
			return
		}
		ended = true
		x.endedAt = w.now
		for i, o := range k.running {
			if o == x {
				k.running = append(k.running[:i], k.running[i+1:]...)
				break
			}
		}
		switch {
		case !whole:
			reply(response{x.request, retry.MayHaveRun, 0})
		case k.failsRequests:
			reply(response{x.request, retry.Ran, 500})
		default:
			reply(response{x.request, retry.Ran, 200})
		}
	}
	if k.failsRequests {
		d = 10 * time.Millisecond
	}
	breaks := k.breaksResponses && w.chance(0.5)
	w.after(d, func() { x.stop(!breaks) })
}
