package vmlist

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/fake/cloud"
)

func start(t *testing.T, cfg cloud.Config) (*cloud.Server, *Client) {
	t.Helper()
	s := cloud.New(cfg)
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return s, New(Config{Base: srv.URL, ClientID: "a", Interval: 20 * time.Millisecond, Timeout: 200 * time.Millisecond})
}

// Guards against a list that is lost or looks recent while the platform is down, which would make VMs seem removed
// or hide the outage.
func TestListIsKeptInOutage(t *testing.T) {
	s, c := start(t, cloud.Config{VMs: []cloud.VM{{ID: "w1"}, {ID: "w2", State: cloud.StateLeaving}}})
	assert.NilError(t, c.Poll(context.Background()))
	for _, outage := range []string{cloud.OutageRefuse, cloud.OutageReset, cloud.OutageDrop} {
		s.Inject(cloud.Fault{Clear: true, Outage: outage})
		began := time.Now()
		assert.Assert(t, c.Poll(context.Background()) != nil && c.Err() != nil)
		assert.Assert(t, time.Since(began) < time.Second)
		l, ok := c.List()
		assert.Assert(t, ok && len(l.VMs) == 2 && l.VMs[1].State == Leaving)
		assert.Assert(t, l.Age(l.Received.Add(time.Minute)) >= time.Minute)
	}
	s.Inject(cloud.Fault{Clear: true})
	assert.NilError(t, c.Poll(context.Background()))
	assert.NilError(t, c.Err())
}

// Guards against an older list that shows a leaving VM as live again, which happens when the platform's lag grows.
func TestOlderListIsRejected(t *testing.T) {
	s, c := start(t, cloud.Config{VMs: []cloud.VM{{ID: "w1"}}})
	assert.NilError(t, c.Poll(context.Background()))
	lag := 5000
	s.Inject(cloud.Fault{ListLagMS: &lag})
	assert.ErrorContains(t, c.Poll(context.Background()), "older")
}

// Guards against a poll loop that misses a VM that starts to leave, or that does not end with its context.
func TestRunFollowsList(t *testing.T) {
	s, c := start(t, cloud.Config{VMs: []cloud.VM{{ID: "w1"}}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		c.Run(ctx)
		close(done)
	}()
	resp, err := http.Post(c.cfg.Base+"/vms/w1/leaving", "", nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, s.State().VMs[0].State, cloud.StateLeaving)
	for l, _ := c.List(); len(l.VMs) == 0 || l.VMs[0].State != Leaving; l, _ = c.List() {
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	<-done
}

// Guards against a refused reboot or task command that is reported as done.
func TestRebootAndTasks(t *testing.T) {
	rebooted := ""
	_, c := start(t, cloud.Config{VMs: []cloud.VM{{ID: "w1"}}, OnReboot: func(vm string) { rebooted = vm }})
	ctx := context.Background()
	assert.NilError(t, c.Reboot(ctx, "w1"))
	assert.Equal(t, rebooted, "w1")
	assert.ErrorIs(t, c.Reboot(ctx, "w1"), ErrRefused)
	assert.ErrorIs(t, c.Reboot(ctx, "w2"), ErrRefused)
	resp, err := http.Post(c.cfg.Base+"/tasks", "", strings.NewReader(`{"ID":"t 1","VM":"w1"}`))
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.NilError(t, c.Checkpoint(ctx, "t 1"))
	assert.NilError(t, c.Throttle(ctx, "t 1"))
	assert.NilError(t, c.Renew(ctx, "t 1", time.Now().Add(time.Hour)))
	l, err := c.Tasks(ctx)
	assert.NilError(t, err)
	assert.Assert(t, len(l.Tasks) == 1 && l.Tasks[0].State == "throttled" && l.Tasks[0].Checkpoints == 1)
	assert.NilError(t, c.Stop(ctx, "t 1"))
	assert.ErrorIs(t, c.Stop(ctx, "t 1"), ErrRefused)
}

// Guards against an invalid list that replaces a valid one.
func TestInvalidListsAreRejected(t *testing.T) {
	const head = `{"AsOf":"2026-01-01T00:00:00Z","VMs":`
	for _, body := range []string{
		``, `[]`, `{"VMs":[]}`, head + `[{"State":"live"}]}`, head + `[{"ID":"a","State":"dead"}]}`,
		head + `[{"ID":"a","State":"live"},{"ID":"a","State":"live"}]}`,
	} {
		_, err := parseList([]byte(body))
		assert.Check(t, err != nil, body)
	}
}
