package shard

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// simPool executes the orders of an engine at once, and holds the runs of its VMs.
type simPool struct {
	e       *Engine
	now     int64
	runs    map[string]map[string]pools.RunStatus
	ends    map[string][]pools.RunEnd
	started []pools.Order
	stopped []pools.Order
	// refuse returns the reply to a start that the VM does not execute, and false for one that it does; nil executes all.
	refuse func(o pools.Order) (pools.ReplyKind, bool)
	stored func(b *Batch) // called with each batch that is stored, unless it is nil
}

// simTickMs is the time between two calls of tick.
const simTickMs = 10

func newSimPool(e *Engine) *simPool {
	return &simPool{e: e, runs: map[string]map[string]pools.RunStatus{}, ends: map[string][]pools.RunEnd{}}
}

// tick calls Step, executes the orders, and passes the engine the replies and a poll of all VMs. wall is the Unix time
// at local time 0.
func (sim *simPool) tick(wall int64) {
	sim.now += simTickMs
	sim.e.MarkOwnershipConfirmed(sim.now)
	sim.e.storeContactAt = sim.now
	sim.e.Advance(sim.now, wall+sim.now)
	for _, o := range sim.e.TakeOrders() {
		switch o.Kind {
		case pools.Start:
			if sim.refuse != nil {
				if kind, refused := sim.refuse(o); refused {
					sim.e.HandleOrderReply(o, pools.Reply{Kind: kind}, sim.now)
					continue
				}
			}
			sim.started = append(sim.started, o)
			if sim.runs[o.VM] == nil {
				sim.runs[o.VM] = map[string]pools.RunStatus{}
			}
			sim.runs[o.VM][o.Item] = pools.RunStatus{Item: o.Item, Run: o.Run, Ref: o.Ref, ProgressPercent: 100}
		case pools.Stop:
			sim.stopped = append(sim.stopped, o)
			if r, ok := sim.runs[o.VM][o.Item]; ok && r.Run == o.Run {
				sim.end(o.VM, o.Item, pools.EndStopped, r.Ref)
			}
		default:
		}
		sim.e.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, sim.now)
	}
	if b, err := sim.e.NextBatch(); err == nil && b != nil {
		if sim.stored != nil {
			sim.stored(b)
		}
		sim.e.HandleBatchStored(b, sim.now)
	}
	sim.pollAll()
}

// pollAll passes the engine a poll reply of each VM.
func (sim *simPool) pollAll() {
	for id := range sim.e.vms {
		l := pools.PollReply{Kind: pools.Done, ClockMs: sim.now + 1, StartedAtMs: 1, Ended: sim.ends[id]}
		for _, r := range sim.runs[id] {
			l.Running = append(l.Running, r)
		}
		sim.e.HandlePollReply(id, l, sim.now+1, sim.now+1)
	}
}

// end ends the run of an item on a VM.
func (sim *simPool) end(vm, item string, how pools.EndKind, ref string) {
	r := sim.runs[vm][item]
	delete(sim.runs[vm], item)
	sim.ends[vm] = append(sim.ends[vm], pools.RunEnd{Seq: int64(len(sim.ends[vm]) + 1), Item: item, Run: r.Run, Kind: how, Ref: ref})
}

// vmRunning returns the VM on which an item runs, empty if it runs nowhere.
func (sim *simPool) vmRunning(item string) string {
	for vm, runs := range sim.runs {
		if _, ok := runs[item]; ok {
			return vm
		}
	}
	return ""
}

func newGangJob(count int) *jobs.StoredJob {
	return &jobs.StoredJob{Job: &jobs.Job{ID: "j", Queue: "q", Steps: []jobs.Step{
		{Count: count, CPU: 1000, MemMB: 10, EstimateMs: 500, Gang: true, Checkpoint: true},
	}}}
}

