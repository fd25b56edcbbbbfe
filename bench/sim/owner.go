package sim

import (
	"sort"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/core/shard"
)

// service holds the jobs of one service, and the owner of its shard.
type service struct {
	w         *World
	name      string
	engine    *shard.Engine // nil before the first owner
	epoch     int64
	cfg       shard.Config
	jobTable  *jobs.JobTable
	appending bool        // a batch is being appended
	removed   []removedVM // VMs that are listed although their lifetime has ended

	unstored *shard.Engine // owner whose records the store does not accept
	noOwner  *shard.Engine // placeholder that is the engine while there is no owner
}

// removedVM is a VM whose lifetime has ended and that stays listed for a while.
type removedVM struct {
	vm    pools.VM
	until int64
}

func newService(w *World, name string) *service {
	return &service{
		w: w, name: name, jobTable: jobs.NewJobTable(),
		cfg: shard.Config{Service: name, StatusRetentionMs: 120_000, MaxEarlyStartMs: 250},
	}
}

// owned reports whether the service has an owner.
func (s *service) owned() bool { return s.engine != nil && s.engine != s.noOwner }

// loseOwner ends the owner without a successor.
func (s *service) loseOwner() {
	s.noOwner = shard.New(s.cfg, s.w.catalog, s.w.now)
	s.engine = s.noOwner
}

// startOwner starts a new owner with the next epoch. clean is set for the first owner, before which nothing ran.
func (s *service) startOwner(clean bool) {
	w := s.w
	s.epoch++
	cfg := s.cfg
	cfg.Epoch = s.epoch
	s.engine = shard.New(cfg, w.catalog, w.now)
	s.appending = false
	ids := make([]string, 0, len(s.jobTable.Jobs))
	for id := range s.jobTable.Jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		s.engine.LoadJob(id, s.jobTable.Jobs[id], w.now, w.now+wallClockBaseMs)
	}
	if w.site != nil && !clean {
		s.engine.RestoreDemand(w.site.reports[s.name], w.now)
	}
	s.sendVMList()
	if !clean {
		s.engine.RequireInitialPolls(w.now)
		s.engine.SetMachines(s.runningMachines(), w.now, w.now)
	}
	s.renew()
	for _, m := range w.machines {
		if m.service == s {
			s.pollVM(m, s.engine)
		}
	}
}

// listedVMs returns the VMs as the platform lists them.
func (s *service) listedVMs() []pools.VM {
	var list []pools.VM
	for _, m := range s.w.machines {
		if m.service == s && !m.dark {
			list = append(list, m.vm.VM)
		}
	}
	kept := s.removed[:0]
	for _, r := range s.removed {
		if s.w.now < r.until {
			kept = append(kept, r)
			list = append(list, r.vm)
		}
	}
	s.removed = kept
	return list
}

// runningMachines returns the machines of the pool as the platform lists them.
func (s *service) runningMachines() []pools.Machine {
	var list []pools.Machine
	for _, m := range s.w.machines {
		if m.service == s {
			list = append(list, pools.Machine{ID: m.vm.Machine, Pool: s.name, VM: m.vm.ID, State: pools.MachineUp})
		}
	}
	return list
}

// sendVMList sets the list of VMs of the owner.
func (s *service) sendVMList() { s.engine.SetVMs(s.listedVMs(), s.w.now) }

// renew confirms the ownership, as a renewal of the claim does.
func (s *service) renew() {
	if s.owned() && s.engine != s.unstored && !s.w.storeDown() {
		s.engine.MarkOwnershipConfirmed(s.w.now)
	}
}

// step runs an iteration of the owner, as its loop does: it plans, sends orders and appends the next batch.
func (s *service) step() {
	w, e := s.w, s.engine
	if !s.owned() {
		return
	}
	if !w.storeDown() {
		e.MarkStoreReachable(w.now)
	}
	e.Advance(w.now, w.now+wallClockBaseMs)
	s.dispatch(e, e.TakeOrders())
	e.TakeEvents()
	if w.site != nil {
		w.site.reports[s.name] = e.DemandReport()
	}
	if s.appending || w.storeDown() {
		return
	}
	b, err := e.NextBatch()
	if err != nil {
		w.check.addFault("ENCODE", "%v", err)
		return
	}
	if b == nil {
		return
	}
	startedAt := w.now
	s.appending = true
	w.at(w.now+appendMs, func() { s.handleAppended(e, b, startedAt) })
}

// handleAppended applies the records of a batch that the store has appended.
func (s *service) handleAppended(e *shard.Engine, b *shard.Batch, startedAt int64) {
	w := s.w
	if e != s.engine || e == s.unstored {
		return // the owner was replaced, or the store did not accept the batch
	}
	for _, r := range b.Records {
		if _, err := s.jobTable.Apply(r); err != nil {
			w.check.addFault("ENCODE", "%v", err)
		}
	}
	s.recordFinished()
	s.appending = false
	e.MarkOwnershipConfirmed(startedAt)
	s.dispatch(e, e.HandleBatchStored(b, w.now))
	s.step()
}

