package shard

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Times and sizes of a crashPool.
const (
	crashTickMs    = 20
	crashDownMs    = 3500 // time from a crash until the machine has its next VM
	crashListMs    = 300  // interval at which the machine list is read while a VM is silent
	crashVMCPU     = 32_000
	crashVMMemMB   = 128_000
	crashItemCPU   = 2300
	crashItemMs    = 800
	crashItemDelay = 10 // time from the start of a poison item until its VM crashes
)

// crashPool plays the VMs of an engine, some of whose items crash the VM that starts them. A machine whose VM has crashed
// is down for crashDownMs and comes back with a VM of another ID.
type crashPool struct {
	t        *testing.T
	e        *Engine
	epoch    int64
	now      int64
	machines []*crashMachine
	stored   map[string]*jobs.StoredJob

	poison map[string]bool // items that crash their VMs
	// dropStart is an item whose next start crashes its VM unexecuted, and dropped the number of such starts.
	dropStart string
	dropped   int
	// killAtStart is the start of a poison item, counted from 1, after which its owner is lost with all that it has not recorded.
	killAtStart int
	ownerLost   bool
	silent      bool           // a crash takes the replies to the starts of poison items with it
	starts      map[string]int // by item
	crashes     map[string]int // VMs that crashed under an item, by item
	after3      map[string]int // starts of an item after three of its VMs had crashed
	lost        int            // runs of sound items that ended with their VMs
	ended       map[string]jobs.State
	endedAt     map[string]int64
}

// crashMachine is a machine, with the VM that runs on it.
type crashMachine struct {
	id      string
	lives   int
	vm      string // empty while it is down
	runs    map[string]*crashRun
	ends    []pools.RunEnd
	bornAt  int64
	upAt    int64 // end of the time for which it is down
	crashAt int64 // time of a crash to come, 0 for none
}

// crashRun is a run on a crashMachine.
type crashRun struct {
	run       int
	startedAt int64
}

func newCrashPool(t *testing.T, machines int) *crashPool {
	t.Helper()
	p := &crashPool{
		t: t, poison: map[string]bool{}, starts: map[string]int{}, crashes: map[string]int{}, after3: map[string]int{},
		stored: map[string]*jobs.StoredJob{}, ended: map[string]jobs.State{}, endedAt: map[string]int64{},
	}
	for n := range machines {
		p.machines = append(p.machines, &crashMachine{id: fmt.Sprintf("m%02d", n)})
	}
	p.takeOver()
	return p
}

// takeOver replaces the engine by that of a next owner, which knows what is recorded.
func (p *crashPool) takeOver() {
	p.epoch++
	earlier := p.e
	p.e = New(Config{Service: "s", Epoch: p.epoch, StatusRetentionMs: 60_000}, &jobs.Catalog{Queues: []jobs.Queue{
		{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 10, SLOMs: 1000},
	}}, p.now)
	for id, s := range p.stored {
		p.e.LoadJob(id, s, p.now, p.now)
	}
	if earlier != nil {
		p.e.RequireInitialPolls(p.now)
	}
}

// submit submits a job with one step of count items, which take crashItemMs unless they are persistent.
func (p *crashPool) submit(id string, step jobs.Step) {
	if step.CPU == 0 {
		step.CPU = crashItemCPU
	}
	step.MemMB, step.EstimateMs = 1000, crashItemMs
	s := &jobs.StoredJob{Job: &jobs.Job{ID: id, Queue: "q", Steps: []jobs.Step{step}, AcceptedMs: p.now}}
	p.stored[id] = s
	p.e.Submit(s, p.now, p.now)
}

// list returns the entries of the VMs. The entry of a crashed VM stays until the machine has the next one.
func (p *crashPool) list() []pools.VM {
	var list []pools.VM
	for _, m := range p.machines {
		list = append(list, pools.VM{
			ID: fmt.Sprintf("%s-%d", m.id, m.lives), Service: "s", Addr: m.id, Machine: m.id,
			CPU: crashVMCPU, MemMB: crashVMMemMB, StartedAtMs: m.bornAt,
		})
	}
	return list
}

