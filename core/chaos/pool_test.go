package chaos

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sassafrasvalve/core/admit"
	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/route"
	"sassafrasvalve/core/slots"
	"sassafrasvalve/core/spec"
)

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// pool mirrors sched.Pool, which cannot be used here since its Acquire blocks a goroutine per request.
type pool struct {
	e         *entry
	name      string
	workers   map[string]bool
	order     []fleet.VM
	queue     *admit.Queue
	holder    *slots.Holder
	owner     *slots.Owner
	table     *route.Table
	expiredAt time.Time
}

// waiter mirrors sched.waiter.
type waiter struct {
	exclude []string
	chosen  string
	result  func(*grant)
	done    bool
}

// grant mirrors sched.Grant.
type grant struct {
	vm       string
	pool     *pool
	ticket   *admit.Ticket
	released bool
}

// pushViews mirrors Daemon.pushViews.
func (e *entry) pushViews() {
	st, region, now := e.st, e.place.region, e.w.now
	var members []string
	for id, m := range st.Members {
		if m.Region == region {
			members = append(members, id)
		}
	}
	slices.Sort(members)
	f := st.Config.Fleet
	for _, p := range f.Pools {
		if p.Region != "" && p.Region != region {
			continue
		}
		q := e.pools[p.Name]
		if q == nil {
			q = &pool{
				e: e, name: p.Name, queue: admit.New(now, admit.Config{}), holder: slots.NewHolder(now, p.Name, slots.Policy{}),
				owner: slots.NewOwner(p.Name, slots.Policy{}), table: route.NewTable(route.Config{DC: e.place.dc, Seed: uint64(now.UnixNano())}),
			}
			e.pools[p.Name] = q
		}
		q.setView(st, p, members, f)
	}
	e.pushedOffset, e.configVersion = st.Offset, st.Config.Version
	e.wakePass()
}

// setView mirrors sched.Pool.SetView, sched.View.slotsView and sched.View.admitConfig.
func (p *pool) setView(st *fleet.State, s spec.Pool, members []string, f spec.Fleet) {
	now := p.e.w.now
	v := slots.View{Self: p.e.group.self.ID, Members: members, Slots: cmp.Or(s.Slots, spec.DefaultSlots), Connections: cmp.Or(s.Connections, spec.DefaultConnections)}
	p.workers, p.order = map[string]bool{}, nil
	for _, vm := range st.RoutableVMs(p.e.place.region, p.name) {
		if slices.Contains(p.e.allLeaving, vm.ID) {
			continue
		}
		p.workers[vm.ID] = true
		p.order = append(p.order, *vm)
		v.Workers = append(v.Workers, vm.ID)
	}
	var a admit.Config
	for _, c := range f.Classes {
		v.Classes = append(v.Classes, slots.Class{Name: c.Name, Rank: c.Rank, Share: c.Share, Ceiling: c.Ceiling})
		a.Classes = append(a.Classes, admit.Class{
			Name: c.Name, Rank: c.Rank, Share: c.Share, Ceiling: c.Ceiling, MaxWait: time.Duration(c.MaxWait), Deferrable: c.Deferrable,
		})
	}
	n := max(1, len(members))
	for _, t := range f.Tenants {
		a.Tenants = append(a.Tenants, admit.Tenant{Name: t.Name, Weight: t.Weight, Rate: t.Rate / float64(n), Burst: t.Burst})
	}
	p.table.SetMembers(v.Workers)
	p.queue.Configure(now, a)
	p.holder.SetView(now, v)
	p.owner.SetView(now, v)
	p.step(now)
}

// acquire mirrors sched.Pool.enqueue. It calls result with the grant, or with nil if the request is refused, and returns
// a function that cancels the request.
func (p *pool) acquire(r admit.Request, exclude []string, result func(*grant)) (cancel func()) {
	now := p.e.w.now
	wt := &waiter{exclude: exclude}
	wt.result = func(g *grant) {
		p.e.after(0, func() {
			if !wt.done {
				wt.done = true
				result(g)
			} else if g != nil {
				g.done(retry.NotRun, false)
			}
		})
	}
	r.Value = wt
	if !p.e.group.fresh() || len(p.workers) == 0 {
		wt.result(nil)
		return func() {}
	}
	t, refusal := p.queue.Enqueue(now, r)
	if refusal != nil {
		wt.result(nil)
		return func() {}
	}
	p.dispatch(now)
	p.updateQueueLengths(now)
	return func() { // mirrors sched.Pool.cancel
		if wt.done {
			return
		}
		wt.done = true
		if p.queue.Cancel(t) {
			p.updateQueueLengths(p.e.w.now)
		}
	}
}

// dispatch mirrors sched.Pool.dispatch.
func (p *pool) dispatch(now time.Time) {
	p.queue.SetSlots(p.holder.Slots(now))
	total, run, wait := p.holder.PoolLoad(now)
	p.queue.SetPoolLoad(admit.PoolLoad{Slots: total, Run: run, Wait: wait, SlotsPending: p.holder.Mode(now) != slots.ModeFallback})
	if p.queue.Len() == 0 {
		return
	}
	cands := p.candidates(now)
	for len(cands) > 0 {
		t := p.queue.Next(now, func(t *admit.Ticket) bool { return p.choose(now, t.Value.(*waiter), cands) })
		if t == nil {
			return
		}
		wt := t.Value.(*waiter)
		p.holder.Start(now, wt.chosen)
		cands = p.candidates(now)
		wt.result(&grant{vm: wt.chosen, pool: p, ticket: t})
	}
}

