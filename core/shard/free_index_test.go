package shard

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// indexedVMs is the number of VMs of the random tests.
const indexedVMs = 12

// TestIndexFindsTheVMOfLowestCost guards against an index that overlooks a VM, or prefers another than the scan of all VMs
// does: VMs of different sizes, with items that come and go.
func TestIndexFindsTheVMOfLowestCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newPolledEngine(indexedVMs, 0, 0)
		usable := e.vmsByID()
		for _, v := range usable {
			v.CPU = rapid.Int64Range(0, 3).Draw(t, "cores") * 16_000
			v.MemMB = rapid.Int64Range(1, 4).Draw(t, "memory") * 16_000
		}
		p := newPlacement(usable)
		j := &job{Job: &jobs.Job{ID: "j"}}
		var starts []start
		for i := range rapid.IntRange(1, 40).Draw(t, "items") {
			it := &item{Item: jobs.Item{Index: i}, name: fmt.Sprint(i), job: j, stepDef: &jobs.Step{
				CPU: rapid.Int64Range(0, 20).Draw(t, "cpu") * 1000, MemMB: rapid.Int64Range(0, 20).Draw(t, "mem") * 1000,
				MaxPerVM: rapid.IntRange(0, 2).Draw(t, "limit"),
			}}
			want := e.searchVM(j, it, usable, 0)
			assert.Equal(t, e.chooseVM(j, it, p, nil, 0), want)
			switch {
			case want != nil:
				p.attach(want, it)
				starts = append(starts, start{it, 1, want})
			case len(starts) > 0 && rapid.Bool().Draw(t, "unplan"):
				p.unplan(starts[len(starts)-1:])
				starts = starts[:len(starts)-1]
			}
		}
	})
}

// TestPlacementDoesNotScanFullVMs guards against an owner that falls behind because it looks at every VM for every item:
// with 650 VMs and 5,000 items a second its turns took 50 ms, and jobs of 0.64 s waited most of their slack for them.
func TestPlacementDoesNotScanFullVMs(t *testing.T) {
	const vms, perVM = 1100, 8
	e := New(Config{Service: "s", Epoch: 1}, &jobs.Catalog{}, 0)
	var list []pools.VM
	for i := range vms {
		list = append(list, pools.VM{ID: fmt.Sprintf("vm-%04d", i), Service: "s", Addr: "x", CPU: 64_000, MemMB: 256_000})
	}
	e.SetVMs(list, 0)
	p := newPlacement(e.vmsByID())
	j := &job{Job: &jobs.Job{ID: "j"}}
	examined := 0
	for i := range vms * perVM {
		it := &item{Item: jobs.Item{Index: i}, name: fmt.Sprint(i), job: j, stepDef: &jobs.Step{CPU: 8000, MemMB: 32_000}}
		v := e.chooseVM(j, it, p, nil, 0)
		assert.Assert(t, v != nil, "item %d finds no VM", i)
		for _, o := range p.index.from(8000) {
			examined++
			if o == v {
				break
			}
		}
		p.attach(v, it)
	}
	assert.Assert(t, examined <= 2*vms*perVM, "%d VMs are examined for %d items", examined, vms*perVM)
}