// crash ends the VM of a machine, with all runs on it.
func (p *crashPool) crash(m *crashMachine) {
	for item := range m.runs {
		if p.poison[item] {
			p.crashes[item]++
		} else {
			p.lost++
		}
	}
	m.vm, m.runs, m.ends, m.crashAt, m.upAt = "", nil, nil, 0, p.now+crashDownMs
}

// boot starts the next VM of a machine.
func (p *crashPool) boot(m *crashMachine) {
	m.lives++
	m.bornAt = p.now + 1
	m.vm, m.runs = fmt.Sprintf("%s-%d", m.id, m.lives), map[string]*crashRun{}
}

// run advances the pool until the local time until. each is called before each turn if it is not nil.
func (p *crashPool) run(until int64, each func()) {
	for p.now < until {
		p.now += crashTickMs
		if each != nil {
			each()
		}
		p.advanceMachines()
		p.e.SetVMs(p.list(), p.now)
		p.pollAll()
		if p.now%crashListMs == 0 && p.e.NeedsMachineList() {
			p.e.SetMachines(p.machineList(), p.now, p.now)
		}
		p.e.MarkOwnershipConfirmed(p.now)
		p.e.MarkStoreReachable(p.now)
		p.e.Advance(p.now, p.now)
		p.carryOut(p.e.TakeOrders())
		if p.ownerLost {
			p.ownerLost = false
			p.takeOver()
			continue
		}
		p.record()
	}
}

// advanceMachines crashes, boots and ends what is due.
func (p *crashPool) advanceMachines() {
	for _, m := range p.machines {
		switch {
		case m.vm == "" && p.now >= m.upAt:
			p.boot(m)
		case m.vm != "" && m.crashAt > 0 && p.now >= m.crashAt:
			p.crash(m)
		}
		for _, item := range slices.Sorted(maps.Keys(m.runs)) {
			if !strings.HasPrefix(item, "lasts") && p.now >= m.runs[item].startedAt+crashItemMs {
				p.end(m, item, pools.EndDone)
			}
		}
	}
}

func (p *crashPool) end(m *crashMachine, item string, kind pools.EndKind) {
	m.ends = append(m.ends, pools.RunEnd{Seq: int64(len(m.ends) + 1), Item: item, Run: m.runs[item].run, Kind: kind})
	delete(m.runs, item)
}

func (p *crashPool) pollAll() {
	for _, m := range p.machines {
		for _, v := range p.e.vmsByID() {
			if v.Machine == m.id && v.ID != m.vm {
				p.e.HandlePollFailure(v.ID, p.now)
			}
		}
		if m.vm == "" {
			continue
		}
		reply := pools.PollReply{Kind: pools.Done, ClockMs: p.now, StartedAtMs: m.bornAt, Ended: slices.Clone(m.ends)}
		for item, r := range m.runs {
			reply.Running = append(reply.Running, pools.RunStatus{Item: item, Run: r.run, ProgressPercent: 100})
		}
		p.e.HandlePollReply(m.vm, reply, p.now, p.now)
	}
}

func (p *crashPool) machineList() []pools.Machine {
	var list []pools.Machine
	for _, m := range p.machines {
		state := pools.MachineUp
		if m.vm == "" {
			state = pools.MachineDown
		}
		list = append(list, pools.Machine{ID: m.id, Pool: "s", VM: m.vm, State: state})
	}
	return list
}

// carryOut executes orders and passes the replies to the engine.
func (p *crashPool) carryOut(orders []pools.Order) {
	for _, o := range orders {
		reply := pools.Reply{Kind: pools.NotExecuted}
		for _, m := range p.machines {
			if m.vm == o.VM {
				reply.Kind = p.execute(m, o)
			}
		}
		p.e.HandleOrderReply(o, reply, p.now)
	}
}

