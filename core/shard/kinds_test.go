package shard

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// yard carries the orders of an engine out, at once, and keeps what runs on its VMs.
type yard struct {
	e       *Engine
	now     int64
	runs    map[string]map[string]pools.RunStatus
	ends    map[string][]pools.RunEnd
	started []pools.Order
	stopped []pools.Order
}

// yardStepMs is the time between two turns.
const yardStepMs = 10

func newYard(e *Engine) *yard {
	return &yard{e: e, runs: map[string]map[string]pools.RunStatus{}, ends: map[string][]pools.RunEnd{}}
}

// turn lets the engine decide, and has what it orders carried out and seen.
func (y *yard) turn(wall int64) {
	y.now += yardStepMs
	y.e.MarkOwnershipConfirmed(y.now)
	y.e.contact = y.now
	y.e.Step(y.now, wall+y.now)
	for _, o := range y.e.TakeOrders() {
		switch o.Kind {
		case pools.Start:
			y.started = append(y.started, o)
			if y.runs[o.VM] == nil {
				y.runs[o.VM] = map[string]pools.RunStatus{}
			}
			y.runs[o.VM][o.Item] = pools.RunStatus{Item: o.Item, Run: o.Run, Ref: o.Ref, Percent: 100}
		case pools.Stop:
			y.stopped = append(y.stopped, o)
			if r, ok := y.runs[o.VM][o.Item]; ok && r.Run == o.Run {
				y.end(o.VM, o.Item, pools.EndStopped, r.Ref)
			}
		default:
		}
		y.e.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, y.now)
	}
	if b, err := y.e.NextBatch(); err == nil && b != nil {
		y.e.HandleBatchStored(b, y.now)
	}
	y.look()
}

// look shows the engine all VMs.
func (y *yard) look() {
	for id := range y.e.vms {
		l := pools.PollReply{Kind: pools.Done, ClockMs: y.now + 1, StartedAtMs: 1, Ended: y.ends[id]}
		for _, r := range y.runs[id] {
			l.Running = append(l.Running, r)
		}
		y.e.HandlePollReply(id, l, y.now+1, y.now+1)
	}
}

// end ends a run on a VM.
func (y *yard) end(vm, item string, how pools.EndKind, ref string) {
	r := y.runs[vm][item]
	delete(y.runs[vm], item)
	y.ends[vm] = append(y.ends[vm], pools.RunEnd{Seq: int64(len(y.ends[vm]) + 1), Item: item, Run: r.Run, Kind: how, Ref: ref})
}

// where returns the VM on which an item runs, empty if it runs nowhere.
func (y *yard) where(item string) string {
	for vm, runs := range y.runs {
		if _, ok := runs[item]; ok {
			return vm
		}
	}
	return ""
}

func gangOf(count int) *jobs.StoredJob {
	return &jobs.StoredJob{Job: &jobs.Job{ID: "j", Queue: "q", Steps: []jobs.Step{
		{Count: count, CPU: 1000, MemMB: 10, EstimateMs: 500, Gang: true, Checkpoint: true},
	}}}
}

// TestGangStartsWholeOrNotAtAll guards against members of a gang that wait for others which find no room, and against
// members with different run numbers, which never work together.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	y := newYard(poolOf(2, 2000, 100_000))
	y.e.Submit(gangOf(5), 0, 0)
	for range 20 {
		y.turn(0)
	}
	assert.Equal(t, len(y.started), 0, "5 members do not fit on 2 VMs with room for 2 each")
	apart := newYard(poolOf(2, 10_000, 100_000))
	g := gangOf(3)
	g.Job.Steps[0].MaxPerVM = 1
	apart.e.Submit(g, 0, 0)
	for range 20 {
		apart.turn(0)
	}
	assert.Equal(t, len(apart.started), 0, "3 members of which each VM takes one do not fit on 2 VMs")
	y.e.SetVMs([]pools.VM{
		{ID: "a", Service: "s", Addr: "x", CPU: 2000, MemMB: 100_000},
		{ID: "b", Service: "s", Addr: "x", CPU: 2000, MemMB: 100_000},
		{ID: "c", Service: "s", Addr: "x", CPU: 2000, MemMB: 100_000},
	}, y.now)
	for range 20 {
		y.turn(0)
	}
	assert.Equal(t, len(y.started), 5)
	for _, o := range y.started {
		assert.Equal(t, o.Run, 1)
	}
}

