package system

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/fake/cloud"
)

// Guards against a job submission that blocks for the whole log outage although the job cannot be accepted.
func TestJobIsRefusedAtOnceWhileTheLogIsDown(t *testing.T) {
	w := smallWorld(t, 3)
	night := request{Method: "POST", Class: "night", Body: "recalculate"}
	a, err := w.entries[0].send(night)
	assert.NilError(t, err)
	assert.Equal(t, a.Status, http.StatusAccepted, a.Body)
	w.fault(cloud.Fault{Outage: cloud.OutageRefuse})
	w.eventually("a job is refused", 10*time.Second, func() error {
		a, err = w.entries[0].send(night)
		return err
	})
	assert.Assert(t, a.Status == http.StatusServiceUnavailable, a.Body)
	assert.Assert(t, a.Took < 5*time.Second, "%s", a.Took)
	time.Sleep(4 * time.Second) // longer than the state from a read of the log counts as current
	a, err = w.entries[0].send(night)
	assert.NilError(t, err)
	assert.Equal(t, a.Verdict, "not-run", a.Body)
	assert.Assert(t, a.Took < time.Second, "%s", a.Took)
	assert.Assert(t, a.Header.Get("Retry-After") != "", a.Body)
}
