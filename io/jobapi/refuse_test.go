package jobapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/shard"
	"sassafrasvalve/io/owner"
	"sassafrasvalve/io/stats"
	"sassafrasvalve/platform"
)

// refuseCase is a case of testdata/refuse.toml.
type refuseCase struct {
	Name, Key, Verdict string
	Owner, Elsewhere   bool
	RetryAfterMs       int64
	Status             int
	RetryAfter         string
	Load               bool
	Appends            int
}

// refusingOwners are the owners of the shards in a case.
type refusingOwners struct {
	Owners
	Routes
	c    *refuseCase
	load *shard.Load
}

func (o *refusingOwners) Store(ctx context.Context, part int, rec jobs.Record) owner.StoreResult {
	return o.StoreJob(ctx, part, rec, nil)
}

func (o *refusingOwners) StoreJob(_ context.Context, _ int, _ jobs.Record, load *shard.Load) owner.StoreResult {
	o.load = load
	verdicts := map[string]retry.Verdict{"ran": retry.Ran, "not run": retry.NotRun, "may have run": retry.MayHaveRun}
	return owner.StoreResult{Owner: o.c.Owner, Verdict: verdicts[o.c.Verdict], RetryAfterMs: o.c.RetryAfterMs}
}

func (o *refusingOwners) ExcludeJob(context.Context, int, string) (found, known bool) {
	return o.c.Elsewhere, true
}

func (o *refusingOwners) Part(string) (int, bool) { return 2, true }

func (o *refusingOwners) Parts() []int { return []int{1, 2} }

func (o *refusingOwners) RouteShards(context.Context, *jobs.Queue, int) ([]int, error) {
	return []int{1, 2}, nil
}

// TestJobsRefusedForABacklog guards against a refused job that is appended all the same, and against callers of an overloaded account
// that get another answer than 429 with the time to return.
func TestJobsRefusedForABacklog(t *testing.T) {
	data, err := os.ReadFile("testdata/refuse.toml")
	assert.NilError(t, err)
	var script struct{ Case []refuseCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		t.Run(c.Name, c.play)
	}
}

func (c *refuseCase) play(t *testing.T) {
	accounts, err := jobs.NewAccounts([]jobs.Account{{Name: "a", Weight: 1, Keys: []jobs.KeyDigest{jobs.DigestKey("key-a")}}})
	assert.NilError(t, err)
	catalog := &jobs.Catalog{Accounts: accounts, Queues: []jobs.Queue{
		{Name: "q", Service: "s", Host: "h", Prefix: "/q/", Stretch: 2, SLOMs: 600, Public: c.Key == ""},
	}}
	o, store := &refusingOwners{c: c}, newSerialStore(time.Millisecond)
	core, logged := observer.New(zap.InfoLevel)
	s := stats.New()
	front := &platform.Front{Log: zap.NewNop(), JobAPI: New(Config{
		Owners: o, Store: store, Catalog: &fixedCatalog{catalog: catalog}, Shards: o, Routes: o, ConfigUpdateMs: 3000, Log: zap.New(core), Stats: s,
	})}
	r := httptest.NewRequest(http.MethodPost, "/q/00000000000000ab", strings.NewReader(
		`{"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":100,"estimate_ms":300},{"count":1,"cpu":1000,"mem_mb":10,"estimate_ms":200,"after":[0]}]}`))
	r.Host = "h"
	if c.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.Key)
	}
	w := httptest.NewRecorder()
	front.ServeHTTP(w, r)
	assert.Equal(t, w.Code, c.Status, w.Body)
	assert.Equal(t, w.Header().Get("Retry-After"), c.RetryAfter)
	_, appends := store.counts()
	assert.Equal(t, appends, c.Appends)
	assert.Equal(t, o.load != nil, c.Load)
	if c.Load {
		assert.DeepEqual(t, *o.load, shard.Load{
			ID: "00000000000000ab", Account: "a", CoreMs: 800, MBMs: 122_000, ChainMs: 500, ObjectiveMs: 1600,
		})
	}
	lines := logged.FilterMessage("job refused").All()
	assert.Equal(t, len(lines) == 1, c.Status == http.StatusTooManyRequests)
	if len(lines) == 1 {
		assert.DeepEqual(t, lines[0].ContextMap(), map[string]any{
			"job": "00000000000000ab", "account": "a", "reason": "backlog of its account", "retryAfterMs": c.RetryAfterMs,
		})
		counter := s.Counter(metricRefused, stats.Labels{{Name: "account", Value: "a"}, {Name: "reason", Value: reasonBacklog}})
		assert.Equal(t, counter.Count(), int64(1))
	}
}
