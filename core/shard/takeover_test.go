package shard

import (
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// machinesOf returns running machines of pool "s" with the given VMs.
func machinesOf(vms ...string) []pools.Machine {
	list := []pools.Machine{}
	for _, id := range vms {
		list = append(list, pools.Machine{ID: "m" + id, Pool: "s", VM: id, State: pools.MachineUp})
	}
	return list
}

// takeoverStep is one step of a case of testdata/takeover.toml. All that it names happens at time At.
type takeoverStep struct {
	At       int64    // ms after the takeover
	Listed   []string // VMs in the VM list from then on
	Polled   []string // VMs that answer a poll
	Machines []string // VMs that run on machines of the pool, by a machine list that was requested then; no list if it is nil
	Other    []string // VMs on running machines of another pool in that list
	Down     []string // VMs on machines of the pool that are down in that list
	Starts   int      // starts that the engine orders then
}

// takeoverCase is one case of testdata/takeover.toml.
type takeoverCase struct {
	Name string
	Step []takeoverStep
}

// TestNewOwnerPollsVMsThatAreNotListed guards against an item that runs twice after an outage in which the entries of VMs
// expired: the next owner polled the one VM that was listed again, and started there what ran, or had run, on the others.
func TestNewOwnerPollsVMsThatAreNotListed(t *testing.T) {
	data, err := os.ReadFile("testdata/takeover.toml")
	assert.NilError(t, err)
	var script struct{ Case []takeoverCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		t.Run(c.Name, c.play)
	}
}

// play takes over a shard with one job whose first start may not be recorded.
func (c *takeoverCase) play(t *testing.T) {
	const takenOverAt = 100_000
	e := New(Config{Service: "s", Epoch: 2, StatusRetentionMs: 1000}, &jobs.Catalog{}, takenOverAt)
	e.LoadJob("j", &jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{
		{Count: 1, CPU: 100, MemMB: 10, EstimateMs: 600},
	}}}, takenOverAt, takenOverAt)
	e.RequireInitialPolls(takenOverAt)
	var listed []pools.VM
	for i, s := range c.Step {
		now := takenOverAt + s.At
		for _, id := range s.Listed {
			listed = append(listed, pools.VM{ID: id, Service: "s", Addr: id, CPU: 1000, MemMB: 1000})
		}
		e.SetVMs(listed, now)
		for _, v := range listed { // a VM that was polled goes on answering
			if e.vms[v.ID].polled {
				e.HandlePollReply(v.ID, pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1}, now, now)
			}
		}
		for _, id := range s.Polled {
			e.HandlePollReply(id, pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1}, now, now)
		}
		if s.Machines != nil {
			list := machinesOf(s.Machines...)
			for _, id := range s.Other {
				list = append(list, pools.Machine{ID: "m" + id, Pool: "other", VM: id, State: pools.MachineUp})
			}
			for _, id := range s.Down {
				list = append(list, pools.Machine{ID: "m" + id, Pool: "s", VM: id, State: pools.MachineDown})
			}
			e.SetMachines(list, now, now)
		}
		e.MarkStoreReachable(now)
		e.MarkOwnershipConfirmed(now)
		e.Advance(now, now)
		assert.Equal(t, len(e.TakeOrders()), s.Starts, "step %d, %d ms after the takeover", i, s.At)
	}
}
