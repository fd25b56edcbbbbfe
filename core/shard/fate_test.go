package shard

import (
	"cmp"
	"container/heap"
	"fmt"
	"iter"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/fake/pool"
)

// Times of a fatePool in milliseconds. Those of the owner are the ones of io/owner.
const (
	fateStepMs         = 10 // between two turns of the owner
	fateLagMs          = 3  // one way between owner and VM
	fateStoreMs        = 20 // until an append is stored
	fateListMs         = 300
	fateOrderTimeoutMs = 300
	fatePollGraceMs    = 450
	fatePollRetryMs    = 150
	fatePollSpacingMs  = 8
	fateAckWaitMs      = 60
	fateHeldEndsMs     = 100
	// fateSecondPollMs is how long after the first poll reply of a lifetime a VM may execute earlier calls. If the reply was the
	// first sign of the restart, only the next poll has a higher fence number, and one may be lost.
	fateSecondPollMs = fateAckWaitMs + fatePollGraceMs + fatePollRetryMs + 2*fateStepMs
	// fateFirstStopMs is how long after the first poll reply of a lifetime a run that is not wanted may go on: the order to
	// stop it, and the time that a VM takes for that.
	fateFirstStopMs = 250
)

// fateEvent is something that happens at a time.
type fateEvent struct {
	at int64
	n  int // order of events at the same time
	do func()
}

// fateQueue is a heap of events.
type fateQueue []fateEvent

