package shard

import (
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// lastingCase is one case of testdata/lasting.toml: a persistent item runs on VM "a" and loses its run while no other VM is
// there. The owner ends after its last record, and the next one finds VM "b".
type lastingCase struct {
	Name     string
	End      string   // how the run ends: "stopped" by the VM, "failed", "crash" of the machine, "vanish" without a sign, or "" if it goes on
	Machines []string // VMs in the machine list that the next owner reads 0.3 s after its takeover
	Listed   bool     // VM "a" is still listed then
	StartsBy int64    // ms after the takeover by which the item has started on "b", 0 if it must not start within 9 s
}

// TestLastingItemGoesOnAfterAHandOver guards against a persistent item that stands still for 9.5 s after each handover. The end of
// its run was not recorded until it started elsewhere, and the next owner waited for the leases of a VM that was gone.
func TestLastingItemGoesOnAfterAHandOver(t *testing.T) {
	data, err := os.ReadFile("testdata/lasting.toml")
	assert.NilError(t, err)
	var script struct{ Case []lastingCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		t.Run(c.Name, func(t *testing.T) {
			stored := c.playFirstOwner(t)
			assert.Equal(t, c.playNextOwner(stored), c.StartsBy > 0, "the item has started on the new VM")
		})
	}
}

// lastingVM returns the VM list's entry of a VM with room for the item.
func lastingVM(id string) pools.VM {
	return pools.VM{ID: id, Service: "s", Addr: id, Machine: "m" + id, CPU: 1000, MemMB: 1000}
}

// playFirstOwner starts the item on VM "a", ends its run and returns what is recorded of the job.
func (c *lastingCase) playFirstOwner(t *testing.T) *jobs.StoredJob {
	stored := &jobs.StoredJob{Job: &jobs.Job{ID: "j", Steps: []jobs.Step{{Count: 1, CPU: 900, MemMB: 10, Persistent: true}}}}
	e := New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000}, &jobs.Catalog{}, 0)
	e.SetVMs([]pools.VM{lastingVM("a")}, 0)
	poll := func(now int64, running bool, ended ...pools.RunEnd) {
		reply := pools.PollReply{Kind: pools.Done, ClockMs: now + 1, StartedAtMs: 1, Ended: ended}
		if running {
			reply.Running = []pools.RunStatus{{Item: "j.0.0.0", Run: 1, ProgressPercent: 100}}
		}
		e.HandlePollReply("a", reply, now, now)
	}
	record := func(now int64) {
		e.MarkOwnershipConfirmed(now)
		e.MarkStoreReachable(now)
		e.Advance(now, now)
		for _, o := range takeStarts(e) {
			e.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, now)
		}
		b, err := e.NextBatch()
		assert.NilError(t, err)
		if b == nil {
			return
		}
		for _, r := range b.Records {
			if r.Key == jobs.ProgressKey("j") {
				stored.Progress = jobs.Progress{}
				_, err := stored.Progress.UnmarshalMsg(r.Value)
				assert.NilError(t, err)
			}
		}
		e.HandleBatchStored(b, now)
	}
	poll(0, false)
	e.Submit(stored, 10, 10)
	record(10)
	poll(50, true)
	record(50)
	assert.Equal(t, stored.Progress.Items[0].VM, "a")
	draining := lastingVM("a")
	draining.Draining = true // it takes no new work
	e.SetVMs([]pools.VM{draining}, 60)
	switch c.End {
	case "stopped":
		poll(6000, false, pools.RunEnd{Seq: 1, Item: "j.0.0.0", Run: 1, Kind: pools.EndStopped})
	case "failed":
		poll(6000, false, pools.RunEnd{Seq: 1, Item: "j.0.0.0", Run: 1, Kind: pools.EndFailed})
	case "crash":
		e.HandlePollFailure("a", 6000)
		e.SetMachines([]pools.Machine{{ID: "ma", Pool: "s", State: pools.MachineDown}}, 6010, 6010)
	}
	record(6100)
	return stored
}

// playNextOwner takes the shard over after a release, and reports whether the item starts on VM "b" by c.StartsBy.
func (c *lastingCase) playNextOwner(stored *jobs.StoredJob) bool {
	const takenOverAt, step, watchedMs = 100_000, 50, 9000
	e := New(Config{Service: "s", Epoch: 2, StatusRetentionMs: 1000}, &jobs.Catalog{}, takenOverAt)
	e.LoadJob("j", stored, takenOverAt, takenOverAt)
	listed := []pools.VM{lastingVM("b")}
	if c.Listed {
		listed = append(listed, lastingVM("a"))
	}
	until := c.StartsBy
	if until == 0 {
		until = watchedMs
	}
	for ms := int64(0); ms <= until; ms += step {
		now := takenOverAt + ms
		e.SetVMs(listed, now)
		e.HandlePollReply("b", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1}, now, now)
		if c.Listed {
			e.HandlePollFailure("a", now)
		}
		if ms%300 == 0 && ms > 0 && e.NeedsMachineList() {
			e.SetMachines(machinesOf(c.Machines...), now-5, now)
		}
		e.MarkOwnershipConfirmed(now)
		e.MarkStoreReachable(now)
		e.Advance(now, now)
		for _, o := range takeStarts(e) {
			if o.VM == "b" {
				return true
			}
		}
	}
	return false
}
