package fleet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/spec"
)

// newLargeState returns the state of a fleet of n VMs, each rebooted until its history is full.
func newLargeState(tb testing.TB, n int) *State {
	tb.Helper()
	const pools, tenants, members = 29, 25, 9
	var f spec.Fleet
	for i := range pools {
		f.Pools = append(f.Pools, spec.Pool{Name: fmt.Sprint("pool-", i), Size: n / pools})
		f.Services = append(f.Services, spec.Service{Name: fmt.Sprint("service-", i), Pool: fmt.Sprint("pool-", i)})
	}
	for i := range tenants {
		f.Tenants = append(f.Tenants, spec.Tenant{Name: fmt.Sprint("tenant-", i), Weight: i})
	}
	s := NewState(StateConfig{})
	apply := func(r Record) {
		r.ID, r.Version, r.Writer, r.Rule, r.Reason = fmt.Sprint("record-", s.Offset), RecordVersion, "entry-1#1700000000000", "R-WAVE", "maintenance wave"
		assert.Assert(tb, s.Apply(s.Offset+1, r).Accepted)
	}
	apply(Record{Kind: KindConfigure, Configure: &Configure{Fleet: f}})
	for i := range n {
		apply(Record{Kind: KindObserve, Observe: &Observe{
			VM: fmt.Sprint("vm-", i), Addr: fmt.Sprintf("10.0.%d.%d:8080", i/256, i%256), DC: fmt.Sprint("dc-", i%4),
			Rack: fmt.Sprint("rack-", i/4), Region: "eu", Pool: fmt.Sprint("pool-", i%pools),
		}})
	}
	for range maxHistorySteps/4 + 1 {
		for i := range n {
			vm := s.VMs[fmt.Sprint("vm-", i)]
			apply(Record{Kind: KindDrain, Drain: &Drain{VM: vm.ID, Gen: vm.Gen, Purpose: PurposeReboot}})
			apply(Record{Kind: KindReboot, Reboot: &Reboot{VM: vm.ID, Gen: vm.Gen}})
			apply(Record{Kind: KindActivate, Activate: &Activate{VM: vm.ID, Gen: vm.Gen}})
		}
	}
	for i := range members {
		vm := fmt.Sprint("entry-", i)
		apply(Record{Kind: KindJoin, Join: &Join{Member{ID: MemberID(vm, 1), VM: vm, Epoch: 1, Region: "eu"}}})
	}
	return s
}

// TestCorruptSnapshotIsRejected guards against loading a snapshot with a corrupt chunk.
func TestCorruptSnapshotIsRejected(t *testing.T) {
	s := newLargeState(t, 400)
	records, err := s.Snapshot("s")
	assert.NilError(t, err)
	assert.Assert(t, len(records) > 1, "several chunks are needed here")
	a := NewAssembler(StateConfig{})
	for i, r := range records {
		c := *r.Snapshot
		if i == 0 {
			c.Data = append([]byte{}, c.Data...)
			c.Data[len(c.Data)/2] ^= 1
		}
		got, err := a.Add(c)
		assert.Assert(t, got == nil)
		assert.Equal(t, err != nil, i == len(records)-1, "%v", err)
	}
}

// BenchmarkSnapshot packs and unpacks states of several fleet sizes. Run it with
// go test ./core/fleet -run - -bench Snapshot -benchmem
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{100, 400, 1100} {
		s := newLargeState(b, n)
		data, sum, err := s.Pack()
		assert.NilError(b, err)
		b.Run(fmt.Sprint("pack/", n), func(b *testing.B) {
			for b.Loop() {
				_, _, _ = s.Pack()
			}
			b.ReportMetric(float64(len(data)), "packed-bytes")
			b.ReportMetric(float64(len(s.seen.entries)), "seen-IDs")
		})
		b.Run(fmt.Sprint("unpack/", n), func(b *testing.B) {
			for b.Loop() {
				_, _ = Unpack(StateConfig{}, data, sum)
			}
		})
	}
}

// BenchmarkApply folds failures and activations of a VM in a fleet of 1100 VMs, the target size.
func BenchmarkApply(b *testing.B) {
	s := newLargeState(b, 1100)
	vm := s.VMs["vm-0"]
	i := 0
	for b.Loop() {
		i++
		r := Record{ID: fmt.Sprint("b", i), Version: RecordVersion}
		if vm.Phase == Active {
			r.Kind, r.Fail = KindFail, &Fail{VM: vm.ID, Gen: vm.Gen}
		} else {
			r.Kind, r.Activate = KindActivate, &Activate{VM: vm.ID, Gen: vm.Gen}
		}
		s.Apply(s.Offset+1, r)
	}
}
