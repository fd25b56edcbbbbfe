package system

import (
	"bytes"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/fleet"
)

// runCLI runs the command-line program against the entries and returns its output and exit code.
func (w *world) runCLI(args ...string) (string, int) {
	w.t.Helper()
	all := []string{}
	for _, e := range w.entries {
		all = append(all, "--entry", "http://"+e.admin)
	}
	cmd := exec.Command(filepath.Join(binaries, "sassafrasvalve"), append(all, args...)...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	if cmd.ProcessState == nil {
		w.t.Fatal(err)
	}
	return out.String(), cmd.ProcessState.ExitCode()
}

// Guards against a move that never completes because an entry does not acknowledge the drain, and against a VM that
// is still in its old pool afterwards.
func TestMoveByOperator(t *testing.T) {
	w := smallWorld(t, 3)
	out, code := w.runCLI("vm", "move", "--to", "beta", "spare-1")
	assert.Equal(t, code, 0, out)
	w.eventually("spare-1 is active in beta", 15*time.Second, func() error {
		vm := w.state().VMs["spare-1"]
		if vm.Pool != "beta" || vm.Phase != fleet.Active {
			return fmt.Errorf("pool %s, phase %s", vm.Pool, vm.Phase)
		}
		return nil
	})
	out, code = w.runCLI("vm", "explain", "spare-1")
	assert.Equal(t, code, 0, out)
	t.Log(out)
}