func (q fateQueue) Len() int { return len(q) }
func (q fateQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].n < q[b].n
}
func (q fateQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push adds an event.
func (q *fateQueue) Push(e any) { *q = append(*q, e.(fateEvent)) }

// Pop removes the last event.
func (q *fateQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// fateCall says what becomes of an order that was sent.
type fateCall struct {
	executeAt int64 // 0 if it is never executed
	replied   bool
	stillMs   int64 // time for which the owner's process stands still before the call leaves it
}

// fateVM is a machine with the VM that runs on it, which keeps its ID when it starts again.
type fateVM struct {
	vm            pools.VM
	life          *pool.VM // nil while it is down
	lives         int
	machine       pools.Machine // as it is listed while it is up
	clockPercent  int64
	cutUntil      int64 // calls and replies are lost before then
	hangs         bool  // polls of a VM that is down get no reply instead of an error
	polledAt      int64 // time of the first poll reply of its lifetime, 0 if there is none
	lapsedAt      int64 // time at which a call found its lease lapsed
	replaced      bool  // another VM answers at its address
	pollLoopOwner *Engine
}

// noteLapse notes that a call finds the lease of the VM lapsed, which it then extends.
func (v *fateVM) noteLapse(now int64) {
	if v.life.LeaseLapsed(now) {
		v.lapsedAt = now
	}
}

// fateRun is a run that was executed.
type fateRun struct {
	jobID      string
	item       string
	epoch      int64 // of the owner that has sent the start
	vm         *fateVM
	life       int
	run        int
	at, endAt  int64 // endAt is 0 while it runs
	kind       pools.EndKind
	acked      bool
	lapsed     bool // its lease lapsed between its end and the acknowledgement
	late       bool // by a call whose reply was given up before
	unrecorded bool // by a call of an earlier owner that had not recorded it
	ackedLate  bool // its end was acknowledged by a late poll that was meant for an earlier lifetime
	beforePoll bool // before the first poll reply of its lifetime
	polledAt   int64
}

// fateStart is a start that was sent.
type fateStart struct {
	order      pools.Order
	epoch      int64 // of its owner
	unrecorded bool  // its owner was replaced before it was recorded
}

// fatePool plays an owner, the log and the VMs of a pool, and records violations of TWICE. An order may be executed late, also by
// the next lifetime of its VM.
type fatePool struct {
	e       *Engine
	epoch   int64
	now     int64
	queue   fateQueue
	added   int
	vms     []*fateVM
	table   *jobs.JobTable
	jobs    map[string]*jobs.Job
	batch   *Batch // being stored
	awakeAt int64  // the owner's process stands still until then
	due     bool   // something has happened since the owner's last turn
	noLists bool   // the machine list can't be read

	plan func(v *fateVM, o pools.Order) fateCall
	// planPoll returns the time at which a poll without a reply is executed, 0 for a poll that is not late. It may be nil.
	planPoll func() int64
	planRun  func(o pools.Order) (workMs int64, fails bool, step jobs.Step)
	onOrder  func(o pools.Order)

	runs       map[string][]*fateRun // by item
	starts     []*fateStart          // of the present owner
	ackingLate bool                  // a late poll is being executed
	orderedOn  map[string]*fateVM    // VM of the last start, by item
	crashes    map[string]int        // of these VMs, by item
	// besideIsResidual tells that a run by a late call beside another one is a residual, too.
	besideIsResidual bool

	violations []string
	residuals  []*fateRun // runs that the design can't prevent
	lateAcks   int        // starts behind ends that late polls have acknowledged before the owner had seen them
	traced     bool
	trace      []string
	origin     int64 // time 0 of the trace
}

func newFatePool(now int64) *fatePool {
	return &fatePool{
		now: now, origin: now, table: jobs.NewJobTable(), jobs: map[string]*jobs.Job{}, runs: map[string][]*fateRun{},
		orderedOn: map[string]*fateVM{}, crashes: map[string]int{},
	}
}

func (p *fatePool) logf(format string, args ...any) {
	if !p.traced {
		return
	}
	p.trace = append(p.trace, fmt.Sprintf("%6d ", p.now-p.origin)+fmt.Sprintf(format, args...))
}

func (p *fatePool) at(at int64, do func()) {
	p.added++
	heap.Push(&p.queue, fateEvent{max(at, p.now), p.added, do})
}

// atOwner adds an event of the present owner, which waits while its process stands still and is dropped if it is replaced.
func (p *fatePool) atOwner(at int64, do func()) {
	e := p.e
	var event func()
	event = func() {
		switch {
		case p.e != e:
		case p.now < p.awakeAt:
			p.at(p.awakeAt, event)
		default:
			p.due = true
			do()
		}
	}
	p.at(at, event)
}

// takeOver replaces the owner by a next one, which knows what is stored.
func (p *fatePool) takeOver() {
	first := p.e == nil
	p.epoch++
	for _, s := range p.starts {
		s.unrecorded = !p.recorded(s.order)
	}
	p.starts = nil
	p.awakeAt, p.batch = 0, nil
	p.e = New(Config{Service: "s", Epoch: p.epoch, StatusRetentionMs: 600_000}, &jobs.Catalog{}, p.now)
	for id, s := range p.table.Jobs {
		p.e.LoadJob(id, s, p.now, p.now)
	}
	if !first {
		p.logf("owner %d takes over", p.epoch)
		p.e.RequireInitialPolls(p.now)
	}
	p.turn()
	p.readMachines()
}

// recorded reports whether the log holds a start or a later one of its item.
func (p *fatePool) recorded(o pools.Order) bool {
	s := p.table.Jobs[o.JobID]
	_, item, _ := jobs.ParseItem(o.Item)
	return s.State().Final() || slices.ContainsFunc(s.FullProgress().Items, func(i jobs.ItemState) bool {
		return jobs.Item{K: i.K, Step: i.Step, Index: i.Index} == item && i.Run >= o.Run
	})
}

// submit stores a job and passes it to the owner.
func (p *fatePool) submit(j *jobs.Job) {
	j.AcceptedMs = p.now
	p.jobs[j.ID], p.table.Jobs[j.ID] = j, &jobs.StoredJob{Job: j}
	p.due = true
	p.e.Submit(&jobs.StoredJob{Job: j}, p.now, p.now)
}

// add adds a VM that has been up for upMs.
func (p *fatePool) add(v *fateVM, upMs int64) {
	p.vms = append(p.vms, v)
	v.vm.Service, v.vm.Addr, v.vm.Machine = "s", v.vm.ID, "m-"+v.vm.ID
	v.machine = pools.Machine{ID: v.vm.Machine, Pool: "s", VM: v.vm.ID, State: pools.MachineUp}
	p.boot(v, p.now-upMs)
}

func (p *fatePool) boot(v *fateVM, at int64) {
	life := pool.New(v.vm, at)
	v.lives++
	v.life, v.polledAt, v.lapsedAt = life, 0, 0
	life.ClockPercent = v.clockPercent
	life.PlanRun = p.planRun
	life.OnEnd = func(_ *pool.VM, r *pool.Run, kind pools.EndKind) {
		for _, o := range p.runs[r.Item] {
			if o.vm == v && o.life == v.lives && o.run == r.Run {
				o.endAt, o.kind = p.now, kind
			}
		}
		p.logf("%s: end %s run %d, kind %d", v.vm.ID, r.Item, r.Run, kind)
	}
	life.OnSecondRun = func(_ *pool.VM, r *pool.Run, o pools.Order) {
		p.violate("TWICE: %s run %d beside run %d on %s", o.Item, o.Run, r.Run, v.vm.ID)
	}
	life.OnEndRecorded = func(_ *pool.VM, end pools.RunEnd) {
		for _, o := range p.runs[end.Item] {
			if o.vm == v && o.life == v.lives && o.run == end.Run {
				o.acked, o.lapsed, o.ackedLate = true, v.lapsedAt > o.endAt, p.ackingLate
			}
		}
	}
}

// crash ends the VM's lifetime and starts the next one under the same ID downMs later, or never if downMs is 0.
func (p *fatePool) crash(v *fateVM, downMs int64) {
	if v.life == nil {
		return
	}
	p.logf("%s: crashes for %d ms", v.vm.ID, downMs)
	v.life.Advance(p.now)
	for item, on := range p.orderedOn {
		if on == v {
			p.crashes[item]++
		}
	}
	for r := range p.runsOf(v) {
		if r.endAt == 0 {
			r.endAt = p.now
		}
	}
	v.life = nil
	if downMs > 0 {
		p.at(p.now+downMs, func() {
			p.logf("%s: starts again", v.vm.ID)
			p.boot(v, p.now)
		})
	}
}

// runsOf returns the runs of the present lifetime of a VM.
func (p *fatePool) runsOf(v *fateVM) iter.Seq[*fateRun] {
	return func(yield func(*fateRun) bool) {
		for _, list := range p.runs {
			for _, r := range list {
				if r.vm == v && r.life == v.lives && !yield(r) {
					return
				}
			}
		}
	}
}

// started checks a run that has begun against all others of its item. A start that no record holds is a residual: a next owner
// can't know of the call, and its polls refuse it only in the lifetimes that they reach.
func (p *fatePool) started(v *fateVM, s *fateStart, late bool) {
	o := s.order
	r := &fateRun{jobID: o.JobID, item: o.Item, epoch: s.epoch, vm: v, life: v.lives, run: o.Run, at: p.now, late: late, unrecorded: s.unrecorded}
	r.beforePoll = v.polledAt == 0 || p.now <= v.polledAt+fateSecondPollMs
	p.logf("%s: start %s run %d, late %v, before the first poll %v", v.vm.ID, o.Item, o.Run, late, r.beforePoll)
	for _, w := range p.vms {
		if w == v || w.life == nil {
			continue
		}
		w.life.Advance(p.now)
		switch other := w.life.Runs[o.Item]; {
		case other == nil:
		case r.beforePoll && (r.unrecorded || r.late && p.besideIsResidual):
			p.residuals = append(p.residuals, r)
		case slices.ContainsFunc(p.runs[o.Item], func(r *fateRun) bool {
			return r.vm == w && r.life == w.lives && r.run == other.Run && r.unrecorded
		}):
			// the residual came first
		default:
			p.violate("TWICE: %s run %d on %s beside run %d on %s", o.Item, o.Run, v.vm.ID, other.Run, w.vm.ID)
		}
	}
	p.runs[o.Item] = append(p.runs[o.Item], r)
}

func (p *fatePool) violate(format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf("%d ms: ", p.now-p.origin)+fmt.Sprintf(format, args...))
	p.logf("%s", p.violations[len(p.violations)-1])
}

// checkEnds finds the starts behind an end as done that was acknowledged. A residual is a start by a late call in a later lifetime
// of the VM on which the item ended, before the first poll reply of that lifetime, or one that no record holds.
func (p *fatePool) checkEnds() {
	for item, list := range p.runs {
		for _, r := range list {
			var ends []*fateRun
			for _, d := range list {
				if d != r && d.kind == pools.EndDone && d.acked && !d.lapsed && d.endAt <= r.at {
					ends = append(ends, d)
				}
			}
			switch {
			case len(ends) == 0:
			case slices.ContainsFunc(ends, func(d *fateRun) bool { return r.isResidualAfter(d) }):
				p.residuals = append(p.residuals, r)
			case ends[0].ackedLate:
				p.lateAcks++
			default:
				d := ends[0]
				p.violations = append(p.violations, fmt.Sprintf("TWICE after done: %s ended at %d ms on %s, starts as run %d at %d ms on %s",
					item, d.endAt-p.origin, d.vm.vm.ID, r.run, r.at-p.origin, r.vm.vm.ID))
			}
		}
	}
}

// isResidualAfter reports whether the design can't prevent a run that has started after d had ended: by a call that no record
// holds, by a late copy for the VM on which the item ended, or behind another late copy in the same lifetime.
func (r *fateRun) isResidualAfter(d *fateRun) bool {
	switch {
	case !r.beforePoll:
		return false
	case r.unrecorded:
		return true
	default:
		return r.late && r.vm == d.vm && (r.life > d.life && r.run <= d.run || r.life == d.life && d.late)
	}
}

func (p *fatePool) vm(id string) *fateVM {
	i := slices.IndexFunc(p.vms, func(v *fateVM) bool { return v.vm.ID == id })
	return p.vms[i]
}

// run plays until the time until, or until done returns true after a turn of the owner.
func (p *fatePool) run(until int64, done func() bool) {
	for p.now < until {
		end := p.now + fateStepMs
		for len(p.queue) > 0 && p.queue[0].at <= end {
			event := heap.Pop(&p.queue).(fateEvent)
			p.now = event.at
			event.do()
		}
		p.now = end
		for _, v := range p.vms {
			if v.life != nil {
				v.life.Advance(p.now)
			}
		}
		if p.now < p.awakeAt {
			continue
		}
		if p.due || p.now%tickIntervalMs == 0 {
			p.due = false
			p.turn()
		}
		if p.now%fateListMs == 0 && p.e.NeedsMachineList() {
			p.readMachines()
		}
		if done() {
			return
		}
	}
}

func (p *fatePool) readMachines() {
	if p.noLists {
		return
	}
	requestedAt := p.now
	var list []pools.Machine
	for _, v := range p.vms {
		m := v.machine
		if v.life == nil && m.State == pools.MachineUp && m.Pool == "s" && m.VM == v.vm.ID {
			m.State, m.VM = pools.MachineDown, ""
		}
		list = append(list, m)
	}
	p.atOwner(p.now+2*fateLagMs, func() { p.e.SetMachines(list, requestedAt, p.now) })
}

// turn lets the owner decide and record.
func (p *fatePool) turn() {
	listed := make([]pools.VM, 0, len(p.vms))
	for _, v := range p.vms {
		listed = append(listed, v.vm)
	}
	p.e.SetVMs(listed, p.now)
	for _, v := range p.vms {
		if v.pollLoopOwner != p.e {
			v.pollLoopOwner = p.e
			p.atOwner(p.now, func() { p.poll(v, false) })
		}
	}
	p.e.MarkOwnershipConfirmed(p.now)
	p.e.MarkStoreReachable(p.now)
	p.e.Advance(p.now, p.now)
	p.checkUses()
	p.sendOrders(p.e.TakeOrders())
	p.record()
	events := p.e.TakeEvents()
	if !p.traced {
		return
	}
	for _, ev := range events {
		p.logf("owner %d: %s %s %s %s %d", p.epoch, ev.Name, ev.VM, ev.JobID, ev.Reason, ev.N)
	}
}

// record stores what is due.
func (p *fatePool) record() {
	if p.batch != nil {
		return
	}
	b, err := p.e.NextBatch()
	if err != nil {
		p.violate("batch: %v", err)
	}
	if b == nil {
		return
	}
	p.batch = b
	p.atOwner(p.now+fateStoreMs, func() {
		for _, r := range b.Records {
			if _, err := p.table.Apply(r); err != nil {
				p.violate("record %s: %v", r.Key, err)
			}
		}
		p.batch = nil
		p.sendOrders(p.e.HandleBatchStored(b, p.now))
	})
}

// sendOrders sends orders in a fixed sequence, so that a seed plays the same each time.
func (p *fatePool) sendOrders(orders []pools.Order) {
	slices.SortStableFunc(orders, func(a, b pools.Order) int { return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Item, b.Item)) })
	for _, o := range orders {
		p.atOwner(p.now, func() { p.send(o) })
	}
}

