package chaos

import (
	"fmt"
	"time"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/plan"
	"sassafrasvalve/core/retry"
)

// execution is one run of a request on a worker, as the worker knows it.
type execution struct {
	vm, pool, key, request string
	idempotent             bool
	job                    bool
	sender                 *entry
	member                 string    // ID of the sender when it sent
	sent, began, ended     time.Time // ended is zero while it runs
	stop                   func(whole bool)
}

// worker is a VM that runs what is sent to it.
type worker struct {
	w                            *world
	id, addr, dc, rack, region   string
	boots, lives                 int
	down, away, gone, leaving    bool
	failing, refusing, badReboot bool // answers 500; refuses before the start; does not come back from a reboot
	breaking                     bool // breaks responses off
	running                      []*execution
}

func (w *world) addWorker(id, region, dc, rack, pool string) {
	k := &worker{w: w, id: id, addr: fmt.Sprintf("10.0.0.%d:80", len(w.workers)), dc: dc, rack: rack, region: region}
	w.workers[id] = k
	w.operate(fleet.Record{Kind: fleet.KindObserve, Observe: &fleet.Observe{
		VM: id, Addr: k.addr, DC: dc, Rack: rack, Region: region, Pool: pool,
	}})
}

func (k *worker) listed() plan.ListedVM {
	l := plan.ListedVM{State: plan.Live, Rebooting: k.away, Boots: k.boots, DC: k.dc, Rack: k.rack, Region: k.region, Addr: k.addr}
	if k.leaving {
		l.State = plan.Leaving
	}
	return l
}

func (k *worker) heal() {
	k.failing, k.refusing, k.breaking, k.badReboot = false, false, false, false
	if !k.away && !k.gone {
		k.down = false
	}
}

// crash ends all that runs.
func (k *worker) crash() {
	k.down = true
	k.lives++
	for len(k.running) > 0 {
		k.running[0].stop(false)
	}
}

// reboot is asked for by the platform's API.
func (k *worker) reboot() {
	if k.away || k.gone {
		return
	}
	k.crash()
	k.away = true
	k.w.after(k.w.between(time.Second, 4*time.Second), func() {
		k.away, k.boots = false, k.boots+1
		k.down = k.badReboot && !k.w.calmed
	})
}

// response is what a worker answers.
type response struct {
	request string // whose response it is
	verdict retry.Verdict
	status  int
}

// receive takes a request whose bytes arrive now. reply is called with what the sender learns.
func (k *worker) receive(x *execution, d time.Duration, reply func(response)) {
	w := k.w
	switch {
	case k.down:
		reply(response{x.request, retry.NotRun, 0}) // connection refused
		return
	case k.refusing && w.chance(0.7):
		reply(response{x.request, retry.NotRun, 503}) // explicit refusal
		return
	}
	x.began = w.now
	k.running = append(k.running, x)
	w.counts.add("executions", 1)
	w.oracle.began(x)
	over := false
	x.stop = func(whole bool) {
		if over {
			return
		}
		over = true
		x.ended = w.now
		for i, o := range k.running {
			if o == x {
				k.running = append(k.running[:i], k.running[i+1:]...)
				break
			}
		}
		switch {
		case !whole:
			reply(response{x.request, retry.MayHaveRun, 0})
		case k.failing:
			reply(response{x.request, retry.Ran, 500})
		default:
			reply(response{x.request, retry.Ran, 200})
		}
	}
	if k.failing {
		d = 10 * time.Millisecond
	}
	breaks := k.breaking && w.chance(0.5)
	w.after(d, func() { x.stop(!breaks) })
}
