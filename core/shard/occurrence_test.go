package shard

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// TestLaterOccurrencesBegin guards against a scheduled job whose later occurrences never begin: one that is over still counts as open, as
// the last end of it was not the one that made it done.
func TestLaterOccurrencesBegin(t *testing.T) {
	wide := jobs.Step{Count: maxOpenItems, CPU: 10, MemMB: 1, EstimateMs: 50}
	for name, last := range map[string]jobs.Step{
		"plain items": {Count: 4, CPU: 10, MemMB: 1, EstimateMs: 50, After: []int{0}},
		"gang":        {Count: 4, CPU: 10, MemMB: 1, EstimateMs: 50, After: []int{0}, Gang: true},
	} {
		for _, takeover := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, takeover %v", name, takeover), func(t *testing.T) {
				stored := &jobs.StoredJob{Job: &jobs.Job{ID: "j", Queue: "q", Times: 3, EveryMs: 100, Steps: []jobs.Step{wide, last}}}
				p := newOccurrencePlay(stored)
				for n := 0; !p.complete() && n < 3000; n++ {
					p.tick()
					if takeover && p.firstStepsDone() {
						p.takeOver()
						takeover = false
					}
				}
				assert.Assert(t, p.complete(), "%d of 3 occurrences are open", p.sim.e.jobs["j"].opened)
				assert.Assert(t, !takeover, "no takeover was played")
			})
		}
	}
}

// occurrencePlay plays a scheduled job on two VMs. The members of a gang end one after the other.
type occurrencePlay struct {
	sim    *simPool
	table  *jobs.JobTable
	stored *jobs.StoredJob
}

func newOccurrencePlay(stored *jobs.StoredJob) *occurrencePlay {
	p := &occurrencePlay{stored: stored, table: jobs.NewJobTable()}
	p.table.Jobs["j"] = stored
	p.sim = newSimPool(p.newEngine())
	p.sim.stored = func(b *Batch) {
		for _, r := range b.Records {
			_, _ = p.table.Apply(r) // deletions of records that the table lacks have no effect
		}
	}
	p.sim.pollAll()
	p.sim.e.Submit(stored, 0, 0)
	return p
}

func (p *occurrencePlay) newEngine() *Engine {
	e := New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
	e.SetVMs([]pools.VM{
		{ID: "a", Service: "s", Addr: "x", CPU: 32_000, MemMB: 64_000}, {ID: "b", Service: "s", Addr: "x", CPU: 32_000, MemMB: 64_000},
	}, 0)
	return e
}

func (p *occurrencePlay) complete() bool {
	j := p.sim.e.jobs["j"]
	return j == nil || j.state == jobs.Complete
}

// tick ends the runs, but only one of each step that is a gang.
func (p *occurrencePlay) tick() {
	ended := map[int]bool{}
	for vm, runs := range p.sim.runs {
		for name := range runs {
			_, it, _ := jobs.ParseItem(name)
			if gang := p.stored.Job.Steps[it.Step].Gang; !gang || !ended[it.Step] {
				ended[it.Step] = true
				p.sim.end(vm, name, pools.EndDone, "")
			}
		}
	}
	p.sim.tick(0)
}

// firstStepsDone reports whether all items of the first occurrence are done that can be while it still counts as open: a gang, of
// which members are on their VMs after the end that made it done, but not the last of several plain items.
func (p *occurrencePlay) firstStepsDone() bool {
	j := p.sim.e.jobs["j"]
	gang := p.stored.Job.Steps[1].Gang
	return j != nil && j.base == 0 && j.opened == 1 && j.remaining[[2]int{0, 0}] == 0 && (!gang || j.remaining[[2]int{0, 1}] == 0)
}

// takeOver continues with a next owner, which loads what is recorded.
func (p *occurrencePlay) takeOver() {
	e := p.newEngine()
	e.LoadJob("j", p.table.Jobs["j"], p.sim.now, p.sim.now)
	p.sim.e = e
	p.sim.pollAll()
}

// TestJobWithAllItemsDoneIsComplete guards against a job that is shown as running for good: its owner ended after it had recorded the last
// parts of a wide job, and before the record with its state. The ends are listed again, and mark nothing that is not done already.
func TestJobWithAllItemsDoneIsComplete(t *testing.T) {
	for name, times := range map[string]int{"once": 0, "with a schedule": 2} {
		t.Run(name, func(t *testing.T) {
			stored := &jobs.StoredJob{
				Job:      &jobs.Job{ID: "j", Queue: "q", Times: times, Steps: []jobs.Step{{Count: jobs.ItemsPerRecord + 1, CPU: 10, MemMB: 1, EstimateMs: 5}}},
				Progress: jobs.Progress{Rev: 3, State: jobs.Running, Base: max(times-1, 0)}, Parts: map[int]*jobs.Progress{1: {}},
			}
			for i := range jobs.ItemsPerRecord + 1 {
				stored.Parts[1].Items = append(stored.Parts[1].Items, jobs.ItemState{K: stored.Progress.Base, Index: i, Run: 1, Done: true})
			}
			sim := newSimPool(newPolledEngine(2, 1000, 1000))
			table := jobs.NewJobTable()
			sim.stored = func(b *Batch) {
				for _, r := range b.Records {
					_, err := table.Apply(r)
					assert.NilError(t, err)
				}
			}
			sim.e.LoadJob("j", stored, 0, 0)
			for range 100 {
				sim.tick(0)
			}
			state, _ := table.Find("j")
			assert.Equal(t, state, jobs.Complete)
		})
	}
}
