package plat

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// TestLimitInForce guards against a stand-in that misses starts above a limit, or reports those that an earlier version allows.
func TestLimitInForce(t *testing.T) {
	b, err := os.ReadFile("testdata/limits.toml")
	assert.NilError(t, err)
	var script struct {
		Cases []struct {
			Name     string
			Versions []struct{ AtMs, CPU, MemMB int64 }
			AtMs     int64

			Used, Item, UsedMemMB, ItemMemMB int64

			Excess string
		}
	}
	assert.NilError(t, toml.Unmarshal(b, &script))
	for _, c := range script.Cases {
		var h limitHistory
		for i, v := range c.Versions {
			h.write(i+1, v.AtMs, []Account{{Name: "a", CPU: v.CPU, MemMB: v.MemMB}})
		}
		used, item := jobs.Amount{CPU: c.Used, MemMB: c.UsedMemMB}, jobs.Amount{CPU: c.Item, MemMB: c.ItemMemMB}
		assert.Equal(t, h.excess("a", used, item, c.AtMs), c.Excess, c.Name)
	}
}

// TestLimitCountsAllVMs guards against a limit that is counted for each VM or each job on its own, and against starts that are
// carried out late and are not counted.
func TestLimitCountsAllVMs(t *testing.T) {
	p, err := Start(Config{VMs: 2, Accounts: []Account{{Name: "a", Keys: []string{"k"}, CPU: 2000}}})
	assert.NilError(t, err)
	defer p.Close()
	startOne := func(id string, vm int, late bool) {
		p.SetAccount(id, "a")
		p.SetSteps(id, []jobs.Step{{Count: 1, CPU: 2000, EstimateMs: 60_000}})
		p.mu.Lock()
		defer p.mu.Unlock()
		o := pools.Order{Kind: pools.Start, Item: jobs.Item{}.Name(id), Run: 1, DeadlineMs: 9000}
		assert.Equal(t, p.do(p.machines[vm].vm, o, arrival{atMs: p.nowMs(), late: late}).Kind, pools.Done)
	}
	startOne("0000000000000001", 0, true)
	startOne("0000000000000002", 1, false)
	assert.Equal(t, len(p.Violations()), 0, "%v", p.Violations())
	startOne("0000000000000003", 0, true)
	assert.Equal(t, len(p.Violations()), 1)
	assert.Assert(t, strings.HasPrefix(p.Violations()[0], "QUOTA a 0000000000000003.0.0.0 run 1"), p.Violations()[0])
}

// TestKeysOfVersions guards against a configuration that keeps a revoked key, and against a stand-in that misdates the change.
func TestKeysOfVersions(t *testing.T) {
	p, err := Start(Config{VMs: 1, SecondVMs: 1, Accounts: []Account{{Name: "a", Keys: []string{"k1", "k2"}}}})
	assert.NilError(t, err)
	defer p.Close()
	first := p.Key("k1")
	assert.Assert(t, first.Valid && first.Account == "a")
	before := time.Now()
	p.RevokeKey("a", "k1")
	p.AddKey("a", "k3")
	p.MoveQueue()
	assert.Assert(t, !p.Key("k1").Valid && !p.Key("k1").ChangedAt.Before(before))
	assert.Assert(t, p.Key("k2") == Key{Account: "a", Valid: true, ChangedAt: first.ChangedAt})
	assert.DeepEqual(t, p.Account("a").Keys, []string{"k2", "k3"})
	p.Log.mu.Lock()
	part := p.Log.part("keyed.op", "0")
	config := string(part.records[part.newest["config"]])
	p.Log.mu.Unlock()
	assert.Assert(t, strings.Contains(config, `"api_keys":["k2","k3"]`) && strings.Contains(config, `"service":"till"`), config)
	p.RevokeAllKeys("a")
	assert.Assert(t, !p.Key("k2").Valid && !p.Key("k3").Valid)
}
