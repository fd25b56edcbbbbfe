package member_test

import (
	"fmt"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/member"
	"sassafrasvalve/core/spec"
)

const region = "eu"

// entry is the model of an entry process. It folds the log with a lag, may be paused or disconnected, and has requests
// in progress. It knows the fleet only from its own fold.
type entry struct {
	id             string
	vm             string
	state          *fleet.State
	lease          member.Lease
	group          *member.Group
	frozen         bool
	logUnreachable bool
	pending        map[string]string // by VM: pool for which a request is in progress
}

// world holds the log, the entries and the data of the oracle.
type world struct {
	t             *rapid.T
	now           time.Time
	log           [][]byte
	records       []fleet.Record
	head          *fleet.State
	checksums     []uint64 // of the head after each offset
	entries       []*entry
	brokenLinks   map[[2]int]bool // broken links between entries
	configWinners map[int]string  // by base version: ID of the accepted Configure
	lastID        int
}

func newWorld(t *rapid.T, members int) *world {
	w := &world{
		t: t, now: time.Unix(1_700_000_000, 0), head: fleet.NewState(fleet.StateConfig{}),
		brokenLinks: map[[2]int]bool{}, configWinners: map[int]string{},
	}
	w.append(fleet.Record{Kind: fleet.KindConfigure, Configure: &fleet.Configure{Fleet: config(1)}})
	for i := range 5 {
		w.append(fleet.Record{Kind: fleet.KindObserve, Observe: &fleet.Observe{
			VM: fmt.Sprint("v", i), Addr: fmt.Sprint("10.0.0.", i), DC: fmt.Sprint("d", i%2), Rack: "r", Region: region,
			Pool: []string{"a", "a", "a", "b", "b"}[i],
		}})
	}
	for i := range members {
		w.entries = append(w.entries, &entry{vm: fmt.Sprint("e", i)})
		w.join(w.entries[i], 1)
	}
	return w
}

func config(minAvailable int) spec.Fleet {
	return spec.Fleet{
		Pools: []spec.Pool{{Name: "a"}, {Name: "b"}},
		Services: []spec.Service{
			{Name: "sa", Pool: "a", Budget: spec.Budget{MinAvailable: minAvailable, MaxUnavailable: 2}},
			{Name: "sb", Pool: "b", Budget: spec.Budget{MinAvailable: 1, MaxUnavailablePerDC: 1}},
		},
	}
}

// append writes a record and has the oracle check its effect on the head.
func (w *world) append(r fleet.Record) (int64, fleet.Result) {
	if r.ID == "" {
		w.lastID++
		r.ID = fmt.Sprint("r", w.lastID)
	}
	r.Version = fleet.RecordVersion
	data, err := fleet.Encode(r)
	assert.NilError(w.t, err)
	w.records = append(w.records, r)
	return w.appendRaw(r, data)
}

func (w *world) appendRaw(r fleet.Record, data []byte) (int64, fleet.Result) {
	offset := int64(len(w.log))
	w.log = append(w.log, data)
	before := w.head.Config.Version
	res := w.head.ApplyEncoded(offset, data)
	sum, err := w.head.Checksum()
	assert.NilError(w.t, err)
	w.checksums = append(w.checksums, sum)
	if res.Accepted {
		w.checkAccepted(r, before)
	}
	return offset, res
}

// checkAccepted checks an accepted record by rules that are independent of the fold's own checks.
func (w *world) checkAccepted(r fleet.Record, version int) {
	switch r.Kind {
	case fleet.KindConfigure:
		first, taken := w.configWinners[r.Configure.Base]
		assert.Assert(w.t, !taken, "base version %d was accepted in %s and %s", r.Configure.Base, first, r.ID)
		assert.Assert(w.t, w.head.Config.Version > version, "version went from %d to %d", version, w.head.Config.Version)
		w.configWinners[r.Configure.Base] = r.ID
	case fleet.KindDrain:
		if vm := w.head.VMs[r.Drain.VM]; !r.Drain.Involuntary && drainedFromActive(vm) {
			w.checkBudgets(vm.Pool)
		}
	case fleet.KindFence:
		for _, e := range w.entries {
			assert.Assert(w.t, e.id != r.Fence.Target || !e.lease.Valid(w.now), "%s holds a lease and was fenced", e.id)
		}
	default:
	}
}

