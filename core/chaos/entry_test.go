package chaos

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sassafrasvalve/core/dedup"
	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/member"
	"sassafrasvalve/core/plan"
	"sassafrasvalve/core/retry"
)

// entry is an entry process. Events that reach it while it is frozen are processed when it wakes up.
type entry struct {
	w       *world
	place   place
	st      *fleet.State
	group   group
	started time.Time

	dead, frozen bool
	frozenAt     time.Time // start of the newest freeze
	wokeAt       time.Time
	diedAt       time.Time
	backlog      []func()
	stopping     bool // refuses new requests
	inProgress   int  // callers' requests and job runs in progress

	appends       map[string]*pendingAppend
	pending       map[string]bool // mirrors daemon.pendingSet
	reading       int             // open reads
	readNext      int             // number of the read whose response is used
	learned       map[string]bool
	claims        *dedup.Member
	claimCalls    map[string]bool // members with a claims call in progress
	pools         map[string]*pool
	slotCalls     map[string]bool
	passAt        time.Time
	passNumber    int
	pushedOffset  int64
	configVersion int // of the configuration in use
	list          plan.VMList
	listReadAt    time.Time
	listPolledAt  time.Time // start of the newest poll of the VM list
	ownLeaving    []string
	allLeaving    []string
	health        *health
	planner       *plan.Planner
	budgets       map[string]*retry.Budget
	jobs          *jobs
	lapse         member.LapseTimer
	attempts      map[*execution]func() // attempts in progress, with functions that close their connections
}

// launch starts a process at place i. It mirrors Daemon.Run up to the start of the loops.
func (w *world) launch(i int) {
	e := &entry{
		w: w, place: w.places[i], st: newState(), started: w.now, appends: map[string]*pendingAppend{}, pending: map[string]bool{},
		learned: map[string]bool{}, claims: dedup.NewMember(dedup.Config{}), claimCalls: map[string]bool{}, pools: map[string]*pool{},
		slotCalls: map[string]bool{}, pushedOffset: -1, health: newHealth(), planner: plan.New(planConfig()),
		budgets:  map[string]*retry.Budget{},
		attempts: map[*execution]func(){},
	}
	e.jobs = newJobs(e)
	e.group = group{e: e, peers: map[string]digest{}}
	e.group.renew(w.now)
	w.procs[i] = e
	w.counts.add("process starts", 1)
	e.tryStart()
}

// planConfig shortens the times of the planner's rules, so that the rules apply within a run of a minute or two.
func planConfig() plan.Config {
	return plan.Config{
		FillPools: true, MinAbsence: 4 * time.Second, MinMassLoss: 20 * time.Second, DrainTimeout: 25 * time.Second,
		RebootTimeout: 12 * time.Second, RebootRepeat: 3 * time.Second, ReadyFor: time.Second, StableFor: 3 * time.Second,
		ReportSettleTime: 3 * time.Second, FlapWindow: 30 * time.Second, FlapHold: 15 * time.Second, ReplaceAfter: 6 * time.Second,
		ReplaceUrgentAfter: 2 * time.Second, SurplusAfter: 10 * time.Second, MoveHold: 10 * time.Second, MoveHoldTakeover: 3 * time.Second,
	}
}

// do runs f in the process now, or when it wakes up if it is frozen. It does nothing if the process is dead.
func (e *entry) do(f func()) {
	switch {
	case e.dead:
	case e.frozen:
		e.backlog = append(e.backlog, f)
	default:
		f()
	}
}

func (e *entry) after(d time.Duration, f func()) { e.w.after(d, func() { e.do(f) }) }

// every runs f once per period, as a loop of the daemon does.
func (e *entry) every(period time.Duration, f func()) {
	e.after(period, func() {
		f()
		e.every(period, f)
	})
}

func (e *entry) freeze() {
	e.frozen, e.frozenAt = true, e.w.now
}

func (e *entry) wake() {
	e.frozen, e.wokeAt = false, e.w.now
	backlog := e.backlog
	e.backlog = nil
	for i, f := range backlog {
		if e.frozen { // f froze the process again
			e.backlog = append(e.backlog, backlog[i:]...)
			return
		}
		e.do(f)
	}
}

// kill ends the process. Its connections break, unless its VM fails as well.
func (e *entry) kill(vm bool) {
	e.dead, e.diedAt = true, e.w.now
	e.w.dead = append(e.w.dead, e)
	for i, p := range e.w.procs {
		if p == e {
			e.w.procs[i] = nil
		}
	}
	if !vm {
		for _, id := range e.w.workerIDs() {
			for _, x := range slices.Clone(e.w.workers[id].running) {
				if x.sender == e {
					e.w.after(e.w.networkDelay(), func() { x.stop(false) })
				}
			}
		}
	}
}

