package shard

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// closedCase is one case of testdata/closed.toml.
type closedCase struct {
	Name    string
	Limit   int   // VMs that the pool should keep
	UntilMs int64 // length of the play
	VM      []caseVM
	Wait    []caseJob
	Offered []string // VMs that are offered at the end
	// WantAtLeast and WantAtMost bound the VMs that the pool wants at the end, unless they are 0.
	WantAtLeast, WantAtMost int
	TooLarge                []string // jobs that were said to fit on no VM
	Counts                  *Counts  // some of the counts at the end
}

// caseVM is a VM with runs.
type caseVM struct {
	ID  string
	GPU int64
	Run []caseJob
}

// caseJob is a job of one step. The runs of its items last LastsMs.
type caseJob struct {
	SubmitMs, EstimateMs, LastsMs int64
	Count                         int // 1 if it is 0
	CPU, GPU                      int64
	MemMB                         int64 // 100 if it is 0
	Gang                          bool
	StartsByMs                    int64    // time by which its items have started, 0 if none may start
	Starts                        int      // items that start, 0 for all of them
	On                            []string // VMs on which they may start
}

// stored returns the job with an ID. Its items require a label if that is not empty.
func (c *caseJob) stored(id, label string) *jobs.StoredJob {
	return &jobs.StoredJob{Job: &jobs.Job{ID: id, Queue: "q", Steps: []jobs.Step{{
		Count: max(c.Count, 1), CPU: c.CPU, MemMB: cmp.Or(c.MemMB, 100), GPU: c.GPU, EstimateMs: c.EstimateMs, Gang: c.Gang, Label: label,
	}}}}
}

// TestClosedVMs guards against work that stands still beside free room. A pool closed VMs for new work as other pools lacked
// machines; long runs kept them for 20 s and more, and items that needed more than the open VMs had free did not start.
func TestClosedVMs(t *testing.T) { playClosedCases(t, "testdata/closed.toml") }

// playClosedCases plays the cases of a file.
func playClosedCases(t *testing.T, path string) {
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	var script struct{ Case []closedCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		t.Run(c.Name, func(t *testing.T) { newClosedPlay(&c).run(t) })
	}
}

// closedPlay plays a closedCase.
type closedPlay struct {
	c       *closedCase
	sim     *simPool
	vms     []pools.VM
	startMs int64               // time of the simulation at which the limit is set
	lasts   map[string]*caseJob // by job ID
	begun   map[string]int64    // time at which the items started
}

func newClosedPlay(c *closedCase) *closedPlay {
	e := New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, &jobs.Catalog{Queues: []jobs.Queue{
		{Name: "q", Service: "s", Stretch: 10, SLOMs: 10_000},
	}}, 0)
	p := &closedPlay{c: c, sim: newSimPool(e), lasts: map[string]*caseJob{}, begun: map[string]int64{}}
	for _, v := range c.VM {
		p.vms = append(p.vms, pools.VM{ID: v.ID, Service: "s", Addr: v.ID, CPU: 32_000, MemMB: 100_000, GPU: v.GPU, Labels: []string{"vm-" + v.ID}})
	}
	e.SetVMs(p.vms, 0)
	p.sim.pollAll()
	for _, v := range c.VM {
		for i := range v.Run {
			p.submit(fmt.Sprintf("run-%s-%d", v.ID, i), "vm-"+v.ID, &v.Run[i])
		}
	}
	p.tick()
	p.startMs = p.sim.now
	e.SetVMLimit(c.Limit)
	return p
}

func (p *closedPlay) submit(id, label string, j *caseJob) {
	p.lasts[id] = j
	p.sim.e.Submit(j.stored(id, label), p.sim.now, p.sim.now)
}

// tick ends the runs that are due, reports the progress of the others, and advances the engine.
func (p *closedPlay) tick() {
	for vm, runs := range p.sim.runs {
		for item, r := range runs {
			j := p.jobOf(item)
			ranMs := p.sim.now - p.begun[item]
			if ranMs >= j.LastsMs {
				p.sim.end(vm, item, pools.EndDone, "")
				continue
			}
			r.ProgressPercent = int(100 * ranMs / j.LastsMs)
			runs[item] = r
		}
	}
	p.sim.pollAll()
	started := len(p.sim.started)
	p.sim.tick(0)
	for _, o := range p.sim.started[started:] {
		p.begun[o.Item] = p.sim.now
	}
}

