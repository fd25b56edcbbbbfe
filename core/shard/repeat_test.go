package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// repeatVMs holds two VMs. Once "A" was polled, items prefer it, as it has less free CPU.
var repeatVMs = []pools.VM{
	{ID: "a", Service: "s", Addr: "x", Machine: "ma", CPU: 1000, MemMB: 1000},
	{ID: "A", Service: "s", Addr: "y", Machine: "mb", CPU: 500, MemMB: 1000},
}

// repeatEngine returns an engine that started an item on VM "a" at 10 ms without a reply, as it says at 310 ms. VM "A" is usable.
func repeatEngine(t *testing.T, step jobs.Step, attempts int) (*Engine, pools.Order) {
	t.Helper()
	e := New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
	e.SetVMs(repeatVMs, 0)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: 1}, 1, 1)
	e.MarkOwnershipConfirmed(10)
	e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", MaxAttempts: attempts, Steps: []jobs.Step{step}}}, 10, 10)
	e.Advance(10, 10)
	o := e.TakeOrders()
	assert.Equal(t, len(o), 1)
	e.HandleOrderReply(o[0], pools.Reply{Kind: pools.NoReply}, 310)
	return e, o[0]
}

// ordersAt returns the orders of a time at which "A" and the log answer.
func ordersAt(t *testing.T, e *Engine, now int64) []pools.Order {
	t.Helper()
	e.MarkOwnershipConfirmed(now)
	e.MarkStoreReachable(now)
	e.HandlePollReply("A", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1, Running: e.runsOn("A")}, now, now)
	e.Advance(now, now)
	orders := e.TakeOrders()
	b, err := e.NextBatch()
	assert.NilError(t, err)
	if b != nil {
		orders = append(orders, e.HandleBatchStored(b, now)...)
	}
	return orders
}

var shortStep = jobs.Step{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 500}

// TestRefusedRepeatIsSentAsTheSameRun guards against two runs of an item at once on one VM in one lifetime: a copy of the start is refused, the item
// starts there as the next run, and an earlier copy of the last run is executed before its deadline.
func TestRefusedRepeatIsSentAsTheSameRun(t *testing.T) {
	for name, kind := range map[string]pools.ReplyKind{
		"not sent": pools.NotExecuted, "no capacity": pools.NoCapacity, "unhealthy": pools.Unhealthy,
	} {
		t.Run(name, func(t *testing.T) {
			e, first := repeatEngine(t, shortStep, 0)
			e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 320, StartedAtMs: 1}, 320, 320)
			orders := ordersAt(t, e, 321)
			assert.Equal(t, len(orders), 1)
			if orders[0].Kind == pools.Stop {
				return
			}
			assert.Equal(t, orders[0].Run, first.Run)
			e.HandleOrderReply(orders[0], pools.Reply{Kind: kind}, 325)
			for now := int64(340); now < first.DeadlineMs; now += 40 { // the VM executes the first copy until then
				e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1}, now, now)
				for _, o := range ordersAt(t, e, now) {
					if o.Kind == pools.Stop {
						return // the VM refuses the first copy from then on
					}
					assert.Assert(t, o.Kind != pools.Start || o.Run == first.Run || o.Fence > first.Fence,
						"at %d ms: run %d starts on %s; run %d may be executed there until %d", now, o.Run, o.VM, first.Run, first.DeadlineMs)
				}
			}
		})
	}
}

// TestNextLifetimeGetsTheSameRun guards against two runs of an item at once on one VM: starts with different run numbers that had no reply
// in two lifetimes are both executed in the third one.
func TestNextLifetimeGetsTheSameRun(t *testing.T) {
	e, first := repeatEngine(t, shortStep, 0)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: 2}, 320, 320)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 20, StartedAtMs: 2}, 340, 340)
	orders := ordersAt(t, e, 360)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].VM, "a")
	assert.Equal(t, orders[0].Run, first.Run, "a VM executes several copies of one run once, but not several runs")
}

