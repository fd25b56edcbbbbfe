package owner

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/pools"
	"sassafrasvalve/core/shard"
	"sassafrasvalve/io/stats"
)

// silentVM answers no poll. Its calls return late after their deadline.
type silentVM struct{ late time.Duration }

func (v *silentVM) Start(pools.Order, time.Time) (pools.Reply, error) { return pools.Reply{}, nil }

func (v *silentVM) Stop(pools.Order, time.Time) (pools.Reply, error) { return pools.Reply{}, nil }

func (v *silentVM) Throttle(pools.Order, time.Time) (pools.Reply, error) { return pools.Reply{}, nil }
func (v *silentVM) Close()                                               {}

func (v *silentVM) Poll(_ pools.PollRequest, deadline time.Time) (pools.PollReply, error) {
	time.Sleep(time.Until(deadline) + v.late)
	return pools.PollReply{}, errors.New("no answer")
}

// relayedVM is a silent VM that is called through another entry.
type relayedVM struct{ silentVM }

func (v *relayedVM) SendAsync(pools.Order, time.Duration, func(pools.Reply, error)) bool {
	return false
}

// pollsUntilSilent returns the number of unanswered polls after which the engine reports a VM as silent, or 0 if it reports
// none after 4.
func pollsUntilSilent(t *testing.T, c VMClient) int {
	t.Helper()
	e := shard.New(shard.Config{Service: "s", Epoch: 1}, nil, 0)
	e.SetVMs([]pools.VM{{ID: "a", Service: "s", Addr: "x"}}, 1)
	r := &poolRun{cfg: PoolConfig{Stats: stats.New()}, engine: e, wake: make(chan struct{}, 1)}
	s := &vmSession{r: r, id: "a", client: c, ctx: t.Context()}
	for n := 1; n < 5; n++ {
		s.poll()
		for _, ev := range e.TakeEvents() {
			if ev.Name == "vm silent" {
				return n
			}
		}
	}
	return 0
}

// TestOwnDelayIsNotAVMsSilence guards against a VM that counts as silent because this process read its reply late. It also
// guards against the same allowance for a VM that is called through another entry: such a poll takes longer anyway, and
// the VM would count as silent one poll too late.
func TestOwnDelayIsNotAVMsSilence(t *testing.T) {
	late := 2 * maxOwnLag
	assert.Equal(t, pollsUntilSilent(t, &silentVM{}), 1)
	assert.Equal(t, pollsUntilSilent(t, &silentVM{late: late}), 2)
	assert.Equal(t, pollsUntilSilent(t, &relayedVM{silentVM{late: late}}), 1)
}