// TestGangEndsAsOne guards against members that run again although another one ended done, which stands for all.
func TestGangEndsAsOne(t *testing.T) {
	y := newYard(poolOf(2, 2000, 100_000))
	y.e.Submit(gangOf(3), 0, 0)
	y.turn(0)
	assert.Equal(t, len(y.started), 3)
	y.end(y.where("j.0.0.1"), "j.0.0.1", pools.EndDone, "")
	y.look()
	assert.Equal(t, y.e.jobs["j"].state, jobs.Complete)
	for range 50 {
		y.turn(0)
	}
	assert.Equal(t, len(y.started), 3, "nothing starts again")
	assert.Equal(t, y.e.jobs["j"] == nil, true, "the job is over and holds no room")
	for _, v := range y.e.vms {
		assert.Equal(t, v.cpu, int64(0))
	}
}

// TestBrokenGangStartsAgainAsOne guards against members that go on alone after one failed, and against members that
// start again with different numbers or checkpoints.
func TestBrokenGangStartsAgainAsOne(t *testing.T) {
	y := newYard(poolOf(2, 2000, 100_000))
	y.e.SetCatalog(&jobs.Catalog{Queues: []jobs.Queue{{Name: "q", Attempts: 3}}})
	y.e.Submit(gangOf(4), 0, 0)
	y.turn(0)
	for vm, runs := range y.runs { // each member has a checkpoint of its own
		for item, r := range runs {
			r.Ref = "cp-" + item
			y.runs[vm][item] = r
		}
	}
	y.look()
	y.end(y.where("j.0.0.2"), "j.0.0.2", pools.EndFailed, "")
	y.look()
	for range 100 {
		y.turn(0)
	}
	assert.Equal(t, len(y.stopped), 3, "the others are stopped once")
	assert.Equal(t, len(y.started), 8)
	for _, o := range y.started[4:] {
		assert.Equal(t, o.Run, 2)
		assert.Equal(t, o.Ref, y.started[4].Ref, "all members carry the same checkpoint")
		assert.Assert(t, o.Ref != "", "the gang begins at a checkpoint")
	}
}

// scheduled returns a job of which each occurrence is one item that takes longer than the interval.
func scheduled(first, every int64, times int) *jobs.Job {
	return &jobs.Job{ID: "j", Queue: "q", Times: times, FirstMs: first, EveryMs: every, AcceptedMs: 1, Steps: []jobs.Step{
		{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 2 * every},
	}}
}

// TestOccurrencesStartWhenDue guards against occurrences that start too early, late, or only when the one before is over.
func TestOccurrencesStartWhenDue(t *testing.T) {
	const wall, first, every, times, early = 1_000_000, 500, 1000, 4, 250
	y := newYard(poolOf(2, 2000, 100_000))
	y.e.cfg.MaxEarlyStartMs = early
	y.e.Submit(&jobs.StoredJob{Job: scheduled(wall+first, every, times)}, 0, wall)
	seen := 0
	for y.now < first+times*every {
		y.turn(wall)
		for ; seen < len(y.started); seen++ {
			due := first + int64(seen)*every
			assert.Equal(t, y.started[seen].Item, fmt.Sprintf("j.%d.0.0", seen))
			assert.Assert(t, y.now >= due-early && y.now <= due+tickEveryMs+yardStepMs, "occurrence %d, due at %d ms, starts at %d ms", seen, due, y.now)
		}
	}
	assert.Equal(t, seen, times)
}

// TestScheduleGoesOnAfterATakeover guards against occurrences that a new owner starts twice or leaves out.
func TestScheduleGoesOnAfterATakeover(t *testing.T) {
	const wall, every = 1_000_000, 400 // shorter than the time after which a run without progress is stopped
	y := newYard(poolOf(2, 2000, 100_000))
	y.e.LoadJob("j", &jobs.StoredJob{Job: scheduled(wall-5*every/2, every, 5), Progress: jobs.Progress{
		Rev: 7, State: jobs.Running, Base: 2, Items: []jobs.ItemState{{K: 2, Run: 1, VM: "a", VMBorn: 1}},
	}}, 0, wall)
	y.runs["a"] = map[string]pools.RunStatus{"j.2.0.0": {Item: "j.2.0.0", Run: 1, Percent: 40}}
	y.e.RequireInitialPolls([]pools.VM{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}, 0)
	y.look()
	for y.now < 3*every {
		y.turn(wall)
	}
	var names []string
	for _, o := range y.started {
		names = append(names, o.Item)
	}
	assert.DeepEqual(t, names, []string{"j.3.0.0", "j.4.0.0"})
}

