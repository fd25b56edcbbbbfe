package owner

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// incompleteCase is one case of testdata/incomplete.toml.
type incompleteCase struct {
	Name     string
	Reason   string // reason of the claim
	Early    bool   // the owner is stopped before it has taken over; otherwise while it serves
	Dark     bool   // a VM of the pool does not answer
	Complete bool   // the shard is released as complete
}

// darkRegistry lists one VM that does not answer.
type darkRegistry struct{ singleVMRegistry }

func (*darkRegistry) Client(pools.VM) VMClient { return &silentVM{} }

// awaitPolls waits until the run has polled its VMs, or for some time if one of them does not answer.
func (c *incompleteCase) awaitPolls(t *testing.T, r *poolRun) {
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the VMs are not polled")
		if r.o.run.Load() == nil {
			continue
		}
		r.mu.Lock()
		done := r.engine.InitialPollsDone()
		r.mu.Unlock()
		if done {
			return
		}
		if c.Dark {
			time.Sleep(3 * machineListInterval / 2)
			return
		}
	}
}

// TestReleaseTellsWhatEarlierOwnersLeft guards against items that run twice after two handovers: an owner that was killed left
// starts without a record, the next one was stopped before it had polled the VMs, released the shard as complete, and the
// third one polled nobody.
func TestReleaseTellsWhatEarlierOwnersLeft(t *testing.T) {
	data, err := os.ReadFile("testdata/incomplete.toml")
	assert.NilError(t, err)
	var script struct{ Case []incompleteCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		t.Run(c.Name, func(t *testing.T) {
			var registry VMRegistry = &singleVMRegistry{}
			if c.Dark {
				registry = &darkRegistry{}
			}
			r := newTestRun(&sharedLog{}, registry, func() *jobs.Catalog { return &jobs.Catalog{} })
			r.o.reason = c.Reason
			r.cfg.ListMachines = func(time.Time) ([]pools.Machine, error) {
				return []pools.Machine{{ID: "m", Pool: "s", VM: "a", State: pools.MachineUp}}, nil
			}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			ended := make(chan bool, 1)
			if c.Early {
				stop()
			}
			go func() { ended <- r.serve(ctx) }()
			if !c.Early {
				c.awaitPolls(t, r)
				stop()
			}
			assert.Equal(t, <-ended, c.Complete)
		})
	}
}