// TestGangStartsWholeOrNotAtAll guards against members of a gang that wait for others for which there is no capacity,
// and against members with different run numbers, which never work together.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	sim := newSimPool(newPolledEngine(2, 2000, 100_000))
	sim.e.Submit(newGangJob(5), 0, 0)
	for range 20 {
		sim.tick(0)
	}
	assert.Equal(t, len(sim.started), 0, "5 members do not fit on 2 VMs with capacity for 2 each")
	apart := newSimPool(newPolledEngine(2, 10_000, 100_000))
	g := newGangJob(3)
	g.Job.Steps[0].MaxPerVM = 1
	apart.e.Submit(g, 0, 0)
	for range 20 {
		apart.tick(0)
	}
	assert.Equal(t, len(apart.started), 0, "3 members of which each VM takes one do not fit on 2 VMs")
	sim.e.SetVMs([]pools.VM{
		{ID: "a", Service: "s", Addr: "x", CPU: 2000, MemMB: 100_000},
		{ID: "b", Service: "s", Addr: "x", CPU: 2000, MemMB: 100_000},
		{ID: "c", Service: "s", Addr: "x", CPU: 2000, MemMB: 100_000},
	}, sim.now)
	for range 20 {
		sim.tick(0)
	}
	assert.Equal(t, len(sim.started), 5)
	for _, o := range sim.started {
		assert.Equal(t, o.Run, 1)
	}
}

// TestGangEndsAsOne guards against members that run again after another member was done, which ends the whole gang.
func TestGangEndsAsOne(t *testing.T) {
	sim := newSimPool(newPolledEngine(2, 2000, 100_000))
	sim.e.Submit(newGangJob(3), 0, 0)
	sim.tick(0)
	assert.Equal(t, len(sim.started), 3)
	sim.end(sim.vmRunning("j.0.0.1"), "j.0.0.1", pools.EndDone, "")
	sim.pollAll()
	assert.Equal(t, sim.e.jobs["j"].state, jobs.Complete)
	for range 50 {
		sim.tick(0)
	}
	assert.Equal(t, len(sim.started), 3, "nothing starts again")
	assert.Equal(t, sim.e.jobs["j"] == nil, true, "the ended job holds no capacity")
	for _, v := range sim.e.vms {
		assert.Equal(t, v.usedCPU, int64(0))
	}
}

// TestBrokenGangStartsAgainAsOne guards against members that continue alone after one failed, and against members that
// restart with different run numbers or checkpoints.
func TestBrokenGangStartsAgainAsOne(t *testing.T) {
	sim := newSimPool(newPolledEngine(2, 2000, 100_000))
	sim.e.SetCatalog(&jobs.Catalog{Queues: []jobs.Queue{{Name: "q", MaxAttempts: 3}}})
	sim.e.Submit(newGangJob(4), 0, 0)
	sim.tick(0)
	for vm, runs := range sim.runs { // each member has its own checkpoint
		for item, r := range runs {
			r.Ref = "cp-" + item
			sim.runs[vm][item] = r
		}
	}
	sim.pollAll()
	sim.end(sim.vmRunning("j.0.0.2"), "j.0.0.2", pools.EndFailed, "")
	sim.pollAll()
	for range 100 {
		sim.tick(0)
	}
	assert.Equal(t, len(sim.stopped), 3, "the others are stopped once")
	assert.Equal(t, len(sim.started), 8)
	for _, o := range sim.started[4:] {
		assert.Equal(t, o.Run, 2)
		assert.Equal(t, o.Ref, sim.started[4].Ref, "all members carry the same checkpoint")
		assert.Assert(t, o.Ref != "", "the gang starts from a checkpoint")
	}
}

// newScheduledJob returns a job whose occurrences consist of one item that takes longer than the interval.
func newScheduledJob(first, every int64, times int) *jobs.Job {
	return &jobs.Job{ID: "j", Queue: "q", Times: times, FirstMs: first, EveryMs: every, AcceptedMs: 1, Steps: []jobs.Step{
		{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 2 * every},
	}}
}