// send sends an order and passes its reply, or the lack of one, to the owner.
func (p *fatePool) send(o pools.Order) {
	if !p.e.StillDue(o, p.now) {
		p.e.HandleOrderReply(o, pools.Reply{Kind: pools.NotExecuted}, p.now)
		return
	}
	v := p.vm(o.VM)
	if p.onOrder != nil {
		p.onOrder(o)
	}
	call := fateCall{executeAt: p.now + fateLagMs, replied: true}
	if p.plan != nil {
		call = p.plan(v, o)
	}
	start := &fateStart{order: o, epoch: p.epoch}
	if o.Kind == pools.Start {
		p.starts = append(p.starts, start)
		p.orderedOn[o.Item] = v
		p.logf("owner %d: order start %s run %d on %s: %+v", p.epoch, o.Item, o.Run, o.VM, call)
	}
	if call.stillMs > 0 {
		p.awakeAt = p.now + call.stillMs
		call.executeAt += call.stillMs
	}
	gaveUpAt := p.now + call.stillMs + fateOrderTimeoutMs
	answered := false
	handle := func(r pools.Reply) {
		if answered {
			return
		}
		answered = true
		p.e.HandleOrderReply(o, r, p.now)
		if p.e.NeedsImmediatePoll(o.VM) {
			p.atOwner(p.now+2, func() { p.poll(v, true) })
		}
	}
	p.atOwner(gaveUpAt, func() { handle(pools.Reply{Kind: pools.NoReply}) })
	if call.executeAt == 0 {
		return
	}
	e := p.e
	p.at(call.executeAt, func() {
		late := p.now >= gaveUpAt
		if v.life == nil || v.replaced || p.now < v.cutUntil && !late {
			return
		}
		v.noteLapse(p.now)
		before := v.life.Runs[o.Item]
		reply := v.life.Do(o, p.now)
		if r := v.life.Runs[o.Item]; o.Kind == pools.Start && r != nil && r != before {
			p.started(v, start, late)
		}
		if call.replied && p.e == e {
			p.atOwner(p.now+fateLagMs, func() { handle(reply) })
		}
	})
}

