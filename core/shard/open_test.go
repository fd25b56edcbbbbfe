package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// openStartEngine returns an engine of epoch 2 that has loaded the records of an earlier owner. That owner had started an item on VM
// "a" without a reply, and "a" fell silent. VM "b" is usable.
func openStartEngine(t *testing.T, now int64) *Engine {
	t.Helper()
	stored := &jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 500}}}}
	listed := []pools.VM{
		{ID: "a", Service: "s", Addr: "x", Machine: "ma", CPU: 1000, MemMB: 1000},
		{ID: "b", Service: "s", Addr: "y", Machine: "mb", CPU: 1000, MemMB: 1000},
	}
	first := New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
	first.SetVMs(listed[:1], 0)
	first.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: 1, StartedAtMs: 1}, 1, 1)
	first.MarkOwnershipConfirmed(10)
	first.Submit(stored, 10, 10)
	first.Advance(10, 10)
	first.HandleOrderReply(first.TakeOrders()[0], pools.Reply{Kind: pools.NoReply}, 310)
	first.HandlePollFailure("a", 400)
	b, err := first.NextBatch()
	assert.NilError(t, err)
	for _, r := range b.Records {
		if r.Key == jobs.ProgressKey("j") {
			_, err := stored.Progress.UnmarshalMsg(r.Value)
			assert.NilError(t, err)
		}
	}
	e := New(Config{Service: "s", Epoch: 2, StatusRetentionMs: 1000}, &jobs.Catalog{}, now)
	e.LoadJob("j", stored, now, now)
	e.SetVMs(listed, now)
	e.HandlePollReply("b", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1}, now+1, now+1)
	return e
}

// startsAt returns the VMs on which the engine starts items at a time. VM "b" and the log answer until then.
func startsAt(e *Engine, now int64) []string {
	e.MarkOwnershipConfirmed(now)
	e.MarkStoreReachable(now)
	e.HandlePollReply("b", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1, Running: e.runsOn("b")}, now, now)
	e.Advance(now, now)
	var starts []string
	for _, o := range e.TakeOrders() {
		if o.Kind == pools.Start {
			starts = append(starts, o.VM)
		}
	}
	return starts
}

// TestNextOwnerKnowsOpenStarts guards against an item that a next owner starts elsewhere while a VM may still execute a start that
// the earlier owner gave up: the VM starts again under its ID and is out of reach.
func TestNextOwnerKnowsOpenStarts(t *testing.T) {
	const takenOverAt = 1000
	const silentAt = takenOverAt + 500
	const last = silentAt + pools.LateCallMs + maxSlowLeaseMs // a poll from before the silence may be late, too
	e := openStartEngine(t, takenOverAt)
	e.HandlePollFailure("a", silentAt)
	for now := int64(takenOverAt + 2); now < last; now += 500 {
		assert.Equal(t, len(startsAt(e, now)), 0, "at %d ms", now)
	}
	assert.DeepEqual(t, startsAt(e, last+tickIntervalMs), []string{"b"})
}

// TestItemIsFreeOnceItsVMIsGone guards against an item that waits for a VM which can't come back under its ID, as its machine has
// another one, or is in an upkeep.
func TestItemIsFreeOnceItsVMIsGone(t *testing.T) {
	const takenOverAt = 1000
	for name, c := range map[string]struct {
		a      pools.Machine
		starts bool
	}{
		"another vm":   {pools.Machine{ID: "ma", Pool: "s", VM: "a2", State: pools.MachineUp}, true},
		"upkeep":       {pools.Machine{ID: "ma", Pool: "s", State: pools.MachineBusy}, true},
		"another pool": {pools.Machine{ID: "ma", Pool: "other", State: pools.MachineDown}, true},
		"down":         {pools.Machine{ID: "ma", Pool: "s", State: pools.MachineDown}, false},
		"up":           {pools.Machine{ID: "ma", Pool: "s", VM: "a", State: pools.MachineUp}, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := openStartEngine(t, takenOverAt)
			e.HandlePollFailure("a", takenOverAt+500)
			machines := []pools.Machine{c.a, {ID: "mb", Pool: "s", VM: "b", State: pools.MachineUp}}
			assert.Assert(t, e.NeedsMachineList())
			e.SetMachines(machines, takenOverAt+600, takenOverAt+610)
			assert.Equal(t, len(startsAt(e, takenOverAt+700)) > 0, c.starts)
			const after = takenOverAt + pools.LateCallMs + 100
			e.SetMachines(machines, after, after+1)
			assert.Equal(t, len(startsAt(e, after+tickIntervalMs)) > 0, name == "down", "a machine that is down runs nothing")
		})
	}
}

// TestOnlyListedEndsAreAcknowledged guards against an end that nobody has read: a poll is sent while its VM starts again, with the number up
// to which the ends of the last lifetime are recorded, and the VM forgets as many ends of the next one.
func TestOnlyListedEndsAreAcknowledged(t *testing.T) {
	e, o := startWithoutReply(t, jobs.Step{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 500})
	acked := func(now int64, ends ...pools.RunEnd) int64 {
		e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1, Ended: ends}, now, now)
		if e.HasUnrecordedJobs() {
			storeBatch(t, e, now)
		}
		req, ok := e.NextPoll("a", now+1)
		assert.Assert(t, ok)
		return req.AckedSeq
	}
	assert.Equal(t, acked(400, pools.RunEnd{Seq: 57, Item: o.Item, Run: o.Run, Kind: pools.EndDone}), int64(57))
	assert.Equal(t, acked(500), int64(0), "nothing is left to forget")
}

// TestItemOfAnUnlistedVMIsFreeByTheMachines guards against an item that waits for 12 s behind each takeover: its VM has crashed and has
// another ID now, and its entry was removed before the next owner read it, so that owner does not know its machine.
func TestItemOfAnUnlistedVMIsFreeByTheMachines(t *testing.T) {
	const takenOverAt = 100_000
	e := New(Config{Service: "s", Epoch: 2, StatusRetentionMs: 1000}, &jobs.Catalog{}, takenOverAt)
	stored := &jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 500}}}}
	stored.Progress = jobs.Progress{Rev: 1, State: jobs.Running, Items: []jobs.ItemState{{Run: 1, VM: "a", VMBorn: 1}}}
	e.LoadJob("j", stored, takenOverAt, takenOverAt)
	e.RequireInitialPolls(takenOverAt)
	e.SetVMs([]pools.VM{{ID: "b", Service: "s", Addr: "y", Machine: "mb", CPU: 1000, MemMB: 1000}}, takenOverAt)
	e.HandlePollReply("b", pools.PollReply{Kind: pools.Done, ClockMs: takenOverAt, StartedAtMs: 1}, takenOverAt+1, takenOverAt+1)
	e.SetMachines([]pools.Machine{
		{ID: "ma", Pool: "s", VM: "a2", State: pools.MachineDown}, {ID: "mb", Pool: "s", VM: "b", State: pools.MachineUp},
	}, takenOverAt+10, takenOverAt+20)
	assert.DeepEqual(t, startsAt(e, takenOverAt+30), []string{"b"})
}
