package quota

import (
	"encoding/json"
	"fmt"
	"testing"

	"sassafrasvalve/core/jobs"
)

// Size of the benchmarks.
const (
	benchShards   = 10
	benchAccounts = 1000
	benchKeys     = 10_000
)

// newBenchCatalog returns a configuration with limits for all accounts.
func newBenchCatalog(b *testing.B, version int64) *jobs.Catalog {
	list := make([]jobs.Account, benchAccounts)
	for i := range list {
		list[i] = jobs.Account{Name: fmt.Sprintf("account-%04d", i), Weight: 1, Max: jobs.Amount{CPU: 100_000 + version, MemMB: 400_000, GPU: 8}}
	}
	for i := range benchKeys {
		acc := &list[i%benchAccounts]
		acc.Keys = append(acc.Keys, jobs.DigestKey(fmt.Sprint("key", i)))
	}
	accounts, err := jobs.NewAccounts(list)
	if err != nil {
		b.Fatal(err)
	}
	return &jobs.Catalog{Version: version, Accounts: accounts}
}

// BenchmarkReportAndGrant measures a report, its grant and the application of the grant, with some accounts in use in each shard.
func BenchmarkReportAndGrant(b *testing.B) {
	for _, active := range []int{0, 20, benchAccounts} {
		b.Run(fmt.Sprint(active, " active"), func(b *testing.B) {
			catalog, alloc, owners := newBenchCatalog(b, 1), NewAllocator(AllocatorConfig{Epoch: 1}), map[int]int64{}
			var holders [benchShards]*Holder
			for i := range holders {
				owners[i], holders[i] = 1, NewHolder(HolderConfig{Shard: i, Epoch: 1})
				holders[i].SetConfig(catalog, true)
			}
			alloc.SetConfig(catalog, owners, true, 0)
			uses := map[string]Use{}
			for i := range active {
				uses[catalog.Accounts.All()[i].Name] = Use{
					Used: jobs.Amount{CPU: 4000, MemMB: 16_000}, Want: jobs.Amount{CPU: 40_000, MemMB: 160_000}, Item: jobs.Amount{CPU: 4000, MemMB: 16_000},
				}
			}
			var report Report
			var grant Grant
			now := int64(0)
			exchange := func(i int) {
				now += 5
				report = holders[i].Report(uses, now)
				grant = alloc.Handle(report, now)
				holders[i].Apply(grant)
			}
			for i := range 10 * benchShards {
				exchange(i % benchShards)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				exchange(i % benchShards)
			}
			r, _ := json.Marshal(report)
			g, _ := json.Marshal(grant)
			b.ReportMetric(float64(len(r)), "B/report")
			b.ReportMetric(float64(len(g)), "B/grant")
		})
	}
}

// BenchmarkSetConfig measures a change of the configuration in one holder and in the allocator.
func BenchmarkSetConfig(b *testing.B) {
	catalogs := [2]*jobs.Catalog{newBenchCatalog(b, 1), newBenchCatalog(b, 2)}
	h, alloc := NewHolder(HolderConfig{Epoch: 1}), NewAllocator(AllocatorConfig{Epoch: 1})
	b.Run("holder", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			h.SetConfig(catalogs[i%2], true)
		}
	})
	b.Run("allocator", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			alloc.SetConfig(catalogs[i%2], nil, true, 0)
		}
	})
	b.Run("unchanged", func(b *testing.B) {
		for b.Loop() {
			h.SetConfig(h.catalog, true)
		}
	})
}