// TestItemLeavesAVMThatNeverAnswersStarts guards against an item that stands still on a VM that answers polls and no starts.
func TestItemLeavesAVMThatNeverAnswersStarts(t *testing.T) {
	e, _ := repeatEngine(t, shortStep, 0)
	starts := map[string]int{}
	for now := int64(320); now < 60_000; now += 320 {
		e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1}, now, now)
		for _, o := range ordersAt(t, e, now+1) {
			if o.Kind == pools.Start {
				starts[o.VM]++
			}
			if o.Kind == pools.Start && o.VM == "a" {
				e.HandleOrderReply(o, pools.Reply{Kind: pools.NoReply}, now+301)
			} else if o.Kind == pools.Stop {
				e.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, now+5)
			}
		}
	}
	assert.Assert(t, starts["A"] > 0, "%v", starts)
}

// TestAttemptsAreNotSpentOnOneVM guards against a job that fails since its item spends all attempts on one VM that fails all runs, while it
// waits for an open start there.
func TestAttemptsAreNotSpentOnOneVM(t *testing.T) {
	e, _ := repeatEngine(t, shortStep, 3)
	seq := int64(0)
	for now := int64(320); now < 5000; now += 50 {
		reply := pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1}
		if it := e.jobs["j"]; it != nil && it.orderedItems[0].vm == e.vms["a"] && it.orderedItems[0].phase == running {
			seq++
			reply.Ended = []pools.RunEnd{{Seq: seq, Item: "j.0.0.0", Run: it.orderedItems[0].run, Kind: pools.EndFailed}}
		}
		e.HandlePollReply("a", reply, now, now)
		for _, o := range ordersAt(t, e, now+1) {
			if o.Kind == pools.Start {
				e.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, now+2)
				if o.VM == "A" {
					return
				}
			}
		}
		assert.Assert(t, e.jobs["j"] != nil && e.jobs["j"].state != jobs.Failed, "failed at %d ms after %d runs on a", now, seq)
	}
}

// TestStartOfAKilledOwnerOnASilentVM guards against an item that a next owner starts elsewhere while a VM may still execute the start that a killed owner
// had recorded, but whose missing reply it had not.
func TestStartOfAKilledOwnerOnASilentVM(t *testing.T) {
	for _, found := range []string{"silent", "down"} {
		t.Run(found, func(t *testing.T) {
			const takenOverAt = 100_000
			e := New(Config{Service: "s", Epoch: 2, StatusRetentionMs: 1000}, &jobs.Catalog{}, takenOverAt)
			stored := &jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{shortStep}}}
			stored.Progress = jobs.Progress{Rev: 1, State: jobs.Queued, Items: []jobs.ItemState{{Run: 1, VM: "a", VMBorn: 1}}}
			e.LoadJob("j", stored, takenOverAt, takenOverAt)
			e.RequireInitialPolls(takenOverAt)
			e.SetVMs(repeatVMs, takenOverAt)
			e.HandlePollFailure("a", takenOverAt+500)
			for now := int64(takenOverAt + 600); now < takenOverAt+pools.LateCallMs+maxLeaseMs; now += 500 {
				up, a := pools.Machine{ID: "mb", Pool: "s", VM: "A", State: pools.MachineUp}, pools.Machine{ID: "ma", Pool: "s", VM: "a", State: pools.MachineUp}
				if found == "down" && now < takenOverAt+2000 {
					a.VM, a.State = "", pools.MachineDown
				}
				e.SetMachines([]pools.Machine{a, up}, now, now)
				for _, o := range ordersAt(t, e, now+1) {
					assert.Assert(t, o.Kind != pools.Start || o.VM == "a", "starts on %s %d ms after the takeover", o.VM, now-takenOverAt)
				}
			}
		})
	}
}

