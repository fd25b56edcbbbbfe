package quota

import (
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
)

// exchanges has holders report and apply the grants a few times. uses and wants are by shard, in thousandths of a core.
func exchanges(a *Allocator, holders []*Holder, uses, wants []int64, item, now int64) int64 {
	for range 6 {
		now += 300
		for i, h := range holders {
			u := Use{Used: jobs.Amount{CPU: uses[i]}, Want: jobs.Amount{CPU: wants[i]}}
			if wants[i] > uses[i] {
				u.Item = jobs.Amount{CPU: item}
			}
			h.Apply(a.Handle(h.Report(map[string]Use{"a": u}, now), now))
		}
	}
	return now
}

// newExchange returns an allocator and holders of an account "a" with a limit in thousandths of a core.
func newExchange(shards int, limit int64) (*Allocator, []*Holder) {
	c := newCatalog(1, map[string]jobs.Amount{"a": {CPU: limit}})
	a := NewAllocator(AllocatorConfig{Epoch: 1})
	var holders []*Holder
	owners := map[int]int64{}
	for i := range shards {
		h := NewHolder(HolderConfig{Shard: i, Epoch: 1})
		h.SetConfig(c, true)
		holders, owners[i] = append(holders, h), 1
	}
	a.SetConfig(c, owners, true, 0)
	return a, holders
}

// TestAllocatorThatAnsweredNothing guards against shards that count as nothing because the allocator itself handled no report, for
// example during an outage of the log, while their items run on.
func TestAllocatorThatAnsweredNothing(t *testing.T) {
	a, holders := newExchange(2, 10)
	now := exchanges(a, holders, []int64{0, 10}, []int64{0, 10}, 1, 0)
	now += silentMs + 1000
	h := holders[0]
	h.Apply(a.Handle(h.Report(map[string]Use{"a": {Want: jobs.Amount{CPU: 10}, Item: jobs.Amount{CPU: 1}}}, now), now))
	assert.Assert(t, !h.MayStart("a", jobs.Amount{CPU: 2}, jobs.Amount{CPU: 1}), "shard 1 uses the whole limit, shard 0 holds %v", h.Held("a"))
}

// TestExtraItemWhileItIsRecorded guards against a start by the right to the extra item that is refused once its record is stored,
// because a report in between counts it already.
func TestExtraItemWhileItIsRecorded(t *testing.T) {
	a, holders := newExchange(2, 10)
	item := jobs.Amount{CPU: 12}
	now := exchanges(a, holders, []int64{0, 0}, []int64{0, 0}, 12, 0) + 300
	for range 2 {
		holders[0].Apply(a.Handle(holders[0].Report(map[string]Use{"a": {Want: item, Item: item}}, now), now))
	}
	assert.Assert(t, holders[0].MayStart("a", jobs.Amount{}, item))
	// The item is planned, and its record takes 300 ms to be stored. Another shard waits.
	for at := now + 50; at <= now+300; at += 50 {
		uses := map[string]Use{"a": {Used: item, Want: item}}
		holders[0].Apply(a.Handle(holders[0].Report(uses, at), at))
		uses = map[string]Use{"a": {Want: item, Item: item}}
		holders[1].Apply(a.Handle(holders[1].Report(uses, at), at))
	}
	assert.Assert(t, !holders[1].MayStart("a", jobs.Amount{}, item))
	assert.Assert(t, holders[0].MayStart("a", jobs.Amount{}, item), "holds %v", holders[0].Held("a"))
}

// TestAllowanceOfFullPools guards against an account below half of its limit that waits in the only pool with room, because pools
// without room for its items hold the rest of its limit.
func TestAllowanceOfFullPools(t *testing.T) {
	a, holders := newExchange(5, 100)
	used, waitsFrom := int64(0), int64(0)
	one := jobs.Amount{CPU: 1}
	for now := int64(0); now < 10_000; now += 10 {
		for i, h := range holders {
			u := Use{Want: jobs.Amount{CPU: 500}, Item: one}
			if i == 0 {
				u.Used, u.Want = jobs.Amount{CPU: used}, jobs.Amount{CPU: used + 500}
			}
			if uses := map[string]Use{"a": u}; h.Due(now, uses) {
				h.Apply(a.Handle(h.Report(uses, now), now))
			}
		}
		if used >= 50 || holders[0].MayStart("a", jobs.Amount{CPU: used}, one) {
			used, waitsFrom = used+1, now // starts one item each 10 ms, and the others have no room
		}
		assert.Assert(t, now-waitsFrom <= 3000, "uses %d of 100 and waits for 3 s", used)
		if used == 50 {
			t.Log("uses half of the limit after ms", now)
			return
		}
	}
}

// TestShardWithAnOwnerCountsOn guards against an account that runs twice its limit, as a shard whose owner is only cut off from the
// allocator counts as nothing after a time, and another shard gets its part.
func TestShardWithAnOwnerCountsOn(t *testing.T) {
	for _, owned := range []bool{true, false} {
		a, holders := newExchange(2, 10)
		now := exchanges(a, holders, []int64{0, 10}, []int64{0, 10}, 1, 0)
		one := jobs.Amount{CPU: 1}
		for until := now + 2*silentMs; now < until; now += 300 {
			a.SetOwned(map[int]bool{0: true, 1: owned}, now)
			h := holders[0] // the other one is silent
			h.Apply(a.Handle(h.Report(map[string]Use{"a": {Want: jobs.Amount{CPU: 10}, Item: one}}, now), now))
		}
		assert.Equal(t, holders[0].MayStart("a", jobs.Amount{CPU: 2}, one), !owned)
	}
}
