package shard

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Load of the cases in testdata/shares.toml.
const (
	shareItemMs  = 1000
	shareItemCPU = 3100
	shareItems   = 8   // of a step
	shareSteps   = 1.6 // of a job, on average
	sharePlayMs  = 10_000
	shareFlood   = 12
	shareVMCPU   = 32_000
	shareVMMem   = 64_000
	// calmPercent is the least on-time work of accounts up to their shares, in percent of that without the flood: they should be served
	// as without it, less what waits for the items that run when it begins.
	calmPercent = 95
)

// shareCase is one case of testdata/shares.toml.
type shareCase struct {
	Name          string
	VMs, Accounts int
	MemMB         int64 // of an item
	Weights       string
	UsualLoad     float64
	Hot           []int
}

// sharePlay is the outcome of one play of a case.
type sharePlay struct {
	onTime []int // jobs in time by account
	sent   []int
	done   int // items that have ended within sharePlayMs
}

// size returns the part of the usual load that is an account's.
func (c *shareCase) size(account int) float64 {
	var sum float64
	for i := range c.Accounts {
		sum += math.Pow(float64(i+1), -1.2)
	}
	return math.Pow(float64(account+1), -1.2) / sum
}

// weight returns the part of the weights that is an account's.
func (c *shareCase) weight(account int) float64 {
	if c.Weights == "size" {
		return c.size(account)
	}
	return 1 / float64(c.Accounts)
}

// perS returns the number of items that the pool can end in a second.
func (c *shareCase) perS() int { return c.VMs * int(min(shareVMCPU/shareItemCPU, shareVMMem/c.MemMB)) }

// play plays the arrivals, with or without the flood and the accounts in the configuration.
func (c *shareCase) play(flood, shares bool) sharePlay {
	r := sharePlay{onTime: make([]int, c.Accounts), sent: make([]int, c.Accounts)}
	sim := newSimPool(newPolledEngine(c.VMs, shareVMCPU, shareVMMem))
	catalog := &jobs.Catalog{Queues: []jobs.Queue{{Name: "q", Service: "s", Stretch: 1.6, SLOMs: 600}}}
	var accounts []jobs.Account
	next, random := make([]float64, c.Accounts), make([]*rand.Rand, c.Accounts)
	for i := range c.Accounts {
		accounts = append(accounts, jobs.Account{Name: fmt.Sprint("account", i), Weight: c.weight(i)})
		random[i] = rand.New(rand.NewPCG(1, uint64(i)))
	}
	if shares {
		catalog.Accounts, _ = jobs.NewAccounts(accounts)
	}
	sim.e.catalog = catalog
	running, owner := map[int64][]pools.Order{}, map[string]int{}
	for sim.now < sharePlayMs+4000 {
		for i := range c.Accounts {
			perMs := c.size(i) * c.UsualLoad * float64(c.perS()) / shareSteps / shareItems / 1000
			if flood && slices.Contains(c.Hot, i) {
				perMs *= shareFlood
			}
			for ; sim.now < sharePlayMs && next[i] <= float64(sim.now); next[i] += random[i].ExpFloat64() / perMs {
				step := jobs.Step{Count: shareItems, CPU: shareItemCPU, MemMB: c.MemMB, EstimateMs: shareItemMs}
				steps := []jobs.Step{step, step}
				steps[1].After = []int{0}
				if random[i].Float64() > shareSteps-1 {
					steps = steps[:1]
				}
				id := fmt.Sprintf("%04x%012x", i, r.sent[i])
				r.sent[i], owner[id] = r.sent[i]+1, i
				sim.e.Submit(&jobs.StoredJob{Job: &jobs.Job{
					ID: id, Queue: "q", Account: accounts[i].Name, Steps: steps, AcceptedMs: sim.now,
				}}, sim.now, sim.now)
			}
		}
		seen := len(sim.started)
		sim.tick(0)
		running[sim.now+shareItemMs] = slices.Clone(sim.started[seen:])
		for _, o := range running[sim.now] {
			if sim.end(o.VM, o.Item, pools.EndDone, ""); sim.now <= sharePlayMs {
				r.done++
			}
		}
		for _, ev := range sim.e.TakeEvents() {
			if ev.Name == "job complete" {
				j := sim.e.jobs[ev.JobID]
				if int64(ev.N) <= sim.e.objectiveMs(j) {
					r.onTime[owner[ev.JobID]]++
				}
			}
		}
	}
	return r
}