// recordFinished records and checks the jobs whose final state has become visible to callers.
func (s *service) recordFinished() {
	for id, entry := range s.jobTable.Jobs {
		d := s.w.jobs[id]
		if d == nil || d.doneMs > 0 || !entry.Progress.State.Final() {
			continue
		}
		d.doneMs = s.w.now
		d.failed = entry.Progress.State == jobs.Failed
		s.w.check.finished(d, entry.Progress.State)
	}
}

// dispatch sends orders to the VMs. Lost orders get no reply, and half of those lost on an available VM are executed
// 2 s to 8 s later.
func (s *service) dispatch(e *shard.Engine, orders []pools.Order) {
	w := s.w
	for _, o := range orders {
		m := w.machineOf(o.VM)
		if m == nil || m.dark || w.rng.Float64() < m.loseOrders {
			if m != nil && !m.dark && w.rng.Float64() < 0.5 {
				life := m.lifetime
				w.at(w.now+2000+w.rng.Int64N(6000), func() {
					if m.lifetime == life && !m.dark {
						m.vm.Do(o, w.now)
						w.scheduleNextEnd(m)
					}
				})
			}
			w.at(w.now+timeoutMs, func() { s.reply(e, o, pools.Reply{Kind: pools.NoReply}) })
			continue
		}
		life := m.lifetime
		w.at(w.now+hopMs, func() {
			if m.dark || m.lifetime != life {
				w.at(w.now+timeoutMs, func() { s.reply(e, o, pools.Reply{Kind: pools.NoReply}) })
				return
			}
			r := m.vm.Do(o, w.now)
			w.scheduleNextEnd(m)
			w.at(w.now+hopMs, func() { s.reply(e, o, r) })
		})
	}
}

func (s *service) reply(e *shard.Engine, o pools.Order, r pools.Reply) {
	if e != s.engine {
		return
	}
	if o.Kind == pools.Start {
		s.w.starts++
	}
	e.HandleOrderReply(o, r, s.w.now)
	if r.Kind != pools.Done {
		s.step()
	}
}

// pollVM polls the present lifetime of a machine's VM for an owner. It schedules itself again until the lifetime ends or
// the owner is replaced.
func (s *service) pollVM(m *machine, e *shard.Engine) {
	w, life, id := s.w, m.lifetime, m.vm.ID
	if e != s.engine || !s.owned() {
		return
	}
	again := func() {
		if m.lifetime == life {
			s.pollVM(m, e)
		}
	}
	call, ok := e.NextPoll(id, w.now)
	switch {
	case !ok:
		w.at(w.now+150, again)
		return
	case m.dark:
		w.at(w.now+timeoutMs, func() {
			if e == s.engine {
				e.HandlePollFailure(id, w.now)
				again()
			}
		})
		return
	}
	w.at(w.now+hopMs, func() {
		if m.lifetime != life || m.dark {
			w.at(w.now+timeoutMs, func() {
				if e == s.engine {
					e.HandlePollFailure(id, w.now)
					again()
				}
			})
			return
		}
		m.vm.Advance(w.now)
		m.held = &heldPoll{call: call, sentAt: w.now - hopMs, heldUntil: w.now + call.WaitMs}
		p := m.held
		s.answerPoll(m, e)
		if m.held == p {
			w.at(p.heldUntil, func() {
				if m.held == p {
					s.finishPoll(m, e)
				}
			})
		}
	})
}

// answerPoll replies to the held poll of a VM if the poll does not wait or there are ends to report.
func (s *service) answerPoll(m *machine, e *shard.Engine) {
	if m.held != nil && (m.held.call.WaitMs == 0 || m.vm.Pending(m.held.call.AckedSeq)) {
		s.finishPoll(m, e)
	}
}

// finishPoll replies to the held poll of a VM and schedules the next poll.
func (s *service) finishPoll(m *machine, e *shard.Engine) {
	w, p, life, id := s.w, m.held, m.lifetime, m.vm.ID
	m.held = nil
	l := m.vm.Poll(p.call, w.now)
	dark := m.dark
	w.at(w.now+hopMs, func() {
		if e != s.engine {
			return
		}
		if dark {
			e.HandlePollFailure(id, w.now)
		} else if e.HandlePollReply(id, l, p.sentAt, w.now) {
			s.step()
		}
		next := max(p.sentAt+pollGapMs, w.now)
		switch {
		case e.HasUnrecordedEnds(id, w.now):
			next = w.now + appendMs + 2
		case e.HoldsEnds(id, w.now):
			next = w.now + heldEndsPauseMs
		}
		w.at(next, func() {
			if m.lifetime == life {
				s.pollVM(m, e)
			}
		})
	})
}