// TestOccurrencesStartWhenDue guards against occurrences that start too early, too late, or only after the previous
// one has ended.
func TestOccurrencesStartWhenDue(t *testing.T) {
	const wall, first, every, times, early = 1_000_000, 500, 1000, 4, 250
	sim := newSimPool(newPolledEngine(2, 2000, 100_000))
	sim.e.cfg.MaxEarlyStartMs = early
	sim.e.Submit(&jobs.StoredJob{Job: newScheduledJob(wall+first, every, times)}, 0, wall)
	seen := 0
	for sim.now < first+times*every {
		sim.tick(wall)
		for ; seen < len(sim.started); seen++ {
			due := first + int64(seen)*every
			assert.Equal(t, sim.started[seen].Item, fmt.Sprintf("j.%d.0.0", seen))
			assert.Assert(t, sim.now >= due-early && sim.now <= due+tickIntervalMs+simTickMs, "occurrence %d, due at %d ms, starts at %d ms", seen, due, sim.now)
		}
	}
	assert.Equal(t, seen, times)
}

// TestManyDueOccurrencesOpenGradually guards against a job whose occurrences are all due at once: their items took more
// memory than the owner's process has, and that of each next owner.
func TestManyDueOccurrencesOpenGradually(t *testing.T) {
	const times, wall = jobs.MaxOccurrences, 1_000_000
	sim := newSimPool(newPolledEngine(2, 2000, 100_000))
	j := newScheduledJob(wall, 0, times)
	j.Steps[0].Count, j.Steps[0].EstimateMs = 5, 100
	sim.e.Submit(&jobs.StoredJob{Job: j}, 0, wall)
	for range 20 {
		sim.tick(wall)
		for vm, runs := range sim.runs {
			for item := range runs {
				sim.end(vm, item, pools.EndDone, "")
			}
		}
		assert.Assert(t, len(sim.e.jobs["j"].items) <= maxOpenItems+5, "%d items are open", len(sim.e.jobs["j"].items))
	}
	assert.Assert(t, len(sim.started) > 100)
	assert.Assert(t, sim.e.jobs["j"].base > 0)
	assert.Assert(t, sim.e.jobs["j"].opened > maxOpenItems/5, "occurrences go on")
}

// TestScheduleGoesOnAfterATakeover guards against occurrences that a new owner starts twice or skips.
func TestScheduleGoesOnAfterATakeover(t *testing.T) {
	const wall, every = 1_000_000, 400 // shorter than the time after which a run without progress is stopped
	sim := newSimPool(newPolledEngine(2, 2000, 100_000))
	sim.e.LoadJob("j", &jobs.StoredJob{Job: newScheduledJob(wall-5*every/2, every, 5), Progress: jobs.Progress{
		Rev: 7, State: jobs.Running, Base: 2, Items: []jobs.ItemState{{K: 2, Run: 1, VM: "a", VMBorn: 1}},
	}}, 0, wall)
	sim.runs["a"] = map[string]pools.RunStatus{"j.2.0.0": {Item: "j.2.0.0", Run: 1, ProgressPercent: 40}}
	sim.e.RequireInitialPolls(0)
	sim.e.SetMachines(machinesOf("a", "b"), 0, 0)
	sim.pollAll()
	for sim.now < 3*every {
		sim.tick(wall)
	}
	var names []string
	for _, o := range sim.started {
		names = append(names, o.Item)
	}
	assert.DeepEqual(t, names, []string{"j.3.0.0", "j.4.0.0"})
}