// TestSharesUnderFlood guards against accounts that are served late because another account sends many times its usual load, and
// against capacity that stays unused because the account that asks for it is beyond its share.
func TestSharesUnderFlood(t *testing.T) {
	data, err := os.ReadFile("testdata/shares.toml")
	assert.NilError(t, err)
	var script struct{ Case []shareCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		t.Run(c.Name, func(t *testing.T) {
			usual, flooded, unshared := c.play(false, true), c.play(true, true), c.play(true, false)
			var owed, got, gotUnshared, calm, calmFlooded, hot, hotUsual int
			for i := range c.Accounts {
				if slices.Contains(c.Hot, i) {
					hot, hotUsual = hot+flooded.onTime[i], hotUsual+usual.onTime[i]
					continue
				}
				calm, calmFlooded = calm+usual.onTime[i], calmFlooded+flooded.onTime[i]
				due := min(usual.onTime[i], int(math.Ceil(c.weight(i)*float64(c.perS())*sharePlayMs/1000/shareSteps/shareItems)))
				owed, got, gotUnshared = owed+due, got+min(flooded.onTime[i], due), gotUnshared+min(unshared.onTime[i], due)
			}
			t.Logf("calm accounts: %d jobs owed, %d in time in the flood, %d in it without shares; with work beyond shares %d, %d in the flood",
				owed, got, gotUnshared, calm, calmFlooded)
			t.Logf("hot accounts: %d, %d in the flood; items done: %d, %d without shares", hotUsual, hot, flooded.done, unshared.done)
			assert.Assert(t, got*100 >= owed*calmPercent)
			assert.Assert(t, owed == 0 || gotUnshared*100 < owed*calmPercent, "the flood does no harm")
			assert.Assert(t, hot*100 >= hotUsual*calmPercent, "the hot accounts get no less than without the flood")
			assert.Assert(t, flooded.done*100 >= unshared.done*99, "capacity stays unused")
		})
	}
}

// TestDemandWithinShares guards against a flood of one account that draws VMs into the pool as if all accounts asked for them, also once
// the other accounts have no work any more, and against a report that has the number where all work is within the shares.
func TestDemandWithinShares(t *testing.T) {
	const vms, perVM = 10, 10
	for _, configured := range []bool{true, false} {
		sim := newSimPool(newPolledEngine(vms, shareVMCPU, shareVMMem))
		sim.e.catalog = &jobs.Catalog{Queues: []jobs.Queue{{Name: "q", Service: "s", Stretch: 1.6, SLOMs: 600}}}
		if configured {
			sim.e.catalog.Accounts, _ = jobs.NewAccounts([]jobs.Account{{Name: "hot", Weight: 1}, {Name: "calm", Weight: 4}})
		}
		submit := func(account string, items int) {
			sim.e.Submit(&jobs.StoredJob{Job: &jobs.Job{ID: account, Queue: "q", Account: account, Steps: []jobs.Step{
				{Count: items, CPU: shareItemCPU, MemMB: 10, EstimateMs: shareItemMs},
			}}}, sim.now, sim.now)
		}
		submit("calm", 3*perVM)
		for sim.now < 2000 {
			sim.tick(0)
		}
		assert.Equal(t, sim.e.DemandReport().WithinShare, 0)
		for _, o := range sim.started {
			sim.end(o.VM, o.Item, pools.EndDone, "")
		}
		submit("hot", 40*perVM)
		for sim.now < 4000 {
			sim.tick(0)
		}
		report := sim.e.DemandReport()
		assert.Assert(t, report.Want > 2*vms, "the flood asks for more than the share")
		if !configured {
			assert.Equal(t, report.WithinShare, 0)
			continue
		}
		assert.Equal(t, report.WithinShare, vms/5, "a fifth of the weights")
		sim.e.SetFleetVMs(5 * vms)
		for sim.now < 6000 {
			sim.tick(0)
		}
		assert.Equal(t, sim.e.DemandReport().WithinShare, vms)
	}
}

// BenchmarkOrderByShare measures the time that the division of the room adds to a placement round, with 20 accounts that have work.
func BenchmarkOrderByShare(b *testing.B) {
	for _, configured := range []int{20, 1000} {
		b.Run(fmt.Sprintf("accounts=%d", configured), func(b *testing.B) {
			sim := newSimPool(newPolledEngine(100, shareVMCPU, shareVMMem))
			var accounts []jobs.Account
			for i := range configured {
				accounts = append(accounts, jobs.Account{Name: fmt.Sprint("account", i), Weight: 1})
			}
			sim.e.catalog = &jobs.Catalog{Queues: []jobs.Queue{{Name: "q", Service: "s", Stretch: 1.6, SLOMs: 600}}}
			sim.e.catalog.Accounts, _ = jobs.NewAccounts(accounts)
			for n := range 500 {
				sim.e.Submit(&jobs.StoredJob{Job: &jobs.Job{
					ID: fmt.Sprintf("%016x", n), Queue: "q", Account: fmt.Sprint("account", n%20),
					Steps: []jobs.Step{{Count: shareItems, CPU: shareItemCPU, MemMB: 4000, EstimateMs: shareItemMs}},
				}}, 0, 0)
			}
			for range 20 {
				sim.tick(0)
			}
			p := newPlacement(sim.e.usableVMs(sim.now))
			for _, round := range []string{"candidates", "shares"} {
				b.Run(round, func(b *testing.B) {
					for b.Loop() {
						list := sim.e.candidates(sim.now)
						if round == "shares" {
							sim.e.orderByShare(list, p, sim.now)
						}
					}
					b.ReportMetric(float64(sim.e.Counts(sim.now).Runs), "runs")
				})
			}
		})
	}
}