// fatePoll is a poll of a VM by the present owner.
type fatePoll struct {
	p      *fatePool
	e      *Engine // the owner that has sent it
	v      *fateVM
	req    pools.PollRequest
	sentAt int64
	single bool     // it doesn't wait, and none follows
	life   *pool.VM // the lifetime that it has reached, nil before
	ended  bool     // the owner has handled its reply or failure
}

// poll sends a poll.
func (p *fatePool) poll(v *fateVM, single bool) {
	c := &fatePoll{p: p, e: p.e, v: v, sentAt: p.now, single: single}
	var ok bool
	if c.req, ok = p.e.NextPoll(v.vm.ID, p.now); !ok {
		c.next(fatePollRetryMs)
		return
	}
	if single {
		c.req.WaitMs, c.req.AckedSeq = 0, 0
	}
	p.atOwner(c.sentAt+c.req.WaitMs+fatePollGraceMs, c.fail)
	if p.planPoll != nil {
		if at := p.planPoll(); at > 0 {
			p.at(at, c.executeLate)
			return
		}
	}
	p.at(c.sentAt+fateLagMs, c.arrive)
}

// next sends the next poll.
func (c *fatePoll) next(afterMs int64) {
	if !c.single {
		c.p.atOwner(c.p.now+afterMs, func() { c.p.poll(c.v, false) })
	}
}