// TestLastingItemWaitsForItsMachine guards against a lasting item that runs twice, since its machine is down for a moment and its VM
// starts again under its ID and executes the open start, and against one that is missing for longer than the platform allows.
func TestLastingItemWaitsForItsMachine(t *testing.T) {
	e, _ := repeatEngine(t, jobs.Step{Count: 1, CPU: 100, MemMB: 10, Persistent: true, Budget: 1}, 0)
	e.HandlePollFailure("a", 700)
	machines := []pools.Machine{{ID: "ma", Pool: "s", State: pools.MachineDown}, {ID: "mb", Pool: "s", VM: "A", State: pools.MachineUp}}
	startedAt := int64(0)
	for now := int64(800); startedAt == 0 && now < 10_000; now += 300 {
		assert.Assert(t, e.NeedsMachineList())
		e.SetMachines(machines, now, now+5)
		for _, o := range ordersAt(t, e, now+10) {
			assert.Equal(t, o.VM, "A")
			startedAt = now
		}
	}
	assert.Assert(t, startedAt >= 800+lastingWaitMs && startedAt < 700+7000, "starts at %d ms", startedAt)
}

// TestLatePollExtendsTheLeaseOfALateRun guards against a run that outlives the lease that the owner reckons with: an open start is executed behind an
// unseen restart, and then a poll of the last lifetime that had no reply.
func TestLatePollExtendsTheLeaseOfALateRun(t *testing.T) {
	e, _ := repeatEngine(t, shortStep, 0)
	draining := []pools.VM{repeatVMs[0], repeatVMs[1]}
	draining[0].Draining = true
	e.SetVMs(draining, 315)
	var until, lastLease int64
	for now := int64(320); now < 12_000; now += 300 {
		_, _ = e.NextPoll("a", now)
		lastLease = now
		e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1}, now, now)
		for _, o := range ordersAt(t, e, now+1) {
			assert.Equal(t, o.Kind, pools.Stop)
			e.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, now+5)
		}
		until = e.jobs["j"].orderedItems[0].open.until
	}
	req, _ := e.NextPoll("a", lastLease+50)
	assert.Assert(t, req.LeaseEndMs > 0) // has no reply, and is executed up to pools.LateCallMs after it was given up
	givenUp := lastLease + 50 + 1150
	e.HandlePollFailure("a", givenUp)
	// The start is executed just before until, and the poll within its lease, which the poll extends by maxLeaseMs.
	for now := givenUp + 40; now < min(until+maxLeaseMs, givenUp+pools.LateCallMs)+maxLeaseMs; now += 200 {
		for _, o := range ordersAt(t, e, now) {
			assert.Assert(t, o.Kind != pools.Start, "starts on %s at %d ms; until %d, last poll given up at %d", o.VM, now, until, givenUp)
		}
	}
}

// TestLastingItemLeavesADrainingVM guards against a lasting item that stands still for more than 7 s, with room on another VM, since its VM
// drains and may still execute its start behind a restart. RULES, LOST: 3 s, and calm for 4 s before them.
func TestLastingItemLeavesADrainingVM(t *testing.T) {
	e, _ := repeatEngine(t, jobs.Step{Count: 1, CPU: 100, MemMB: 10, Persistent: true, Budget: 1}, 0)
	draining := []pools.VM{repeatVMs[0], repeatVMs[1]}
	draining[0].Draining = true
	e.SetVMs(draining, 315)
	for now := int64(320); now < 20_000; now += 100 {
		e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1}, now, now)
		for _, o := range ordersAt(t, e, now+1) {
			if o.Kind == pools.Start && o.VM == "A" {
				assert.Assert(t, now < 310+7000, "starts on b %d ms after its start had no reply", now-310)
				return
			}
		}
	}
	t.Fatal("does not start")
}