func (p *pool) candidates(now time.Time) []route.Candidate {
	var out []route.Candidate
	for _, vm := range p.order {
		if p.holder.Free(now, vm.ID) > 0 {
			out = append(out, route.Candidate{VM: vm.ID, DC: vm.DC, InUse: p.holder.InUse(vm.ID)})
		}
	}
	return out
}

// choose mirrors sched.Pool.choose.
func (p *pool) choose(now time.Time, wt *waiter, cands []route.Candidate) bool {
	others := slices.ContainsFunc(p.order, func(vm fleet.VM) bool { return !slices.Contains(wt.exclude, vm.ID) })
	if others {
		cands = slices.DeleteFunc(slices.Clone(cands), func(c route.Candidate) bool { return slices.Contains(wt.exclude, c.VM) })
	}
	if len(cands) == 0 {
		return false
	}
	vm, ok := p.table.Pick(now, cands)
	wt.chosen = vm
	return ok
}

// step mirrors sched.Pool.processQueue.
func (p *pool) step(now time.Time) {
	p.dispatch(now)
	if now.Sub(p.expiredAt) >= 50*time.Millisecond {
		p.expiredAt = now
		for _, x := range p.queue.ExpireQueued(now) {
			x.Ticket.Value.(*waiter).result(nil)
		}
	}
	p.updateQueueLengths(now)
}

func (p *pool) updateQueueLengths(now time.Time) {
	before := p.holder.Due()
	p.holder.SetQueueLengths(now, p.queue.QueueLengths())
	if p.holder.Due().Before(before) {
		p.e.wakePass()
	}
}

// done mirrors sched.Grant.Done.
func (g *grant) done(v retry.Verdict, failed bool) {
	if g.released {
		return
	}
	g.released = true
	p := g.pool
	now := p.e.w.now
	p.holder.Finish(now, g.vm)
	p.queue.Finish(now, g.ticket, v != retry.NotRun)
	if v != retry.NotRun || failed {
		p.table.Report(now, g.vm, route.Outcome{Failed: failed, Elapsed: now.Sub(g.ticket.Started)})
	}
	p.dispatch(now)
	p.updateQueueLengths(now)
	p.e.wakePass()
}

func (p *pool) handleReport(r slots.Report) slots.Reply {
	if !p.e.group.fresh() {
		return slots.Reply{Pool: p.name, Seq: r.Seq, Stale: true}
	}
	return p.owner.HandleReport(p.e.w.now, r)
}

func (p *pool) handleReply(owner string, r slots.Reply) {
	p.holder.Apply(p.e.w.now, owner, r)
	p.step(p.e.w.now)
}

// report mirrors sched.Pool.report.
func (p *pool) report(now time.Time, owner string) (slots.Report, bool) {
	if owner == "" || p.holder.Owner() != owner {
		return slots.Report{}, false
	}
	var d slots.Load
	for _, l := range p.queue.Loads() {
		d.Run, d.Wait = append(d.Run, l.Running), append(d.Wait, l.Waiting)
	}
	return p.holder.Report(now, d), true
}

// minPassInterval separates the passes of one entry, since the simulated clock does not advance during a pass.
const minPassInterval = 5 * time.Millisecond

func (e *entry) wakePass() { e.planPass(e.w.now.Add(minPassInterval)) }

func (e *entry) planPass(at time.Time) {
	if e.passAt.After(e.w.now) && !at.Before(e.passAt) {
		return
	}
	e.passAt = at
	e.passNumber++
	n := e.passNumber
	e.after(at.Sub(e.w.now), func() {
		if n == e.passNumber {
			e.pass()
		}
	})
}

// pass mirrors sched.Set.pass and sched.link.exchange. Like links of the daemon, it sends no updates to other members.
func (e *entry) pass() {
	now := e.w.now
	wait := 100 * time.Millisecond
	due := map[string][]*pool{}
	for _, name := range sorted(e.pools) {
		p := e.pools[name]
		p.step(now)
		at, owner := p.holder.Due(), p.holder.Owner()
		switch {
		case owner == "":
		case at.After(now.Add(slots.BatchWindow)):
			wait = min(wait, at.Sub(now))
		case owner == e.group.self.ID:
			if r, ok := p.report(now, owner); ok {
				p.handleReply(owner, p.handleReport(r))
				e.updates(p)
			}
		default:
			due[owner] = append(due[owner], p)
		}
	}
	for _, owner := range sorted(due) {
		e.exchange(owner, due[owner])
	}
	e.passAt = time.Time{}
	e.planPass(now.Add(max(wait, minPassInterval)))
}

func (e *entry) updates(p *pool) {
	for _, u := range p.owner.Updates(e.w.now) {
		if u.Member == e.group.self.ID {
			p.handleReply(u.Member, u.Reply)
		}
	}
}

func (e *entry) exchange(owner string, ps []*pool) {
	if e.slotCalls[owner] {
		return
	}
	var reports []slots.Report
	for _, p := range ps {
		if r, ok := p.report(e.w.now, owner); ok {
			reports = append(reports, r)
		}
	}
	e.slotCalls[owner] = true
	free := func() {
		delete(e.slotCalls, owner)
		e.wakePass()
	}
	e.callMember(owner, slots.ExchangeTimeout, func(q *entry) any {
		var out []slots.Reply
		for _, r := range reports {
			reply := slots.Reply{Pool: r.Pool, Seq: r.Seq, Stale: true}
			if p := q.pools[r.Pool]; p != nil {
				reply = p.handleReport(r)
				q.after(minPassInterval, func() { q.updates(p) })
			}
			out = append(out, reply)
		}
		return out
	}, func(r any) {
		for _, reply := range r.([]slots.Reply) {
			e.pools[reply.Pool].handleReply(owner, reply)
		}
		free()
	}, free)
}