// fail ends a poll without a reply.
func (c *fatePoll) fail() {
	if c.ended {
		return
	}
	c.ended = true
	if !c.single && !c.p.e.PollOvertaken(c.v.vm.ID, c.sentAt) {
		c.p.e.HandlePollFailure(c.v.vm.ID, c.p.now)
	}
	c.next(fatePollRetryMs)
}

// executeLate executes a poll whose reply is lost.
func (c *fatePoll) executeLate() {
	if c.v.life != nil && !c.v.replaced {
		c.v.noteLapse(c.p.now)
		c.p.ackingLate = true
		c.v.life.Poll(c.req, c.p.now)
		c.p.ackingLate = false
	}
}

// arrive executes a poll that has reached its VM.
func (c *fatePoll) arrive() {
	p, v := c.p, c.v
	switch {
	case p.now < v.cutUntil:
	case v.replaced:
		c.answer(pools.PollReply{Kind: pools.OtherLifetime})
	case v.life == nil:
		c.breakOff()
	default:
		c.life = v.life
		v.noteLapse(p.now)
		reply := c.life.Poll(c.req, p.now)
		if reply.Kind == pools.Done && c.req.WaitMs > 0 {
			c.wait()
			return
		}
		c.answer(reply)
	}
}

// wait answers the poll once a run has ended or its wait is over.
func (c *fatePoll) wait() {
	switch p := c.p; {
	case c.v.life != c.life:
		c.breakOff()
	case p.now < c.sentAt+fateLagMs+c.req.WaitMs && !c.life.Pending(c.req.AckedSeq):
		p.at(p.now+2*fateStepMs, c.wait)
	case p.now >= c.v.cutUntil:
		c.v.noteLapse(p.now)
		req := c.req
		req.AckedSeq = 0 // it has acknowledged what had ended when it arrived
		c.answer(c.life.Poll(req, p.now))
	}
}

// breakOff tells the owner that the VM is down.
func (c *fatePoll) breakOff() {
	if !c.v.hangs && c.p.now >= c.v.cutUntil && c.e == c.p.e {
		c.p.atOwner(c.p.now+fateLagMs, c.fail)
	}
}

// answer passes a reply to the owner.
func (c *fatePoll) answer(reply pools.PollReply) {
	p, v := c.p, c.v
	if reply.Kind == pools.Done && v.polledAt == 0 {
		v.polledAt = p.now
		for r := range p.runsOf(v) {
			r.polledAt = p.now
		}
	}
	if c.e != p.e {
		return
	}
	p.atOwner(p.now+fateLagMs, func() {
		if c.ended {
			return
		}
		c.ended = true
		p.e.HandlePollReply(v.vm.ID, reply, c.sentAt, p.now)
		c.awaitRecord(p.now + fateAckWaitMs)
	})
}

// awaitRecord sends the next poll once the ends that the VM has listed are recorded, or at the time until.
func (c *fatePoll) awaitRecord(until int64) {
	p := c.p
	if p.now < until && p.e.HasUnrecordedEnds(c.v.vm.ID, p.now) {
		p.atOwner(p.now+fateStepMs, func() { c.awaitRecord(until) })
		return
	}
	pause := max(fatePollSpacingMs-(p.now-c.sentAt), 0)
	if p.e.HoldsEnds(c.v.vm.ID, p.now) {
		pause = fateHeldEndsMs
	}
	c.next(pause)
}

// finished reports whether all jobs are complete.
func (p *fatePool) finished() bool {
	for _, s := range p.table.Jobs {
		if !s.State().Final() {
			return false
		}
	}
	return true
}

