package node

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/shard"
	"sassafrasvalve/io/owner"
)

// TestStoreCallsOfTheVersionBefore guards against calls between entries that one of the version before does not understand, and against
// messages that change in a deployment without client accounts.
func TestStoreCallsOfTheVersionBefore(t *testing.T) {
	records := []jobs.Record{{Key: "j1", Value: []byte{1}}}
	type earlierRequest struct {
		Part     int
		Records  []jobs.Record
		WithinMs int64
	}
	type earlierResult struct {
		Owner   bool
		Verdict retry.Verdict
	}
	encode := func(v any) string {
		b, err := json.Marshal(v)
		assert.NilError(t, err)
		return string(b)
	}
	assert.Equal(t, encode(storeRequest{Part: 3, Records: records, WithinMs: 7}), encode(earlierRequest{3, records, 7}))
	assert.Equal(t, encode(owner.StoreResult{Owner: true, Verdict: retry.Ran}), encode(earlierResult{true, retry.Ran}))

	var earlier earlierRequest
	req := storeRequest{Part: 3, Records: records, WithinMs: 7, Load: &shard.Load{ID: "1", Account: "a", CoreMs: 1e300}}
	assert.NilError(t, json.NewDecoder(strings.NewReader(encode(req))).Decode(&earlier))
	assert.DeepEqual(t, earlier, earlierRequest{3, records, 7})
	var decoded storeRequest
	assert.NilError(t, json.Unmarshal([]byte(encode(req)), &decoded))
	assert.DeepEqual(t, decoded, req)
	var result earlierResult
	assert.NilError(t, json.Unmarshal([]byte(encode(owner.StoreResult{Owner: true, Verdict: retry.NotRun, RetryAfterMs: 900})), &result))
	assert.DeepEqual(t, result, earlierResult{true, retry.NotRun})
}