// TestUnansweredStartsAreNoPoison guards against a job that fails since five restarts of one VM count against an item of which no run
// was executed: the item may start on that VM only.
func TestUnansweredStartsAreNoPoison(t *testing.T) {
	e, _ := repeatEngine(t, shortStep, 0)
	for life := int64(2); life < 9; life++ {
		now := life * 1000
		e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: life}, now, now)
		e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 20, StartedAtMs: life}, now+20, now+20)
		for at := now + 40; at < now+400; at += 40 {
			for _, o := range ordersAt(t, e, at) {
				if o.Kind == pools.Start {
					if o.VM == "A" {
						return
					}
					e.HandleOrderReply(o, pools.Reply{Kind: pools.NoReply}, at+300)
				}
			}
		}
		assert.Assert(t, e.jobs["j"] != nil && e.jobs["j"].state != jobs.Failed, "failed after the VM restarted %d times", life-1)
	}
}

// TestOpenStartLastsUntilItsCallIsTooLate guards against an open start that is closed before its call is too late to be executed.
func TestOpenStartLastsUntilItsCallIsTooLate(t *testing.T) {
	t.Run("unlisted before it had no reply", func(t *testing.T) {
		e := New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
		e.SetVMs(repeatVMs[:1], 0)
		e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: 1}, 1, 1)
		e.MarkOwnershipConfirmed(10)
		e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{shortStep}}}, 10, 10)
		e.Advance(10, 10)
		o := e.TakeOrders()[0]
		e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: 2}, 20, 20)
		e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 20, StartedAtMs: 2}, 40, 40)
		e.HandleOrderReply(o, pools.Reply{Kind: pools.NoReply}, 310)
		it := e.jobs["j"].orderedItems[0]
		assert.Assert(t, it.open.until >= 310+pools.LateCallMs, "until %d", it.open.until)
	})
	t.Run("its VM restarts seconds after it had no reply", func(t *testing.T) {
		e, _ := repeatEngine(t, shortStep, 0)
		e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: 2}, 5000, 5000)
		e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 20, StartedAtMs: 2}, 5020, 5020)
		assert.Equal(t, e.jobs["j"].orderedItems[0].open.until, int64(310+pools.LateCallMs))
	})
	t.Run("second copy on its way when the first is listed", func(t *testing.T) {
		e, _ := repeatEngine(t, shortStep, 0)
		e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 320, StartedAtMs: 1}, 320, 320)
		o := ordersAt(t, e, 321)[0]
		e.HandlePollReply("a", pools.PollReply{
			Kind: pools.Done, ClockMs: 330, StartedAtMs: 1,
			Running: []pools.RunStatus{{Item: o.Item, Run: o.Run}},
		}, 330, 330)
		e.HandleOrderReply(o, pools.Reply{Kind: pools.NoReply}, 621)
		it := e.jobs["j"].orderedItems[0]
		assert.Assert(t, it.open.until >= 621+pools.LateCallMs, "until %d", it.open.until)
	})
}

// TestNoRepeatBeforeAllEndsAreListed guards against a start after the run has ended as done: the end is among those that the VM has not listed yet.
func TestNoRepeatBeforeAllEndsAreListed(t *testing.T) {
	e, _ := repeatEngine(t, shortStep, 0)
	e.HandlePollFailure("a", 700)
	e.SetMachines([]pools.Machine{{ID: "ma", Pool: "s", State: pools.MachineDown}, {ID: "mb", Pool: "s", VM: "A", State: pools.MachineUp}}, 800, 810)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 900, StartedAtMs: 2, MoreEnds: true}, 2000, 2000)
	for _, o := range ordersAt(t, e, 2040) {
		assert.Assert(t, o.Kind != pools.Start || o.Run == 1, "run %d starts on %s, which does not refuse it", o.Run, o.VM)
	}
}