// tryStart mirrors Daemon.start: it gets the state from the log, or from a peer while the log is unavailable.
func (e *entry) tryStart() {
	again := func() { e.after(300*time.Millisecond, e.tryStart) }
	fromPeer := func() {
		asked := false
		for _, p := range e.w.places {
			if peer := e.w.proc(p.vm); !asked && peer != nil && peer != e && peer.st.Offset >= 0 {
				asked = true
				e.w.call(e, p.vm, time.Second, func(p *entry) any { return p.st.Offset }, func(r any) {
					if o := r.(int64); o >= 0 {
						e.fold(0, o+1, time.Time{})
						e.startLoops()
						return
					}
					again()
				}, again)
			}
		}
		if !asked {
			again()
		}
	}
	e.platform(5*time.Second, 0, func() any { return int64(len(e.w.log.data)) }, func(any) { e.startLoops() }, fromPeer, fromPeer)
}

// startLoops mirrors Daemon.runLoops. Each loop starts after a random part of its period, since processes don't run
// in step.
func (e *entry) startLoops() {
	e.read()
	for _, l := range []struct {
		period time.Duration
		f      func()
	}{
		{member.HeartbeatInterval, e.heartbeat},
		{member.HeartbeatInterval, e.sponsor},
		{member.HeartbeatInterval, e.followLeaving},
		{100 * time.Millisecond, e.viewTick},
		{250 * time.Millisecond, e.memberTick},
		{100 * time.Millisecond, e.sendClaims},
		{time.Second, func() { e.claims.Expire(e.w.now) }},
		{500 * time.Millisecond, e.control},
		{time.Second, e.probe},
		{250 * time.Millisecond, e.pollList},
		{200 * time.Millisecond, e.jobs.tick},
	} {
		e.after(e.w.randomDuration(0, l.period), func() {
			l.f()
			e.every(l.period, l.f)
		})
	}
	e.pass()
}

// read mirrors oplog.Reader: it starts another read if one is overdue, and uses the first response.
func (e *entry) read() {
	if e.reading >= 8 {
		e.after(400*time.Millisecond, e.read)
		return
	}
	number, from, began := e.readNext, e.st.Offset+1, e.w.now
	e.reading++
	finishRead := func(next time.Duration) {
		e.reading--
		if number == e.readNext {
			e.readNext++
			e.after(next, e.read)
		}
	}
	e.platform(6*time.Second, 0, func() any { return int64(len(e.w.log.data)) }, func(r any) {
		if number != e.readNext {
			e.reading--
			return
		}
		end := r.(int64)
		next := max(min(end, from+512), e.st.Offset+1)
		read := time.Time{}
		if next >= end {
			read = began
		}
		e.fold(from, min(end, from+512), read)
		finishRead(100 * time.Millisecond)
	}, func() { finishRead(200 * time.Millisecond) }, func() { finishRead(0) })
	e.after(800*time.Millisecond, func() {
		if number == e.readNext {
			e.read()
		}
	})
}

// fold mirrors Daemon.fold and Daemon.handleFold.
func (e *entry) fold(from, next int64, read time.Time) {
	before := e.st.Offset
	e.w.log.foldInto(e.st, from, next, e.observe)
	if e.st.Offset > before {
		e.after(time.Millisecond, e.viewTick) // wakes up Daemon.viewLoop
	}
	e.setClaimMembers()
	e.group.folded(read)
}

// setClaimMembers mirrors Daemon.setClaimMembers.
func (e *entry) setClaimMembers() {
	var members []string
	lost := 0
	for id, m := range e.st.Members {
		if m.Region == e.place.region {
			members = append(members, id)
		}
	}
	for _, l := range e.st.Losses {
		if l.Region == e.place.region && e.w.now.Sub(l.At) < dedup.DefaultRetention+time.Minute {
			lost++
		}
	}
	slices.Sort(members)
	e.claims.SetView(e.w.now, dedup.View{Offset: e.st.Offset, Self: e.group.self.ID, Live: members, Lost: lost})
}

// addresses mirrors addrBook.All. The settings of each entry contain the addresses of all places.
func (e *entry) addresses() []string {
	var out []string
	for _, p := range e.w.places {
		if p.vm != e.place.vm {
			out = append(out, p.vm)
		}
	}
	return out
}

// heartbeat mirrors peer.Heartbeater, links.onPing and links.HandleReply.
func (e *entry) heartbeat() {
	for _, to := range e.addresses() {
		sent, d := e.w.now, e.group.digest()
		e.w.call(e, to, time.Second, func(p *entry) any {
			if p.st.Offset < 0 {
				return nil
			}
			promise := p.group.pinged(d)
			return pong{p.group.digest(), promise}
		}, func(r any) {
			answer := r.(pong)
			e.catchUp(to, answer.offset, e.w.now.Add(member.SilenceTimeout), func() { e.group.ponged(sent, answer) })
		}, func() {})
	}
}