// quiet reports whether nothing runs.
func (p *fatePool) quiet() bool {
	return !slices.ContainsFunc(p.vms, func(v *fateVM) bool { return v.life != nil && len(v.life.Runs) > 0 })
}

// lastTrace returns the last lines of the trace.
func (p *fatePool) lastTrace(n int) string {
	return strings.Join(p.trace[max(len(p.trace)-n, 0):], "\n")
}

// fateCase is one case of testdata/fates.toml. Its times are in ms since the start of the item was sent to VM "first".
type fateCase struct {
	Name string
	Fate string // what becomes of the start: see fates.toml
	Seen string // how the owner learns of the restart: see fates.toml

	LostUntil  int64   // starts on "first" that are sent before get no reply; only the first one is executed, at CopyAt
	CopyAt     int64   // time at which it is executed, 0 for never
	WorkMs     int64   // work of the item, 20 s if 0
	StopAt     int64   // time at which the owner stops the run, 0 for never
	RestartAt  []int64 // times at which "first" crashes
	DownMs     int64   // time until it has started again under its ID, 0 for never
	Hangs      bool    // polls that the crash interrupts get no reply
	CutAt      int64   // time from which "first" can't be reached, 0 for never
	OtherAt    int64   // time at which a second job has an item for "first", 0 for never
	TakeoverAt []int64 // times at which a next owner replaces the one before
	GoneAt     int64   // time at which "first" is gone for good, as Seen says
	Lasting    bool    // the item lasts
	Slow       bool    // the clock of "first" is 2% slow
	StandAt    int64   // time from which the owner's process stands still, 0 for never
	StandMs    int64   // for how long
	StillMs    int64   // time for which the owner's process stands still between its decision and the first call

	Earliest   int64 // earliest time of an order to start the item on another VM, 0 for any
	Latest     int64 // latest time by which the item must run again behind the last restart, 0 for none
	Adopted    bool  // the run that the late call has started is the only one behind the restart, and completes the item
	Residual   bool  // the late call starts the item behind its end as done or beside another run, which the design can't prevent
	ResidualMs int64 // longest time from the start of that run until it has ended
	NoOther    bool  // no other VM is ever told to start the item
}

// TestFatesOfStarts plays what can become of a start against how a restart of its VM under the same ID is seen. A call without a
// reply may be executed seconds later, by a lifetime of the VM that knows nothing of the calls before it.
func TestFatesOfStarts(t *testing.T) {
	t.Parallel()
	data, err := os.ReadFile("testdata/fates.toml")
	assert.NilError(t, err)
	var script struct{ Case []fateCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		t.Run(c.Fate+", "+c.Seen+": "+c.Name, c.play)
	}
}

// fateItem is the item whose start a case is about.
const fateItem = "j.0.0.0"

func (c *fateCase) play(t *testing.T) {
	const startAt, endMs = 100_000, 90_000
	p := newFatePool(startAt - 1000)
	p.origin, p.traced, p.besideIsResidual = startAt, true, c.Residual
	p.noLists = c.Seen == "poll" || c.Seen == "order" || c.Seen == "nobody"
	work := c.WorkMs
	if work == 0 {
		work = 20_000
	}
	p.planRun = func(o pools.Order) (int64, bool, jobs.Step) {
		fails := c.Fate == "failed" && o.Run == 1 && o.Item == fateItem
		return work, fails, p.jobs[o.JobID].Steps[0]
	}
	first := &fateVM{vm: pools.VM{ID: "first", CPU: 2000, MemMB: 1000, Labels: []string{"only-first"}}, hangs: c.Hangs}
	if c.Slow {
		first.clockPercent = 98
	}
	p.add(first, 500_000) // so that deadlines of its last lifetime lie far ahead of the clock of the next one
	p.takeOver()
	p.run(startAt, func() bool { return false })

	sent := 0
	p.plan = func(v *fateVM, o pools.Order) fateCall {
		call := fateCall{executeAt: p.now + fateLagMs, replied: true}
		if o.Kind != pools.Start || o.Item != fateItem || v != first {
			return call
		}
		sent++
		switch {
		case sent == 1 && c.StillMs > 0:
			call.stillMs = c.StillMs
		case sent == 1 && c.Fate == "reply lost":
			call.replied = false
		case p.now < startAt+c.LostUntil && sent == 1 && c.CopyAt > 0:
			call.executeAt, call.replied = startAt+c.CopyAt, false
		case p.now < startAt+c.LostUntil:
			call.executeAt, call.replied = 0, false
		}
		return call
	}
	orderedElsewhereAt := int64(-1)
	p.onOrder = func(o pools.Order) {
		if o.Kind == pools.Start && o.Item == fateItem && o.VM != "first" && orderedElsewhereAt < 0 {
			orderedElsewhereAt = p.now - startAt
		}
	}
	c.schedule(p, first, startAt)
	p.submit(&jobs.Job{ID: "j", Steps: []jobs.Step{{Count: 1, CPU: 800, MemMB: 10, EstimateMs: work, Persistent: c.Lasting}}})
	p.run(startAt+endMs, func() bool { return p.finished() && p.now > startAt+c.settledMs() })
	p.checkEnds()

	if t.Failed() || len(p.violations) > 0 {
		t.Errorf("%s\n%s", strings.Join(p.violations, "\n"), p.lastTrace(60))
		return
	}
	trace := p.lastTrace(60)
	if c.Earliest > 0 || c.NoOther {
		assert.Assert(t, orderedElsewhereAt < 0 || !c.NoOther && orderedElsewhereAt >= c.Earliest,
			"ordered to start elsewhere at %d ms\n%s", orderedElsewhereAt, trace)
	}
	if !c.Lasting {
		assert.Assert(t, p.finished(), "the jobs are not complete\n%s", trace)
		assert.Equal(t, p.table.Jobs["j"].State(), jobs.Complete)
	}
	c.checkRuns(t, p, startAt, trace)
}