// TestItemWaitsForTheEndOfAnUnknownRun guards against an item that starts elsewhere while its VM still stops an earlier run of it, whose first
// stop was lost.
func TestItemWaitsForTheEndOfAnUnknownRun(t *testing.T) {
	e, first := repeatEngine(t, shortStep, 0)
	// The VM restarts; the item starts there as run 2, and the VM restarts again and executes run 1 just before it is too late.
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: 2}, 320, 320)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 20, StartedAtMs: 2}, 340, 340)
	o := ordersAt(t, e, 360)[0]
	assert.Equal(t, o.VM, "a")
	e.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, 365)
	until := e.jobs["j"].orderedItems[0].open.until
	running := []pools.RunStatus{{Item: o.Item, Run: first.Run}}
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: 3, Running: running}, until-40, until-40)
	for now := until - 20; now < until+3000; now += 300 {
		e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 3, Running: running}, now, now)
		for _, o := range ordersAt(t, e, now+1) {
			assert.Assert(t, o.Kind != pools.Start, "run %d starts on %s %d ms after until, and run 1 is listed on a", o.Run, o.VM, now-until)
		}
	}
}

// TestGangMemberIsStoppedBeforeItsRepeat guards against a gang member that starts alone: another member has ended while its repeated start
// waits for the record of its job.
func TestGangMemberIsStoppedBeforeItsRepeat(t *testing.T) {
	e := New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
	e.SetVMs(repeatVMs[:1], 0)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: 1}, 1, 1)
	e.MarkOwnershipConfirmed(10)
	e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{{Count: 2, CPU: 100, MemMB: 10, EstimateMs: 500, Gang: true}}}}, 10, 10)
	e.Advance(10, 10)
	first := e.TakeOrders()
	assert.Equal(t, len(first), 2)
	e.HandleOrderReply(first[0], pools.Reply{Kind: pools.Done}, 15)
	e.HandleOrderReply(first[1], pools.Reply{Kind: pools.NoReply}, 310)
	run := func(seq int64) pools.PollReply {
		r := pools.PollReply{Kind: pools.Done, ClockMs: 320, StartedAtMs: 1}
		if seq > 0 {
			r.Ended = []pools.RunEnd{{Seq: seq, Item: first[0].Item, Run: 1, Kind: pools.EndFailed}}
		} else {
			r.Running = []pools.RunStatus{{Item: first[0].Item, Run: 1}}
		}
		return r
	}
	e.HandlePollReply("a", run(0), 320, 320)
	b, err := e.NextBatch()
	assert.NilError(t, err)
	e.HandlePollReply("a", run(1), 330, 330) // the other member fails while the batch is being stored
	orders := append(e.TakeOrders(), e.HandleBatchStored(b, 335)...)
	stopped := false
	for _, o := range orders {
		stopped = stopped || o.Kind == pools.Stop && o.Item == first[1].Item
		assert.Assert(t, o.Kind != pools.Start || !e.StillDue(o, 336), "%s starts as run %d, whose other member has failed", o.Item, o.Run)
	}
	assert.Assert(t, stopped, "the VM may still execute the first copy")
}

// TestCancelStopsAnUnansweredStart guards against a run of a cancelled job: its start had no reply, and nothing makes the VM refuse it.
func TestCancelStopsAnUnansweredStart(t *testing.T) {
	e, _ := repeatEngine(t, shortStep, 0)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 320, StartedAtMs: 1}, 320, 320)
	b, err := e.NextBatch()
	assert.NilError(t, err)
	e.Cancel("j", 325)
	orders := e.TakeOrders()
	if b != nil {
		orders = append(orders, e.HandleBatchStored(b, 330)...)
	}
	orders = append(orders, ordersAt(t, e, 340)...)
	for _, o := range orders {
		if o.Kind == pools.Stop {
			return
		}
	}
	t.Fatal("the VM executes the start until its deadline")
}