// catchUp mirrors links.catchUp.
func (e *entry) catchUp(addr string, to int64, limit time.Time, done func()) {
	from := e.st.Offset + 1
	if from > to || !e.w.now.Before(limit) {
		done()
		return
	}
	e.w.call(e, addr, limit.Sub(e.w.now), func(p *entry) any { return min(p.st.Offset+1, from+128) }, func(r any) {
		e.fold(from, r.(int64), time.Time{})
		if e.st.Offset < from {
			done()
			return
		}
		e.catchUp(addr, to, limit, done)
	}, done)
}

// sponsor mirrors links.sponsor.
func (e *entry) sponsor() {
	if e.group.joined() || e.pushedOffset < 0 {
		return
	}
	for _, to := range e.addresses() {
		sent, self, view := e.w.now, e.group.self.ID, e.pushedOffset
		e.w.call(e, to, time.Second, func(p *entry) any {
			term, _ := p.group.core.Sponsor(self, view, p.st, &p.group.lease, p.w.now)
			return term.Truncate(time.Millisecond)
		}, func(r any) {
			if term := r.(time.Duration); term > 0 {
				e.w.counts.add("guest leases", 1)
				e.group.guest.Renew(sent, term)
			}
		}, func() {})
	}
}

// memberTick mirrors one iteration of Daemon.memberLoop. It does not model missingEntries.
func (e *entry) memberTick() {
	g := &e.group
	if e.st.Members[g.self.ID] == nil && !g.leaving {
		m := g.self
		e.submit(fleet.Record{Kind: fleet.KindJoin, Writer: m.ID, Join: &fleet.Join{Member: m}}, nil)
	}
	for _, r := range g.core.DueSuspects(e.st, e.w.now) {
		r.ID = e.w.newID("r")
		e.suspect(r)
	}
	if g.acting() {
		for _, r := range append(g.core.DueEvicts(e.st), g.core.DueFences(e.w.now)...) {
			e.submit(r, nil)
		}
	}
}

// suspect mirrors Daemon.appendSuspect.
func (e *entry) suspect(r fleet.Record) {
	e.submit(r, func(o outcome) {
		if o.verdict == accepted || o.verdict == rejected {
			e.group.core.RecordSuspect(r.Suspect.Target, o.offset)
			return
		}
		e.suspect(r)
	})
}

// viewTick mirrors one iteration of Daemon.viewLoop.
func (e *entry) viewTick() {
	e.pushViews()
	e.closeLapsed()
	if r, due := e.group.ack(e.pushedOffset, e.inProgressOn); due {
		e.submit(r, nil)
	}
}

// closeLapsed mirrors Daemon.closeAttemptsWithoutLease.
func (e *entry) closeLapsed() {
	if !e.lapse.MustClose(e.w.now, e.group.valid(e.w.now)) {
		return
	}
	for _, x := range slices.SortedFunc(maps.Keys(e.attempts), func(a, b *execution) int { return cmp.Compare(a.request, b.request) }) {
		e.w.counts.add("attempts closed without a lease", 1)
		e.attempts[x]()
	}
}

// inProgressOn mirrors pools.inProgress.
func (e *entry) inProgressOn(vm string) int {
	n := 0
	for _, p := range e.pools {
		n += p.holder.InUse(vm)
	}
	return n
}

// followLeaving mirrors one iteration of Daemon.leaveLoop, and leavingSet.Update.
func (e *entry) followLeaving() {
	var own []string
	for id, l := range e.list.VMs {
		if l.State == plan.ListLeaving {
			own = append(own, id)
		}
	}
	slices.Sort(own)
	all := slices.Clone(own)
	for _, p := range e.group.sortedPeers() {
		if e.w.now.Sub(p.at) <= 10*time.Second {
			all = append(all, p.leaving...)
		}
	}
	slices.Sort(all)
	all = slices.Compact(all)
	changed := !slices.Equal(all, e.allLeaving)
	e.ownLeaving, e.allLeaving = own, all
	if changed {
		e.pushViews()
	}
}

// pollList mirrors one iteration of vmlist.Client.Run.
func (e *entry) pollList() {
	slow := !e.group.acting() && e.group.readsLog() && e.group.peerReadsList()
	if e.list.Read && slow && e.w.now.Sub(e.listReadAt) < 10*time.Second || e.w.now.Sub(e.listPolledAt) < time.Second {
		return
	}
	e.listPolledAt = e.w.now
	e.platform(2*time.Second, 0, func() any {
		if e.w.list.down || !e.w.list.served.Read {
			return nil
		}
		return e.w.list.served
	}, func(r any) {
		l := r.(plan.VMList)
		if !e.list.Read || !l.AsOf.Before(e.list.AsOf) {
			e.list, e.listReadAt = l, e.w.now
		}
	}, func() {}, func() {})
}