// settledMs returns the time until which a case is played at least.
func (c *fateCase) settledMs() int64 {
	ms := c.CopyAt
	for _, at := range c.RestartAt {
		ms = max(ms, at+c.DownMs)
	}
	return ms + 2000
}

// schedule adds the events of a case.
func (c *fateCase) schedule(p *fatePool, first *fateVM, startAt int64) {
	p.at(startAt+1, func() { // it has joined only now, and is preferred
		p.add(&fateVM{vm: pools.VM{ID: "another", CPU: 2000, MemMB: 1000}}, 400_000)
	})
	for _, at := range c.RestartAt {
		p.at(startAt+at, func() { p.crash(first, c.DownMs) })
	}
	if c.StandAt > 0 {
		p.at(startAt+c.StandAt, func() { p.awakeAt = startAt + c.StandAt + c.StandMs })
	}
	if c.CutAt > 0 {
		p.at(startAt+c.CutAt, func() { first.cutUntil = startAt + 1_000_000 })
	}
	for _, at := range c.TakeoverAt {
		p.at(startAt+at, p.takeOver)
	}
	if c.OtherAt > 0 {
		p.at(startAt+c.OtherAt, func() {
			p.submit(&jobs.Job{ID: "k", Steps: []jobs.Step{{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 500, Label: "only-first"}}})
		})
	}
	if c.StopAt > 0 {
		p.at(startAt+c.StopAt, func() { p.e.stop(p.e.jobs["j"].orderedItems[0], "test", p.now) })
	}
	if c.GoneAt > 0 {
		p.at(startAt+c.GoneAt, func() {
			switch c.Seen {
			case "another vm":
				first.machine.VM = "next"
			case "another pool":
				first.machine.Pool, first.machine.VM = "other", "next"
			case "upkeep":
				first.machine.State, first.machine.VM = pools.MachineBusy, ""
			case "address":
				first.replaced = true
				first.machine.VM = "next"
			}
		})
	}
}

// checkRuns checks the runs behind the last restart.
func (c *fateCase) checkRuns(t *testing.T, p *fatePool, startAt int64, trace string) {
	behind := int64(0)
	for _, at := range append(slices.Clone(c.RestartAt), c.GoneAt) {
		behind = max(behind, at)
	}
	var after []*fateRun
	for _, r := range p.runs[fateItem] {
		if r.at >= startAt+behind {
			after = append(after, r)
		}
	}
	if c.Latest > 0 {
		assert.Assert(t, slices.ContainsFunc(p.runs[fateItem], func(r *fateRun) bool {
			return r.at <= startAt+c.Latest && (r.at >= startAt+behind || r.endAt > startAt+c.Latest)
		}), "does not run again by %d ms\n%s", c.Latest, trace)
	}
	if c.Adopted {
		assert.Assert(t, len(after) == 1 && after[0].vm.vm.ID == "first" && (after[0].kind == pools.EndDone || c.Lasting && after[0].endAt == 0), "run not adopted\n%s", trace)
	}
	assert.Equal(t, len(p.residuals), len(residualsOf(c)), "residual starts\n%s", trace)
	for _, r := range p.residuals {
		assert.Assert(t, r.endAt > 0 && r.endAt-r.at <= c.ResidualMs && (r.polledAt == 0 || r.endAt <= r.polledAt+fateFirstStopMs),
			"a residual run from %d to %d ms, polled at %d ms\n%s", r.at-startAt, r.endAt-startAt, r.polledAt-startAt, trace)
	}
}

// residualsOf returns one element for a case with a residual start.
func residualsOf(c *fateCase) []bool {
	if c.Residual {
		return []bool{true}
	}
	return nil
}

// fateSeeds is the number of plays of TestStartsRunOnceUnderRandomFates.
const fateSeeds = 200

