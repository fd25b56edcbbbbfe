package quota

import (
	"fmt"
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
)

// load keeps a number of items of an account waiting in a shard for some time.
type load struct {
	Account string
	Shard   int
	From    int64 // ms
	To      int64
	Waiting int
	Item    jobs.Amount
	ItemMs  int64
}

// scriptLimit changes the limit of an account everywhere.
type scriptLimit struct {
	At      int64
	Account string
	Max     jobs.Amount
}

// expectation bounds what an account has running in a shard (-1 for all) at a time.
type expectation struct {
	At      int64
	Account string
	Shard   int
	MinCPU  int64
	MaxCPU  int64
}

// scriptCase is one case of testdata/limits.toml.
type scriptCase struct {
	Name    string
	Shards  int
	DelayMs int64 // of a message
	Load    []load
	Limit   []scriptLimit
	Expect  []expectation
	// MaxWaitMs bounds the time for which an item waits in a shard that starts nothing, while its account is under half of its limit.
	MaxWaitMs int64
}

// scriptRun is a running item of a script.
type scriptRun struct {
	account string
	shard   int
	item    jobs.Amount
	endAt   int64
}

// TestLimits guards against an account above its limit, an allowance that stays where it is idle, and a shard that waits although
// its account is far below its limit.
func TestLimits(t *testing.T) {
	data, err := os.ReadFile("testdata/limits.toml")
	assert.NilError(t, err)
	var script struct{ Case []scriptCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		t.Run(c.Name, c.play)
	}
}

// sumRuns returns what an account has running in a shard, -1 for all.
func sumRuns(runs []scriptRun, account string, shard int) (sum vector) {
	for _, r := range runs {
		if r.account == account && (shard < 0 || r.shard == shard) {
			sum = sum.add(toVector(r.item))
		}
	}
	return sum
}

func (c *scriptCase) play(t *testing.T) {
	catalog := &jobs.Catalog{}
	limits := map[string]jobs.Amount{}
	alloc := NewAllocator(AllocatorConfig{Epoch: 1})
	holders, owners := make([]*Holder, c.Shards), map[int]int64{}
	for i := range holders {
		holders[i], owners[i] = NewHolder(HolderConfig{Shard: i, Epoch: 1}), 1
	}
	var runs []scriptRun
	waitsFrom := map[string]int64{}
	type message struct {
		at    int64
		grant *Grant
		rep   *Report
	}
	var sent []message
	end := int64(0)
	for _, x := range c.Expect {
		end = max(end, x.At)
	}
	for now := int64(0); now <= end; now += 10 {
		for _, l := range c.Limit {
			if l.At == now {
				limits[l.Account] = l.Max
				catalog = newCatalog(catalog.Version+1, limits)
			}
		}
		kept := runs[:0]
		for _, r := range runs {
			if r.endAt > now {
				kept = append(kept, r)
			}
		}
		runs = kept
		alloc.SetConfig(catalog, owners, true, now)
		uses := make([]map[string]Use, c.Shards)
		for i, h := range holders {
			h.SetConfig(catalog, true)
			uses[i] = map[string]Use{}
		}
		for _, l := range c.Load {
			limit, half := toLimit(limits[l.Account]), toLimit(limits[l.Account])
			for r := range half {
				half[r] /= 2
			}
			active, started := now >= l.From && now < l.To, false
			for active {
				used := sumRuns(runs, l.Account, l.Shard)
				if !holders[l.Shard].MayStart(l.Account, used.amount(), l.Item) {
					break
				}
				started = true
				runs = append(runs, scriptRun{l.Account, l.Shard, l.Item, now + l.ItemMs})
				sum := sumRuns(runs, l.Account, -1)
				assert.Assert(t, sum.sub(toVector(l.Item)).within(limit, limit), "%d ms: %v of %v", now, sum, limits)
			}
			key := fmt.Sprint(l.Account, l.Shard)
			if !active || started || !sumRuns(runs, l.Account, -1).within(half, limit) {
				waitsFrom[key] = now
			}
			assert.Assert(t, now-waitsFrom[key] <= c.MaxWaitMs, "%d ms: %s waits since %d", now, key, waitsFrom[key])
			used := sumRuns(runs, l.Account, l.Shard)
			u := Use{Used: used.amount(), Want: used.amount()}
			if active {
				u.Want, u.Item = used.add(toVector(l.Item).times(int64(l.Waiting))).amount(), l.Item
			}
			if u != (Use{}) && (active || uses[l.Shard][l.Account] == Use{}) {
				uses[l.Shard][l.Account] = u
			}
		}
		for i, h := range holders {
			if h.Due(now, uses[i]) {
				r := h.Report(uses[i], now)
				sent = append(sent, message{at: now + c.DelayMs, rep: &r})
			}
		}
		for i := 0; i < len(sent); i++ {
			switch m := sent[i]; {
			case m.at != now:
			case m.rep != nil:
				g := alloc.Handle(*m.rep, now)
				sent = append(sent, message{at: now + c.DelayMs, grant: &g})
			default:
				holders[m.grant.Shard].Apply(*m.grant)
			}
		}
		for _, x := range c.Expect {
			if x.At == now {
				cpu := sumRuns(runs, x.Account, x.Shard)[0]
				assert.Assert(t, cpu >= x.MinCPU && cpu <= x.MaxCPU, "%d ms: %s in %d uses %d, not %d to %d", now, x.Account, x.Shard, cpu, x.MinCPU, x.MaxCPU)
			}
		}
	}
}

// newCatalog returns a configuration with accounts of given limits.
func newCatalog(version int64, limits map[string]jobs.Amount) *jobs.Catalog {
	var list []jobs.Account
	for name, a := range limits {
		list = append(list, jobs.Account{Name: name, Max: a})
	}
	accounts, err := jobs.NewAccounts(list)
	if err != nil {
		panic(err)
	}
	return &jobs.Catalog{Version: version, Accounts: accounts}
}
