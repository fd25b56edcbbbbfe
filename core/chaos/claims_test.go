package chaos

import (
	"time"

	"sassafrasvalve/core/dedup"
	"sassafrasvalve/core/fleet"
)

// Limits of io/claims.
const (
	claimTimeout = 500 * time.Millisecond
	claimBatch   = 256
)

// callMember mirrors links.Call: it takes the address of a member from the entry's own fold.
func (e *entry) callMember(id string, timeout time.Duration, serve func(*entry) any, handleReply func(any), handleLoss func()) {
	m := e.st.Members[id]
	if m == nil {
		e.after(0, handleLoss)
		return
	}
	e.w.call(e, m.Addr, timeout, serve, handleReply, handleLoss)
}

// claim mirrors claims.Node.Claim.
func (e *entry) claim(c dedup.Claim, done func(dedup.Decision)) {
	a, s := e.claims.StartClaim(e.w.now, c)
	e.claimStep(a, s, done)
}

// claimStep mirrors claims.Node.step, and links.onClaims on the receiving side.
func (e *entry) claimStep(a *dedup.PendingClaim, s dedup.Step, done func(dedup.Decision)) {
	now := func() time.Time { return e.w.now }
	lost := func() { e.claimStep(a, e.claims.HandleTimeout(now(), a), done) }
	switch s.Kind {
	case dedup.StepDecided:
		done(s.Decision)
	case dedup.StepClaim:
		e.callMember(s.To, claimTimeout, func(p *entry) any {
			if !p.group.fresh() {
				return nil
			}
			return p.claims.HandleClaim(now(), s.Claim)
		}, func(r any) { e.claimStep(a, e.claims.HandleClaimReply(now(), a, r.(dedup.ClaimReply)), done) }, lost)
	case dedup.StepHold:
		e.callMember(s.To, claimTimeout, func(p *entry) any { return p.claims.HandleHold(s.Hold) },
			func(r any) { e.claimStep(a, e.claims.HandleCopyReply(now(), a, r.(dedup.HoldReply)), done) }, lost)
	case dedup.StepWait:
		e.after(s.RetryDelay, func() { e.claimStep(a, e.claims.RetryClaim(now(), a), done) })
	}
}

// sendClaims mirrors claims.sender.send for each member, with one series of calls at a time.
func (e *entry) sendClaims() {
	for _, to := range e.claims.View().Live {
		if to == e.group.self.ID || e.claimCalls[to] {
			continue
		}
		q, asking := e.claims.PendingRebuild(to)
		f, h := e.claims.PendingMessages(to, claimBatch)
		var rounds []func(next func())
		if asking {
			rounds = append(rounds, func(next func()) {
				e.callMember(to, claimTimeout, func(p *entry) any { return p.claims.HandleRebuild(q) }, func(r any) {
					e.claims.HandleRebuildReply(e.w.now, to, q, r.(dedup.RebuildReply))
					next()
				}, next)
			})
		}
		if len(f.Held) > 0 {
			rounds = append(rounds, func(next func()) {
				e.callMember(to, claimTimeout, func(p *entry) any { return p.claims.HandleFinish(e.w.now, f) }, func(r any) {
					e.claims.HandleFinishReply(f, r.(dedup.FinishReply))
					next()
				}, next)
			})
		}
		if len(h.Held) > 0 {
			rounds = append(rounds, func(next func()) {
				e.callMember(to, claimTimeout, func(p *entry) any { return p.claims.HandleHold(h) }, func(r any) {
					e.claims.HandleHoldReply(h, r.(dedup.HoldReply))
					next()
				}, next)
			})
		}
		if len(rounds) > 0 {
			e.claimCalls[to] = true
			e.runRounds(rounds, func() { delete(e.claimCalls, to) })
		}
	}
}

func (e *entry) runRounds(rounds []func(next func()), end func()) {
	if len(rounds) == 0 {
		end()
		return
	}
	rounds[0](func() { e.runRounds(rounds[1:], end) })
}

// stop mirrors Daemon.stop: it stops accepting callers and jobs, then hands over keys, then appends the Leave.
func (e *entry) stop() {
	if e.group.stopping {
		return
	}
	e.group.stopping = true
	e.jobs.stop()
	e.after(time.Second, func() { // time for the load balancer to stop sending
		e.stopping = true
		e.awaitIdle()
	})
}

func (e *entry) awaitIdle() {
	if e.inProgress > 0 {
		e.after(50*time.Millisecond, e.awaitIdle)
		return
	}
	e.handOver(false, func() { e.handOver(true, e.leave) })
}

// handOver mirrors claims.Node.handOver.
func (e *entry) handOver(last bool, done func()) {
	parts := e.claims.Handover(e.w.now, last)
	var rounds []func(next func())
	for _, to := range sorted(parts) {
		hs := parts[to]
		rounds = append(rounds, func(next func()) {
			e.callMember(to, claimTimeout, func(p *entry) any { return p.claims.HandleHold(dedup.Hold{Held: hs}) }, func(r any) {
				if r.(dedup.HoldReply).Kept {
					e.claims.MarkHandedOver(to, hs)
				}
				next()
			}, next)
		})
	}
	e.runRounds(rounds, done)
}

// leave mirrors Daemon.leave.
func (e *entry) leave() {
	g := &e.group
	g.leaving = true
	exit := func(outcome) {
		e.w.counts.add("graceful leaves", 1)
		e.w.oracle.checkLeave(e)
		e.kill(false)
	}
	if e.st.Members[g.self.ID] == nil {
		exit(outcome{})
		return
	}
	e.append(fleet.Record{Kind: fleet.KindLeave, Writer: g.self.ID, Leave: &fleet.Leave{Member: g.self.ID}}, 5*time.Second, exit)
}
