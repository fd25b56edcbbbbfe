package admis

import (
	"fmt"
	"math"
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// group is a group of accounts in a case of testdata/admis.toml.
type group struct {
	Accounts                                    int
	Weight, PerSecond, CoreMs, ChainMs, LimitMs float64
	From                                        float64
	Refused                                     bool
	Cores                                       float64
}

// loadCase is a case of testdata/admis.toml.
type loadCase struct {
	Name           string
	Cores, Seconds float64
	Group          []group
}

// player is an account in a play, with the jobs that it has in the pool.
type player struct {
	*group
	due  float64 // jobs to hand in; one is handed in when it reaches 1
	jobs []playedJob
}

type playedJob struct{ left, endBy float64 }

// playStepMs is the time between two steps of a play.
const playStepMs = 20

// TestLoadsOfAccounts guards against refused jobs of accounts that ask for no more than their share beside one that asks for far more,
// against capacity that stays idle because that one is refused too much, and against accepted jobs that end too late to count: on a day
// on which one account after the other sent 12 times its usual load, 619 of 4,925 accepted jobs did.
func TestLoadsOfAccounts(t *testing.T) {
	data, err := os.ReadFile("testdata/admis.toml")
	assert.NilError(t, err)
	var script struct{ Case []loadCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		t.Run(c.Name, c.play)
	}
}

func (c *loadCase) play(t *testing.T) {
	pool := Pool{Capacity: Amount{c.Cores, 1}}
	var players []*player
	for g := range c.Group {
		for i := range c.Group[g].Accounts {
			pool.Accounts = append(pool.Accounts, Account{Weight: c.Group[g].Weight})
			players = append(players, &player{group: &c.Group[g], due: float64(i+1) / float64(c.Group[g].Accounts)})
		}
	}
	refused, done, late := map[*group]int{}, map[*group]float64{}, 0
	for now := 0.0; now < c.Seconds*1000; now += playStepMs {
		for i, p := range players {
			if now < p.From*1000 {
				continue
			}
			for p.due += p.PerSecond * playStepMs / 1000; p.due >= 1; p.due-- {
				j := Job{Account: i, Work: Amount{CPU: p.CoreMs}, ChainMs: p.ChainMs, LimitMs: p.LimitMs}
				a := &pool.Accounts[i]
				if _, ok := pool.Admit(&j); !ok {
					refused[p.group]++
					continue
				}
				a.Backlog[CPU] += p.CoreMs
				a.Arriving[CPU] = p.CoreMs * p.PerSecond / 1000
				p.jobs = append(p.jobs, playedJob{p.CoreMs, now + p.LimitMs})
			}
		}
		work := c.Cores * playStepMs
		for _, amount := range divide(pool.Accounts, work) {
			p := players[amount.account]
			pool.Accounts[amount.account].Backlog[CPU] = max(pool.Accounts[amount.account].Backlog[CPU]-amount.work, 0)
			if now >= c.Seconds*500 {
				done[p.group] += amount.work
			}
			late += p.work(amount.work, now)
		}
	}
	for i := range c.Group {
		g := &c.Group[i]
		assert.Equal(t, refused[g] > 0, g.Refused, "group %d: %d jobs refused", i, refused[g])
		cores := done[g] / (c.Seconds * 500)
		assert.Assert(t, cores >= g.Cores, "group %d got %.1f cores", i, cores)
	}
	if len(players) > 1 {
		assert.Equal(t, late, 0, "accepted jobs ended too late")
	}
}

// work does work of a player's jobs in their order, and returns how many of those that it ends are late.
func (p *player) work(amount, now float64) (late int) {
	for len(p.jobs) > 0 && amount > 0 {
		n := min(amount, p.jobs[0].left)
		amount -= n
		if p.jobs[0].left -= n; p.jobs[0].left > 1e-6 {
			break
		}
		if now > p.jobs[0].endBy+2*playStepMs {
			late++
		}
		p.jobs = p.jobs[1:]
	}
	return late
}

// portion is the work that an account gets in a step.
type portion struct {
	account int
	work    float64
}

// divide divides work among accounts by weighted max-min; those without a weight get what the others leave.
func divide(accounts []Account, work float64) (list []portion) {
	for _, weighted := range []bool{true, false} {
		open := map[int]float64{}
		for i := range accounts {
			if accounts[i].Backlog[CPU] > 0 && (accounts[i].Weight > 0) == weighted {
				open[i] = accounts[i].Weight
				if !weighted {
					open[i] = 1
				}
			}
		}
		for len(open) > 0 && work > 1e-9 {
			sum, satisfied, rest := 0.0, false, work
			for _, w := range open {
				sum += w
			}
			for i, w := range open {
				if left := accounts[i].Backlog[CPU]; left <= work*w/sum {
					list, rest, satisfied = append(list, portion{i, left}), rest-left, true
					delete(open, i)
				}
			}
			if !satisfied {
				for i, w := range open {
					list = append(list, portion{i, work * w / sum})
				}
				rest, open = 0, nil
			}
			work = rest
		}
	}
	return list
}

// drawPool draws a pool with a job.
func drawPool(t *rapid.T) (*Pool, *Job) {
	amount := func(name string, most float64) Amount {
		return Amount{rapid.Float64Range(0, most).Draw(t, name+" cpu"), rapid.Float64Range(0, most).Draw(t, name+" memory")}
	}
	p := &Pool{Capacity: Amount{rapid.Float64Range(1, 100).Draw(t, "cores"), rapid.Float64Range(1, 100).Draw(t, "mb")}}
	p.First.Backlog = amount("first", 1e4)
	for i := range rapid.IntRange(1, 8).Draw(t, "accounts") {
		p.Accounts = append(p.Accounts, Account{
			Weight: rapid.SampledFrom([]float64{0, 0.5, 1, 3, 157}).Draw(t, "weight"), Backlog: amount(fmt.Sprint("backlog ", i), 1e5),
			Arriving: amount(fmt.Sprint("arriving ", i), 50),
		})
	}
	j := &Job{
		Account: rapid.IntRange(0, len(p.Accounts)-1).Draw(t, "account"), Work: amount("work", 1e5),
		ChainMs: rapid.Float64Range(0, 4000).Draw(t, "chain"),
	}
	j.LimitMs = j.ChainMs + rapid.Float64Range(0, 6000).Draw(t, "slack")
	return p, j
}

// TestNobodyIsRefusedWithinItsShare guards against an account that gets the jobs of another one refused by sending more: whatever the
// others have, a job is accepted that the share of its account can finish while all accounts demand all they can get.
func TestNobodyIsRefusedWithinItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, j := drawPool(t)
		p.First = Account{}
		own, sum := &p.Accounts[j.Account], 0.0
		own.Weight = max(own.Weight, 0.5)
		for i := range p.Accounts {
			sum += p.Accounts[i].Weight
		}
		for r := range resources { // the work ahead of the chain and all work fit into the share
			share := p.Capacity[r] * own.Weight / sum
			own.Backlog[r] = min(own.Backlog[r], share*(j.LimitMs-j.ChainMs)*0.999)
			j.Work[r] = min(j.Work[r], max(share*j.LimitMs*0.999-own.Backlog[r], 0))
		}
		if _, ok := p.Admit(j); !ok {
			t.Fatal("refused within its share")
		}
		other := &p.Accounts[rapid.IntRange(0, len(p.Accounts)-1).Draw(t, "raised")]
		if other != own {
			other.Backlog[CPU] *= rapid.Float64Range(1, 1e6).Draw(t, "factor")
			other.Backlog[Memory] += 1e9
			other.Arriving[CPU] += 1e9
		}
		if _, ok := p.Admit(j); !ok {
			t.Fatal("refused for the backlog of another account")
		}
	})
}