func (p *closedPlay) jobOf(item string) *caseJob {
	for id, j := range p.lasts {
		if len(item) > len(id) && item[:len(id)+1] == id+"." {
			return j
		}
	}
	return nil
}

// run plays the case, and fails the test if an item starts late, too early or on another VM than the case says, or if other
// VMs are offered at the end.
func (p *closedPlay) run(t *testing.T) {
	submitted := make([]bool, len(p.c.Wait))
	for p.sim.now-p.startMs < p.c.UntilMs {
		for i := range p.c.Wait {
			if j := &p.c.Wait[i]; !submitted[i] && p.sim.now-p.startMs >= j.SubmitMs {
				submitted[i] = true
				p.submit(fmt.Sprintf("wait-%d", i), "", j)
			}
		}
		p.tick()
	}
	events := p.sim.e.TakeEvents()
	for i := range p.c.Wait {
		p.checkStarts(t, i, events)
	}
	var offered []string
	for _, v := range p.sim.e.vmsByID() {
		if v.offered {
			offered = append(offered, v.ID)
		}
	}
	if len(p.c.Offered) > 0 {
		assert.DeepEqual(t, offered, p.c.Offered)
	}
	want := p.sim.e.DemandReport().Want
	assert.Assert(t, p.c.WantAtLeast == 0 || want >= p.c.WantAtLeast, "%d VMs are wanted", want)
	assert.Assert(t, p.c.WantAtMost == 0 || want <= p.c.WantAtMost, "%d VMs are wanted", want)
	var tooLarge []string
	for _, ev := range events {
		if ev.Name == "no vm fits" {
			tooLarge = append(tooLarge, ev.JobID)
		}
	}
	assert.DeepEqual(t, tooLarge, p.c.TooLarge)
	if want := p.c.Counts; want != nil {
		got := p.sim.e.Counts(p.sim.now)
		assert.DeepEqual(t, Counts{
			Waiting: got.Waiting, WaitingItems: got.WaitingItems, NoRoom: got.NoRoom, Usable: got.Usable, FreeCPU: got.FreeCPU,
			Closed: got.Closed, ClosedFreeCPU: got.ClosedFreeCPU, Offered: got.Offered,
		}, *want)
	}
}

// checkStarts checks the starts of job i of the case.
func (p *closedPlay) checkStarts(t *testing.T, i int, events []Event) {
	t.Helper()
	j := &p.c.Wait[i]
	n := 0
	for _, o := range p.sim.started {
		if o.JobID != fmt.Sprintf("wait-%d", i) {
			continue
		}
		atMs := p.begun[o.Item] - p.startMs
		assert.Assert(t, j.StartsByMs > 0, "%s starts at %d ms on %s", o.Item, atMs, o.VM)
		assert.Assert(t, slices.Contains(j.On, o.VM), "%s starts at %d ms on %s", o.Item, atMs, o.VM)
		assert.Assert(t, atMs <= j.StartsByMs, "%s starts at %d ms", o.Item, atMs)
		n++
	}
	if j.StartsByMs > 0 {
		assert.Equal(t, n, cmp.Or(j.Starts, j.Count, 1), "items of job %d that have started; events: %v", i, events)
	}
}

// TestRecordedStartOnAClosedVM guards against a start that is planned again, on another VM, because its VM was closed while the start
// waited for its record.
func TestRecordedStartOnAClosedVM(t *testing.T) {
	const now = 2 * earlyStartConfirmationMs // starts wait for their records
	e := newPolledEngine(1, 1000, 1000)
	e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1}, now, now)
	e.MarkStoreReachable(now)
	e.Submit((&caseJob{CPU: 500, EstimateMs: 500}).stored("j", ""), now, now)
	e.Advance(now, now)
	b, err := e.NextBatch()
	assert.NilError(t, err)
	e.vms["a"].closed = true
	orders := e.HandleBatchStored(b, now+10)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, pools.Start)
}