func (p *crashPool) execute(m *crashMachine, o pools.Order) pools.ReplyKind {
	if o.Kind == pools.Stop {
		if r := m.runs[o.Item]; r != nil && r.run == o.Run {
			p.end(m, o.Item, pools.EndStopped)
		}
		return pools.Done
	}
	if o.Item == p.dropStart {
		p.dropStart = ""
		p.dropped++
		p.crash(m)
		return pools.NoReply
	}
	m.runs[o.Item] = &crashRun{run: o.Run, startedAt: p.now}
	p.starts[o.Item]++
	if !p.poison[o.Item] {
		return pools.Done
	}
	p.ownerLost = p.starts[o.Item] == p.killAtStart
	if p.crashes[o.Item] >= 3 {
		p.after3[o.Item]++
	}
	if m.crashAt == 0 {
		m.crashAt = p.now + crashItemDelay
	}
	if p.silent {
		return pools.NoReply
	}
	return pools.Done
}

// record stores what is due, as the log does.
func (p *crashPool) record() {
	b, err := p.e.NextBatch()
	assert.NilError(p.t, err)
	if b == nil {
		return
	}
	for _, r := range b.Records {
		for id, s := range p.stored {
			if r.Key != jobs.ProgressKey(id) || r.Value == nil {
				continue
			}
			s.Progress = jobs.Progress{}
			_, err := s.Progress.UnmarshalMsg(r.Value)
			assert.NilError(p.t, err)
			if state := s.Progress.State; state.Final() && p.endedAt[id] == 0 {
				p.ended[id], p.endedAt[id] = state, p.now
			}
		}
	}
	p.carryOut(p.e.HandleBatchStored(b, p.now))
}

// checkBudget fails the test if a poison item was started more than twice after three VMs had crashed under it.
func (p *crashPool) checkBudget() {
	p.t.Helper()
	for item := range p.poison {
		assert.Assert(p.t, p.after3[item] <= 2, "%s is started %d times after three VMs have crashed under it, %d times in all",
			item, p.after3[item], p.starts[item])
	}
}

// checkSound fails the test if a job without a poison item has not ended as complete.
func (p *crashPool) checkSound() {
	p.t.Helper()
	for id, s := range p.stored {
		sound := !s.Job.Persistent()
		for item := range p.poison {
			sound = sound && !strings.HasPrefix(item, id+".")
		}
		if sound {
			assert.Equal(p.t, p.ended[id], jobs.Complete, "job %s", id)
		}
	}
}

// checkGivenUp fails the test unless the job "bad" has failed within the budget of starts and all sound jobs are complete.
func (p *crashPool) checkGivenUp() {
	p.t.Helper()
	p.checkBudget()
	p.checkSound()
	assert.Equal(p.t, p.ended["bad"], jobs.Failed)
}

// load submits a job of 6 items each intervalMs until the local time until.
func (p *crashPool) load(intervalMs, until int64) func() {
	n := 0
	return func() {
		if p.now%intervalMs == 0 && p.now < until {
			n++
			p.submit(fmt.Sprintf("sound%04d", n), jobs.Step{Count: 6})
		}
	}
}

// isRunning reports whether an item runs.
func (p *crashPool) isRunning(item string) bool {
	return slices.ContainsFunc(p.machines, func(m *crashMachine) bool { return m.runs[item] != nil })
}

// breakGang ends the members of a gang that run without all others.
func (p *crashPool) breakGang(id string, count int) {
	members := 0
	for _, m := range p.machines {
		members += len(m.runs)
	}
	for _, m := range p.machines {
		for item := range m.runs {
			if members < count && strings.HasPrefix(item, id) {
				p.end(m, item, pools.EndStopped)
			}
		}
	}
}
