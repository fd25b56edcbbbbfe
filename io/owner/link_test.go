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

// silentVM answers no poll. It notices the end of a poll's time late.
type silentVM struct{ late time.Duration }

func (v *silentVM) Start(pools.Order, time.Time) (pools.Reply, error) { return pools.Reply{}, nil }

func (v *silentVM) Stop(pools.Order, time.Time) (pools.Reply, error) { return pools.Reply{}, nil }

func (v *silentVM) Throttle(pools.Order, time.Time) (pools.Reply, error) { return pools.Reply{}, nil }
func (v *silentVM) Close()                                               {}

func (v *silentVM) Poll(_ pools.PollRequest, deadline time.Time) (pools.PollReply, error) {
	time.Sleep(time.Until(deadline) + v.late)
	return pools.PollReply{}, errors.New("no answer")
}

// relayedVM is a silent VM that is called by way of another entry.
type relayedVM struct{ silentVM }

func (v *relayedVM) SendAsync(pools.Order, time.Duration, func(pools.Reply, error)) bool {
	return false
}

// silentAfter returns the number of polls without an answer after which a VM counts as silent.
func silentAfter(t *testing.T, c VMClient) int {
	t.Helper()
	e := shard.New(shard.Config{Service: "s", Epoch: 1}, nil, 0)
	e.SetVMs([]pools.VM{{ID: "a", Service: "s", Addr: "x"}}, 1)
	r := &run{cfg: PoolConfig{Stats: stats.New()}, engine: e, wake: make(chan struct{}, 1)}
	l := &vmLink{r: r, id: "a", client: c, ctx: t.Context()}
	for n := 1; n < 5; n++ {
		l.look()
		for _, note := range e.TakeEvents() {
			if note.Name == "vm silent" {
				return n
			}
		}
	}
	return 0
}

// TestOwnDelayIsNotAVMsSilence guards against a VM that counts as silent since this process was late to read its answer, and
// against one that is called by way of another entry and counts as silent a poll too late: that poll takes longer by itself.
func TestOwnDelayIsNotAVMsSilence(t *testing.T) {
	late := 2 * ownLagMost
	assert.Equal(t, silentAfter(t, &silentVM{}), 1)
	assert.Equal(t, silentAfter(t, &silentVM{late: late}), 2)
	assert.Equal(t, silentAfter(t, &relayedVM{silentVM{late: late}}), 1)
}
