package shard

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
)

// wantedWithAccounts returns the VMs that a pool wants which has 4 VMs of 4 cores, with an account "x" that may use 4 cores and jobs
// of 10 items of one core each by account.
func wantedWithAccounts(persistent bool, allowances Allowances, jobsOf map[string]int) (e *Engine, wanted int) {
	e = newPolledEngine(4, 4000, 4000)
	e.cfg.Allowances = allowances
	e.rooms, _ = allowances.(Rooms)
	e.MarkOwnershipConfirmed(100)
	for account, n := range jobsOf {
		for i := range n {
			j := &jobs.Job{ID: fmt.Sprintf("%s%d", account, i), Account: account, AcceptedMs: 100, Steps: []jobs.Step{
				{Count: 10, CPU: 1000, MemMB: 100, EstimateMs: 60_000, Persistent: persistent},
			}}
			e.LoadJob(j.ID, &jobs.StoredJob{Job: j}, 100, 100)
		}
	}
	for now := int64(100); now < 3000; now += 100 {
		e.MarkOwnershipConfirmed(now)
		e.MarkStoreReachable(now)
		for _, v := range e.vms {
			v.lastPollAt, v.silent = now, false
		}
		e.Advance(now, now)
	}
	e.demand.recentWanted = nil
	e.updateDemand(3000)
	return e, e.demand.wantedVMs
}

// TestWorkBeyondAnAllowanceDrawsNoVMs guards against a pool that wants VMs for work that its account may not start: they would stay empty,
// and other pools would lack them.
func TestWorkBeyondAnAllowanceDrawsNoVMs(t *testing.T) {
	for _, persistent := range []bool{false, true} {
		t.Run(fmt.Sprintf("persistent %v", persistent), func(t *testing.T) {
			limited := testAllowances{"x": 4000}
			e, wanted := wantedWithAccounts(persistent, limited, map[string]int{"x": 20})
			assert.Equal(t, e.accounts["x"].used.CPU, int64(4000))
			assert.Equal(t, wanted, minVMs, "one VM of 4 cores holds what the account may use")
			_, alone := wantedWithAccounts(persistent, limited, map[string]int{"y": 2})
			_, beside := wantedWithAccounts(persistent, limited, map[string]int{"x": 20, "y": 2})
			assert.Assert(t, beside > alone && beside <= alone+2, "%d VMs beside the limited account, %d without it", beside, alone)
			_, unlimited := wantedWithAccounts(persistent, nil, map[string]int{"x": 20})
			assert.Assert(t, unlimited >= 50, "%d VMs without a limit", unlimited)
		})
	}
}

// TestAllowanceOpensNoClosedVMs guards against closed VMs that are opened for a job whose account may not start it.
func TestAllowanceOpensNoClosedVMs(t *testing.T) {
	e := newPolledEngine(1, 4000, 4000)
	e.LoadJob("j", &jobs.StoredJob{Job: &jobs.Job{ID: "j", Account: "x", Steps: []jobs.Step{{Count: 1, CPU: 1000, EstimateMs: 600}}}}, 100, 100)
	assert.Equal(t, len(e.groupWithoutRoom(e.jobs["j"], nil, 100)), 1)
	e.cfg.Allowances = testAllowances{"x": 500}
	assert.Equal(t, len(e.groupWithoutRoom(e.jobs["j"], nil, 100)), 0)
}

// countingAllowances counts how often it is asked.
type countingAllowances struct {
	testAllowances
	asked int
}

// MayStart implements Allowances.
func (a *countingAllowances) MayStart(account string, used, item jobs.Amount) bool {
	a.asked++
	return a.testAllowances.MayStart(account, used, item)
}

// TestAccountAtItsLimitIsAskedOnce guards against placements whose cost grows with the work that waits for an allowance.
func TestAccountAtItsLimitIsAskedOnce(t *testing.T) {
	e := newPolledEngine(2, 4000, 4000)
	a := &countingAllowances{testAllowances: testAllowances{"x": 0}}
	e.cfg.Allowances = a
	for i := range 500 {
		j := &jobs.Job{ID: fmt.Sprint(i), Account: "x", AcceptedMs: 100, Steps: []jobs.Step{{Count: 20, CPU: 100, MemMB: 10, EstimateMs: 600}}}
		e.LoadJob(j.ID, &jobs.StoredJob{Job: j}, 100, 100)
	}
	e.MarkStoreReachable(100)
	assert.Equal(t, len(e.placeItems(100)), 0)
	assert.Equal(t, a.asked, 1)
	assert.Equal(t, e.AccountUses(100)["x"].AtLimit, 10_000)
}
