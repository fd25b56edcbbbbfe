package shard

import (
	"cmp"
	"slices"
	"sort"
	"strings"
)

// freeIndex holds the usable VMs sorted by their free share of CPU, so that the fullest VM on which an item fits is found
// without a scan of all of them.
type freeIndex struct {
	vms    []*vm // by freeShare, then by ID
	maxCPU int64 // largest CPU of a VM, in thousandths of a core
}

// newFreeIndex returns an index of VMs.
func newFreeIndex(usable []*vm) *freeIndex {
	x := &freeIndex{vms: slices.Clone(usable)}
	for _, v := range x.vms {
		v.freeShare = v.measureFreeShare()
		x.maxCPU = max(x.maxCPU, v.CPU)
	}
	slices.SortFunc(x.vms, compareFree)
	return x
}

// compareFree orders VMs by their free share, then by ID.
func compareFree(a, b *vm) int {
	return cmp.Or(cmp.Compare(a.freeShare, b.freeShare), strings.Compare(a.ID, b.ID))
}

// update moves a VM to its place after its usage has changed. Closed VMs have none.
func (x *freeIndex) update(v *vm) {
	if v.closed {
		return
	}
	share := v.measureFreeShare()
	if share == v.freeShare {
		return
	}
	if i, found := slices.BinarySearchFunc(x.vms, v, compareFree); found {
		x.vms = slices.Delete(x.vms, i, i+1)
	}
	v.freeShare = share
	i, _ := slices.BinarySearchFunc(x.vms, v, compareFree)
	x.vms = slices.Insert(x.vms, i, v)
}

// from returns the VMs that may have a number of thousandths of a core free, the fullest first.
func (x *freeIndex) from(cpu int64) []*vm {
	if x.maxCPU == 0 {
		return x.vms
	}
	least := 1000 * cpu / x.maxCPU
	return x.vms[sort.Search(len(x.vms), func(i int) bool { return x.vms[i].freeShare >= least }):]
}
