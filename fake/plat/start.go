package plat

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/fake/pool"
)

// start is a start of an item on a VM.
type start struct {
	vm           *pool.VM
	run          int
	order        arrival
	atMs         int64
	polledFence  int64  // fence number of the newest poll that the lifetime had seen, or 0
	end          string // empty while it runs
	endAtMs      int64
	recordedAtMs int64 // time at which an owner recorded its end as done, or 0
}

// arrival describes how an order reached its VM.
type arrival struct {
	atMs  int64
	late  bool // it has no reply and is carried out late
	fence int64
}

// lostEnd is the end of a run whose VM has ended.
const lostEnd = "lost"

// do executes an order. The caller holds mu.
func (p *Platform) do(vm *pool.VM, o pools.Order, a arrival) pools.Reply {
	a.fence = o.Fence
	p.arrival = a
	return vm.Do(o, p.nowMs())
}

// started records a start, and the rules that it violates.
func (p *Platform) started(v *pool.VM, r *pool.Run) {
	s := &start{vm: v, run: r.Run, order: p.arrival, atMs: p.nowMs(), polledFence: p.polled[v]}
	earlier := p.starts[r.Item]
	p.starts[r.Item] = append(earlier, s)
	for _, first := range earlier {
		if first.end == "" {
			p.violations = append(p.violations, fmt.Sprintf("TWICE %s on %s and %s: %s", r.Item, first.vm.ID, v.ID, p.history(r.Item)))
		}
		if first.recordedAtMs > 0 {
			p.violations = append(p.violations, fmt.Sprintf("TWICE after done %s: %s", r.Item, p.history(r.Item)))
		}
	}
	p.noteStart(v, r)
	p.checkLimit(v, r)
}

// startedBeside records a violation by a start of an item of which another run goes on.
func (p *Platform) startedBeside(v *pool.VM, r *pool.Run, o pools.Order) {
	p.violations = append(p.violations, fmt.Sprintf("TWICE %s run %d beside run %d on %s: ordered %s, late %t, start %s with fence %d, %s",
		o.Item, o.Run, r.Run, v.ID, p.clock(p.arrival.atMs), p.arrival.late, p.clock(p.nowMs()), o.Fence, p.history(o.Item)))
}

// ended records the end of a run.
func (p *Platform) ended(v *pool.VM, r *pool.Run, kind pools.EndKind) {
	p.setEnd(v, r.Item, r.Run, endNames[kind])
}

// endRecorded marks a run as done after an owner has recorded its end. An end that no owner records is lost with its VM, and
// the item may run again.
func (p *Platform) endRecorded(v *pool.VM, end pools.RunEnd) {
	if end.Kind != pools.EndDone {
		return
	}
	if s := p.findStart(v, end.Item, end.Run); s != nil {
		s.recordedAtMs = p.nowMs()
	}
}

// endRuns records that the runs on a VM have ended with it. The caller holds mu.
func (p *Platform) endRuns(v *pool.VM) {
	for item, r := range v.Runs {
		p.setEnd(v, item, r.Run, lostEnd)
	}
}

func (p *Platform) setEnd(v *pool.VM, item string, run int, end string) {
	if s := p.findStart(v, item, run); s != nil {
		s.end, s.endAtMs = end, p.nowMs()
	}
}

// findStart returns the start of a run in one lifetime of a VM, or nil.
func (p *Platform) findStart(v *pool.VM, item string, run int) *start {
	for _, s := range p.starts[item] {
		if s.vm == v && s.run == run {
			return s
		}
	}
	return nil
}

// Ended reports whether each item of a job with SetSteps has a run that ended as done, whether or not an owner knows of it.
func (p *Platform) Ended(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, step := range p.steps[id] {
		for i := range step.Count {
			starts := p.starts[jobs.Item{Step: n, Index: i}.Name(id)]
			if !slices.ContainsFunc(starts, func(s *start) bool { return s.end == endNames[pools.EndDone] }) {
				return false
			}
		}
	}
	return len(p.steps[id]) > 0
}

// history describes all starts of an item, for messages about violations.
func (p *Platform) history(item string) string {
	var b strings.Builder
	for i, s := range p.starts[item] {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "run %d on %s of %s with fence %d: ordered %s, ", s.run, s.vm.ID, p.clock(s.vm.BootedAtMs), s.order.fence, p.clock(s.order.atMs))
		if s.order.late {
			b.WriteString("late ")
		}
		fmt.Fprintf(&b, "start %s", p.clock(s.atMs))
		if s.polledFence == 0 {
			b.WriteString(" before the first poll")
		} else {
			fmt.Fprintf(&b, " after a poll with fence %d", s.polledFence)
		}
		if s.end != "" {
			fmt.Fprintf(&b, ", %s %s", s.end, p.clock(s.endAtMs))
		}
		if s.recordedAtMs > 0 {
			fmt.Fprintf(&b, ", recorded %s", p.clock(s.recordedAtMs))
		}
	}
	return b.String()
}

// clock returns a time as the logs of the entries show it, in milliseconds since 1970.
func (p *Platform) clock(ms int64) string {
	return fmt.Sprint(p.startedAt.Add(time.Duration(ms-1) * time.Millisecond).UnixMilli())
}