// TestUpkeepKeepsTheBudget guards against an upkeep that ends a lasting item while as many others of its step are away
// as may be (AVAIL on hunt-b1d0-3: runs that a VM had not shown for long counted as at work).
func TestUpkeepKeepsTheBudget(t *testing.T) {
	lasting := func(t *testing.T) *yard {
		t.Helper()
		y := newYard(poolOf(4, 2000, 100_000))
		y.e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Queue: "q", Steps: []jobs.Step{
			{Count: 3, CPU: 1000, MemMB: 10, Persistent: true, MaxPerVM: 1, Budget: 1},
		}}}, 0, 0)
		for range 10 {
			y.turn(0)
		}
		assert.Equal(t, len(y.started), 3)
		return y
	}
	t.Run("one at a time", func(t *testing.T) {
		y := lasting(t)
		y.e.SetVMsToVacate([]string{y.where("j.0.0.0"), y.where("j.0.0.1"), y.where("j.0.0.2")})
		for range 200 {
			before := len(y.stopped)
			y.turn(0)
			assert.Assert(t, len(y.stopped)-before <= 1, "%d items ended at once", len(y.stopped)-before)
			away := 0
			for i := range 3 {
				if y.where(fmt.Sprint("j.0.0.", i)) == "" {
					away++
				}
			}
			assert.Assert(t, away <= 1, "%d items away", away)
		}
		assert.Assert(t, len(y.stopped) > 0)
	})
	t.Run("another is not at work", func(t *testing.T) {
		y := lasting(t)
		vm := y.where("j.0.0.1")
		r := y.runs[vm]["j.0.0.1"]
		r.Percent = 60
		y.runs[vm]["j.0.0.1"] = r
		y.look()
		y.e.SetVMsToVacate([]string{y.where("j.0.0.0")})
		for range 50 {
			y.turn(0)
		}
		assert.Equal(t, len(y.stopped), 0)
	})
	t.Run("another was not seen for long", func(t *testing.T) {
		y := lasting(t)
		unseen, empty := y.where("j.0.0.1"), y.where("j.0.0.0")
		y.e.SetVMsToVacate([]string{empty})
		y.now += 2*PollWaitMs + yardStepMs
		y.e.vms[empty].lastLook = y.now
		y.e.vms[y.where("j.0.0.2")].lastLook = y.now
		y.e.Step(y.now, y.now)
		assert.Equal(t, len(y.e.TakeOrders()), 0, "what VM %s runs is not known", unseen)
		y.e.vms[unseen].lastLook = y.now
		y.e.Step(y.now+tickEveryMs, y.now+tickEveryMs)
		assert.Equal(t, len(y.e.TakeOrders()), 1)
	})
}

// TestJobRunsOnceAnItemHasStarted guards against jobs that count as begun although no item of theirs ever started: the
// number of waiting jobs is then told too low (MIXED is how the rules call it), most of all while VMs do not answer.
func TestJobRunsOnceAnItemHasStarted(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply pools.ReplyKind
		shown bool
		state jobs.State
	}{
		{"confirmed", pools.Done, false, jobs.Running},
		{"refused", pools.NoCapacity, false, jobs.Queued},
		{"not sent", pools.NotExecuted, false, jobs.Queued},
		{"no answer", pools.NoReply, false, jobs.Queued},
		{"no answer, but seen", pools.NoReply, true, jobs.Running},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := poolOf(1, 2000, 100_000)
			e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: "j", Queue: "q", Steps: []jobs.Step{{Count: 1, CPU: 1000, MemMB: 10, EstimateMs: 500}}}}, 0, 0)
			e.Step(10, 10)
			orders := e.TakeOrders()
			assert.Equal(t, len(orders), 1)
			assert.Equal(t, e.jobs["j"].state, jobs.Queued, "the start is only under way")
			e.HandleOrderReply(orders[0], pools.Reply{Kind: c.reply}, 20)
			if c.shown {
				row := pools.RunStatus{Item: orders[0].Item, Run: orders[0].Run, Percent: 1}
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