// drainedFromActive reports whether the VM's last drain took it from the Active phase.
func drainedFromActive(vm *fleet.VM) bool {
	for i := len(vm.History) - 1; i >= 0; i-- {
		if s := vm.History[i]; s.Phase == fleet.Draining {
			return s.From == fleet.Active
		}
	}
	return false
}

func (w *world) checkBudgets(pool string) {
	active, out, outDC := 0, 0, map[string]int{}
	for _, vm := range w.head.VMs {
		if vm.Pool != pool {
			continue
		}
		if vm.Phase == fleet.Active {
			active++
		} else {
			out++
			outDC[vm.DC]++
		}
	}
	for _, svc := range w.head.Config.Fleet.Services {
		if svc.Pool != pool {
			continue
		}
		b := svc.Budget
		assert.Assert(w.t, active >= b.MinAvailable, "%d active of %s, budget %+v", active, pool, b)
		assert.Assert(w.t, b.MaxUnavailable == 0 || out <= b.MaxUnavailable, "%d out of %s, budget %+v", out, pool, b)
		for dc, n := range outDC {
			assert.Assert(w.t, b.MaxUnavailablePerDC == 0 || n <= b.MaxUnavailablePerDC, "%d out of %s in %s", n, pool, dc)
		}
	}
}

// join starts a process of an entry without requests in progress.
func (w *world) join(e *entry, epoch int64) {
	e.id = fleet.MemberID(e.vm, epoch)
	e.pending = map[string]string{}
	e.lease = member.Lease{}
	e.state = fleet.NewState(fleet.StateConfig{})
	e.group = member.NewGroup(member.GroupConfig{Self: e.id, Region: region, StartedAt: w.now})
	w.append(fleet.Record{Kind: fleet.KindJoin, Join: &fleet.Join{Member: fleet.Member{
		ID: e.id, VM: e.vm, Epoch: epoch, Region: region,
	}}})
	w.read(e, int64(len(w.log)), w.now)
}

// read folds the log below next. Only a read to the end of the log renews the lease.
func (w *world) read(e *entry, next int64, sent time.Time) {
	for e.state.Offset+1 < next {
		o := e.state.Offset + 1
		version := e.state.Config.Version
		e.state.ApplyEncoded(o, w.log[o])
		assert.Assert(w.t, e.state.Config.Version >= version)
	}
	e.group.HandleState(e.state, w.now)
	if e.state.Offset >= 0 {
		sum, err := e.state.Checksum()
		assert.NilError(w.t, err)
		assert.Equal(w.t, sum, w.checksums[e.state.Offset], "state of %s at offset %d differs", e.id, e.state.Offset)
	}
	if next == int64(len(w.log)) && w.isMember(e) {
		e.lease.Renew(sent)
	}
}

func (w *world) isMember(e *entry) bool {
	m := e.state.Members[e.id]
	return m != nil && m.Phase == fleet.MemberLive
}

// maySend reports whether the entry could now send a request to the VM for the VM's pool in the entry's fold.
func (w *world) maySend(e *entry, vm *fleet.VM) bool {
	return !e.frozen && vm.Phase == fleet.Active && w.isMember(e) && e.lease.Valid(w.now)
}

// checkOnePool checks that no VM serves two pools: over all entries, a VM is routable or has requests in progress for at
// most one pool. It cannot check the requests that a process sent before it was fenced.
func (w *world) checkOnePool() {
	pools := map[string]string{}
	claim := func(e *entry, vm, pool string) {
		if other, ok := pools[vm]; ok && other != pool {
			w.t.Fatalf("%s uses VM %s for pool %s, another entry for %s", e.id, vm, pool, other)
		}
		pools[vm] = pool
	}
	for _, e := range w.entries {
		for id, vm := range e.state.VMs {
			if w.maySend(e, vm) {
				claim(e, id, vm.Pool)
			}
		}
		if w.head.Members[e.id] != nil {
			for vm, pool := range e.pending {
				claim(e, vm, pool)
			}
		}
	}
}
