package daemon

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/member"
	"sassafrasvalve/io/oplog"
)

// memberWorld is a group on a clock of its own, with the offset that its routing uses.
type memberWorld struct {
	t      *testing.T
	clock  *clock.Fake
	store  *Store
	group  *group
	routed int64
}

func newMemberWorld(t *testing.T) *memberWorld {
	w := &memberWorld{
		t: t, clock: clock.NewFake(time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)),
		store: NewStore(zap.NewNop(), func(fleet.Result) {}), routed: -1,
	}
	w.group = newGroup(groupConfig{
		Member: fleet.Member{VM: "entry-1", Region: "west"}, Clock: w.clock, Store: w.store,
		ListOK: func() bool { return true }, RoutedOffset: func() int64 { return w.routed },
	})
	// Another record at offset 0, so that a view without the Join exists.
	w.fold([]byte("{}"))
	return w
}

// fold folds a record behind the others.
func (w *memberWorld) fold(data []byte) {
	w.store.Fold([]oplog.Entry{{Offset: w.store.Offset() + 1, Data: data}})
}

// foldJoin folds the Join of the group's member as the next record, by a fresh read of the log.
func (w *memberWorld) foldJoin() {
	r, due := w.group.DueJoin()
	assert.Assert(w.t, due)
	r.ID = newID()
	data, err := fleet.Encode(r)
	assert.NilError(w.t, err)
	w.fold(data)
	assert.Equal(w.t, w.group.HandleFold(w.clock.Now()), "")
	assert.Assert(w.t, w.group.Joined())
}

// Guards against a guest that serves, and refuses all requests for a moment once its Join is folded, until routing
// uses the state that includes it.
func TestGuestServesWhileItsJoinIsFolded(t *testing.T) {
	w := newMemberWorld(t)
	w.routed = 0
	w.group.HandleGrant(w.clock.Now(), member.LeaseTerm)
	assert.NilError(t, w.group.Check())
	w.foldJoin()
	assert.NilError(t, w.group.Check(), "the guest lease still runs")
	w.routed = w.store.Offset()
	w.clock.Advance(member.LeaseTerm / 2)
	assert.NilError(t, w.group.Check())
}

// Guards against a new member without a guest lease that starts work by a view of before its Join, in which VMs may
// have another pool.
func TestNewMemberWaitsForRouting(t *testing.T) {
	w := newMemberWorld(t)
	w.routed = 0
	w.foldJoin()
	assert.ErrorIs(t, w.group.Check(), errNoLease)
	w.routed = w.store.Offset()
	assert.NilError(t, w.group.Check())
}

// Guards against a guest lease that allows work before the first view, after its term or at a process that is leaving.
func TestGuestLeaseBounds(t *testing.T) {
	w := newMemberWorld(t)
	w.group.HandleGrant(w.clock.Now(), member.LeaseTerm)
	assert.ErrorIs(t, w.group.Check(), errNoLease)
	w.routed = 0
	assert.NilError(t, w.group.Check())
	w.clock.Advance(member.LeaseTerm)
	assert.ErrorIs(t, w.group.Check(), errNoLease)
	w.group.HandleGrant(w.clock.Now(), member.LeaseTerm)
	assert.NilError(t, w.group.Check())
	w.group.Leave()
	assert.ErrorIs(t, w.group.Check(), errNoLease)
}
