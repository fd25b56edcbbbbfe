package assign

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// slowPlatform lists machines with a lag and moves them in moveMs.
type slowPlatform struct {
	moveMs   int64
	view     View
	machines []pools.Machine
	upAt     map[string]int64
	moved    int
}

// listEveryMs is the interval at which the machine list is read.
const listEveryMs = 400

// newSlowPlatform returns a platform on which one pool wants machines that are switched off.
func newSlowPlatform(want, machines int, moveMs int64) *slowPlatform {
	p := &slowPlatform{moveMs: moveMs, upAt: map[string]int64{}}
	p.view = View{ListedAtMs: 10_000, Pools: []PoolDemand{{Pool: "busy", Report: jobs.DemandReport{Want: want}}, {Pool: "off", Spare: true}}}
	for i := range machines {
		p.machines = append(p.machines, pools.Machine{ID: fmt.Sprint("m", i), VM: fmt.Sprint("vm", i), Pool: "off", State: pools.MachineUp})
	}
	p.view.Machines = append(p.view.Machines, p.machines...)
	return p
}

// run lets a controller plan until a time, and carries its orders out.
func (p *slowPlatform) run(c *Controller, until int64) {
	for now := p.view.ListedAtMs; now < until; now += testTickMs {
		if now-p.view.ListedAtMs >= listEveryMs {
			p.list(now)
		}
		for _, o := range c.Plan(p.view, now) {
			p.moved++
			c.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, now)
			for i := range p.machines {
				if m := &p.machines[i]; m.ID == o.Item {
					m.Pool, m.State, p.upAt[o.Item] = o.Spec, pools.MachineBusy, now+p.moveMs
				}
			}
		}
	}
}

func (p *slowPlatform) list(now int64) {
	p.view.ListedAtMs = now
	for i := range p.machines {
		if at := p.upAt[p.machines[i].ID]; at > 0 && now >= at {
			p.machines[i].State = pools.MachineUp
		}
	}
	copy(p.view.Machines, p.machines)
}

// TestMovingMachinesCountForTheirNewPool guards against a pool that gets more machines than it wants at the start of its
// busy period: while a machine moves, the list shows it as busy in its new pool, and it counted for none. A pool that
// wanted 28 VMs got 42 machines.
func TestMovingMachinesCountForTheirNewPool(t *testing.T) {
	const want = 20
	p := newSlowPlatform(want, 3*want, 1500)
	p.run(New(Config{Epoch: 1}), 16_000)
	assert.Equal(t, p.moved, want)
}

// TestTimeOfAMoveIsMeasured guards against a demand that looks ahead as far as on another platform: VMs that take three
// times as long came when the busy period was half over. The next machine controller goes on with the measured time.
func TestTimeOfAMoveIsMeasured(t *testing.T) {
	for _, moveMs := range []int64{500, 1500, 4500} {
		p := newSlowPlatform(20, 60, moveMs)
		c := New(Config{Epoch: 1, JoinMs: 1500})
		p.run(c, 20_000)
		joinMs := c.joinMs
		assert.Assert(t, joinMs > moveMs*9/10 && joinMs < moveMs+2*listEveryMs, "%d ms for a move of %d ms", joinMs, moveMs)
		records, err := c.TakeRecords()
		assert.NilError(t, err)
		d := jobs.NewDirectory()
		for _, r := range records {
			assert.NilError(t, d.Apply(r))
		}
		if change := joinMs - 1500; change*100 > 1500*joinChangePercent || -change*100 > 1500*joinChangePercent {
			assert.Equal(t, d.Vacate.JoinMs, joinMs)
		}
		assert.Equal(t, New(Config{Epoch: 2, JoinMs: joinMs}).joinMs, joinMs)
	}
}
