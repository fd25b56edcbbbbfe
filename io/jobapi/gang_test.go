package jobapi

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/io/stats"
	"sassafrasvalve/platform"
)

// TestGangThatCannotStartIsRefused guards against an accepted job that never begins, as its gang is wider than can be started at once.
func TestGangThatCannotStartIsRefused(t *testing.T) {
	catalog := &jobs.Catalog{Queues: []jobs.Queue{{Name: "q", Service: "s", Host: "h", Prefix: "/q/", Public: true}}}
	owners := &quickOwners{}
	front := &platform.Front{Log: zap.NewNop(), JobAPI: New(Config{
		Owners: owners, Store: noStore{}, Catalog: &fixedCatalog{catalog: catalog}, Shards: oneShard{}, Routes: oneShard{}, ConfigUpdateMs: 3000,
		Log: zap.NewNop(), Stats: stats.New(),
	})}
	for width, status := range map[int]int{jobs.MaxGangItems: http.StatusOK, jobs.MaxGangItems + 1: http.StatusBadRequest} {
		r := httptest.NewRequest(http.MethodPost, "/q/00000000000000ab", strings.NewReader(
			fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"gang":true,"cpu":10,"mem_mb":1,"estimate_ms":300}]}`, width)))
		r.Host = "h"
		w := httptest.NewRecorder()
		front.ServeHTTP(w, r)
		assert.Equal(t, w.Code, status, w.Body)
	}
	assert.Equal(t, owners.storeCalls, 1)
}