// TestRetryAfterGrowsWithTheBacklog guards against callers that are sent away for longer while the backlog falls, and against jobs
// that are accepted with a larger backlog only.
func TestRetryAfterGrowsWithTheBacklog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, j := drawPool(t)
		id := rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "id")
		p.First.Backlog[CPU]++ // not idle
		before, ok := p.Admit(j)
		raised := &p.Accounts[rapid.IntRange(0, len(p.Accounts)-1).Draw(t, "raised")]
		raised.Backlog[rapid.IntRange(0, resources-1).Draw(t, "resource")] += rapid.Float64Range(0, 1e5).Draw(t, "more")
		after, okAfter := p.Admit(j)
		if okAfter && !ok || after < before*(1-1e-9) {
			t.Fatalf("a wait of %v ms with less backlog, %v ms with more", before, after)
		}
		if !ok && RetryAfterMs(after, id) < RetryAfterMs(before, id)-1 {
			t.Fatalf("a Retry-After of %d ms with less backlog, %d ms with more", RetryAfterMs(before, id), RetryAfterMs(after, id))
		}
	})
}

// TestRefusedCallersDoNotReturnTogether guards against a herd: 200 callers that are refused at once would be refused again at once.
// Those that can still be in time within the 3 s of a caller must not be sent away for longer, and the others not for less.
func TestRefusedCallersDoNotReturnTogether(t *testing.T) {
	const callers = 200
	for _, wait := range []float64{0.2, 300, 900, 1600, 2500, 10_000, math.Inf(1)} {
		times, seconds := map[int64]int{}, map[int64]int{}
		for i := range callers {
			ms := RetryAfterMs(wait, fmt.Sprintf("%016x", i))
			times[ms]++
			seconds[(ms+999)/1000]++
			assert.Equal(t, ms, RetryAfterMs(wait, fmt.Sprintf("%016x", i)), "the time follows from the job's ID")
			assert.Assert(t, float64(ms) >= min(wait, maxRetryMs) && ms <= maxRetryMs, "%d ms", ms)
			assert.Assert(t, wait > usableMs || ms <= usableMs, "%d ms for a wait of %v ms", ms, wait)
		}
		if wait <= 1000 {
			assert.Assert(t, seconds[1] > 0 && seconds[2] >= callers/3, "%v", seconds)
		}
		assert.Assert(t, len(times) > callers/2 || math.IsInf(wait, 1), "%d times for %d callers", len(times), callers)
	}
}

// BenchmarkAdmit guards against a decision whose cost keeps an owner from answering 200 submissions a second.
func BenchmarkAdmit(b *testing.B) {
	for _, accounts := range []int{20, 1000} {
		b.Run(fmt.Sprintf("active=%d", accounts), func(b *testing.B) {
			p := Pool{Capacity: Amount{1000, 1e6}}
			for i := range accounts {
				p.Accounts = append(p.Accounts, Account{Weight: 1, Backlog: Amount{float64(i) * 1000, float64(i) * 1e6}})
			}
			j := Job{Account: accounts / 2, Work: Amount{8000, 8e6}, ChainMs: 640, LimitMs: 4800}
			for b.Loop() {
				p.Admit(&j)
			}
		})
	}
}
