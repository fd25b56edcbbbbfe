package jobapi

import (
	"context"
	"errors"
	"net/http"
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/io/owner"
	"sassafrasvalve/io/stats"
	"sassafrasvalve/platform"
)

// accessCase is a request of testdata/access.toml.
type accessCase struct {
	Name       string
	Key        string // API key that the caller sends
	Path       string // its queue
	Removed    bool   // the configuration has no accounts any more
	AgeMs      int64  // age of the configuration
	JobAccount string // account of the job that is queried
	Status     int    // 200: found
	Account    string // account that the request belongs to
}

// fixedCatalog is a configuration of a certain age.
type fixedCatalog struct {
	catalog *jobs.Catalog
	ageMs   int64
}

// Catalog returns the configuration and its age.
func (c *fixedCatalog) Catalog() (*jobs.Catalog, int64) { return c.catalog, c.ageMs }

// accountOwners have one job, of an account.
type accountOwners struct {
	Owners
	account string
}

func (o *accountOwners) JobState(context.Context, int, string) owner.JobAnswer {
	return owner.JobAnswer{Known: true, Sure: true, State: jobs.Running, Account: o.account}
}

// TestAccessToQueues guards against requests that are served without a key of the configuration in force, by a configuration that may
// have been replaced, or with the key of another account.
func TestAccessToQueues(t *testing.T) {
	data, err := os.ReadFile("testdata/access.toml")
	assert.NilError(t, err)
	var script struct{ Case []accessCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	accounts, err := jobs.NewAccounts([]jobs.Account{
		{Name: "a", Keys: []jobs.KeyDigest{jobs.DigestKey("key-a")}}, {Name: "b", Keys: []jobs.KeyDigest{jobs.DigestKey("key-b")}},
	})
	assert.NilError(t, err)
	for _, c := range script.Case {
		t.Run(c.Name, func(t *testing.T) {
			catalog := &jobs.Catalog{Queues: []jobs.Queue{
				{Name: "q", Service: "s", Host: "h", Prefix: "/q/"}, {Name: "open", Service: "s", Host: "h", Prefix: "/open/", Public: true},
			}}
			if !c.Removed {
				catalog.Accounts = accounts
			}
			api := New(Config{
				Owners: &accountOwners{account: c.JobAccount}, Catalog: &fixedCatalog{catalog, c.AgeMs}, Shards: oneShard{}, Routes: oneShard{},
				ConfigUpdateMs: 3000, Log: zap.NewNop(), Stats: stats.New(),
			})
			access, err := api.FindQueue("h", c.Path, c.Key)
			if err == nil {
				assert.Equal(t, access.Account, c.Account)
				_, err = api.JobState(t.Context(), access, "0000000000000001")
			}
			status := http.StatusOK
			var refused *platform.Refusal
			if errors.As(err, &refused) {
				status = refused.Status
			}
			assert.Equal(t, status, c.Status)
		})
	}
}