// TestStartsRunOnceUnderRandomFates plays pools with calls that are lost or executed late, VMs that start again under their IDs and
// are cut off, owners that are replaced or stand still. Each item completes, and none runs twice.
func TestStartsRunOnceUnderRandomFates(t *testing.T) {
	t.Parallel()
	residuals, late, lateAcks, shown := 0, 0, 0, false
	for seed := range uint64(fateSeeds) {
		p := playRandomFates(seed, false)
		residuals += len(p.residuals)
		lateAcks += p.lateAcks
		for _, r := range p.residuals {
			assert.Assert(t, r.endAt > 0, "seed %d: the residual run of %d ms goes on", seed, r.at-p.origin)
		}
		for _, list := range p.runs {
			for _, r := range list {
				if r.late {
					late++
				}
			}
		}
		if len(p.violations) > 0 {
			t.Errorf("seed %d: %s", seed, strings.Join(p.violations, "\n"))
		}
		if len(p.violations) > 0 && !shown {
			shown = true
			t.Logf("trace of seed %d:\n%s", seed, playRandomFates(seed, true).lastTrace(600))
		}
	}
	t.Logf("%d starts executed late, %d residual runs, %d starts behind ends that a late poll has acknowledged", late, residuals, lateAcks)
	assert.Assert(t, late > fateSeeds, "too few starts are executed late")
}

// playRandomFates plays one seed.
func playRandomFates(seed uint64, traced bool) *fatePool {
	const startAt, faultMs, endMs = 99_000, 10_000, 90_000
	r := rand.New(rand.NewPCG(seed, 50))
	chance := func(percent int) bool { return r.IntN(100) < percent }
	between := func(a, b int64) int64 { return a + r.Int64N(b-a) }
	p := newFatePool(startAt)
	p.noLists, p.traced = chance(25), traced
	p.planRun = func(o pools.Order) (int64, bool, jobs.Step) {
		h := rand.New(rand.NewPCG(seed, uint64(len(p.runs[o.Item]))+uint64(o.Run)<<8))
		step := p.jobs[o.JobID].Steps[0]
		return step.EstimateMs, o.Run == 1 && h.IntN(100) < 15, step
	}
	for n := range 5 {
		v := &fateVM{vm: pools.VM{ID: fmt.Sprintf("v%d", n), CPU: 4000, MemMB: 4000}, hangs: chance(50)}
		if chance(50) {
			v.clockPercent = 98
		}
		p.add(v, between(1000, 500_000))
	}
	p.plan = func(v *fateVM, o pools.Order) fateCall {
		call := fateCall{executeAt: p.now + fateLagMs, replied: true}
		if p.now > startAt+faultMs {
			return call
		}
		switch n := r.IntN(100); {
		case n < 12:
			call.executeAt, call.replied = p.now+between(500, 11_900), false
			if down := between(100, 800); o.Kind == pools.Start && chance(60) {
				p.at(max(call.executeAt-down-between(0, 200), p.now+1), func() { p.crash(v, down) })
			}
			if o.Kind == pools.Start && chance(20) {
				p.at(call.executeAt+1, func() { v.cutUntil = p.now + between(1000, 15_000) })
			}
		case n < 16:
			call.replied = false
		case n < 20:
			call.executeAt, call.replied = 0, false
		case n < 21:
			call.stillMs = between(200, 4000)
		}
		return call
	}
	p.planPoll = func() int64 {
		if p.now > startAt+faultMs || !chance(2) {
			return 0
		}
		return p.now + between(500, 11_900)
	}
	for range 3 {
		v, down := p.vms[r.IntN(len(p.vms))], between(100, 4000)
		p.at(startAt+between(500, faultMs), func() { p.crash(v, down) })
	}
	for range r.IntN(3) {
		p.at(startAt+between(500, faultMs), p.takeOver)
	}
	for n := range 12 {
		step := jobs.Step{Count: 1 + r.IntN(3), CPU: 1000, MemMB: 100, EstimateMs: between(200, 6000)}
		account := []string{"", "x", "y"}[n%3]
		p.at(startAt+1000+between(0, 8000), func() { p.submit(&jobs.Job{ID: fmt.Sprintf("j%d", n), Account: account, Steps: []jobs.Step{step}}) })
	}
	p.takeOver()
	p.run(startAt+endMs, func() bool { return p.finished() && p.now > startAt+faultMs+12_000 && p.quiet() })
	p.checkEnds()
	for id, s := range p.table.Jobs {
		if state := s.State(); state != jobs.Complete && (state != jobs.Failed || !p.mayFail(id)) {
			p.violate("job %s is %s", id, state)
		}
	}
	return p
}

// mayFail reports whether so many VMs have crashed under an item of a job that it may be poison.
func (p *fatePool) mayFail(id string) bool {
	for item, n := range p.crashes {
		if strings.HasPrefix(item, id+".") && n >= minCrashes {
			return true
		}
	}
	return false
}
