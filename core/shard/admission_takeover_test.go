package shard

import (
	"cmp"
	"fmt"
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/admis"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// admissionTakeover is a takeover of testdata/admission.toml.
type admissionTakeover struct {
	Name        string
	AskMs       int64
	ConfirmedMs int64  // time of the log's last confirmation, 0 if it confirms all along
	UpdatedMs   int64  // time of the last update, 0 if it goes on
	Unasked     bool   // a VM on a machine of the pool is not listed and so was not polled
	Dark        bool   // the listed VM does not answer
	Account     string // of the job, "none" for none; the account with the backlog if it is empty
	Kind        string // of the job: "persistent", "scheduled", or "again" if it was admitted before the backlog was known
	Refused     bool
}

// TestNewOwnerRefusesNothingItCannotJudge guards against jobs that are refused by an owner that does not know its VMs, whose log confirms
// nothing or whose figures are old, and against refused jobs that an earlier attempt may have stored.
func TestNewOwnerRefusesNothingItCannotJudge(t *testing.T) {
	data, err := os.ReadFile("testdata/admission.toml")
	assert.NilError(t, err)
	var script struct{ Takeover []admissionTakeover }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Takeover {
		t.Run(c.Name, func(t *testing.T) { assert.Equal(t, c.play(t), c.Refused) })
	}
}

// play returns whether the job is refused.
func (c *admissionTakeover) play(t *testing.T) bool {
	const takenOverAt, stepMs = 100_000, 50
	accounts, err := jobs.NewAccounts([]jobs.Account{{Name: "a", Weight: 1}})
	assert.NilError(t, err)
	queue := jobs.Queue{Name: "q", Service: "s", Stretch: 1.6, SLOMs: 600}
	slow := jobs.Queue{Name: "slow", Service: "s", SLOMs: 60_000} // its jobs keep their value
	e := New(Config{Service: "s", Epoch: 2, StatusRetentionMs: 1000}, &jobs.Catalog{
		Queues: []jobs.Queue{queue, slow}, Accounts: accounts,
	}, takenOverAt)
	step := jobs.Step{Count: 10, CPU: 1000, MemMB: 10, EstimateMs: 600}
	for i := range 10 {
		id := fmt.Sprintf("%016x", i)
		e.LoadJob(id, &jobs.StoredJob{Job: &jobs.Job{
			ID: id, Queue: "slow", Account: "a", AcceptedMs: takenOverAt, Steps: []jobs.Step{step},
		}}, takenOverAt, takenOverAt)
	}
	if c.Unasked {
		e.RequireInitialPolls(takenOverAt)
	}
	e.SetVMLimit(1)
	asked := &jobs.Job{ID: "00000000000000ff", Queue: "q", Account: cmp.Or(c.Account, "a"), Steps: []jobs.Step{step}}
	switch {
	case c.Account == "none":
		asked.Account = ""
	case c.Kind == "persistent":
		asked.Steps[0].Persistent = true
	case c.Kind == "scheduled":
		asked.Times = 3
	}
	load, a := LoadOf(asked, &queue), NewAdmission()
	if load == nil {
		return false
	}
	for now := int64(takenOverAt); now <= takenOverAt+c.AskMs; now += stepMs {
		e.SetVMs([]pools.VM{{ID: "a", Service: "s", Addr: "x", Machine: "ma", CPU: 1000, MemMB: 1000}}, now)
		if !c.Dark {
			e.HandlePollReply("a", pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: 1}, now, now)
		}
		if c.Unasked {
			e.SetMachines(machinesOf("a", "b"), now, now)
		}
		if c.ConfirmedMs == 0 || now <= takenOverAt+c.ConfirmedMs {
			e.MarkOwnershipConfirmed(now)
		}
		e.MarkStoreReachable(now)
		e.Advance(now, now)
		e.TakeOrders()
		if c.UpdatedMs == 0 || now <= takenOverAt+c.UpdatedMs {
			a.Update(e, now)
		}
		if c.Kind == "again" && now == takenOverAt+c.AskMs-admittedMs+stepMs {
			_, ok := a.Admit(load, now)
			assert.Assert(t, ok)
		}
	}
	_, ok := a.Admit(load, takenOverAt+c.AskMs)
	return !ok
}

// TestWithdrawnJobsDoNotCount guards against a backlog of jobs whose records the log has refused, which would have further jobs refused.
func TestWithdrawnJobsDoNotCount(t *testing.T) {
	p := newAdmissionPool(t, 2, []jobs.Account{{Name: "a", Weight: 1}})
	p.e.SetVMLimit(1)
	for p.now < 6000 {
		p.tick(0)
		p.admission.Update(p.e, p.now)
	}
	load := func(n int) *Load {
		return &Load{ID: fmt.Sprintf("%016x", n), Account: "a", CoreMs: 100_000, ChainMs: 600, ObjectiveMs: 1500}
	}
	n := 0
	for ; n < 100; n++ {
		if _, ok := p.admission.Admit(load(n), p.now); !ok {
			break
		}
	}
	assert.Equal(t, n, 2, "4.5 s of 54.4 cores hold two jobs")
	p.admission.Withdraw(load(0).ID)
	_, ok := p.admission.Admit(load(n), p.now)
	assert.Assert(t, ok)
	p.admission.Update(p.e, p.now)
	_, ok = p.admission.Admit(load(n+1), p.now)
	assert.Assert(t, !ok, "jobs that the engine does not have yet count after an update, too")
	assert.Equal(t, p.admission.backlog.pool.Accounts[0].Backlog[admis.CPU], 200_000.0)
}

// BenchmarkAdmission measures the decision on one submission, with a fair part of the updates at 200 submissions a second. It guards
// against costs that grow with the number of idle accounts.
func BenchmarkAdmission(b *testing.B) {
	const perSecond = 200
	for _, accounts := range []int{20, 1000} {
		b.Run(fmt.Sprintf("active=20/accounts=%d", accounts), func(b *testing.B) {
			var list []jobs.Account
			for i := range accounts {
				list = append(list, jobs.Account{Name: fmt.Sprintf("a%d", i), Weight: 1})
			}
			p := newAdmissionPool(b, 100, list)
			p.e.SetVMLimit(100)
			for p.now < 6000 {
				p.tick(0)
				if p.admission.Update(p.e, p.now); p.now > 4000 {
					p.handIn(fmt.Sprintf("a%d", p.submitted%20), benchItemsPerJob)
					p.handIn(fmt.Sprintf("a%d", p.submitted%20), benchItemsPerJob)
				}
			}
			l := &Load{Account: "a7", CoreMs: 45_568, MBMs: 168_960_000, ChainMs: benchItemMs, ObjectiveMs: 1624}
			refused, n := 0, 0
			for b.Loop() {
				if n++; n%(perSecond*demandIntervalMs/1000) == 0 {
					p.admission.Update(p.e, p.now)
				}
				l.ID = fmt.Sprintf("%016x", n)
				if _, ok := p.admission.Admit(l, p.now); !ok {
					refused++
				}
				p.admission.Withdraw(l.ID)
			}
			b.ReportMetric(float64(len(p.e.jobs)), "jobs")
			b.ReportMetric(100*float64(refused)/float64(n), "%refused")
		})
	}
}
