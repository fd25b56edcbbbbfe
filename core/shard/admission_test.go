package shard

import (
	"cmp"
	"fmt"
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
)

// admissionGroup is a group of accounts alike in a case of testdata/admission.toml.
type admissionGroup struct {
	Accounts      int
	Weight        float64 // 1 if it is 0
	PerSecond     float64
	Items         int // of a job; 8 if it is 0
	FromMs        int64
	Refused       bool
	RefusedFromMs int64
	Accepted      int
}

// admissionCase is a case of testdata/admission.toml.
type admissionCase struct {
	Name         string
	VMs, Joining int
	JoinMs       int64
	Limit        int
	Seconds      int64
	Unknown      bool // the configuration has no accounts
	Group        []admissionGroup
}

// admissionPool is a pool whose jobs are admitted.
type admissionPool struct {
	*benchPool
	admission *Admission
	joining   []string // VMs that are to join
	submitted int
}

func newAdmissionPool(tb testing.TB, vms int, accounts []jobs.Account) *admissionPool {
	p := &admissionPool{benchPool: newBenchPool(vms), admission: NewAdmission()}
	list, err := jobs.NewAccounts(accounts)
	assert.NilError(tb, err)
	p.e.catalog.Accounts = list
	return p
}

// holdBack removes all VMs but the first n until they join.
func (p *admissionPool) holdBack(n int) {
	p.joining, p.ids = p.ids[n:], p.ids[:n]
	for _, id := range p.joining {
		delete(p.e.vms, id)
	}
	p.e.sortedVMs = nil
}

// join adds the next VM.
func (p *admissionPool) join() {
	if len(p.joining) == 0 {
		return
	}
	id := p.joining[0]
	p.ids, p.joining = append(p.ids, id), p.joining[1:]
	v := p.e.ensureVM(id, p.now)
	v.VM, v.listed = p.vms[id].VM, true
}

// handIn hands in a job and returns whether it is accepted, and the Retry-After otherwise.
func (p *admissionPool) handIn(account string, items int) (retryAfterMs int64, ok bool) {
	p.submitted++
	j := &jobs.Job{
		ID: fmt.Sprintf("%016x", p.submitted), Queue: "q", Spec: "x", AcceptedMs: p.now, Account: account,
		Steps: []jobs.Step{{Count: items, CPU: benchItemCPU, MemMB: benchItemMemMB, EstimateMs: benchItemMs}},
	}
	if l := LoadOf(j, p.e.catalog.Queue("q")); l != nil {
		if retryAfterMs, ok = p.admission.Admit(l, p.now); !ok {
			return retryAfterMs, false
		}
	}
	p.e.Submit(&jobs.StoredJob{Job: j}, p.now, p.now)
	return 0, true
}

// TestJobsBeyondTheirShareAreRefused guards against jobs of an account that are accepted although its share can't finish them in time,
// against refused jobs of others, and against jobs that are refused while the pool can still grow to hold them.
func TestJobsBeyondTheirShareAreRefused(t *testing.T) {
	data, err := os.ReadFile("testdata/admission.toml")
	assert.NilError(t, err)
	var script struct{ Case []admissionCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		t.Run(c.Name, c.play)
	}
}

func (c *admissionCase) play(t *testing.T) {
	var accounts []jobs.Account
	for g, group := range c.Group {
		for i := range group.Accounts {
			accounts = append(accounts, jobs.Account{Name: fmt.Sprintf("g%d-%d", g, i), Weight: cmp.Or(group.Weight, 1)})
		}
	}
	if c.Unknown {
		accounts = nil
	}
	p := newAdmissionPool(t, c.VMs+c.Joining, accounts)
	p.holdBack(c.VMs)
	p.e.SetVMLimit(c.Limit)
	due := map[string]float64{}
	accepted, refused := make([]int, len(c.Group)), make([]int, len(c.Group))
	for p.now < c.Seconds*1000 {
		if c.Joining > 0 && p.now >= c.JoinMs && p.now%100 < benchTickMs {
			p.join()
		}
		p.tick(0)
		if p.now%demandIntervalMs < benchTickMs {
			p.admission.Update(p.e, p.now)
		}
		for g, group := range c.Group {
			if p.now < group.FromMs {
				continue
			}
			for i := range group.Accounts {
				name := fmt.Sprintf("g%d-%d", g, i)
				if _, begun := due[name]; !begun {
					due[name] = float64(i+1) / float64(group.Accounts)
				}
				for due[name] += group.PerSecond * benchTickMs / 1000; due[name] >= 1; due[name]-- {
					retryAfterMs, ok := p.handIn(name, cmp.Or(group.Items, benchItemsPerJob))
					if ok {
						accepted[g]++
						continue
					}
					refused[g]++
					assert.Assert(t, retryAfterMs >= 1 && p.now >= group.RefusedFromMs, "refused at %d ms for %d ms", p.now, retryAfterMs)
				}
			}
		}
	}
	for g, group := range c.Group {
		assert.Equal(t, refused[g] > 0, group.Refused, "group %d: %d jobs refused, %d accepted", g, refused[g], accepted[g])
		assert.Assert(t, accepted[g] >= group.Accepted, "group %d: %d jobs accepted, %d refused", g, accepted[g], refused[g])
	}
	t.Log("accepted", accepted, "refused", refused)
}
