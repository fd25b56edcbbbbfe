// Package pool is a fake of the platform's VMs for tests and simulations. It implements runs under leases, fence
// numbers and the lists of run ends.
package pool

import (
	"sort"
	"strconv"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Run is a run of an item on a VM. Its times are those of the caller, not of the VM's clock.
type Run struct {
	Item        string
	Run         int
	Step        jobs.Step
	EndsAtMs    int64 // 0 for a run that is persistent or hangs
	Fails       bool  // the run ends as failed
	StopAtMs    int64 // end of a stop in progress, or 0
	StartedAtMs int64
	WorkMs      int64 // duration of the run; 0 if it hangs
	SavedMs     int64 // work of earlier runs that the checkpoint in the order has saved
}

// VM is one lifetime of a VM. It is not safe for concurrent use.
type VM struct {
	pools.VM
	BootedAtMs      int64 // equals StartedAtMs of the embedded VM
	Runs            map[string]*Run
	fence           int64
	leaseEndMs      int64 // by the VM's clock
	ended           []pools.RunEnd
	seq             int64          // of the newest end
	highestEndedRun map[string]int // highest number of a stopped or ended run, by item
	StopDelayMs     int64          // time from an order to stop a run until it ends
	ClockPercent    int64          // rate of the VM's clock as a percentage of the caller's, 0 for the same rate
	// PlanRun returns the duration, the result and the step of a run that starts. A duration of 0 makes the run hang.
	PlanRun func(o pools.Order) (workMs int64, fails bool, step jobs.Step)
	// OnStart, OnEnd and OnEndRecorded are called after a run has started, after it has ended, and after the owner has
	// recorded its end. A nil function is skipped.
	OnStart       func(v *VM, r *Run)
	OnEndRecorded func(v *VM, end pools.RunEnd)
	OnEnd         func(v *VM, r *Run, kind pools.EndKind)
	// OnSecondRun is called for a start of an item of which another run goes on. The platform's VMs may execute it beside that run.
	OnSecondRun func(v *VM, r *Run, o pools.Order)
}

// New returns a VM whose lifetime starts just after now, in milliseconds.
func New(vm pools.VM, now int64) *VM {
	vm.StartedAtMs = now + 1 // 0 would mean that the start is unknown
	return &VM{VM: vm, BootedAtMs: vm.StartedAtMs, Runs: map[string]*Run{}, highestEndedRun: map[string]int{}, StopDelayMs: 100}
}

// clockMs returns the time of the VM's own clock, which is at 1000 ms at the start of its lifetime.
func (v *VM) clockMs(now int64) int64 {
	elapsed := now - v.BootedAtMs
	if v.ClockPercent > 0 {
		elapsed = elapsed * v.ClockPercent / 100
	}
	return elapsed + 1_000
}

// LeaseLapsed reports whether the VM had a lease that is over.
func (v *VM) LeaseLapsed(now int64) bool { return v.leaseEndMs > 0 && v.clockMs(now) > v.leaseEndMs }

// Advance ends the runs that are due at now: those that are complete, stopped, or without a lease.
func (v *VM) Advance(now int64) {
	names := make([]string, 0, len(v.Runs))
	for n := range v.Runs {
		names = append(names, n)
	}
	sort.Strings(names)
	lapsed := v.LeaseLapsed(now)
	for _, n := range names {
		r := v.Runs[n]
		switch {
		case lapsed:
			v.end(r, pools.EndStopped, now)
		case r.StopAtMs > 0 && now >= r.StopAtMs:
			v.end(r, pools.EndStopped, now)
		case r.EndsAtMs > 0 && now >= r.EndsAtMs:
			kind := pools.EndDone
			if r.Fails {
				kind = pools.EndFailed
			}
			v.end(r, kind, now)
		}
	}
}

// NextEndMs returns the time of the next scheduled end of a run, and false if no end is scheduled.
func (v *VM) NextEndMs() (int64, bool) {
	var at int64
	for _, r := range v.Runs {
		for _, t := range []int64{r.EndsAtMs, r.StopAtMs} {
			if t > 0 && (at == 0 || t < at) {
				at = t
			}
		}
	}
	return at, at > 0
}

func (v *VM) end(r *Run, kind pools.EndKind, now int64) {
	delete(v.Runs, r.Item)
	v.highestEndedRun[r.Item] = max(v.highestEndedRun[r.Item], r.Run)
	v.seq++
	end := pools.RunEnd{Seq: v.seq, Item: r.Item, Run: r.Run, Kind: kind}
	if r.Step.Checkpoint && kind == pools.EndStopped {
		end.Ref = strconv.FormatInt(r.SavedMs+now-r.StartedAtMs, 10)
	}
	v.ended = append(v.ended, end)
	if v.OnEnd != nil {
		v.OnEnd(v, r, kind)
	}
}

// Used returns the CPU, in thousandths of a core, and the memory, in MB, that the runs use. It leaves out the CPU of
// steps with Fill.
func (v *VM) Used() (cpu, mem int64) {
	for _, r := range v.Runs {
		if !r.Step.Fill {
			cpu += r.Step.CPU
		}
		mem += r.Step.MemMB
	}
	return cpu, mem
}

// Do executes an order at now.
func (v *VM) Do(o pools.Order, now int64) pools.Reply {
	v.Advance(now)
	if o.Fence < v.fence {
		return pools.Reply{Kind: pools.Fenced, ClockMs: v.clockMs(now)}
	}
	v.fence = o.Fence
	kind := pools.Done
	switch o.Kind {
	case pools.Start:
		kind = v.start(o, now)
	case pools.Stop:
		v.highestEndedRun[o.Item] = max(v.highestEndedRun[o.Item], o.Run)
		if r := v.Runs[o.Item]; r != nil && r.Run <= o.Run && r.StopAtMs == 0 {
			r.StopAtMs = now + v.StopDelayMs
		}
	case pools.Throttle, pools.Upkeep, pools.Move:
	}
	return pools.Reply{Kind: kind, ClockMs: v.clockMs(now)}
}

func (v *VM) start(o pools.Order, now int64) pools.ReplyKind {
	if r := v.Runs[o.Item]; r != nil && r.Run == o.Run {
		return pools.Done
	}
	if o.DeadlineMs < v.clockMs(now) {
		return pools.LeaseExpired
	}
	v.extendLease(o.DeadlineMs, now)
	if o.Run <= v.highestEndedRun[o.Item] {
		return pools.StaleRun
	}
	if r := v.Runs[o.Item]; r != nil {
		if v.OnSecondRun != nil {
			v.OnSecondRun(v, r, o)
		}
		return pools.StaleRun
	}
	work, fails, step := v.PlanRun(o)
	cpu, mem := v.Used()
	if !step.Fill && cpu+step.CPU > v.CPU || mem+step.MemMB > v.MemMB {
		return pools.NoCapacity
	}
	saved, err := strconv.ParseInt(o.Ref, 10, 64)
	if o.Ref == "" || err != nil {
		saved = 0
	}
	if work > 0 {
		work = max(work-saved, 1)
	}
	r := &Run{SavedMs: saved, Item: o.Item, Run: o.Run, Step: step, Fails: fails, StartedAtMs: now, WorkMs: work}
	if work > 0 && !step.Persistent {
		r.EndsAtMs = now + work
	}
	v.Runs[o.Item] = r
	if v.OnStart != nil {
		v.OnStart(v, r)
	}
	return pools.Done
}

// maxLeaseMs is the longest lease from the arrival of a call on.
const maxLeaseMs = 10_000

// extendLease takes the deadline in a call, which may come from the clock of an earlier lifetime.
func (v *VM) extendLease(deadlineMs, now int64) {
	v.leaseEndMs = max(v.leaseEndMs, min(deadlineMs, v.clockMs(now)+maxLeaseMs))
}

// Pending reports whether there are ends above acked, which a poll returns at once.
func (v *VM) Pending(acked int64) bool {
	return len(v.ended) > 0 && v.ended[len(v.ended)-1].Seq > acked
}

// maxListedEnds is the number of ends that a VM lists at a time.
const maxListedEnds = 500

// Poll returns the reply to a poll at now. It renews the lease and removes the ends that the owner has recorded.
func (v *VM) Poll(c pools.PollRequest, now int64) pools.PollReply {
	v.Advance(now)
	if c.Fence < v.fence {
		return pools.PollReply{Kind: pools.Fenced, ClockMs: v.clockMs(now)}
	}
	v.fence = c.Fence
	v.extendLease(c.LeaseEndMs, now)
	for len(v.ended) > 0 && v.ended[0].Seq <= c.AckedSeq {
		if v.OnEndRecorded != nil {
			v.OnEndRecorded(v, v.ended[0])
		}
		v.ended = v.ended[1:]
	}
	l := pools.PollReply{
		Kind: pools.Done, ClockMs: v.clockMs(now), StartedAtMs: v.BootedAtMs,
		Ended: append([]pools.RunEnd(nil), v.ended[:min(len(v.ended), maxListedEnds)]...), MoreEnds: len(v.ended) >= maxListedEnds,
	}
	names := make([]string, 0, len(v.Runs))
	for n := range v.Runs {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		r := v.Runs[n]
		row := pools.RunStatus{Item: r.Item, Run: r.Run, ProgressPercent: 100}
		if r.WorkMs > 0 && r.EndsAtMs > 0 {
			row.ProgressPercent = int(min(100*(r.SavedMs+now-r.StartedAtMs)/(r.SavedMs+r.WorkMs), 99))
		}
		l.Running = append(l.Running, row)
	}
	return l
}
