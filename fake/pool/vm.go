// Package pool is a stand-in of the platform's VMs: runs under leases, fence numbers and lists of ends.
package pool

import (
	"sort"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Run is what a VM runs.
type Run struct {
	Item    string
	Run     int
	Step    jobs.Step
	EndsAt  int64 // local ms; 0 for a run that lasts or stands still
	Fails   bool  // it ends failed
	StopAt  int64 // 0 unless it is being stopped
	BegunAt int64
	WorkMs  int64
}

// VM is one lifetime of an upstream. It is not safe for concurrent use.
type VM struct {
	pools.VM
	Born    int64
	Runs    map[string]*Run
	fence   int64
	lease   int64 // end, by its clock, which begins at its birth
	ended   []pools.RunEnd
	seq     int64
	barred  map[string]int // highest run stopped or ended there, by item
	StopMs  int64          // how long a stop takes
	Outlook func(o pools.Order) (workMs int64, fails bool, step jobs.Step)
	// OnStart and OnEnd tell the checkers.
	OnStart func(v *VM, r *Run)
	OnNoted func(v *VM, end pools.RunEnd) // an end that the owner has recorded
	OnEnd   func(v *VM, r *Run, how pools.EndKind)
}

// New returns a VM that is born at now.
func New(vm pools.VM, now int64) *VM {
	vm.StartedAtMs = now + 1 // 0 would mean an unknown birth
	return &VM{VM: vm, Born: vm.StartedAtMs, Runs: map[string]*Run{}, barred: map[string]int{}, StopMs: 100}
}

// clock returns the VM's own time.
func (v *VM) clock(now int64) int64 { return now - v.Born + 1_000 }

// Advance ends what is due.
func (v *VM) Advance(now int64) {
	names := make([]string, 0, len(v.Runs))
	for n := range v.Runs {
		names = append(names, n)
	}
	sort.Strings(names)
	lapsed := v.lease > 0 && v.clock(now) > v.lease
	for _, n := range names {
		r := v.Runs[n]
		switch {
		case lapsed:
			v.end(r, pools.EndStopped)
		case r.StopAt > 0 && now >= r.StopAt:
			v.end(r, pools.EndStopped)
		case r.EndsAt > 0 && now >= r.EndsAt:
			how := pools.EndDone
			if r.Fails {
				how = pools.EndFailed
			}
			v.end(r, how)
		}
	}
}

// Next returns the time of the next end, and false if none is due.
func (v *VM) Next() (int64, bool) {
	var at int64
	for _, r := range v.Runs {
		for _, t := range []int64{r.EndsAt, r.StopAt} {
			if t > 0 && (at == 0 || t < at) {
				at = t
			}
		}
	}
	return at, at > 0
}

func (v *VM) end(r *Run, how pools.EndKind) {
	delete(v.Runs, r.Item)
	v.barred[r.Item] = max(v.barred[r.Item], r.Run)
	v.seq++
	v.ended = append(v.ended, pools.RunEnd{Seq: v.seq, Item: r.Item, Run: r.Run, Kind: how})
	if v.OnEnd != nil {
		v.OnEnd(v, r, how)
	}
}

// Used returns what the runs take of the VM.
func (v *VM) Used() (cpu, mem int64) {
	for _, r := range v.Runs {
		if !r.Step.Fill {
			cpu += r.Step.CPU
		}
		mem += r.Step.MemMB
	}
	return cpu, mem
}

// Do carries an order out.
func (v *VM) Do(o pools.Order, now int64) pools.Reply {
	v.Advance(now)
	if o.Fence < v.fence {
		return pools.Reply{Kind: pools.Fenced, ClockMs: v.clock(now)}
	}
	v.fence = o.Fence
	kind := pools.Done
	switch o.Kind {
	case pools.Start:
		kind = v.start(o, now)
	case pools.Stop:
		v.barred[o.Item] = max(v.barred[o.Item], o.Run)
		if r := v.Runs[o.Item]; r != nil && r.Run <= o.Run && r.StopAt == 0 {
			r.StopAt = now + v.StopMs
		}
	case pools.Throttle, pools.Upkeep, pools.Move:
	}
	return pools.Reply{Kind: kind, ClockMs: v.clock(now)}
}

func (v *VM) start(o pools.Order, now int64) pools.ReplyKind {
	if r := v.Runs[o.Item]; r != nil && r.Run == o.Run {
		return pools.Done
	}
	if o.LeaseEndMs < v.clock(now) {
		return pools.LeaseExpired
	}
	v.lease = max(v.lease, o.LeaseEndMs)
	if o.Run <= v.barred[o.Item] || v.Runs[o.Item] != nil {
		return pools.StaleRun
	}
	work, fails, step := v.Outlook(o)
	cpu, mem := v.Used()
	if !step.Fill && cpu+step.CPU > v.CPU || mem+step.MemMB > v.MemMB {
		return pools.NoCapacity
	}
	r := &Run{Item: o.Item, Run: o.Run, Step: step, Fails: fails, BegunAt: now, WorkMs: work}
	if work > 0 && !step.Persistent {
		r.EndsAt = now + work
	}
	v.Runs[o.Item] = r
	if v.OnStart != nil {
		v.OnStart(v, r)
	}
	return pools.Done
}

// Pending reports whether ends wait that a poll would show at once.
func (v *VM) Pending(acked int64) bool {
	return len(v.ended) > 0 && v.ended[len(v.ended)-1].Seq > acked
}

// Poll answers a poll.
func (v *VM) Poll(c pools.PollRequest, now int64) pools.PollReply {
	v.Advance(now)
	if c.Fence < v.fence {
		return pools.PollReply{Kind: pools.Fenced, ClockMs: v.clock(now)}
	}
	v.fence = c.Fence
	v.lease = max(v.lease, c.LeaseEndMs)
	for len(v.ended) > 0 && v.ended[0].Seq <= c.AckedSeq {
		if v.OnNoted != nil {
			v.OnNoted(v, v.ended[0])
		}
		v.ended = v.ended[1:]
	}
	l := pools.PollReply{Kind: pools.Done, ClockMs: v.clock(now), StartedAtMs: v.Born, Ended: append([]pools.RunEnd(nil), v.ended...)}
	names := make([]string, 0, len(v.Runs))
	for n := range v.Runs {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		r := v.Runs[n]
		row := pools.RunStatus{Item: r.Item, Run: r.Run, Percent: 100}
		if r.WorkMs > 0 && r.EndsAt > 0 {
			row.Percent = int(min(100*(now-r.BegunAt)/r.WorkMs, 99))
		}
		l.Running = append(l.Running, row)
	}
	return l
}