// TestNextOwnerHoldsEnds guards against an end that a next owner acknowledges at once, while a copy of the start of its run may
// still be executed behind a restart: the earlier owner held it back, and the log does not say so.
func TestNextOwnerHoldsEnds(t *testing.T) {
	two := jobs.Step{Count: 2, CPU: 100, MemMB: 10, EstimateMs: 500}
	first := New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
	first.SetVMs(repeatVMs[:1], 0)
	first.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: 1}, 1, 1)
	first.MarkOwnershipConfirmed(10)
	stored := &jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{two}}}
	first.Submit(stored, 10, 10)
	first.Advance(10, 10)
	orders := first.TakeOrders()
	first.HandleOrderReply(orders[0], pools.Reply{Kind: pools.NoReply}, 310)
	first.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 320, StartedAtMs: 1}, 320, 320)
	store := func(now int64) {
		b, err := first.NextBatch()
		assert.NilError(t, err)
		for _, r := range b.Records {
			if r.Key == jobs.ProgressKey("j") {
				stored.Progress = jobs.Progress{}
				_, err := stored.Progress.UnmarshalMsg(r.Value)
				assert.NilError(t, err)
			}
		}
		for _, o := range first.HandleBatchStored(b, now) {
			first.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, now+5)
		}
	}
	store(330)
	for _, o := range first.TakeOrders() {
		first.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, 340)
	}
	done := []pools.RunEnd{{Seq: 1, Item: orders[0].Item, Run: 1, Kind: pools.EndDone}}
	first.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 900, StartedAtMs: 1, Ended: done}, 900, 900)
	store(910)
	req, _ := first.NextPoll("a", 920)
	assert.Equal(t, req.AckedSeq, int64(0), "the first owner holds the end")
	const takenOverAt = 1500
	e := New(Config{Service: "s", Epoch: 2, StatusRetentionMs: 1000}, &jobs.Catalog{}, takenOverAt)
	e.LoadJob("j", stored, takenOverAt, takenOverAt)
	e.SetVMs(repeatVMs[:1], takenOverAt)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 1600, StartedAtMs: 1, Ended: done}, 1600, 1600)
	if b, err := e.NextBatch(); b != nil {
		assert.NilError(t, err)
		e.HandleBatchStored(b, 1610)
	}
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 1620, StartedAtMs: 1, Ended: done}, 1620, 1620)
	req, _ = e.NextPoll("a", 1630)
	assert.Equal(t, req.AckedSeq, int64(0), "the next owner acknowledges it")
}

// TestVMOfAWaitingItemIsNotOffered guards against an item that waits for 12 s for a VM that is idle: the VM refused a repeat of its start
// for a moment and was offered to other pools meanwhile.
func TestVMOfAWaitingItemIsNotOffered(t *testing.T) {
	e, _ := repeatEngine(t, shortStep, 0)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 320, StartedAtMs: 1}, 320, 320)
	e.HandleOrderReply(ordersAt(t, e, 321)[0], pools.Reply{Kind: pools.NoCapacity}, 325)
	e.demand.wantedVMs = 0
	e.updateOffers(0, 330)
	assert.Assert(t, e.vms["A"].offered)
	assert.Assert(t, !e.vms["a"].offered)
}

// TestRepeatIsForgottenWithItsVM guards against an item that stands still: its VM restarted while a repeat of its start waited for the
// record, and later starts without a reply were taken for ones whose repeat still waits.
func TestRepeatIsForgottenWithItsVM(t *testing.T) {
	e, _ := repeatEngine(t, shortStep, 0)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 320, StartedAtMs: 1}, 320, 320)
	assert.Assert(t, e.jobs["j"].orderedItems[0].repeatWaits)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: 2}, 330, 330)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 10, StartedAtMs: 2}, 340, 340)
	assert.Equal(t, len(storeBatch(t, e, 345)), 0, "the item is not on the VM any more")
	starts := 0
	for now := int64(360); now < 3000; now += 350 {
		for _, o := range ordersAt(t, e, now) {
			if o.Kind == pools.Start {
				starts++
				e.HandleOrderReply(o, pools.Reply{Kind: pools.NoReply}, now+301)
			}
		}
		e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 2}, now+310, now+310)
	}
	assert.Assert(t, starts > 3, "%d starts", starts)
}
