package shard

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// TestIdleVMsOfALargePoolAreAskedLess guards against an owner whose processor goes into asking VMs that run nothing
// (91% of 0.4 core at 2,000 VMs, 8e607832), and against VMs that get no work because they are asked less.
func TestIdleVMsOfALargePoolAreAskedLess(t *testing.T) {
	for _, c := range []struct {
		vms  int
		wait int64
	}{{100, LookWaitMs}, {largePool + 100, idleLookWaitMs}} {
		e := New(Config{Service: "s", Epoch: 1, StatusMs: 1000}, &jobs.Catalog{}, 0)
		var list []pools.VM
		for i := range c.vms {
			list = append(list, pools.VM{ID: fmt.Sprint("vm-", i), Service: "s", Addr: "x", CPU: 1000, MemMB: 1000})
		}
		e.SetVMs(list, 0)
		for _, v := range list {
			e.Looked(v.ID, pools.Look{Kind: pools.Done, ClockMs: 1, Born: 1}, 0, 0)
		}
		idle := list[1].ID
		call, ok := e.NextLook(idle, 10)
		assert.Assert(t, ok)
		assert.Equal(t, call.WaitMs, c.wait)
		v := e.vms[idle]
		assert.Assert(t, v.usable(10+c.wait+100), "a VM may be used while the answer to its look is not late")
		assert.Assert(t, !v.usable(10+c.wait+silentMs), "a VM that answers no more gets no work")
		e.vms[idle].attach(&item{name: "j.0.0.0", job: &job{Job: &jobs.Job{}}, step: &jobs.Step{CPU: 100, MemMB: 10}})
		call, _ = e.NextLook(idle, 20)
		assert.Equal(t, call.WaitMs, int64(LookWaitMs), "a VM that runs something is asked as often in any pool")
	}
}

// TestRunIsJudgedByLooksOnly guards against a run that counts as standing still since looks were late: a look right after the
// start and one 0.4 s later said the same, and the next came after a second (1,694 stopped runs on the small twin).
func TestRunIsJudgedByLooksOnly(t *testing.T) {
	e := poolOf(1, 1000, 1000)
	e.Confirm(10)
	e.Submit(&jobs.Entry{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 600}}}}, 10, 10)
	e.Step(10, 10)
	o := e.TakeOrders()[0]
	e.Replied(o, pools.Reply{Kind: pools.Done}, 12)
	row := pools.RunRow{Item: o.Item, Run: o.Run, Percent: 30}
	seen(e, 20, 20, row)
	seen(e, 420, 420, row)
	e.tick(1580, 1580)
	assert.Equal(t, len(e.TakeOrders()), 0, "nothing was seen for more than 0.4 s")
	seen(e, 1700, 1700, row)
	e.tick(1710, 1710)
	orders := e.TakeOrders()
	assert.Equal(t, len(orders), 1, "three looks over 1.7 s show no progress")
	assert.Equal(t, orders[0].Kind, pools.Stop)
}