// TestUpkeepKeepsTheBudget guards against an upkeep that ends a persistent item while the budget of its step is used
// up by others. Runs that their VM had not reported for long counted as at work.
func TestUpkeepKeepsTheBudget(t *testing.T) {
	newPersistent := func(t *testing.T) *simPool {
		t.Helper()
		sim := newSimPool(newPolledEngine(4, 2000, 100_000))
		sim.e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Queue: "q", Steps: []jobs.Step{
			{Count: 3, CPU: 1000, MemMB: 10, Persistent: true, MaxPerVM: 1, Budget: 1},
		}}}, 0, 0)
		for range 10 {
			sim.tick(0)
		}
		assert.Equal(t, len(sim.started), 3)
		return sim
	}
	t.Run("one at a time", func(t *testing.T) {
		sim := newPersistent(t)
		sim.e.SetVMsToVacate([]string{sim.vmRunning("j.0.0.0"), sim.vmRunning("j.0.0.1"), sim.vmRunning("j.0.0.2")})
		for range 200 {
			before := len(sim.stopped)
			sim.tick(0)
			assert.Assert(t, len(sim.stopped)-before <= 1, "%d items ended at once", len(sim.stopped)-before)
			unavailable := 0
			for i := range 3 {
				if sim.vmRunning(fmt.Sprint("j.0.0.", i)) == "" {
					unavailable++
				}
			}
			assert.Assert(t, unavailable <= 1, "%d items unavailable", unavailable)
		}
		assert.Assert(t, len(sim.stopped) > 0)
	})
	t.Run("another is not at work", func(t *testing.T) {
		sim := newPersistent(t)
		vm := sim.vmRunning("j.0.0.1")
		r := sim.runs[vm]["j.0.0.1"]
		r.ProgressPercent = 60
		sim.runs[vm]["j.0.0.1"] = r
		sim.pollAll()
		sim.e.SetVMsToVacate([]string{sim.vmRunning("j.0.0.0")})
		for range 50 {
			sim.tick(0)
		}
		assert.Equal(t, len(sim.stopped), 0)
	})
	t.Run("another was not reported for long", func(t *testing.T) {
		sim := newPersistent(t)
		unseen, empty := sim.vmRunning("j.0.0.1"), sim.vmRunning("j.0.0.0")
		sim.e.SetVMsToVacate([]string{empty})
		sim.now += 2*PollWaitMs + simTickMs
		sim.e.vms[empty].lastPollAt = sim.now
		sim.e.vms[sim.vmRunning("j.0.0.2")].lastPollAt = sim.now
		sim.e.Advance(sim.now, sim.now)
		assert.Equal(t, len(sim.e.TakeOrders()), 0, "what VM %s runs is not known", unseen)
		sim.e.vms[unseen].lastPollAt = sim.now
		sim.e.Advance(sim.now+tickIntervalMs, sim.now+tickIntervalMs)
		assert.Equal(t, len(sim.e.TakeOrders()), 1)
	})
}

// TestJobCountsAsRunningAfterFirstConfirmedStart guards against jobs that count as running although none of their items
// ever started, above all while VMs do not answer. The reported states then contradict each other: the number of waiting
// jobs is too low.
func TestJobCountsAsRunningAfterFirstConfirmedStart(t *testing.T) {
	for _, c := range []struct {
		name   string
		reply  pools.ReplyKind
		listed bool
		state  jobs.State
	}{
		{"confirmed", pools.Done, false, jobs.Running},
		{"refused", pools.NoCapacity, false, jobs.Queued},
		{"not sent", pools.NotExecuted, false, jobs.Queued},
		{"no answer", pools.NoReply, false, jobs.Queued},
		{"no answer, but listed", pools.NoReply, true, jobs.Running},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newPolledEngine(1, 2000, 100_000)
			e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Queue: "q", Steps: []jobs.Step{{Count: 1, CPU: 1000, MemMB: 10, EstimateMs: 500}}}}, 0, 0)
			e.Advance(10, 10)
			orders := e.TakeOrders()
			assert.Equal(t, len(orders), 1)
			assert.Equal(t, e.jobs["j"].state, jobs.Queued, "the start was only sent")
			e.HandleOrderReply(orders[0], pools.Reply{Kind: c.reply}, 20)
			if c.listed {
				row := pools.RunStatus{Item: orders[0].Item, Run: orders[0].Run, ProgressPercent: 1}
				e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 30, StartedAtMs: 1, Running: []pools.RunStatus{row}}, 25, 30)
			}
			assert.Equal(t, e.jobs["j"].state, c.state)
			b, err := e.NextBatch()
			assert.NilError(t, err)
			var p jobs.Progress
			_, err = p.UnmarshalMsg(b.Records[0].Value)
			assert.NilError(t, err)
			assert.Equal(t, p.State, c.state, "the record says the same")
		})
	}
}
